"""A relay says why it could not forward a request, and is not blamed for load."""

import pytest

from greengagerock.core.interface import (
    AttemptFailed,
    CancelAttempt,
    Forward,
    RelayArrived,
    RequestEnded,
)
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


LINK_BYTES_PER_S = 250_000


@pytest.fixture
def slow_harness():
    """Return a dispatcher whose link is slow and whose route ``prices`` has long responses."""
    harness = DispatcherHarness(link_bytes_per_s=LINK_BYTES_PER_S)
    harness.dispatcher.sender.link_schedule.note_size("prices", LINK_BYTES_PER_S)
    return harness


def arrive_long(harness, relayed_calls, token):
    """Let another router's request for a long response arrive; return the last effect."""
    relayed_calls.on_arrival(RelayArrived(token, "r1", "docs-1", 2.0, False, True))
    return harness.effects()[-1]


def test_long_response_for_another_router_waits_for_no_own_one(slow_harness):
    """Relayed responses filled the links on which relays serve their own callers."""
    relayed_calls = slow_harness.build_relayed_calls()
    token = slow_harness.call("prices")
    slow_harness.effects()
    response = arrive_long(slow_harness, relayed_calls, 900)
    assert (response.code, response.outcome) == ("link-busy", "not-run")
    assert isinstance(arrive(slow_harness, relayed_calls, "docs-1"), Forward)
    slow_harness.dispatcher.on_ended(RequestEnded(token, True, 0.05, LINK_BYTES_PER_S))
    assert isinstance(arrive_long(slow_harness, relayed_calls, 902), Forward)


@pytest.mark.parametrize("event", [RequestEnded(901, True, 0.1), None])
def test_turn_of_a_relayed_response_goes_to_waiting_calls_when_it_ends(slow_harness, event):
    relayed_calls = slow_harness.build_relayed_calls()
    slow_harness.dispatcher.sender.link_schedule.mean_duration_s = 0.05
    assert isinstance(arrive_long(slow_harness, relayed_calls, 901), Forward)
    for _ in range(2):
        slow_harness.call("prices", budget_s=9.0)
    waiting = slow_harness.call("prices", budget_s=9.0)
    slow_harness.effects()
    if event is None:
        relayed_calls.on_attempt_failed(AttemptFailed(901, "lost", True, False))
    else:
        relayed_calls.on_ended(event)
    sent = [e.token for e in slow_harness.effects() if isinstance(e, Forward)]
    assert sent == [waiting]


def test_request_for_a_long_response_says_so_and_tries_another_relay(slow_harness):
    slow_harness.dispatcher.paths.on_relays(RELAYS)
    for name in slow_harness.replica.by_service["docs"]:
        lose(slow_harness, name)
    token, first = send(slow_harness, "prices")
    assert (first.is_long, bool(first.relay)) == (True, True)
    slow_harness.fail(token, "link-busy", has_sent_bytes=False)
    second = slow_harness.effects()[-1]
    assert {first.relay, second.relay} == set(RELAYS)
    assert slow_harness.dispatcher.paths.relays.usable_count() == len(RELAYS)


def test_fast_links_forward_any_number_of_long_responses(harness, relayed_calls):
    for token in range(900, 905):
        assert isinstance(arrive_long(harness, relayed_calls, token), Forward)


def test_response_without_end_is_cancelled_although_the_other_router_stays(harness, relayed_calls):
    """The relay left that to the other router, which may be frozen or cut off."""
    arrive(harness, relayed_calls)
    harness.advance(7.9)
    assert not [e for e in harness.outbox.drain() if isinstance(e, CancelAttempt)]
    harness.advance(0.5)
    assert CancelAttempt(900) in harness.outbox.drain()
    relayed_calls.on_attempt_failed(AttemptFailed(900, "lost", True, False))
    harness.advance(5.0)
    assert not [e for e in harness.outbox.drain() if isinstance(e, CancelAttempt)]
