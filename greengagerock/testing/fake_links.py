"""Simulated network links of routers, which long responses fill."""


class FakeLink:
    """One direction of a host's link: bytes pass in order of arrival, at a fixed rate.

    Args:
        bytes_per_s: Its speed.

    Attributes:
        free_s: When all bytes that have arrived so far have passed.

    Examples:
        >>> link = FakeLink(100.0)
        >>> link.pass_bytes(50, 0.0), link.pass_bytes(50, 0.2), link.wait_s(0.3)
        (0.5, 0.8, 0.7)
    """

    __slots__ = ("bytes_per_s", "free_s")

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_s = 0.0

    def wait_s(self, now_s):
        """Return how long a small packet waits for the bytes before it."""
        return max(0.0, self.free_s - now_s)

    def pass_bytes(self, size, now_s):
        """Pass a response; return the time until its last byte has passed."""
        self.free_s = max(self.free_s, now_s) + size / self.bytes_per_s
        return self.free_s - now_s


class FakeLinks:
    """The links of all routers, one in each direction.

    Endpoints and callers have fast links.

    Args:
        bytes_per_s: Speed of the link of each router, or ``None`` if no link is slow.
    """

    def __init__(self, bytes_per_s=None):
        self.bytes_per_s = bytes_per_s
        self.links = {}

    def open_s(self, hosts, now_s):
        """Return how long opening a connection waits on the links of the routers at its ends."""
        return sum(link.wait_s(now_s) for host in hosts for link in self._links_of(host))

    def pass_s(self, hosts, size, now_s):
        """Pass a response through routers; return the time until its last byte has arrived.

        Each router passes it on while it receives it.
        """
        waits_s = [link.pass_bytes(size, now_s) for h in hosts for link in self._links_of(h)]
        return max(waits_s, default=0.0)

    def _links_of(self, host):
        if self.bytes_per_s is None:
            return ()
        if host not in self.links:
            self.links[host] = (FakeLink(self.bytes_per_s), FakeLink(self.bytes_per_s))
        return self.links[host]
