"""After each kind of loss a key is served again within 4 s and has one owner at a time."""

import pytest

from greengagerock.core.interface import StopRequested
from greengagerock.model import slot_of_key
from greengagerock.testing.invariants import InvariantChecker
from greengagerock.testing.system_builders import (
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)

SERVED_AGAIN_LIMIT_S = 4.0
PROBE_INTERVAL_S = 0.05
SLOTS = 16


def key_owned_by(system, endpoint):
    """Return a key whose owner is ``endpoint``."""
    owners = leader_state(system).routes.owners["till"]
    for number in range(1000):
        key = f"card-{number}"
        if owners[slot_of_key(key, SLOTS)].endpoint == endpoint:
            return key
    raise AssertionError(f"{endpoint} owns nothing")


def time_until_served(system, host, key, limit_s=30.0):
    """Return the seconds until a request for ``key`` succeeds."""
    start_s = system.now_s
    while system.now_s - start_s < limit_s:
        if system.request_and_wait(host, "till", f"/cards/{key}", limit_s=1.0) == "ok":
            return system.now_s - start_s
        system.run_for(PROBE_INTERVAL_S)
    raise AssertionError(f"not served within {limit_s} s")


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("checks_orders", [True, False])
def test_loss_of_an_endpoint(seed, checks_orders):
    system = build_fake_system(seed=seed, checks_orders=checks_orders, rules="set timeout_s 1")
    InvariantChecker(system)
    key = key_owned_by(system, "till-1-1")
    system.endpoints["till-1-1"].is_up = False
    assert time_until_served(system, "host-2-2", key) < SERVED_AGAIN_LIMIT_S


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("checks_orders", [True, False])
def test_freeze_of_an_endpoint_and_its_return(seed, checks_orders):
    system = build_fake_system(seed=seed, checks_orders=checks_orders, rules="set timeout_s 1")
    InvariantChecker(system)
    key = key_owned_by(system, "till-1-1")
    system.endpoints["till-1-1"].frozen = True
    assert time_until_served(system, "host-2-2", key) < SERVED_AGAIN_LIMIT_S
    system.run_for(3.0)
    system.unfreeze("till-1-1")
    system.run_for(0.01)
    assert system.request_and_wait("host-2-2", "till", f"/cards/{key}") == "ok"
    run_until_settled(system)


@pytest.mark.parametrize("seed", range(4))
def test_loss_of_the_leader(seed):
    system = build_fake_system(seed=seed)
    InvariantChecker(system)
    leader = find_leader(system).config.host.name
    other = next(name for name in system.hosts if system.zone_of(name) != system.zone_of(leader))
    system.crash_host(leader)
    assert time_until_served(system, other, "card-1") < 0.1
    assert system.run_until(lambda: find_leader(system) is not None, 4.0) is not None
    run_until_settled(system)


@pytest.mark.parametrize("seed", range(4))
def test_loss_of_the_leader_and_an_endpoint_together(seed):
    system = build_fake_system(seed=seed)
    InvariantChecker(system)
    leader = find_leader(system).config.host.name
    key = key_owned_by(system, "till-2-1")
    other = next(n for n in system.hosts if system.zone_of(n) != system.zone_of(leader))
    system.crash_host(leader)
    system.endpoints["till-2-1"].is_up = False
    assert time_until_served(system, other, key) < SERVED_AGAIN_LIMIT_S


@pytest.mark.parametrize("seed", range(4))
def test_loss_of_a_lease_manager(seed):
    system = build_fake_system(seed=seed, hosts_per_zone=3)
    InvariantChecker(system)
    leader = find_leader(system).config.host.name
    zone = next(z for z in ("zone-1", "zone-2", "zone-3") if z != system.zone_of(leader))
    lease_manager = next(
        n for n, h in system.hosts.items() if h.node.lease_manager and system.zone_of(n) == zone
    )
    other = next(n for n in system.hosts if system.zone_of(n) == zone and n != lease_manager)
    system.crash_host(lease_manager)
    worst_s = 0.0
    for _ in range(80):
        worst_s = max(worst_s, time_until_served(system, other, "card-1"))
        system.run_for(PROBE_INTERVAL_S)
    assert worst_s < SERVED_AGAIN_LIMIT_S
    assert any(
        h.node and h.node.lease_manager for n, h in system.hosts.items() if n != lease_manager
    )


