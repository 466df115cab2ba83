"""Attempts on connections to endpoints that fail before the request is sent."""

import contextlib
import socket
import struct
import threading

import pytest
import urllib3

from greengagerock.core.interface import AttemptFailed, Forward
from greengagerock.settings.schema import LimitSettings
from greengagerock.web.upstream import Attempt, Upstream

ADDRESS = ("127.37.0.1", 8600)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def resetting_endpoint():
    """Start an endpoint that resets each new connection, as at its connection limit."""
    server = socket.create_server(ADDRESS)

    def serve():
        while True:
            try:
                sock, _ = server.accept()
            except OSError:
                # The fixture has closed the server.
                return
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()

    threading.Thread(target=serve, daemon=True).start()
    yield "127.37.0.1:8600"
    server.close()


def test_reset_connection_is_reported_as_not_sent(resetting_endpoint):
    forward = Forward(1, "e", resetting_endpoint, {}, 1.0)
    attempt = Attempt()
    result = Upstream(LimitSettings()).send(
        forward, "POST", "/charge", {}, None, attempt, lambda response: None
    )
    assert result == AttemptFailed(1, "connect", False, False)


def test_attempt_cancelled_while_connecting_sends_nothing():
    server = socket.create_server(("127.37.0.2", 8601))
    attempt = Attempt()
    attempt.cancel()
    result = Upstream(LimitSettings()).send(
        Forward(1, "e", "127.37.0.2:8601", {}, 1.0), "GET", "/", {}, None, attempt, lambda r: None
    )
    assert result == AttemptFailed(1, "connect", False, False)
    sock, _ = server.accept()
    assert sock.recv(100) == b""
    server.close()


def test_attempt_cancelled_while_a_kept_connection_is_taken_sends_nothing():
    """The request was sent, and nothing ended the attempt."""
    server = socket.create_server(("127.37.0.2", 8602))
    upstream = Upstream(LimitSettings())
    upstream.pool("127.37.0.2:8602").keep_idle(1, 10.0, 1.0)
    attempt = Attempt()
    attempt.cancel()
    result = upstream.send(
        Forward(1, "e", "127.37.0.2:8602", {}, 1.0), "GET", "/", {}, None, attempt, lambda r: None
    )
    assert result == AttemptFailed(1, "connect", False, False)
    sock, _ = server.accept()
    assert sock.recv(100) == b""
    server.close()


