"""Priorities of the routes of a service."""


def lowest_priorities(routes):
    """Return the priority of the least urgent route of each service; higher is less urgent.

    Examples:
        >>> from greengagerock.testing.item_builders import build_route
        >>> lowest_priorities([build_route("a", priority=1), build_route("b", priority=2)])
        {'till': 2}
    """
    lowest = {}
    for route in routes:
        if route.priority is None:
            continue
        for weighted_service in route.weighted_services:
            lowest[weighted_service.service] = max(
                lowest.get(weighted_service.service, 0), route.priority
            )
    return lowest
