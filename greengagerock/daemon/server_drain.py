"""The end of HTTP servers after the decision core has ended its work.

It answers requests that are on their way when a host stops. They are at a worker thread, in a
buffer of the operating system, or on a link; so the process waits for connections to end rather
than for requests.
"""

import time

# Largest number of connections that the log names at the end of the process.
MAX_LOGGED_CONNECTIONS = 16
CHECK_INTERVAL_S = 0.01


class ServerDrain:
    """Lets HTTP servers answer the requests on all connections before the process ends.

    Each response closes its connection, and connections without a request get one at once. When
    they have ended, the ports are closed, and the process ends with the last of the connections
    that were opened meanwhile. Ports that closed first would turn callers away for longer.

    Args:
        servers: The ``HttpServer`` objects.

    Attributes:
        is_closing: Whether responses close their connections.
        is_accepting: Whether the ports are open.
        is_complete: Whether all connections have ended.
    """

    def __init__(self, servers):
        self.servers = servers
        self.is_closing = False
        self.is_accepting = True
        self.is_complete = False

    def is_drained(self, now_s):
        """Take the next step; return whether the process may end without cutting a request off.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self.is_closing:
            self.is_closing = True
            for server in self.servers:
                server.begin_closing()
        are_dismissed = [server.dismiss_idle_connections(now_s) for server in self.servers]
        if all(are_dismissed):
            self.stop_accepting()
        is_unused = not any(len(server.open_connections) for server in self.servers)
        self.is_complete = is_unused and not self.is_accepting
        return self.is_complete

    def stop_accepting(self):
        """Close the ports."""
        if self.is_accepting:
            self.is_accepting = False
            for server in self.servers:
                server.stop_accepting()

    def report(self, log):
        """Log the connections that end with the process, and what held each of them.

        Args:
            log: Callable that writes one log line.

        Returns:
            The fields that count them.
        """
        now_s = time.monotonic()
        open_ones = [
            (server.address, progress)
            for server in self.servers
            for progress in server.open_connections.progress()
        ]
        for address, progress in open_ones[:MAX_LOGGED_CONNECTIONS]:
            log("connection-cut", listen=address, **progress.describe(now_s))
        return {
            "open": len(open_ones),
            "closed_idle": sum(s.open_connections.closed_idle_count for s in self.servers),
            "is_drained": self.is_complete,
        }
