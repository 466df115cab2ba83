"""Finds the route of a request by its host and the longest path prefix."""


def normalise_host(value):
    """Return a host name without port, in lower case.

    Examples:
        >>> normalise_host("Shop.Example:8080")
        'shop.example'
    """
    name, colon, port = value.rpartition(":")
    if colon and port.isdigit():
        value = name
    return value.strip().lower()


class Places:
    """An index of routes by host and path prefix.

    A look-up takes one step for each segment of the path, however many routes there
    are.

    Args:
        routes: The ``RouteItem`` objects.

    Examples:
        >>> from greengagerock.testing.item_builders import build_route
        >>> places = Places([build_route("r1", prefix="/a/"), build_route("r2", prefix="/a/b/")])
        >>> places.find("shop.example", "/a/b/c").name
        'r2'
        >>> places.find("shop.example", "/b") is None
        True
    """

    __slots__ = ("hosts",)

    def __init__(self, routes=()):
        self.hosts = {}
        for route in routes:
            prefixes = self.hosts.setdefault(normalise_host(route.host), {})
            prefixes[route.prefix] = route

    def find(self, host, path):
        """Return the route of a request, or ``None``.

        Args:
            host: Value of the ``Host`` header.
            path: Path of the request, without query.
        """
        prefixes = self.hosts.get(host) or self.hosts.get(normalise_host(host))
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
