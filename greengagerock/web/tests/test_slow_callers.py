"""Callers that read a long response slowly get all of it, whatever they have for sending."""

import contextlib
import socket
import time

import pytest

from greengagerock.daemon.server_drain import ServerDrain
from greengagerock.items import CallerLimits
from greengagerock.settings.schema import LimitSettings
from greengagerock.web import bounded_output
from greengagerock.web.server import HttpServer

ADDRESS = ("127.33.0.9", 8631)
TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.01
HEADER_TIMEOUT_S = 1.0
PAUSE_S = 2 * HEADER_TIMEOUT_S
THREADS = 4
PIECE_BYTES = 64 * 1024
# More than the buffers of both ends hold.
BODY_BYTES = 256 * PIECE_BYTES
# With this interval between pieces, a quarter of the body takes longer than ``PAUSE_S``.
PIECE_INTERVAL_S = 0.03


@pytest.fixture
def server():
    """Start a server that responds with ``BODY_BYTES``."""

    def respond(environ, start_response):
        start_response("200 OK", [("Content-Length", str(BODY_BYTES))])
        for _ in range(BODY_BYTES // PIECE_BYTES):
            yield bytes(PIECE_BYTES)

    limits = LimitSettings(idle_connection_s=HEADER_TIMEOUT_S)
    http_server = HttpServer(*ADDRESS, respond, limits, THREADS, lambda event, **fields: None)
    http_server.start()
    yield http_server
    http_server.stop()


@pytest.fixture
def caller(server):
    """Return a connection with a small buffer on which a request has been sent."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(TIMEOUT_S)
        sock.connect(ADDRESS)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        yield sock


def read_rest(sock):
    """Return how many bytes arrive until the connection ends."""
    count = 0
    with contextlib.suppress(ConnectionResetError):
        while piece := sock.recv(PIECE_BYTES):
            count += len(piece)
    return count


def read_head(sock):
    """Read up to the end of the head, byte by byte."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        head += sock.recv(1)
    return head


def read_steadily(sock, piece_bytes, until_s):
    """Return how many bytes arrive up to a time, if each read is followed by a pause."""
    count = 0
    while time.monotonic() < until_s and (piece := sock.recv(piece_bytes)):
        count += len(piece)
        time.sleep(PIECE_INTERVAL_S)
    return count


def test_caller_that_pauses_longer_than_the_header_timeout_gets_the_whole_response(caller):
    """The response was cut off, though that time-out is for what callers send."""
    read_head(caller)
    time.sleep(PAUSE_S)
    assert read_rest(caller) == BODY_BYTES


def test_header_timeout_that_is_shortened_meanwhile_does_not_cut_the_response(server, caller):
    read_head(caller)
    server.apply_limits(CallerLimits(2, 16_384, 1_048_576, HEADER_TIMEOUT_S / 2, 15.0))
    time.sleep(PAUSE_S)
    assert read_rest(caller) == BODY_BYTES


def test_caller_that_reads_steadily_is_not_taken_for_one_that_reads_nothing(caller, monkeypatch):
    """The system takes further bytes only when a third of its buffer, of megabytes, is free."""
    monkeypatch.setattr(bounded_output, "WRITE_STALL_S", 2 * HEADER_TIMEOUT_S)
    monkeypatch.setattr(bounded_output, "WRITE_CHECK_S", HEADER_TIMEOUT_S / 4)
    read_head(caller)
    count = read_steadily(caller, 2048, time.monotonic() + 5 * HEADER_TIMEOUT_S)
    assert count < BODY_BYTES / 4
    assert count + read_rest(caller) == BODY_BYTES


def test_caller_that_reads_nothing_does_not_keep_its_thread(server, caller, monkeypatch):
    monkeypatch.setattr(bounded_output, "WRITE_STALL_S", HEADER_TIMEOUT_S)
    monkeypatch.setattr(bounded_output, "WRITE_CHECK_S", HEADER_TIMEOUT_S / 4)
    read_head(caller)
    assert server.count_in_progress() == 1
    end_s = time.monotonic() + TIMEOUT_S
    while server.count_in_progress():
        assert time.monotonic() < end_s
        time.sleep(CHECK_INTERVAL_S)
    assert read_rest(caller) < BODY_BYTES


def test_planned_stop_waits_for_a_response_that_is_read_slowly(server, caller):
    read_head(caller)
    drain = ServerDrain([server])
    assert not drain.is_drained(time.monotonic())
    time.sleep(PAUSE_S)
    assert not drain.is_drained(time.monotonic())
    assert read_rest(caller) == BODY_BYTES
    end_s = time.monotonic() + TIMEOUT_S
    while not drain.is_drained(time.monotonic()):
        assert time.monotonic() < end_s
        time.sleep(CHECK_INTERVAL_S)


def test_end_of_the_server_does_not_wait_for_a_caller_that_reads_nothing(server, caller):
    read_head(caller)
    server.server.shutdown_timeout = HEADER_TIMEOUT_S
    begin_s = time.monotonic()
    server.stop()
    assert time.monotonic() - begin_s < bounded_output.WRITE_STALL_S / 2
    assert len(server.open_connections) == 0
