"""Tests of a router's part of what a cold endpoint may get."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.core.interface import Forward, RespondWithError
from greengagerock.routing.burst_bounds import (
    EXCESS_PROBABILITY,
    ColdBound,
    exceedance,
    largest_safe_mean,
)
from greengagerock.routing.cold_limits import DEMAND_VALIDITY_S, ColdLimits
from greengagerock.routing.endpoint_limits import EndpointLimits
from greengagerock.routing.request_allowance import RequestAllowance
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.view import EndpointRecord, LimitShare

RECORD = EndpointRecord("e1", "10.0.0.1:80", "till", "z", 3, False, 1000, 3.0)
LATER = EndpointRecord("e1", "10.0.0.1:80", "till", "z", 3, False, 2000, 3.0)


def build_share(left_s, demand_per_s=None, started_ms=1000):
    """Return a leader's ``LimitShare`` for the cold endpoint ``e1``."""
    return LimitShare("e1", started_ms, 0.0, 3.5, None, demand_per_s, left_s)


@settings(deadline=None, max_examples=40)
@given(
    rate_per_s=st.floats(0.1, 40.0),
    factor=st.floats(0.5, 3.0),
    slack=st.floats(0.0, 20.0),
    router_count=st.integers(1, 30),
    seed=st.integers(0, 1000),
)
def test_routers_that_each_may_send_a_request_never_exceed_the_bound(
    rate_per_s, factor, slack, router_count, seed
):
    """All routers have any number of requests at all times, and know nothing of the demand."""
    bound = ColdBound(factor, slack)
    if bound.plan(rate_per_s, router_count).is_random:
        return
    random = Random(seed)
    allowances = [RequestAllowance(random, 0.0, bound) for _ in range(router_count)]
    sent_s = []
    for step in range(60):
        now_s = 0.05 * step + (0.7 if step > 30 else 0.0)
        for allowance in allowances:
            allowance.configure(rate_per_s, 1 / router_count, router_count, None, now_s)
            while allowance.try_take(now_s):
                sent_s.append(now_s)
    for until_s in sent_s:
        in_second = sum(until_s - 1.0 <= s <= until_s for s in sent_s)
        assert in_second <= bound.requests(rate_per_s) + 1e-9


@settings(deadline=None, max_examples=60)
@given(bound=st.integers(0, 40), more=st.integers(1, 700))
def test_safe_mean_is_exceeded_with_the_given_probability_only(bound, more):
    trials = bound + more
    mean = largest_safe_mean(bound, trials)
    assert 0 < mean < trials
    assert exceedance(bound, trials, mean / trials) <= EXCESS_PROBABILITY
    assert largest_safe_mean(bound, trials + 50) <= mean + 1e-6


@pytest.mark.parametrize("router_count", [20, 68, 730])
@pytest.mark.parametrize("demand_per_s", [1.0, 5.7, 40.0])
def test_random_admission_keeps_the_bound_when_the_demand_doubles(router_count, demand_per_s):
    random = Random(router_count)
    for _ in range(60):
        allowances = [RequestAllowance(random, 0.0, ColdBound()) for _ in range(router_count)]
        for allowance in allowances:
            allowance.configure(3.5, 1 / router_count, router_count, demand_per_s, 0.0)
        now_s, sent_s = 0.0, []
        while now_s < 2.0:
            now_s += random.expovariate(2.0 * demand_per_s)
            if random.choice(allowances).try_take(now_s):
                sent_s.append(now_s)
        assert max((sum(u - 1.0 < s <= u for s in sent_s) for u in sent_s), default=0) <= 13.25


@pytest.mark.parametrize("router_count", [20, 68, 730])
def test_routers_without_a_share_keep_the_bound_at_any_demand(router_count):
    """Each router has a request every 10 ms; it has no count of the requests of the others."""
    random = Random(router_count)
    allowances = [RequestAllowance(random, 0.0, ColdBound()) for _ in range(router_count)]
    for allowance in allowances:
        allowance.configure(3.5, 1 / router_count, router_count, None, 0.0)
    sent_s = []
    for step in range(300):
        now_s = 0.01 * step
        sent_s += [now_s for allowance in allowances if allowance.try_take(now_s)]
    assert sent_s
    for until_s in sent_s:
        assert sum(until_s - 1.0 < s <= until_s for s in sent_s) <= 13.25


