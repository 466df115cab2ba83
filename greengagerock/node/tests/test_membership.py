"""Hosts of the system join, change address and are removed; keys are pinned and unpinned."""

import msgspec

from greengagerock.model import Unit, slot_of_key
from greengagerock.testing.invariants import InvariantWatch
from greengagerock.testing.model_builders import build_config
from greengagerock.testing.system_builders import (
    all_current,
    build_fake_system,
    leader_of,
    leader_state,
    settle,
)

SLOTS = 16


def voters_of(system):
    return next(iter(system.hosts.values())).config.initial_voters


def test_joining_host_receives_routes():
    system = build_fake_system()
    system.add_host(build_config("host-2-9", "zone-2", voters_of(system), 20_000))
    assert system.run_until(lambda: "host-2-9" in leader_state(system).hosts, 5.0) is not None
    settle(system)
    assert system.try_request("host-2-9", "till", "/cards/card-1") == "ok"


def test_host_returns_with_another_address():
    system = build_fake_system(hosts_per_zone=3)
    InvariantWatch(system)
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
    settle(system)
    assert leader_state(system).hosts[name].address == "127.0.0.1:30000"
    assert system.try_request(name, "till", "/cards/card-1") == "ok"


def test_forgotten_host_is_removed_from_all_state():
    system = build_fake_system(hosts_per_zone=3)
    name = next(
        n for n, h in system.hosts.items() if not h.node.voter and not h.node.lease_manager
    )
    system.crash_host(name)
    operator_host = leader_of(system).config.host.name
    assert system.ask_and_wait(operator_host, f"forget host {name}", "f").accepted
    state = leader_state(system)
    assert name not in state.hosts
    assert name not in state.routes.hosts
    assert all(name not in appointment.electorate for appointment in state.lease_managers.values())
    assert system.ask_and_wait(operator_host, f"forget host {name}", "g").code == "unknown-name"


def test_hundreds_of_nodes_fit_in_one_process():
    system = build_fake_system(zones=8, hosts_per_zone=40, voters=5, endpoints_per_zone=1)
    assert len(system.hosts) == 320
    assert all_current(system)
    assert system.try_request("host-8-40", "till", "/cards/card-1") == "ok"


def test_pinned_key_moves_without_its_slot_and_returns():
    for checks_orders in (True, False):
        system = build_fake_system(checks_orders=checks_orders, rules="set timeout_s 1")
        InvariantWatch(system)
        operator_host = leader_of(system).config.host.name
        pin = Unit("till", slot_of_key("hot", SLOTS), "hot")
        assert system.ask_and_wait(operator_host, "pin key hot in till", "pin").in_force
        owner = leader_state(system).routes.owner_of(pin)
        assert system.try_request("host-2-2", "till", "/cards/hot") == "ok"
        assert system.ask_and_wait(
            operator_host, f"drain endpoint {owner.endpoint}", "drain"
        ).accepted
        system.run_for(1.0)
        settle(system)
        assert leader_state(system).routes.owner_of(pin).endpoint != owner.endpoint
        assert system.ask_and_wait(operator_host, "unpin key hot in till", "unpin").accepted
        done = system.run_until(lambda s=system: not leader_state(s).routes.pins, 10.0)
        assert done is not None
        settle(system)
        assert system.try_request("host-3-2", "till", "/cards/hot") == "ok"
