"""Choice of the endpoint for a call, and of the moment at which the call is sent to it."""

from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.core.interface import CloseIdleConnections, Forward, WatchCaller
from greengagerock.routing.attempt_watch import AttemptWatch
from greengagerock.routing.call_admission import MAX_DECISION_S, CallAdmission
from greengagerock.routing.completion_times import CompletionTimes
from greengagerock.routing.endpoint_paths import Direct, NoPath, Probe, Relayed
from greengagerock.routing.failures import MAX_CONNECT_FAILURES
from greengagerock.routing.link_schedule import RefuseLong, Start, WaitForTurn
from greengagerock.routing.preferred_endpoints import PreferredEndpoints

# Longest time that a call waits for a holder of its key. A key that moves with a handover has a
# new holder within one report interval.
MAX_KEY_WAIT_S = 0.5
# Largest share of the remaining time that a call waits for a holder of its key.
MAX_KEY_WAIT_SHARE = 0.3
# Requests above the limit of an endpoint that are allowed for an urgent route.
URGENT_EXTRA_REQUESTS = 1
# Number of endpoints whose load may exclude a call before it waits or is refused. Each further one
# would cost a look at all endpoints of the service.
MAX_EXCLUDING_ENDPOINTS = 3
# Calls with less time left than this are not sent.
MIN_TIME_LEFT_S = 0.005


