"""Weighs ``cut_hold_s`` by unavailable time and churn, in virtual time.

Run with ``python -m bench.cut_hold``. A zone is cut off for 20 s or for long,
or is really lost. Callers inside the zone and outside it send requests for
all keys all the time.
"""

import sys

from bench.report import write_report
from bench.unavailable_time import lose_zone
from greengagerock.testing.systems import build_fake_system, leader_of, leader_state, settle

HOLDS_S = (2.5, 10.0, 60.0, 600.0)
SHORT_CUT_S = 20.0
LONG_CUT_S = 300.0
LOSS_WATCH_S = 300.0
PROBE_INTERVAL_S = 0.5
KEYS = [f"card-{number}" for number in range(12)]
SEEDS = 3


def unserved_share(system, groups, seconds):
    """Return for each group of hosts the share of key-seconds without an answer."""
    failed = dict.fromkeys(groups, 0)
    sent = 0
    end_s = system.now_s + seconds
    while system.now_s < end_s:
        tokens = {
            (group, key): system.request(system.random.choice(hosts), "till", f"/cards/{key}")
            for group, hosts in groups.items()
            for key in KEYS
        }
        sent += len(KEYS)
        system.run_for(PROBE_INTERVAL_S)
        for (group, _), token in tokens.items():
            failed[group] += system.outcome(token) != "ok"
    return {group: count / sent for group, count in failed.items()}


def run_case(case, hold_s, seed):
    """Return unserved share outside and inside, and moved units, of one case."""
    rules = f"set cut_hold_s {hold_s}, timeout_s 1"
    system = build_fake_system(hosts_per_zone=3, voters=5, seed=seed, slots=32, rules=rules)
    system.cuts_requests = True
    leader_zone = leader_of(system).config.host.zone
    zone = next(z for z in ("zone-1", "zone-2", "zone-3") if z != leader_zone)
    inside = [n for n, h in system.hosts.items() if h.config.host.zone == zone]
    outside = [n for n in system.hosts if n not in inside]
    moves = leader_state(system).move_count
    groups = {"outside": outside, "inside": inside}
    if case == "lost":
        lose_zone(system)
        shares = unserved_share(system, {"outside": outside}, LOSS_WATCH_S)
        seconds = LOSS_WATCH_S
    else:
        seconds = SHORT_CUT_S if case == "short" else LONG_CUT_S
        system.cut_zone(zone)
        shares = unserved_share(system, groups, seconds)
        system.heal()
        settle(system, 120.0)
        system.run_for(10.0)
    return shares, seconds, leader_state(system).move_count - moves


def main():
    """Measure all cases and write the report."""
    rows = []
    for case in ("short", "long", "lost"):
        for hold_s in HOLDS_S:
            results = [run_case(case, hold_s, seed) for seed in range(SEEDS)]
            seconds = results[0][1]
            outside = [shares["outside"] for shares, _, _ in results]
            inside = [shares.get("inside", 1.0) for shares, _, _ in results]
            rows.append(
                {
                    "case": case,
                    "cut_s": seconds,
                    "cut_hold_s": hold_s,
                    "seeds": SEEDS,
                    "outside_unserved_s_per_key": mean(outside, seconds),
                    "inside_unserved_s_per_key": mean(inside, seconds),
                    "moves_of_32": round(sum(moves for _, _, moves in results) / SEEDS, 1),
                }
            )
    write_report("cut_hold", rows)


def mean(shares, seconds):
    """Return the mean share as seconds."""
    return round(sum(shares) / len(shares) * seconds, 1)


if __name__ == "__main__":
    sys.exit(main())
