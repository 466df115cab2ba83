"""Rebalancing of hot units over more endpoints: pure functions.

When neighbouring keys become hot, their holders refuse requests while other endpoints are idle.
Hot units are few, so spreading them moves only a small share of all keys.
"""

import msgspec

# An endpoint with more than ``OVERLOAD_FACTOR`` times the fair load level is a source of moves,
# until it is down to ``REBALANCED_FACTOR``.
OVERLOAD_FACTOR = 1.4
REBALANCED_FACTOR = 1.1
# An endpoint that uses less than this share of its slots is no source, however uneven the load.
BUSY_SHARE = 0.4
# Approximate load of a chunk of neighbouring units, as a share of the fair load level.
CHUNK_SHARE = 0.15
# Highest load level of a target after a move, as a share of the source's level before it.
MAX_TARGET_LEVEL_SHARE = 0.8
# Rows of a response that rebalancing may use; the rest is for keys of endpoints that leave.
MAX_ROWS_AFTER_REBALANCING = 125
# Largest number of chunks in one plan.
MAX_CHUNKS = 64


class EndpointLoad(msgspec.Struct):
    """Load of one endpoint instance.

    Attributes:
        instance: Its ``EndpointInstance``.
        rate: Requests per second for its keys.
        weight: Its share of the load relative to an equal share.
        rows: Number of rows of its response.
        hot_units: Its hot units with their rates, in order of the keys.
    """

    instance: object
    rate: float
    weight: float
    rows: int
    hot_units: list[tuple[int, float]] = []

    @property
    def level(self):
        """Load relative to the weight."""
        return self.rate / self.weight


class Chunk(msgspec.Struct, frozen=True):
    """Neighbouring units that move together.

    Attributes:
        target: The ``EndpointInstance`` that the units move to.
        units: The units.
    """

    target: object
    units: tuple[int, ...]


def plan_rebalancing(endpoint_loads, mean_response_s, slots, is_aligned):
    """Choose hot units that should move.

    Args:
        endpoint_loads: An ``EndpointLoad`` for each endpoint that accepts work; rates and rows
            are updated for each planned move.
        mean_response_s: Mean response time in seconds.
        slots: Number of requests that an endpoint runs at once.
        is_aligned: Function that returns whether a target usually reports soon after a source,
            so that the keys are without a holder for a short time only.

    Returns:
        For each source's ``EndpointInstance``, a list of ``Chunk`` objects.
    """
    total_weight = sum(load.weight for load in endpoint_loads)
    if len(endpoint_loads) < 2 or not total_weight:
        return {}
    fair_level = sum(load.rate for load in endpoint_loads) / total_weight
    plans, chunks = {}, 0
    for source in sorted(endpoint_loads, key=lambda load: load.level, reverse=True):
        if source.level <= OVERLOAD_FACTOR * fair_level:
            break
        if source.rate * mean_response_s < BUSY_SHARE * slots:
            continue
        for units, rate in cut_chunks(source.hot_units, CHUNK_SHARE * fair_level):
            is_full = source.rows >= MAX_ROWS_AFTER_REBALANCING or chunks >= MAX_CHUNKS
            if is_full or source.level <= REBALANCED_FACTOR * fair_level:
                break
            target = choose_target(endpoint_loads, source, rate, is_aligned)
            if target is None:
                continue
            target.rate += rate
            target.rows += 1
            source.rate -= rate
            source.rows += 1
            chunks += 1
            plans.setdefault(source.instance, []).append(Chunk(target.instance, units))
    return plans


def choose_target(endpoint_loads, source, rate, is_aligned):
    """Return the ``EndpointLoad`` with the lowest level after one more chunk, or ``None``.

    An instance that reports soon after the source is preferred unless its level is much higher.
    """
    limit = MAX_TARGET_LEVEL_SHARE * source.level

    def level_with_chunk(load):
        return (load.rate + rate) / load.weight

    candidates = [
        load
        for load in endpoint_loads
        if load is not source
        and load.rows < MAX_ROWS_AFTER_REBALANCING
        and level_with_chunk(load) < limit
    ]
    if not candidates:
        return None
    aligned = [load for load in candidates if is_aligned(source.instance, load.instance)]
    best = min(candidates, key=level_with_chunk)
    if aligned:
        best_aligned = min(aligned, key=level_with_chunk)
        if level_with_chunk(best_aligned) <= OVERLOAD_FACTOR * level_with_chunk(best):
            return best_aligned
    return best


def cut_chunks(hot_units, chunk_rate):
    """Split hot units into chunks of neighbours, the hottest chunk first.

    Args:
        hot_units: Units with their rates, in order of the keys.
        chunk_rate: Rate at which a chunk is complete.

    Returns:
        A list of pairs: a tuple of units, and their rate.

    Examples:
        >>> cut_chunks([(1, 2.0), (2, 2.0), (3, 2.0), (8, 7.0)], 4.0)
        [((8,), 7.0), ((1, 2), 4.0), ((3,), 2.0)]
    """
    chunks = []
    units, total = [], 0.0
    for unit, rate in hot_units:
        if units and (unit != units[-1] + 1 or total >= chunk_rate):
            chunks.append((tuple(units), total))
            units, total = [], 0.0
        units.append(unit)
        total += rate
    if units:
        chunks.append((tuple(units), total))
    return sorted(chunks, key=lambda chunk: chunk[1], reverse=True)
