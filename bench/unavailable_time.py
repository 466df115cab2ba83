"""Unavailable time for each kind of loss, over many seeds, in virtual time.

Run with ``python -m bench.unavailable_time [SEEDS]``.
"""

import statistics
import sys

from bench.report import write_report
from greengagerock.testing.system_builders import (
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)

SEEDS = 60
PROBE_INTERVAL_S = 0.02
OBSERVATION_S = 12.0
KEYS = [f"card-{number}" for number in range(24)]
RULES = "set cut_hold_s 3, timeout_s 1"


def lose_endpoint(system):
    """Kill one endpoint."""
    system.endpoints["till-1-1"].is_up = False


def freeze_endpoint(system):
    """Suspend one endpoint."""
    system.endpoints["till-1-1"].frozen = True


def lose_leader(system):
    """Kill the leader's host."""
    system.crash_host(find_leader(system).config.host.name)


def lose_keeper(system):
    """Kill the lease manager of a zone other than the leader's."""
    leader = find_leader(system).config.host
    name = next(
        n
        for n, h in system.hosts.items()
        if h.node.lease_manager and h.config.host.zone != leader.zone
    )
    system.crash_host(name)


def lose_leader_and_endpoint(system):
    """Kill the leader's host and one endpoint at the same time."""
    lose_leader(system)
    lose_endpoint(system)


def lose_entry_host(system):
    """Kill a host that is neither a voter nor a lease manager."""
    name = next(
        n for n, h in system.hosts.items() if not h.node.lease_manager and h.node.voter is None
    )
    system.crash_host(name)


def lose_zone(system):
    """Kill all hosts and endpoints of a zone other than the leader's."""
    leader = find_leader(system).config.host
    zone = next(z for z in ("zone-1", "zone-2", "zone-3") if z != leader.zone)
    for name, host in system.hosts.items():
        if host.config.host.zone == zone:
            system.crash_host(name)
    for endpoint in system.endpoints.values():
        endpoint.is_up = endpoint.is_up and endpoint.announcement.zone != zone


def drain_endpoint(system):
    """Drain one endpoint with an operator's statement."""
    host = find_leader(system).config.host.name
    system.send_statement(host, "drain endpoint till-1-1", "drain")


LOSSES = (
    lose_endpoint,
    freeze_endpoint,
    lose_leader,
    lose_keeper,
    lose_leader_and_endpoint,
    lose_entry_host,
    lose_zone,
    drain_endpoint,
)


def longest_gaps(system, hosts):
    """Return the longest time without a successful response for each key, in seconds.

    Each probe of a key goes to a random one of the hosts, which all survived the loss. A key
    counts as served when a probe gets a successful response within ``PROBE_INTERVAL_S``.
    """
    last_served_s = dict.fromkeys(KEYS, system.now_s)
    longest_gap_s = dict.fromkeys(KEYS, 0.0)
    end_s = system.now_s + OBSERVATION_S
    while system.now_s < end_s:
        tokens = {
            key: system.request(system.random.choice(hosts), "till", f"/cards/{key}")
            for key in KEYS
        }
        system.run_for(PROBE_INTERVAL_S)
        for key, token in tokens.items():
            if system.outcome(token) == "ok":
                longest_gap_s[key] = max(longest_gap_s[key], system.now_s - last_served_s[key])
                last_served_s[key] = system.now_s
    for key in KEYS:
        longest_gap_s[key] = max(longest_gap_s[key], system.now_s - last_served_s[key])
    return longest_gap_s


def measure(loss, seed, checks_orders):
    """Return the longest unavailable time of any key in seconds, and the number of moved units."""
    system = build_fake_system(
        hosts_per_zone=3, voters=5, seed=seed, checks_orders=checks_orders, rules=RULES
    )
    system.run_for(system.random.uniform(0, 1))
    moves_at_start = leader_state(system).move_count
    loss(system)
    hosts = [name for name, host in system.hosts.items() if host.node is not None]
    gaps = longest_gaps(system, hosts)
    run_until_settled(system)
    return max(gaps.values()), leader_state(system).move_count - moves_at_start


def main(arguments):
    """Measure all losses and write the report."""
    seeds = int(arguments[0]) if arguments else SEEDS
    rows = []
    for checks_orders in (True, False):
        for loss in LOSSES:
            results = [measure(loss, seed, checks_orders) for seed in range(seeds)]
            gaps = sorted(gap for gap, _ in results)
            rows.append(
                {
                    "loss": loss.__name__,
                    "checks_orders": checks_orders,
                    "seeds": seeds,
                    "median_s": round(statistics.median(gaps), 2),
                    "p95_s": round(gaps[int(len(gaps) * 0.95) - 1], 2),
                    "max_s": round(gaps[-1], 2),
                    "within_4_s": sum(1 for gap in gaps if gap <= 4.0),
                    "mean_moves": round(statistics.mean(moves for _, moves in results), 1),
                }
            )
    write_report("unavailable_time", rows)


if __name__ == "__main__":
    main(sys.argv[1:])
