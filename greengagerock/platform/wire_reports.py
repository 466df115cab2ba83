"""Wire format of endpoints' reports and of the responses to them."""

from typing import Literal

import msgspec

from greengagerock.assignment import EndpointLeaving, EndpointReport, FreedRange, HeldRange
from greengagerock.assignment.report_checks import check_report
from greengagerock.core import GreengageError
from greengagerock.core.decoding import MALFORMED_INPUT
from greengagerock.platform.durations import format_promised_duration, parse_duration


class WireInfo(msgspec.Struct, rename="kebab"):
    """The part of a report that is constant for an endpoint instance.

    Attributes:
        service: Name of the service.
        zone: Availability zone.
        max_concurrency: Maximum number of requests that it processes concurrently.
    """

    service: str
    zone: str
    max_concurrency: int


class WireStatus(msgspec.Struct, rename="kebab"):
    """The part of a report that changes between reports.

    Attributes:
        state: ``ready``, or ``draining`` if the endpoint is about to leave.
        sequence: Number of the report within the endpoint instance.
        warmup_left: Remaining time for which the endpoint is slow after its start.
    """

    state: Literal["ready", "draining"]
    sequence: int
    warmup_left: str = "0ms"


class WireReport(msgspec.Struct):
    """A periodic report of an endpoint.

    Attributes:
        address: ``IP:PORT`` where the endpoint accepts requests.
        born: Start of the endpoint instance, in milliseconds since 1970.
        info: The constant part.
        status: The changing part.
        holds: Keys that it holds or still processes requests for: rows of first key, last key
            and fence.
        freed: Keys that it has released: rows of first key, last key and handover token.
    """

    address: str
    born: int
    info: WireInfo
    status: WireStatus
    holds: list[tuple[int, int, int]] = []
    freed: list[tuple[int, int, str]] = []


class WireLeaving(msgspec.Struct):
    """The last message of an endpoint instance.

    Attributes:
        born: Start of the endpoint instance, in milliseconds since 1970.
    """

    born: int = 0


class WireReportResponse(msgspec.Struct, omit_defaults=True):
    """The response to a report.

    Attributes:
        holds: All keys that the endpoint is to hold: rows of first key, last key, fence and
            handover token.
        hold_time: Duration of the grants, counted from the sending of the report.
    """

    holds: list[tuple[int, int, int, str]] | None = None
    hold_time: str | None = None


def decode_report(endpoint, data):
    """Decode the body of an ``EndpointReport``.

    Args:
        endpoint: Name of the endpoint, from the path.
        data: The body.

    Raises:
        GreengageError: ``bad-report`` if the body is malformed or a value is out of range.
    """
    try:
        wire = msgspec.json.decode(data, type=WireReport)
        cold_s = parse_duration(wire.status.warmup_left)
    except (*MALFORMED_INPUT, GreengageError) as error:
        raise GreengageError("bad-report", str(error)) from error
    report = EndpointReport(
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
    check_report(report)
    return report


def decode_leaving(endpoint, data):
    """Decode the body of an ``EndpointLeaving``, which may be empty.

    Args:
        endpoint: Name of the endpoint, from the path.
        data: The body.

    Raises:
        GreengageError: ``bad-report`` if the body is malformed or a value is out of range.
    """
    leaving = EndpointLeaving(endpoint)
    if data:
        try:
            leaving = EndpointLeaving(endpoint, msgspec.json.decode(data, type=WireLeaving).born)
        except MALFORMED_INPUT as error:
            raise GreengageError("bad-report", str(error)) from error
    check_report(leaving)
    return leaving


def encode_report_response(response):
    """Return the body of the response to a report."""
    if response.grants is None:
        return b"{}"
    rows = [(row.first, row.last, row.fence, row.handover_token) for row in response.grants]
    return msgspec.json.encode(WireReportResponse(rows, format_promised_duration(response.hold_s)))
