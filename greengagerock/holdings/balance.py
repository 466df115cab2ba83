"""Shares keys out among endpoints: pure functions over counts."""

import math

from greengagerock.holdings.units import UNITS

# Moves are planned only when a life is beyond one of these shares of its target.
SHORT_SHARE = 0.7
LONG_SHARE = 1.4
# Largest share of a donor's units that one plan takes.
MAX_DONATED_SHARE = 0.5


def targets(lives, weight_of=lambda life: 1.0):
    """Return how many units each life should hold.

    Args:
        lives: The lives that take work.
        weight_of: Function that returns a life's share relative to an even one.

    Examples:
        >>> targets(["a", "b"])["a"]
        4096
        >>> targets(["a", "b"], {"a": 0.5, "b": 1.5}.get)["b"]
        6144
    """
    total = sum(weight_of(life) for life in lives)
    return {life: math.ceil(UNITS * weight_of(life) / total) for life in lives}


def deal_blocks(units, width, lives):
    """Yield each unit with its first holder, stripe by stripe.

    Neighbouring stripes go to different lives, because busy keys lie close together.

    Examples:
        >>> [life for _, life in deal_blocks(6, 2, ["a", "b"])]
        ['a', 'a', 'b', 'b', 'a', 'a']
    """
    for unit in range(units):
        yield unit, lives[unit // width % len(lives)]


def choose_blocks(pool, quota, width, max_blocks):
    """Choose about ``quota`` free units in whole stripes, spread over the pool.

    Args:
        pool: Free units.
        quota: Units wanted.
        width: Units of a stripe.
        max_blocks: Largest number of stripes.

    Returns:
        A list of units.

    Examples:
        >>> choose_blocks({0, 1, 4, 5, 8, 9}, 4, 2, 10)
        [0, 1, 4, 5]
    """
    blocks = {}
    for unit in sorted(pool):
        blocks.setdefault(unit // width, []).append(unit)
    wanted = min(-(-quota // width), max_blocks, len(blocks))
    if wanted <= 0:
        return []
    order = list(blocks)
    step = len(order) / wanted
    chosen = [order[int(number * step)] for number in range(wanted)]
    return [unit for block in chosen for unit in blocks[block]]


def choose_neighbours(pool, held, quota, width):
    """Choose free stripes that touch what is held, so that ranges grow without new ones.

    Examples:
        >>> choose_neighbours({2, 3, 6, 7}, {0, 1}, 4, 2)
        [2, 3]
    """
    blocks = {}
    for unit in sorted(pool):
        blocks.setdefault(unit // width, []).append(unit)
    mine = {unit // width for unit in held}
    chosen = []
    for block, units in blocks.items():
        if len(chosen) >= quota:
            break
        if block - 1 in mine or block + 1 in mine:
            mine.add(block)
            chosen += units
    return chosen


def plan_moves(counts, wanted, held, width, aligned):
    """Plan moves from lives with too many units to those with too few.

    Args:
        counts: Units held now by each life that takes work.
        wanted: Units that each of them should hold.
        held: The units of each life.
        width: Units of a stripe.
        aligned: Function of a donor and a taker: whether the taker usually reports
            soon after the donor, so that the keys are without a holder for a short time.

    Returns:
        For each donor, a list of (taker, units) pairs; empty while no life is far from
        what it should hold.
    """
    far = any(
        counts[life] < SHORT_SHARE * wanted[life] or counts[life] > LONG_SHARE * wanted[life]
        for life in counts
    )
    if not far:
        return {}
    need = {life: wanted[life] - counts[life] for life in counts if counts[life] < wanted[life]}
    spare = {
        life: min(counts[life] - wanted[life], int(counts[life] * MAX_DONATED_SHARE))
        for life in counts
        if counts[life] > wanted[life]
    }
    plans = {}
    for taker in sorted(need, key=need.get, reverse=True):
        donors = [life for life, units in spare.items() if units >= width]
        donors = [life for life in donors if aligned(life, taker)] or donors
        if not donors:
            break
        each = max(width, -(-need[taker] // len(donors)))
        for donor in donors:
            amount = min(each, spare[donor], need[taker])
            if amount < width:
                continue
            taken = {unit for _, units in plans.get(donor, ()) for unit in units}
            units = choose_blocks(held[donor] - taken, amount, width, amount // width)
            plans.setdefault(donor, []).append((taker, units))
            spare[donor] -= len(units)
            need[taker] -= len(units)
    return plans
