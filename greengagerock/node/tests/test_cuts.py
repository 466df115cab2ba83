"""Availability zones that are cut off, isolated hosts, and recovery."""

import pytest

from greengagerock.model import slot_of_key
from greengagerock.testing.invariants import InvariantChecker
from greengagerock.testing.system_builders import (
    are_units_owned,
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)

SLOTS = 16

# Longer than every lease, timeout and interval between the processes.
ISOLATION_S = 400.0
HOSTS = {"hosts_per_zone": 3, "voters": 5}


def owner_zone(system, key):
    """Return the availability zone of a key's owner."""
    routes = leader_state(system).routes
    return routes.endpoints[routes.owners["till"][slot_of_key(key, SLOTS)].endpoint].zone


def key_of_zone(system, zone):
    """Return a key whose owner is in a zone."""
    return next(k for k in map(str, range(1000)) if owner_zone(system, k) == zone)


def zone_without_leader(system):
    """Return a zone without the leader."""
    leader_zone = find_leader(system).config.host.zone
    zone = next(z for z in ("zone-1", "zone-2", "zone-3") if z != leader_zone)
    return zone


@pytest.mark.parametrize("checks_orders", [True, False])
def test_short_cut_moves_no_key_and_the_zone_serves_its_own_keys(checks_orders):
    rules = "set cut_hold_s 60, timeout_s 1"
    system = build_fake_system(checks_orders=checks_orders, rules=rules, **HOSTS)
    InvariantChecker(system)
    zone = zone_without_leader(system)
    local_key, remote_key = key_of_zone(system, zone), key_of_zone(system, leader_zone(system))
    inside_host = f"host-{zone[5:]}-1"
    system.isolate_zone(zone)
    moves = leader_state(system).move_count
    for _ in range(40):
        system.run_for(0.5)
        assert system.request_and_wait(inside_host, "till", f"/cards/{local_key}") == "ok"
    assert system.request_and_wait(inside_host, "till", f"/cards/{remote_key}") == "no-route-lease"
    system.heal()
    run_until_settled(system)
    assert leader_state(system).move_count == moves
    assert system.request_and_wait(inside_host, "till", f"/cards/{remote_key}") == "ok"


def leader_zone(system):
    """Return the zone of the leader."""
    return find_leader(system).config.host.zone


@pytest.mark.parametrize("checks_orders", [True, False])
def test_long_cut_moves_the_keys_and_the_zone_stops_serving_them(checks_orders):
    rules = "set cut_hold_s 5, timeout_s 1"
    system = build_fake_system(checks_orders=checks_orders, rules=rules, **HOSTS)
    InvariantChecker(system)
    zone = zone_without_leader(system)
    key = key_of_zone(system, zone)
    outside = f"host-{leader_zone(system)[5:]}-1"
    system.isolate_zone(zone)
    system.run_for(12.0)
    assert system.request_and_wait(outside, "till", f"/cards/{key}") == "ok"
    assert (
        system.request_and_wait(f"host-{zone[5:]}-1", "till", f"/cards/{key}") == "no-route-lease"
    )
    system.heal()
    run_until_settled(system)
    assert are_units_owned(system)


def test_shortened_cut_hold_waits_for_a_zone_that_has_not_received_it():
    system = build_fake_system(rules="set cut_hold_s 30, timeout_s 1", **HOSTS)
    InvariantChecker(system)
    zone = zone_without_leader(system)
    key = key_of_zone(system, zone)
    inside_host, leader = f"host-{zone[5:]}-1", find_leader(system).config.host.name
    system.isolate_zone(zone)
    system.run_for(3.0)
    assert system.send_statement_and_wait(
        leader, "alter service till set cut_hold_s 2", "c"
    ).accepted
    system.run_for(10.0)
    # The hold of 30 s is still in effect in the zone, so none of its keys may have moved.
    assert system.request_and_wait(inside_host, "till", f"/cards/{key}") == "ok"
    assert owner_zone(system, key) == zone
    system.run_for(25.0)
    assert owner_zone(system, key) != zone
    assert system.request_and_wait(inside_host, "till", f"/cards/{key}") == "no-route-lease"


def test_zone_whose_lease_manager_crashes_during_the_cut_stops_within_its_leases():
    system = build_fake_system(rules="set cut_hold_s 60", **HOSTS)
    InvariantChecker(system)
    zone = zone_without_leader(system)
    key = key_of_zone(system, zone)
    system.isolate_zone(zone)
    system.run_for(3.0)
    inside = [n for n in system.hosts if system.zone_of(n) == zone]
    lease_manager = next(n for n in inside if system.hosts[n].node.lease_manager)
    system.crash_host(lease_manager)
    system.run_for(2.0)
    other = next(n for n in inside if n != lease_manager)
    assert system.request_and_wait(other, "till", f"/cards/{key}") == "no-route-lease"
    system.heal()
    run_until_settled(system)


def test_leader_isolated_for_long_accepts_no_change_and_rejoins():
    system = build_fake_system(rules="set cut_hold_s 4", **HOSTS)
    checker = InvariantChecker(system)
    old = find_leader(system).config.host.name
    others = [name for name in system.hosts if name != old]
    system.drop_messages([old], others)
    system.drop_messages(others, [old])
    assert system.run_until(lambda: find_leader(system) not in (None, system.hosts[old]), 10.0)
    host = next(n for n in others if system.zone_of(n) != system.zone_of(old))
    response = system.send_statement_and_wait(host, "alter service till set timeout_s 3", "during")
    checker.record_accepted_change("during", response)
    assert response.accepted
    lost = system.send_statement_and_wait(old, "alter service till set timeout_s 7", "isolated")
    assert not lost.accepted
    system.run_for(ISOLATION_S)
    system.heal()
    run_until_settled(system)
    checker.check_accepted_changes(leader_state(system))
    assert leader_state(system).routes.services["till"].timeout_s == 3.0


