"""Interrupted responses whose rest is requested from another endpoint."""

import pytest

from greengagerock.core.interface import RequestEnded
from greengagerock.testing.raw_endpoint import RawEndpoint, end_then_close_after, reset_after
from greengagerock.testing.stub_router import StubRouter
from greengagerock.testing.uploading_caller import upload

ROUTER = ("127.37.0.45", 8645)
ENDPOINT_IP = "127.37.0.46"
OTHER_ENDPOINT_IP = "127.37.0.47"
BODY = bytes(range(250)) * 1000
SENT = 100_000
HEAD = (
    f'HTTP/1.1 200 OK\r\nAccept-Ranges: bytes\r\nETag: "v1"\r\nContent-Length: {len(BODY)}\r\n\r\n'
)
REST = BODY[SENT:]
REST_HEAD = (
    "HTTP/1.1 206 Partial Content\r\n"
    f'ETag: "v1"\r\nContent-Range: bytes {SENT}-{len(BODY) - 1}/{len(BODY)}\r\n'
)
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data):
    """Return a body of one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n0\r\n\r\n"


@pytest.fixture(scope="module")
def router():
    with StubRouter(*ROUTER) as built:
        yield built


def resume(router, rest, ending):
    """Return what a caller gets if ``rest`` is the response to the request for the rest."""
    first = HEAD.encode() + BODY[:SENT]
    with (
        RawEndpoint(ENDPOINT_IP, first, end_then_close_after(0.0)) as endpoint,
        RawEndpoint(OTHER_ENDPOINT_IP, rest, ending) as other_endpoint,
    ):
        router.reach(endpoint.address, other_endpoint.address)
        return upload(router.address, 0, "/prices/1", method="GET")


@pytest.mark.parametrize(
    "rest",
    [
        f"Content-Length: {len(REST)}\r\n\r\n".encode() + REST,
        b"\r\n" + REST,
        CHUNKED.encode() + encode_chunk(REST),
    ],
    ids=["length", "none", "chunked"],
)
def test_whole_rest_completes_the_response(router, rest):
    received = resume(router, REST_HEAD.encode() + rest, end_then_close_after(0.0))
    assert (received.status, received.is_whole) == (200, True)
    assert received.body == BODY
    assert router.wait_for(RequestEnded).complete


@pytest.mark.parametrize(
    "ending", [end_then_close_after(0.0), reset_after(0.05)], ids=["ended", "reset"]
)
@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 100\r\n\r\n" + REST[:100],
        b"\r\n" + REST[:100],
        CHUNKED.encode() + encode_chunk(REST[:100]),
    ],
    ids=["length", "none", "chunked"],
)
def test_shorter_rest_does_not_complete_the_response(router, rest, ending):
    """The caller's connection stayed open, and waited for the bytes that were missing."""
    received = resume(router, REST_HEAD.encode() + rest, ending)
    assert received.status == 200
    assert not received.is_whole
    assert BODY.startswith(received.body)
    assert not router.wait_for(RequestEnded).complete


@pytest.mark.parametrize(
    "rest",
    [
        f"Content-Length: {len(REST) + 9}\r\n\r\n".encode() + REST + b"excessive",
        b"\r\n" + REST + b"excessive",
        CHUNKED.encode() + encode_chunk(REST + b"excessive"),
    ],
    ids=["length", "none", "chunked"],
)
def test_longer_rest_does_not_exceed_the_response(router, rest):
    received = resume(router, REST_HEAD.encode() + rest, end_then_close_after(0.0))
    assert received.status == 200
    assert BODY.startswith(received.body)
    assert not router.wait_for(RequestEnded).complete
