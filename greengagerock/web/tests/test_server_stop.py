"""The end of an HTTP server whose connections still carry requests."""

import contextlib
import errno
import os
import select
import socket
import threading
import time

import pytest

from greengagerock.daemon.server_drain import ServerDrain
from greengagerock.items import CallerLimits
from greengagerock.settings.schema import LimitSettings
from greengagerock.testing.raw_callers import connect_on_a_slow_link
from greengagerock.web.connection_limits import LINGER_S
from greengagerock.web.connection_progress import IDLE, LINGERING, RESPONDING
from greengagerock.web.server import HttpServer

ADDRESS = ("127.37.0.9", 8611)
TIMEOUT_S = 10.0
CHECK_INTERVAL_S = 0.01
LONG_BODY = bytes(range(256)) * 1600


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
    server.close_idle_connections()
    assert len(server.open_connections) == 1
    sock.sendall(b"\r\n")
    received = b""
    while not received.endswith(b"ok"):
        chunk = sock.recv(1000)
        assert chunk
        received += chunk
    wait_until(lambda: server.count_in_progress() == 0)
    assert len(server.open_connections) == 1
    server.close_idle_connections()
    assert len(server.open_connections) == 0
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


def receive_response(sock):
    """Return the bytes up to the body of a response, or up to the end of the connection."""
    received = b""
    while not received.endswith(b"ok") and (chunk := sock.recv(1000)):
        received += chunk
    return received


def test_request_on_its_way_from_the_selector_to_a_worker_thread_keeps_its_connection(server):
    """For a moment such a connection is neither readable, nor with a worker thread."""
    is_taken, goes_on = threading.Event(), threading.Event()
    process_conn = server.server.process_conn

    def process_late(connection):
        is_taken.set()
        goes_on.wait(TIMEOUT_S)
        process_conn(connection)

    server.server.process_conn = process_late
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert is_taken.wait(TIMEOUT_S)
    drain = ServerDrain([server])
    was_complete = []

    def respond(environ, start_response):
        was_complete.append(drain.is_complete)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server.server.wsgi_app = respond
    checker = threading.Thread(target=drain_until_complete, args=(drain,))
    checker.start()
    checker.join(10 * CHECK_INTERVAL_S)
    assert not drain.is_complete
    goes_on.set()
    assert receive_response(sock).endswith(b"ok")
    checker.join(TIMEOUT_S)
    assert drain.is_complete
    assert was_complete == [False]


def drain_until_complete(drain):
    """Check a drain as the event loop does."""
    while not drain.is_drained(time.monotonic()):
        time.sleep(CHECK_INTERVAL_S)


def test_request_that_the_selector_has_found_survives_the_close_of_idle_connections(server):
    """The thread that had found it, or the one that closed connections, ended with an error."""
    has_selected, goes_on = threading.Event(), threading.Event()
    selector = server.server._connections._selector
    select = selector.select

    def select_late(timeout=None):
        found = list(select(timeout))
        if any(connection is not server.server for _, connection in found):
            has_selected.set()
            goes_on.wait(TIMEOUT_S)
        return found

    selector.select = select_late
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert has_selected.wait(TIMEOUT_S)
    server.close_idle_connections()
    goes_on.set()
    assert receive_response(sock).endswith(b"ok")


def test_idle_connection_is_not_closed_when_a_request_has_arrived(server):
    """A change of the idle timeout applies to connections that are open."""
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    wait_until(lambda: server.count_in_progress() == 0)
    manager = server.server._connections
    with manager.lock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        wait_until(lambda: _has_arrived(manager))
        manager.close_idle()
    assert receive_response(sock).endswith(b"ok")


def _has_arrived(manager):
    ((descriptor, _),) = manager._idle_connections()
    return select.select([descriptor], [], [], 0)[0]


def test_step_of_the_wall_clock_ends_no_idle_connection(server, monkeypatch):
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    wait_until(lambda: len(server.open_connections) == 1)
    wall_clock = time.time
    monkeypatch.setattr(time, "time", lambda: wall_clock() + 3600.0)
    time.sleep(3 * server.server.expiration_interval)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")


def test_response_closes_its_connection_once_the_server_stops(server):
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    wait_until(lambda: len(server.open_connections) == 1)
    server.begin_closing()
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    received = receive_response(sock)
    assert b"connection: close" in received.lower()
    assert sock.recv(1000) == b""
    wait_until(lambda: len(server.open_connections) == 0)


def test_request_that_crosses_the_end_of_an_idle_connection_gets_a_refusal(server):
    """The connection stays open for the caller's bytes, since a reset may overtake the refusal."""
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    wait_until(lambda: server.count_in_progress() == 0)
    drain = ServerDrain([server])
    now_s = time.monotonic()
    assert not drain.is_drained(now_s)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert not drain.is_drained(now_s + 0.9 * LINGER_S)
    received = b""
    while chunk := sock.recv(1000):
        received += chunk
    head = received.lower()
    assert head.startswith(b"http/1.1 503 ")
    assert b"greengage-outcome: not-run" in head
    assert b"connection: close" in head
    assert drain.is_drained(now_s + LINGER_S)


