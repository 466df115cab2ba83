"""Placement compared with baselines: churn, imbalance and time.

Run with ``python -m bench.placement``. Baselines: the slot number modulo the number
of endpoints, and consistent hashing with 64 points for each endpoint.
"""

import bisect
import time

import xxhash

from bench.report import write_report
from greengagerock.control.queries import imbalance_of_counts
from greengagerock.model import Unit
from greengagerock.placement import plan_moves
from greengagerock.testing.model_builders import build_endpoint

POINTS_PER_ENDPOINT = 64
SIZES = (("nakhleh", 1024, 25), ("valiyaveettil", 1024, 30), ("large", 65_536, 1000))


def endpoint_names(count):
    """Return the names of ``count`` endpoints."""
    return [f"e{number}" for number in range(count)]


def modulo_owners(slots, names):
    """Return the owner of each slot by the slot number modulo the number of endpoints."""
    return [names[slot % len(names)] for slot in range(slots)]


def consistent_hash_owners(slots, names):
    """Return the owner of each slot by consistent hashing."""
    ring = sorted(
        (xxhash.xxh3_64_intdigest(f"{name}/{point}".encode()), name)
        for name in names
        for point in range(POINTS_PER_ENDPOINT)
    )
    hashes = [position for position, _ in ring]
    owners = []
    for slot in range(slots):
        index = bisect.bisect(hashes, xxhash.xxh3_64_intdigest(str(slot).encode()))
        owners.append(ring[index % len(ring)][1])
    return owners


def planned_owners(slots, names, owners):
    """Return the owner of each slot by ``plan_moves``, without moves for balance.

    Args:
        slots: Number of slots.
        names: Names of the endpoints.
        owners: Owner of each slot before, or ``None`` for a first placement.
    """
    endpoints = [build_endpoint(name) for name in names]
    units = [(Unit("till", slot), owners[slot] if owners else "") for slot in range(slots)]
    result = list(owners or [""] * slots)
    for move in plan_moves(units, endpoints, 0):
        result[move.unit.slot] = move.target
    return result


def count_moves(old_owners, new_owners):
    """Return the number of slots whose owner differs."""
    return sum(1 for old, new in zip(old_owners, new_owners, strict=True) if old != new)


def imbalance(owners, names):
    """Return the largest number of slots of an endpoint divided by the mean."""
    counts = dict.fromkeys(names, 0)
    for owner in owners:
        counts[owner] += 1
    return round(imbalance_of_counts(list(counts.values())).max_over_mean, 3)


def main():
    """Measure the loss of one endpoint with each placement and write the report."""
    rows = []
    for size, slots, count in SIZES:
        names = endpoint_names(count)
        remaining_names = names[1:]
        start_s = time.perf_counter()
        first_owners = planned_owners(slots, names, None)
        first_ms = (time.perf_counter() - start_s) * 1000
        start_s = time.perf_counter()
        owners_after_loss = planned_owners(slots, remaining_names, first_owners)
        loss_ms = (time.perf_counter() - start_s) * 1000
        rows.append(
            {
                "size": size,
                "slots": slots,
                "endpoints": count,
                "first_ms": round(first_ms, 1),
                "loss_ms": round(loss_ms, 1),
                "loss_moves": count_moves(first_owners, owners_after_loss),
                "loss_moves_modulo": count_moves(
                    modulo_owners(slots, names), modulo_owners(slots, remaining_names)
                ),
                "loss_moves_consistent": count_moves(
                    consistent_hash_owners(slots, names),
                    consistent_hash_owners(slots, remaining_names),
                ),
                "max_over_mean": imbalance(owners_after_loss, remaining_names),
                "max_over_mean_modulo": imbalance(
                    modulo_owners(slots, remaining_names), remaining_names
                ),
                "max_over_mean_consistent": imbalance(
                    consistent_hash_owners(slots, remaining_names), remaining_names
                ),
            }
        )
    write_report("placement", rows)


if __name__ == "__main__":
    main()
