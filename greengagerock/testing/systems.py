"""Ready-made fake systems for tests and measurements."""

import itertools

from greengagerock.model.timing import FOREIGN_LEASE_S
from greengagerock.testing.builders import build_announcement, build_config
from greengagerock.testing.fakes import FakeSystem

SETTLE_LIMIT_S = 30.0


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
    """Return a settled fake system with a service ``till`` that is divided by key.

    Voters are spread over the zones in turn, so that with three zones and five
    voters no zone holds a majority.

    Args:
        zones: Number of availability zones.
        hosts_per_zone: Hosts of the system in each zone.
        voters: Number of voters.
        endpoints_per_zone: Endpoints in each zone.
        slots: Slots of the service.
        rules: Rules of the service in the words of the language.
        checks_orders: Whether endpoints refuse outdated orders.
        seed: Seed of everything random.
        options: Passed on to ``FakeSystem``.
    """
    system = FakeSystem(seed, **options)
    places = [(f"zone-{z}", h) for h in range(1, hosts_per_zone + 1) for z in range(1, zones + 1)]
    names = [f"host-{zone[5:]}-{number}" for zone, number in places]
    ports = itertools.count(10_000, 10)
    addresses = {name: next(ports) for name in names}
    initial = {name: f"127.0.0.1:{addresses[name]}" for name in names[:voters]}
    for (zone, _), name in zip(places, names, strict=True):
        config = build_config(name, zone, initial, addresses[name])
        system.add_host(config, voter=name in initial)
    create = f"create service till keyed by path segment 2 slots {slots} {rules}"
    create_until_accepted(system, names[0], create)
    for zone in range(1, zones + 1):
        for number in range(1, endpoints_per_zone + 1):
            announcement = build_announcement(
                f"till-{zone}-{number}", zone=f"zone-{zone}", checks_orders=checks_orders
            )
            system.add_endpoint(announcement)
    if endpoints_per_zone:
        settle(system)
    return system


def create_until_accepted(system, host, statement):
    """Carry out a first change, which has to wait for the first leader."""
    for _ in range(40):
        answer = system.ask_and_wait(host, statement, "setup")
        if answer is not None and answer.accepted:
            return
        system.run_for(0.25)
    raise TimeoutError("the first change was not accepted")


def leader_of(system):
    """Return the host that leads with a valid lease, or ``None``."""
    for host in system.hosts.values():
        node = host.node
        if node and node.controller and host.paused_events is None and node.controller.leads:
            return host
    return None


def leader_state(system):
    """Return the leader's replicated state, or ``None``."""
    host = leader_of(system)
    return host.node.controller.state if host else None


def all_owned(system):
    """Return whether every unit has an owner and no transfer is running."""
    state = leader_state(system)
    if state is None or state.transfers:
        return False
    owners = [o for slots in state.routes.owners.values() for o in slots]
    if not owners:
        return False
    alive = {n for n, e in state.routes.endpoints.items() if e.takes_work}
    return all(owner.endpoint in alive for owner in owners)


def all_current(system):
    """Return whether every running host has the leader's routes and a full lease."""
    state = leader_state(system)
    if state is None:
        return False
    nodes = [h.node for h in system.hosts.values() if h.node]
    return all(
        node.history.version == state.routes.version
        and node.follower.lease.expires_s > system.now_s
        and node.follower.lease.age_s(system.now_s) < FOREIGN_LEASE_S
        for node in nodes
    )


def settle(system, limit_s=SETTLE_LIMIT_S):
    """Run until all units are owned and all routers are current.

    Raises:
        TimeoutError: If that takes longer than the limit.
    """
    if system.run_until(lambda: all_owned(system) and all_current(system), limit_s) is None:
        raise TimeoutError("the fake system did not settle")
