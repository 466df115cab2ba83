"""Requests in flight at one router."""

from greengagerock.core import GreengageError
from greengagerock.model import STATE_LOST

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
IDEMPOTENCY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "greengage-timeout-ms"
MILLISECONDS_PER_SECOND = 1000.0


class InFlight:
    """One request that was sent to an endpoint or is about to be.

    Attributes:
        event: The ``RequestArrived`` event.
        service: Its service.
        unit: The unit of its key, or ``None`` without keys.
        fence: Fence that it was routed by.
        endpoint: Endpoint that has it now.
        tried: Names of all endpoints it was sent to.
        deadline_s: Router's time by which it has to be answered.
        sent_s: Router's time of the present attempt.
        fingerprint: Digest that resends share.
        losses: Number of attempts whose connection broke.
        claimed: Whether its idempotency key was claimed for it.
        answering: Whether the head of the answer has come.
        silent: Whether its connection is given up as silent.
        abandoned: Whether its caller has gone.
        watched: Whether its caller is watched.
        resent: Whether it was sent again after a silent connection.
        orphaned: Whether its endpoint was declared lost, so that its attempt was
            cancelled and its answer will not be waited for.
    """

    __slots__ = (
        "abandoned",
        "answering",
        "claimed",
        "deadline_s",
        "endpoint",
        "event",
        "fence",
        "fingerprint",
        "losses",
        "orphaned",
        "resent",
        "sent_s",
        "silent",
        "service",
        "tried",
        "unit",
        "watched",
    )

    def __init__(self, event, service, unit, deadline_s):
        self.event = event
        self.service = service
        self.unit = unit
        self.fence = 0
        self.endpoint = ""
        self.tried = []
        self.deadline_s = deadline_s
        self.orphaned = False
        self.fingerprint = ""
        self.losses = 0
        self.resent = False
        self.claimed = False
        self.answering = False
        self.silent = False
        self.abandoned = False
        self.watched = False
        self.sent_s = 0.0

    @property
    def idempotency_key(self):
        """The key that keeps resends from running twice, or the empty string."""
        if self.is_idempotent:
            return ""
        return self.event.headers.get(IDEMPOTENCY_HEADER, "")

    @property
    def may_be_resent(self):
        """Whether it may be sent again to the endpoint that already has it."""
        return self.is_idempotent and not self.resent

    @property
    def is_idempotent(self):
        """Whether running it twice does no harm, by its method."""
        return self.event.method in IDEMPOTENT_METHODS


def parse_timeout_s(headers, default_s):
    """Return how long a request may take, in seconds.

    The caller may shorten the service's limit, not extend it. ``Prefer:
    wait=SECONDS`` and ``Greengage-Timeout-Ms`` are understood.

    Args:
        headers: Lower-case header names to values.
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
        return min(default_s, _positive(text) / MILLISECONDS_PER_SECOND)
    for preference in headers.get("prefer", "").split(","):
        name, _, value = preference.strip().partition("=")
        if name.strip().lower() == "wait":
            return min(default_s, _positive(value.strip()))
    return default_s


def _positive(text):
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise GreengageError("bad-deadline", f"{text!r} is not a positive number")
    return value


class RequestRegistry:
    """All requests in flight, and those that hold back an acknowledgement.

    Attributes:
        by_token: ``InFlight`` objects by token.
        by_endpoint: Number of requests in flight by endpoint name.
        barriers: For tokens routed by outdated routes, the version they precede.
    """

    __slots__ = ("barriers", "by_endpoint", "by_token")

    def __init__(self):
        self.by_token = {}
        self.by_endpoint = {}
        self.barriers = {}

    def __len__(self):
        return len(self.by_token)

    def add(self, request):
        """Register a request."""
        self.by_token[request.event.token] = request

    def get(self, token):
        """Return the request with this token, or ``None``."""
        return self.by_token.get(token)

    def assign(self, request, endpoint, fence):
        """Record that the request goes to ``endpoint``."""
        self.unassign(request)
        request.endpoint = endpoint
        request.fence = fence
        request.tried.append(endpoint)
        self.by_endpoint[endpoint] = self.by_endpoint.get(endpoint, 0) + 1

    def unassign(self, request):
        """Record that the request has left its endpoint."""
        if request.endpoint:
            self.by_endpoint[request.endpoint] -= 1
            request.endpoint = ""

    def remove(self, token):
        """Forget a request; its barrier goes with it."""
        request = self.by_token.pop(token, None)
        if request is not None:
            self.unassign(request)
        self.barriers.pop(token, None)
        return request

    def load_of(self, endpoint):
        """Return the number of requests in flight to an endpoint."""
        return self.by_endpoint.get(endpoint, 0)

    def raise_barriers(self, routes):
        """Hold back the acknowledgement of ``routes`` for requests that they outdate.

        Returns:
            Tokens of requests whose old owner is lost: nobody waits for them.
        """
        orphans = []
        for token, request in self.by_token.items():
            if request.unit is None or not request.endpoint or request.orphaned:
                continue
            if token in self.barriers:
                continue
            owner = routes.owner_of(request.unit)
            if (owner.endpoint, owner.fence) == (request.endpoint, request.fence):
                continue
            source = routes.endpoints.get(request.endpoint)
            if source is None or source.state == STATE_LOST:
                request.orphaned = True
                orphans.append(token)
            else:
                self.barriers[token] = routes.version
        return orphans

    def acknowledged(self, version):
        """Return the version that is in force for all requests in flight."""
        if not self.barriers:
            return version
        return min(version, min(self.barriers.values()) - 1)
