"""Decides about each caller's request of a system with named routes."""

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from greengagerock.core.seam import (
    CancelAttempt,
    DropConnections,
    Forward,
    WatchCaller,
)
from greengagerock.holdings.units import UNIT_KEYS
from greengagerock.routing.answers import AnswerDesk
from greengagerock.routing.calls import Call
from greengagerock.routing.demand import KeyDemand
from greengagerock.routing.failures import (
    REASON_CALLER,
    REASON_CONNECT,
    REASON_LOST,
    REASON_NOT_OWNER,
    REASON_REFUSED,
    REASON_TIMEOUT,
)
from greengagerock.routing.health import EndpointHealth
from greengagerock.routing.observed import ObservedEndpoints
from greengagerock.routing.parts import PartPicker
from greengagerock.routing.picker import EndpointPicker
from greengagerock.routing.places import Places
from greengagerock.routing.priorities import lowest_priorities
from greengagerock.routing.stats import RouterStats
from greengagerock.routing.suspects import AnsweredRequests, CrashReport, fingerprint_call

# A key that moves with a handover has a new holder within one report interval.
KEY_WAIT_S = 0.5
# No caller waits for a key longer than this share of its time.
KEY_WAIT_SHARE = 0.3
# From then on the loop watches whether the caller is still there.
WATCH_AFTER_S = 0.2
# A holder that refuses though it is not full is asked again after so long, and so often.
REFUSED_PAUSE_S = 0.02
MAX_ARRIVALS = 3
# Requests that an urgent route may have at an endpoint beyond the limit.
URGENT_EXTRA = 1
# A request with less time left than this is not worth sending.
MIN_SEND_S = 0.005


