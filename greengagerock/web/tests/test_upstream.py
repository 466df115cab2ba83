"""Attempts on connections to endpoints that fail before the request is sent."""

import socket
import struct
import threading

import pytest

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


@pytest.mark.parametrize(
    ("link_delay_s", "left_s", "timeout_s"),
    [(0.0, 4.0, 0.15), (0.8, 4.0, 0.95), (0.8, 2.0, 0.5), (0.8, 0.4, 0.15), (0.8, 0.1, 0.1)],
)
def test_connect_timeout_allows_for_a_slow_link_but_not_for_all_of_the_time(
    monkeypatch, link_delay_s, left_s, timeout_s
):
    """A packet that waits behind long responses on this host's link is not a lost one."""
    upstream = Upstream(LimitSettings(connect_timeout_s=0.15), link_delay_s)
    timeouts = []

    class Pool:
        def urlopen(self, *arguments, timeout, **options):
            timeouts.append(timeout)
            raise OSError("no route")

    monkeypatch.setattr(upstream, "pool", lambda address: Pool())
    forward = Forward(1, "e", "127.37.0.1:1", {}, left_s)
    upstream.send(forward, "GET", "/", {}, None, Attempt(), lambda response: None)
    assert timeouts[0].connect_timeout == pytest.approx(timeout_s)
