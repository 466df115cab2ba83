"""Idle connections to relays are open before a request needs them."""

import time

import pytest

from greengagerock.core.interface import AttemptFailed, Forward
from greengagerock.settings.schema import LimitSettings
from greengagerock.testing.raw_endpoint import RawEndpoint
from greengagerock.web.connection_keeper import ConnectionKeeper
from greengagerock.web.upstream import Attempt, Upstream

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nGreengage-Relay-Result: endpoint\r\n\r\nok"
WAIT_S = 5.0


@pytest.fixture
def relay():
    """Return a stand-in of another router, which accepts connections and responds."""
    with RawEndpoint("127.47.0.1", RESPONSE) as endpoint:
        yield endpoint


def wait_until(condition):
    """Wait until a condition holds."""
    end_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.005)


def idle_connections(pool):
    """Return the idle connections of a pool."""
    return [conn for conn in pool.pool.queue if conn is not None]


def test_request_to_a_relay_uses_a_connection_that_was_opened_before(relay):
    upstream = Upstream(LimitSettings())
    ConnectionKeeper(upstream, lambda event, **fields: None).keep(relay.address, 2)
    pool = upstream.pool(relay.address)
    wait_until(lambda: len(idle_connections(pool)) == 2)
    forward, attempt = Forward(1, "e", "", {}, 2.0, relay=relay.address), Attempt()
    response = upstream.send(forward, "GET", "/", {}, None, attempt, lambda response: None)
    assert not isinstance(response, AttemptFailed)
    assert response.read() == b"ok"
    assert (attempt.is_new, attempt.connect_s, relay.accepted_count) == (False, None, 2)


def test_lost_and_old_idle_connections_are_replaced(relay):
    pool = Upstream(LimitSettings()).pool(relay.address)
    pool.keep_idle(3, 60.0, 1.0)
    lost, old, kept = idle_connections(pool)
    old.idle_since_s -= 61.0
    wait_until(lambda: relay.accepted_count == 3)
    relay.close_connection(0)
    wait_until(lambda: not lost.is_connected)
    pool.keep_idle(3, 60.0, 1.0)
    assert len(idle_connections(pool)) == 3
    assert kept in idle_connections(pool)
    wait_until(lambda: relay.accepted_count == 5)


def test_idle_connections_that_suffice_are_left_as_they_are(relay):
    pool = Upstream(LimitSettings()).pool(relay.address)
    pool.keep_idle(2, 60.0, 1.0)
    before = idle_connections(pool)
    pool.keep_idle(1, 60.0, 1.0)
    assert idle_connections(pool) == before


def test_relay_that_refuses_connections_is_logged_and_leaves_room_for_requests():
    lines = []
    upstream = Upstream(LimitSettings())
    pool = upstream.pool("127.47.0.9:8699")
    places = pool.pool.qsize()
    keeper = ConnectionKeeper(upstream, lambda event, **fields: lines.append((event, fields)))
    keeper.keep("127.47.0.9:8699", 2)
    wait_until(lambda: lines)
    assert lines[0][0] == "relay-not-connected"
    assert (pool.pool.qsize(), idle_connections(pool)) == (places, [])


def test_connections_are_not_kept_to_a_closed_pool(relay):
    pool = Upstream(LimitSettings()).pool(relay.address)
    pool.close()
    pool.keep_idle(2, 60.0, 1.0)
    assert pool.pool is None
