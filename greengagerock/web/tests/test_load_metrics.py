"""Metrics of what a router knows of the load of endpoints."""

from types import SimpleNamespace

from prometheus_client import CollectorRegistry, generate_latest

from greengagerock.testing.admission_harness import FULL, AdmissionHarness
from greengagerock.transport.links import LinkStats
from greengagerock.web.metrics import SiteCollector


def test_metrics_show_waiting_calls_waits_refusals_and_age_of_loads():
    """An operator must see why callers of one kind are refused, and on what basis."""
    harness = AdmissionHarness()
    harness.state_load(FULL)
    harness.call_held(2, budget_s=5.0)
    harness.timers.advance(harness.timers.now_s + 0.04)
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
    assert "greengage_waiting_calls 2.0" in lines
    assert "greengage_known_loads 1.0" in lines
    (age,) = [line for line in lines if line.startswith("greengage_load_age_seconds ")]
    assert 0.03 < float(age.split()[1]) < 0.05
    harness.dispatcher.begin_closing()
    lines = generate_latest(registry).decode().splitlines()
    assert 'greengage_load_refusals_total{cause="stopping"} 2.0' in lines
    assert "greengage_waits_total 2.0" in lines
