"""Routing of requests to endpoints, and handling of failed attempts."""

from greengagerock.agent.orders import ORDER_HEADER, Order
from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, GreengageError
from greengagerock.core.interface import (
    CancelAttempt,
    CloseIdleConnections,
    Forward,
    RespondWithError,
    WatchCaller,
)
from greengagerock.model import STATE_LOST, extract_key
from greengagerock.routing.choice import choose_endpoint
from greengagerock.routing.crash_suspects import CrashReport, RecentResponses, fingerprint_request
from greengagerock.routing.failures import (
    CODE_BY_REASON,
    REASON_CALLER,
    REASON_CONNECTION_LOST,
    REASON_REFUSED,
    REASON_RESET,
    is_certainly_not_run,
)
from greengagerock.routing.health import EndpointHealth, RetryBudget
from greengagerock.routing.key_claimer import CLAIMED, DUPLICATE, UNSURE, KeyClaimer
from greengagerock.routing.requests import InFlightRequest, RequestRegistry, parse_timeout_s
from greengagerock.routing.stats import RouterStats

# Reasons for failed attempts that are not the fault of the endpoint.
_REASONS_WITHOUT_FAULT = (REASON_REFUSED, REASON_CALLER)
# Requests that a router may have queued at an endpoint beyond its concurrency.
MAX_QUEUED_PER_ENDPOINT = 12

# A request that lost more connections than this is not sent again: it may be the cause of the
# crashes of its endpoints.
MAX_LOST_CONNECTIONS = 1

# Time without data after which a reused connection counts as silent.
SILENCE_S = 1.0
# Time between two checks for silent connections.
SWEEP_INTERVAL_S = 0.25

