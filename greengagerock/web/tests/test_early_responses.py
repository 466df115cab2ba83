"""Responses that an endpoint sends while the request is still being written."""

import time

import pytest

from greengagerock.core.interface import AttemptFailed, RequestEnded, ResponseInterrupted
from greengagerock.routing.failures import REASON_TIMEOUT
from greengagerock.testing.raw_endpoint import (
    RawEndpoint,
    close_unread_after,
    end_then_close_after,
    reset_after,
)
from greengagerock.testing.stub_router import start_router
from greengagerock.testing.uploading_caller import upload

ROUTER = ("127.37.0.41", 8641)
RELAY = ("127.37.0.42", 8643)
ENDPOINT_IP = "127.37.0.43"
BODY_BYTES = 4 * 1024 * 1024
UNBOUNDED_HEADS = {
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "http-1.0": b"HTTP/1.0 200 OK\r\n\r\n",
    "error": b"HTTP/1.1 500 Internal Server Error\r\n\r\n",
}
RESETS = {
    "reset": reset_after(0.0),
    "reset-later": reset_after(0.05),
    "closed-unread": close_unread_after(0.0),
    "closed-unread-later": close_unread_after(0.05),
}
# A short response fits into the buffers of both systems, a long one waits for its reader.
SHORT_BYTES = 3000
LONG_BYTES = 200_000


@pytest.fixture(scope="module", params=[None, RELAY], ids=["direct", "relayed"])
def router(request):
    """Start a router that reaches the endpoint on an own connection, or through another one."""
    with start_router(ROUTER, request.param) as built:
        yield built


def serve(router, response, ending, version="1.1"):
    """Return what a caller of the router gets who uploads a long body."""
    with RawEndpoint(ENDPOINT_IP, response, ending) as endpoint:
        router.reach(endpoint.address)
        return upload(router.address, BODY_BYTES, version=version)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("size", [SHORT_BYTES, LONG_BYTES])
@pytest.mark.parametrize("ending", RESETS)
@pytest.mark.parametrize("head", UNBOUNDED_HEADS)
def test_reset_response_is_not_taken_for_a_whole_one(router, head, ending, size, version):
    """The failed write of the request took the only report of the reset.

    For callers of version 1.0, a response without a length ends with the router's connection.
    """
    response = UNBOUNDED_HEADS[head] + b"x" * size
    received = serve(router, response, RESETS[ending], version)
    assert not (received.status in (200, 500) and received.is_whole)
    router.wait_for(AttemptFailed | ResponseInterrupted)


@pytest.mark.parametrize("delay_s", [0.05, 0.3])
@pytest.mark.parametrize("size", [SHORT_BYTES, LONG_BYTES])
@pytest.mark.parametrize("head", [*UNBOUNDED_HEADS, "length"])
def test_response_is_read_while_the_request_is_still_being_written(router, head, size, delay_s):
    """The router wrote, or waited to write, until the endpoint closed the connection.

    It then lost what did not fit into the buffers, or had given the request up.
    """
    bounded_head = f"HTTP/1.1 413 Content Too Large\r\nContent-Length: {size}\r\n\r\n".encode()
    response = UNBOUNDED_HEADS.get(head, bounded_head) + b"x" * size
    received = serve(router, response, end_then_close_after(delay_s))
    assert (received.status, received.is_whole) == (int(response.split()[1]), True)
    assert received.body == b"x" * size
    assert router.wait_for(RequestEnded).complete


def test_connection_with_an_incomplete_request_is_not_used_again(router):
    """The endpoint would take the next request for the rest of the body."""
    response = b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno"
    with RawEndpoint(ENDPOINT_IP, response, lambda connection: time.sleep(1.0)) as endpoint:
        router.reach(endpoint.address)
        for number in (1, 2):
            received = upload(router.address, BODY_BYTES)
            assert (received.status, received.is_whole, received.body) == (413, True, b"no")
            assert endpoint.accepted_count == number


@pytest.mark.parametrize("count", [1, 3])
def test_interim_response_is_not_waited_for_like_a_final_one(router, count):
    """The endpoint reads nothing, so that no response follows before the deadline."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * count
    with RawEndpoint(ENDPOINT_IP, interim, lambda connection: time.sleep(1.0)) as endpoint:
        router.reach(endpoint.address)
        assert upload(router.address, BODY_BYTES).status == 502
    assert router.wait_for(AttemptFailed).reason != REASON_TIMEOUT


@pytest.mark.parametrize("ending", ["ended", *RESETS])
@pytest.mark.parametrize("status", [200, 413])
def test_whole_response_with_a_length_arrives(router, status, ending):
    head = f"HTTP/1.1 {status} Status\r\nContent-Length: {SHORT_BYTES}\r\n\r\n"
    response = head.encode() + b"x" * SHORT_BYTES
    received = serve(router, response, RESETS.get(ending) or end_then_close_after(0.05))
    assert (received.status, received.is_whole) == (status, True)
    assert received.body == b"x" * SHORT_BYTES


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("head", UNBOUNDED_HEADS)
def test_response_that_ends_before_the_reset_arrives(router, head, version):
    response = UNBOUNDED_HEADS[head] + b"x" * SHORT_BYTES
    received = serve(router, response, end_then_close_after(0.05), version)
    assert (received.status, received.is_whole) == (int(response.split()[1]), True)
    assert received.body == b"x" * SHORT_BYTES
    assert router.wait_for(RequestEnded).complete
