"""Validation of a patch as a whole against the current items."""

import math

from greengagerock.core import GreengageError
from greengagerock.items.item import without_sent_fields

# A latency objective that exceeds the timeout by a minute or more is assumed to be given in the
# wrong time unit.
MAX_OBJECTIVE_EXCESS_S = 60.0


def check_patch(patch, items, resulting):
    """Refuse a patch that is malformed or leads to an inconsistent configuration.

    Args:
        patch: The ``Patch``.
        items: The ``Items`` before the patch.
        resulting: The ``Items`` after the patch.

    Raises:
        GreengageError: ``invalid-item`` with the item and the error, or
            ``version-conflict`` if an item has the version of the current one but other
            content.
    """
    for route in patch.routes:
        _check_route(route)
    for service in patch.services:
        _check_service(service)
    _check_conflicts(patch, items)
    _check_references(patch, resulting)
    _check_locations(patch.routes)
    _check_locations(resulting.routes.values())


def _reject(item, reason):
    raise GreengageError("invalid-item", f"{item!r}: {reason}")


def _check_route(route):
    if route.timeout_s <= 0:
        _reject(route.name, "the timeout must be positive")
    if route.attempts < 1:
        _reject(route.name, "at least one attempt is required")
    objective_s = route.objective_s or 0.0
    if objective_s - route.timeout_s >= MAX_OBJECTIVE_EXCESS_S:
        _reject(route.name, "the latency objective exceeds the timeout by a minute or more")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        _reject(route.name, "the prefix must begin and end with a slash")
    if not route.weighted_services:
        _reject(route.name, "the route has no service")
    if any(weighted_service.weight < 0 for weighted_service in route.weighted_services):
        _reject(route.name, "weights must not be negative")
    if not any(weighted_service.weight > 0 for weighted_service in route.weighted_services):
        _reject(route.name, "at least one weight must be positive")


def _check_service(service):
    if service.max_connections < 1:
        _reject(service.name, "at least one connection must be allowed")
    if not service.health_path.startswith("/"):
        _reject(service.name, "the path of the liveness check must begin with a slash")
    if service.warm_up is not None:
        _check_warm_up(service.name, service.warm_up)


def _check_warm_up(name, warm_up):
    for value in (warm_up.duration_s, warm_up.requests_per_s):
        if value is not None and not 0 <= value < math.inf:
            _reject(name, "the warm-up time and its request rate must be finite and not negative")


def _check_conflicts(patch, items):
    for new, current in (
        *((route, items.routes.get(route.name)) for route in patch.routes),
        *((service, items.services.get(service.name)) for service in patch.services),
        (patch.limits, items.limits),
    ):
        if new is None or current is None:
            continue
        # Voters of builds without ``sent_fields`` have to reach the same result.
        is_same = without_sent_fields(new) == without_sent_fields(current)
        if new.version == current.version and not is_same:
            name = getattr(new, "name", "limits")
            raise GreengageError(
                "version-conflict",
                f"{name!r} already has version {new.version} with other content",
            )


def _check_references(patch, resulting):
    """Check that all routes of the patch and all resulting routes name existing services."""
    for route in (*patch.routes, *resulting.routes.values()):
        for weighted_service in route.weighted_services:
            if weighted_service.service not in resulting.services:
                _reject(route.name, f"service {weighted_service.service!r} does not exist")


def _check_locations(routes):
    names = {}
    for route in routes:
        other = names.setdefault((route.host, route.prefix), route.name)
        if other != route.name:
            _reject(route.name, f"route {other!r} has the same host and prefix")
