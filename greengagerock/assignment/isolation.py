"""Placement of units that need most of an endpoint, and of the units beside them: pure functions.

Answers the load of single keys. A unit that alone is more than an endpoint can serve gains
nothing from moves between endpoints of like speed; each of them only interrupts its service. It
stays, or moves once to a clearly faster endpoint, and the other units of its holder leave, so
that their callers are served elsewhere.
"""

from greengagerock.assignment.rebalancing import (
    MAX_ROWS_AFTER_REBALANCING,
    MAX_TARGET_LEVEL_SHARE,
    REBALANCED_FACTOR,
    Chunk,
    move_rate,
)

# An oversized unit moves only to an endpoint that serves at least this multiple.
MIN_SPEED_RATIO = 4 / 3
# The other units of a holder leave from the first share of its slots that it uses until it is
# down to the second. They carry little load each, so below that the keys that change hands cost
# more than the waits that they save, and noise in the counts would move them.
ISOLATION_SHARE = 0.95
REST_SHARE = 0.8
# Largest number of units in a chunk that leaves a holder.
MAX_CHUNK_UNITS = 16


def plan_oversized(source, endpoint_loads, levels, is_aligned, may_move):
    """Choose endpoints for units that one endpoint holds and can't serve.

    The unit with the most load stays unless another endpoint is known to be clearly faster.
    Further ones leave it, as it can't serve even one.

    Args:
        source: The ``EndpointLoad`` of the endpoint.
        endpoint_loads: An ``EndpointLoad`` for each endpoint that accepts work, updated for each
            move.
        levels: The ``LoadLevels``.
        is_aligned: Function that returns whether a target usually reports soon after a source.
        may_move: Function that returns whether a unit has not been placed before.

    Returns:
        A list of ``Chunk`` objects with one unit each.
    """
    oversized = sorted(
        (pair for pair in source.hot_units if levels.is_oversized(pair[1], source)),
        key=lambda pair: pair[1],
    )
    chunks, hosts = [], []
    for number, (unit, rate) in enumerate(oversized):
        is_last = number == len(oversized) - 1
        min_weight = source.weight * (MIN_SPEED_RATIO if is_last else 1 / MIN_SPEED_RATIO)
        candidates = [
            load
            for load in endpoint_loads
            if load not in hosts and (load.is_known and source.is_known or not is_last)
        ]
        target = _choose_host(source, rate, candidates, levels, is_aligned, min_weight)
        if target is None or not may_move(unit):
            continue
        move_rate(source, target, rate)
        hosts.append(target)
        chunks.append(Chunk(target.instance, (unit,)))
    return chunks


def _choose_host(source, rate, endpoint_loads, levels, is_aligned, min_weight):
    """Return the fastest ``EndpointLoad`` without hot units that has room, or ``None``.

    Among endpoints of like speed, one that reports soon after the source is preferred.
    """
    limit = max(REST_SHARE * levels.full, REBALANCED_FACTOR * levels.fair)
    candidates = [
        load
        for load in endpoint_loads
        if load is not source
        and not load.hot_units
        and load.weight >= min_weight
        and load.level <= limit
        and (load.rate + rate) / load.weight < MAX_TARGET_LEVEL_SHARE * source.level
        and load.rows < MAX_ROWS_AFTER_REBALANCING
    ]
    if not candidates:
        return None
    fastest = max(load.weight for load in candidates)
    like = [load for load in candidates if load.weight * MIN_SPEED_RATIO >= fastest]
    aligned = [load for load in like if is_aligned(source.instance, load.instance)]
    return min(aligned or like, key=lambda load: load.level)


def must_isolate(load, levels):
    """Return whether units without much load should leave an endpoint with hot units."""
    limit = max(REBALANCED_FACTOR * levels.fair, ISOLATION_SHARE * levels.full)
    return bool(load.hot_units) and load.level > limit


def plan_isolation(source, other_units, endpoint_loads, levels, is_aligned, max_units, max_rows):
    """Choose units that leave an endpoint with hot units, those with the most load first.

    Args:
        source: The ``EndpointLoad`` of the endpoint.
        other_units: Its units that are not hot with their expected rates, in order of the keys.
        endpoint_loads: An ``EndpointLoad`` for each endpoint that accepts work, updated for each
            move.
        levels: The ``LoadLevels``.
        is_aligned: Function that returns whether a target usually reports soon after a source.
        max_units: Largest number of units that leave.
        max_rows: Largest number of chunks, each of which needs a row in a response.

    Returns:
        A list of ``Chunk`` objects.
    """
    if not must_isolate(source, levels):
        return []
    limit = max(REST_SHARE * levels.full, REBALANCED_FACTOR * levels.fair)
    targets = [load for load in endpoint_loads if load is not source and not load.hot_units]
    aligned = [load for load in targets if is_aligned(source.instance, load.instance)]
    chunks, unit_count = [], 0
    for units, rate in _runs_of_units(other_units):
        if unit_count + len(units) > max_units or len(chunks) >= max_rows:
            break
        if source.level <= limit:
            break
        target = _least_loaded(aligned, rate, limit) or _least_loaded(targets, rate, limit)
        if target is None:
            break
        move_rate(source, target, rate)
        chunks.append(Chunk(target.instance, units))
        unit_count += len(units)
    return chunks


def _least_loaded(loads, rate, limit):
    candidates = [
        load
        for load in loads
        if load.rows < MAX_ROWS_AFTER_REBALANCING and (load.rate + rate) / load.weight <= limit
    ]
    return min(candidates, key=lambda load: (load.rate + rate) / load.weight, default=None)


def _runs_of_units(units_with_rates):
    """Return runs of neighbouring units with their rates, the most load for each key first."""
    runs = []
    for unit, rate in units_with_rates:
        if runs and runs[-1][0][-1] == unit - 1 and len(runs[-1][0]) < MAX_CHUNK_UNITS:
            runs[-1][0].append(unit)
            runs[-1][1] += rate
        else:
            runs.append([[unit], rate])
    runs.sort(key=lambda run: run[1] / len(run[0]), reverse=True)
    return [(tuple(units), rate) for units, rate in runs]
