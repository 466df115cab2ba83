"""Tests of units that need most of an endpoint, and of the units beside them."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from greengagerock.assignment.isolation import (
    MIN_SPEED_RATIO,
    must_isolate,
    plan_isolation,
    plan_oversized,
)
from greengagerock.assignment.rebalancing import EndpointLoad, load_levels, plan_source
from greengagerock.testing.load_builders import build_other_units, endpoint_loads, never_aligned

WORK_S, SLOTS = 0.1, 3


def plan_all(loads, max_units=8, max_rows=4):
    """Return the chunks that the first endpoint gives up, in the order of the planner."""
    levels = load_levels(loads, WORK_S, SLOTS)
    placed = plan_oversized(loads[0], loads, levels, never_aligned, lambda unit: True)
    placed_units = {unit for chunk in placed for unit in chunk.units}
    loads[0].hot_units = [pair for pair in loads[0].hot_units if pair[0] not in placed_units]
    spread = plan_source(loads[0], loads, levels, never_aligned, max_rows)
    others = build_other_units(0.2)
    isolated = plan_isolation(loads[0], others, loads, levels, never_aligned, max_units, max_rows)
    return placed, spread, isolated


@given(endpoint_loads(), st.integers(0, 12), st.integers(0, 6))
def test_moves_are_bounded_and_no_unit_moves_twice(loads, max_units, max_rows):
    placed, spread, isolated = plan_all(loads, max_units, max_rows)
    assert len(spread) <= max_rows
    assert len(isolated) <= max_rows
    assert sum(len(chunk.units) for chunk in isolated) <= max_units
    units = [unit for chunk in placed + spread + isolated for unit in chunk.units]
    assert len(units) == len(set(units))


@settings(max_examples=300)
@given(endpoint_loads())
@example(
    [
        EndpointLoad("e0", 19.0, 0.75, 20, [(0, 19.0)]),
        EndpointLoad("e1", 7.0, 1.0, 20, []),
    ]
)
def test_load_is_not_more_uneven_after_the_moves(loads):
    levels_before = [load.level for load in loads]
    rate_before = sum(load.rate for load in loads)
    plan_all(loads)
    assert max(load.level for load in loads) <= max(levels_before) + 1e-9
    assert abs(sum(load.rate for load in loads) - rate_before) < 1e-6


@given(
    st.floats(100.0, 1000.0),
    st.lists(st.floats(1 / MIN_SPEED_RATIO + 0.01, 1.3), min_size=1, max_size=8),
    st.floats(0.0, 10.0),
)
def test_key_that_no_endpoint_can_serve_stays_among_endpoints_of_like_speed(rate, weights, base):
    """Each move of such a key interrupts its service and lets no endpoint serve more."""
    others = [EndpointLoad(f"e{n}", base, weight, 60, []) for n, weight in enumerate(weights)]
    holder = EndpointLoad("holder", rate + base, 1.0, 60, [(1, rate)])
    placed, spread, isolated = plan_all([holder, *others])
    assert placed + spread == []
    assert 1 not in {unit for chunk in isolated for unit in chunk.units}


def place_on_faster(is_known=True, was_placed=False):
    """Return where a key goes that its slow holder can't serve."""
    loads = [
        EndpointLoad("slow", 100.0, 0.5, 60, [(1, 95.0)]),
        EndpointLoad("fast", 5.0, 1.5, 60, [], is_known),
        EndpointLoad("usual", 5.0, 0.6, 60, []),
    ]
    levels = load_levels(loads, WORK_S, SLOTS)
    chunks = plan_oversized(loads[0], loads, levels, never_aligned, lambda unit: not was_placed)
    return [(chunk.target, chunk.units) for chunk in chunks]


def test_key_that_no_endpoint_can_serve_moves_once_to_one_known_to_be_clearly_faster():
    assert place_on_faster() == [("fast", (1,))]
    assert place_on_faster(was_placed=True) == []
    assert place_on_faster(is_known=False) == []


def test_two_keys_that_need_an_endpoint_each_are_separated():
    """An endpoint that holds both serves half of each, however many others are idle."""
    loads = [EndpointLoad(name, 4.0, 1.0, 60, []) for name in ("a", "b", "c")]
    loads[0].rate, loads[0].hot_units = 64.0, [(1, 30.0), (2, 30.0)]
    levels = load_levels(loads, WORK_S, SLOTS)
    chunks = plan_oversized(loads[0], loads, levels, never_aligned, lambda unit: True)
    assert [chunk.units for chunk in chunks] == [(1,)]


def test_units_beside_a_hot_one_leave_to_several_endpoints_the_busiest_first():
    loads = [EndpointLoad(f"e{n}", 5.0, 1.0, 60, []) for n in range(6)]
    loads[0].rate, loads[0].hot_units = 100.0, [(1, 95.0)]
    levels = load_levels(loads, WORK_S, SLOTS)
    assert must_isolate(loads[0], levels)
    others = [(number * 2, 0.1 + number % 5) for number in range(5, 25)]
    chunks = plan_isolation(loads[0], others, loads, levels, never_aligned, 10, 10)
    assert len(chunks) == 10
    assert [dict(others)[chunk.units[0]] for chunk in chunks] == [4.1] * 4 + [3.1] * 4 + [2.1] * 2
    assert len({chunk.target for chunk in chunks}) == 5
