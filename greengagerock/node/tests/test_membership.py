"""Hosts of the system join, change address and are removed; keys are pinned and unpinned."""

import msgspec

from greengagerock.model import Unit, slot_of_key
from greengagerock.testing.invariants import InvariantChecker
from greengagerock.testing.model_builders import build_config
from greengagerock.testing.system_builders import (
    are_routers_current,
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)

SLOTS = 16


def voters_of(system):
    return next(iter(system.hosts.values())).config.initial_voters


def test_joining_host_receives_routes():
    system = build_fake_system()
    system.add_host(build_config("host-2-9", "zone-2", voters_of(system), 20_000))
    assert system.run_until(lambda: "host-2-9" in leader_state(system).hosts, 5.0) is not None
    run_until_settled(system)
    assert system.request_and_wait("host-2-9", "till", "/cards/card-1") == "ok"


def test_host_returns_with_another_address():
    system = build_fake_system(hosts_per_zone=3)
    InvariantChecker(system)
    name = next(
        n for n, h in system.hosts.items() if not h.node.voter and not h.node.lease_manager
    )
    system.crash_host(name)
    host = system.hosts[name]
    moved = msgspec.structs.replace(host.config.host, address="127.0.0.1:30000")
    host.config = msgspec.structs.replace(host.config, host=moved)
    system.by_address["127.0.0.1:30000"] = host
    system.start_host(name)
    system.run_for(3.0)
    run_until_settled(system)
    assert leader_state(system).hosts[name].address == "127.0.0.1:30000"
    assert system.request_and_wait(name, "till", "/cards/card-1") == "ok"


def test_forgotten_host_is_removed_from_all_state():
    system = build_fake_system(hosts_per_zone=3)
    name = next(
        n for n, h in system.hosts.items() if not h.node.voter and not h.node.lease_manager
    )
    system.crash_host(name)
    operator_host = find_leader(system).config.host.name
    assert system.send_statement_and_wait(operator_host, f"forget host {name}", "f").accepted
    state = leader_state(system)
    assert name not in state.hosts
    assert name not in state.routes.hosts
    assert all(name not in appointment.electorate for appointment in state.lease_managers.values())
    assert (
        system.send_statement_and_wait(operator_host, f"forget host {name}", "g").code
        == "unknown-name"
    )


def test_hundreds_of_nodes_fit_in_one_process():
    system = build_fake_system(zones=8, hosts_per_zone=40, voters=5, endpoints_per_zone=1)
    assert len(system.hosts) == 320
    assert are_routers_current(system)
    assert system.request_and_wait("host-8-40", "till", "/cards/card-1") == "ok"


def test_pinned_key_moves_without_its_slot_and_returns():
    for checks_orders in (True, False):
        system = build_fake_system(checks_orders=checks_orders, rules="set timeout_s 1")
        InvariantChecker(system)
        operator_host = find_leader(system).config.host.name
        pin = Unit("till", slot_of_key("hot", SLOTS), "hot")
        assert system.send_statement_and_wait(operator_host, "pin key hot in till", "pin").in_force
        owner = leader_state(system).routes.owner_of(pin)
        assert system.request_and_wait("host-2-2", "till", "/cards/hot") == "ok"
        assert system.send_statement_and_wait(
            operator_host, f"drain endpoint {owner.endpoint}", "drain"
        ).accepted
        system.run_for(1.0)
        run_until_settled(system)
        assert leader_state(system).routes.owner_of(pin).endpoint != owner.endpoint
        assert system.send_statement_and_wait(
            operator_host, "unpin key hot in till", "unpin"
        ).accepted
        done = system.run_until(lambda s=system: not leader_state(s).routes.pins, 10.0)
        assert done is not None
        run_until_settled(system)
        assert system.request_and_wait("host-3-2", "till", "/cards/hot") == "ok"
