"""Simulated network paths from routers to endpoints, with the connections that are kept open."""

# How a path fails. ``HANGS``: nothing passes in either direction. ``RESETS``: connections are
# reset and new ones refused. ``REFUSES_NEW``: open connections work, new ones are refused.
# ``ONE_WAY``: bytes reach the endpoint on open connections, nothing comes back.
HANGS = "hangs"
RESETS = "resets"
REFUSES_NEW = "refuses-new"
ONE_WAY = "one-way"
FAULTS = (HANGS, RESETS, REFUSES_NEW, ONE_WAY)

# Time after which a router gives up connecting.
CONNECT_TIMEOUT_S = 0.15


class FakePaths:
    """Connections of routers to endpoints and relays, and the faults of the paths to endpoints.

    Attributes:
        faults: Fault by (router, endpoint) of paths that fail.
        idle_connections: Number of idle connections by (router, endpoint) and (router, relay).
        relay_connect_range_s: Shortest and longest time until a connection to a relay opens.
        in_flight: Tokens of requests at an endpoint by (router, endpoint), with the callables
            that end them.
    """

    def __init__(self):
        self.faults = {}
        self.idle_connections = {}
        self.relay_connect_range_s = (0.0, 0.0)
        self.in_flight = {}

    def cut(self, routers, endpoints, fault):
        """Let the paths between routers and endpoints fail.

        Args:
            routers: Names of routers.
            endpoints: Names of endpoints.
            fault: One of ``FAULTS``.
        """
        for router in routers:
            for endpoint in endpoints:
                path = (router, endpoint)
                self.faults[path] = fault
                if fault == RESETS:
                    self.idle_connections.pop(path, None)
                    for reset in list(self.in_flight.get(path, {}).values()):
                        reset()

    def heal(self):
        """End all faults."""
        self.faults.clear()

    def fault_of(self, path):
        """Return the fault of a path, or ``None``."""
        return self.faults.get(path)

    def take_connection(self, path):
        """Take an idle connection; return whether there was one."""
        count = self.idle_connections.get(path, 0)
        self.idle_connections[path] = max(0, count - 1)
        return count > 0

    def add_connection(self, path):
        """Add an idle connection."""
        self.idle_connections[path] = self.idle_connections.get(path, 0) + 1

    def begin(self, path, token, reset):
        """Record a request at an endpoint; ``reset`` is called if its connection is reset."""
        self.in_flight.setdefault(path, {})[token] = reset

    def end(self, path, token, keeps_connection):
        """Record the end of a request; return whether it was still at the endpoint."""
        was_in_flight = self.in_flight.get(path, {}).pop(token, None) is not None
        if was_in_flight and keeps_connection:
            self.add_connection(path)
        return was_in_flight

    def close_idle(self, router, endpoint):
        """Close the idle connections of a router to an endpoint."""
        self.idle_connections.pop((router, endpoint), None)
