"""Requests that certainly did not reach an endpoint get 503, not-run, with a time to come back."""

import pytest

from greengagerock.core import ERROR_KINDS
from greengagerock.core.interface import CallerDisconnected
from greengagerock.testing.dispatcher_harness import DispatcherHarness

RELAYS = ("10.0.0.8:1", "10.0.0.9:1")


@pytest.fixture
def harness():
    """Return a dispatcher with relays."""
    harness = DispatcherHarness()
    harness.dispatcher.paths.on_relays(RELAYS)
    return harness


def check_not_run(harness):
    """Check the only response."""
    response = harness.effects()[-1]
    assert (ERROR_KINDS[response.code].http_status, response.outcome) == (503, "not-run")
    assert response.retry_after_s > 0


def test_caller_that_leaves_while_its_call_waits(harness):
    harness.remove_holder()
    token = harness.call("charge")
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    check_not_run(harness)


@pytest.mark.parametrize(
    ("reason", "has_sent_bytes"),
    [("connect", False), ("connect-timeout", False), ("refused", True)],
)
def test_caller_that_leaves_before_its_request_was_run(harness, reason, has_sent_bytes):
    token = harness.call()
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    harness.fail(token, reason, has_sent_bytes)
    check_not_run(harness)


@pytest.mark.parametrize("reason", ["connect", "connect-timeout"])
def test_deadline_that_passes_while_connecting(harness, reason):
    token = harness.call(budget_s=0.3)
    harness.timers.advance(harness.timers.now_s + 0.3)
    harness.fail(token, reason, has_sent_bytes=False)
    check_not_run(harness)


@pytest.mark.parametrize("reason", ["connect", "connect-timeout", "relay"])
def test_deadline_that_passes_while_other_routers_connect(harness, reason):
    token = harness.call(budget_s=0.3)
    harness.fail(token, "connect", has_sent_bytes=False)
    assert harness.effects()[-1].relay
    harness.timers.advance(harness.timers.now_s + 0.3)
    harness.fail(token, reason, has_sent_bytes=False)
    check_not_run(harness)


def test_endpoint_that_accepts_no_connection_in_time(harness):
    record = harness.replica.endpoints["till-1"]
    harness.dispatcher.paths.note_reached(record)
    token = harness.call("charge")
    for _ in range(2):
        harness.effects()
        harness.timers.advance(harness.timers.now_s + 0.2)
        harness.fail(token, "connect-timeout", has_sent_bytes=False)
    check_not_run(harness)


def test_caller_that_leaves_after_its_request_was_sent_gets_an_unknown_outcome(harness):
    token = harness.call()
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    harness.fail(token, "lost")
    response = harness.effects()[-1]
    assert (response.code, response.outcome) == ("caller-gone-unsure", "unknown")
