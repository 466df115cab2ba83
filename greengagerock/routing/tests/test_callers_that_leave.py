"""Callers that disconnect while an endpoint has their request."""

import pytest

from greengagerock.core.interface import CallerDisconnected, CancelAttempt, Forward
from greengagerock.testing.dispatcher_harness import DispatcherHarness


@pytest.mark.parametrize(
    "reason", ["refused", "not-owner", "connect", "lost", "reset", "timeout", "relay"]
)
@pytest.mark.parametrize("route", ["balance", "charge", "prices"])
def test_request_of_a_caller_that_has_left_is_not_sent_again(route, reason):
    harness = DispatcherHarness()
    token = harness.call(route)
    harness.effects()
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    harness.fail(token, reason, has_sent_bytes=reason != "connect")
    for _ in range(20):
        harness.timers.advance(harness.timers.now_s + 0.05)
    assert not any(isinstance(effect, Forward) for effect in harness.effects())
    assert harness.dispatcher.calls == {}


def test_unsafe_request_of_a_caller_that_has_left_is_not_cancelled():
    harness = DispatcherHarness()
    token = harness.call("charge")
    harness.effects()
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    assert CancelAttempt(token) not in harness.effects()


@pytest.mark.parametrize("reason", ["lost", "timeout"])
def test_failure_counts_against_the_endpoint_although_the_caller_has_left(reason, monkeypatch):
    """An endpoint that hung longer than its callers waited was not avoided."""
    harness = DispatcherHarness()
    failures = []
    health = type(harness.dispatcher.health)
    monkeypatch.setattr(health, "note_failure", lambda self, name, now_s: failures.append(name))
    token = harness.call("charge")
    harness.effects()
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    harness.fail(token, reason)
    assert failures
    assert harness.dispatcher.calls == {}
