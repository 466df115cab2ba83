"""Spreads keys that get much of the load over more endpoints: pure functions.

Answers the load of days on which neighbouring keys become hot: their holders refuse callers
while others idle. Hot keys are few, so spreading them moves a tiny share of all keys.
"""

import msgspec

# An endpoint with this many times its fair load gives keys away, down to the second figure.
OVERLOADED = 1.4
RELIEVED = 1.1
# Below this share of its slots in use an endpoint copes with any uneven load.
BUSY_SHARE = 0.4
# A piece of neighbouring units that moves together has about this share of the fair load.
PIECE_SHARE = 0.15
# A move has to leave the taker with so much less than the donor has.
GAIN = 0.8
# Rows of an answer that a relief may fill: the rest is for keys of endpoints that go.
MAX_ROWS_AFTER_RELIEF = 125
MAX_PIECES = 64


class Bearer(msgspec.Struct):
    """An endpoint with its part of the load.

    Attributes:
        life: Its ``Life``.
        rate: Requests for its keys in a second.
        weight: Its share of the load relative to an even one.
        rows: Rows that its answer has.
        hot: Its hot units with their rates, in order of the keys.
    """

    life: object
    rate: float
    weight: float
    rows: int
    hot: list[tuple[int, float]] = []

    @property
    def level(self):
        """Return its load relative to its share."""
        return self.rate / self.weight


class Piece(msgspec.Struct, frozen=True):
    """Units that move together.

    Attributes:
        taker: The ``Life`` that gets them.
        units: The units.
    """

    taker: object
    units: tuple[int, ...]


def plan_relief(bearers, seconds_each, slots, aligned):
    """Choose hot units that should move.

    Args:
        bearers: A ``Bearer`` for each endpoint that takes work; changed as moves are planned.
        seconds_each: Mean time of an answer, in seconds.
        slots: Requests that an endpoint works on at once.
        aligned: Function of a donor and a taker: whether the taker reports soon after the
            donor, so that the keys are without a holder for a short time.

    Returns:
        For each donor's ``Life``, a list of ``Piece`` objects.
    """
    total_weight = sum(bearer.weight for bearer in bearers)
    if len(bearers) < 2 or not total_weight:
        return {}
    fair = sum(bearer.rate for bearer in bearers) / total_weight
    plans, pieces = {}, 0
    for donor in sorted(bearers, key=lambda bearer: bearer.level, reverse=True):
        if donor.level <= OVERLOADED * fair:
            break
        if donor.rate * seconds_each < BUSY_SHARE * slots:
            continue
        for units, rate in cut_pieces(donor.hot, PIECE_SHARE * fair):
            is_full = donor.rows >= MAX_ROWS_AFTER_RELIEF or pieces >= MAX_PIECES
            if is_full or donor.level <= RELIEVED * fair:
                break
            taker = choose_taker(bearers, donor, rate, aligned)
            if taker is None:
                continue
            taker.rate += rate
            taker.rows += 1
            donor.rate -= rate
            donor.rows += 1
            pieces += 1
            plans.setdefault(donor.life, []).append(Piece(taker.life, units))
    return plans


def choose_taker(bearers, donor, rate, aligned):
    """Return the ``Bearer`` that is best off with one more piece, or ``None``.

    Those that report soon after the donor go first, if they are not much worse off.
    """
    limit = GAIN * donor.level

    def level_with(bearer):
        return (bearer.rate + rate) / bearer.weight

    able = [
        bearer
        for bearer in bearers
        if bearer is not donor
        and bearer.rows < MAX_ROWS_AFTER_RELIEF
        and level_with(bearer) < limit
    ]
    if not able:
        return None
    soon = [bearer for bearer in able if aligned(donor.life, bearer.life)]
    best = min(able, key=level_with)
    if soon:
        best_soon = min(soon, key=level_with)
        if level_with(best_soon) <= OVERLOADED * level_with(best):
            return best_soon
    return best


def cut_pieces(hot, piece_rate):
    """Cut hot units into pieces of neighbours, the hottest piece first.

    Args:
        hot: Units with their rates, in order of the keys.
        piece_rate: Rate at which a piece is complete.

    Returns:
        A list of pairs: a tuple of units, and their rate.

    Examples:
        >>> cut_pieces([(1, 2.0), (2, 2.0), (3, 2.0), (8, 7.0)], 4.0)
        [((8,), 7.0), ((1, 2), 4.0), ((3,), 2.0)]
    """
    pieces = []
    units, total = [], 0.0
    for unit, rate in hot:
        if units and (unit != units[-1] + 1 or total >= piece_rate):
            pieces.append((tuple(units), total))
            units, total = [], 0.0
        units.append(unit)
        total += rate
    if units:
        pieces.append((tuple(units), total))
    return sorted(pieces, key=lambda piece: piece[1], reverse=True)
