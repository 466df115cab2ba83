"""Reports of endpoints to the leader, and the responses to them."""

import msgspec

KEY_COUNT = 65_536


class HeldRange(msgspec.Struct, frozen=True, array_like=True):
    """Keys that an endpoint holds, or still runs requests for.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the grant.
    """

    first: int
    last: int
    fence: int


class FreedRange(msgspec.Struct, frozen=True, array_like=True):
    """Keys that an endpoint has released since its last acknowledged report.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        handover_token: Token that saves the next holder the warm-up of these keys.
    """

    first: int
    last: int
    handover_token: str


class GrantRow(msgspec.Struct, frozen=True, array_like=True):
    """Keys that an endpoint is to hold.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the grant.
        handover_token: Token of the last holder, or the empty string.
    """

    first: int
    last: int
    fence: int
    handover_token: str = ""


class EndpointReport(msgspec.Struct, frozen=True, tag="report"):
    """An endpoint's periodic report on its own state.

    Attributes:
        endpoint: Name of the endpoint.
        started_ms: Start of this endpoint instance, in milliseconds since 1970.
        sequence: Number of the report, increasing within one instance.
        address: ``IP:PORT`` at which it accepts requests.
        service: Name of its service.
        zone: Its availability zone.
        slots: Number of requests that it runs at once.
        draining: Whether it is about to leave.
        cold_s: Remaining time for which it is cold, in seconds.
        holds: Keys that it holds.
        freed: Keys that it has released.
    """

    endpoint: str
    started_ms: int = msgspec.field(name="born_ms")
    sequence: int
    address: str
    service: str
    zone: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    holds: tuple[HeldRange, ...] = ()
    freed: tuple[FreedRange, ...] = ()


class EndpointLeaving(msgspec.Struct, frozen=True, tag="leaving"):
    """An endpoint's last message: it ends after its drain period.

    Attributes:
        endpoint: Name of the endpoint.
        started_ms: Start of the instance that ends, or 0 if it was not given.
    """

    endpoint: str
    started_ms: int = msgspec.field(default=0, name="born_ms")


class ReportResponse(msgspec.Struct, frozen=True, tag="report-answer"):
    """The response to a report.

    Attributes:
        code: Empty if the report was accepted, else an error code.
        grants: All keys that the endpoint is to hold; with ``None``, no hold is renewed.
        hold_s: How long the grants last, counted from the sending of the report.
    """

    code: str = ""
    grants: tuple[GrantRow, ...] | None = None
    hold_s: float = 0.0
