"""A request is read under the limits that were in force when it began, and only under these."""

import socket
import time

import pytest

from greengagerock.items import CallerLimits
from greengagerock.settings.schema import LimitSettings
from greengagerock.web.server import HttpServer, JsonErrorRequest

ADDRESS = ("127.33.0.10", 8632)
TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.01
SHORT_S = 1.0
LONG_S = 15.0
PAUSE_S = 1.5 * SHORT_S
BODY = b"x" * 2000
HEAD_START = b"POST / HTTP/1.1\r\nHost: a\r\n"
LENGTH = b"Content-Length: 2000\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"7d0\r\n" + BODY + b"\r\n0\r\n\r\n"


def change(server, header_timeout_s, body_bytes=1_048_576):
    """Apply a change of the limits."""
    server.apply_limits(CallerLimits(2, 16_384, body_bytes, header_timeout_s, 15.0))


@pytest.fixture
def server():
    """Start a server that responds with the body of the request."""

    def respond(environ, start_response):
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    limits = LimitSettings(idle_connection_s=LONG_S)
    http_server = HttpServer(*ADDRESS, respond, limits, 4, lambda event, **fields: None)
    http_server.start()
    yield http_server
    http_server.stop()


@pytest.fixture
def caller(server):
    """Return a connection."""
    with socket.create_connection(ADDRESS, TIMEOUT_S) as sock:
        yield sock


def wait_for_reading(server, request_count):
    """Wait until a request is being read, after some whose head has been read."""
    end_s = time.monotonic() + TIMEOUT_S
    while not any(
        progress.request_count == request_count
        for progress in server.open_connections.progress()
        if server.count_in_progress()
    ):
        assert time.monotonic() < end_s
        time.sleep(CHECK_INTERVAL_S)


def exchange_rest(sock, data):
    """Send the rest of a request; return all of the response."""
    sock.sendall(data)
    received = b""
    while not received.endswith(BODY) and (piece := sock.recv(65_536)):
        received += piece
    return received


def test_longer_header_timeout_applies_to_the_next_request_of_an_open_connection(server):
    """The time-out of the socket stayed that of the time of its acceptance."""
    change(server, SHORT_S)
    with socket.create_connection(ADDRESS, TIMEOUT_S) as sock:
        assert exchange_rest(sock, HEAD_START + LENGTH + BODY).endswith(BODY)
        change(server, LONG_S)
        sock.sendall(HEAD_START)
        time.sleep(PAUSE_S)
        assert exchange_rest(sock, LENGTH + BODY).endswith(BODY)


def test_shorter_header_timeout_ends_the_next_request_of_an_open_connection(server, caller):
    assert exchange_rest(caller, HEAD_START + LENGTH + BODY).endswith(BODY)
    change(server, SHORT_S)
    caller.sendall(HEAD_START)
    assert caller.recv(65_536).startswith(b"HTTP/1.1 408 ")


def test_header_timeout_that_is_shortened_while_a_head_is_read_does_not_end_it(server, caller):
    caller.sendall(HEAD_START)
    wait_for_reading(server, 0)
    time.sleep(SHORT_S)
    change(server, SHORT_S)
    time.sleep(PAUSE_S)
    assert exchange_rest(caller, LENGTH + BODY).endswith(BODY)


@pytest.mark.parametrize(
    ("framing", "body"), [(LENGTH, BODY), (CHUNKED, CHUNKS)], ids=["length", "chunks"]
)
def test_header_timeout_that_is_shortened_while_a_body_is_read_does_not_end_it(
    server, caller, framing, body
):
    caller.sendall(HEAD_START + framing + body[:100])
    wait_for_reading(server, 1)
    change(server, SHORT_S)
    time.sleep(PAUSE_S)
    assert exchange_rest(caller, body[100:]).endswith(BODY)


@pytest.mark.parametrize(
    ("framing", "body"), [(LENGTH, BODY), (CHUNKED, CHUNKS)], ids=["length", "chunks"]
)
def test_limits_that_are_lowered_after_the_head_apply_to_the_next_request(
    server, caller, monkeypatch, framing, body
):
    """The body was refused with 413, and bytes of it were left unread, or its time ended."""
    read_headers = JsonErrorRequest.read_request_headers

    def read_headers_and_change(request):
        is_valid = read_headers(request)
        change(server, SHORT_S, body_bytes=100)
        return is_valid

    monkeypatch.setattr(JsonErrorRequest, "read_request_headers", read_headers_and_change)
    caller.sendall(HEAD_START + framing)
    time.sleep(PAUSE_S)
    received = exchange_rest(caller, body)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(BODY)
    caller.sendall(HEAD_START + LENGTH)
    assert caller.recv(65_536).startswith(b"HTTP/1.1 413 ")
