"""Endpoints' reports on the wire."""

from typing import Literal

import msgspec

from greengagerock.core import GreengageError
from greengagerock.holdings import EndpointLeaving, EndpointReport, FreedRange, HeldRange
from greengagerock.holdings.report import KEY_COUNT
from greengagerock.platform.durations import format_duration, parse_duration


class WireInfo(msgspec.Struct, rename="kebab"):
    """What does not change in a life.

    Attributes:
        service: Name of the service.
        zone: Availability zone.
        max_concurrency: Requests that it works on at once.
    """

    service: str
    zone: str
    max_concurrency: int


class WireStatus(msgspec.Struct, rename="kebab"):
    """What changes from report to report.

    Attributes:
        state: Whether it is about to leave.
        sequence: Number of the report within the life.
        warmup_left: How much longer it stays slow after its start.
    """

    state: Literal["ready", "draining"]
    sequence: int
    warmup_left: str = "0ms"


class WireReport(msgspec.Struct):
    """A report.

    Attributes:
        address: ``IP:PORT`` where the endpoint takes requests.
        born: Start of this life, in milliseconds since 1970.
        info: What does not change.
        status: What changes.
        holds: Rows of first key, last key and fence that it holds or still works on.
        freed: Rows of first key, last key and handover token that it has released.
    """

    address: str
    born: int
    info: WireInfo
    status: WireStatus
    holds: list[tuple[int, int, int]] = []
    freed: list[tuple[int, int, str]] = []


class WireLeaving(msgspec.Struct):
    """An endpoint's last word.

    Attributes:
        born: Start of the life that ends, in milliseconds since 1970.
    """

    born: int = 0


class WireAnswer(msgspec.Struct, omit_defaults=True):
    """The answer to a report.

    Attributes:
        holds: All that the endpoint is to hold, as rows of first key, last key, fence
            and handover token.
        hold_time: How long, counted from the sending of the report.
    """

    holds: list[tuple[int, int, int, str]] | None = None
    hold_time: str | None = None


def read_report(endpoint, data):
    """Return the ``EndpointReport`` that a body holds.

    Args:
        endpoint: Name of the endpoint, from the path.
        data: The body.

    Raises:
        GreengageError: ``bad-report`` if it cannot be used.
    """
    try:
        wire = msgspec.json.decode(data, type=WireReport)
        cold_s = parse_duration(wire.status.warmup_left)
    except (msgspec.MsgspecError, UnicodeDecodeError, GreengageError) as error:
        raise GreengageError("bad-report", str(error)) from error
    ip, colon, port = wire.address.rpartition(":")
    if not (ip and colon and port.isdigit()):
        raise GreengageError("bad-report", f"address {wire.address!r} is not IP:PORT")
    if wire.info.max_concurrency < 1:
        raise GreengageError("bad-report", "no request can be worked on at once")
    for first, last, _ in (*wire.holds, *wire.freed):
        if not 0 <= first <= last < KEY_COUNT:
            raise GreengageError("bad-report", f"{first} to {last} is not a range of keys")
    return EndpointReport(
        endpoint,
        wire.born,
        wire.status.sequence,
        wire.address,
        wire.info.service,
        wire.info.zone,
        wire.info.max_concurrency,
        wire.status.state == "draining",
        cold_s,
        tuple(HeldRange(*row) for row in wire.holds),
        tuple(FreedRange(*row) for row in wire.freed),
    )


def read_leaving(endpoint, data):
    """Return the ``EndpointLeaving`` that a body, which may be empty, holds.

    Raises:
        GreengageError: ``bad-report`` if it cannot be read.
    """
    if not data:
        return EndpointLeaving(endpoint)
    try:
        wire = msgspec.json.decode(data, type=WireLeaving)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise GreengageError("bad-report", str(error)) from error
    return EndpointLeaving(endpoint, wire.born)


def write_answer(answer):
    """Return the body that answers a report."""
    if answer.grants is None:
        return b"{}"
    rows = [(row.first, row.last, row.fence, row.handover) for row in answer.grants]
    return msgspec.json.encode(WireAnswer(rows, format_duration(answer.hold_s)))
