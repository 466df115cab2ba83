"""Moves hot units of one service from overloaded endpoints to others, and back later.

Answers neighbouring or single keys that get much of the traffic for seconds. Loads are compared
every tenth of a second; what an endpoint gives up is decided when it reports, so that the
newest counts decide and targets that report next are preferred.
"""

from greengagerock.assignment.block_loads import BlockLoads
from greengagerock.assignment.isolation import must_isolate, plan_isolation, plan_oversized
from greengagerock.assignment.rebalancing import (
    MAX_ROWS_AFTER_REBALANCING,
    Chunk,
    EndpointLoad,
    load_levels,
    plan_source,
)
from greengagerock.assignment.units import KEYS_PER_BLOCK, KEYS_PER_UNIT, UNIT_COUNT

# Shortest time between two comparisons of loads; a report uses counts that are at most this old.
# A comparison takes some milliseconds, so they are rarer once blocks have been hot for a while.
PLAN_INTERVAL_S = 0.1
CALM_PLAN_INTERVAL_S = 0.3
CHANGE_SPAN_S = 2.0
# Ticks of the leader come at the same interval, some of them a little early.
TICK_TOLERANCE_S = 0.01
# Decayed number of requests from which a block counts as hot; reached within 0.6 s at 8 requests
# per second, the rate of a unit in a range that needs about twenty endpoints.
MIN_HOT_COUNT = 4.0
# A hot block stays hot until its count is below this, so that noise does not end it.
MIN_STILL_HOT_COUNT = 2.0
# Shortest time for which a unit stays with its holder. A hand-over takes up to a report interval
# of about a second, and two further seconds show the new load.
SETTLING_S = 3.1
# Time after which a unit that is no longer hot returns, so that ranges do not fragment over days.
RETURN_AFTER_S = 20.0
# A unit that returns waits this long for reports that follow each other closely.
RETURN_ALIGNMENT_WAIT_S = 4.0
# Largest numbers of units and of chunks that an endpoint gives up in one report. A response of
# 4 KiB has about 140 rows, and the released units are without a holder until their targets report.
MAX_UNITS_PER_REPORT = 128
MAX_CHUNKS_PER_REPORT = 40
# Responses of an endpoint whose hot units use more of its slots say how long its queue is.
QUEUEING_SHARE = 0.3
# Factor by which an endpoint that has just started is slower.
COLD_FACTOR = 2.0
UNITS_PER_BLOCK = KEYS_PER_BLOCK // KEYS_PER_UNIT


class TemporaryMove:
    """A unit that was moved and returns later.

    Attributes:
        origin: The ``EndpointInstance`` that the unit returns to.
        last_hot_s: When the unit was last hot.
        is_placed: Whether it was moved because it was too much for its holder.
    """

    __slots__ = ("is_placed", "last_hot_s", "origin")

    def __init__(self, origin, last_hot_s):
        self.origin = origin
        self.last_hot_s = last_hot_s
        self.is_placed = False


class Isolation:
    """An endpoint that gave up units because of its hot ones.

    Attributes:
        unit: Its hottest unit.
        rate: Requests per second for this unit.
        since_s: When it first gave up units.
        last_hot_s: When its hot units last used much of it.
        moved_units: Number of units that it gave up.
    """

    __slots__ = ("last_hot_s", "moved_units", "rate", "since_s", "unit")

    def __init__(self, unit, rate, now_s):
        self.unit = unit
        self.rate = rate
        self.since_s = now_s
        self.last_hot_s = now_s
        self.moved_units = 0