def test_stop_does_not_wait_for_callers_that_have_closed_their_connections(server):
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    wait_until(lambda: server.count_in_progress() == 0)
    drain = ServerDrain([server])
    now_s = time.monotonic()
    assert not drain.is_drained(now_s)
    sock.close()
    wait_until(lambda: drain.is_drained(now_s))


def test_response_says_for_how_long_its_connection_is_kept(server):
    """A caller that waited longer sent its request while the server closed the connection."""
    server.apply_limits(CallerLimits(1, 16_384, 1_048_576, 3.0, 15.0))
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"\r\nkeep-alive: timeout=14\r\n" in receive_response(sock).lower()


def test_shorter_idle_timeout_applies_to_a_connection_after_its_next_response(server):
    """A change of the limits closed connections on which callers were about to send."""
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    wait_until(lambda: server.count_in_progress() == 0)
    manager = server.server._connections
    server.apply_limits(CallerLimits(2, 16_384, 1_048_576, 3.0, 2.0))
    manager.close_expired(time.monotonic() + 2.5)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    wait_until(lambda: server.count_in_progress() == 0)
    manager.close_expired(time.monotonic() + 2.5)
    assert sock.recv(1000) == b""


def test_server_closes_the_connection_of_a_response_that_says_so(server):
    server.server.wsgi_app = respond_and_close
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"keep-alive" not in receive_response(sock).lower()
    assert sock.recv(1000) == b""


def respond_and_close(environ, start_response):
    start_response("200 OK", [("Content-Length", "2"), ("Connection", "close")])
    return [b"ok"]


def test_first_request_on_a_new_connection_of_a_stopping_server_is_read(server):
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    wait_until(lambda: len(server.open_connections) == 1)
    drain = ServerDrain([server])
    now_s = time.monotonic()
    assert not drain.is_drained(now_s)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    wait_until(lambda: drain.is_drained(now_s))


def test_port_stays_open_while_kept_connections_end(server):
    """Callers that came back in the meantime found a closed port."""
    kept = socket.create_connection(ADDRESS, TIMEOUT_S)
    kept.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(kept).endswith(b"ok")
    wait_until(lambda: server.count_in_progress() == 0)
    drain = ServerDrain([server])
    now_s = time.monotonic()
    assert not drain.is_drained(now_s)
    sock = socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    kept.close()
    wait_until(lambda: drain.is_drained(now_s))


def test_stop_does_not_block_while_a_caller_reads_a_long_response_slowly(server):
    """The event loop waited for the write timeout of each such connection."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(TIMEOUT_S)
    sock.connect(ADDRESS)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert receive_response(sock).endswith(b"ok")
    manager = server.server._connections
    wait_until(manager._idle_connections)
    ((_, connection),) = manager._idle_connections()
    sent = fill_send_buffer(connection.socket)
    drain = ServerDrain([server])
    now_s = time.monotonic()
    assert not drain.is_drained(now_s)
    assert connection.progress.stage == IDLE
    while sent > 0:
        sent -= len(sock.recv(65_536))
    wait_until(lambda: not drain.is_drained(now_s) and connection.progress.stage == LINGERING)


def test_rest_of_a_response_that_a_caller_reads_slowly_outlives_its_server(server):
    """A response that was being written when the process ended was cut off."""
    server.server.wsgi_app = respond_at_length
    sock = connect_on_a_slow_link(ADDRESS)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    wait_until(lambda: RESPONDING in stages_of(server))
    drain = ServerDrain([server])
    wait_until(lambda: drain.is_drained(time.monotonic()))
    received = b""
    while piece := sock.recv(65_536):
        received += piece
    assert received.partition(b"\r\n\r\n")[2] == LONG_BODY


def respond_at_length(environ, start_response):
    """Respond with a body that is longer than the buffers of a connection on a slow link."""
    environ["greengage.progress"].enter(RESPONDING)
    start_response("200 OK", [("Content-Length", str(len(LONG_BODY))), ("Connection", "close")])
    return [LONG_BODY]


def stages_of(server):
    """Return the stages of the open connections."""
    return [progress.stage for progress in server.open_connections.progress()]


def fill_send_buffer(sock):
    """Send until the buffers of both ends are full; return the number of bytes."""
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            sent += os.write(sock.fileno(), bytes(65_536))
    return sent


def test_port_is_closed_when_no_further_connection_can_be_accepted(server):
    manager = server.server._connections

    def fail(listener):
        raise OSError(errno.EMFILE, "too many open files")

    manager._from_server_socket = fail
    with manager.lock:
        sock = socket.create_connection(ADDRESS, TIMEOUT_S)
        server.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(ADDRESS, TIMEOUT_S)
    sock.close()


def test_descriptor_that_another_connection_has_now_is_left_alone(server):
    socks = [socket.create_connection(ADDRESS, TIMEOUT_S) for _ in range(2)]
    wait_until(lambda: len(server.open_connections) == 2)
    manager = server.server._connections
    (_, earlier), (descriptor, _) = manager._idle_connections()
    with manager.lock:
        manager._handle_ready(descriptor, earlier)
    for sock in socks:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert receive_response(sock).endswith(b"ok")
