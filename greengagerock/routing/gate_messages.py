"""Messages between a router with a request and the gatekeeper of its endpoint."""

import msgspec


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The request may be sent to the endpoint now."""


class Queued(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The request waits for its turn.

    Attributes:
        wait_s: Expected time until it may be sent, in seconds.
    """

    wait_s: float


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The endpoint cannot respond in time.

    Attributes:
        retry_after_s: Expected time until a new request would be accepted, in seconds.
    """

    retry_after_s: float


Decision = Granted | Queued | Refused


class PermitRequest(msgspec.Struct, frozen=True, tag="permit-request"):
    """A router asks to send one request to an endpoint.

    Attributes:
        token: Token of the request at the router; with the router's address, it identifies the
            permit.
        endpoint: Name of the endpoint.
        started_ms: Start of the endpoint instance, in milliseconds since 1970.
        slots: Number of requests that the endpoint runs at once.
        mean_response_s: Mean response time of the endpoint as known to the router, in seconds.
        rank: Rank of the request's priority among the routes of its service; 0 is served first.
        on_time_s: Time within which the response meets the latency objective, in seconds.
        time_left_s: Time until the deadline, in seconds.
    """

    token: int
    endpoint: str
    started_ms: int
    slots: int
    mean_response_s: float
    rank: int
    on_time_s: float
    time_left_s: float


class PermitReply(msgspec.Struct, frozen=True, tag="permit-reply"):
    """The gatekeeper's decision; a ``Queued`` one is followed by another reply.

    Attributes:
        token: Token of the request at the router.
        decision: The decision.
    """

    token: int
    decision: Decision


class PermitRelease(msgspec.Struct, frozen=True, tag="permit-release"):
    """The request has left the endpoint, or no longer waits for its turn.

    Attributes:
        token: Token of the request at the router.
        endpoint: Name of the endpoint.
        started_ms: Start of the endpoint instance, in milliseconds since 1970.
        response_s: Time until the endpoint responded, in seconds; 0 if it did not.
        was_refused: Whether the endpoint refused the request because it is full.
    """

    token: int
    endpoint: str
    started_ms: int
    response_s: float = 0.0
    was_refused: bool = False


# Messages to which the receiver sends no reply, or not within a known time.
MESSAGES_WITHOUT_REPLY = (PermitReply, PermitRelease)
