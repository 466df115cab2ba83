"""The decision core of an entry host of a site."""

from random import Random

from greengagerock.core import GreengageError, Timeline, TimerService
from greengagerock.core.interface import (
    ApplyCallerLimits,
    AttemptFailed,
    CallAbandoned,
    CallArrived,
    CallerDisconnected,
    EndpointNoticed,
    MessageReceived,
    Outbox,
    ReadinessRequested,
    RelayArrived,
    RequestEnded,
    RespondToReadiness,
    RespondWithError,
    ResponseInterrupted,
    ResponseStarted,
    SeedsChanged,
    StopRequested,
    TimeAdvanced,
)
from greengagerock.discovery import LeaderFinder
from greengagerock.node.router_stop import RouterStop
from greengagerock.routing.cold_endpoints import ColdEndpoints
from greengagerock.routing.dispatcher import Dispatcher
from greengagerock.routing.load_exchange import LoadExchange
from greengagerock.routing.relayed_calls import RelayedCalls
from greengagerock.routing.retry_budget import SharedRetryBudget
from greengagerock.routing.router_count import RouterCount
from greengagerock.routing.zone_evacuations import learning_time_s
from greengagerock.view import (
    EndpointResponseTimes,
    EndpointsDelta,
    ItemsDelta,
    LimitShare,
    NotLeading,
    ViewDelta,
    ViewReplica,
    decode_delta,
)

POLL_INTERVAL_S = 0.5
# Interval of polls to all controllers while there is no known leader.
SEARCH_INTERVAL_S = 0.2
# Largest number of endpoint names in one field of a log line.
MAX_LOGGED_NAMES = 16