class Dispatcher:
    """Routes calls to endpoints.

    Args:
        zone: Availability zone of this host.
        replica: The ``ViewReplica``.
        budget: The ``SharedRetryBudget``.
        timers: The timer service.
        outbox: Receives effects.
        random: Source of chance.
        report_crash: Callable that sends a ``CrashReport`` to the leader.

    Attributes:
        calls: Calls in progress by token.
        answers: The ``AnswerDesk``.
        demand: The ``KeyDemand``.
        stopping: Whether new requests are refused.
        banned: Fingerprints of requests that crashed several endpoints.
        stats: The ``RouterStats``.
    """

    def __init__(self, zone, replica, budget, timers, outbox, random, report_crash):
        self.zone = zone
        self.replica = replica
        self.budget = budget
        self.timers = timers
        self.outbox = outbox
        self.report_crash = report_crash
        self.places = Places()
        self.lowest_priority = {}
        self.parts = PartPicker(random)
        self.observed = ObservedEndpoints(replica.expected_s)
        self.health = EndpointHealth()
        self.picker = EndpointPicker(zone, self.observed, self.health, random)
        self.answered = AnsweredRequests()
        self.demand = KeyDemand()
        self.stats = RouterStats()
        self.answers = AnswerDesk(replica, self.stats, timers, outbox)
        self.calls = {}
        self.waiting = {}
        self.banned = frozenset()
        self.stopping = False

    # --- Events --------------------------------------------------------------------

    def on_call(self, event):
        """Take in a ``CallArrived``."""
        now_s = self.timers.now_s
        if self.stopping or not self.replica.is_filled:
            self.answers.refuse_unrouted(event, "stopping" if self.stopping else "not-ready")
            return
        route = self.places.find(event.host, event.path)
        if route is None:
            self.answers.refuse_unrouted(event, "unknown-route")
            return
        deadline_s = now_s + min(event.budget_s, route.timeout_s)
        call = Call(event, route, self.parts.pick(route), now_s, deadline_s)
        if self._is_keyed(call):
            self.demand.count(call.service, call.key)
        call.fingerprint = fingerprint_call(event, route)
        self.calls[call.token] = call
        self.budget.count_request(call.service, now_s)
        if call.fingerprint in self.banned:
            self._refuse(call, "request-suspended", "it broke off several endpoints")
            return
        self._send(call)

    def on_attempt_failed(self, event):
        """Take in an ``AttemptFailed``: try again, or answer."""
        call = self.calls.get(event.token)
        if call is None:
            return
        endpoint = self._end_attempt(call)
        now_s = self.timers.now_s
        call.body_used = call.body_used or event.body_used
        self.answers.note_failed(call, event, endpoint)
        if call.is_abandoned:
            self._finish(call, "caller-gone", OUTCOME_UNKNOWN)
            return
        if event.reason == REASON_REFUSED:
            self._on_refused(call, endpoint)
        elif event.reason == REASON_NOT_OWNER:
            self._on_not_owner(call, endpoint)
        elif event.reason == REASON_CALLER:
            outcome = OUTCOME_UNKNOWN if event.bytes_left else OUTCOME_NOT_RUN
            self._finish(call, "bad-request", outcome)
        elif event.reason == REASON_CONNECT or not event.bytes_left:
            self._on_unreachable(call, endpoint)
        elif event.reason == REASON_TIMEOUT:
            self.health.note_failure(endpoint, now_s)
            self._finish(call, "deadline-exceeded", OUTCOME_UNKNOWN)
        else:
            self._on_lost(call, event, endpoint)

    def on_ended(self, event):
        """Take in a ``RequestEnded``."""
        call = self.calls.pop(event.token, None)
        if call is None:
            return
        call.stop_timer()
        endpoint = self._end_attempt(call)
        outcome = "answered" if event.complete else "cut-off"
        if event.took_s:
            seen = self.observed.of(endpoint)
            if seen.is_doubtful(self.timers.now_s):
                self._give_up_silent(endpoint, call.sent_s)
            seen.note_answer(event.took_s, call.route.objective_s, self.timers.now_s)
        if event.complete:
            self.health.note_success(endpoint)
            self.answered.note(call.fingerprint)
        self.stats.count(call.service, outcome)

    def on_caller_gone(self, event):
        """Stop working for a caller that closed its connection."""
        call = self.calls.get(event.token)
        if call is None:
            return
        self.outbox.log(
            "caller-gone",
            request_id=call.request_id,
            endpoint=call.endpoint,
            waited_ms=round(1000 * (self.timers.now_s - call.arrived_s)),
        )
        if call.route.is_idempotent:
            call.is_abandoned = True
            self.outbox.add(CancelAttempt(call.token))

    def on_items(self):
        """Use the newest routes."""
        routes = self.replica.routes.values()
        self.places = Places(routes)
        self.lowest_priority = lowest_priorities(routes)

    def on_live(self, changed_endpoints, changed_units):
        """Use the newest endpoints and holders."""
        for name in changed_endpoints:
            if name not in self.replica.endpoints:
                self.observed.forget(name)
        for unit in changed_units:
            for call in self.waiting.pop(unit, ()):
                if call.token in self.calls:
                    call.stop_timer()
                    call.unit = None
                    self._send(call)

    # --- Sending -------------------------------------------------------------------

    def _send(self, call):
        if call.deadline_s - self.timers.now_s < MIN_SEND_S:
            self._refuse(call, "no-room", "no time is left")
            return
        service = self.replica.services.get(call.service)
        if service is not None and service.keyed and call.key is not None:
            self._send_to_holder(call)
        else:
            self._send_to_any(call)

    def _send_to_holder(self, call):
        name = self.replica.owner_of(call.service, call.key)
        record = self.replica.endpoints.get(name)
        if record is None:
            self._wait_for_holder(call)
            return
        now_s = self.timers.now_s
        seen = self.observed.of(name)
        is_doubtful = seen.is_doubtful(now_s) or self.health.is_avoided(name, now_s)
        if is_doubtful and not seen.may_probe(now_s):
            self._refuse(call, "connect-failed", f"endpoint {name} does not answer")
        elif is_doubtful:
            self._probe(call, record)
        elif not seen.has_room(self._extra_room(call), now_s):
            self._refuse(call, "no-room", f"{seen.in_flight} requests are at {name}")
        else:
            self._forward(call, record)

    def _probe(self, call, record):
        """Find out on a new connection whether a doubtful endpoint answers.

        Open connections may have gone silent while new ones work.
        """
        self.outbox.add(DropConnections(record.address))
        self._forward(call, record)

    def _give_up_silent(self, endpoint, sent_s):
        """Cancel older attempts at an endpoint that has answered a later one at once."""
        now_s = self.timers.now_s
        silence_s = self.observed.of(endpoint).silence_s
        for call in self.calls.values():
            is_older = call.sent_s < min(sent_s, now_s - silence_s)
            if call.endpoint == endpoint and is_older and call.route.is_idempotent:
                self.outbox.add(CancelAttempt(call.token, only_reused=True))

    def _extra_room(self, call):
        """Return how many requests beyond the limit a call's priority allows.

        An endpoint's queue is first come, first served, so what is urgent can only be
        preferred by holding back the rest.
        """
        return URGENT_EXTRA if self._is_urgent(call) else 0

    def _is_urgent(self, call):
        """Return whether the service of a call has less urgent routes."""
        lowest = self.lowest_priority.get(call.service)
        priority = call.route.priority
        return lowest is not None and priority is not None and priority < lowest

    def _send_to_any(self, call):
        names = self.replica.by_service.get(call.service, ())
        records = [self.replica.endpoints[name] for name in names]
        is_long = call.route.kind == "download"
        record = self.picker.pick(
            records, call.tried, self._extra_room(call), is_long, self.timers.now_s
        )
        if record is None:
            code = "no-room" if call.tried else "no-endpoint"
            self._refuse(call, code, f"service {call.service} has {len(records)} endpoints")
        else:
            self._forward(call, record)

    def _forward(self, call, record):
        now_s = self.timers.now_s
        call.endpoint = record.name
        call.sent_s = now_s
        call.arrivals += 1
        if record.name not in call.tried:
            call.tried.append(record.name)
        self.observed.of(record.name).note_sent(now_s)
        call.stop_timer()
        call.timer = self.timers.subscribe(WATCH_AFTER_S, lambda: self._watch(call))
        self.outbox.add(
            Forward(
                call.token,
                record.name,
                record.address,
                {},
                call.deadline_s - now_s,
                self.answers.closing,
            )
        )

    def _watch(self, call):
        call.timer = None
        if call.token in self.calls and call.endpoint:
            self.outbox.add(WatchCaller(call.token))

    def _wait_for_holder(self, call):
        """Keep a request for a moment while its key is handed over."""
        now_s = self.timers.now_s
        left_s = call.deadline_s - now_s
        wait_s = min(KEY_WAIT_S - (now_s - call.arrived_s), KEY_WAIT_SHARE * left_s)
        if wait_s <= 0:
            self._refuse(call, "key-moving", f"unit {call.key // UNIT_KEYS} has no holder")
            return
        call.unit = (call.service, call.key // UNIT_KEYS)
        self.waiting.setdefault(call.unit, []).append(call)
        call.timer = self.timers.subscribe(wait_s, lambda: self._stop_waiting(call))

    def _stop_waiting(self, call):
        call.timer = None
        queue = self.waiting.get(call.unit)
        if queue and call in queue:
            queue.remove(call)
            if not queue:
                del self.waiting[call.unit]
        call.unit = None
        if call.token in self.calls:
            self._refuse(call, "key-moving", f"unit {call.key // UNIT_KEYS} has no holder")

    # --- Failures ------------------------------------------------------------------

    def _end_attempt(self, call):
        endpoint, call.endpoint = call.endpoint, ""
        call.stop_timer()
        if endpoint:
            self.observed.of(endpoint).note_ended()
        return endpoint

    def _on_refused(self, call, endpoint):
        """The endpoint said that it did not run the request."""
        now_s = self.timers.now_s
        seen = self.observed.of(endpoint)
        seen.note_shed(call.route.objective_s, now_s)
        is_worth_it = not seen.is_busy(call.route.objective_s) and call.arrivals < MAX_ARRIVALS
        if not self._is_keyed(call):
            self._try_again_or(call, "endpoint-refused", OUTCOME_NOT_RUN)
        elif is_worth_it and self._may_send_again(call):
            # Nobody else may answer, and an endpoint that is not full may accept it now.
            call.timer = self.timers.subscribe(REFUSED_PAUSE_S, lambda: self._send_late(call))
        else:
            self._finish(call, "endpoint-refused", OUTCOME_NOT_RUN)

    def _send_late(self, call):
        call.timer = None
        if call.token in self.calls:
            self._send(call)

    def _on_unreachable(self, call, endpoint):
        """No connection could be opened, so the request was certainly not run."""
        now_s = self.timers.now_s
        seen = self.observed.of(endpoint)
        is_news = not seen.is_unreachable
        seen.is_unreachable = True
        seen.probed_s = now_s
        self.health.note_failure(endpoint, now_s)
        call.arrivals -= 1
        record = self.replica.endpoints.get(endpoint)
        if call.deadline_s - now_s < MIN_SEND_S:
            self._refuse(call, "no-room", "no time is left")
        elif self._is_keyed(call) and is_news and record is not None and not call.body_used:
            # A lost packet looks the same; only a second failure tells that it is gone.
            self._forward(call, record)
        else:
            self._try_again_or(call, "connect-failed", OUTCOME_NOT_RUN)

    def _on_not_owner(self, call, endpoint):
        """The endpoint does not hold the key, or another endpoint has its address."""
        if not self._may_send_again(call):
            self._finish(call, "key-moving", OUTCOME_NOT_RUN)
            return
        if self._is_keyed(call) and self.replica.owner_of(call.service, call.key) == endpoint:
            self._wait_for_holder(call)
        else:
            self._send(call)

    def _on_lost(self, call, event, endpoint):
        call.may_have_run = True
        self.health.note_failure(endpoint, self.timers.now_s)
        record = self.replica.endpoints.get(endpoint)
        if record is not None and event.reason == REASON_LOST:
            known = call.fingerprint in self.answered
            self.report_crash(
                CrashReport(
                    call.fingerprint,
                    call.service,
                    call.request_id,
                    endpoint,
                    str(record.born_ms),
                    known,
                )
            )
        if call.route.is_idempotent:
            self._try_again_or(call, "answer-lost", OUTCOME_UNKNOWN)
        else:
            self._finish(call, "answer-lost", OUTCOME_UNKNOWN)

    def _try_again_or(self, call, code, outcome):
        """Send a request once more if that is safe and allowed, else answer."""
        if self._is_keyed(call) and code != "answer-lost":
            # Only the holder can answer, and it has just refused or cannot be reached.
            self._finish(call, code, outcome)
        elif self._may_send_again(call):
            self._send(call)
        else:
            self._finish(call, code, outcome)

    def _may_send_again(self, call):
        if call.body_used or len(call.tried) >= call.route.attempts:
            return False
        if call.deadline_s - self.timers.now_s < self.observed.of(call.tried[-1]).mean_s:
            return False
        if call.arrivals and not self.budget.take(call.service, self.timers.now_s):
            return False
        self.stats.retries += 1
        return True

    def _is_keyed(self, call):
        service = self.replica.services.get(call.service)
        return service is not None and service.keyed is not None and call.key is not None

    # --- Ends ----------------------------------------------------------------------

    def _refuse(self, call, code, detail):
        self._finish(call, code, OUTCOME_NOT_RUN, detail)

    def _finish(self, call, code, outcome, detail=""):
        self.calls.pop(call.token, None)
        call.stop_timer()
        self.answers.answer(call, code, outcome, detail)
