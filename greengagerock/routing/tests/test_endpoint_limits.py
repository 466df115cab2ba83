"""Tests of a router's knowledge of limits, and of what it may send."""

from random import Random

import pytest

from greengagerock.core.interface import EndpointNoticed, Forward, RespondWithError
from greengagerock.routing.burst_bounds import BURST_WINDOW_S
from greengagerock.routing.endpoint_limits import LIMIT_VALIDITY_S, EndpointLimits
from greengagerock.routing.request_allowance import RequestAllowance
from greengagerock.routing.router_count import RouterCount
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.view import EndpointRecord, LimitShare

RECORD = EndpointRecord("e1", "10.0.0.1:80", "till", "z", 3, started_ms=1000)
LATER = EndpointRecord("e1", "10.0.0.1:80", "till", "z", 3, started_ms=2000)


def build_share(limit_per_s, age_s, share=0.5, started_ms=1000):
    """Return a leader's ``LimitShare`` for the endpoint ``e1``."""
    return LimitShare("e1", started_ms, age_s, limit_per_s, share, None)


def test_limit_that_another_router_observed_holds_here_too():
    limits = EndpointLimits(Random(1))
    limits.apply_shares([build_share(5.0, 0.2)], 10, 10.0)
    assert limits.is_limited(RECORD, 10.0)
    assert not limits.is_limited(LATER, 10.0)


def test_older_observation_of_another_router_does_not_bring_an_ended_limit_back():
    limits = EndpointLimits(Random(1))
    limits.note_limit("e1", 1000, 5.0, 10.0)
    limits.note_end("e1", 1000, 11.0)
    limits.apply_shares([build_share(5.0, 0.8)], 10, 11.5)
    assert not limits.is_limited(RECORD, 11.5)
    limits.apply_shares([build_share(5.0, 0.1)], 10, 11.5)
    assert limits.is_limited(RECORD, 11.5)


def test_older_end_that_another_router_observed_does_not_end_a_newer_limit():
    limits = EndpointLimits(Random(1))
    limits.note_limit("e1", 1000, 5.0, 10.0)
    limits.apply_shares([build_share(None, 0.5)], 10, 10.1)
    assert limits.is_limited(RECORD, 10.1)
    limits.apply_shares([build_share(None, 0.05)], 10, 10.1)
    assert not limits.is_limited(RECORD, 10.1)


def test_end_of_a_limit_is_reported_for_some_seconds():
    limits = EndpointLimits(Random(1))
    limits.note_limit("e1", 1000, 5.0, 10.0)
    limits.note_end("e1", 1000, 11.0)
    report = limits.collect_reports(11.5)["e1"]
    assert (report.started_ms, report.age_s, report.limit_per_s) == (1000, 0.5, None)
    assert limits.collect_reports(30.0) == {}


def test_limit_that_no_response_names_any_more_ends():
    limits = EndpointLimits(Random(1))
    limits.note_limit("e1", 1000, 5.0, 10.0)
    assert limits.is_limited(RECORD, 10.0 + LIMIT_VALIDITY_S - 0.1)
    assert not limits.is_limited(RECORD, 10.0 + LIMIT_VALIDITY_S + 0.1)


def test_new_leader_that_knows_few_routers_does_not_raise_the_equal_shares():
    limits, count = EndpointLimits(Random(1)), RouterCount()
    limits.note_limit("e1", 1000, 5.0, 10.0)
    for routers, now_s in ((10, 10.5), (1, 15.0)):
        count.note(routers, now_s)
        limits.apply_shares([], count.largest, now_s)
    rate_per_s = limits.by_endpoint["e1"].allowance.rate_per_s
    assert rate_per_s == pytest.approx(0.5)
    for now_s in (21.0, 32.0):
        count.note(1, now_s)
    assert count.largest == 1


@pytest.mark.parametrize(
    ("limit_per_s", "router_count"),
    [(0.0, 1), (0.5, 2), (0.5, 4), (3.9, 1), (3.9, 10), (5.6, 12), (40.0, 12), (40.0, 84)],
)
def test_full_buckets_of_few_routers_stay_within_the_tolerated_burst(limit_per_s, router_count):
    allowances = [RequestAllowance(Random(n), 0.0) for n in range(router_count)]
    sent = 0
    for allowance in allowances:
        allowance.configure(limit_per_s, 1 / router_count, router_count, None, 0.0)
    for step in range(401):
        now_s = 100.0 + 0.01 * step
        for allowance in allowances:
            while allowance.try_take(now_s):
                sent += 1
    assert sent <= 1.5 * max(limit_per_s, 0.5) * BURST_WINDOW_S + 5


@pytest.mark.parametrize(("limit_per_s", "router_count"), [(1.6, 10), (1.6, 13), (10.0, 60)])
def test_routers_that_admit_at_random_do_not_exceed_the_tolerated_burst(limit_per_s, router_count):
    """The demand rises to a thousand requests a second while its mean is still low."""
    allowances = [RequestAllowance(Random(n), 0.0) for n in range(router_count)]
    sent_s = []
    for allowance in allowances:
        allowance.configure(limit_per_s, 1 / router_count, router_count, 0.1, 0.0)
        assert allowance.probability == pytest.approx(0.85)
    for step in range(1000):
        now_s = 0.01 * step
        sent_s += [now_s for allowance in allowances if allowance.try_take(now_s)]
    tolerated = 1.5 * limit_per_s * BURST_WINDOW_S + 5
    for until_s in sent_s:
        assert sum(until_s - BURST_WINDOW_S < s <= until_s for s in sent_s) <= tolerated


def test_refused_callers_are_sent_back_one_after_the_other():
    allowance = RequestAllowance(Random(1), 0.0)
    allowance.configure(2.0, 0.5, 2, None, 0.0)
    allowance.credit = 0.0
    waits_s = [allowance.retry_after_s(0.0) for _ in range(8)]
    assert waits_s[:3] == pytest.approx([1.0, 2.0, 3.0])
    assert max(waits_s) == pytest.approx(5.0)


def test_dispatcher_marks_requests_to_limited_endpoints_and_refuses_the_others_at_once():
    harness = DispatcherHarness(endpoints=1)
    token = harness.call("prices", None)
    (first,) = harness.effects()
    assert not first.is_limited
    harness.dispatcher.on_notice(EndpointNoticed(token, limit_per_s=1.0))
    harness.dispatcher.limits.by_endpoint["docs-0"].allowance.credit = 1.0
    harness.call("prices", None)
    (second,) = harness.effects()
    assert isinstance(second, Forward) and second.is_limited
    for _ in range(3):
        harness.call("prices", None)
    refusals = harness.effects()
    for refusal in refusals:
        assert isinstance(refusal, RespondWithError)
        assert (refusal.code, refusal.outcome) == ("endpoint-limited", "not-run")
        assert 0 < refusal.retry_after_s <= 5.0


def test_failed_attempt_at_a_limited_endpoint_is_not_sent_there_again_beyond_the_limit():
    harness = DispatcherHarness()
    token = harness.call()
    harness.effects()
    harness.dispatcher.on_notice(EndpointNoticed(token, limit_per_s=0.0))
    harness.dispatcher.limits.by_endpoint["till-1"].allowance.credit = 0.0
    harness.fail(token, "refused")
    harness.timers.advance(harness.timers.now_s + 0.1)
    forwards = [effect for effect in harness.effects() if isinstance(effect, Forward)]
    assert forwards == []
