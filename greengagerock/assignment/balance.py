"""Distribution of units over endpoint instances: pure functions over counts."""

import math

from greengagerock.assignment.units import UNIT_COUNT

# Moves are planned only if an instance holds less or more than these shares of its desired count.
MIN_DESIRED_SHARE = 0.7
MAX_DESIRED_SHARE = 1.4
# Largest share of a source's units that one plan moves.
MAX_MOVED_SHARE = 0.5


def desired_counts(instances, weight_of=lambda instance: 1.0):
    """Return how many units each instance should hold.

    Args:
        instances: The instances that accept work.
        weight_of: Function that returns an instance's share of the load relative to an equal
            share.

    Examples:
        >>> desired_counts(["a", "b"])["a"]
        4096
        >>> desired_counts(["a", "b"], {"a": 0.5, "b": 1.5}.get)["b"]
        6144
    """
    total = sum(weight_of(instance) for instance in instances)
    return {
        instance: math.ceil(UNIT_COUNT * weight_of(instance) / total) for instance in instances
    }


def assign_stripes(unit_count, width, instances):
    """Yield each unit with its first holder, stripe by stripe.

    Neighbouring stripes go to different instances, because busy keys lie close together.

    Examples:
        >>> [instance for _, instance in assign_stripes(6, 2, ["a", "b"])]
        ['a', 'a', 'b', 'b', 'a', 'a']
    """
    for unit in range(unit_count):
        yield unit, instances[unit // width % len(instances)]


def choose_stripes(free_units, quota, width, max_stripes):
    """Choose about ``quota`` free units in whole stripes, spread over all free units.

    Args:
        free_units: Free units.
        quota: Number of units.
        width: Units of a stripe.
        max_stripes: Largest number of stripes, each of which needs a row of the response.

    Returns:
        A list of units.

    Examples:
        >>> choose_stripes({0, 1, 4, 5, 8, 9}, 4, 2, 10)
        [0, 1, 4, 5]
    """
    stripes = {}
    for unit in sorted(free_units):
        stripes.setdefault(unit // width, []).append(unit)
    stripe_count = min(-(-quota // width), max_stripes, len(stripes))
    if stripe_count <= 0:
        return []
    candidates = list(stripes)
    step = len(candidates) / stripe_count
    chosen = [candidates[int(number * step)] for number in range(stripe_count)]
    return [unit for stripe in chosen for unit in stripes[stripe]]


def choose_neighbours(free_units, held, quota, width):
    """Choose free stripes next to units already held, which extend ranges and add no new ones.

    Examples:
        >>> choose_neighbours({2, 3, 6, 7}, {0, 1}, 4, 2)
        [2, 3]
    """
    stripes = {}
    for unit in sorted(free_units):
        stripes.setdefault(unit // width, []).append(unit)
    held_stripes = {unit // width for unit in held}
    chosen = []
    for stripe, units in stripes.items():
        if len(chosen) >= quota:
            break
        if stripe - 1 in held_stripes or stripe + 1 in held_stripes:
            held_stripes.add(stripe)
            chosen += units
    return chosen


def plan_moves(counts, desired, held, width, is_aligned):
    """Plan moves from instances with too many units to those with too few.

    Args:
        counts: Units held now by each instance that accepts work.
        desired: Units that each of them should hold.
        held: The units of each instance.
        width: Units of a stripe.
        is_aligned: Function that returns whether a target usually reports soon after a source,
            so that the keys are without a holder for a short time only.

    Returns:
        For each source, a list of (target, units) pairs; empty while every instance is close to
        its desired count.
    """
    is_unbalanced = any(
        counts[instance] < MIN_DESIRED_SHARE * desired[instance]
        or counts[instance] > MAX_DESIRED_SHARE * desired[instance]
        for instance in counts
    )
    if not is_unbalanced:
        return {}
    shortage = {
        instance: desired[instance] - counts[instance]
        for instance in counts
        if counts[instance] < desired[instance]
    }
    surplus = {
        instance: min(
            counts[instance] - desired[instance], int(counts[instance] * MAX_MOVED_SHARE)
        )
        for instance in counts
        if counts[instance] > desired[instance]
    }
    plans = {}
    for target in sorted(shortage, key=shortage.get, reverse=True):
        sources = [instance for instance, units in surplus.items() if units >= width]
        sources = [instance for instance in sources if is_aligned(instance, target)] or sources
        if not sources:
            break
        units_per_source = max(width, -(-shortage[target] // len(sources)))
        for source in sources:
            count = min(units_per_source, surplus[source], shortage[target])
            if count < width:
                continue
            planned_units = {unit for _, units in plans.get(source, ()) for unit in units}
            units = choose_stripes(held[source] - planned_units, count, width, count // width)
            plans.setdefault(source, []).append((target, units))
            surplus[source] -= len(units)
            shortage[target] -= len(units)
    return plans
