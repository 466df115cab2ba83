"""Tests of endpoints that reset connections when they are full, through the dispatcher."""

import pytest

from greengagerock.core.interface import Forward
from greengagerock.routing.crash_suspects import CrashCounter, CrashReport
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.testing.item_builders import build_route
from greengagerock.view import ItemsDelta


def add_route(harness, route):
    """Add a route to the configuration items."""
    harness.replica.apply_items(ItemsDelta(1, 2, False, (route,), (), None))
    harness.dispatcher.on_items()


def reset(harness, token):
    """Reset the connection of a call's attempt; return the effects."""
    harness.fail(token, "reset")
    return harness.effects()


def test_safe_call_goes_to_another_endpoint_and_fewer_follow_to_the_full_one():
    harness = DispatcherHarness()
    token = harness.call("prices", None)
    first = harness.effects()[0].endpoint
    limit = harness.dispatcher.observations.observation_of(first).limit
    (second,) = reset(harness, token)
    assert second.endpoint != first
    assert harness.dispatcher.observations.observation_of(first).limit < limit
    assert not harness.dispatcher.paths.is_lost(harness.replica.endpoints[first])


def test_safe_call_comes_back_later_to_the_only_endpoint_that_may_run_it():
    harness = DispatcherHarness()
    token = harness.call()
    harness.effects()
    assert reset(harness, token) == []
    harness.timers.advance(harness.timers.now_s + 0.11)
    (effect,) = harness.effects()
    assert isinstance(effect, Forward)


def test_unsafe_call_ends_unknown_and_the_next_ones_avoid_the_endpoint():
    harness = DispatcherHarness()
    add_route(harness, build_route("order", kind="unsafe", weighted_services=(("docs", 1),)))
    token = harness.call("order", None)
    full = harness.effects()[0].endpoint
    (response,) = reset(harness, token)
    assert (response.code, response.outcome) == ("answer-lost", "unknown")
    harness.timers.advance(harness.timers.now_s + 0.3)
    endpoints = set()
    for _ in range(3):
        harness.call("order", None)
        endpoints.add(harness.effects()[0].endpoint)
    assert full not in endpoints


def test_unsafe_call_uses_an_endpoint_that_reset_connections_if_it_is_the_only_one():
    harness = DispatcherHarness(endpoints=1)
    add_route(harness, build_route("order", kind="unsafe", weighted_services=(("docs", 1),)))
    reset(harness, harness.call("order", None))
    harness.timers.advance(harness.timers.now_s + 0.3)
    harness.call("order", None)
    assert harness.effects()[0].endpoint == "docs-0"


def make_report(endpoint, is_reset):
    """Return a report that a request lost its connection at an endpoint."""
    return CrashReport("f", "s", "r", endpoint, "1", False, is_reset)


def test_resets_of_endpoints_that_go_on_reporting_do_not_suspend_a_request():
    counter = CrashCounter()
    for number, endpoint in enumerate(["a", "b"]):
        assert not counter.add_report(make_report(endpoint, True), float(number))
        assert counter.note_alive(endpoint, "1", number + 0.1) == []
        assert counter.note_alive(endpoint, "1", number + 0.9) == []
    assert not counter.add_report(make_report("c", True), 3.0)


def test_suspension_ends_when_a_full_endpoint_reports_again():
    counter = CrashCounter()
    reports = [counter.add_report(make_report(e, True), 0.0) for e in "abc"]
    assert reports == [False, False, True]
    assert counter.note_alive("b", "1", 0.9) == ["f"]


@pytest.mark.parametrize("is_reset", [False, True])
def test_request_that_crashes_endpoints_is_suspended_although_they_start_again(is_reset):
    """A restarted endpoint is another incarnation; a closed connection is never withdrawn."""
    counter = CrashCounter()
    for endpoint in "ab":
        counter.add_report(make_report(endpoint, is_reset), 0.0)
        counter.note_alive(endpoint, "2" if is_reset else "1", 2.0)
    assert counter.add_report(make_report("c", is_reset), 3.0)


def test_late_holder_that_has_lost_the_key_meanwhile_gets_no_second_attempt():
    harness = DispatcherHarness()
    harness.dispatcher.paths.note_reached(harness.replica.endpoints["till-1"])
    token = harness.call()
    harness.effects()
    harness.remove_holder()
    harness.fail(token, "connect-timeout", has_sent_bytes=False)
    assert harness.effects() == []
    assert harness.watched_tokens == [token]
