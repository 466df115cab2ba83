"""Holdings of endpoints as they will be once units in transit have arrived and hot ones are back.

Answers endpoints that join, leave or change their weight while hot units move: the balance of
units must neither wait for the end of these moves nor undo them.
"""

from greengagerock.assignment.hot_units import units_of_block


class MovableUnits:
    """The units that the balance of units may move, by instance, computed when needed.

    Units that are hot, that have just moved or that return later are left where they are.

    Args:
        held: Set of units that each instance holds now.
        hot_units: The ``HotUnitPlanner``.
    """

    __slots__ = ("held", "hot_units")

    def __init__(self, held, hot_units):
        self.held = held
        self.hot_units = hot_units

    def __getitem__(self, instance):
        planner = self.hot_units
        hot = [unit for block in planner.hot_blocks for unit in units_of_block(block)]
        return self.held.get(instance, set()).difference(
            planner.temporary_moves, planner.settling_until_s, hot
        )


def settled_counts(available, held, reserved, hot_units, next_holder):
    """Return how many units endpoints hold in the end.

    Args:
        available: Instances that accept work.
        held: Set of units that each instance holds now.
        reserved: A ``Reservation`` for each unit that is reserved for a target.
        hot_units: The ``HotUnitPlanner``.
        next_holder: Function that returns the instance that holds a unit or is about to get it.

    Returns:
        The number of units by instance, without endpoints that gave up units because of hot
        ones.
    """
    endpoints = [instance for instance in available if not hot_units.is_isolated(instance)]
    counts = {instance: len(held.get(instance, ())) for instance in endpoints}
    for reservation in reserved.values():
        if reservation.target in counts:
            counts[reservation.target] += 1
    for unit, move in hot_units.temporary_moves.items():
        holder = next_holder(unit)
        if holder in counts and holder is not move.origin:
            counts[holder] -= 1
            if move.origin in counts:
                counts[move.origin] += 1
    return counts
