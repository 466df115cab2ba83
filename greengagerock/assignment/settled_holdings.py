"""Holdings of endpoints as they will be once units in transit have arrived and hot ones are back.

Answers endpoints that join, leave or change their weight while hot units move: the balance of
units must neither wait for the end of these moves nor undo them.
"""

from greengagerock.assignment.hot_units import units_of_block


def settle_holdings(available, held, reserved, hot_units, next_holder):
    """Return how many units endpoints hold in the end, and which of them may move.

    Args:
        available: Instances that accept work.
        held: Set of units that each instance holds now.
        reserved: A ``Reservation`` for each unit that is reserved for a target.
        hot_units: The ``HotUnitPlanner``.
        next_holder: Function that returns the instance that holds a unit or is about to get it.

    Returns:
        The number of units, and the set of units that may move, by instance. Endpoints that
        gave up units because of hot ones are left out.
    """
    moves = hot_units.temporary_moves
    endpoints = [instance for instance in available if not hot_units.is_isolated(instance)]
    counts = {instance: len(held.get(instance, ())) for instance in endpoints}
    for reservation in reserved.values():
        if reservation.target in counts:
            counts[reservation.target] += 1
    for unit, move in moves.items():
        holder = next_holder(unit)
        if holder in counts and holder is not move.origin:
            counts[holder] -= 1
            if move.origin in counts:
                counts[move.origin] += 1
    hot = [unit for block in hot_units.hot_blocks for unit in units_of_block(block)]
    movable = {
        instance: held.get(instance, set()).difference(moves, hot_units.settling_until_s, hot)
        for instance in endpoints
    }
    return counts, movable
