"""Moves hot units of one service from overloaded endpoints to others, and back later."""

from greengagerock.assignment.block_loads import BlockLoads
from greengagerock.assignment.rebalancing import (
    OVERLOAD_FACTOR,
    Chunk,
    EndpointLoad,
    plan_rebalancing,
)
from greengagerock.assignment.units import KEYS_PER_BLOCK, KEYS_PER_UNIT

# Shortest time between two plans.
PLAN_INTERVAL_S = 0.3
# Decayed number of requests from which a block counts as hot; equals four requests per second.
MIN_HOT_COUNT = 6.0
# Time for which a moved unit stays at its target, until its new load has been counted.
SETTLING_S = 2.0
# Time after which a unit that is no longer hot returns, so that ranges do not fragment over days.
RETURN_AFTER_S = 20.0
UNITS_PER_BLOCK = KEYS_PER_BLOCK // KEYS_PER_UNIT


class TemporaryMove:
    """A hot unit that was moved and returns later.

    Attributes:
        origin: The ``EndpointInstance`` that the unit returns to.
        last_hot_s: When the unit was last hot.
    """

    __slots__ = ("last_hot_s", "origin")

    def __init__(self, origin, last_hot_s):
        self.origin = origin
        self.last_hot_s = last_hot_s


class HotUnitPlanner:
    """Plans the moves of hot units, and their return once they are no longer hot.

    Attributes:
        block_loads: The ``BlockLoads``.
        chunks: Planned ``Chunk`` objects by source.
        temporary_moves: A ``TemporaryMove`` for each unit that was moved and has not returned.
        settling_until_s: For each unit that has just moved, when it may move again.
        last_plan_s: When moves were last planned.
    """

    def __init__(self):
        self.block_loads = BlockLoads()
        self.chunks = {}
        self.temporary_moves = {}
        self.settling_until_s = {}
        self.last_plan_s = float("-inf")

    def plan(self, available, assignments, is_aligned, now_s):
        """Plan the moves and returns of units if an interval has passed.

        Args:
            available: Instances that accept work.
            assignments: The service's ``KeyAssignments``.
            is_aligned: Function that returns whether a target usually reports soon after a
                source.
            now_s: Monotonic time in seconds.

        Returns:
            The new chunks of hot units by source, without the units that return.
        """
        if now_s - self.last_plan_s < PLAN_INTERVAL_S:
            return {}
        self.last_plan_s = now_s
        self.block_loads.decay(now_s)
        self.settling_until_s = {
            u: until_s for u, until_s in self.settling_until_s.items() if until_s > now_s
        }
        self._plan_returns(available, assignments, now_s)
        endpoint_loads = self._endpoint_loads(available, assignments)
        total_weight = sum(load.weight for load in endpoint_loads)
        fair_level = sum(load.rate for load in endpoint_loads) / (total_weight or 1.0)
        if not any(load.level > OVERLOAD_FACTOR * fair_level for load in endpoint_loads):
            return {}
        self._add_hot_units(endpoint_loads, assignments)
        slots = min(instance.report.slots for instance in available)
        plans = plan_rebalancing(
            endpoint_loads, assignments.weights.mean_response_s, slots, is_aligned
        )
        for source, chunks in plans.items():
            self.chunks.setdefault(source, []).extend(chunks)
            for unit in (unit for chunk in chunks for unit in chunk.units):
                self.settling_until_s[unit] = now_s + SETTLING_S
                self.temporary_moves.setdefault(unit, TemporaryMove(source, now_s))
        return plans

    def pop_due_chunks(self, source):
        """Remove and return the chunks that a source has to release now."""
        return self.chunks.pop(source, ())

    def forget(self, instance):
        """Drop the data of an instance that has ended."""
        self.chunks.pop(instance, None)
        self.temporary_moves = {
            unit: move
            for unit, move in self.temporary_moves.items()
            if move.origin is not instance
        }

    def _endpoint_loads(self, available, assignments):
        rates = dict.fromkeys(available, 0.0)
        for block in self.block_loads.counts:
            rate = self.block_loads.rate(block) / UNITS_PER_BLOCK
            for unit in units_of_block(block):
                owner = assignments.owners[unit]
                if owner in rates:
                    rates[owner] += rate
        return [
            EndpointLoad(instance, rate, assignments.weights.weight(instance.name), 0)
            for instance, rate in rates.items()
        ]

    def _add_hot_units(self, endpoint_loads, assignments):
        load_by_instance = {load.instance: load for load in endpoint_loads}
        for load in endpoint_loads:
            load.rows = assignments.count_rows(load.instance)
        for block in sorted(self.block_loads.hot_blocks(MIN_HOT_COUNT)):
            rate = self.block_loads.rate(block) / UNITS_PER_BLOCK
            for unit in units_of_block(block):
                load = load_by_instance.get(assignments.owners[unit])
                if load is not None and unit not in self.settling_until_s:
                    load.hot_units.append((unit, rate))

    def _plan_returns(self, available, assignments, now_s):
        hot_blocks = self.block_loads.hot_blocks(MIN_HOT_COUNT)
        for unit, move in list(self.temporary_moves.items()):
            holder = assignments.owners[unit]
            if unit // UNITS_PER_BLOCK in hot_blocks:
                move.last_hot_s = now_s
            elif holder is move.origin or move.origin not in available:
                if unit not in self.settling_until_s:
                    del self.temporary_moves[unit]
            elif holder is not None and now_s - move.last_hot_s > RETURN_AFTER_S:
                del self.temporary_moves[unit]
                self.chunks.setdefault(holder, []).append(Chunk(move.origin, (unit,)))


def units_of_block(block):
    """Return the units whose keys are counted together.

    Examples:
        >>> list(units_of_block(3)) == [3 * UNITS_PER_BLOCK + n for n in range(UNITS_PER_BLOCK)]
        True
    """
    return range(block * UNITS_PER_BLOCK, (block + 1) * UNITS_PER_BLOCK)
