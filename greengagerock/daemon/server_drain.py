"""The end of HTTP servers after the decision core has ended its work."""

# Checks in a row that must find no request, since a connection is between two lists for a moment
# while it is passed to a worker thread.
CHECKS = 3
CHECK_INTERVAL_S = 0.01


class ServerDrain:
    """Lets HTTP servers answer what they have read before the process ends.

    Args:
        servers: The ``HttpServer`` objects.

    Attributes:
        is_closing: Whether the servers accept no new connections.
        quiet_checks: Number of checks in a row that have found no request.
    """

    def __init__(self, servers):
        self.servers = servers
        self.is_closing = False
        self.quiet_checks = 0

    def is_drained(self):
        """Return whether the process may end without cutting a request off.

        The first call closes the ports, the last one the idle connections.
        """
        if not self.is_closing:
            self.is_closing = True
            for server in self.servers:
                server.stop_accepting()
        if not all(server.is_idle() for server in self.servers):
            self.quiet_checks = 0
            return False
        self.quiet_checks += 1
        if self.quiet_checks < CHECKS:
            return False
        for server in self.servers:
            server.close_idle_connections()
        return not any(server.count_in_progress() for server in self.servers)
