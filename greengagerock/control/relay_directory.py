"""Choice of the routers through which each router may send requests to endpoints."""

import bisect

# Number of relays that each router gets.
RELAYS_PER_ROUTER = 6
# Endpoints that a relay may fail to reach beyond those that no router reaches, as a share of all.
MAX_UNREACHABLE_SHARE = 0.25


class RelayDirectory:
    """The routers that forward requests for others, and what they have reported.

    A router that cannot reach many endpoints is not given to others as a relay, unless all
    routers are like that.

    Args:
        endpoint_count: Callable that returns the number of endpoints.

    Attributes:
        reports: Relay address and number of unreachable endpoints, by router.

    Examples:
        >>> directory = RelayDirectory(lambda: 8)
        >>> for name in "abc":
        ...     changed = directory.note(name, f"{name}:1", 0)
        >>> directory.relays_for("a")
        ('b:1', 'c:1')
        >>> directory.note("b", "b:1", 8), directory.relays_for("a"), directory.relays_for("b")
        (True, ('c:1',), ('a:1', 'c:1'))
    """

    def __init__(self, endpoint_count):
        self.endpoint_count = endpoint_count
        self.reports = {}
        self._assigned = {}
        self._ring = []
        self._routers = []
        self._usable = frozenset()

    def note(self, router, relay_address, unreachable):
        """Record a router's report.

        Args:
            router: Link address of the router.
            relay_address: Where it takes requests of other routers, or empty if it does not.
            unreachable: Number of endpoints that it cannot reach.

        Returns:
            Whether this changes the relays of any router.
        """
        if self.reports.get(router) == (relay_address, unreachable):
            return False
        self.reports[router] = (relay_address, unreachable)
        return self._rebuild()

    def remove(self, router):
        """Remove a router that no longer reports; return whether this changes any relays."""
        self._assigned.pop(router, None)
        return self.reports.pop(router, None) is not None and self._rebuild()

    def relays_for(self, router):
        """Return the relay addresses for a router.

        They stay as they are while all of them can be used, since the router keeps connections to
        them open: a restart of one router concerns those that have it as a relay only.
        """
        own_address, _ = self.reports.get(router, ("", 0))
        most = len(self._usable) - (own_address in self._usable)
        relays = self._assigned.get(router, ())
        if len(relays) < min(RELAYS_PER_ROUTER, most) or not self._usable.issuperset(relays):
            relays = self._assigned[router] = self._choose_for(router)
        return relays

    def _choose_for(self, router):
        """Return relays that are evenly spaced in the order of the routers' addresses.

        That is mostly the order of the availability zones. They begin at the router's place among
        all routers, so that each relay serves about as many routers as any other, also if
        neighbours have lost their endpoints.
        """
        own = bisect.bisect_left(self._ring, (router,))
        is_in_ring = own < len(self._ring) and self._ring[own][0] == router
        candidate_count = len(self._ring) - is_in_ring
        count = min(RELAYS_PER_ROUTER, candidate_count)
        place = bisect.bisect_left(self._routers, router)
        start = place * candidate_count // max(1, len(self._routers))
        chosen = [(start + k * candidate_count // count) % candidate_count for k in range(count)]
        return tuple(self._ring[i + (is_in_ring and i >= own)][1] for i in chosen)

    def _rebuild(self):
        counts = [unreachable for address, unreachable in self.reports.values() if address]
        limit = min(counts, default=0) + max(1, MAX_UNREACHABLE_SHARE * self.endpoint_count())
        ring = sorted(
            (router, address)
            for router, (address, unreachable) in self.reports.items()
            if address and unreachable <= limit
        )
        routers = sorted(self.reports)
        has_changed = (ring, routers) != (self._ring, self._routers)
        self._ring, self._routers = ring, routers
        self._usable = frozenset(address for _, address in ring)
        return has_changed
