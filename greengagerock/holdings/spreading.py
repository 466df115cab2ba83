"""Moves hot keys of one service away from endpoints that cannot cope, and back later."""

from greengagerock.holdings.loads import LoadBook
from greengagerock.holdings.relief import OVERLOADED, Bearer, Piece, plan_relief
from greengagerock.holdings.units import BLOCK_KEYS, UNIT_KEYS

PLAN_INTERVAL_S = 0.3
# Decayed requests for a block from which on it counts as hot: four in a second.
HOT_COUNT = 6.0
# A unit that has just moved stays where it is until its new load has been counted.
SETTLING_S = 2.0
# Keys that are no longer hot go back, so that ranges do not crumble over days.
RETURN_AFTER_S = 20.0
UNITS_PER_BLOCK = BLOCK_KEYS // UNIT_KEYS


class Loan:
    """A unit that was taken from its holder because it was hot.

    Attributes:
        home: The ``Life`` that it goes back to.
        hot_s: When it was last hot.
    """

    __slots__ = ("home", "hot_s")

    def __init__(self, home, hot_s):
        self.home = home
        self.hot_s = hot_s


class HotKeys:
    """Plans the moves of hot units and of those that have cooled down.

    Attributes:
        loads: The ``LoadBook``.
        pieces: Planned ``Piece`` objects by the ``Life`` that has to give them.
        loans: A ``Loan`` for each unit that is away from home.
        settling: Until when a unit stays where it is.
    """

    def __init__(self):
        self.loads = LoadBook()
        self.pieces = {}
        self.loans = {}
        self.settling = {}
        self.planned_s = float("-inf")

    def plan(self, ready, ledger, aligned, now_s):
        """Plan moves if an interval has passed.

        Args:
            ready: Lives that take work.
            ledger: The service's ``Ledger``.
            aligned: Function of a donor and a taker: whether the taker reports soon after.
            now_s: Monotonic time in seconds.

        Returns:
            The new pieces by the life that gives them.
        """
        if now_s - self.planned_s < PLAN_INTERVAL_S:
            return {}
        self.planned_s = now_s
        self.loads.decay(now_s)
        self.settling = {u: until_s for u, until_s in self.settling.items() if until_s > now_s}
        self._plan_returns(ready, ledger, now_s)
        bearers = self._bearers(ready, ledger)
        total_weight = sum(bearer.weight for bearer in bearers)
        fair = sum(bearer.rate for bearer in bearers) / (total_weight or 1.0)
        if not any(bearer.level > OVERLOADED * fair for bearer in bearers):
            return {}
        self._find_hot(bearers, ledger)
        slots = min(life.report.slots for life in ready)
        plans = plan_relief(bearers, ledger.speeds.average_s, slots, aligned)
        for donor, pieces in plans.items():
            self.pieces.setdefault(donor, []).extend(pieces)
            for unit in (unit for piece in pieces for unit in piece.units):
                self.settling[unit] = now_s + SETTLING_S
                self.loans.setdefault(unit, Loan(donor, now_s))
        return plans

    def take_due(self, donor):
        """Return the pieces that a life has to give now, and forget them."""
        return self.pieces.pop(donor, ())

    def forget(self, life):
        """Drop what concerns a life that has ended."""
        self.pieces.pop(life, None)
        self.loans = {unit: loan for unit, loan in self.loans.items() if loan.home is not life}

    def _bearers(self, ready, ledger):
        rates = dict.fromkeys(ready, 0.0)
        for block in self.loads.counts:
            rate = self.loads.rate(block) / UNITS_PER_BLOCK
            for unit in units_of_block(block):
                owner = ledger.owners[unit]
                if owner in rates:
                    rates[owner] += rate
        return [
            Bearer(life, rate, ledger.speeds.weight(life.name), 0) for life, rate in rates.items()
        ]

    def _find_hot(self, bearers, ledger):
        by_life = {bearer.life: bearer for bearer in bearers}
        for bearer in bearers:
            bearer.rows = ledger.count_rows(bearer.life)
        for block in sorted(self.loads.hot_blocks(HOT_COUNT)):
            rate = self.loads.rate(block) / UNITS_PER_BLOCK
            for unit in units_of_block(block):
                bearer = by_life.get(ledger.owners[unit])
                if bearer is not None and unit not in self.settling:
                    bearer.hot.append((unit, rate))

    def _plan_returns(self, ready, ledger, now_s):
        hot = self.loads.hot_blocks(HOT_COUNT)
        for unit, loan in list(self.loans.items()):
            holder = ledger.owners[unit]
            if unit // UNITS_PER_BLOCK in hot:
                loan.hot_s = now_s
            elif holder is loan.home or loan.home not in ready:
                if unit not in self.settling:
                    del self.loans[unit]
            elif holder is not None and now_s - loan.hot_s > RETURN_AFTER_S:
                del self.loans[unit]
                self.pieces.setdefault(holder, []).append(Piece(loan.home, (unit,)))


def units_of_block(block):
    """Return the units whose keys are counted together.

    Examples:
        >>> list(units_of_block(3)) == [3 * UNITS_PER_BLOCK + n for n in range(UNITS_PER_BLOCK)]
        True
    """
    return range(block * UNITS_PER_BLOCK, (block + 1) * UNITS_PER_BLOCK)
