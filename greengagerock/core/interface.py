"""The core interface: events into the decision core and effects out of it.

A node processes one event at a time and returns effects, which the I/O layer executes. It
performs no I/O and reads no clock, so the same settings, seed and events always produce the
same effects.
"""

import msgspec

from greengagerock.core.hlc import Timestamp


class MessageReceived(msgspec.Struct, frozen=True):
    """A message from another host arrived.

    Attributes:
        host: Name of the sending host.
        address: Link address of the sender, ``IP:PORT``.
        message: The decoded message.
        sent_at: Hybrid logical timestamp at which it was sent.
    """

    host: str
    address: str
    message: object
    sent_at: Timestamp | None = None


class Persisted(msgspec.Struct, frozen=True):
    """All ``Persist`` effects up to ``sequence`` were synced to disk."""

    sequence: int


class PersistFailed(msgspec.Struct, frozen=True):
    """A write failed; nothing after the last ``Persisted`` event counts as stored."""

    detail: str


class TimeAdvanced(msgspec.Struct, frozen=True):
    """Time has advanced; expired timers run."""


class RequestArrived(msgspec.Struct, frozen=True):
    """A caller's request for a service arrived; its body has not been read yet.

    Attributes:
        token: Identifies the request on this node.
        request_id: Identifier shown to the caller.
        service: First path segment.
        method: HTTP method.
        path: Path after the service's name, with the leading slash.
        query: Query string.
        headers: Header values by lower-case name.
    """

    token: int
    request_id: str
    service: str
    method: str
    path: str
    query: str
    headers: dict[str, str]


class CallArrived(msgspec.Struct, frozen=True):
    """A caller's request arrived at a router that matches named routes by host and path.

    Attributes:
        token: Identifies the request on this node.
        request_id: The caller's identifier of this attempt of the request.
        method: HTTP method.
        host: Value of the ``Host`` header.
        path: Percent-encoded path without the query.
        target: Percent-encoded path and query.
        budget_s: How long the caller waits for the response, in seconds.
        key: Key of the request, or ``None``.
        body_digest: Digest of a short body; for a longer body, its declared length.
        body_bytes: Size of a short body, which this host holds; 0 for a longer one.
        received_s: When it arrived, in monotonic seconds, without the time for which its caller
            was sending it; ``None`` if it is handled without delay.
    """

    token: int
    request_id: str
    method: str
    host: str
    path: str
    target: str
    budget_s: float
    key: int | None = None
    body_digest: str = ""
    body_bytes: int = 0
    received_s: float | None = None


class RelayArrived(msgspec.Struct, frozen=True):
    """Another router's request arrived, to be forwarded to the endpoint that it names.

    Attributes:
        token: Identifies the request on this node.
        request_id: The caller's identifier of this attempt of the request.
        endpoint: Name of the endpoint.
        timeout_s: Remaining time for the request, in seconds.
        is_limited: Whether the other router has a limit of the endpoint.
        is_long: Whether the response may occupy a slow link for long.
    """

    token: int
    request_id: str
    endpoint: str
    timeout_s: float
    is_limited: bool = False
    is_long: bool = False


class EndpointReportArrived(msgspec.Struct, frozen=True):
    """An endpoint's report, or its notice that it leaves, arrived over HTTP."""

    token: int
    report: object


class PatchArrived(msgspec.Struct, frozen=True):
    """An operator sent a patch of configuration items."""

    token: int
    patch: object


class ItemsRequested(msgspec.Struct, frozen=True):
    """An operator requested the newest configuration items."""

    token: int


class SeedsChanged(msgspec.Struct, frozen=True):
    """The seeds in the settings have changed.

    Attributes:
        seeds: Link addresses of the new seeds.
    """

    seeds: tuple[str, ...]


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt to forward a request ended without a usable response.

    Attributes:
        token: The request.
        reason: ``connect``, ``connect-timeout``, ``refused``, ``not-owner``, ``lost``,
            ``reset``, ``timeout``, ``caller``, ``link-busy``, ``path-lost``,
            ``relay`` or ``relay-late``.
        has_sent_bytes: Whether any byte of the request may have been sent to the endpoint.
        is_body_consumed: Whether any byte of the caller's body was consumed.
        connect_s: Time in seconds that opening a connection took or lasted in vain, ``None`` if
            the attempt opened none.
    """

    token: int
    reason: str
    has_sent_bytes: bool
    is_body_consumed: bool
    connect_s: float | None = None


class LoadNotice(msgspec.Struct, frozen=True):
    """The load of an endpoint when it sent a response.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests that wait there for a slot.
        slots: Number of requests that it runs at most at once.
        pace_percent: How long work takes there at present, in percent of the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int


