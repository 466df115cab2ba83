"""Send buffers at a stop, and responses of requests that outlast it."""

import socket
import threading
import time

from greengagerock.settings.schema import LimitSettings
from greengagerock.web.bounded_output import LAST_SEND_BUFFER_BYTES, grow_send_buffer
from greengagerock.web.server import HttpServer

ADDRESS = ("127.33.0.13", 8635)
TIMEOUT_S = 20.0
SHUTDOWN_TIMEOUT_S = 0.2
WORK_S = 1.0


def buffer_bytes(sock):
    """Return the size of a socket's send buffer."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)


def test_small_send_buffer_grows():
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        before = buffer_bytes(sock)
        grow_send_buffer(sock)
        assert buffer_bytes(sock) > before


def test_larger_send_buffer_does_not_shrink():
    """The rest of a response that the system had taken already was lost with the process."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 3 * LAST_SEND_BUFFER_BYTES)
        before = buffer_bytes(sock)
        grow_send_buffer(sock)
        assert buffer_bytes(sock) == before


def test_response_of_a_request_that_outlasts_the_stop_of_a_server_is_sent():
    """Its connection was shut down in both directions before."""
    has_begun = threading.Event()

    def respond(environ, start_response):
        has_begun.set()
        time.sleep(WORK_S)
        start_response("200 OK", [("Content-Length", "4")])
        return [b"done"]

    server = HttpServer(*ADDRESS, respond, LimitSettings(), 4, lambda event, **fields: None)
    server.start()
    server.server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
    with socket.create_connection(ADDRESS, TIMEOUT_S) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        assert has_begun.wait(TIMEOUT_S)
        server.stop()
        received = b""
        while piece := sock.recv(65_536):
            received += piece
    assert received.endswith(b"\r\n\r\ndone")