@pytest.mark.parametrize("seed", range(4))
def test_loss_of_an_entry_host_does_not_delay_a_transfer(seed):
    system = build_fake_system(
        seed=seed, hosts_per_zone=3, checks_orders=False, rules="set timeout_s 1"
    )
    InvariantChecker(system)
    key = key_owned_by(system, "till-1-1")
    router_only_host = next(
        n for n, h in system.hosts.items() if not h.node.lease_manager and h.node.voter is None
    )
    other = next(n for n in system.hosts if n != router_only_host)
    system.crash_host(router_only_host)
    system.endpoints["till-1-1"].is_up = False
    assert time_until_served(system, other, key) < SERVED_AGAIN_LIMIT_S


def test_restarted_lease_manager_gets_a_new_appointment():
    system = build_fake_system()
    lease_manager = next(
        n for n, h in system.hosts.items() if h.node.lease_manager and n.startswith("host-2")
    )
    epoch = leader_state(system).lease_managers["zone-2"].epoch
    system.crash_host(lease_manager)
    system.start_host(lease_manager)
    run_until_settled(system)
    assert leader_state(system).lease_managers["zone-2"].epoch > epoch


def test_frozen_endpoint_does_not_run_an_order_after_its_lease():
    system = build_fake_system()
    key = key_owned_by(system, "till-1-1")
    endpoint = system.endpoints["till-1-1"]
    endpoint.frozen = True
    token = system.request("host-1-1", "till", f"/cards/{key}", method="POST", request_id="held")
    system.run_for(6.0)
    runs_before = [run for e in system.endpoints.values() for run in e.runs]
    system.unfreeze("till-1-1")
    system.run_for(1.0)
    runs = [run for e in system.endpoints.values() for run in e.runs if run[1] == "held"]
    assert runs == []
    assert runs_before == []
    assert system.outcome(token) != "ok"


def test_planned_stop_of_leader_and_lease_manager_interrupts_no_service():
    system = build_fake_system(hosts_per_zone=3)
    checker = InvariantChecker(system)
    name = find_leader(system).config.host.name
    request_stop(system, name)
    other = next(n for n in system.hosts if n != name)
    for _ in range(60):
        assert system.request_and_wait(other, "till", "/cards/card-1") == "ok"
        system.run_for(PROBE_INTERVAL_S)
    assert find_leader(system) is not None
    assert checker.check_count > 0


def test_planned_stop_finishes_requests_in_progress():
    system = build_fake_system()
    for endpoint in system.endpoints.values():
        endpoint.processing_time_s = 2.5
    token = system.request("host-1-2", "till", "/cards/card-1")
    system.run_for(0.1)
    request_stop(system, "host-1-2")
    system.run_for(1.5)
    late = system.request("host-1-2", "till", "/cards/card-1")
    assert system.outcome(late) == "stopping"
    system.run_for(2.0)
    assert system.outcome(token) == "ok"
    assert system.hosts["host-1-2"].node is None


def request_stop(system, name):
    """Send a stop request to a host."""
    system.feed(name, StopRequested())


def test_losses_at_each_step_of_a_transfer():
    """Kill the source, the target or the leader at each step of a drain."""
    for step in range(12):
        for victim in ("source", "target", "leader"):
            system = build_fake_system(seed=100 + step)
            checker = InvariantChecker(system)
            system.send_statement("host-2-2", "drain endpoint till-1-1", "drain")
            system.run_for(0.03 * step)
            kill(system, victim)
            system.run_for(6.0)
            run_until_settled(system)
            checker.check_accepted_changes(leader_state(system))


def kill(system, victim):
    """Kill the source, the target or the leader of a drain."""
    if victim == "source":
        system.endpoints["till-1-1"].is_up = False
    elif victim == "target":
        system.endpoints["till-2-1"].is_up = False
    else:
        leader = find_leader(system)
        if leader is not None:
            system.crash_host(leader.config.host.name)
