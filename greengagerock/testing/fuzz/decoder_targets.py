"""Fuzz targets for decoders of bytes from outside: invalid input must raise a typed error."""

import socket
from http.client import HTTPException

import msgspec
import urllib3

from greengagerock.assignment import EndpointReport, HeldRange
from greengagerock.control.relay_messages import ReportRelay
from greengagerock.core import GreengageError, Timestamp
from greengagerock.items import ItemStore
from greengagerock.items.store import encode_patch
from greengagerock.language.items import format_items
from greengagerock.platform.samples import PATCH, REPORT, SETTINGS
from greengagerock.platform.wire_items import decode_patch, encode_items
from greengagerock.platform.wire_reports import decode_leaving, decode_report
from greengagerock.platform.wire_settings import decode_settings
from greengagerock.replication import Entry
from greengagerock.routing.endpoint_notices import MAX_PAUSE_S, EndpointNotices
from greengagerock.settings.checker import parse_settings
from greengagerock.storage.frames import encode_frame, scan_frames
from greengagerock.testing.launch_site import INITIAL_STATEMENTS
from greengagerock.testing.message_heads import response
from greengagerock.transport import Envelope, decode_envelope, encode_envelope
from greengagerock.transport.monitor import MessageSequence
from greengagerock.view import (
    EndpointLoadReports,
    EndpointRecord,
    EndpointsDelta,
    LoadReport,
    OwnedUnitRanges,
    ViewDelta,
    ViewPoll,
    decode_delta,
    digest_instance,
    encode_delta,
    pack_loads,
    unpack_loads,
)
from greengagerock.web.connection_state import ConnectionState
from greengagerock.web.control_application import NativeControlDialect
from greengagerock.web.message_head import parse_field_line
from greengagerock.web.notice_headers import (
    MAX_LOAD_COUNT,
    MAX_PACE_PERCENT,
    MAX_READ_LIMIT_PER_S,
    MAX_READ_PAUSE_S,
    make_notice,
)
from greengagerock.web.relay_dialect import (
    ENDPOINT_HEADER,
    MAX_TIMEOUT_S,
    RESULT_ENDPOINT,
    RESULT_HEADER,
    TIMEOUT_HEADER,
    RelayDialect,
    read_relay_failure,
)
from greengagerock.web.route_dialect import NativeRouteDialect
from greengagerock.web.strict_response import StrictResponse

NATIVE_SETTINGS = """
host: edge-1
availability_zone: zone-1
role: router
link_address: 10.0.0.1:8083
seeds: [10.0.0.2:8083]
callers: 10.0.0.1:8080
retries: {ratio: 0.2, slack: 60.0}
"""
NATIVE_REPORT = EndpointReport(
    "till-1", 5, 1, "10.0.0.9:80", "till", "a", 3, False, 0.0, (HeldRange(0, 7, 3),)
)
DELTA = EndpointsDelta(
    3,
    0,
    9,
    True,
    (EndpointRecord("till-1", "10.0.0.9:80", "till", "a", 3),),
    (),
    {"till": (OwnedUnitRanges("till-1", (0, 8192)),)},
    {"till-2": 1000},
)
LOADS = pack_loads(EndpointLoadReports(9, {"till-1": LoadReport(3, 2, 5, 140, 250)}))


def _json(value):
    return msgspec.json.encode(value)


def _envelope(message):
    return encode_envelope(
        Envelope("edge-1", "10.0.0.1:1", Timestamp(1), message, MessageSequence(1, 2))
    )


def _relay(message):
    """Encode a report as a follower relays it to the leader."""
    return _envelope(ReportRelay(1, message))


class DecoderTarget:
    """Fuzz target for a function that decodes bytes.

    Attributes:
        samples: Valid inputs.
        tokens: Byte strings with a meaning in the input format.
        decode: The function; it may raise only a ``GreengageError``.
        encode: Function that encodes what was decoded, as the next host or the log gets it.
    """

    def __init__(self, decode, samples, tokens, encode=lambda value: None):
        self.decode = decode
        self.encode = encode
        self.samples = samples
        self.tokens = tokens

    def check(self, data):
        """Decode mutated bytes; returns whether they were refused.

        Raises:
            Exception: Any other exception than a ``GreengageError`` is a fault of the decoder.
        """
        try:
            value = self.decode(data)
        except GreengageError as error:
            assert error.code
            return True
        self.encode(value)
        return False