class EndpointNoticed(msgspec.Struct, frozen=True):
    """An endpoint's response says which further requests the endpoint accepts.

    Attributes:
        token: The request that got the response.
        is_leaving: Whether the endpoint is about to end.
        pause_s: How long the endpoint wants no requests from this host, in seconds.
        malformed_pause: Text that should give such a time but cannot be read, or empty.
        limit_per_s: Requests per second that the endpoint takes from all hosts together, or
            ``None`` if the response names no limit.
        ends_limit: Whether the endpoint had a limit when the request was sent, and names none now.
        malformed_limit: Text that should give a limit but cannot be read, or empty.
        load: The ``LoadNotice`` of the endpoint, or ``None`` if the response has none.
        malformed_load: Text that should give the load but cannot be read, or empty.
    """

    token: int
    is_leaving: bool = False
    pause_s: float = 0.0
    malformed_pause: str = ""
    limit_per_s: float | None = None
    ends_limit: bool = False
    malformed_limit: str = ""
    load: LoadNotice | None = None
    malformed_load: str = ""


class ResponseStarted(msgspec.Struct, frozen=True):
    """The head of an endpoint's response arrived."""

    token: int


class ResponseInterrupted(msgspec.Struct, frozen=True):
    """An endpoint's response was interrupted after its head was sent to the caller.

    Attributes:
        token: The request.
        resumable: Whether the rest can be fetched with a range request.
    """

    token: int
    resumable: bool


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller closed its connection before the response started."""

    token: int


class CallAbandoned(msgspec.Struct, frozen=True):
    """The worker thread of a request has given up waiting for a decision."""

    token: int


class RequestEnded(msgspec.Struct, frozen=True):
    """The response was sent to the caller or was interrupted.

    Attributes:
        token: The request.
        complete: Whether the complete response was sent.
        response_time_s: Time until the endpoint's response arrived, in seconds, or 0 if none did.
        body_bytes: Size of the response's body that was sent to the caller.
        connect_s: Time in seconds that opening the connection to the endpoint took, ``None`` if
            it was open.
    """

    token: int
    complete: bool
    response_time_s: float = 0.0
    body_bytes: int = 0
    connect_s: float | None = None


class AnnouncementArrived(msgspec.Struct, frozen=True):
    """An endpoint's announcement arrived over HTTP."""

    token: int
    announcement: object


class OperatorRequestArrived(msgspec.Struct, frozen=True):
    """An operator's request arrived over HTTP."""

    token: int
    request: object


class ReadinessRequested(msgspec.Struct, frozen=True):
    """The platform's load balancer checked whether this host accepts callers."""

    token: int


class StopRequested(msgspec.Struct, frozen=True):
    """A stop of the process was requested.

    Attributes:
        since_s: Latest time at which it had certainly not been requested yet, in monotonic
            seconds; ``None`` if the request is handled without delay.
    """

    since_s: float | None = None


class SendMessage(msgspec.Struct, frozen=True):
    """Send ``message`` to the link address ``address``; it may be lost."""

    address: str
    message: object


class Persist(msgspec.Struct, frozen=True):
    """Append ``records`` to the data folder and sync, then report ``Persisted(sequence)``."""

    sequence: int
    records: tuple


class Forward(msgspec.Struct, frozen=True):
    """Forward the request to an endpoint and relay the response.

    Attributes:
        token: The request.
        endpoint: Endpoint name, shown to the caller.
        address: ``IP:PORT`` of the endpoint.
        headers: Headers to add to the request.
        timeout_s: Remaining time for the whole request, in seconds.
        close: Whether to close the caller's connection after the response.
        is_limited: Whether the endpoint has named a limit on the requests that it takes.
        relay: Address of the router through which the request is sent, or empty if it is sent on
            an own connection.
        connect_timeout_s: Timeout of connecting if it is longer than the configured one, else
            ``None``.
        is_long: Whether the response may occupy a slow link for long.
    """

    token: int
    endpoint: str
    address: str
    headers: dict[str, str]
    timeout_s: float
    close: bool = False
    is_limited: bool = False
    relay: str = ""
    connect_timeout_s: float | None = None
    is_long: bool = False


