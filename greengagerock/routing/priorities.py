"""Priorities of the routes of a service."""


def rank_priorities(routes):
    """Return the ranks of the priorities of each service; rank 0 is the most urgent.

    Args:
        routes: The ``RouteItem`` objects.

    Returns:
        A pair: rank by (service, priority), and the highest rank by service.

    Examples:
        >>> from greengagerock.testing.item_builders import build_route
        >>> rank_priorities([build_route("a", priority=1), build_route("b", priority=4)])
        ({('till', 1): 0, ('till', 4): 1}, {'till': 1})
    """
    priorities = {}
    for route in routes:
        if route.priority is None:
            continue
        for weighted_service in route.weighted_services:
            priorities.setdefault(weighted_service.service, set()).add(route.priority)
    ranks = {
        (service, priority): rank
        for service, of_service in priorities.items()
        for rank, priority in enumerate(sorted(of_service))
    }
    return ranks, {service: len(of_service) - 1 for service, of_service in priorities.items()}
