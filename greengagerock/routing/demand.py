"""Counts of requests by block of keys, in bounded space, for the leader that places the keys.

Requests of routes whose work differs count by their work, in multiples of the service's mean.
"""

from greengagerock.assignment.units import KEYS_PER_BLOCK
from greengagerock.routing.route_work import RouteWork

# Number of blocks that are counted between two polls of the leader. A router gets a few hundred
# requests in that time.
MAX_BLOCKS = 128
# Sums of binary fractions may be below a whole number by this.
ROUNDING_TOLERANCE = 1e-9


class KeyDemand:
    """The blocks of keys with the most requests since the last collection.

    When all counters are in use, a new block takes over the smallest counter with its value. So
    a block that gets more than one in ``MAX_BLOCKS`` requests is always included.

    Args:
        max_blocks: Number of counters.

    Attributes:
        counts: Work by service and block since the last collection.
        route_work: The ``RouteWork``.
        remainders: Work by service that was not reported yet, as reports carry whole numbers.

    Examples:
        >>> demand = KeyDemand(max_blocks=2)
        >>> for key in (0, 1, 70, 2, 900):
        ...     demand.count("till", key)
        >>> demand.collect()
        {'till': {0: 3, 112: 2}}
        >>> demand.collect()
        {}

    References:
        A. Metwally et al.: Efficient Computation of Frequent and Top-k Elements in Data
        Streams, ICDT 2005 (Space-Saving).
    """

    __slots__ = ("counts", "max_blocks", "remainders", "route_work")

    def __init__(self, max_blocks=MAX_BLOCKS):
        self.max_blocks = max_blocks
        self.counts = {}
        self.route_work = RouteWork()
        self.remainders = {}

    def count(self, service, key, route=""):
        """Count a request of a route for a key."""
        work = self.route_work.weight(service, route)
        block = (service, key // KEYS_PER_BLOCK)
        counts = self.counts
        if block in counts:
            counts[block] += work
        elif len(counts) < self.max_blocks:
            counts[block] = work
        else:
            smallest = min(counts, key=counts.get)
            counts[block] = counts.pop(smallest) + work

    def note_response(self, service, route, response_s):
        """Add the time in seconds that a response to a request of a route took."""
        self.route_work.note(service, route, response_s)

    def collect(self):
        """Return the work by block of each service in whole numbers, and reset the counts."""
        collected = {}
        for (service, block), work in self.counts.items():
            total = work + self.remainders.get(service, 0.0)
            count = int(total + ROUNDING_TOLERANCE)
            self.remainders[service] = total - count
            if count:
                collected.setdefault(service, {})[block] = count
        self.counts = {}
        return collected