def check_notice(data):
    """Read bytes as the pause and as the limit that an endpoint requests, and apply the pause.

    Raises:
        AssertionError: If the pause is not a finite time of bounded length, or the limit not a
            finite number.
    """
    text = data.decode("latin-1")
    notice = make_notice(1, False, text, text)
    assert notice.limit_per_s is None or 0 <= notice.limit_per_s <= MAX_READ_LIMIT_PER_S
    assert 0 <= notice.pause_s <= MAX_READ_PAUSE_S
    notices = EndpointNotices()
    notices.note_pause("e", 1, notice.pause_s, 0.0)
    record = EndpointRecord("e", "10.0.0.9:80", "docs", "a", 3, started_ms=1)
    assert notices.pause_left_s(record, 0.0) <= MAX_PAUSE_S
    if notice.malformed_pause:
        raise GreengageError("bad-announcement", notice.malformed_pause)


def check_load(data):
    """Read bytes as the load of an endpoint.

    Raises:
        AssertionError: If a number is out of bounds, or an unreadable text is not reported.
    """
    text = data.decode("latin-1")
    notice = make_notice(1, False, None, load_text=text)
    load = notice.load
    if load is None:
        assert bool(notice.malformed_load) == bool(text)
        raise GreengageError("bad-announcement", notice.malformed_load)
    assert min(load.running, load.waiting, load.slots) >= 0
    assert max(load.running, load.waiting, load.slots) <= MAX_LOAD_COUNT
    assert 1 <= load.pace_percent <= MAX_PACE_PERCENT


def check_packed_loads(data):
    """Unpack bytes as the loads of endpoints.

    Raises:
        AssertionError: If an unknown endpoint is named, or a pace is not positive.
    """
    reports = unpack_loads(data, {digest_instance("till-1", 3): ("till-1", 3)})
    assert set(reports.loads) <= {"till-1"}
    assert all(load.pace_percent > 0 for load in reports.loads.values())


def check_relay_request(data):
    """Read bytes as the endpoint and as the remaining time of another router's request.

    Raises:
        AssertionError: If the time is not positive and bounded.
    """
    text = data.decode("latin-1")
    headers = {ENDPOINT_HEADER: text, TIMEOUT_HEADER: text}
    event = RelayDialect(NativeRouteDialect()).make_arrival_event(1, "r", {}, headers, None)
    assert 0 < event.timeout_s <= MAX_TIMEOUT_S


def check_relay_result(data):
    """Read bytes as what another router says of a request that it was to forward.

    Raises:
        AssertionError: If the request counts as not run although the result does not say so.
    """
    text = data.decode("latin-1")
    response = urllib3.HTTPResponse(headers={RESULT_HEADER: text})
    failure = read_relay_failure(1, response, False)
    if failure is None:
        assert text == RESULT_ENDPOINT
    else:
        assert failure.has_sent_bytes or text.endswith(" not-run")
        raise GreengageError("relay-unavailable", text)


def check_response(data):
    """Read bytes as the response of an endpoint that then ends the stream.

    Raises:
        AssertionError: If a field that is read would have another meaning for the next reader.
    """
    sock, peer = socket.socketpair()
    with sock, peer:
        peer.sendall(data)
        peer.close()
        try:
            with StrictResponse(ConnectionState(sock), method="GET") as received:
                received.begin()
                body = received.read()
        except HTTPException as error:
            raise GreengageError("answer-lost", str(error)) from error
    assert 200 <= received.status <= 599
    assert received.chunked or body in data
    for name, value in received.headers.items():
        line = f"{name}: {value}".encode("latin-1")
        assert parse_field_line(line) == (name.encode(), value.encode("latin-1"))


def encode_accepted(patch):
    """Encode a patch for the log, and the items that it leads to as they are read back."""
    store = ItemStore()
    store.apply(Entry(1, 1, encode_patch(patch)))
    encode_items(store.items)
    format_items(store.items)
    store.dump()


