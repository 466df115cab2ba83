"""Unavailable time and churn for values of ``cut_hold_s``, in virtual time.

Run with ``python -m bench.cut_hold``. A zone is cut off for 20 s or for 300 s,
or all of its hosts and endpoints fail. Callers inside and outside the zone
continuously send requests for all keys.
"""

import sys

from bench.report import write_report
from bench.unavailable_time import lose_zone
from greengagerock.testing.system_builders import (
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)

CUT_HOLDS_S = (2.5, 10.0, 60.0, 600.0)
SHORT_CUT_S = 20.0
LONG_CUT_S = 300.0
LOSS_OBSERVATION_S = 300.0
PROBE_INTERVAL_S = 0.5
KEYS = [f"card-{number}" for number in range(12)]
SEEDS = 3


def unserved_share(system, groups, seconds):
    """Return the share of key-seconds without a successful response, by group of hosts.

    Args:
        system: The fake system.
        groups: Names of hosts that send the requests, by name of the group.
        seconds: Duration.
    """
    failed_counts = dict.fromkeys(groups, 0)
    sent_count = 0
    end_s = system.now_s + seconds
    while system.now_s < end_s:
        tokens = {
            (group, key): system.request(system.random.choice(hosts), "till", f"/cards/{key}")
            for group, hosts in groups.items()
            for key in KEYS
        }
        sent_count += len(KEYS)
        system.run_for(PROBE_INTERVAL_S)
        for (group, _), token in tokens.items():
            failed_counts[group] += system.outcome(token) != "ok"
    return {group: count / sent_count for group, count in failed_counts.items()}


def run_case(case, hold_s, seed):
    """Return unserved shares by group, duration in seconds, and moved units of one case."""
    rules = f"set cut_hold_s {hold_s}, timeout_s 1"
    system = build_fake_system(hosts_per_zone=3, voters=5, seed=seed, slots=32, rules=rules)
    system.cuts_requests = True
    leader_zone = find_leader(system).config.host.zone
    isolated_zone = next(z for z in ("zone-1", "zone-2", "zone-3") if z != leader_zone)
    inside = [n for n, h in system.hosts.items() if h.config.host.zone == isolated_zone]
    outside = [n for n in system.hosts if n not in inside]
    moves_at_start = leader_state(system).move_count
    groups = {"outside": outside, "inside": inside}
    if case == "lost":
        lose_zone(system)
        shares = unserved_share(system, {"outside": outside}, LOSS_OBSERVATION_S)
        seconds = LOSS_OBSERVATION_S
    else:
        seconds = SHORT_CUT_S if case == "short" else LONG_CUT_S
        system.isolate_zone(isolated_zone)
        shares = unserved_share(system, groups, seconds)
        system.heal()
        run_until_settled(system, 120.0)
        system.run_for(10.0)
    return shares, seconds, leader_state(system).move_count - moves_at_start


def main():
    """Measure all cases and write the report."""
    rows = []
    for case in ("short", "long", "lost"):
        for hold_s in CUT_HOLDS_S:
            results = [run_case(case, hold_s, seed) for seed in range(SEEDS)]
            seconds = results[0][1]
            outside_shares = [shares["outside"] for shares, _, _ in results]
            inside_shares = [shares.get("inside", 1.0) for shares, _, _ in results]
            rows.append(
                {
                    "case": case,
                    "cut_s": seconds,
                    "cut_hold_s": hold_s,
                    "seeds": SEEDS,
                    "outside_unserved_s_per_key": mean_unserved_s(outside_shares, seconds),
                    "inside_unserved_s_per_key": mean_unserved_s(inside_shares, seconds),
                    "moves_of_32": round(sum(moves for _, _, moves in results) / SEEDS, 1),
                }
            )
    write_report("cut_hold", rows)


def mean_unserved_s(shares, seconds):
    """Return the mean of shares of a duration, in seconds."""
    return round(sum(shares) / len(shares) * seconds, 1)


if __name__ == "__main__":
    sys.exit(main())
