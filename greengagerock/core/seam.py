"""The seam between the decision core and the outside: events and effects.

A node takes one event at a time and returns effects. It performs no I/O
and reads no clock, so the same settings, seed and events always lead to
the same effects.
"""

import msgspec

from greengagerock.core.hlc import Timestamp


class MessageReceived(msgspec.Struct, frozen=True):
    """A peer's message arrived.

    Attributes:
        host: Name of the sending host.
        address: Link address of the sender, ``IP:PORT``.
        message: The decoded message.
        sent_at: The sender's hybrid logical timestamp.
    """

    host: str
    address: str
    message: object
    sent_at: Timestamp | None = None


class Persisted(msgspec.Struct, frozen=True):
    """All records up to ``sequence`` have reached the disk."""

    sequence: int


class PersistFailed(msgspec.Struct, frozen=True):
    """A write failed; nothing after the last ``Persisted`` may count as stored."""

    detail: str


class TimePassed(msgspec.Struct, frozen=True):
    """Time was advanced; due timers run."""


class RequestArrived(msgspec.Struct, frozen=True):
    """A caller's request arrived with its headers; its body is still unread.

    Attributes:
        token: Identifies the request on this node.
        request_id: Identifier shown to the caller.
        service: First path segment.
        method: HTTP method.
        path: Path after the service's name, with the leading slash.
        query: Query string.
        headers: Lower-case header names to values.
    """

    token: int
    request_id: str
    service: str
    method: str
    path: str
    query: str
    headers: dict[str, str]


class CallArrived(msgspec.Struct, frozen=True):
    """A caller's request arrived at a router with named routes.

    Attributes:
        token: Identifies the request on this node.
        request_id: The caller's id of this attempt of the request.
        method: HTTP method.
        host: Value of the ``Host`` header.
        path: Path without query, still encoded.
        target: Path and query, still encoded.
        budget_s: How long the caller waits, in seconds.
        key: Key of the request, or ``None``.
        body_digest: Digest of a short body, else its announced length.
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


class EndpointReported(msgspec.Struct, frozen=True):
    """An endpoint's report, or its last word, arrived over HTTP."""

    token: int
    report: object


class PatchAsked(msgspec.Struct, frozen=True):
    """An operator sent a patch of configuration items."""

    token: int
    patch: object


class ItemsAsked(msgspec.Struct, frozen=True):
    """An operator wants to read the newest items."""

    token: int


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings now name other seeds.

    Attributes:
        seeds: Link addresses.
    """

    seeds: tuple[str, ...]


class AttemptFailed(msgspec.Struct, frozen=True):
    """An attempt ended without a usable answer.

    Attributes:
        token: The request.
        reason: ``connect``, ``refused``, ``not-owner``, ``lost`` or ``timeout``.
        bytes_left: Whether any byte of the request may have left this host.
        body_used: Whether any byte of the caller's body was consumed.
    """

    token: int
    reason: str
    bytes_left: bool
    body_used: bool


class AnswerBegan(msgspec.Struct, frozen=True):
    """The head of an endpoint's answer has come."""

    token: int


class AnswerBroken(msgspec.Struct, frozen=True):
    """An endpoint's answer broke off after its head was passed on.

    Attributes:
        token: The request.
        resumable: Whether the rest can be asked for by a range.
    """

    token: int
    resumable: bool


class CallerGone(msgspec.Struct, frozen=True):
    """The caller closed its connection before the answer began."""

    token: int


class RequestEnded(msgspec.Struct, frozen=True):
    """The caller has its answer, or the answer broke off.

    Attributes:
        token: The request.
        complete: Whether the whole answer was passed on.
        took_s: Time until the endpoint's answer was there, in seconds, or 0.
    """

    token: int
    complete: bool
    took_s: float = 0.0


class EndpointAnnounced(msgspec.Struct, frozen=True):
    """An endpoint's announcement arrived over HTTP."""

    token: int
    announcement: object


class OperatorAsked(msgspec.Struct, frozen=True):
    """An operator's request arrived over HTTP."""

    token: int
    request: object


class ReadinessAsked(msgspec.Struct, frozen=True):
    """The platform's balancer asks whether this host takes callers."""

    token: int


class StopRequested(msgspec.Struct, frozen=True):
    """The process was told to stop."""


class SendMessage(msgspec.Struct, frozen=True):
    """Send ``message`` to the link address ``address``; delivery is not certain."""

    address: str
    message: object


class Persist(msgspec.Struct, frozen=True):
    """Append ``records`` to the data folder, sync, then report ``sequence``."""

    sequence: int
    records: tuple


class Forward(msgspec.Struct, frozen=True):
    """Send the request to an endpoint and relay the answer.

    Attributes:
        token: The request.
        endpoint: Endpoint name, shown to the caller.
        address: ``IP:PORT`` of the endpoint.
        headers: Headers to add.
        timeout_s: Time left for the whole request, in seconds.
        close: Whether the caller's connection shall be closed after the answer.
    """

    token: int
    endpoint: str
    address: str
    headers: dict[str, str]
    timeout_s: float
    close: bool = False


class Answer(msgspec.Struct, frozen=True):
    """Answer the caller without an endpoint.

    Attributes:
        token: The request.
        code: A registered error code.
        outcome: ``not-run`` or ``unknown``.
        detail: What went wrong.
        close: Whether the caller's connection shall be closed after the answer.
        retry_after_s: When to come back, where that is known better than by the code.
    """

    token: int
    code: str
    outcome: str
    detail: str = ""
    close: bool = False
    retry_after_s: float | None = None


class CancelAttempt(msgspec.Struct, frozen=True):
    """Close the connection of a request that nobody waits for any more.

    Attributes:
        token: The request.
        only_reused: Do so only if the connection had been used before and nothing of
            the answer has come.
    """

    token: int
    only_reused: bool = False


class WatchCaller(msgspec.Struct, frozen=True):
    """Report it as ``CallerGone`` when the caller of a waiting request goes away."""

    token: int


class DropConnections(msgspec.Struct, frozen=True):
    """Close the idle connections to an endpoint; new requests use new ones."""

    address: str


class ReplyAnnouncement(msgspec.Struct, frozen=True):
    """Answer an endpoint's announcement; ``reply`` is ``None`` if no keeper answered."""

    token: int
    reply: object


class ReplyReadiness(msgspec.Struct, frozen=True):
    """Answer the balancer; ``code`` is empty if this host takes callers."""

    token: int
    code: str


class ReplyOperator(msgspec.Struct, frozen=True):
    """Answer an operator's request."""

    token: int
    reply: object


class LogEvent(msgspec.Struct, frozen=True):
    """Write one log line.

    Attributes:
        event: Short name of the event.
        fields: Further key-value pairs.
    """

    event: str
    fields: dict[str, object]


class Reply(msgspec.Struct, frozen=True):
    """Answer a report or an operator; ``value`` is ``None`` if nobody could answer."""

    token: int
    value: object


class UseLimits(msgspec.Struct, frozen=True):
    """Apply the operator's ``CallerLimits`` to callers' connections from now on."""

    limits: object


class StopProcess(msgspec.Struct, frozen=True):
    """The process can end now; ``code`` is an error code, or empty after a planned stop."""

    code: str = ""
    detail: str = ""


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

    def drain(self):
        """Return the collected effects and start anew."""
        effects, self.effects = self.effects, []
        return effects