# Error codes that count as unavailable time; the others are due to the caller or to a limit.
UNAVAILABLE_CODES = frozenset(
    {
        "no-owner",
        "no-endpoint",
        "no-room",
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
        random: Random number generator for the choice of endpoints.

    Attributes:
        registry: The ``RequestRegistry``.
        stats: The ``RouterStats``.
        health: The ``EndpointHealth``.
        recent_responses: The ``RecentResponses``.
        leader_address: Callable that returns the leader's address, or the empty string.
        key_claimer: The ``KeyClaimer``.
        budget: The ``RetryBudget``.
        is_closing: Whether responses direct callers to other hosts.
        is_stopping: Whether new requests are refused.
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
        self.recent_responses = RecentResponses()
        self.leader_address = lambda: ""
        self.key_claimer = KeyClaimer(history, timers, outbox)
        self.budget = RetryBudget()
        self._is_sweep_scheduled = False
        self.is_closing = False
        self.is_stopping = False

    def readiness(self):
        """Return the empty string if this host accepts requests, else an error code."""
        if self.is_closing:
            return "stopping"
        return "" if self.history.version else "not-ready"

    def acknowledged_version(self):
        """Return the newest route version that is in effect for all requests."""
        return self.registry.acknowledged_version(self.history.version)

    def on_routes(self):
        """Process a change of the routes."""
        for token in self.registry.add_barriers(self.history.routes):
            self.outbox.add(CancelAttempt(token))

    # --- Arrival -------------------------------------------------------------------

    def on_request(self, event):
        """Route a new request, or refuse it."""
        try:
            if self.is_stopping:
                raise GreengageError("stopping", "this host is stopping; use another entry host")
            request = self._parse_request(event)
            self.budget.count_request()
            self.registry.add(request)
            if request.idempotency_key:
                self._claim(request)
            else:
                self._send(request)
        except GreengageError as error:
            self._refuse(event, error, OUTCOME_NOT_RUN)

    def _claim(self, request):
        """Claim a request's idempotency key before sending, so that it does not run twice."""
        event = request.event
        self.key_claimer.begin(
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
                raise GreengageError(
                    "duplicate-request", "a request with this idempotency key came before"
                )
            if result == UNSURE:
                raise GreengageError(
                    "duplicate-unsure",
                    "too few recorders confirmed that this idempotency key is new",
                )
            request.is_claimed = True
            self._send(request)
        except GreengageError as error:
            has_claimed = result == CLAIMED
            self._refuse(event, error, OUTCOME_NOT_RUN if has_claimed else OUTCOME_UNKNOWN)

    def _parse_request(self, event):
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
        request = InFlightRequest(event, service, unit, self.timers.now_s + timeout_s)
        request.fingerprint = fingerprint_request(event)
        if request.fingerprint in routes.bans:
            raise GreengageError("request-banned", f"see 'show bans': {request.fingerprint}")
        return request

    def _send(self, request):
        if self.timers.now_s >= request.deadline_s:
            code = "deadline-exceeded" if request.tried_endpoints else "no-room"
            raise GreengageError(code, "the deadline passed before sending")
        if request.unit is None:
            endpoint, fence = self._choose(request), 0
        else:
            endpoint, fence = self._find_owner(request)
        self._check_limit(endpoint)
        self.registry.assign(request, endpoint.name, fence)
        request.sent_s = self.timers.now_s
        self._schedule_sweep()
        self.outbox.add(self._forward(request, endpoint, fence))

    def _find_owner(self, request):
        routes = self.history.routes
        owner = routes.owner_of(request.unit)
        endpoint = routes.endpoints.get(owner.endpoint)
        if endpoint is None or endpoint.state == STATE_LOST:
            raise GreengageError("no-owner", f"slot {request.unit.label} has no owner")
        is_local_zone = endpoint.zone == self.zone
        if not self.lease.allows(request.service, is_local_zone, self.timers.now_s):
            raise GreengageError("no-route-lease", "this router has no valid route lease")
        return endpoint, owner.fence

    def _choose(self, request):
        endpoint = choose_endpoint(
            self.history.routes.endpoints_of(request.service.name),
            self.zone,
            request.tried_endpoints,
            self.registry.load_of,
            lambda name: self.health.is_avoided(name, self.timers.now_s),
            self.random,
        )
        if endpoint is None:
            raise GreengageError(
                "no-endpoint", f"no endpoint of {request.service.name!r} is left to try"
            )
        return endpoint

    def _check_limit(self, endpoint):
        limit = endpoint.concurrency + MAX_QUEUED_PER_ENDPOINT
        if self.registry.load_of(endpoint.name) >= limit:
            self.stats.sheds += 1
            raise GreengageError(
                "overloaded", f"{limit} requests in flight from this router at {endpoint.name}"
            )

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
            self.is_closing,
        )

    # --- Failure and end -----------------------------------------------------------

    def _schedule_sweep(self):
        if not self._is_sweep_scheduled:
            self._is_sweep_scheduled = True
            self.timers.subscribe(SWEEP_INTERVAL_S, self._check_silent_connections)

    def _check_silent_connections(self):
        """Cancel attempts on reused connections that have been silent for too long.

        A network device on the path may have dropped the state of such a connection. The I/O
        layer does not cancel attempts on a new connection, whose endpoint is merely slow. The
        callers of all requests in flight are watched from the first check on.
        """
        self._is_sweep_scheduled = False
        for token, request in self.registry.by_token.items():
            if not request.is_caller_watched:
                # Most requests end before the first sweep and do not incur this cost.
                request.is_caller_watched = True
                self.outbox.add(WatchCaller(token))
            if request.may_be_resent and self._is_silent(request):
                request.is_silent = True
                self.outbox.add(CancelAttempt(token, only_reused=True))
        if len(self.registry):
            self._schedule_sweep()

    def _is_silent(self, request):
        waited_s = self.timers.now_s - request.sent_s
        return not request.has_response and not request.is_silent and waited_s > SILENCE_S

    def on_response_started(self, event):
        """Process the arrival of the head of a response."""
        request = self.registry.get(event.token)
        if request is not None:
            self._note_response(request)

    def _note_response(self, request):
        if request.has_response:
            return
        request.has_response = True
        self.recent_responses.note(request.fingerprint)
        if self.stats.failing_since_s:
            now_s = self.timers.now_s
            self.stats.note_response(request.service.name, request.unit, now_s)
        self.health.note_success(request.endpoint)
        if request.was_resent:
            self._cancel_silent_attempts(request)

    def _cancel_silent_attempts(self, request):
        """Cancel older attempts at an endpoint that responds on a new connection."""
        for token, other in self.registry.by_token.items():
            if other.endpoint == request.endpoint and self._is_silent(other):
                other.is_silent = True
                self.outbox.add(CancelAttempt(token, only_reused=True))

    def on_response_interrupted(self, event):
        """Request the rest of an interrupted response, or respond with an error."""
        request = self.registry.get(event.token)
        if request is None:
            return
        self.health.note_failure(request.endpoint, self.timers.now_s)
        self.registry.unassign(request)
        try:
            if not event.resumable or request.is_abandoned or not self.budget.try_spend():
                raise GreengageError("answer-lost", "the response was interrupted")
            # Part of the response was passed on, so this endpoint can serve the rest once it is
            # available again. Only the time limit of the request starts anew.
            request.tried_endpoints = request.tried_endpoints[-1:] if request.unit is None else []
            request.deadline_s = self.timers.now_s + request.service.timeout_s
            self.stats.retries += 1
            self._send(request)
        except GreengageError as error:
            self._refuse(request.event, error, OUTCOME_UNKNOWN)

    def on_caller_disconnected(self, event):
        """Cancel the attempt of a request whose caller has disconnected."""
        request = self.registry.get(event.token)
        if request is not None:
            request.is_abandoned = True
            self.outbox.add(CancelAttempt(event.token))

    def on_attempt_failed(self, event):
        """Send a request again after a failed attempt, or respond with an error."""
        request = self.registry.get(event.token)
        if request is None:
            return
        if request.is_silent and not request.is_abandoned:
            self._close_idle_connections(request)
        elif event.reason not in _REASONS_WITHOUT_FAULT and not request.is_abandoned:
            self.health.note_failure(request.endpoint, self.timers.now_s)
            if event.reason in (REASON_CONNECTION_LOST, REASON_RESET) and not request.is_orphaned:
                self._report_crash(request)
        self.registry.unassign(request)
        try:
            if not self._may_retry(request, event):
                code = CODE_BY_REASON[event.reason]
                raise GreengageError(code, f"endpoint {request.tried_endpoints[-1]}")
            self.stats.retries += 1
            self._send(request)
        except GreengageError as error:
            outcome = OUTCOME_NOT_RUN if is_certainly_not_run(event) else OUTCOME_UNKNOWN
            self._refuse(request.event, error, outcome)

    def _report_crash(self, request):
        """Report to the leader that a connection was lost while an endpoint ran this request."""
        request.lost_connection_count += 1
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
            request.fingerprint in self.recent_responses,
        )
        self.outbox.send(leader, report)

    def _close_idle_connections(self, request):
        """Close the idle connections to an endpoint that had a silent connection."""
        endpoint = self.history.routes.endpoints.get(request.endpoint)
        if endpoint is not None:
            self.outbox.add(CloseIdleConnections(endpoint.address))

    def _may_retry(self, request, event):
        if event.is_body_consumed or request.is_abandoned or request.is_orphaned:
            return False
        if request.is_silent and request.may_be_resent:
            # Resend to the same endpoint over a new connection.
            request.is_silent = False
            request.was_resent = True
            request.tried_endpoints.clear()
            return self.budget.try_spend()
        if request.unit is not None or request.lost_connection_count > MAX_LOST_CONNECTIONS:
            return False
        return (is_certainly_not_run(event) or request.is_idempotent) and self.budget.try_spend()

    def on_request_ended(self, event):
        """Process the end of a response, complete or interrupted."""
        request = self.registry.get(event.token)
        if request is not None:
            self._note_response(request)
            self.registry.remove(event.token)
            outcome = "answered" if event.complete else "broken-off"
            self.stats.count(request.service.name, outcome)

    def _refuse(self, event, error, outcome):
        request = self.registry.remove(event.token)
        if request is not None and error.code in UNAVAILABLE_CODES:
            self.stats.note_failure(request.service.name, request.unit, self.timers.now_s)
        if request is not None and request.is_claimed and outcome == OUTCOME_NOT_RUN:
            self.key_claimer.release(event.service, request.idempotency_key, event.request_id)
        is_known_service = event.service in self.history.routes.services
        self.stats.count(event.service if is_known_service else "", error.code)
        self.outbox.add(
            RespondWithError(event.token, error.code, outcome, error.detail, self.is_closing)
        )
        self.outbox.log(
            "request-failed",
            request_id=event.request_id,
            service=event.service,
            code=error.code,
            outcome=outcome,
            detail=error.detail,
        )
