"""Fuzz target that sends mutated requests to the HTTP server for callers."""

import socket

from greengagerock.settings.schema import LimitSettings
from greengagerock.web.caller_application import make_body_reader
from greengagerock.web.server import HttpServer
from greengagerock.web.upstream import CallerBodyError

SOCKET_TIMEOUT_S = 5.0
SENTINEL = b"GET /sentinel HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n"
SAMPLES = (
    b"GET /balance/1?x=1 HTTP/1.1\r\nHost: shop.example\r\nGreengage-Key: 7\r\n\r\n",
    b"POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /charge/2 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n\r\n",
)
TOKENS = (
    b"\r\n",
    b"\n",
    b"\r",
    b" ",
    b"\t",
    b"\x00",
    b":",
    b"Content-Length: 3\r\n",
    b"Content-Length: +5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"ffffffffffffffff\r\n",
    b"GET /smuggled HTTP/1.1\r\n",
)


class HttpServerTarget:
    """A real HTTP server whose application records the requests that it receives.

    Args:
        address: ``IP:PORT`` to listen on.

    Attributes:
        samples: Valid requests.
        tokens: Byte strings with a meaning in HTTP.
        received_requests: (method, path, body) of each request that reached the application.
        server_errors: Details of the errors that the server logged.
    """

    samples = SAMPLES
    tokens = TOKENS

    def __init__(self, address):
        self.address = address
        self.received_requests = []
        self.server_errors = []
        ip, _, port = address.rpartition(":")
        limits = LimitSettings(idle_connection_s=0.3)
        self.server = HttpServer(ip, int(port), self._respond, limits, 4, self._log)
        self.server.start()

    def stop(self):
        """Stop the server."""
        self.server.stop()

    def check(self, data):
        """Send a mutated request, then a valid one; returns whether a request was refused.

        Raises:
            AssertionError: If the server fails, sends anything but HTTP, or sends more successful
                responses than requests reached the application.
        """
        self.received_requests.clear()
        received = self._exchange(data + SENTINEL)
        assert self.server_errors == [], self.server_errors
        assert not received or received.startswith(b"HTTP/1.1 "), received[:80]
        assert b"HTTP/1.1 500" not in received, received[:200]
        response_count = received.count(b"HTTP/1.1 2")
        assert response_count <= len(self.received_requests), (
            f"{response_count} successful responses to {self.received_requests}"
        )
        return b"HTTP/1.1 4" in received

    def is_alive(self):
        """Return whether the server responds to a valid request."""
        self.received_requests.clear()
        return self._exchange(SENTINEL).startswith(b"HTTP/1.1 200")

    def _exchange(self, data):
        ip, _, port = self.address.rpartition(":")
        received = b""
        with socket.create_connection((ip, int(port)), SOCKET_TIMEOUT_S) as sock:
            try:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                while chunk := sock.recv(65_536):
                    received += chunk
            except ConnectionError:
                # The server closed the connection with bytes unread; earlier bytes still count.
                return received
        return received

    def _respond(self, environ, start_response):
        status, body = "200 OK", make_body_reader(environ)
        try:
            data = b"".join(body or ())
        except CallerBodyError:
            status, data = "400 Bad Request", b""
        self.received_requests.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], data))
        headers = [("Content-Length", "2"), ("Content-Type", "text/plain")]
        if not status.startswith("200"):
            headers.append(("Connection", "close"))
        start_response(status, headers)
        return [b"ok"]

    def _log(self, event, **fields):
        if event == "http-server" and fields.get("severity", 0) >= 40:
            self.server_errors.append(fields["detail"])
