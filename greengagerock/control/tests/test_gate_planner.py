"""Tests of the leader's choice of gates and gatekeepers."""

from greengagerock.control.gate_planner import (
    GATES_PER_ROUTER,
    KEEP_S,
    LEARNING_S,
    GatePlanner,
    RouterState,
)
from greengagerock.view import EndpointGates, decode_delta

OBJECTIVES = {"till": 1.0}
ROUTERS = [RouterState(f"r{n:02}:1", zone) for n, zone in enumerate("aabb" * 6)]
ZONES = {f"e{n}": "ab"[n % 2] for n in range(40)}
START_S = 100.0


def plan(planner, at_s, busy=(), idle=(), routers=ROUTERS, zones=ZONES):
    """Plan ``at_s`` seconds after the learning time; return the gates, or ``None``."""
    times = [("till", name, 10.0, 0.8) for name in busy]
    times += [("till", name, 10.0, 0.1) for name in idle]
    has_changed = planner.plan(times, OBJECTIVES, zones, routers, START_S + LEARNING_S + at_s)
    if not has_changed:
        return None
    gates = decode_delta(planner.packed, EndpointGates)
    assert gates.number == planner.number
    return {name: gates.gatekeepers[index] for name, index in gates.endpoints.items()}


def test_busy_endpoint_gets_a_gatekeeper_of_its_zone():
    planner = GatePlanner(1, START_S)
    gates = plan(planner, 0.0, busy=["e0", "e1"], idle=["e2"])
    assert gates == {"e0": "r00:1", "e1": "r02:1"}


def test_endpoint_whose_load_each_router_sees_by_itself_gets_no_gate():
    planner = GatePlanner(1, START_S)
    assert plan(planner, 0.0, busy=["e0"], routers=ROUTERS[:8]) == {}


def test_gate_closes_when_no_request_has_waited_for_a_while():
    planner = GatePlanner(1, START_S)
    plan(planner, 0.0, busy=["e0"])
    for step in range(1, 20):
        assert plan(planner, 0.5 * step, idle=["e0"]) is None
        planner.note_needed(["e0"], "r00:1", START_S + LEARNING_S + 0.5 * step)
    assert plan(planner, 9.5 + KEEP_S + 0.1, idle=["e0"]) == {}


def test_gates_of_a_lost_router_move_and_the_others_stay():
    planner = GatePlanner(1, START_S)
    plan(planner, 0.0, busy=["e0", "e1"])
    remaining = [router for router in ROUTERS if router.address != "r00:1"]
    gates = plan(planner, 0.5, busy=["e0", "e1"], routers=remaining)
    assert gates == {"e0": "r01:1", "e1": "r02:1"}


def test_gates_are_spread_over_as_few_routers_as_can_bear_them():
    planner = GatePlanner(1, START_S)
    gates = plan(planner, 0.0, busy=list(ZONES)[: 2 * GATES_PER_ROUTER])
    assert set(gates.values()) == {"r00:1", "r02:1"}
    gates = plan(planner, 0.5, busy=list(ZONES))
    counts = [list(gates.values()).count(router.address) for router in ROUTERS]
    assert sum(counts) == len(ZONES)
    assert sum(count > 0 for count in counts) == 6
    assert max(counts) == GATES_PER_ROUTER


def test_new_leader_keeps_the_gates_that_their_gatekeepers_report():
    planner = GatePlanner(2, START_S)
    planner.note_needed(["e0", "e1"], "r03:1", START_S + 0.1)
    assert plan(planner, -1.0) is None
    assert plan(planner, 0.0) == {"e0": "r03:1", "e1": "r03:1"}


def test_endpoint_that_has_ended_loses_its_gate():
    planner = GatePlanner(1, START_S)
    plan(planner, 0.0, busy=["e0"])
    assert plan(planner, 0.5, busy=["e0"], zones={}) == {}


def test_without_routers_no_gate_is_published():
    planner = GatePlanner(1, START_S)
    assert plan(planner, 0.0, busy=["e0"], routers=[]) == {}