class HotUnitPlanner:
    """Decides which units move because of hot ones, and when they return.

    Attributes:
        block_loads: The ``BlockLoads``.
        hot_blocks: The hot blocks at the last comparison.
        loads: An ``EndpointLoad`` by instance at the last comparison, updated for the moves
            since; empty while no block is hot.
        levels: The ``LoadLevels`` at the last comparison.
        temporary_moves: A ``TemporaryMove`` for each unit that was moved and has not returned.
        isolations: An ``Isolation`` by ``EndpointInstance``.
        returns: Units that may return, by holder.
        settling_until_s: For each unit that has just moved, when it may move again.
        compared_s: When the loads were last compared.
        changed_s: When a block last became hot.
        moved: By source, the names of targets and the number of units that moved since the last
            call of ``pop_moved``.
        begun_isolations: Pairs of instance and ``Isolation`` that began since the last call of
            ``pop_begun``.
        ended_isolations: Pairs of instance and ``Isolation`` that ended since the last call of
            ``pop_ended``.
        unit_rate: Expected requests per second for a unit that is not hot.
    """

    def __init__(self):
        self.block_loads = BlockLoads()
        self.hot_blocks = set()
        self.loads = {}
        self.levels = None
        self.temporary_moves = {}
        self.isolations = {}
        self.returns = {}
        self.settling_until_s = {}
        self.compared_s = float("-inf")
        self.changed_s = float("-inf")
        self.moved = {}
        self.begun_isolations = []
        self.ended_isolations = []
        self.unit_rate = 0.0

    def plan(self, available, assignments, now_s):
        """Compare the loads if an interval has passed.

        Args:
            available: Instances that accept work.
            assignments: The service's ``KeyAssignments``.
            now_s: Monotonic time in seconds.
        """
        is_changing = now_s - self.changed_s < CHANGE_SPAN_S
        interval_s = PLAN_INTERVAL_S if is_changing else CALM_PLAN_INTERVAL_S
        if now_s - self.compared_s < interval_s - TICK_TOLERANCE_S:
            return
        self.compared_s = now_s
        self.block_loads.decay(now_s)
        hot_blocks = self.block_loads.hot_blocks(MIN_HOT_COUNT)
        if hot_blocks - self.hot_blocks:
            self.changed_s = now_s
        still_hot = self.block_loads.hot_blocks(MIN_STILL_HOT_COUNT) & self.hot_blocks
        self.hot_blocks = hot_blocks | still_hot
        self.settling_until_s = {
            u: until_s for u, until_s in self.settling_until_s.items() if until_s > now_s
        }
        self.loads = self._compare(available, assignments, now_s) if self.hot_blocks else {}
        self._note_hot_endpoints(assignments, now_s)
        self._find_returns(available, assignments, now_s)

    def release(self, source, assignments, is_aligned, now_s):
        """Return what an endpoint that reports now has to give up.

        Args:
            source: Its ``EndpointInstance``.
            assignments: The service's ``KeyAssignments``.
            is_aligned: Function that returns whether a target usually reports soon after a
                source.
            now_s: Monotonic time in seconds.

        Returns:
            A list of ``Chunk`` objects, at most ``MAX_CHUNKS_PER_REPORT``.
        """
        chunks = self._release_returns(source, assignments, is_aligned, now_s)
        load = self.loads.get(source)
        if load is None or not self.levels.is_overloaded(load):
            return chunks
        loads = list(self.loads.values())
        for other in loads:
            if other.rows is None:
                other.rows = assignments.room.count_rows(other.instance)
        placed = plan_oversized(load, loads, self.levels, is_aligned, self._may_place)
        self._note_moves(load, placed, now_s)
        for unit in (unit for chunk in placed for unit in chunk.units):
            self.temporary_moves[unit].is_placed = True
        max_chunks = MAX_CHUNKS_PER_REPORT - len(chunks) - len(placed)
        spread = plan_source(load, loads, self.levels, is_aligned, max_chunks, self._may_move)
        self._note_moves(load, spread, now_s)
        chunks += placed + spread
        max_chunks -= len(spread)
        max_units = MAX_UNITS_PER_REPORT - sum(len(chunk.units) for chunk in chunks)
        return chunks + self._isolate(
            load, assignments, is_aligned, (max_units, max_chunks), now_s
        )

    def note_release(self, units, now_s):
        """Record that units move, so that they stay with their next holder for some time."""
        for unit in units:
            self.settling_until_s[unit] = now_s + SETTLING_S

    def is_isolated(self, instance):
        """Return whether an endpoint should not get more units because of its hot ones."""
        return instance in self.isolations

    def without_isolated(self, instances):
        """Return those instances that may get more units, or all if none of them may."""
        return [i for i in instances if i not in self.isolations] or instances

    def pop_moved(self):
        """Return the moves since the last call: by source the targets' names and units."""
        moved, self.moved = self.moved, {}
        return moved

    def pop_begun(self):
        """Return pairs of instance and ``Isolation`` for those that began since the last call."""
        begun, self.begun_isolations = self.begun_isolations, []
        return begun

    def pop_ended(self):
        """Return pairs of instance and ``Isolation`` for those that ended since the last call."""
        ended, self.ended_isolations = self.ended_isolations, []
        return ended

    def forget(self, instance):
        """Drop the data of an instance that has ended."""
        self.loads.pop(instance, None)
        self.returns.pop(instance, None)
        self.isolations.pop(instance, None)
        self.temporary_moves = {
            unit: move
            for unit, move in self.temporary_moves.items()
            if move.origin is not instance
        }

    # --- Comparison of loads ---------------------------------------------------------

    def _compare(self, available, assignments, now_s):
        weights = assignments.weights
        slots = min(instance.report.slots for instance in available)
        typical_s = weights.work_times.typical_s()
        loads = {
            instance: EndpointLoad(
                instance,
                0.0,
                self._serving_weight(instance, weights, typical_s, slots, now_s),
                None,
                [],
                weights.work_times.work_s(instance.name) is not None,
            )
            for instance in available
        }
        rates = self.block_loads.rates()
        totals = self._rates_by_holder(rates, assignments)
        for instance, load in loads.items():
            load.rate = totals.get(instance, 0.0)
        for block in sorted(self.hot_blocks):
            for unit in units_of_block(block):
                load = loads.get(assignments.next_holder(unit))
                if load is not None:
                    load.hot_units.append((unit, rates.get(block, 0.0) / UNITS_PER_BLOCK))
        hot_rate = sum(rates.get(block, 0.0) for block in self.hot_blocks)
        self.unit_rate = (sum(rates.values()) - hot_rate) / UNIT_COUNT
        work_s = typical_s or weights.mean_response_s
        self.levels = load_levels(loads.values(), work_s, slots)
        return loads

    def _rates_by_holder(self, rates, assignments):
        """Return the requests per second by instance that holds the keys or is about to."""
        owners, reserved = assignments.owners, assignments.free_units.reserved
        totals = {}
        for block, rate in rates.items():
            for unit in range(block * UNITS_PER_BLOCK, (block + 1) * UNITS_PER_BLOCK):
                owner = owners[unit]
                totals[owner] = totals.get(owner, 0.0) + rate / UNITS_PER_BLOCK
        for unit, reservation in reserved.items():
            rate = rates.get(unit // UNITS_PER_BLOCK, 0.0) / UNITS_PER_BLOCK
            totals[owners[unit]] = totals.get(owners[unit], 0.0) - rate
            totals[reservation.target] = totals.get(reservation.target, 0.0) + rate
        return totals

    def _serving_weight(self, instance, weights, typical_s, slots, now_s):
        """Return what an endpoint can serve, relative to one of usual speed."""
        work_s = weights.work_times.work_s(instance.name)
        weight = weights.weight(instance.name) if work_s is None else typical_s / work_s
        cap, _ = weights.caps.get(instance.name, (weight, 0.0))
        if instance.cold_until_s > now_s:
            weight /= COLD_FACTOR
        return min(weight, cap) * instance.report.slots / slots

    def _note_hot_endpoints(self, assignments, now_s):
        """Note endpoints whose hot units use much of them, and those that have cooled."""
        queueing = set()
        for load in self.loads.values():
            hot_rate = sum(rate for _, rate in load.hot_units)
            if hot_rate > QUEUEING_SHARE * self.levels.full * load.weight:
                queueing.add(load.instance.name)
                if load.instance in self.isolations:
                    self.isolations[load.instance].last_hot_s = now_s
        assignments.weights.work_times.paused = frozenset(queueing)
        for instance, isolation in list(self.isolations.items()):
            if now_s - isolation.last_hot_s > RETURN_AFTER_S:
                del self.isolations[instance]
                self.ended_isolations.append((instance, isolation))

    # --- Moves -----------------------------------------------------------------------

    def _may_move(self, unit):
        return unit not in self.settling_until_s

    def _may_place(self, unit):
        move = self.temporary_moves.get(unit)
        return self._may_move(unit) and (move is None or not move.is_placed)

    def _isolate(self, load, assignments, is_aligned, budget, now_s):
        """Let units that are not hot leave an endpoint that its hot units overload."""
        if not must_isolate(load, self.levels):
            return []
        source = load.instance
        hot = {unit for unit, _ in load.hot_units}
        rates = [
            (unit, 0.5 * (self.unit_rate + self.block_loads.rate(unit // UNITS_PER_BLOCK)))
            for unit in sorted(assignments.held.get(source, ()))
            if unit not in hot and self._may_move(unit)
        ]
        loads = list(self.loads.values())
        chunks = plan_isolation(load, rates, loads, self.levels, is_aligned, *budget)
        self._note_moves(load, chunks, now_s)
        if chunks:
            if source not in self.isolations:
                unit, rate = max(load.hot_units, key=lambda pair: pair[1])
                self.isolations[source] = Isolation(unit, rate, now_s)
                self.begun_isolations.append((source, self.isolations[source]))
            self.isolations[source].moved_units += sum(len(chunk.units) for chunk in chunks)
        return chunks

    def _note_moves(self, load, chunks, now_s):
        """Record chunks that leave an endpoint now."""
        rates = dict(load.hot_units)
        for chunk in chunks:
            targets, count = self.moved.get(load.instance, (set(), 0))
            self.moved[load.instance] = (targets | {chunk.target.name}, count + len(chunk.units))
            for unit in chunk.units:
                self.temporary_moves.setdefault(unit, TemporaryMove(load.instance, now_s))
                if unit in rates:
                    target = self.loads[chunk.target]
                    target.hot_units = [*target.hot_units, (unit, rates.pop(unit))]
        load.hot_units = list(rates.items())

    # --- Returns ---------------------------------------------------------------------

    def _find_returns(self, available, assignments, now_s):
        """Find the units that may return to their origin, by holder."""
        self.returns = {}
        for unit, move in list(self.temporary_moves.items()):
            holder = assignments.owners[unit]
            if unit // UNITS_PER_BLOCK in self.hot_blocks:
                move.last_hot_s = now_s
            elif move.origin in self.isolations:
                continue
            elif holder is move.origin or move.origin not in available:
                if self._may_move(unit):
                    del self.temporary_moves[unit]
            elif (
                holder is not None
                and now_s - move.last_hot_s > RETURN_AFTER_S
                and self._may_move(unit)
            ):
                self.returns.setdefault(holder, []).append(unit)

    def _release_returns(self, source, assignments, is_aligned, now_s):
        chunks = []
        for unit in self.returns.pop(source, ()):
            move = self.temporary_moves.get(unit)
            if move is None or len(chunks) >= MAX_CHUNKS_PER_REPORT:
                continue
            waited_s = now_s - move.last_hot_s - RETURN_AFTER_S
            is_overdue = waited_s > RETURN_ALIGNMENT_WAIT_S
            has_room = assignments.room.count_rows(move.origin) < MAX_ROWS_AFTER_REBALANCING
            if has_room and (is_overdue or is_aligned(source, move.origin)):
                del self.temporary_moves[unit]
                chunks.append(Chunk(move.origin, (unit,)))
        return chunks


def units_of_block(block):
    """Return the units whose keys are counted together.

    Examples:
        >>> list(units_of_block(3)) == [3 * UNITS_PER_BLOCK + n for n in range(UNITS_PER_BLOCK)]
        True
    """
    return range(block * UNITS_PER_BLOCK, (block + 1) * UNITS_PER_BLOCK)