class RespondWithError(msgspec.Struct, frozen=True):
    """Send the caller an error response from this host.

    Attributes:
        token: The request.
        code: A registered error code.
        outcome: Whether an endpoint may have run the request: ``not-run`` or ``unknown``.
        detail: Details of the error.
        close: Whether to close the caller's connection after the response.
        retry_after_s: Seconds until a retry may succeed, or ``None`` for the default of the
            error code.
    """

    token: int
    code: str
    outcome: str
    detail: str = ""
    close: bool = False
    retry_after_s: float | None = None


class CancelAttempt(msgspec.Struct, frozen=True):
    """Close the endpoint connection of a request whose response is no longer needed.

    Attributes:
        token: The request.
        only_reused: Whether to close only a connection that was used before and on which no
            part of the response has arrived.
        only_waiting: Whether to close it only if the head of the response has not arrived.
        only_unanswered: Whether to close it only if the caller has got no part of the response.
    """

    token: int
    only_reused: bool = False
    only_waiting: bool = False
    only_unanswered: bool = False


class WatchCaller(msgspec.Struct, frozen=True):
    """Report ``CallerDisconnected`` if the caller of a waiting request disconnects."""

    token: int


class CloseIdleConnections(msgspec.Struct, frozen=True):
    """Close the idle connections to an endpoint; later requests open new ones."""

    address: str


class KeepConnections(msgspec.Struct, frozen=True):
    """Keep idle connections to another router open, so that requests need not open one.

    Attributes:
        address: Where it takes requests of other routers, ``IP:PORT``.
        count: Number of idle connections to have.
    """

    address: str
    count: int


class RespondToAnnouncement(msgspec.Struct, frozen=True):
    """Respond to an endpoint's announcement.

    Attributes:
        token: The announcement.
        reply: The ``AnnouncementReply``, or ``None`` if no lease manager replied.
    """

    token: int
    reply: object


class RespondToReadiness(msgspec.Struct, frozen=True):
    """Respond to the load balancer.

    Attributes:
        token: The readiness request.
        code: Empty if this host accepts callers, else an error code.
    """

    token: int
    code: str


class RespondToOperator(msgspec.Struct, frozen=True):
    """Respond to an operator's request."""

    token: int
    reply: object


class LogEvent(msgspec.Struct, frozen=True):
    """Write one log line.

    Attributes:
        event: Name of the log event.
        fields: Further key-value pairs of the line.
    """

    event: str
    fields: dict[str, object]


class Respond(msgspec.Struct, frozen=True):
    """Respond to a report or an operator's request.

    Attributes:
        token: The report or request.
        value: The response, or ``None`` if no host could give one.
    """

    token: int
    value: object


class ApplyCallerLimits(msgspec.Struct, frozen=True):
    """Apply the operator's ``CallerLimits`` to callers' connections."""

    limits: object


class StopAccepting(msgspec.Struct, frozen=True):
    """Close the ports of the HTTP servers, since the end of the process is near.

    Requests on connections that are open are still served.
    """


class StopProcess(msgspec.Struct, frozen=True):
    """End the process once the HTTP servers have answered what they have read.

    Attributes:
        code: An error code, or empty after a requested stop.
        detail: Details of the error.
        wait_s: Longest time that the servers get for that, in seconds.
    """

    code: str = ""
    detail: str = ""
    wait_s: float = 0.5


class Outbox:
    """Collects the effects of one event.

    Examples:
        >>> outbox = Outbox()
        >>> outbox.log("started", port=80)
        >>> outbox.drain()
        [LogEvent(event='started', fields={'port': 80})]
        >>> outbox.drain()
        []
    """

    __slots__ = ("effects",)

    def __init__(self):
        self.effects = []

    def add(self, effect):
        """Append an effect."""
        self.effects.append(effect)

    def send(self, address, message):
        """Append a ``SendMessage`` effect."""
        self.effects.append(SendMessage(address, message))

    def log(self, event, **fields):
        """Append a ``LogEvent`` effect."""
        self.effects.append(LogEvent(event, fields))

    def discard(self, token):
        """Remove the effects for one request."""
        self.effects = [e for e in self.effects if getattr(e, "token", None) != token]

    def drain(self):
        """Return the collected effects and clear the outbox."""
        effects, self.effects = self.effects, []
        return effects
