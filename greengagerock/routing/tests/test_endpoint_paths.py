"""Tests of the choice between own connections and other routers, through the dispatcher."""

import pytest

from greengagerock.core.interface import AttemptFailed, CloseIdleConnections, Forward, RequestEnded
from greengagerock.testing.dispatcher_harness import DispatcherHarness

RELAYS = ("10.0.0.8:1", "10.0.0.9:1")


@pytest.fixture
def harness():
    """Return a dispatcher that has lost the only holder, and has relays."""
    harness = DispatcherHarness()
    harness.dispatcher.paths.on_relays(RELAYS)
    token = harness.call()
    harness.effects()
    harness.fail(token, "connect", has_sent_bytes=False)
    (forward,) = [e for e in harness.effects() if isinstance(e, Forward)]
    assert forward.relay in RELAYS
    harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    return harness


def send(harness, route="balance"):
    """Dispatch a call; return its token and its only effect."""
    token = harness.call(route)
    (effect,) = harness.effects()
    return token, effect


def test_unsafe_request_is_not_resent_after_the_connection_to_its_relay_broke(harness):
    token, forward = send(harness, "charge")
    assert forward.relay
    harness.fail(token, "relay", has_sent_bytes=True)
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("answer-lost", "unknown")
    assert harness.reports == [] or all(
        type(report).__name__ != "CrashReport" for report in harness.reports
    )


def test_unsafe_request_that_a_relay_did_not_take_goes_through_the_next_one(harness):
    token, forward = send(harness, "charge")
    harness.fail(token, "relay", has_sent_bytes=False)
    (second,) = harness.effects()
    assert {forward.relay, second.relay} == set(RELAYS)
    harness.fail(token, "relay", has_sent_bytes=False)
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("connect-failed", "not-run")
    assert response.retry_after_s is not None


def test_endpoint_that_two_relays_cannot_reach_is_refused_at_once_for_a_while(harness):
    token, _ = send(harness)
    for _ in RELAYS:
        harness.fail(token, "connect", has_sent_bytes=False)
    assert harness.effects()[-1].code == "connect-failed"
    _, response = send(harness)
    assert (response.code, response.outcome) == ("connect-failed", "not-run")


def test_requests_that_no_endpoint_got_do_not_use_the_retry_budget():
    harness = DispatcherHarness(slack=0)
    harness.dispatcher.paths.on_relays(RELAYS)
    token = harness.call()
    harness.effects()
    harness.fail(token, "connect", has_sent_bytes=False)
    assert harness.effects()[-1].relay
    harness.fail(token, "relay", has_sent_bytes=False)
    assert harness.effects()[-1].relay


def test_own_path_is_tried_again_on_a_new_connection(harness):
    harness.timers.advance(harness.timers.now_s + 0.3)
    harness.call()
    closed, forward = harness.effects()
    assert closed == CloseIdleConnections("t:1")
    assert forward.relay == ""
    _, relayed = send(harness)
    assert relayed.relay


def test_response_over_an_own_connection_ends_the_use_of_relays(harness):
    harness.timers.advance(harness.timers.now_s + 0.3)
    token = harness.call()
    harness.effects()
    harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    assert send(harness)[1].relay == ""


def test_endpoints_of_a_lost_service_are_not_tried_on_open_connections():
    harness = DispatcherHarness(endpoints=5)
    harness.dispatcher.paths.on_relays(RELAYS)
    for number in range(3):
        record = harness.replica.endpoints[f"docs-{number}"]
        harness.dispatcher.paths.note_lost(record)
    direct = []
    for _ in range(20):
        token = harness.call("prices", None)
        effects = harness.effects()
        if not effects[-1].relay:
            assert isinstance(effects[0], CloseIdleConnections)
            direct.append(effects[-1])
            harness.fail(token, "connect", has_sent_bytes=False)
            effects = harness.effects()
        assert effects[-1].relay
        harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    assert len(direct) <= 1


def test_partition_counts_as_ended_when_its_lost_endpoints_are_gone():
    harness = DispatcherHarness(endpoints=5)
    paths = harness.dispatcher.paths
    for number in range(3):
        paths.note_lost(harness.replica.endpoints[f"docs-{number}"])
    assert paths.is_lost(harness.replica.endpoints["docs-4"])
    for number in range(3):
        paths.forget(f"docs-{number}")
    assert not paths.is_lost(harness.replica.endpoints["docs-4"])


def test_silent_endpoint_is_not_taken_for_a_lost_one():
    harness = DispatcherHarness()
    harness.dispatcher.paths.on_relays(RELAYS)
    harness.call()
    harness.effects()
    harness.timers.advance(harness.timers.now_s + 0.7)
    harness.call()
    probe = harness.effects()[-1]
    assert probe.relay == ""
    _, response = send(harness)
    assert response.code == "connect-failed"


def test_relay_that_does_not_respond_is_not_used_for_further_requests(harness):
    tokens = {}
    for _ in range(4):
        token, forward = send(harness)
        tokens[token] = forward.relay
    silent = RELAYS[0]
    harness.timers.advance(harness.timers.now_s + 0.2)
    for token, relay in tokens.items():
        if relay != silent:
            harness.dispatcher.on_ended(RequestEnded(token, True, 0.2))
        else:
            harness.dispatcher.on_attempt_failed(AttemptFailed(token, "timeout", True, False))
    harness.outbox.drain()
    relays = {send(harness)[1].relay for _ in range(4)}
    assert silent not in relays


def test_connection_to_a_relay_gets_a_share_of_the_time_that_is_left(harness):
    """The endpoint behind it is lost, so the short timeout of lost endpoints applied."""
    _, forward = send(harness)
    assert forward.relay
    assert forward.connect_timeout_s == pytest.approx(0.3 * forward.timeout_s)


def test_relays_stay_in_use_when_connections_to_all_of_them_open_late(harness):
    first, _ = send(harness)
    for _ in RELAYS:
        harness.fail(first, "relay-late", has_sent_bytes=False)
    assert harness.effects()[-1].code == "connect-failed"
    _, forward = send(harness)
    assert forward.relay in RELAYS


def test_relay_that_refuses_connections_is_avoided_also_if_there_is_no_other(harness):
    first, _ = send(harness)
    for _ in RELAYS:
        harness.fail(first, "relay", has_sent_bytes=False)
    harness.effects()
    _, response = send(harness)
    assert (response.code, response.outcome) == ("connect-failed", "not-run")
