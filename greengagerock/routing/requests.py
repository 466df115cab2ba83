"""Requests in flight at one router."""

from greengagerock.core import GreengageError
from greengagerock.model import STATE_LOST

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
IDEMPOTENCY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "greengage-timeout-ms"
MILLISECONDS_PER_SECOND = 1000.0


class InFlightRequest:
    """A request that was sent to an endpoint or is about to be.

    Attributes:
        event: The ``RequestArrived`` event.
        service: Its service.
        unit: The unit of its key, or ``None`` for a service without keys.
        fence: Fence of the unit's owner that it was sent with.
        endpoint: Name of the endpoint of the current attempt, empty while there is none.
        tried_endpoints: Names of all endpoints that it was sent to.
        deadline_s: Time on the router's clock by which a response is due.
        sent_s: Time on the router's clock at which the current attempt was sent.
        fingerprint: Digest that it shares with its resends.
        lost_connection_count: Number of attempts whose connection was lost.
        is_claimed: Whether its idempotency key has been claimed for it.
        has_response: Whether the head of the response has arrived.
        is_silent: Whether its attempt was cancelled because the connection was silent.
        is_abandoned: Whether its caller has disconnected.
        is_caller_watched: Whether the connection of its caller is watched.
        was_resent: Whether it was sent again after a silent connection.
        is_orphaned: Whether its endpoint was declared lost, so that its attempt was cancelled and
            its response is not waited for.
    """

    __slots__ = (
        "deadline_s",
        "endpoint",
        "event",
        "fence",
        "fingerprint",
        "has_response",
        "is_abandoned",
        "is_caller_watched",
        "is_claimed",
        "is_silent",
        "lost_connection_count",
        "is_orphaned",
        "sent_s",
        "service",
        "tried_endpoints",
        "unit",
        "was_resent",
    )

    def __init__(self, event, service, unit, deadline_s):
        self.event = event
        self.service = service
        self.unit = unit
        self.fence = 0
        self.endpoint = ""
        self.tried_endpoints = []
        self.deadline_s = deadline_s
        self.is_orphaned = False
        self.fingerprint = ""
        self.lost_connection_count = 0
        self.was_resent = False
        self.is_claimed = False
        self.has_response = False
        self.is_silent = False
        self.is_abandoned = False
        self.is_caller_watched = False
        self.sent_s = 0.0

    @property
    def idempotency_key(self):
        """Key that prevents resends from running twice, or the empty string."""
        if self.is_idempotent:
            return ""
        return self.event.headers.get(IDEMPOTENCY_HEADER, "")

    @property
    def may_be_resent(self):
        """Whether it may be sent again to the same endpoint."""
        return self.is_idempotent and not self.was_resent

    @property
    def is_idempotent(self):
        """Whether its method makes running it twice harmless."""
        return self.event.method in IDEMPOTENT_METHODS


def parse_timeout_s(headers, default_s):
    """Return the time limit of a request in seconds.

    The caller may shorten the service's limit but not extend it, with ``Prefer: wait=SECONDS``
    or ``Greengage-Timeout-Ms``.

    Args:
        headers: Mapping of lower-case header names to values.
        default_s: The service's limit in seconds.

    Raises:
        GreengageError: ``bad-deadline`` if a value is not a positive number.

    Examples:
        >>> parse_timeout_s({"prefer": "respond-async, wait=2"}, 10.0)
        2.0

    References:
        RFC 7240, Prefer Header for HTTP, section 4.3.
    """
    if TIMEOUT_HEADER not in headers and "prefer" not in headers:
        return default_s
    text = headers.get(TIMEOUT_HEADER)
    if text is not None:
        return min(default_s, _parse_positive(text) / MILLISECONDS_PER_SECOND)
    for preference in headers.get("prefer", "").split(","):
        name, _, value = preference.strip().partition("=")
        if name.strip().lower() == "wait":
            return min(default_s, _parse_positive(value.strip()))
    return default_s


def _parse_positive(text):
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise GreengageError("bad-deadline", f"{text!r} is not a positive number")
    return value


class RequestRegistry:
    """All requests in flight, and those that delay an acknowledgement of routes.

    Attributes:
        by_token: ``InFlightRequest`` objects by token.
        count_by_endpoint: Number of requests in flight by endpoint name.
        barriers: By token of a request that was sent according to outdated routes, the first
            route version that may not be acknowledged while the request is in flight.
    """

    __slots__ = ("barriers", "by_token", "count_by_endpoint")

    def __init__(self):
        self.by_token = {}
        self.count_by_endpoint = {}
        self.barriers = {}

    def __len__(self):
        return len(self.by_token)

    def add(self, request):
        """Add a request."""
        self.by_token[request.event.token] = request

    def get(self, token):
        """Return the request with this token, or ``None``."""
        return self.by_token.get(token)

    def assign(self, request, endpoint, fence):
        """Record that a request is sent to ``endpoint``."""
        self.unassign(request)
        request.endpoint = endpoint
        request.fence = fence
        request.tried_endpoints.append(endpoint)
        self.count_by_endpoint[endpoint] = self.count_by_endpoint.get(endpoint, 0) + 1

    def unassign(self, request):
        """Record that a request is no longer at its endpoint."""
        if request.endpoint:
            self.count_by_endpoint[request.endpoint] -= 1
            request.endpoint = ""

    def remove(self, token):
        """Remove a request and its barrier."""
        request = self.by_token.pop(token, None)
        if request is not None:
            self.unassign(request)
        self.barriers.pop(token, None)
        return request

    def load_of(self, endpoint):
        """Return the number of requests in flight at an endpoint."""
        return self.count_by_endpoint.get(endpoint, 0)

    def add_barriers(self, routes):
        """Delay the acknowledgement of ``routes`` until requests sent by older routes have ended.

        Returns:
            Tokens of requests whose previous owner is lost; their responses are not waited for.
        """
        orphaned_tokens = []
        for token, request in self.by_token.items():
            if request.unit is None or not request.endpoint or request.is_orphaned:
                continue
            if token in self.barriers:
                continue
            owner = routes.owner_of(request.unit)
            if (owner.endpoint, owner.fence) == (request.endpoint, request.fence):
                continue
            previous_endpoint = routes.endpoints.get(request.endpoint)
            if previous_endpoint is None or previous_endpoint.state == STATE_LOST:
                request.is_orphaned = True
                orphaned_tokens.append(token)
            else:
                self.barriers[token] = routes.version
        return orphaned_tokens

    def acknowledged_version(self, version):
        """Return the newest route version that is in effect for all requests in flight."""
        if not self.barriers:
            return version
        return min(version, min(self.barriers.values()) - 1)