class CallSender:
    """Sends calls to endpoints, lets them wait, or refuses them.

    Args:
        replica: The ``ViewReplica``.
        observations: The ``EndpointObservations``.
        notices: The ``EndpointNotices``.
        limits: The ``EndpointLimits``.
        paths: The ``EndpointPaths``.
        endpoint_picker: The ``EndpointPicker``.
        link_schedule: The ``LinkSchedule``.
        timers: The timer service.
        outbox: Receives effects.
        refuse: Callable that refuses a call, with an error code, a detail and the time after
            which the caller may return.
        zone_evacuations: The ``ZoneEvacuations``.

    Attributes:
        ranks: Rank of each priority among the routes of a service, by (service, priority).
        least_urgent_ranks: Highest rank of each service.
        waiting_calls: Calls that wait for a holder of their key, by (service, unit).
        calls_awaiting_turns: Calls that wait for their turn on the link, by token.
        admission: The ``CallAdmission``, by the load of endpoints.
        attempt_watch: The ``AttemptWatch``.
        completion_times: The ``CompletionTimes``.
        is_closing: Whether responses direct callers to other hosts.
        closes_s: When requests in progress are cut off by a planned stop, in monotonic seconds.
        has_ended: Whether that time has come, so that no call is sent.
    """

    def __init__(
        self,
        replica,
        observations,
        notices,
        limits,
        paths,
        endpoint_picker,
        link_schedule,
        timers,
        outbox,
        refuse,
        zone_evacuations,
    ):
        self.replica = replica
        self.observations = observations
        self.notices = notices
        self.limits = limits
        self.paths = paths
        self.endpoint_picker = endpoint_picker
        self.preferred = PreferredEndpoints(endpoint_picker, observations)
        self.link_schedule = link_schedule
        self.timers = timers
        self.outbox = outbox
        self.refuse = refuse
        self.zone_evacuations = zone_evacuations
        self.ranks = {}
        self.least_urgent_ranks = {}
        self.waiting_calls = {}
        self.calls_awaiting_turns = {}
        self.is_closing = False
        self.closes_s = float("inf")
        self.has_ended = False
        self.completion_times = CompletionTimes()
        self.attempt_watch = AttemptWatch(timers, outbox)
        self.admission = CallAdmission(
            observations,
            self._rank_of,
            replica,
            limits.random,
            timers,
            outbox,
            self.send,
            self._release_turn,
            refuse,
        )

    def begin_closing(self, closes_s):
        """Direct callers to other hosts from now on, those that wait for a free slot at once.

        Args:
            closes_s: When requests in progress are cut off, in monotonic seconds.
        """
        self.is_closing = True
        self.closes_s = closes_s
        self.admission.stop()

    def send(self, call):
        """Send a call, let it wait, or refuse it."""
        if call.deadline_s - self.timers.now_s < MIN_TIME_LEFT_S:
            self.refuse(call, "no-room", "no time left before the deadline")
        elif self.has_ended or self._is_cut_off(call):
            self.refuse(call, "stopping", "this host stops before the request would end")
        elif self._has_turn(call):
            if self.is_keyed(call):
                self._send_to_holder(call)
            else:
                self._send_to_any(call)

    def _is_cut_off(self, call):
        """Return whether a planned stop would cut off a call that is sent now."""
        if call.deadline_s <= self.closes_s:
            return False
        expected_s = self.completion_times.expected_s(call.service, call.route.name)
        if self.is_keyed(call):
            holder = self.replica.owner_of(call.service, call.key)
            if holder in self.observations.by_endpoint:
                mean_s = self.observations.observation_of(holder).mean_response_s
                expected_s = max(expected_s or 0.0, mean_s)
        return expected_s is not None and self.timers.now_s + expected_s > self.closes_s

    def _has_turn(self, call):
        """Return whether a call may be sent now; otherwise it waits or was refused."""
        now_s = self.timers.now_s
        objective_s = call.route.objective_s
        useful_until_s = min(call.deadline_s, call.event_s + MAX_DECISION_S)
        if objective_s is not None:
            useful_until_s = min(useful_until_s, call.arrived_s + objective_s)
        decision = self.link_schedule.request(
            call.token, call.route, useful_until_s - now_s, now_s
        )
        match decision:
            case Start():
                return True
            case WaitForTurn():
                self.calls_awaiting_turns[call.token] = call
                call.timer = self.timers.subscribe(
                    max(0.0, useful_until_s - now_s), self._start_next_turns
                )
                self.outbox.add(WatchCaller(call.token))
            case RefuseLong(retry_after_s):
                self.refuse(call, "no-room", "this host's link is busy", retry_after_s)
        return False

    def end_turn(self, call, is_complete):
        """Give the turn of a call that has ended to the next ones."""
        self.admission.remove(call.token)
        self._release_turn(call, is_complete)

    def try_start_relayed(self, token):
        """Let a long response for another router use the link; return whether it may."""
        return self.link_schedule.try_start_relayed(token, self.timers.now_s)

    def end_relayed(self, token):
        """Give the turn of another router's request that has ended, if it had one, to calls."""
        self.link_schedule.end(token, self.timers.now_s, is_complete=False)
        if self.calls_awaiting_turns:
            self._start_next_turns()

    def _release_turn(self, call, is_complete=False):
        self.calls_awaiting_turns.pop(call.token, None)
        self.link_schedule.end(call.token, self.timers.now_s, is_complete)
        if self.calls_awaiting_turns:
            self._start_next_turns()

    def _start_next_turns(self):
        started, hopeless = self.link_schedule.next_turns(self.timers.now_s)
        for token in started:
            call = self.calls_awaiting_turns.pop(token)
            call.cancel_timer()
            self.send(call)
        for token in hopeless:
            call = self.calls_awaiting_turns.pop(token)
            call.timer = None
            self.refuse(call, "no-room", "this host's link was busy for too long")

    def is_keyed(self, call):
        """Return whether only the holder of the call's key may run it."""
        service = self.replica.services.get(call.service)
        return service is not None and service.keyed is not None and call.key is not None

    def on_endpoints(self, changed_units):
        """Send the calls that waited for a holder of changed units."""
        for unit in changed_units:
            for call in self.waiting_calls.pop(unit, ()):
                if call.awaited_unit == unit:
                    call.cancel_timer()
                    call.awaited_unit = None
                    self.send(call)

    # --- Services with keys --------------------------------------------------------

    def _send_to_holder(self, call):
        name = self.replica.owner_of(call.service, call.key)
        record = self.replica.endpoints.get(name)
        now_s = self.timers.now_s
        if record is None or not self.notices.accepts_held_keys(record, now_s):
            self.wait_for_holder(call)
            return
        if not self.zone_evacuations.accepts_held(record, now_s):
            self._refuse_evacuated(call, f"holder {name} is in evacuated zone {record.zone}")
            return
        pause_left_s = self.notices.pause_left_s(record, now_s)
        if pause_left_s:
            self.refuse(
                call, "endpoint-refused", f"endpoint {name} wants no requests", pause_left_s
            )
            return
        observation = self.observations.observation_of(name)
        path = self.paths.choose(call, record)
        if isinstance(path, NoPath):
            self.refuse(call, "connect-failed", f"endpoint {name} does not respond")
        elif not isinstance(path, Probe) and not observation.has_room(
            self._extra_requests(call), now_s
        ):
            detail = f"{observation.in_flight} requests in flight at endpoint {name}"
            self.refuse(call, "no-room", detail)
        elif not self.admission.admits(call, record):
            self.admission.settle(call)
        elif not self.limits.try_take(record, now_s, self._is_urgent(call)):
            self._refuse_limited(call, [record])
        else:
            self._send_on(path, call, record)

    def _send_on(self, path, call, record):
        """Send a call on a path to an endpoint."""
        match path:
            case Direct():
                self.forward(call, record)
            case Probe():
                self._probe(call, record)
            case Relayed(relay):
                self.forward(call, record, relay)

    def _probe(self, call, record):
        """Send a call over a new connection to an endpoint that may be unreachable.

        Open connections may no longer work although new ones do.
        """
        self.outbox.add(CloseIdleConnections(record.address))
        self.forward(call, record)

    def wait_for_holder(self, call):
        """Delay a call while its key has no holder, or refuse it if it has waited too long."""
        if self.zone_evacuations.are_all_evacuated(self._records_of(call.service)):
            self._refuse_evacuated(call, f"service {call.service} is in evacuated zones only")
            return
        now_s = self.timers.now_s
        left_s = call.deadline_s - now_s
        wait_s = min(MAX_KEY_WAIT_S - (now_s - call.arrived_s), MAX_KEY_WAIT_SHARE * left_s)
        if wait_s <= 0:
            self.refuse(call, "key-moving", f"unit {call.key // KEYS_PER_UNIT} has no holder")
            return
        call.awaited_unit = (call.service, call.key // KEYS_PER_UNIT)
        self.waiting_calls.setdefault(call.awaited_unit, []).append(call)
        call.timer = self.timers.subscribe(wait_s, lambda: self._on_holder_wait_expired(call))
        self.outbox.add(WatchCaller(call.token))

    def _on_holder_wait_expired(self, call):
        call.timer = None
        self.stop_waiting_for_holder(call)
        self.refuse(call, "key-moving", f"unit {call.key // KEYS_PER_UNIT} has no holder")

    def stop_waiting_for_holder(self, call):
        """Remove a call from those that wait for a holder of their key."""
        calls = self.waiting_calls.get(call.awaited_unit, [])
        if call in calls:
            calls.remove(call)
            if not calls:
                del self.waiting_calls[call.awaited_unit]
        call.awaited_unit = None

    # --- Services without keys -----------------------------------------------------

    def _send_to_any(self, call):
        all_records = self._records_of(call.service)
        records = self.zone_evacuations.without_evacuated(all_records)
        path, record, limited = self._pick_endpoint(call, records)
        if record is None and self.admission.settle(call):
            return
        if record is None and limited:
            self._refuse_limited(call, limited, self._shortest_pause_s(records))
        elif all_records and not records:
            self._refuse_evacuated(call, f"service {call.service} is in evacuated zones only")
        elif record is None:
            code = "no-room" if call.tried_endpoints else "no-endpoint"
            if call.unreached_endpoints:
                code = "connect-failed"
            detail = f"service {call.service} has {len(records)} endpoints"
            self.refuse(call, code, detail, self._shortest_pause_s(records))
        else:
            self._send_on(path, call, record)

    def _pick_endpoint(self, call, records):
        """Return a path, the endpoint that it leads to, and endpoints whose limits are used up.

        The endpoint is ``None`` if no endpoint can be tried.
        """
        limited = []
        if len(call.unreached_endpoints) < MAX_CONNECT_FAILURES:
            excluded = (*call.tried_endpoints, *call.unreached_endpoints)
            pick = self.preferred.picker_for(call)
            record, limited = self._pick_within_limits(call, records, pick, excluded)
            if record is not None:
                return Probe() if self.paths.is_lost(record) else Direct(), record, limited
        relayed = [r for r in records if self.paths.pick_relay(call, r)]
        pick = self.endpoint_picker.pick_lost
        record, also_limited = self._pick_within_limits(call, relayed, pick, call.tried_endpoints)
        if record is None:
            return NoPath(), None, limited + also_limited
        return Relayed(self.paths.pick_relay(call, record)), record, limited

    def _pick_within_limits(self, call, records, pick, excluded):
        """Return an endpoint whose limit admits a call, or ``None``, and those that do not."""
        now_s = self.timers.now_s
        excluded = list(excluded)
        limited, full_count = [], 0
        extra, objective_s = self._extra_requests(call), call.route.objective_s
        while full_count < MAX_EXCLUDING_ENDPOINTS:
            record = pick(records, excluded, extra, objective_s, now_s)
            if record is None:
                break
            excluded.append(record.name)
            if not self.admission.admits(call, record):
                full_count += 1
            elif self.limits.try_take(record, now_s, self._is_urgent(call)):
                return record, limited
            else:
                limited.append(record)
        return None, limited

    def _refuse_limited(self, call, limited, pause_s=None):
        refusal = self.limits.refusal(limited, self.timers.now_s, pause_s)
        self.refuse(call, refusal.code, refusal.detail, refusal.retry_after_s)

    def _shortest_pause_s(self, records):
        """Return when the first endpoint accepts requests again, ``None`` if one does already."""
        now_s = self.timers.now_s
        pauses_s = [
            self.notices.pause_left_s(record, now_s)
            for record in records
            if self.notices.accepts_any(record)
        ]
        return min(pauses_s, default=0.0) or None

    # --- All services --------------------------------------------------------------

    def _records_of(self, service):
        names = self.replica.by_service.get(service, ())
        return [self.replica.endpoints[name] for name in names]

    def _refuse_evacuated(self, call, detail):
        learnt_s = max(self.zone_evacuations.learnt_s.values(), default=0.0)
        age_s = self.timers.now_s - learnt_s
        self.refuse(call, "zone-evacuated", f"{detail}, known for {age_s:.1f} s")

    def _rank_of(self, call):
        """Return the rank of a call's priority in its service; 0 is the most urgent."""
        return self.ranks.get((call.service, call.route.priority), 0)

    def _extra_requests(self, call):
        """Return the number of requests beyond the limit that a call's priority allows.

        An endpoint serves its queue in order of arrival. So urgent requests can only be
        preferred by holding back the others.
        """
        return URGENT_EXTRA_REQUESTS if self._is_urgent(call) else 0

    def _is_urgent(self, call):
        rank = self.ranks.get((call.service, call.route.priority))
        return rank is not None and rank < self.least_urgent_ranks[call.service]

    def forward(self, call, record, relay=""):
        """Send a call to an endpoint, through another router if ``relay`` is its address."""
        now_s = self.timers.now_s
        call.endpoint = record.name
        call.relay = relay
        call.endpoint_started_ms = record.started_ms
        call.begin_attempt(now_s)
        call.is_first_there = record.name not in call.tried_endpoints
        if call.is_first_there:
            call.tried_endpoints.append(record.name)
        self.observations.note_sent(record.name, now_s)
        if relay:
            self.paths.relays.note_sent(relay)
        self.attempt_watch.begin(call)
        self.outbox.add(
            Forward(
                call.token,
                record.name,
                record.address,
                {},
                min(call.deadline_s, self.closes_s) - now_s,
                self.is_closing,
                self.limits.is_limited(record, now_s),
                relay,
                self.paths.connect_timeout_s(call, record, self.is_keyed(call)),
                self.link_schedule.is_long(call.route),
            )
        )
