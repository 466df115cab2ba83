"""Tests of what the dispatcher does after an endpoint says that it leaves or wants a pause."""

import pytest

from greengagerock.core.interface import EndpointNoticed, Forward, LogEvent, RespondWithError
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.view import EndpointRecord, EndpointsDelta, LeavingObserved, OwnedUnitRanges

PAUSE_S = 2.0


def notice(harness, token, **fields):
    """Pass a notice of the endpoint that runs a call to the dispatcher."""
    harness.dispatcher.on_notice(EndpointNoticed(token, **fields))


def forwarded_to(harness):
    """Return the endpoints that calls were sent to since the last effects were read."""
    return [e.endpoint for e in harness.effects() if isinstance(e, Forward)]


def replace_endpoint(harness, name, started_ms, leaving=False, revision=2):
    """Let the leader announce another instance of an endpoint without keys."""
    record = EndpointRecord(name, "d:9", "docs", "z", 3, leaving, started_ms)
    names, units = harness.replica.apply_endpoints(
        EndpointsDelta(1, revision - 1, revision, False, (record,))
    )
    harness.dispatcher.on_endpoints(names, units)


def test_endpoint_that_says_it_leaves_gets_no_new_call_from_that_moment_on():
    harness = DispatcherHarness(endpoints=2)
    token = harness.call("prices", None)
    (leaving,) = forwarded_to(harness)
    notice(harness, token, is_leaving=True)
    for _ in range(20):
        harness.call("prices", None)
    assert leaving not in forwarded_to(harness)
    assert harness.reports == [LeavingObserved(leaving, 0)]


def test_call_in_progress_is_resent_to_another_endpoint_than_the_leaving_one():
    harness = DispatcherHarness(endpoints=2)
    tokens = [harness.call("prices", None) for _ in range(8)]
    sent = dict(zip(tokens, forwarded_to(harness), strict=True))
    leaving = sent[tokens[0]]
    notice(harness, tokens[0], is_leaving=True)
    elsewhere = next(token for token, endpoint in sent.items() if endpoint != leaving)
    harness.fail(elsewhere, "refused")
    assert forwarded_to(harness) == []


def test_last_endpoint_that_leaves_gets_no_call_as_a_probe_either():
    harness = DispatcherHarness(endpoints=1)
    notice(harness, harness.call("prices", None), is_leaving=True)
    harness.effects()
    harness.timers.advance(harness.timers.now_s + 5.0)
    harness.effects()
    harness.call("prices", None)
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("no-endpoint", "not-run")


def test_leaving_holder_serves_its_keys_until_they_move_but_not_for_long():
    harness = DispatcherHarness()
    notice(harness, harness.call(), is_leaving=True)
    harness.effects()
    harness.timers.advance(harness.timers.now_s + 0.9)
    harness.call()
    assert forwarded_to(harness) == ["till-1"]
    harness.timers.advance(harness.timers.now_s + 0.2)
    harness.effects()
    harness.call()
    assert harness.effects() == []
    owners = {"till": (OwnedUnitRanges("docs-0", (0, 8192)),)}
    _, units = harness.replica.apply_endpoints(EndpointsDelta(1, 1, 2, False, (), (), owners))
    harness.dispatcher.on_endpoints([], units)
    assert forwarded_to(harness) == ["docs-0"]


def test_later_instance_of_the_same_endpoint_is_not_leaving():
    harness = DispatcherHarness(endpoints=1)
    notice(harness, harness.call("prices", None), is_leaving=True, pause_s=PAUSE_S)
    harness.effects()
    replace_endpoint(harness, "docs-0", 5000)
    harness.call("prices", None)
    assert forwarded_to(harness) == ["docs-0"]


def test_notice_of_an_earlier_instance_says_nothing_about_the_later_one():
    harness = DispatcherHarness(endpoints=1)
    token = harness.call("prices", None)
    harness.effects()
    replace_endpoint(harness, "docs-0", 5000)
    harness.call("prices", None)
    notice(harness, token, is_leaving=True, pause_s=PAUSE_S)
    harness.call("prices", None)
    assert forwarded_to(harness) == ["docs-0", "docs-0"]


def test_new_leader_that_does_not_know_of_the_leaving_is_told():
    harness = DispatcherHarness(endpoints=2)
    notice(harness, harness.call("prices", None), is_leaving=True)
    (leaving,) = forwarded_to(harness)
    replace_endpoint(harness, leaving, 0)
    assert harness.reports == [LeavingObserved(leaving, 0)] * 2
    replace_endpoint(harness, leaving, 0, leaving=True, revision=3)
    assert len(harness.reports) == 2


@pytest.mark.parametrize("route, key", [("balance", 7), ("prices", None)])
def test_endpoint_that_wants_a_pause_gets_nothing_until_it_is_over(route, key):
    harness = DispatcherHarness(endpoints=1)
    token = harness.call(route, key)
    (endpoint,) = forwarded_to(harness)
    notice(harness, token, pause_s=PAUSE_S)
    harness.fail(token, "refused")
    (response,) = harness.effects()
    assert isinstance(response, RespondWithError)
    assert response.outcome == "not-run"
    assert response.retry_after_s == pytest.approx(PAUSE_S)
    for _ in range(6):
        harness.timers.advance(harness.timers.now_s + 0.3)
        harness.call(route, key)
        (response,) = harness.effects()
        assert response.outcome == "not-run"
        left_s = 10.0 + PAUSE_S - harness.timers.now_s
        assert response.retry_after_s == pytest.approx(left_s)
    harness.timers.advance(10.0 + PAUSE_S + 0.01)
    harness.call(route, key)
    assert forwarded_to(harness) == [endpoint]


def test_call_refused_with_a_pause_goes_to_another_endpoint_without_keys():
    harness = DispatcherHarness(endpoints=2)
    token = harness.call("prices", None)
    (paused,) = forwarded_to(harness)
    notice(harness, token, pause_s=PAUSE_S)
    harness.fail(token, "refused")
    (other,) = forwarded_to(harness)
    assert other != paused
    for _ in range(8):
        harness.call("prices", None)
    assert set(forwarded_to(harness)) == {other}


def test_pause_of_a_holder_that_cannot_be_reached_is_kept():
    """The second try of a failed connection must not break the pause."""
    harness = DispatcherHarness()
    first, second = harness.call(), harness.call()
    harness.effects()
    notice(harness, first, pause_s=PAUSE_S)
    harness.fail(second, "connect", has_sent_bytes=False)
    (response,) = harness.effects()
    assert isinstance(response, RespondWithError)


def test_unreadable_pause_is_logged_and_changes_nothing():
    harness = DispatcherHarness()
    notice(harness, harness.call(), malformed_pause="soon")
    lines = [e for e in harness.outbox.effects if isinstance(e, LogEvent)]
    assert [line.fields["detail"] for line in lines] == ["soon"]
    harness.effects()
    harness.call()
    assert forwarded_to(harness) == ["till-1"]