def test_lost_keep_alive_probe_does_not_close_an_idle_connection():
    """Linux lets TCP_USER_TIMEOUT, where it is set, decide instead of TCP_KEEPCNT."""
    address = serve_once(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    upstream, attempt = Upstream(LimitSettings()), Attempt()
    timeouts_ms = []

    def inspect(response):
        timeouts_ms.append(read_user_timeout_ms(attempt.state.sock))

    forward = Forward(1, "e", address, {}, 5.0)
    response = upstream.send(forward, "GET", "/", {}, None, attempt, inspect)
    assert response.read() == b"ok"
    timeouts_ms.append(read_user_timeout_ms(attempt.state.sock))
    assert timeouts_ms == [2000, 0]


def read_user_timeout_ms(sock):
    """Return the option ``TCP_USER_TIMEOUT`` of a socket."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def serve_once(data):
    """Start an endpoint that answers one connection with bytes and closes it.

    Returns:
        Its address.
    """
    server = socket.create_server(("127.37.0.3", 0))

    def serve():
        sock, _ = server.accept()
        with sock:
            sock.recv(65_536)
            with contextlib.suppress(OSError):
                # The client may close the connection before it has read everything.
                sock.sendall(data)
        server.close()

    threading.Thread(target=serve, daemon=True).start()
    return f"127.37.0.3:{server.getsockname()[1]}"


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nSeal: 1\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"Same: line\r\n" * 20_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 20_000,
        b"x" * 200_000,
        b"",
        b"HTTP/1.1 2",
        b"HTTP/1.1 200\r\n",
        b"HTTP/1.1 200 OK\r\nSeal: 1\r",
        b"HTTP/1.1 200 OK\r\nSeal: 1\r\n\r",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1",
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nConte",
    ],
)
def test_truncated_or_endless_head_is_not_taken_for_a_response(data):
    forward = Forward(1, "e", serve_once(data), {}, 5.0)
    result = Upstream(LimitSettings()).send(
        forward, "GET", "/", {}, None, Attempt(), lambda response: None
    )
    assert result == AttemptFailed(1, "lost", True, False)


def test_interim_responses_are_not_taken_for_the_response():
    """The library skips those with status 100 only."""
    data = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + SUCCESS
    forward = Forward(1, "e", serve_once(data), {}, 5.0)
    response = Upstream(LimitSettings()).send(
        forward, "GET", "/", {}, None, Attempt(), lambda response: None
    )
    assert (response.status, response.read()) == (200, b"ok")


@pytest.mark.parametrize(
    "head",
    [
        b"Seal: 1\r\nContent-Length\r\n\r\nhello",
        b"Seal: 1\r\ngarbage\r\nContent-Length: 9\r\n\r\nhello",
        b"Content-Length: 5\r\nContent-Length: 2\r\n\r\nhello",
        b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"Content-Length: abc\r\n\r\nhello",
        b"Content-Length: -1\r\n\r\nhello",
        b"Transfer-Encoding: gzip\r\n\r\nhello",
        b"Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ],
)
def test_head_that_does_not_tell_the_end_of_the_body_is_refused(head):
    """A body whose length was lost with the rest of the head looked complete at the close."""
    forward = Forward(1, "e", serve_once(b"HTTP/1.1 200 OK\r\n" + head), {}, 5.0)
    result = Upstream(LimitSettings()).send(
        forward, "GET", "/", {}, None, Attempt(), lambda response: None
    )
    assert result == AttemptFailed(1, "lost", True, False)


@pytest.mark.parametrize("chunk", [b"", b"5\r\nhello\r\n0", b"0" * 100_000, b"5\r\nhello\r\n"])
def test_truncated_chunk_size_does_not_end_a_response(chunk):
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
    forward = Forward(1, "e", serve_once(data), {}, 5.0)
    response = Upstream(LimitSettings()).send(
        forward, "GET", "/", {}, None, Attempt(), lambda response: None
    )
    with pytest.raises(urllib3.exceptions.HTTPError):
        list(response.stream(65_536, decode_content=False))


def serve_responses(*responses):
    """Start an endpoint that answers the requests of any connections with bytes, in order.

    Returns:
        Its address and a list of the numbers of the connections that the requests came on.
    """
    server = socket.create_server(("127.37.0.6", 0))
    left, connections = list(responses), []

    def serve():
        number = 0
        while left:
            sock, _ = server.accept()
            with sock:
                while left and sock.recv(65_536):
                    connections.append(number)
                    sock.sendall(left.pop(0))
            number += 1
        server.close()

    threading.Thread(target=serve, daemon=True).start()
    return f"127.37.0.6:{server.getsockname()[1]}", connections


REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Refused: 1\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(("second_id", "expected"), [("r-1", [0, 1]), ("r-2", [0, 0])])
def test_refused_request_is_not_sent_again_on_the_same_connection(second_id, expected):
    """If the endpoint repeats the refusal, it has the id of the second attempt as well."""
    address, connections = serve_responses(REFUSAL, SUCCESS)
    upstream = Upstream(LimitSettings())

    def send(request_id):
        return upstream.send(
            Forward(1, "e", address, {}, 5.0),
            "POST",
            "/",
            {},
            None,
            Attempt(request_id=request_id),
            lambda response: "refused" if "X-Refused" in response.headers else None,
        )

    assert send("r-1") == AttemptFailed(1, "refused", False, False)
    assert send(second_id).status == 200
    assert connections == expected


@pytest.mark.parametrize(("second_id", "expected"), [("r-1", [0, 1]), ("r-2", [0, 0])])
def test_request_id_is_sent_once_on_a_connection(second_id, expected):
    """A relay passes a refusal on as a response, and the connection forgot the request."""
    address, connections = serve_responses(REFUSAL, SUCCESS)
    upstream = Upstream(LimitSettings())
    for request_id, status in (("r-1", 503), (second_id, 200)):
        response = upstream.send(
            Forward(1, "e", address, {}, 5.0),
            "POST",
            "/",
            {},
            None,
            Attempt(request_id=request_id),
            lambda response: None,
        )
        assert response.status == status
        response.drain_conn()
    assert connections == expected


def test_refusal_with_a_long_body_is_not_read_to_its_end():
    server = socket.create_server(("127.37.0.5", 8604))
    closed = threading.Event()

    def serve():
        sock, _ = server.accept()
        sock.recv(65_536)
        try:
            sock.sendall(b"HTTP/1.1 503 Busy\r\n\r\n")
            while True:
                sock.sendall(b"x" * 65_536)
        except OSError:
            closed.set()

    threading.Thread(target=serve, daemon=True).start()
    forward = Forward(1, "e", "127.37.0.5:8604", {}, 5.0)
    result = Upstream(LimitSettings()).send(
        forward, "GET", "/", {}, None, Attempt(), lambda response: "refused"
    )
    assert result == AttemptFailed(1, "refused", False, False)
    assert closed.wait(10.0)
    server.close()


@pytest.mark.parametrize(("chosen_s", "reason"), [(None, "connect-timeout"), (1.3, "timeout")])
def test_late_connection_is_waited_for_as_long_as_the_decision_core_says(chosen_s, reason):
    """The operating system repeats its first packet after 1 s."""
    server = socket.create_server(("127.37.0.3", 0), backlog=0)
    address = server.getsockname()
    waiting = [socket.create_connection(address)]
    timer = threading.Timer(0.3, lambda: waiting.append(server.accept()[0]))
    timer.start()
    forward = Forward(1, "e", f"127.37.0.3:{address[1]}", {}, 1.6, connect_timeout_s=chosen_s)
    result = Upstream(LimitSettings(connect_timeout_s=0.15)).send(
        forward, "GET", "/", {}, None, Attempt(), lambda response: None
    )
    timer.join()
    assert (result.reason, result.has_sent_bytes) == (reason, reason == "timeout")
    for sock in [server, *waiting]:
        sock.close()


@pytest.mark.parametrize(("linger", "reason"), [(RESET_ON_CLOSE, "reset"), (None, "lost")])
def test_connection_reset_after_the_request_is_told_apart_from_a_closed_one(linger, reason):
    server = socket.create_server(("127.37.0.4", 0))

    def serve():
        sock, _ = server.accept()
        sock.recv(4096)
        if linger is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    thread = threading.Thread(target=serve)
    thread.start()
    forward = Forward(1, "e", f"127.37.0.4:{server.getsockname()[1]}", {}, 2.0)
    result = Upstream(LimitSettings()).send(
        forward, "GET", "/", {}, None, Attempt(), lambda response: None
    )
    thread.join()
    server.close()
    assert result == AttemptFailed(1, reason, True, False)
