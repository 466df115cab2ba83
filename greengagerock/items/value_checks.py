"""Checks of the single values of a patch, before it is proposed.

``validation`` checks a patch against the other items when it is applied. All voters, also those
of other builds, have to reach the same result there, so checks are added here instead.
"""

import math

from greengagerock.core import GreengageError
from greengagerock.core.decoding import MAX_DURATION_S, MAX_INTEGER, MIN_INTEGER
from greengagerock.items.validation import MAX_OBJECTIVE_EXCESS_S

# Sums of weights keep all of their digits.
MAX_WEIGHT = 1e12
# Durations are given in milliseconds with at most this many decimals.
MILLISECOND_DECIMALS = 6


def check_values(patch):
    """Refuse a patch with a value that cannot be stored, sent or returned as it was given.

    One name may come with several versions, of which the highest takes effect.

    Args:
        patch: The ``Patch``.

    Raises:
        GreengageError: ``invalid-item`` with the item and the value.
    """
    _check_repetitions(patch.routes, patch.removed_routes)
    _check_repetitions(patch.services, patch.removed_services)
    for route in patch.routes:
        _check_integers(route.name, route.version, route.attempts, route.priority or 0)
        _check_durations(route.name, route.timeout_s, route.objective_s)
        _check_objective(route)
        for weighted_service in route.weighted_services:
            weight = weighted_service.weight
            if not (math.isfinite(weight) and weight <= MAX_WEIGHT):
                _reject(route.name, f"a weight is above {MAX_WEIGHT:g}")
    for service in patch.services:
        _check_integers(service.name, service.version, service.max_connections)
        keyed, warm_up = service.keyed, service.warm_up
        _check_durations(service.name, keyed and keyed.warm_up_s, warm_up and warm_up.duration_s)
    for removal in (*patch.removed_routes, *patch.removed_services):
        _check_integers(removal.name, removal.version)
    if patch.limits is not None:
        limits = patch.limits
        _check_integers("limits", limits.version, limits.header_bytes, limits.body_bytes)
        _check_durations("limits", limits.header_timeout_s, limits.idle_timeout_s)


def _reject(item, reason):
    raise GreengageError("invalid-item", f"{item!r}: {reason}")


def _check_repetitions(items, removals):
    """Refuse two contents of one version, of which only one can be stored."""
    contents = {}
    for item in (*items, *removals):
        if contents.setdefault((item.name, item.version), item) != item:
            _reject(item.name, f"version {item.version} comes twice with different content")


def _check_integers(item, *values):
    if any(not MIN_INTEGER <= value <= MAX_INTEGER for value in values):
        _reject(item, "a number has more than 64 bits")


def _check_durations(item, *durations_s):
    for duration_s in durations_s:
        if duration_s is not None and not 0 <= duration_s <= MAX_DURATION_S:
            _reject(item, f"a duration is above {MAX_DURATION_S:g} s")


def _check_objective(route):
    """Check the latency objective in decimal milliseconds, as the operator gave it.

    As binary fractions of seconds, 64.002 s exceeds 4.002 s by less than a minute.
    """
    if route.objective_s is None:
        return
    excess_ms = round((route.objective_s - route.timeout_s) * 1000, MILLISECOND_DECIMALS)
    if excess_ms >= MAX_OBJECTIVE_EXCESS_S * 1000:
        _reject(route.name, "the latency objective exceeds the timeout by a minute or more")
