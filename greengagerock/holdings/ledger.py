"""Who holds which keys of one service, as the leader knows it.

Keys are granted in units of ``UNIT_KEYS`` neighbouring keys. The ledger is not stored: each
report repeats what its endpoint holds, so a new leader learns the holders from reports and
waits until any other hold has surely run out before it grants the rest.
"""

from greengagerock.holdings.balance import (
    choose_blocks,
    choose_neighbours,
    deal_blocks,
    plan_moves,
    targets,
)
from greengagerock.holdings.free_units import FreeUnits
from greengagerock.holdings.report import GrantRow
from greengagerock.holdings.speeds import SpeedBook
from greengagerock.holdings.spreading import HotKeys
from greengagerock.holdings.units import UNIT_KEYS, UNITS, stripe_width, tokens_of, units_of
from greengagerock.model.timing import PAUSE_ALLOWANCE_S

# The clock of an endpoint may run 2 % slow (PROTOCOL of the infrastructure).
HOLD_CLOCK_SHARE = 0.02
# A first deal waits so long for more endpoints, since later moves disturb callers.
FIRST_DEAL_WAIT_S = 2.0
# An answer of 4 KiB has room for about 150 rows of at most 26 bytes.
MAX_ROWS = 140
# The first of many endpoints to report take up to so many times their share of free keys, so
# that these are without a holder for a part of the report interval only.
POOL_HASTE = 4.0
# Released keys wait for nobody longer than this; then any endpoint may take them.
RESERVATION_S = 2.5
# A donor lets keys go when their taker reports within this time.
HANDOVER_WINDOW_S = 0.3
# A taker waits so many report intervals for a donor that reports just before it.
PATIENCE_INTERVALS = 2
# An endpoint reports within 0.1 s that it has released keys; less is too short a gap.
HANDOVER_MIN_S = 0.08


def lender_hold_s(hold_s):
    """Return how long the lender of a hold must wait until it has surely run out."""
    return hold_s * (1 + HOLD_CLOCK_SHARE) + PAUSE_ALLOWANCE_S


