"""Weights of endpoints with keys that limit their requests or are cold.

It answers requests that only one endpoint may run: an endpoint that takes few requests gets few
keys, so that most callers' keys have a holder that takes theirs.
"""

from greengagerock.assignment.endpoint_weights import LIMIT_USE_SHARE
from greengagerock.assignment.units import UNIT_COUNT
from greengagerock.control.cold_shares import EXPECTATION_S

# Keys leave a cold endpoint only if it stays cold for longer than this. They move with its next
# report, and back with one after the end; each move delays some callers by up to 0.5 s.
MIN_LEFT_TO_MOVE_S = 5.0


def apply_limits(assignments, instances, limit_shares, now_s):
    """Bound the weights of the endpoints of a service for as long as their limits last.

    Args:
        assignments: The ``KeyAssignments`` of the service.
        instances: All ``EndpointInstance`` objects of the service.
        limit_shares: The ``LimitShares``.
        now_s: Monotonic time in seconds.
    """
    for instance in instances:
        name, started_ms = instance.name, instance.report.started_ms
        if apply_cold_limit(assignments, instance, instances, limit_shares, now_s):
            continue
        limit = limit_shares.lasting_limit(name, started_ms, now_s)
        if limit is None:
            assignments.weights.end_cap(name)
            continue
        demand_per_s = limit.demand_per_s(now_s)
        if demand_per_s is None:
            continue
        held_share = len(assignments.held.get(instance, ())) / UNIT_COUNT
        assignments.weights.cap(
            name, held_share * len(instances), limit.limit_per_s, demand_per_s, now_s
        )


def apply_cold_limit(assignments, instance, instances, limit_shares, now_s):
    """Bound the weight of an endpoint if it is cold: the demand for its keys fits its rate.

    Args:
        assignments: The ``KeyAssignments`` of the service.
        instance: The ``EndpointInstance``.
        instances: All instances of the service.
        limit_shares: The ``LimitShares``.
        now_s: Monotonic time in seconds.

    Returns:
        Whether it is cold.
    """
    if not limit_shares.cold.is_cold(instance.name, instance.report.started_ms):
        return False
    state = limit_shares.cold.states[instance.name]
    held_weight = len(assignments.held.get(instance, ())) / UNIT_COUNT * len(instances)
    weight, demand_per_s = held_weight, state.demand_per_s(now_s)
    if not held_weight or demand_per_s is None or now_s - state.since_s < EXPECTATION_S:
        # The demand for its present keys is not known yet.
        block_loads = assignments.hot_units.block_loads
        block_loads.decay(now_s)
        weight, demand_per_s = 1.0, block_loads.total_rate() / len(instances)
    left_s = state.until_s - now_s
    assignments.weights.cap(
        instance.name,
        weight,
        state.limit_per_s,
        demand_per_s,
        now_s,
        use_share=cold_use_share(now_s - state.since_s, left_s),
        lowest=held_weight if left_s < MIN_LEFT_TO_MOVE_S else 0.0,
        is_cold=True,
    )
    return True


def cold_use_share(elapsed_s, left_s):
    """Return which share of its rate the requests for a cold endpoint's keys should use.

    It grows from the share for limits in general to 1 at the end of the cold phase.

    Examples:
        >>> cold_use_share(0.0, 3.0), round(cold_use_share(1.5, 1.5), 2), cold_use_share(3.0, 0.0)
        (0.6, 0.8, 1.0)
    """
    phase_s = elapsed_s + left_s
    progress = min(1.0, elapsed_s / phase_s) if phase_s > 0 else 1.0
    return LIMIT_USE_SHARE + (1.0 - LIMIT_USE_SHARE) * progress
