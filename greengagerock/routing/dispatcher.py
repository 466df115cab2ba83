"""Routing of callers' requests in a system with named routes."""

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from greengagerock.core.interface import CancelAttempt
from greengagerock.routing.call_ending import CallEnding
from greengagerock.routing.call_sender import CallSender
from greengagerock.routing.calls import Call
from greengagerock.routing.connection_losses import ConnectionLosses
from greengagerock.routing.crash_suspects import RecentResponses, fingerprint_call
from greengagerock.routing.demand import KeyDemand
from greengagerock.routing.endpoint_limits import EndpointLimits
from greengagerock.routing.endpoint_notices import EndpointNotices
from greengagerock.routing.endpoint_paths import EndpointPaths
from greengagerock.routing.endpoint_picker import DEFAULT_ZONE_PREFERENCE, EndpointPicker
from greengagerock.routing.error_responses import ErrorResponder
from greengagerock.routing.failures import (
    REASON_CALLER,
    REASON_NOT_OWNER,
    REASON_REFUSED,
    REASON_RELAY,
    REASON_TIMEOUT,
    abandoned_result,
)
from greengagerock.routing.health import EndpointHealth
from greengagerock.routing.link_schedule import LinkSchedule
from greengagerock.routing.notice_handler import NoticeHandler
from greengagerock.routing.observations import EndpointObservations
from greengagerock.routing.path_failures import PathFailures
from greengagerock.routing.path_report import DIRECT, RELAYED, RESPONDED, PathReport
from greengagerock.routing.priorities import rank_priorities
from greengagerock.routing.route_index import RouteIndex
from greengagerock.routing.service_picker import ServicePicker
from greengagerock.routing.stats import RouterStats
from greengagerock.routing.zone_evacuations import (
    DEFAULT_EVACUATE_S,
    HANDOVER_SHARE,
    ZoneEvacuations,
)
from greengagerock.view import LeavingObserved

# Pause before a call is sent again to a holder that refused it although it is not full, and the
# largest number of times that it is sent.
RESEND_PAUSE_S = 0.02
MAX_DELIVERIES = 3


