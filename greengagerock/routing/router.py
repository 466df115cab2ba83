"""The router: which endpoint gets a request, and what a failure means."""

from greengagerock.agent.orders import ORDER_HEADER, Order
from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, GreengageError
from greengagerock.core.seam import (
    Answer,
    CancelAttempt,
    DropConnections,
    Forward,
    WatchCaller,
)
from greengagerock.model import STATE_LOST, extract_key
from greengagerock.routing.choice import choose_endpoint
from greengagerock.routing.claims import CLAIMED, DUPLICATE, UNSURE, ClaimDesk
from greengagerock.routing.failures import (
    CODE_BY_REASON,
    REASON_CALLER,
    REASON_LOST,
    REASON_REFUSED,
    is_certainly_not_run,
)
from greengagerock.routing.health import EndpointHealth, RetryBudget
from greengagerock.routing.requests import InFlight, RequestRegistry, parse_timeout_s
from greengagerock.routing.stats import RouterStats
from greengagerock.routing.suspects import AnsweredRequests, CrashReport, fingerprint_request

# Failed attempts that say nothing against the endpoint.
_NO_FAULT = (REASON_REFUSED, REASON_CALLER)
QUEUE_PER_ENDPOINT = 12

# A request that broke more connections than this is not sent again: it may be what
# makes its endpoints crash.
MOST_LOSSES = 1

# Nothing heard for so long on a used connection makes it suspect.
SILENCE_S = 1.0
SWEEP_INTERVAL_S = 0.25

# Failures that count as unavailable time; the others are the caller's or a limit's.
UNAVAILABLE_CODES = frozenset(
    {
        "no-owner",
        "no-endpoint",
        "no-route-lease",
        "connect-failed",
        "endpoint-refused",
        "answer-lost",
        "deadline-exceeded",
    }
)


