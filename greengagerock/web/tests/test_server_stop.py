"""The end of an HTTP server whose connections still carry requests."""

import socket
import time

import pytest

from greengagerock.settings.schema import LimitSettings
from greengagerock.web.server import HttpServer

ADDRESS = ("127.37.0.9", 8611)
TIMEOUT_S = 10.0
CHECK_INTERVAL_S = 0.01


@pytest.fixture
def server():
    """Start a server that responds with two bytes."""

    def respond(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    http_server = HttpServer(*ADDRESS, respond, LimitSettings(), 4, lambda event, **fields: None)
    http_server.start()
    yield http_server
    http_server.stop()


def wait_until(condition):
    """Wait until a condition holds, at most ``TIMEOUT_S``."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(CHECK_INTERVAL_S)


def test_request_that_is_half_read_when_the_port_closes_gets_its_response(server):
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n")
    wait_until(lambda: server.count_in_progress() == 1)
    server.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(ADDRESS, TIMEOUT_S)
    assert not server.is_idle()
    sock.sendall(b"\r\n")
    received = b""
    while not received.endswith(b"ok"):
        chunk = sock.recv(1000)
        assert chunk
        received += chunk
    wait_until(server.is_idle)
    server.close_idle_connections()
    assert sock.recv(1000) == b""


def test_connection_that_waited_to_be_accepted_is_served(server):
    socks = [socket.create_connection(ADDRESS, TIMEOUT_S) for _ in range(20)]
    server.stop_accepting()
    for sock in socks:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    for sock in socks:
        received = b""
        while chunk := sock.recv(1000):
            received += chunk
        assert received.endswith(b"ok")
