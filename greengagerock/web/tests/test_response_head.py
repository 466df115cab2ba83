"""Which heads of an endpoint reach callers, and that the body is the endpoint's."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.core.interface import AttemptFailed
from greengagerock.testing.message_heads import (
    BODY,
    MALFORMED_CHUNKS,
    MALFORMED_FIELDS,
    MALFORMED_STATUS_LINES,
    VALID_CHUNKS,
    VALID_FIELDS,
    VALID_STATUS_LINES,
    malformed_fields,
    response,
    valid_fields,
)
from greengagerock.testing.raw_endpoint import RawEndpoint, end_then_close_after
from greengagerock.testing.stub_router import start_router
from greengagerock.testing.uploading_caller import send_bytes, upload
from greengagerock.web.connection_state import ConnectionState
from greengagerock.web.message_head import MalformedResponseError
from greengagerock.web.strict_response import StrictResponse

ROUTER = ("127.37.0.48", 8648)
RELAY = ("127.37.0.49", 8650)
ENDPOINT_IP = "127.37.0.50"
REQUEST = b"GET /prices/1 HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n"
POSITIONS = {
    "first": lambda line: [line, b"X-B: c"],
    "middle": lambda line: [b"X-B: c", line, b"X-C: d"],
    "last": lambda line: [b"X-B: c", line],
}


@pytest.fixture(scope="module", params=[None, RELAY], ids=["direct", "relayed"])
def router(request):
    """Start a router that reaches the endpoint on an own connection, or through another one."""
    with start_router(ROUTER, request.param) as built:
        yield built


def call(router, data):
    """Return the bytes that a caller gets if an endpoint sends ``data``."""
    with RawEndpoint(ENDPOINT_IP, data) as endpoint:
        router.reach(endpoint.address)
        return send_bytes(router.address, REQUEST)


@pytest.mark.parametrize("line", VALID_STATUS_LINES)
def test_valid_status_line_is_passed_on(router, line):
    status, reason = VALID_STATUS_LINES[line]
    received = call(router, response(line))
    assert received.startswith(b"HTTP/1.1 %d %s\r\n" % (status, reason))
    assert received.endswith(b"\r\n\r\n" + BODY)


@pytest.mark.parametrize("line", MALFORMED_STATUS_LINES)
def test_malformed_status_line_reaches_no_caller(router, line):
    received = call(router, response(line))
    assert received.startswith(b"HTTP/1.1 502 ")
    assert not received.endswith(BODY)
    assert router.wait_for(AttemptFailed).has_sent_bytes


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("line", VALID_FIELDS)
def test_valid_field_is_passed_on(router, line, position):
    received = call(router, response(fields=POSITIONS[position](line)))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nX-A: %s\r\n" % VALID_FIELDS[line] in received
    assert received.endswith(b"\r\n\r\n" + BODY)


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("line", MALFORMED_FIELDS)
def test_malformed_field_reaches_no_caller(router, line, position):
    received = call(router, response(fields=POSITIONS[position](line)))
    assert received.startswith(b"HTTP/1.1 502 ")
    assert not received.endswith(BODY)
    assert router.wait_for(AttemptFailed).has_sent_bytes


def test_malformed_field_is_logged_without_its_bytes(router):
    call(router, response(fields=[b"Secret@Name: value"]))
    reader = router if router.relay is None else router.relay
    logged = [fields for event, fields in reader.log.lines if event == "response-malformed"]
    assert logged[-1]["detail"] == "malformed field line"
    assert "Secret" not in str(logged)


@pytest.mark.parametrize("line", [b" X-A: b", b"\tX-A: b", b" "])
def test_whitespace_before_the_first_field_is_malformed(router, line):
    assert call(router, response(fields=[line])).startswith(b"HTTP/1.1 502 ")


def test_lines_may_end_with_a_line_feed_alone(router):
    data = response(fields=[b"X-A: b"]).replace(b"\r\n", b"\n")
    received = call(router, data)
    assert b"\r\nX-A: b\r\n" in received
    assert received.endswith(b"\r\n\r\n" + BODY)


def test_interim_head_is_checked_like_the_final_one(router):
    interim = b"HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n"
    assert call(router, interim % b"X-A: b" + response()).startswith(b"HTTP/1.1 200 ")
    assert call(router, interim % b"X-A: b\rc" + response()).startswith(b"HTTP/1.1 502 ")


def read(data):
    """Return the response that the bytes of a connection are.

    Raises:
        MalformedResponseError: If they are none.
    """
    sock, peer = socket.socketpair()
    with sock, peer:
        peer.sendall(data)
        peer.close()
        read_response = StrictResponse(ConnectionState(sock), method="GET")
        with read_response:
            read_response.begin()
            body = read_response.read()
    return read_response, body


@settings(max_examples=300, deadline=None, derandomize=True)
@given(fields=st.lists(valid_fields(), max_size=5))
def test_drawn_fields_are_passed_on(fields):
    read_response, body = read(response(fields=[line for line, _ in fields]))
    pairs = [(n.encode(), v.encode("latin-1")) for n, v in read_response.headers.items()]
    assert pairs == [*(pair for _, pair in fields), (b"Content-Length", b"5")]
    assert body == BODY


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    before=st.lists(valid_fields(), max_size=3),
    malformed=malformed_fields(),
    after=st.lists(valid_fields(), max_size=3),
)
def test_drawn_malformed_field_is_refused(before, malformed, after):
    lines = [*(line for line, _ in before), malformed, *(line for line, _ in after)]
    with pytest.raises(MalformedResponseError):
        read(response(fields=lines))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    line=st.one_of(
        st.binary(max_size=30).filter(lambda line: b"\n" not in line),
        st.builds(
            lambda parts: b"".join(parts),
            st.tuples(
                st.sampled_from([b"HTTP/1.1", b"HTTP/1.0", b"HTTP/0.9", b"HTTP/1.x", b"HTTP/3.0"]),
                st.sampled_from([b" ", b"  ", b"\t", b"", b"\r"]),
                st.one_of(
                    st.integers(0, 1200).map(lambda n: b"%d" % n),
                    st.integers(0, 999).map(lambda n: b"%03d" % n),
                    st.binary(max_size=4).filter(lambda text: b"\n" not in text),
                ),
                st.sampled_from([b" ", b"  ", b"\t", b"", b"\r"]),
                st.sampled_from([b"", b"OK", b"O K", b"\x00", b"\x1f", b"\xff", b"\r"]),
            ),
        ),
    )
)
def test_drawn_status_line_is_passed_on_or_refused(line):
    """A line is valid if its characters, taken one by one, are those of the grammar."""
    is_valid = (
        line[:7] == b"HTTP/1."
        and line[7:8].isdigit()
        and line[8:9] == b" "
        and line[9:12].isdigit()
        and b"100" <= line[9:12] <= b"599"
        and line[12:13] in (b"", b" ")
        and all(code == 9 or 32 <= code <= 126 or code >= 128 for code in line[13:])
    )
    if is_valid and line[9:10] == b"1":
        # An interim response, after which the final one is missing, or a switch of the protocol.
        return
    try:
        read_response, _ = read(response(line))
    except MalformedResponseError:
        assert not is_valid
    else:
        assert is_valid
        assert read_response.status == int(line[9:12])
        assert read_response.reason == line[13:].decode("latin-1").strip()


def test_length_with_whitespace_after_it(router):
    received = call(router, response().replace(b"Content-Length: 5", b"Content-Length: 5 \t"))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"\r\n\r\n" + BODY)


@pytest.mark.parametrize(
    "content_type",
    [b"multipart/byteranges; boundary=x", b"multipart/mixed", b"message/rfc822", b"garbage"],
)
def test_type_of_the_body_does_not_decide_whether_a_head_is_malformed(router, content_type):
    """The library's parser looks for the parts of a multipart body in the head."""
    received = call(router, response(fields=[b"Content-Type: " + content_type]))
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nContent-Type: %s\r\n" % content_type in received
    assert received.endswith(b"\r\n\r\n" + BODY)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"


def receive_chunks(router, chunks):
    """Return the response that a caller gets if an endpoint sends a body in chunks."""
    with RawEndpoint(ENDPOINT_IP, CHUNKED + chunks, end_then_close_after(0.0)) as endpoint:
        router.reach(endpoint.address)
        return upload(router.address, 0)


@pytest.mark.parametrize("chunks", VALID_CHUNKS)
def test_body_in_chunks_is_passed_on(router, chunks):
    received = receive_chunks(router, chunks)
    assert (received.status, received.is_whole, received.body) == (200, True, BODY)


@pytest.mark.parametrize("chunks", MALFORMED_CHUNKS)
def test_malformed_chunks_are_not_taken_for_a_whole_body(router, chunks):
    received = receive_chunks(router, chunks)
    assert received.status in (200, 502)
    assert received.status == 502 or not received.is_whole
