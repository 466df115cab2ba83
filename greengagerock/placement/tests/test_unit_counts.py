"""Tests of placement against a simple reference algorithm and over random sequences."""

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagerock.model import STATE_DRAINING, STATE_LOST, STATE_READY, Unit
from greengagerock.placement import plan_moves
from greengagerock.testing.model_builders import build_endpoint

NAMES = "abcde"

states = st.dictionaries(
    st.sampled_from(NAMES),
    st.sampled_from([STATE_READY, STATE_READY, STATE_DRAINING, STATE_LOST]),
    min_size=1,
)


def place_by_scanning(units, ready):
    """Return the owners, found by a scan of all endpoints for each unit."""
    counts = {name: sum(1 for _, owner in units if owner == name) for name in sorted(ready)}
    owners = {}
    for unit, owner in units:
        if owner not in counts:
            owner = min(counts, key=lambda name: (counts[name], name))
            counts[owner] += 1
        owners[unit] = owner
    return owners


@settings(max_examples=200, derandomize=True, deadline=None)
@given(states, st.lists(st.sampled_from([*NAMES, ""]), max_size=30))
def test_forced_moves_agree_with_the_reference_algorithm(states_by_name, owners):
    endpoints = [
        build_endpoint(name, state=state) for name, state in sorted(states_by_name.items())
    ]
    units = [(Unit("till", slot), owner) for slot, owner in enumerate(owners)]
    ready = {name for name, state in states_by_name.items() if state == STATE_READY}
    moves = plan_moves(units, endpoints, 0)
    if not ready:
        assert moves == ()
        return
    result = dict(units) | {move.unit: move.target for move in moves}
    assert result == place_by_scanning(units, ready)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=15))
def test_no_unit_stays_unowned_over_sequences_of_joins_and_losses(events):
    slots = 24
    owners = dict.fromkeys((Unit("till", slot) for slot in range(slots)), "")
    ready = set()
    for name, joins in events:
        ready = ready | {name} if joins else ready - {name}
        endpoints = [build_endpoint(item) for item in sorted(ready)]
        moves = plan_moves(list(owners.items()), endpoints, 100)
        forced = sum(1 for owner in owners.values() if owner not in ready)
        fair_share = -(-slots // max(1, len(ready)))
        owners |= {move.unit: move.target for move in moves}
        if ready:
            assert set(owners.values()) <= ready
            # At most the forced moves and those that fill new endpoints up to their share.
            assert len(moves) <= forced + fair_share * len(ready)
            counts = [list(owners.values()).count(item) for item in ready]
            assert max(counts) - min(counts) <= 2


def test_drain_moves_each_unit_exactly_once():
    endpoints = [build_endpoint("a", state=STATE_DRAINING), build_endpoint("b")]
    units = [(Unit("till", slot), "a") for slot in range(8)]
    moves = plan_moves(units, endpoints, 0)
    assert {move.cause for move in moves} == {"drain"}
    assert len(moves) == len({move.unit for move in moves}) == 8


def test_imbalance_within_the_hysteresis_causes_no_move():
    endpoints = [build_endpoint("a"), build_endpoint("b")]
    units = [(Unit("till", slot), "a" if slot < 5 else "b") for slot in range(9)]
    assert plan_moves(units, endpoints, 100) == ()