class Router:
    """Routes callers' requests.

    Args:
        zone: Availability zone of this host.
        history: This host's routes.
        lease: The route lease.
        timers: The timer service.
        outbox: Receives effects.
        random: Source of chance for the choice between equal endpoints.
    """

    def __init__(self, zone, history, lease, timers, outbox, random):
        self.zone = zone
        self.history = history
        self.lease = lease
        self.timers = timers
        self.outbox = outbox
        self.random = random
        self.registry = RequestRegistry()
        self.stats = RouterStats()
        self.health = EndpointHealth()
        self.answered = AnsweredRequests()
        self.leader_address = lambda: ""
        self.claims = ClaimDesk(history, timers, outbox)
        self.budget = RetryBudget()
        self._sweeping = False
        self.closing = False
        self.stopping = False

    def readiness(self):
        """Return the empty string if this host takes callers, else an error code."""
        if self.closing:
            return "stopping"
        return "" if self.history.version else "not-ready"

    def acknowledged(self):
        """Return the route version in force for all requests."""
        return self.registry.acknowledged(self.history.version)

    def on_routes(self):
        """Take note that the routes have changed."""
        for token in self.registry.raise_barriers(self.history.routes):
            self.outbox.add(CancelAttempt(token))

    # --- Arrival -------------------------------------------------------------------

    def on_request(self, event):
        """Decide about a new request."""
        try:
            if self.stopping:
                raise GreengageError("stopping", "another entry host will answer")
            request = self._accept(event)
            self.budget.earn()
            self.registry.add(request)
            if request.idempotency_key:
                self._claim(request)
            else:
                self._send(request)
        except GreengageError as error:
            self._give_up(event, error, OUTCOME_NOT_RUN)

    def _claim(self, request):
        """Make sure that nobody else has run this request, before it is sent."""
        event = request.event
        self.claims.begin(
            event.token,
            event.service,
            request.idempotency_key,
            event.request_id,
            lambda result: self._on_claim(request, result),
        )

    def _on_claim(self, request, result):
        event = request.event
        if event.token not in self.registry.by_token:
            return
        try:
            if result == DUPLICATE:
                raise GreengageError("duplicate-request", "a request with this key came before")
            if result == UNSURE:
                raise GreengageError("duplicate-unsure", "too few recorders know about this key")
            request.claimed = True
            self._send(request)
        except GreengageError as error:
            certain = result == CLAIMED
            self._give_up(event, error, OUTCOME_NOT_RUN if certain else OUTCOME_UNKNOWN)

    def _accept(self, event):
        routes = self.history.routes
        if not routes.version:
            raise GreengageError("not-ready", "this router has no routes yet")
        service = routes.services.get(event.service)
        if service is None:
            raise GreengageError("unknown-service", f"no service {event.service!r}")
        unit = None
        if service.keyed:
            key = extract_key(service.key_rule, event.path, event.query, event.headers)
            if not key:
                raise GreengageError("missing-key", f"service {service.name!r} needs a key")
            unit = routes.unit_of(service, key)
        timeout_s = parse_timeout_s(event.headers, service.timeout_s)
        request = InFlight(event, service, unit, self.timers.now_s + timeout_s)
        request.fingerprint = fingerprint_request(event)
        if request.fingerprint in routes.bans:
            raise GreengageError("request-banned", f"see 'show bans': {request.fingerprint}")
        return request

    def _send(self, request):
        if self.timers.now_s >= request.deadline_s:
            raise GreengageError("deadline-exceeded", "the deadline passed before sending")
        if request.unit is None:
            endpoint, fence = self._choose(request), 0
        else:
            endpoint, fence = self._owner(request)
        self._admit(endpoint)
        self.registry.assign(request, endpoint.name, fence)
        request.sent_s = self.timers.now_s
        self._arm_sweep()
        self.outbox.add(self._forward(request, endpoint, fence))

    def _owner(self, request):
        routes = self.history.routes
        owner = routes.owner_of(request.unit)
        endpoint = routes.endpoints.get(owner.endpoint)
        if endpoint is None or endpoint.state == STATE_LOST:
            raise GreengageError("no-owner", f"slot {request.unit.label} has no owner")
        is_home = endpoint.zone == self.zone
        if not self.lease.allows(request.service, is_home, self.timers.now_s):
            raise GreengageError("no-route-lease", "this router is cut off from its keeper")
        return endpoint, owner.fence

    def _choose(self, request):
        endpoint = choose_endpoint(
            self.history.routes.endpoints_of(request.service.name),
            self.zone,
            request.tried,
            self.registry.load_of,
            lambda name: self.health.is_avoided(name, self.timers.now_s),
            self.random,
        )
        if endpoint is None:
            raise GreengageError("no-endpoint", f"no endpoint of {request.service.name!r} is left")
        return endpoint

    def _admit(self, endpoint):
        limit = endpoint.concurrency + QUEUE_PER_ENDPOINT
        if self.registry.load_of(endpoint.name) >= limit:
            self.stats.sheds += 1
            raise GreengageError("overloaded", f"{endpoint.name} has {limit} requests from here")

    def _forward(self, request, endpoint, fence):
        timeout_s = request.deadline_s - self.timers.now_s
        headers = {
            "Greengage-Request-Id": request.event.request_id,
            "Greengage-Timeout-Ms": str(int(timeout_s * 1000)),
        }
        if request.unit is not None:
            order = Order(request.unit.label, fence, endpoint.incarnation)
            headers[ORDER_HEADER] = order.to_header()
        return Forward(
            request.event.token,
            endpoint.name,
            endpoint.address,
            headers,
            timeout_s,
            self.closing,
        )

    # --- Failure and end -----------------------------------------------------------

    def _arm_sweep(self):
        if not self._sweeping:
            self._sweeping = True
            self.timers.subscribe(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self):
        """Give up used connections on which nothing has come for long.

        Something between the two ends may have lost track of them. The shell ignores
        this for a new connection, whose endpoint is merely slow.
        """
        self._sweeping = False
        for token, request in self.registry.by_token.items():
            if not request.watched:
                # Most requests are answered sooner and spare the cost.
                request.watched = True
                self.outbox.add(WatchCaller(token))
            if request.may_be_resent and self._is_silent(request):
                request.silent = True
                self.outbox.add(CancelAttempt(token, only_reused=True))
        if len(self.registry):
            self._arm_sweep()

    def _is_silent(self, request):
        waits_s = self.timers.now_s - request.sent_s
        return not request.answering and not request.silent and waits_s > SILENCE_S

    def on_answer_began(self, event):
        """Take note that the head of an answer has come."""
        request = self.registry.get(event.token)
        if request is not None:
            self._note_answer(request)

    def _note_answer(self, request):
        if request.answering:
            return
        request.answering = True
        self.answered.note(request.fingerprint)
        if self.stats.failing_since_s:
            now_s = self.timers.now_s
            self.stats.note_answer(request.service.name, request.unit, now_s)
        self.health.note_success(request.endpoint)
        if request.resent:
            self._settle_silent_siblings(request)

    def _settle_silent_siblings(self, request):
        """Give up older attempts at an endpoint that answers on a new connection."""
        for token, other in self.registry.by_token.items():
            if other.endpoint == request.endpoint and self._is_silent(other):
                other.silent = True
                self.outbox.add(CancelAttempt(token, only_reused=True))

    def on_answer_broken(self, event):
        """Decide whether the rest of an answer is asked for, and from whom."""
        request = self.registry.get(event.token)
        if request is None:
            return
        self.health.note_failure(request.endpoint, self.timers.now_s)
        self.registry.unassign(request)
        try:
            if not event.resumable or request.abandoned or not self.budget.take():
                raise GreengageError("answer-lost", "the answer broke off")
            # A part that was passed on proves that this endpoint can serve the rest,
            # once it is back; only the request's own time starts anew.
            request.tried = request.tried[-1:] if request.unit is None else []
            request.deadline_s = self.timers.now_s + request.service.timeout_s
            self.stats.retries += 1
            self._send(request)
        except GreengageError as error:
            self._give_up(request.event, error, OUTCOME_UNKNOWN)

    def on_caller_gone(self, event):
        """Pass the cancellation on to the endpoint."""
        request = self.registry.get(event.token)
        if request is not None:
            request.abandoned = True
            self.outbox.add(CancelAttempt(event.token))

    def on_attempt_failed(self, event):
        """Decide whether to try again or to give up."""
        request = self.registry.get(event.token)
        if request is None:
            return
        if request.silent and not request.abandoned:
            self._drop_connections(request)
        elif event.reason not in _NO_FAULT and not request.abandoned:
            self.health.note_failure(request.endpoint, self.timers.now_s)
            if event.reason == REASON_LOST and not request.orphaned:
                self._report_crash(request)
        self.registry.unassign(request)
        try:
            if not self._may_retry(request, event):
                code = CODE_BY_REASON[event.reason]
                raise GreengageError(code, f"endpoint {request.tried[-1]}")
            self.stats.retries += 1
            self._send(request)
        except GreengageError as error:
            outcome = OUTCOME_NOT_RUN if is_certainly_not_run(event) else OUTCOME_UNKNOWN
            self._give_up(request.event, error, outcome)

    def _report_crash(self, request):
        """Tell the leader that an endpoint broke off while it ran this request."""
        request.losses += 1
        endpoint = self.history.routes.endpoints.get(request.endpoint)
        leader = self.leader_address()
        if endpoint is None or not leader:
            return
        report = CrashReport(
            request.fingerprint,
            request.service.name,
            f"{request.event.method} /{request.event.service}{request.event.path}",
            endpoint.name,
            endpoint.incarnation,
            request.fingerprint in self.answered,
        )
        self.outbox.send(leader, report)

    def _drop_connections(self, request):
        """Treat the other idle connections to an endpoint like the one that went silent."""
        endpoint = self.history.routes.endpoints.get(request.endpoint)
        if endpoint is not None:
            self.outbox.add(DropConnections(endpoint.address))

    def _may_retry(self, request, event):
        if event.body_used or request.abandoned or request.orphaned:
            return False
        if request.silent and request.may_be_resent:
            # The same endpoint, over a new connection.
            request.silent = False
            request.resent = True
            request.tried.clear()
            return self.budget.take()
        if request.unit is not None or request.losses > MOST_LOSSES:
            return False
        return (is_certainly_not_run(event) or request.is_idempotent) and self.budget.take()

    def on_request_ended(self, event):
        """Take note that the caller has the endpoint's answer, or that it broke off."""
        request = self.registry.get(event.token)
        if request is not None:
            self._note_answer(request)
            self.registry.remove(event.token)
            outcome = "answered" if event.complete else "broken-off"
            self.stats.count(request.service.name, outcome)

    def _give_up(self, event, error, outcome):
        request = self.registry.remove(event.token)
        if request is not None and error.code in UNAVAILABLE_CODES:
            self.stats.note_failure(request.service.name, request.unit, self.timers.now_s)
        if request is not None and request.claimed and outcome == OUTCOME_NOT_RUN:
            self.claims.release(event.service, request.idempotency_key, event.request_id)
        known = event.service in self.history.routes.services
        self.stats.count(event.service if known else "", error.code)
        self.outbox.add(Answer(event.token, error.code, outcome, error.detail, self.closing))
        self.outbox.log(
            "request-failed",
            request_id=event.request_id,
            service=event.service,
            code=error.code,
            outcome=outcome,
            detail=error.detail,
        )