@settings(deadline=None, max_examples=50)
@given(urgent_share=st.floats(0.0, 1.0), demand_per_s=st.floats(2.0, 100.0))
def test_preference_for_urgent_requests_does_not_change_how_many_are_sent(
    urgent_share, demand_per_s
):
    allowance = RequestAllowance(Random(1), 0.0, ColdBound())
    allowance.configure(3.5, 0.01, 100, demand_per_s, 0.0, urgent_share * demand_per_s)
    sent_per_s = demand_per_s * allowance.probability
    sent_per_s *= urgent_share + (1 - urgent_share) * allowance.less_urgent_share
    assert sent_per_s <= max(allowance.plan.rate_per_s, allowance.plan.low_demand_per_s) + 1e-6
    assert 0 <= allowance.less_urgent_share <= 1 + 1e-9


def test_share_of_the_leader_moves_the_end_up_and_down():
    limits = ColdLimits(Random(1))
    assert limits.apply_shares([build_share(3.0)], 0, 1, 68, 10.0) == (["e1"], [])
    limits.apply_shares([build_share(5.0)], 1, 2, 68, 11.0)
    assert limits.current(RECORD, 15.9) is not None
    limits.apply_shares([build_share(1.0)], 2, 3, 68, 12.0)
    assert limits.current(RECORD, 13.0) is None
    assert limits.apply_shares([build_share(0.0)], 3, 4, 68, 12.5) == ([], ["e1"])


def test_message_that_is_overtaken_by_a_newer_one_changes_nothing():
    limits = ColdLimits(Random(1))
    limits.apply_shares([build_share(3.0)], 0, 5, 68, 10.0)
    limits.apply_shares([build_share(0.0)], 3, 4, 68, 10.1)
    assert limits.current(RECORD, 10.1) is not None


def test_message_that_follows_a_lost_one_waits_for_the_next_poll():
    limits = ColdLimits(Random(1))
    limits.apply_shares([], 3, 4, 68, 10.0)
    assert limits.number == 0
    limits.apply_shares([build_share(3.0)], 0, 4, 68, 10.1)
    assert (limits.number, limits.current(RECORD, 10.1) is not None) == (4, True)


def test_limit_of_an_earlier_instance_does_not_hold_for_a_later_one():
    limits = ColdLimits(Random(1))
    limits.apply_shares([build_share(3.0)], 0, 1, 68, 10.0)
    assert limits.current(LATER, 10.0) is None
    assert limits.note_cold(LATER, 3.5, 10.5)
    limits.apply_shares([build_share(3.0)], 1, 2, 68, 11.0)
    assert limits.current(LATER, 11.0) is not None


def test_demand_is_not_used_without_a_recent_message_of_the_leader():
    limits = ColdLimits(Random(1))
    limits.apply_shares([build_share(9.0, demand_per_s=1.0)], 0, 1, 68, 10.0)
    limit = limits.current(RECORD, 10.0)
    limits.prepare(limit, "till", 10.0)
    assert limit.allowance.probability == 1.0
    limits.prepare(limit, "till", 10.1 + DEMAND_VALIDITY_S)
    assert limit.allowance.probability is None


def test_smaller_of_two_limits_decides_by_one_random_number():
    """With a random number for each, an endpoint with both would get a small part of either."""
    limits = EndpointLimits(Random(1))
    limits.apply_shares([LimitShare("e1", 1000, 0.0, 4.0, 0.01, 40.0)], 100, 10.0)
    limits.cold.apply_shares([build_share(900.0, demand_per_s=40.0)], 0, 1, 100, 10.0)
    sent = 0
    for step in range(4000):
        now_s = 10.0 + 2.0 * step / 4000
        sent += limits.try_take(RECORD, now_s)
        limits.cold.current(RECORD, now_s).allowance.admitted_s.clear()
        limits.by_endpoint["e1"].allowance.admitted_s.clear()
    assert 0.6 <= sent / 4000 / limits.cold.by_endpoint["e1"].allowance.probability <= 1.4


def test_call_for_a_cold_holder_beyond_its_part_is_refused_as_not_run():
    harness = DispatcherHarness()
    harness.dispatcher.limits.cold.bound = ColdBound(1.0, 0.0)
    record = harness.replica.endpoints["till-1"]
    share = LimitShare("till-1", record.started_ms, 0.0, 3.5, 1.0, None, 2.0)
    harness.dispatcher.limits.cold.apply_shares([share], 0, 1, 1, harness.timers.now_s)
    for _ in range(5):
        harness.call()
    effects = harness.effects()
    assert sum(isinstance(effect, Forward) for effect in effects) == 3
    refusals = [effect for effect in effects if isinstance(effect, RespondWithError)]
    assert len(refusals) == 2
    for refusal in refusals:
        assert (refusal.code, refusal.outcome) == ("endpoint-cold", "not-run")
        assert 0 < refusal.retry_after_s <= 5.0