class Ledger:
    """The holders of one service's keys.

    Args:
        service: Name of the service.
        next_fence: Callable that takes the highest fence seen and returns a higher one.
        on_owner: Called with a unit and the name of its new owner, empty if it has none.
        settled_s: When all holds of earlier leaders have surely run out.
        interval_s: Usual time between two reports of an endpoint.

    Attributes:
        owners: The ``Life`` that holds each unit, or ``None``.
        fences: Newest known fence of each unit.
        pool: The ``FreeUnits`` that nobody holds.
        unknown: Units that somebody may hold whom this leader has not heard.
        speeds: How much of the load each endpoint should get.
        hot: The ``HotKeys`` that are spread over more endpoints.
        leaving: For each life the units that it was told to release, with the time at
            which its hold runs out in any case.
    """

    def __init__(self, service, next_fence, on_owner, settled_s, interval_s):
        self.service = service
        self.next_fence = next_fence
        self.on_owner = on_owner
        self.settled_s = settled_s
        self.interval_s = interval_s
        self.owners = [None] * UNITS
        self.fences = [0] * UNITS
        self.highest_fence = 0
        self.held = {}
        self.pool = FreeUnits()
        self.unknown = set(range(UNITS))
        self.leaving = {}
        self.handovers = {}
        self.moves = {}
        self.speeds = SpeedBook()
        self.hot = HotKeys()
        self.replan_s = 0.0
        self.short_since_s = {}
        self.first_report_s = None
        self.is_dealt = False
        self.block_units = 1
        self.pool_size = 0
        self.moved_units = 0

    # --- Reports -------------------------------------------------------------------

    def renew(self, life, lives, now_s, hold_s):
        """Take in a report and return what its endpoint is to hold.

        Args:
            life: The ``Life`` that reported.
            lives: All lives of the service.
            now_s: Monotonic time in seconds.
            hold_s: Length of the hold in seconds.

        Returns:
            A tuple of ``GrantRow`` objects.
        """
        if self.first_report_s is None:
            self.first_report_s = now_s
        reported = units_of(life.report.holds)
        self._adopt(life, reported)
        self._confirm(life, reported)
        self._collect_released(life, reported)
        if life.is_leaving:
            self._release(life, list(self.held.get(life, ())), now_s)
        else:
            self._release_moves(life, now_s)
            self._take(life, lives, now_s)
        life.hold_until_s = now_s + lender_hold_s(hold_s)
        return self._rows(life)

    def end(self, life):
        """Free the units of a life that has surely ended."""
        for unit in list(self.held.get(life, ())):
            self._free(unit)
        for unit in list(self.leaving.get(life, ())):
            self._free(unit)
        self.held.pop(life, None)
        self.moves.pop(life, None)
        self.speeds.forget(life.name)
        self.hot.forget(life)

    def withdraw(self, life):
        """Stop sending requests to a life that leaves, while its hold runs out."""
        for unit in self.held.get(life, ()):
            self.on_owner(unit, "")

    def advance(self, lives, now_s):
        """Free what has run out by now, and plan.

        Args:
            lives: All lives of the service.
            now_s: Monotonic time in seconds.
        """
        if self.unknown and now_s >= self.settled_s:
            for unit in self.unknown:
                self.pool.add(unit)
                self.on_owner(unit, "")
            self.unknown = set()
        for life in [life for life in self.held if life.hold_until_s <= now_s]:
            for unit in list(self.held[life]):
                self._free(unit)
        leaving = [pair for units in self.leaving.values() for pair in units.items()]
        for unit in [unit for unit, until_s in leaving if until_s <= now_s]:
            self._free(unit)
        self.pool.expire(now_s, lambda taker: taker.is_leaving)
        self._deal(lives, now_s)

    def plan(self, lives, now_s):
        """Decide which units should move to even out the load."""
        self.speeds.adjust(now_s)
        if not self.is_dealt or self.unknown:
            return
        if self.pool.open:
            # Keys without a holder go first; the moves planned before no longer fit.
            self.moves = {}
            return
        if any(self.moves.values()) and now_s < self.replan_s:
            return
        if self.leaving or self.pool.reserved:
            return
        self.replan_s = now_s + 2 * self.interval_s
        ready = self._ready(lives, now_s)
        if not ready:
            return
        counts = {life: len(self.held.get(life, ())) for life in ready}
        wanted = targets(ready, self._weight_of)
        self.moves = plan_moves(
            counts, wanted, self.held, self.block_units, self._reports_just_before
        )
        takers = {taker for planned in self.moves.values() for taker, _ in planned}
        self.short_since_s = {life: self.short_since_s.get(life, now_s) for life in takers}

    def relieve(self, lives, now_s):
        """Plan to spread hot units over more endpoints.

        Args:
            lives: All lives of the service.
            now_s: Monotonic time in seconds.

        Returns:
            The new ``Piece`` objects by the life that gives them.
        """
        ready = self._ready(lives, now_s)
        if not self.is_dealt or self.unknown or not ready:
            return {}
        return self.hot.plan(ready, self, self._reports_soon_after, now_s)

    def count_rows(self, life):
        """Return the number of rows of an answer to a life."""
        return len(self._rows(life))

    def _weight_of(self, life):
        return self.speeds.weight(life.name)

    def _has_waited(self, taker, now_s):
        """Return whether a taker gets keys even if they are without a holder for longer.

        Reports come at much the same intervals, so no donor may ever report just before it.
        """
        if taker not in self.held:
            return True
        waited_s = now_s - self.short_since_s.get(taker, now_s)
        return waited_s > PATIENCE_INTERVALS * self.interval_s

    def _reports_just_before(self, donor, taker):
        if self._has_waited(taker, max(taker.heard_s, donor.heard_s)):
            return True
        return self._reports_soon_after(donor, taker)

    def _reports_soon_after(self, donor, taker):
        gap_s = (taker.heard_s - donor.heard_s) % self.interval_s
        return HANDOVER_MIN_S < gap_s < HANDOVER_WINDOW_S

    # --- Changes of single units ---------------------------------------------------

    def _own(self, life, unit, fence):
        previous = self.owners[unit]
        if previous is not None and previous is not life:
            self._forget_held(previous, unit)
        self.owners[unit] = life
        self.held.setdefault(life, set()).add(unit)
        self.fences[unit] = fence
        self.highest_fence = max(self.highest_fence, fence)
        self.pool.remove(unit)
        self.unknown.discard(unit)
        self._end_leaving(previous, unit)
        self.on_owner(unit, life.name)

    def _free(self, unit, handover=""):
        holder = self.owners[unit]
        if holder is not None:
            self._forget_held(holder, unit)
        self.owners[unit] = None
        self._end_leaving(holder, unit)
        self.handovers.pop(unit, None)
        if handover:
            self.handovers[unit] = handover
        self.pool.add(unit)
        self.pool_size = max(self.pool_size, len(self.pool.free))
        self.on_owner(unit, "")

    def _end_leaving(self, life, unit):
        units = self.leaving.get(life)
        if units is not None:
            units.pop(unit, None)
            if not units:
                del self.leaving[life]

    def _forget_held(self, life, unit):
        units = self.held.get(life)
        if units is not None:
            units.discard(unit)
            if not units:
                del self.held[life]

    # --- Parts of a renewal --------------------------------------------------------

    def _adopt(self, life, reported):
        """Learn from a report about units that this leader has not granted itself."""
        for unit, fence in reported.items():
            self.highest_fence = max(self.highest_fence, fence)
            holder = self.owners[unit]
            if holder is life:
                self.fences[unit] = max(self.fences[unit], fence)
            elif holder is None and fence >= self.fences[unit]:
                if unit not in self.pool.reserved:
                    self._own(life, unit, fence)
            elif holder is not None and fence > self.fences[unit]:
                self._own(life, unit, fence)

    def _confirm(self, life, reported):
        """Forget handover tokens that have reached the new holder."""
        for unit in self.held.get(life, ()):
            if unit in self.handovers and unit in reported:
                del self.handovers[unit]

    def _collect_released(self, life, reported):
        tokens = tokens_of(life.report.freed)
        for unit in [u for u in self.leaving.get(life, ()) if u not in reported]:
            self._free(unit, tokens.get(unit, ""))

    def _release(self, life, units, now_s, taker=None):
        """Leave units out of the answer; they are free once a report no longer has them."""
        for unit in units:
            self._forget_held(life, unit)
            self.leaving.setdefault(life, {})[unit] = life.hold_until_s
            self.on_owner(unit, "")
            if taker is not None:
                self.pool.reserve(unit, taker, now_s + RESERVATION_S)
        self.moved_units += len(units)

    def _release_moves(self, life, now_s):
        mine = self.held.get(life, set())
        for piece in self.hot.take_due(life):
            if not piece.taker.is_leaving:
                units = [unit for unit in piece.units if unit in mine]
                self._release(life, units, now_s, piece.taker)
        planned = self.moves.get(life)
        if not planned:
            return
        waiting = []
        for taker, units in planned:
            due_s = taker.next_report_s(self.interval_s) - now_s
            if taker.is_leaving:
                continue
            is_timely = HANDOVER_MIN_S < due_s < HANDOVER_WINDOW_S
            if is_timely or self._has_waited(taker, now_s):
                mine = self.held.get(life, ())
                self._release(life, [u for u in units if u in mine], now_s, taker)
            else:
                waiting.append((taker, units))
        self.moves[life] = waiting

    def _take(self, life, lives, now_s):
        """Grant free units to a life that has just reported."""
        mine = self.pool.kept_for(life)
        if self.is_dealt and self.pool.open:
            ready = self._ready(lives, now_s)
            wanted = targets(ready, self._weight_of)[life] if life in ready else 0
            held = len(self.held.get(life, ())) + len(mine)
            quota = max(wanted - held, self._hasty_quota(len(ready)))
            mine += self._choose(life, self.pool.open, quota)
        if not mine:
            return
        fence = self.next_fence(self.highest_fence)
        for unit in mine:
            self._own(life, unit, fence)
        if len(self._rows(life)) > MAX_ROWS:
            for unit in self.held[life]:
                self.fences[unit] = fence
                self.handovers.pop(unit, None)
        if not self.pool.free:
            self.pool_size = 0

    def _hasty_quota(self, endpoints):
        haste = min(POOL_HASTE, max(1.5, endpoints / 4))
        return int(haste * self.pool_size / max(endpoints, 1))

    def _choose(self, life, pool, quota):
        """Choose free units, as far as the answer has room for them.

        Without room only neighbours of what is held already are chosen: with one fence
        for all of it, they need no further row.
        """
        width = self.block_units
        room = MAX_ROWS - len(self._rows(life))
        chosen = choose_blocks(pool, quota, width, max(room, 0))
        if quota - len(chosen) < width or len(chosen) == len(pool):
            return chosen
        held = self.held.get(life, set())
        chosen += choose_neighbours(pool.difference(chosen), held, quota - len(chosen), width)
        return chosen

    def _deal(self, lives, now_s):
        """Share out all keys for the first time, in narrow stripes."""
        if self.is_dealt or self.first_report_s is None or self.unknown:
            return
        if len(self.pool.free) < UNITS:
            # Some keys are held already, so this service was dealt out by an earlier leader.
            self.is_dealt = True
            self.block_units = stripe_width(len(lives))
            return
        if now_s - self.first_report_s < FIRST_DEAL_WAIT_S:
            return
        ready = self._ready(lives, now_s)
        if not ready:
            return
        self.is_dealt = True
        self.block_units = stripe_width(len(ready))
        for unit, life in deal_blocks(UNITS, self.block_units, ready):
            self.pool.reserve(unit, life, now_s + RESERVATION_S)

    def _ready(self, lives, now_s):
        overdue_s = 2 * self.interval_s
        return [life for life in lives if not life.is_leaving and now_s - life.heard_s < overdue_s]

    def _rows(self, life):
        rows = []
        for unit in sorted(self.held.get(life, ())):
            fence = self.fences[unit]
            handover = self.handovers.get(unit, "")
            first = unit * UNIT_KEYS
            last = first + UNIT_KEYS - 1
            if rows:
                before = rows[-1]
                if (before[1] + 1, before[2], before[3]) == (first, fence, handover):
                    before[1] = last
                    continue
            rows.append([first, last, fence, handover])
        return tuple(GrantRow(*row) for row in rows)
