"""Exceptions at a planned stop leave a process that ends."""

import pytest

from greengagerock.core.interface import CallArrived, StopProcess, StopRequested, TimeAdvanced
from greengagerock.node.router_node import RouterNode
from greengagerock.node.router_stop import RouterStop
from greengagerock.node.site_config import SiteConfig
from greengagerock.routing.call_sender import CallSender
from greengagerock.testing.dispatcher_harness import DispatcherHarness

CALL = CallArrived(1, "r1", "GET", "shop.example", "/balance/x", "/balance/x", 9.0, 7)


@pytest.fixture
def node():
    """Return a router with the dispatcher of a harness."""
    harness = DispatcherHarness()
    built = RouterNode(SiteConfig("edge-1", "z", "10.0.0.1:1", ()), 10.0, lambda: 0)
    built.dispatcher, built.outbox, built.timers = (
        harness.dispatcher,
        harness.outbox,
        harness.timers,
    )
    return built


def fail(*arguments, **options):
    """Raise an exception that nobody expects."""
    raise RuntimeError("unexpected")


def handle(node, event, now_s):
    """Handle an event as the event loop does; return the effects."""
    try:
        return node.handle(event, now_s)
    except RuntimeError:
        node.abandon(event)
        return []


def run_until_stopped(node):
    """Return when the process begins to end, in seconds since the signal, or ``None``."""
    for step in range(100):
        effects = handle(node, TimeAdvanced(), 10.0 + step / 10)
        if any(isinstance(effect, StopProcess) for effect in effects):
            return step / 10
    return None


def test_stop_with_a_failed_timer_is_not_forgotten(node):
    """The timer fails in the event of the stop, before the node looks at it."""
    node.timers.subscribe(0.0, fail)
    handle(node, StopRequested(10.0), 10.0)
    assert node.stop.has_begun
    assert run_until_stopped(node) == pytest.approx(3.0)


@pytest.mark.parametrize(
    ("owner", "method"),
    [(CallSender, "begin_closing"), (RouterStop, "_log_calls"), (RouterStop, "_end_calls")],
)
def test_process_ends_although_a_step_of_its_stop_fails(node, owner, method, monkeypatch):
    handle(node, CALL, 10.0)
    monkeypatch.setattr(owner, method, fail)
    handle(node, StopRequested(10.0), 10.0)
    assert run_until_stopped(node) == pytest.approx(5.4, abs=0.11)