class Dispatcher:
    """Routes calls to endpoints.

    Args:
        zone: Availability zone of this host.
        replica: The ``ViewReplica``.
        budget: The ``SharedRetryBudget``.
        timers: The timer service.
        outbox: Receives effects.
        random: Random number generator.
        report: Callable that sends a ``CrashReport``, ``LeavingObserved`` or ``ViewPoll`` to the
            leader.
        zone_preference: Preference of the ``EndpointPicker`` for endpoints of the own zone.
        link_bytes_per_s: Speed of the host's network link if it is slow, else ``None``.
        evacuate_s: Time from an acknowledged order until no request reaches an evacuated zone.

    Attributes:
        route_index: The ``RouteIndex``.
        service_picker: The ``ServicePicker``.
        observations: The ``EndpointObservations``.
        health: The ``EndpointHealth``.
        notices: The ``EndpointNotices``.
        limits: The ``EndpointLimits``.
        notice_handler: The ``NoticeHandler``.
        paths: The ``EndpointPaths``.
        zone_evacuations: The ``ZoneEvacuations``.
        endpoint_picker: The ``EndpointPicker``.
        recent_responses: The ``RecentResponses``.
        demand: The ``KeyDemand``.
        stats: The ``RouterStats``.
        error_responder: The ``ErrorResponder``.
        sender: The ``CallSender``.
        path_failures: The ``PathFailures``.
        path_report: The ``PathReport``.
        connection_losses: The ``ConnectionLosses``.
        calls: Calls in progress by token.
        ending: The ``CallEnding``, for the end of a planned stop.
        banned_fingerprints: Fingerprints of requests that crashed several endpoints.
        is_stopping: Whether new requests are refused.
    """

    def __init__(
        self,
        zone,
        replica,
        budget,
        timers,
        outbox,
        random,
        report,
        zone_preference=DEFAULT_ZONE_PREFERENCE,
        link_bytes_per_s=None,
        evacuate_s=DEFAULT_EVACUATE_S,
    ):
        self.zone = zone
        self.replica = replica
        self.budget = budget
        self.timers = timers
        self.outbox = outbox
        self.report = report
        self.route_index = RouteIndex()
        self.service_picker = ServicePicker(random)
        self.observations = EndpointObservations(replica.shared_mean_s)
        self.health = EndpointHealth()
        self.notices = EndpointNotices()
        self.limits = EndpointLimits(random)
        self.notice_handler = NoticeHandler(
            self.notices, self.limits, self.observations.loads, replica, timers, outbox, report
        )
        self.paths = EndpointPaths(
            replica, self.observations, self.health, timers, outbox, random, report
        )
        self.path_report = PathReport(timers, outbox, self.paths.relays, link_bytes_per_s)
        self.zone_evacuations = ZoneEvacuations(HANDOVER_SHARE * evacuate_s)
        self.endpoint_picker = EndpointPicker(
            zone, self.observations, self.health, self.notices, self.paths, random, zone_preference
        )
        self.recent_responses = RecentResponses()
        self.demand = KeyDemand()
        self.stats = RouterStats()
        self.error_responder = ErrorResponder(replica, self.stats, timers, outbox)
        self.sender = CallSender(
            replica,
            self.observations,
            self.notices,
            self.limits,
            self.paths,
            self.endpoint_picker,
            LinkSchedule(link_bytes_per_s, random),
            timers,
            outbox,
            self._refuse,
            self.zone_evacuations,
        )
        self.path_failures = PathFailures(
            replica,
            self.observations,
            self.notices,
            self.paths,
            self.sender,
            timers,
            outbox,
            self._finish,
        )
        self.connection_losses = ConnectionLosses(
            replica,
            self.observations,
            self.health,
            self.recent_responses,
            self.sender,
            timers,
            report,
            self._may_resend,
            self._finish,
        )
        self.calls = {}
        self.ending = CallEnding(self.calls, self.sender, outbox, self._finish)
        self.banned_fingerprints = frozenset()
        self.is_stopping = False

    # --- Events --------------------------------------------------------------------

    def on_call(self, event):
        """Process a ``CallArrived``."""
        now_s = self.timers.now_s
        if self.is_stopping or not self.replica.has_configuration:
            self.error_responder.refuse_unrouted(
                event, "stopping" if self.is_stopping else "not-ready"
            )
            return
        route = self.route_index.find(event.host, event.path)
        if route is None:
            self.error_responder.refuse_unrouted(event, "unknown-route")
            return
        # The caller's time has run while the request waited for a thread and for the event loop.
        arrived_s = now_s if event.received_s is None else min(now_s, event.received_s)
        deadline_s = arrived_s + min(event.budget_s, route.timeout_s)
        service = self.service_picker.pick(route)
        call = Call(event, route, service, now_s, deadline_s, arrived_s)
        if self.sender.is_keyed(call):
            self.demand.count(call.service, call.key, call.route.name)
        call.fingerprint = fingerprint_call(event, route)
        self.calls[call.token] = call
        self.budget.count_request(call.service, now_s)
        if call.fingerprint in self.banned_fingerprints:
            self._refuse(call, "request-suspended", "suspected of crashing several endpoints")
            return
        self.sender.send(call)

    def on_attempt_failed(self, event):
        """Process an ``AttemptFailed``: send the call again, or respond with an error."""
        call = self.calls.get(event.token)
        if call is None:
            return
        relay = call.relay
        endpoint = self._end_attempt(call)
        now_s = self.timers.now_s
        self._report_attempt(call, relay, event.reason, event.connect_s)
        call.is_body_consumed = call.is_body_consumed or event.is_body_consumed
        self.error_responder.log_failed_attempt(call, event, endpoint, relay)
        # Other failures end a call that is not idempotent, and say something of the endpoint.
        may_be_repeated = (
            call.route.is_idempotent
            or not event.has_sent_bytes
            or event.reason in (REASON_REFUSED, REASON_NOT_OWNER)
        )
        if call.is_abandoned and may_be_repeated:
            self._finish(call, *abandoned_result(call, event))
            return
        if self.ending.has_begun:
            self.ending.on_attempt_failed(call, event)
            return
        if event.reason == REASON_REFUSED:
            self._on_refused(call, endpoint, relay)
        elif event.reason == REASON_NOT_OWNER:
            self._on_not_owner(call, endpoint)
        elif event.reason == REASON_CALLER:
            outcome = OUTCOME_UNKNOWN if event.has_sent_bytes else OUTCOME_NOT_RUN
            self._finish(call, "bad-request", outcome)
        elif not event.has_sent_bytes:
            if relay:
                self.path_failures.on_not_relayed(call, event, endpoint, relay)
            else:
                sent_s = call.sent_s
                if self.path_failures.on_not_connected(call, event, endpoint):
                    # Requests on older connections do not get a response either.
                    self._cancel_silent_attempts(endpoint, sent_s)
        elif event.reason == REASON_TIMEOUT or call.is_overdue:
            self.health.note_failure(endpoint, now_s)
            self.path_failures.on_no_response(endpoint, relay, call.sent_s)
            self._finish(call, "deadline-exceeded", OUTCOME_UNKNOWN)
        elif event.reason == REASON_RELAY:
            self._on_relay_lost(call, relay)
        else:
            self.connection_losses.on_lost(call, event, endpoint)

    def on_response_started(self, event):
        """Process a ``ResponseStarted``: a long response is being relayed."""
        call = self.calls.get(event.token)
        if call is not None:
            call.has_stream = True

    def on_ended(self, event):
        """Process a ``RequestEnded``."""
        call = self.calls.get(event.token)
        if call is None:
            return
        call.cancel_timer()
        relay = call.relay
        endpoint = self._end_attempt(call)
        outcome = "answered" if event.complete else "cut-off"
        response_s = event.response_time_s
        self._report_attempt(call, relay, RESPONDED, event.connect_s)
        self.path_report.note_body(event.body_bytes)
        if response_s:
            if self.sender.is_keyed(call):
                self.demand.note_response(call.service, call.route.name, response_s)
            observation = self.observations.observation_of(endpoint)
            self._note_reached(endpoint, observation, relay, response_s)
            if observation.is_silent(self.timers.now_s):
                self._cancel_silent_attempts(endpoint, call.sent_s)
            self.observations.note_response(
                call, endpoint, response_s, self.timers.now_s, bool(relay)
            )
        if event.complete:
            self.sender.link_schedule.note_size(call.route.name, event.body_bytes)
            duration_s = self.timers.now_s - call.sent_s if call.has_stream else response_s
            self.sender.completion_times.note(call.service, call.route.name, duration_s)
            self.health.note_success(endpoint)
            self.recent_responses.note(call.fingerprint)
        self.stats.count(call.service, outcome)
        del self.calls[event.token]
        self.sender.end_turn(call, event.complete)

    def abandon(self, token):
        """Drop a call while whose event an unexpected exception was raised, with all that it uses.

        Its caller gets an error from the event loop.
        """
        call = self.calls.pop(token, None)
        if call is None:
            return
        call.cancel_timer()
        self._end_attempt(call)
        self.sender.stop_waiting_for_holder(call)
        self.stats.count(call.service, "internal-error")
        self.sender.end_turn(call, False)

    def on_caller_disconnected(self, event):
        """End the wait of a caller that has disconnected, or its attempt if that is idempotent.

        An attempt that is not goes on to its end, and is not repeated.
        """
        call = self.calls.get(event.token)
        if call is None:
            return
        self.outbox.log(
            "caller-gone",
            request_id=call.request_id,
            endpoint=call.endpoint,
            waited_ms=round(1000 * (self.timers.now_s - call.arrived_s)),
        )
        if not call.endpoint:
            # It waits for a holder or its turn; nothing of it was sent.
            self._finish(call, "caller-gone", OUTCOME_NOT_RUN)
            return
        call.is_abandoned = True
        if call.route.is_idempotent:
            self.outbox.add(CancelAttempt(call.token))

    def on_notice(self, event):
        """Process an ``EndpointNoticed``: from now on, respect what the endpoint accepts."""
        call = self.calls.get(event.token)
        if call is None or not call.endpoint:
            return
        self.notice_handler.on_notice(event, call)

    def begin_closing(self, closes_s=float("inf")):
        """Direct callers to other hosts with each response from now on.

        Args:
            closes_s: When requests in progress are cut off, in monotonic seconds.
        """
        self.error_responder.is_closing = True
        self.sender.begin_closing(closes_s)

    def on_items(self):
        """Update the routes from the replica."""
        routes = self.replica.routes.values()
        self.route_index = RouteIndex(routes)
        self.sender.ranks, self.sender.least_urgent_ranks = rank_priorities(routes)

    def on_endpoints(self, changed_endpoints, changed_units):
        """Drop observations of removed endpoints, and send calls that wait for changed units.

        The time for which a leaving endpoint still gets requests for its keys is measured here,
        since the leader may end before it withdraws the keys.
        """
        for name in changed_endpoints:
            record = self.replica.endpoints.get(name)
            if record is None:
                self.observations.forget(name)
                self.notices.forget(name)
                self.paths.forget(name)
                self.limits.forget(name)
            elif record.leaving:
                self.notices.note_leaving(name, record.started_ms, self.timers.now_s)
            elif self.notices.is_unreported_leaving(record):
                # A new leader lacks the reports that the previous one received.
                self.report(LeavingObserved(name, record.started_ms))
        self.sender.on_endpoints(changed_units)

    def _cancel_silent_attempts(self, endpoint, sent_s):
        """Cancel older idempotent attempts at an endpoint that has responded to a later one."""
        now_s = self.timers.now_s
        silence_s = self.observations.observation_of(endpoint).silence_s
        for call in self.calls.values():
            is_older = call.sent_s < min(sent_s, now_s - silence_s)
            is_direct = call.endpoint == endpoint and not call.relay
            if is_direct and is_older and call.route.is_idempotent:
                self.outbox.add(CancelAttempt(call.token, only_reused=True))

    # --- Failures ------------------------------------------------------------------

    def _end_attempt(self, call):
        endpoint, relay = call.end_attempt(self.timers.now_s)
        if endpoint:
            self.observations.observation_of(endpoint).note_ended()
        if relay:
            self.paths.relays.note_ended(relay)
        return endpoint

    def _report_attempt(self, call, relay, end, connect_s):
        way = RELAYED if relay else DIRECT
        self.path_report.note_attempt(way, end, connect_s, call.attempt_count == 1)

    def _note_reached(self, endpoint, observation, relay, response_s):
        """Record a response of an endpoint, and log it if the endpoint could not be reached."""
        record = self.replica.endpoints.get(endpoint)
        if record is None:
            return
        if relay:
            self.paths.note_relayed(record, relay, response_s)
            return
        if observation.is_unreachable:
            self.outbox.log(
                "endpoint-reached",
                endpoint=endpoint,
                after_ms=round(1000 * (self.timers.now_s - observation.unreachable_since_s)),
                unreachable=self.observations.unreachable_count() - 1,
            )
        self.paths.note_reached(record)

    def _on_refused(self, call, endpoint, relay):
        """Handle a refusal: the endpoint did not run the request."""
        now_s = self.timers.now_s
        observation = self.observations.observation_of(endpoint)
        self._note_reached(endpoint, observation, relay, now_s - call.sent_s)
        observation.note_shed(call.route.objective_s, now_s, bool(relay))
        record = self.replica.endpoints.get(endpoint)
        may_be_accepted = (
            record is not None
            and not self.notices.pause_left_s(record, now_s)
            and not observation.is_busy(call.route.objective_s)
            and call.delivery_count < MAX_DELIVERIES
        )
        if not self.sender.is_keyed(call):
            self._resend_or_finish(call, "endpoint-refused", OUTCOME_NOT_RUN)
        elif may_be_accepted and self._may_resend(call):
            # No other endpoint may run it, and one that is not full may accept it now.
            call.timer = self.timers.subscribe(
                RESEND_PAUSE_S, lambda: self._resend_after_pause(call)
            )
        else:
            self._finish_refused(call, endpoint)

    def _finish_refused(self, call, endpoint):
        record = self.replica.endpoints.get(endpoint)
        pause_left_s = self.notices.pause_left_s(record, self.timers.now_s) if record else 0.0
        self._finish(call, "endpoint-refused", OUTCOME_NOT_RUN, retry_after_s=pause_left_s or None)

    def _resend_after_pause(self, call):
        call.timer = None
        if call.token in self.calls:
            self.sender.send(call)

    def _on_relay_lost(self, call, relay):
        """Handle the loss of the connection to a relay that may have delivered the request."""
        call.may_have_run = True
        self.paths.relays.note_failure(relay, "connection-lost")
        if call.route.is_idempotent:
            self._resend_or_finish(call, "answer-lost", OUTCOME_UNKNOWN)
        else:
            self._finish(call, "answer-lost", OUTCOME_UNKNOWN)

    def _on_not_owner(self, call, endpoint):
        """Handle a refusal by an endpoint that lacks the key or has another endpoint's address."""
        if not self.sender.is_keyed(call):
            # Another endpoint listens at the address.
            self.health.note_failure(endpoint, self.timers.now_s)
            self._resend_or_finish(call, "endpoint-refused", OUTCOME_NOT_RUN)
            return
        if not self._may_resend(call):
            self._finish(call, "key-moving", OUTCOME_NOT_RUN)
            return
        if self.replica.owner_of(call.service, call.key) == endpoint:
            self.sender.wait_for_holder(call)
        else:
            self.sender.send(call)

    def _resend_or_finish(self, call, code, outcome):
        """Send a call again if that is safe and allowed, else respond with an error."""
        if self.sender.is_keyed(call) and code != "answer-lost":
            # Only the holder can run it, and it has just refused it or cannot be reached.
            self._finish(call, code, outcome)
        elif self._may_resend(call):
            self.sender.send(call)
        else:
            self._finish(call, code, outcome)

    def _may_resend(self, call):
        if call.is_body_consumed or len(call.tried_endpoints) >= call.route.attempts:
            return False
        if (
            call.deadline_s - self.timers.now_s
            < self.observations.observation_of(call.tried_endpoints[-1]).mean_response_s
        ):
            return False
        if call.delivery_count and not self.budget.try_spend(call.service, self.timers.now_s):
            return False
        self.stats.retries += 1
        return True

    # --- Ends ----------------------------------------------------------------------

    def _refuse(self, call, code, detail, retry_after_s=None):
        self._finish(call, code, OUTCOME_NOT_RUN, detail, retry_after_s)

    def _finish(self, call, code, outcome, detail="", retry_after_s=None):
        self.calls.pop(call.token, None)
        call.cancel_timer()
        self.sender.stop_waiting_for_holder(call)
        self.sender.end_turn(call, False)
        self.error_responder.respond(call, code, outcome, detail, retry_after_s)