class RouterNode:
    """Routes callers' requests by its replica of the leader's view, even while cut off from it.

    It has the same core interface as ``Node``.

    Args:
        config: The ``SiteConfig``.
        now_s: Monotonic time in seconds.
        wall_clock_us: Callable that returns the wall clock in microseconds, which is used
            only for time stamps of events.
    """

    def __init__(self, config, now_s, wall_clock_us):
        self.config = config
        self.timers = TimerService(now_s)
        self.outbox = Outbox()
        self.timeline = Timeline(config.host, config.zone, wall_clock_us)
        self.replica = ViewReplica()
        self.replica.relay_address = config.relay_address
        self.finder = LeaderFinder(config.seeds)
        self.budget = SharedRetryBudget(
            config.retry_ratio, config.retry_slack, config.retry_window_s
        )
        self.dispatcher = Dispatcher(
            config.zone,
            self.replica,
            self.budget,
            self.timers,
            self.outbox,
            Random(config.seed),
            self._report,
            config.zone_preference,
            config.link_bytes_per_s,
            config.evacuate_s,
        )
        self.cold_endpoints = ColdEndpoints(
            self.replica,
            self.dispatcher.limits,
            config.warm_up_rate_factor,
            config.warm_up_rate_slack,
            self.timers,
            self.outbox,
        )
        self.dispatcher.sender.admission.is_enabled = config.admits_by_load
        self.stats = self.dispatcher.stats
        self.load_exchange = LoadExchange(self.replica, self.dispatcher.observations.loads)
        self.relayed_calls = RelayedCalls(
            self.replica,
            self.dispatcher.paths,
            self.dispatcher.observations,
            self.dispatcher.notices,
            self.dispatcher.notice_handler,
            self.stats,
            self.timers,
            self.outbox,
            self.dispatcher.zone_evacuations,
            self.dispatcher.path_report,
            self.dispatcher.sender,
        )
        self.router_count = RouterCount()
        self.had_leader = False
        self.stop = RouterStop(self)
        self._poll()

    def next_due_s(self):
        """Return the time at which the next ``TimeAdvanced`` event is due, or ``None``."""
        return self.timers.next_due_s()

    def waits_for_requests(self):
        """Return whether a stop, or a call that waits for its turn, needs requests to end."""
        return self.stop.has_begun or bool(self.dispatcher.sender.calls_awaiting_turns)

    def start(self):
        """Return the effects of the node's creation."""
        return self.outbox.drain()

    def handle(self, event, now_s):
        """Handle one event and return the effects to carry out, in order."""
        self.timers.advance(now_s)
        dispatcher = self.dispatcher
        match event:
            case CallArrived():
                dispatcher.on_call(event)
            case RelayArrived():
                self.relayed_calls.on_arrival(event)
            case (
                RequestEnded(token)
                | AttemptFailed(token)
                | EndpointNoticed(token)
                | CallerDisconnected(token)
            ) if token in self.relayed_calls.by_token:
                self._handle_relayed(event)
            case RequestEnded():
                dispatcher.on_ended(event)
            case ResponseInterrupted(token):
                self.outbox.add(RespondWithError(token, "answer-lost", "unknown", "", True))
            case AttemptFailed():
                dispatcher.on_attempt_failed(event)
            case EndpointNoticed():
                dispatcher.on_notice(event)
            case CallerDisconnected():
                dispatcher.on_caller_disconnected(event)
            case CallAbandoned(token):
                dispatcher.abandon(token)
                self.relayed_calls.abandon(token)
            case ResponseStarted():
                dispatcher.on_response_started(event)
            case TimeAdvanced():
                pass
            case MessageReceived():
                if event.sent_at is not None:
                    self.timeline.observe(event.sent_at)
                self._on_message(event.message, event.address)
            case ReadinessRequested(token):
                self.outbox.add(RespondToReadiness(token, self.readiness()))
            case SeedsChanged(seeds):
                self.finder.seeds = seeds
                self.outbox.log("seeds-changed", seeds=",".join(seeds))
            case StopRequested(since_s):
                self.stop.begin(since_s)
        # A call may end by any event, and by a timer.
        self.stop.end_if_idle()
        return self.outbox.drain()

    def abandon(self, event):
        """Drop what an event has left behind whose handling raised an unexpected exception.

        Other events of a request, such as a notice, leave it as it was.
        """
        match event:
            case (
                CallArrived(token)
                | RelayArrived(token)
                | AttemptFailed(token)
                | ResponseInterrupted(token)
                | RequestEnded(token)
            ):
                self.outbox.discard(token)
                self.dispatcher.abandon(token)
                self.relayed_calls.abandon(token)
                self.stop.end_if_idle()
            case StopRequested(since_s):
                # A timer may have failed before the node came to the event, which is not repeated.
                self.stop.begin(since_s)

    def _handle_relayed(self, event):
        """Handle an event of a request that is forwarded for another router."""
        match event:
            case RequestEnded():
                self.relayed_calls.on_ended(event)
            case AttemptFailed():
                self.relayed_calls.on_attempt_failed(event)
            case EndpointNoticed():
                self.relayed_calls.on_notice(event)
            case CallerDisconnected(token):
                self.relayed_calls.on_caller_disconnected(token)

    def readiness(self):
        """Return an empty string if this host accepts callers, else an error code."""
        if self.stop.has_begun:
            return "stopping"
        return "" if self.replica.has_configuration else "not-ready"

    # --- View ----------------------------------------------------------------------

    def _poll(self):
        now_s = self.timers.now_s
        has_leader = self.finder.has_leader(now_s)
        if has_leader != self.had_leader:
            self.had_leader = has_leader
            event = "leader-found" if has_leader else "leader-lost"
            self.outbox.log(event, leader=self.finder.leader)
        interval_s = POLL_INTERVAL_S if has_leader else SEARCH_INTERVAL_S
        self.timers.subscribe(interval_s, self._poll)
        dispatcher = self.dispatcher
        dispatcher.paths.update_report()
        poll = self.replica.poll(
            dispatcher.observations.collect_responses(),
            dispatcher.demand.collect(),
            dispatcher.limits.collect_reports(now_s),
            self.load_exchange.pack(now_s),
            dispatcher.limits.cold.collect_reports(),
        )
        for address in self.finder.poll_addresses(now_s):
            self.outbox.send(address, poll)

    def _on_message(self, message, address):
        match message:
            case ViewDelta():
                self._on_view_delta(message, address)
            case NotLeading(leader, controllers):
                other_leader = self.finder.record_non_leader(address, leader, controllers)
                if other_leader:
                    self.outbox.send(other_leader, self.replica.poll({}, {}))
            case _:
                self.outbox.log("bad-message", code="bad-message", detail=type(message).__name__)

    def _on_view_delta(self, delta, address):
        try:
            items = None if delta.items is None else decode_delta(delta.items, ItemsDelta)
            endpoints_delta = (
                None if delta.endpoints is None else decode_delta(delta.endpoints, EndpointsDelta)
            )
            response_times = (
                None
                if delta.response_times is None
                else decode_delta(delta.response_times, EndpointResponseTimes)
            )
            cold_limits = (
                ()
                if delta.cold_limits is None
                else decode_delta(delta.cold_limits, tuple[LimitShare, ...])
            )
        except GreengageError as error:
            self.outbox.log("bad-message", code=error.code, detail=error.detail)
            return
        if endpoints_delta is not None and endpoints_delta.epoch < self.replica.epoch:
            # The sender is an earlier leader that has not detected yet that it was replaced.
            return
        contact_s = self.finder.contact_s
        self.finder.record_leader(address, delta.controllers, self.timers.now_s)
        self.router_count.note(delta.routers, self.timers.now_s)
        self.budget.router_count = self.router_count.largest
        self.dispatcher.limits.apply_shares(
            delta.limits, self.router_count.largest, self.timers.now_s
        )
        self.cold_endpoints.on_view(
            cold_limits, delta.cold_since, delta.cold_number, self.router_count.largest
        )
        if response_times is not None:
            self.replica.response_times = response_times
            self.dispatcher.observations.reduce_own_weights()
        if delta.relays is not None:
            self.dispatcher.paths.on_relays(delta.relays)
        self.dispatcher.banned_fingerprints = frozenset(delta.bans)
        if items is not None and self._apply_items(items, contact_s):
            # The leader acknowledges a change only after routers have confirmed its items.
            self.outbox.send(address, self.replica.poll({}, {}))
        if endpoints_delta is not None:
            is_first_of_epoch = (
                endpoints_delta.since == 0 and endpoints_delta.epoch != self.replica.epoch
            )
            if self.replica.accepts(endpoints_delta):
                self.dispatcher.notice_handler.on_left(
                    self.replica.left_instances(endpoints_delta), endpoints_delta.left
                )
            endpoint_names, units = self.replica.apply_endpoints(endpoints_delta)
            self.cold_endpoints.on_endpoints(endpoint_names)
            self.dispatcher.on_endpoints(endpoint_names, units)
            self._log_withdrawn(endpoint_names)
            if is_first_of_epoch:
                # The leader sends changes without a poll only to routers that have confirmed
                # the full view.
                self.outbox.send(address, self.replica.poll({}, {}))
        if delta.loads is not None:
            self._apply_loads(delta.loads)

    def _apply_loads(self, packed):
        try:
            self.load_exchange.apply(packed, self.timers.now_s)
        except GreengageError as error:
            self.outbox.log("bad-message", code=error.code, detail=error.detail)

    def _log_withdrawn(self, changed_endpoints):
        """Log which endpoints get no new requests from now on, according to the leader."""
        endpoints = self.replica.endpoints
        removed = [name for name in changed_endpoints if name not in endpoints]
        leaving = [
            name for name in changed_endpoints if name in endpoints and endpoints[name].leaving
        ]
        if removed or leaving:
            self.outbox.log(
                "endpoints-withdrawn",
                leader=self.finder.leader,
                live=f"{self.replica.epoch}.{self.replica.endpoints_revision}",
                leaving=",".join(leaving[:MAX_LOGGED_NAMES]),
                removed=",".join(removed[:MAX_LOGGED_NAMES]),
                count=len(leaving) + len(removed),
            )

    def _apply_items(self, items, contact_s):
        """Apply configuration items and return whether anything has changed.

        Args:
            items: The ``ItemsDelta``.
            contact_s: When a leader last sent something before the message with the delta.
        """
        limits = self.replica.limits
        zones = self.replica.evacuated_zones
        if not self.replica.apply_items(items):
            return False
        if self.replica.evacuated_zones != zones:
            self._update_evacuations(contact_s)
        self.dispatcher.on_items()
        self.cold_endpoints.on_items()
        if self.replica.limits is not None and self.replica.limits != limits:
            self.outbox.add(ApplyCallerLimits(self.replica.limits))
        self.outbox.log(
            "items-changed",
            revision=items.revision,
            routes=len(self.replica.routes),
            services=len(self.replica.services),
        )
        return True

    def _update_evacuations(self, contact_s):
        now_s = self.timers.now_s
        zones = self.replica.evacuated_zones
        learnt_s = learning_time_s(contact_s, now_s)
        self.dispatcher.zone_evacuations.update(zones, learnt_s)
        self.outbox.log(
            "evacuations-changed",
            zones=",".join(sorted(zones)),
            revision=self.replica.items_revision,
            contact_age_ms=round(1000 * min(now_s - contact_s, 1e6)),
            handover_s=self.dispatcher.zone_evacuations.handover_s,
        )

    def _report(self, report):
        if self.finder.leader:
            self.outbox.send(self.finder.leader, report)
