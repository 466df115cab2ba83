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


@pytest.mark.parametrize(("silent_s", "is_suspected"), [(0.2, False), (0.6, True)])
def test_two_failures_without_a_response_shorten_the_wait_only_after_a_silence(
    silent_s, is_suspected
):
    """Endpoints of the same zone fail to accept connections in time."""
    harness = DispatcherHarness(endpoints=5)
    paths, endpoints = harness.dispatcher.paths, harness.replica.endpoints
    paths.note_reached(endpoints["till-1"])
    harness.timers.advance(harness.timers.now_s + silent_s)
    for name in ("docs-0", "docs-1"):
        assert not paths.note_timeout(endpoints[name], harness.timers.now_s - 0.15)
    assert (send(harness)[1] is None) == is_suspected


def test_only_endpoint_of_a_service_counts_as_lost_only_after_several_timeouts():
    """Its service has not responded for long, since requests to it are rare."""
    harness = DispatcherHarness(endpoints=1)
    paths, endpoints = harness.dispatcher.paths, harness.replica.endpoints
    paths.note_reached(endpoints["till-1"])
    began_s = harness.timers.now_s - 0.15
    assert [paths.note_timeout(endpoints["docs-0"], began_s) for _ in range(3)] == [
        False,
        False,
        True,
    ]
