"""Tests of the connect timeouts of attempts, through the dispatcher."""

import pytest

from greengagerock.testing.dispatcher_harness import DispatcherHarness


def send(harness, route="balance", key=7, budget_s=1.0):
    """Dispatch a call; return its token and the connect timeout of its attempt."""
    token = harness.call(route, key, budget_s)
    return token, harness.effects()[-1].connect_timeout_s


@pytest.mark.parametrize(("budget_s", "expected_s"), [(0.6, 0.18), (1.0, 0.3)])
def test_request_that_one_endpoint_may_run_waits_for_a_share_of_its_time(budget_s, expected_s):
    _, timeout_s = send(DispatcherHarness(), budget_s=budget_s)
    assert timeout_s == pytest.approx(expected_s)


def test_request_that_others_may_run_waits_only_on_its_last_try():
    harness = DispatcherHarness(endpoints=5)
    token, timeout_s = send(harness, "prices", None)
    assert timeout_s is None
    harness.fail(token, "connect", has_sent_bytes=False)
    assert harness.effects()[-1].connect_timeout_s == pytest.approx(0.3)


def test_request_to_a_lost_endpoint_does_not_wait_longer():
    harness = DispatcherHarness()
    token, _ = send(harness)
    harness.fail(token, "connect", has_sent_bytes=False)
    harness.effects()
    harness.timers.advance(harness.timers.now_s + 0.3)
    assert send(harness)[1] is None