_JSON_TOKENS = (
    *(b"[", b"{", b"null", b"-1", b'"', b"1e999", b"\xff", b"true", b"[[[["),
    b"18446744073709551616",
    b"9" * 400,
    b'{"a":' * 2000,
)
_MSGPACK_TOKENS = (b"\xc0", b"\x93", b"\xdf\xff\xff\xff\xff", b"\xc6\x7f\xff\xff\xff", b"\xcf")
_TEXT_TOKENS = (b";", b"\n", b"'", b'"', b": ", b"- ", b"&a", b"*a", b"{", b"!!", b"\x00", b"\xc3")

DECODERS = {
    "report": DecoderTarget(
        lambda data: decode_report("e", data), [_json(REPORT)], _JSON_TOKENS, _relay
    ),
    "leaving": DecoderTarget(
        lambda data: decode_leaving("e", data), [_json({"born": 5})], _JSON_TOKENS, _relay
    ),
    "patch": DecoderTarget(decode_patch, [_json(PATCH)], _JSON_TOKENS, encode_accepted),
    "settings": DecoderTarget(
        lambda data: decode_settings(data, 1), [_json(SETTINGS)], _JSON_TOKENS
    ),
    "own-report": DecoderTarget(
        lambda data: NativeControlDialect().decode_report("e", data),
        [_json(NATIVE_REPORT)],
        _JSON_TOKENS,
        _relay,
    ),
    "own-items": DecoderTarget(
        NativeControlDialect().decode_patch,
        [INITIAL_STATEMENTS.encode()],
        (*_TEXT_TOKENS, b"9" * 400),
        encode_accepted,
    ),
    "own-settings": DecoderTarget(
        lambda data: parse_settings(data.decode(errors="replace")),
        [NATIVE_SETTINGS.encode()],
        _TEXT_TOKENS,
    ),
    "link": DecoderTarget(
        decode_envelope,
        [
            _envelope(ViewPoll(3, 4, 5, {"till-1": (3, 0.1)}, {"till": {7: 2}}, loads=LOADS)),
            _envelope(ViewDelta(None, encode_delta(DELTA), ("10.0.0.2:1",), 3)),
        ],
        _MSGPACK_TOKENS,
    ),
    "view": DecoderTarget(
        lambda data: decode_delta(data, EndpointsDelta), [encode_delta(DELTA)], _MSGPACK_TOKENS
    ),
    "notice": DecoderTarget(
        check_notice,
        [b"2", b"0.5", b"Fri, 04 Dec 2026 08:00:00 GMT"],
        (b"-1", b"1e999", b"nan", b"inf", b"\xff", b"_", b"0x1", b" "),
    ),
    "load": DecoderTarget(
        check_load,
        [b"2,5,2,140", b"0,0,3"],
        (b"-1", b"9999999", b"nan", b",", b"\xff", b"\xb2", b".", b" "),
    ),
    "loads": DecoderTarget(check_packed_loads, [LOADS], _MSGPACK_TOKENS),
    "relay-request": DecoderTarget(
        check_relay_request,
        [b"1200", b"0.5"],
        (b"-1", b"1e308", b"nan", b"inf", b"\xff", b"_", b"e", b" "),
    ),
    "relay-result": DecoderTarget(
        check_relay_result,
        [b"endpoint", b"connect-failed not-run", b"answer-lost unknown"],
        (b"endpoint", b" ", b"not-run", b"unknown", b"connect-failed", b"\xff", b","),
    ),
    "response": DecoderTarget(
        check_response,
        [
            response(fields=[b"X-A: b", b"X-B: c\r\n d"]),
            b"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.0 500 Error\r\nA: b\r\n\r\nbody",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nC: d\r\n\r\n",
        ],
        (
            b"\r",
            b"\n",
            b"\r\n",
            b"\x00",
            b":",
            b" ",
            b"\t",
            b"HTTP/1.1",
            b"600",
            b"\xff",
            b"From ",
        ),
    ),
    "log": DecoderTarget(
        scan_frames, [encode_frame(b"one") + encode_frame(b"two" * 30)], _MSGPACK_TOKENS
    ),
}
