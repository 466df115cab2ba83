"""Checks a patch as a whole against the items that stand."""

from greengagerock.core import GreengageError

# A latency objective that exceeds its time-out by a minute or more is a mistake of units.
OBJECTIVE_EXCESS_LIMIT_S = 60.0


def check_patch(patch, items, resulting):
    """Refuse a patch that is malformed or leads to an inconsistent configuration.

    Args:
        patch: The ``Patch``.
        items: The ``Items`` before it.
        resulting: The ``Items`` after it.

    Raises:
        GreengageError: ``invalid-item`` with the item and the fault, or
            ``version-conflict`` if an item is sent with other content under the
            version that it already has.
    """
    for route in patch.routes:
        _check_route(route)
    for service in patch.services:
        _check_service(service)
    _check_conflicts(patch, items)
    _check_references(patch, resulting)
    _check_places(patch.routes)
    _check_places(resulting.routes.values())


def _refuse(item, fault):
    raise GreengageError("invalid-item", f"{item!r}: {fault}")


def _check_route(route):
    if route.timeout_s <= 0:
        _refuse(route.name, "the time-out is not positive")
    if route.attempts < 1:
        _refuse(route.name, "at least one attempt is needed")
    objective_s = route.objective_s or 0.0
    if objective_s - route.timeout_s >= OBJECTIVE_EXCESS_LIMIT_S:
        _refuse(route.name, "the latency objective is far above the time-out")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        _refuse(route.name, "the prefix does not begin and end with a slash")
    if not route.parts:
        _refuse(route.name, "no service is named")
    if any(part.weight < 0 for part in route.parts):
        _refuse(route.name, "a weight is negative")
    if not any(part.weight > 0 for part in route.parts):
        _refuse(route.name, "no weight is positive")


def _check_service(service):
    if service.max_connections < 1:
        _refuse(service.name, "no connection is allowed")
    if not service.health_path.startswith("/"):
        _refuse(service.name, "the path of the liveness check does not begin with a slash")


def _check_conflicts(patch, items):
    for new, standing in (
        *((route, items.routes.get(route.name)) for route in patch.routes),
        *((service, items.services.get(service.name)) for service in patch.services),
        (patch.limits, items.limits),
    ):
        if new is None or standing is None:
            continue
        if new.version == standing.version and new != standing:
            name = getattr(new, "name", "limits")
            raise GreengageError(
                "version-conflict", f"{name!r} has version {new.version} with other content"
            )


def _check_references(patch, resulting):
    """Every route of the patch, and every route that stands, names known services."""
    for route in (*patch.routes, *resulting.routes.values()):
        for part in route.parts:
            if part.service not in resulting.services:
                _refuse(route.name, f"service {part.service!r} does not exist")


def _check_places(routes):
    seen = {}
    for route in routes:
        other = seen.setdefault((route.host, route.prefix), route.name)
        if other != route.name:
            _refuse(route.name, f"{other!r} has the same host and prefix")
