"""Look-up of a request's route by host and longest path prefix."""


def normalise_host(value):
    """Return a host name in lower case, without port.

    Examples:
        >>> normalise_host("Shop.Example:8080")
        'shop.example'
    """
    name, colon, port = value.rpartition(":")
    if colon and port.isdigit():
        value = name
    return value.strip().lower()


class RouteIndex:
    """Index of routes by host and path prefix.

    A look-up takes one step for each segment of the path, regardless of the number of routes.

    Args:
        routes: The ``RouteItem`` objects.

    Examples:
        >>> from greengagerock.testing.item_builders import build_route
        >>> routes = [build_route("r1", prefix="/a/"), build_route("r2", prefix="/a/b/")]
        >>> index = RouteIndex(routes)
        >>> index.find("shop.example", "/a/b/c").name
        'r2'
        >>> index.find("shop.example", "/b") is None
        True
    """

    __slots__ = ("routes_by_host",)

    def __init__(self, routes=()):
        self.routes_by_host = {}
        for route in routes:
            prefixes = self.routes_by_host.setdefault(normalise_host(route.host), {})
            prefixes[route.prefix] = route

    def find(self, host, path):
        """Return the route of a request, or ``None``.

        Args:
            host: Value of the ``Host`` header.
            path: Path of the request without query.
        """
        prefixes = self.routes_by_host.get(host) or self.routes_by_host.get(normalise_host(host))
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
