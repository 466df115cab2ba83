"""Each stage of a connection ends by the limit that is stated for it, with the stated result."""

import contextlib
import socket
import threading
import time

import pytest

from greengagerock.core.interface import RespondWithError
from greengagerock.items import CallerLimits
from greengagerock.testing import stub_router
from greengagerock.testing.raw_callers import is_whole
from greengagerock.web import bounded_output, caller_application
from greengagerock.web.connection_limits import (
    ERROR,
    LINGER_S,
    NOTHING,
    STAGE_LIMITS,
    WHOLE,
)
from greengagerock.web.connection_progress import (
    DECIDING,
    DISCARDING,
    FORWARDED,
    IDLE,
    LINGERING,
    QUEUED,
    READING,
    READING_BODY,
    RESPONDING,
)

ADDRESS = ("127.33.0.11", 8633)
ENDPOINT = ("127.33.0.12", 8634)
TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.01
SHORT_S = 1.0
GET = b"GET /prices/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
POST = b"POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\nabc"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LONG_BYTES = 16 * 1024 * 1024
LONG_BODY = 1_000_000


@pytest.fixture
def router(monkeypatch):
    """Start a router whose limits are short, apart from those of callers."""
    monkeypatch.setattr(stub_router, "TIMEOUT_S", SHORT_S)
    monkeypatch.setattr(caller_application, "LOOP_TIMEOUT_S", SHORT_S)
    monkeypatch.setattr(caller_application, "DISCARD_S", SHORT_S)
    monkeypatch.setattr(bounded_output, "WRITE_STALL_S", SHORT_S)
    monkeypatch.setattr(bounded_output, "WRITE_CHECK_S", SHORT_S / 4)
    with stub_router.StubRouter(*ADDRESS) as started:
        started.reach("{}:{}".format(*ENDPOINT))
        limit_callers(started)
        yield started


def limit_callers(router, header_timeout_s=TIMEOUT_S, idle_timeout_s=TIMEOUT_S):
    """Apply limits of what callers send."""
    limits = CallerLimits(1, 16_384, LONG_BYTES, header_timeout_s, idle_timeout_s)
    router.server.apply_limits(limits)


@contextlib.contextmanager
def serve(response):
    """Start an endpoint that sends some bytes on each connection and keeps it open."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(ENDPOINT))

        def serve_one(connection):
            # The router may close the connection before it has read all.
            with contextlib.suppress(OSError):
                connection.recv(65_536)
                connection.sendall(response)

        def accept():
            with contextlib.suppress(OSError):
                while True:
                    connection = stack.enter_context(listener.accept()[0])
                    threading.Thread(target=serve_one, args=(connection,), daemon=True).start()

        threading.Thread(target=accept, daemon=True).start()
        yield
        listener.shutdown(socket.SHUT_RDWR)


def wait_for_stage(router, stage):
    """Wait until a connection is in a stage."""
    end_s = time.monotonic() + TIMEOUT_S
    while stage not in [p.stage for p in router.server.open_connections.progress()]:
        assert time.monotonic() < end_s
        time.sleep(CHECK_INTERVAL_S)


def call(data, receive_bytes=None):
    """Return a connection on which some bytes have been sent."""
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(TIMEOUT_S)
    sock.connect(ADDRESS)
    sock.sendall(data)
    return sock


def receive_all(sock):
    """Return all bytes up to the end of the connection."""
    received = b""
    with sock, contextlib.suppress(ConnectionResetError):
        while piece := sock.recv(65_536):
            received += piece
    return received


def end_idle(router):
    limit_callers(router, idle_timeout_s=SHORT_S)
    sock = call(b"")
    wait_for_stage(router, IDLE)
    return receive_all(sock)


def end_queued(router):
    with serve(RESPONSE):
        others = [call(GET[:20]) for _ in range(stub_router.THREADS)]
        sock = call(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        wait_for_stage(router, QUEUED)
        for other in others:
            other.close()
        return receive_all(sock)


def end_reading(router):
    limit_callers(router, header_timeout_s=SHORT_S)
    sock = call(GET[:20])
    wait_for_stage(router, READING)
    return receive_all(sock)


def end_reading_body(router):
    limit_callers(router, header_timeout_s=SHORT_S)
    sock = call(POST % 100)
    wait_for_stage(router, READING_BODY)
    return receive_all(sock)


def end_deciding(router):
    router.bridge.post = lambda event: None
    sock = call(GET)
    wait_for_stage(router, DECIDING)
    return receive_all(sock)


def end_forwarded(router):
    with serve(b""):
        sock = call(GET)
        wait_for_stage(router, FORWARDED)
        return receive_all(sock)


def end_responding(router):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES
    with serve(head + bytes(LONG_BYTES)):
        sock = call(GET, 4096)
        wait_for_stage(router, RESPONDING)
        end_s = time.monotonic() + TIMEOUT_S
        while len(router.server.open_connections):
            assert time.monotonic() < end_s
            time.sleep(CHECK_INTERVAL_S)
        return receive_all(sock)


def end_discarding(router):
    def refuse(event):
        router.bridge.deliver(event.token, RespondWithError(event.token, "no-room", "not-run"))

    router.bridge.post = refuse
    sock = call(POST % LONG_BODY)
    wait_for_stage(router, DISCARDING)
    return receive_all(sock)


def end_lingering(router):
    sock = call(b"")
    wait_for_stage(router, IDLE)
    # By then its first request would have arrived.
    now_s = time.monotonic() + LINGER_S
    router.server.dismiss_idle_connections(now_s)
    wait_for_stage(router, LINGERING)
    assert not router.server.dismiss_idle_connections(now_s + 0.9 * LINGER_S)
    assert router.server.dismiss_idle_connections(now_s + LINGER_S)
    return receive_all(sock)


ENDS = {
    IDLE: end_idle,
    QUEUED: end_queued,
    READING: end_reading,
    READING_BODY: end_reading_body,
    DECIDING: end_deciding,
    FORWARDED: end_forwarded,
    RESPONDING: end_responding,
    DISCARDING: end_discarding,
    LINGERING: end_lingering,
}


@pytest.mark.parametrize("stage", list(STAGE_LIMITS))
def test_stage_ends_as_stated(router, stage):
    limit = STAGE_LIMITS[stage]
    received = ENDS[stage](router)
    assert bool(received) == (limit.result != NOTHING)
    assert is_whole(received) == (limit.result in (WHOLE, ERROR))
    if limit.result == ERROR:
        assert int(received.split()[1]) == limit.status
