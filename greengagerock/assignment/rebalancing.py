"""Rebalancing of hot units over more endpoints: pure functions.

When neighbouring keys become hot, their holders refuse requests while other endpoints are idle.
Hot units are few, so spreading them moves only a small share of all keys. A unit that no
endpoint can serve is not moved here; ``isolation.py`` decides about it.
"""

import msgspec

# An endpoint that uses more than this share of its slots, and more than ``REBALANCED_FACTOR``
# times the fair load level, is a source of moves: requests wait at each short peak. With 0.4 and
# 1.4 times the fair level, a unit that used half of its holder moved every few seconds to one a
# little less busy.
HIGH_SHARE = 0.85
REBALANCED_FACTOR = 1.1
# A target that reports soon is preferred up to this multiple of the lowest level.
ALIGNED_LEVEL_FACTOR = 1.4
# A source gives up no more once it uses less than this share of its slots.
RELIEVED_SHARE = 0.6
# A unit that uses more than this share of its holder's slots can't be served beside others.
OVERSIZED_SHARE = 0.8
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
        weight: What it can serve, relative to an endpoint of usual speed.
        rows: Number of rows of its response, or ``None`` until a move needs it.
        hot_units: Its hot units with their rates, in order of the keys.
        is_known: Whether the weight comes from enough responses.
    """

    instance: object
    rate: float
    weight: float
    rows: int | None
    hot_units: list[tuple[int, float]] = []
    is_known: bool = True

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


class LoadLevels(msgspec.Struct, frozen=True):
    """Load levels of a service that endpoints are compared with, in requests per second.

    Attributes:
        fair: Level of each endpoint if the load were even.
        full: Level at which an endpoint uses all its slots.
    """

    fair: float
    full: float

    def is_overloaded(self, load):
        """Return whether an endpoint should lose units."""
        return load.level > max(REBALANCED_FACTOR * self.fair, HIGH_SHARE * self.full)

    def is_oversized(self, rate, load):
        """Return whether units with a rate are more than an endpoint can serve beside others."""
        return rate > OVERSIZED_SHARE * self.full * load.weight


def load_levels(endpoint_loads, mean_response_s, slots):
    """Return the ``LoadLevels`` of a service.

    Args:
        endpoint_loads: An ``EndpointLoad`` for each endpoint that accepts work.
        mean_response_s: Work time of an endpoint of usual speed, in seconds.
        slots: Number of requests that an endpoint runs at once.

    Examples:
        >>> loads = [EndpointLoad("a", 30.0, 1.0, 0), EndpointLoad("b", 0.0, 1.0, 0)]
        >>> load_levels(loads, 0.1, 3)
        LoadLevels(fair=15.0, full=30.0)
    """
    total_weight = sum(load.weight for load in endpoint_loads)
    fair = sum(load.rate for load in endpoint_loads) / (total_weight or 1.0)
    return LoadLevels(fair, slots / mean_response_s if mean_response_s > 0 else float("inf"))


def plan_rebalancing(endpoint_loads, mean_response_s, slots, is_aligned, max_chunks=MAX_CHUNKS):
    """Choose hot units that should move.

    Args:
        endpoint_loads: An ``EndpointLoad`` for each endpoint that accepts work; rates and rows
            are updated for each planned move.
        mean_response_s: Work time of an endpoint of usual speed, in seconds.
        slots: Number of requests that an endpoint runs at once.
        is_aligned: Function that returns whether a target usually reports soon after a source,
            so that the keys are without a holder for a short time only.
        max_chunks: Largest number of chunks.

    Returns:
        For each source's ``EndpointInstance``, a list of ``Chunk`` objects.
    """
    levels = load_levels(endpoint_loads, mean_response_s, slots)
    plans, chunk_count = {}, 0
    for source in sorted(endpoint_loads, key=lambda load: load.level, reverse=True):
        remaining = max_chunks - chunk_count
        chunks = plan_source(source, endpoint_loads, levels, is_aligned, remaining)
        if chunks:
            plans[source.instance] = chunks
            chunk_count += len(chunks)
    return plans


def plan_source(
    source,
    endpoint_loads,
    levels,
    is_aligned,
    max_chunks=MAX_CHUNKS,
    may_move=lambda unit: True,
):
    """Choose hot units of one endpoint that should move, those with the most load first.

    Args:
        source: The ``EndpointLoad`` of the endpoint.
        endpoint_loads: As of ``plan_rebalancing``.
        levels: The ``LoadLevels``.
        is_aligned: As of ``plan_rebalancing``.
        max_chunks: Largest number of chunks.
        may_move: Function that returns whether a unit has stayed long enough to move again.

    Returns:
        A list of ``Chunk`` objects.
    """
    chunks = []
    if len(endpoint_loads) < 2 or not levels.is_overloaded(source):
        return chunks
    relieved_level = max(REBALANCED_FACTOR * levels.fair, RELIEVED_SHARE * levels.full)
    movable = [
        (unit, rate)
        for unit, rate in source.hot_units
        if may_move(unit) and not levels.is_oversized(rate, source)
    ]
    for units, rate in cut_chunks(movable, CHUNK_SHARE * levels.fair):
        is_full = source.rows >= MAX_ROWS_AFTER_REBALANCING or len(chunks) >= max_chunks
        if is_full or source.level <= relieved_level:
            break
        target = choose_target(endpoint_loads, source, rate, is_aligned)
        if target is not None:
            move_rate(source, target, rate)
            chunks.append(Chunk(target.instance, units))
    return chunks


def move_rate(source, target, rate):
    """Update two ``EndpointLoad`` objects for a chunk that moves."""
    target.rate += rate
    target.rows += 1
    source.rate -= rate
    source.rows += 1


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
        if level_with_chunk(best_aligned) <= ALIGNED_LEVEL_FACTOR * level_with_chunk(best):
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
