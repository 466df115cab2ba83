"""An operator can see which of a router's ways to endpoints fails, and why."""

from types import SimpleNamespace

from prometheus_client import CollectorRegistry, generate_latest

from greengagerock.core.interface import AttemptFailed, Forward, LogEvent, RequestEnded
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.transport.links import LinkStats
from greengagerock.web.metrics import SiteCollector

LINK_BYTES_PER_S = 250_000


def path_lines(harness):
    """Return the ``paths`` lines since the last call."""
    effects = harness.outbox.drain()
    return [e.fields for e in effects if isinstance(e, LogEvent) and e.event == "paths"]


def end(harness, token, connect_s=None, body_bytes=0):
    """End the current attempt of a call with a complete response."""
    harness.dispatcher.on_ended(RequestEnded(token, True, 0.01, body_bytes, connect_s))


def test_first_tries_are_logged_by_way_and_end_with_connect_times_and_use_of_the_link():
    harness = DispatcherHarness(link_bytes_per_s=LINK_BYTES_PER_S)
    harness.dispatcher.paths.on_relays(("r:1", "r:2"))
    end(harness, harness.call(), connect_s=0.02, body_bytes=50_000)
    token = harness.call()
    harness.advance(0.15)
    harness.dispatcher.on_attempt_failed(
        AttemptFailed(token, "connect-timeout", False, False, 0.15)
    )
    harness.advance(1.0)
    (line,) = path_lines(harness)
    assert line["direct"] == "connect-timeout:1,responded:1"
    assert line["relayed"] == ""
    assert line["direct_connects"] == "2/85/150"
    assert line["link_percent"] == 20
    assert (line["usable_relays"], line["relays"]) == (2, 2)


def test_relayed_requests_are_logged_although_none_fails():
    harness = DispatcherHarness()
    harness.dispatcher.paths.on_relays(("r:1",))
    record = harness.replica.endpoints["till-1"]
    harness.dispatcher.paths.note_lost(record)
    harness.advance(0.1)
    token = harness.call()
    (forward,) = [e for e in harness.outbox.drain() if isinstance(e, Forward)]
    assert forward.relay == "r:1"
    end(harness, token)
    harness.advance(1.0)
    (line,) = path_lines(harness)
    assert line["relayed"] == "responded:1"


def test_seconds_without_failures_are_not_logged():
    harness = DispatcherHarness()
    end(harness, harness.call())
    harness.advance(2.0)
    assert path_lines(harness) == []


def test_avoided_relay_is_logged_with_its_cause_and_the_number_of_usable_ones():
    harness = DispatcherHarness()
    relays = harness.dispatcher.paths.relays
    harness.dispatcher.paths.on_relays(("r:1", "r:2"))
    relays.note_failure("r:1", "no-response")
    (line,) = [
        e.fields
        for e in harness.outbox.drain()
        if isinstance(e, LogEvent) and e.event == "relay-avoided"
    ]
    assert line == {"relay": "r:1", "cause": "no-response", "for_ms": 500, "usable_relays": 1}


def test_metrics_show_first_tries_connect_times_and_usable_relays():
    harness = DispatcherHarness()
    harness.dispatcher.paths.on_relays(("r:1", "r:2"))
    end(harness, harness.call(), connect_s=0.2, body_bytes=700)
    node = SimpleNamespace(
        dispatcher=harness.dispatcher,
        stats=harness.dispatcher.stats,
        timers=harness.timers,
        cold_endpoints=SimpleNamespace(count_by_service=dict),
    )
    registry = CollectorRegistry()
    registry.register(
        SiteCollector(
            node, SimpleNamespace(stats=LinkStats()), SimpleNamespace(internal_error_count=0)
        )
    )
    lines = generate_latest(registry).decode().splitlines()
    assert 'greengage_first_tries_total{end="responded",way="direct"} 1.0' in lines
    assert 'greengage_connect_seconds_bucket{le="0.15",way="direct"} 0.0' in lines
    assert 'greengage_connect_seconds_bucket{le="0.3",way="direct"} 1.0' in lines
    assert "greengage_usable_relays 2.0" in lines
    assert "greengage_body_bytes_total 700.0" in lines
