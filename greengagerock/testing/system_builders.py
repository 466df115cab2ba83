"""Builders of configured fake systems for tests and measurements, and queries of their state."""

import itertools

from greengagerock.model.timing import REMOTE_ZONE_LEASE_S
from greengagerock.testing.fake_system import FakeSystem
from greengagerock.testing.model_builders import build_announcement, build_config

SETTLE_TIMEOUT_S = 30.0


def build_fake_system(
    zones=3,
    hosts_per_zone=2,
    voters=3,
    endpoints_per_zone=2,
    slots=16,
    rules="",
    checks_orders=True,
    seed=1,
    **options,
):
    """Return a settled fake system with a keyed service ``till``.

    Voters are spread over the zones in turn, so that with three zones and five
    voters no zone holds a majority.

    Args:
        zones: Number of availability zones.
        hosts_per_zone: Hosts in each zone.
        voters: Number of voters.
        endpoints_per_zone: Endpoints in each zone.
        slots: Slots of the service.
        rules: Rules of the service, as the end of a ``create service`` statement.
        checks_orders: Whether endpoints refuse requests with an outdated fence.
        seed: Seed of all random choices.
        options: Further arguments of ``FakeSystem``.
    """
    system = FakeSystem(seed, **options)
    host_positions = [
        (f"zone-{z}", h) for h in range(1, hosts_per_zone + 1) for z in range(1, zones + 1)
    ]
    names = [f"host-{zone[5:]}-{number}" for zone, number in host_positions]
    ports = itertools.count(10_000, 10)
    port_by_host = {name: next(ports) for name in names}
    initial_voters = {name: f"127.0.0.1:{port_by_host[name]}" for name in names[:voters]}
    for (zone, _), name in zip(host_positions, names, strict=True):
        config = build_config(name, zone, initial_voters, port_by_host[name])
        system.add_host(config, voter=name in initial_voters)
    create = f"create service till keyed by path segment 2 slots {slots} {rules}"
    create_until_accepted(system, names[0], create)
    for zone in range(1, zones + 1):
        for number in range(1, endpoints_per_zone + 1):
            announcement = build_announcement(
                f"till-{zone}-{number}", zone=f"zone-{zone}", checks_orders=checks_orders
            )
            system.add_endpoint(announcement)
    if endpoints_per_zone:
        run_until_settled(system)
    return system


def create_until_accepted(system, host, statement):
    """Send a statement until it is accepted, which requires an elected leader.

    Raises:
        TimeoutError: If none of 40 attempts is accepted.
    """
    for _ in range(40):
        response = system.send_statement_and_wait(host, statement, "setup")
        if response is not None and response.accepted:
            return
        system.run_for(0.25)
    raise TimeoutError("no leader accepted the first change")


def find_leader(system):
    """Return the running host that leads with a valid lease, or ``None``."""
    for host in system.hosts.values():
        node = host.node
        if node and node.controller and host.paused_events is None and node.controller.is_leading:
            return host
    return None


def leader_state(system):
    """Return the leader's replicated state, or ``None``."""
    host = find_leader(system)
    return host.node.controller.state if host else None


def are_units_owned(system):
    """Return whether every unit has an available owner and no transfer is running."""
    state = leader_state(system)
    if state is None or state.transfers:
        return False
    owners = [o for slots in state.routes.owners.values() for o in slots]
    if not owners:
        return False
    available = {n for n, e in state.routes.endpoints.items() if e.accepts_new_requests}
    return all(owner.endpoint in available for owner in owners)


def are_routers_current(system):
    """Return whether every running host has the leader's routes and a recent, valid lease."""
    state = leader_state(system)
    if state is None:
        return False
    nodes = [h.node for h in system.hosts.values() if h.node]
    return all(
        node.history.version == state.routes.version
        and node.lease_manager_client.lease.expires_s > system.now_s
        and node.lease_manager_client.lease.contact_age_s(system.now_s) < REMOTE_ZONE_LEASE_S
        for node in nodes
    )


def run_until_settled(system, limit_s=SETTLE_TIMEOUT_S):
    """Advance virtual time until all units are owned and all routers are up to date.

    Raises:
        TimeoutError: If that takes longer than the limit.
    """
    if (
        system.run_until(lambda: are_units_owned(system) and are_routers_current(system), limit_s)
        is None
    ):
        raise TimeoutError("units without an owner or outdated routers at the time limit")