@pytest.mark.parametrize("seed", range(3))
def test_one_way_cut_of_the_leader(seed):
    system = build_fake_system(seed=seed, rules="set cut_hold_s 4", **HOSTS)
    InvariantChecker(system)
    old = find_leader(system).config.host.name
    others = [name for name in system.hosts if name != old]
    system.drop_messages(others, [old])
    system.run_for(8.0)
    assert find_leader(system) is not None
    assert find_leader(system).config.host.name != old
    system.heal()
    run_until_settled(system)


def test_loss_of_any_one_zone_leaves_a_quorum():
    for zone in ("zone-1", "zone-2", "zone-3"):
        system = build_fake_system(rules="set cut_hold_s 3", **HOSTS)
        InvariantChecker(system)
        for name, host in system.hosts.items():
            if host.config.host.zone == zone:
                system.crash_host(name)
        for endpoint in system.endpoints.values():
            endpoint.is_up = endpoint.is_up and endpoint.announcement.zone != zone
        system.run_for(10.0)
        assert are_units_owned(system)


def test_paused_router_does_not_send_by_outdated_routes():
    system = build_fake_system(checks_orders=False, rules="set timeout_s 1", **HOSTS)
    InvariantChecker(system)
    key = next(k for k in map(str, range(99)) if owner_zone(system, k) == "zone-1")
    system.pause_host("host-3-3")
    old = leader_state(system).routes.owners["till"][slot_of_key(key, SLOTS)].endpoint
    assert system.send_statement_and_wait("host-2-2", f"drain endpoint {old}", "drain").accepted
    system.run_for(5.0)
    runs = len(system.endpoints[old].runs)
    token = system.request("host-3-3", "till", f"/cards/{key}")
    system.resume_host("host-3-3")
    system.run_for(0.05)
    assert system.outcome(token) == "no-route-lease"
    assert len(system.endpoints[old].runs) == runs


def test_unit_waits_for_requests_in_flight_at_an_endpoint_that_checks_no_orders():
    system = build_fake_system(checks_orders=False, rules="set timeout_s 5", **HOSTS)
    InvariantChecker(system)
    key = next(k for k in map(str, range(99)) if owner_zone(system, k) == "zone-1")
    slot = slot_of_key(key, SLOTS)
    old = leader_state(system).routes.owners["till"][slot].endpoint
    system.endpoints[old].processing_time_s = 2.5
    token = system.request("host-2-2", "till", f"/cards/{key}", "POST")
    system.run_for(0.1)
    assert system.send_statement_and_wait("host-3-2", f"drain endpoint {old}", "drain").accepted
    system.run_for(1.0)
    assert leader_state(system).routes.owners["till"][slot].endpoint == ""
    system.run_for(3.0)
    assert system.outcome(token) == "ok"
    assert leader_state(system).routes.owners["till"][slot].endpoint not in ("", old)


@pytest.mark.parametrize("seed", range(4))
def test_new_lease_manager_respects_leases_of_its_isolated_predecessor(seed):
    system = build_fake_system(
        seed=seed, checks_orders=False, rules="set cut_hold_s 20, timeout_s 1", **HOSTS
    )
    InvariantChecker(system)
    zone = zone_without_leader(system)
    lease_manager = next(
        n for n, h in system.hosts.items() if h.node.lease_manager and h.config.host.zone == zone
    )
    others = [name for name in system.hosts if name != lease_manager]
    system.drop_messages([lease_manager], others)
    system.drop_messages(others, [lease_manager])
    epoch = leader_state(system).lease_managers[zone].epoch
    appointed = system.run_until(
        lambda: leader_state(system).lease_managers[zone].epoch > epoch, 5.0
    )
    assert appointed is not None
    # The isolated lease manager still grants leases to the router of its own host.
    victim = f"till-{zone[5:]}-1"
    operator_host = find_leader(system).config.host.name
    assert system.send_statement_and_wait(
        operator_host, f"drain endpoint {victim}", "drain"
    ).accepted
    system.run_for(8.0)
    assert are_units_owned(system)


@pytest.mark.parametrize("seed", range(4))
def test_endpoint_that_reaches_both_lease_managers_has_one_session_at_a_time(seed):
    system = build_fake_system(seed=seed, rules="set cut_hold_s 20", **HOSTS)
    InvariantChecker(system)
    zone = zone_without_leader(system)
    inside = [n for n in system.hosts if system.zone_of(n) == zone]
    old = next(n for n in inside if system.hosts[n].node.lease_manager)
    others = [name for name in system.hosts if name != old]
    system.drop_messages([old], others)
    system.drop_messages(others, [old])
    victim = f"till-{zone[5:]}-1"
    system.entry_hosts[victim] = next(n for n in inside if n != old)

    def has_session_at_new_lease_manager():
        nodes = [system.hosts[n].node for n in inside if n != old]
        sessions = [
            node.lease_manager.sessions.get(victim) for node in nodes if node.lease_manager
        ]
        return any(s and s.expires_s > system.now_s for s in sessions)

    assert system.run_until(has_session_at_new_lease_manager, 5.0) is not None
    # From now on announcements reach only the isolated lease manager, which may still grant
    # leases for a short time.
    system.entry_hosts[victim] = old
    system.run_for(8.0)
    assert are_units_owned(system)
