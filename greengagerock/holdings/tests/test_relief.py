"""Which hot keys move, and to whom."""

from hypothesis import given
from hypothesis import strategies as st

from greengagerock.holdings.relief import Bearer, plan_relief


def never(donor, taker):
    return False


def build_bearers(*rates, hot=()):
    """Return bearers a, b, c, ... of equal weight; the first one has the hot units."""
    bearers = [Bearer("abcdefgh"[n], rate, 1.0, 90) for n, rate in enumerate(rates)]
    bearers[0].hot = list(hot)
    return bearers


def test_hot_range_is_spread_over_all_others():
    bearers = build_bearers(68.0, 8.0, 8.0, 8.0, hot=[(n, 7.5) for n in range(8)])
    plans = plan_relief(bearers, 0.1, 3, never)
    takers = [piece.taker for piece in plans["a"]]
    assert set(takers) == {"b", "c", "d"}
    assert max(b.rate for b in bearers) <= 1.4 * 23.0


def test_even_load_moves_nothing():
    bearers = build_bearers(25.0, 24.0, 26.0, hot=[(1, 5.0)])
    assert plan_relief(bearers, 0.1, 3, never) == {}


def test_endpoint_with_idle_slots_keeps_its_hot_keys():
    bearers = build_bearers(4.0, 0.5, 0.5, hot=[(1, 2.0), (5, 2.0)])
    assert plan_relief(bearers, 0.1, 3, never) == {}


def test_single_key_that_nobody_could_bear_stays():
    bearers = build_bearers(100.0, 20.0, 20.0, hot=[(1, 95.0)])
    assert plan_relief(bearers, 0.1, 3, never) == {}


def test_taker_that_reports_soon_is_preferred():
    bearers = build_bearers(60.0, 10.0, 11.0, 10.0, hot=[(1, 5.0)])
    plans = plan_relief(bearers, 0.1, 3, lambda donor, taker: taker == "c")
    assert [piece.taker for piece in plans["a"]] == ["c"]


@given(
    st.lists(st.floats(0.0, 50.0), min_size=2, max_size=6),
    st.lists(st.floats(0.5, 30.0), max_size=20),
    st.integers(80, 130),
)
def test_no_taker_ends_worse_off_than_the_donor_was(rest, hot, rows):
    bearers = build_bearers(rest[0] + sum(hot), *rest[1:], hot=list(enumerate(hot)))
    bearers[0].rows = rows
    before = [bearer.rate for bearer in bearers]
    plans = plan_relief(bearers, 0.1, 3, never)
    moved = [unit for pieces in plans.values() for piece in pieces for unit in piece.units]
    assert len(moved) == len(set(moved))
    assert abs(sum(b.rate for b in bearers) - sum(before)) < 1e-6
    for bearer, rate in zip(bearers, before, strict=True):
        assert bearer.rate <= max(rate, max(before))
