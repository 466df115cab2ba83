"""Tests of which hot units move, and to which endpoints."""

from hypothesis import given
from hypothesis import strategies as st

from greengagerock.assignment.rebalancing import EndpointLoad, plan_rebalancing


def never_aligned(source, target):
    return False


def build_endpoint_loads(*rates, hot_units=()):
    """Return loads of instances a, b, c, ... of equal weight; the first one has the hot units."""
    endpoint_loads = [EndpointLoad("abcdefgh"[n], rate, 1.0, 90) for n, rate in enumerate(rates)]
    endpoint_loads[0].hot_units = list(hot_units)
    return endpoint_loads


def test_hot_range_is_spread_over_all_others():
    endpoint_loads = build_endpoint_loads(
        68.0, 8.0, 8.0, 8.0, hot_units=[(n, 7.5) for n in range(8)]
    )
    plans = plan_rebalancing(endpoint_loads, 0.1, 3, never_aligned)
    targets = [chunk.target for chunk in plans["a"]]
    assert set(targets) == {"b", "c", "d"}
    assert max(endpoint.rate for endpoint in endpoint_loads) <= 1.4 * 23.0


def test_even_load_moves_nothing():
    endpoint_loads = build_endpoint_loads(25.0, 24.0, 26.0, hot_units=[(1, 5.0)])
    assert plan_rebalancing(endpoint_loads, 0.1, 3, never_aligned) == {}


def test_endpoint_with_idle_slots_keeps_its_hot_keys():
    endpoint_loads = build_endpoint_loads(4.0, 0.5, 0.5, hot_units=[(1, 2.0), (5, 2.0)])
    assert plan_rebalancing(endpoint_loads, 0.1, 3, never_aligned) == {}


def test_single_key_too_hot_for_any_endpoint_does_not_move():
    endpoint_loads = build_endpoint_loads(100.0, 20.0, 20.0, hot_units=[(1, 95.0)])
    assert plan_rebalancing(endpoint_loads, 0.1, 3, never_aligned) == {}


def test_target_that_reports_soon_is_preferred():
    endpoint_loads = build_endpoint_loads(60.0, 10.0, 11.0, 10.0, hot_units=[(1, 5.0)])
    plans = plan_rebalancing(endpoint_loads, 0.1, 3, lambda source, target: target == "c")
    assert [chunk.target for chunk in plans["a"]] == ["c"]


@given(
    st.lists(st.floats(0.0, 50.0), min_size=2, max_size=6),
    st.lists(st.floats(0.5, 30.0), max_size=20),
    st.integers(80, 130),
)
def test_no_target_has_more_load_than_the_busiest_source_had(rest, hot_units, rows):
    endpoint_loads = build_endpoint_loads(
        rest[0] + sum(hot_units), *rest[1:], hot_units=list(enumerate(hot_units))
    )
    endpoint_loads[0].rows = rows
    rates_before = [load.rate for load in endpoint_loads]
    plans = plan_rebalancing(endpoint_loads, 0.1, 3, never_aligned)
    moved = [unit for chunks in plans.values() for chunk in chunks for unit in chunk.units]
    assert len(moved) == len(set(moved))
    assert abs(sum(endpoint.rate for endpoint in endpoint_loads) - sum(rates_before)) < 1e-6
    for load, rate in zip(endpoint_loads, rates_before, strict=True):
        assert load.rate <= max(rate, max(rates_before))
