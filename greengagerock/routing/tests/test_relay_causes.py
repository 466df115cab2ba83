"""A relay says why it could not forward a request, and is not blamed for load."""

import pytest

from greengagerock.core.interface import AttemptFailed, Forward, RelayArrived, RequestEnded
from greengagerock.routing.partition_detector import LOSS_SPAN_S
from greengagerock.testing.dispatcher_harness import DispatcherHarness

RELAYS = ("10.0.0.8:1", "10.0.0.9:1")


@pytest.fixture
def harness():
    """Return a dispatcher that has just got a response, and has relays."""
    harness = DispatcherHarness()
    harness.dispatcher.paths.on_relays(RELAYS)
    harness.dispatcher.on_ended(RequestEnded(harness.call(), True, 0.05))
    harness.effects()
    return harness


@pytest.fixture
def relayed_calls(harness):
    """Return the requests that the same router forwards for others."""
    return harness.build_relayed_calls()


def lose(harness, name):
    """Let connecting to an endpoint fail."""
    harness.dispatcher.paths.note_lost(harness.replica.endpoints[name])


def lose_service(harness, service):
    """Let all endpoints of a service fail after they were silent for long."""
    harness.advance(LOSS_SPAN_S + 0.1)
    for _ in range(3):
        for name in harness.replica.by_service[service]:
            lose(harness, name)


def send(harness, route="balance"):
    """Dispatch a call; return its token and the last effect."""
    token = harness.call(route)
    return token, harness.effects()[-1]


def arrive(harness, relayed_calls, endpoint="till-1"):
    """Let another router's request arrive; return the last effect."""
    relayed_calls.on_arrival(RelayArrived(900, "r1", endpoint, 2.0, False))
    return harness.effects()[-1]


def test_relay_gives_the_only_endpoint_of_a_request_time_to_accept_a_connection(
    harness, relayed_calls
):
    assert arrive(harness, relayed_calls).connect_timeout_s == pytest.approx(0.6)


def test_relay_probes_an_endpoint_that_it_has_lost_with_the_short_timeout(harness, relayed_calls):
    lose(harness, "till-1")
    harness.advance(1.0)
    forward = arrive(harness, relayed_calls)
    assert (type(forward), forward.connect_timeout_s) == (Forward, None)


def test_late_connection_of_a_relay_is_reported_as_such(harness, relayed_calls):
    arrive(harness, relayed_calls)
    relayed_calls.on_attempt_failed(AttemptFailed(900, "connect-timeout", False, False, 0.6))
    response = harness.effects()[-1]
    assert (response.code, response.outcome) == ("connection-late", "not-run")


def test_relay_that_has_lost_the_service_says_so(harness, relayed_calls):
    lose_service(harness, "docs")
    responses = [arrive(harness, relayed_calls, "docs-1") for _ in range(2)]
    assert (responses[-1].code, responses[-1].outcome) == ("path-lost", "not-run")


def test_late_connections_of_relays_do_not_make_an_endpoint_count_as_lost(harness):
    lose(harness, "till-1")
    token, forward = send(harness)
    for _ in RELAYS:
        harness.fail(token, "connect-timeout", has_sent_bytes=False)
    assert harness.effects()[-1].code == "connect-failed"
    _, forward = send(harness)
    assert forward.relay in RELAYS


def test_relay_without_paths_to_one_service_is_used_for_others_only(harness):
    lose(harness, "till-1")
    token, first = send(harness)
    harness.fail(token, "path-lost", has_sent_bytes=False)
    second = harness.effects()[-1]
    assert {first.relay, second.relay} == set(RELAYS)
    harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    for _ in range(3):
        token, forward = send(harness)
        assert forward.relay == second.relay
        harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    pool = harness.dispatcher.paths.relays
    assert pool.pick("docs", [second.relay]) == first.relay
    harness.advance(1.0)
    assert pool.pick("till", [second.relay]) == first.relay


@pytest.mark.parametrize("has_responded", [True, False])
def test_relay_is_avoided_for_a_missing_response_only_if_it_sent_no_other(harness, has_responded):
    pool = harness.dispatcher.paths.relays
    sent_s = harness.timers.now_s
    pool.note_sent(RELAYS[0])
    pool.note_sent(RELAYS[0])
    harness.advance(0.3)
    if has_responded:
        pool.note_reached(RELAYS[0], "till", 0.3)
        pool.note_ended(RELAYS[0])
    pool.note_no_response(RELAYS[0], sent_s)
    pool.note_ended(RELAYS[0])
    pool.note_ended(RELAYS[0])
    assert pool.usable_count() == (2 if has_responded else 1)
