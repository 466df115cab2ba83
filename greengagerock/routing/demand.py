"""Counts requests for keys in bounded space, for the leader that places the keys."""

from greengagerock.holdings.units import BLOCK_KEYS

# Blocks counted between two polls. A router gets a few hundred requests in that time.
MOST_BLOCKS = 128


class KeyDemand:
    """The most wanted blocks of keys since they were last collected.

    When all counters are in use, the smallest passes to the new block, so a block that
    gets more than one request in ``MOST_BLOCKS`` is never missed.

    Examples:
        >>> demand = KeyDemand(most=2)
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

    __slots__ = ("counts", "most")

    def __init__(self, most=MOST_BLOCKS):
        self.most = most
        self.counts = {}

    def count(self, service, key):
        """Count a request for a key."""
        block = (service, key // BLOCK_KEYS)
        counts = self.counts
        if block in counts:
            counts[block] += 1
        elif len(counts) < self.most:
            counts[block] = 1
        else:
            smallest = min(counts, key=counts.get)
            counts[block] = counts.pop(smallest) + 1

    def collect(self):
        """Return the requests by block of each service, and start anew."""
        collected = {}
        for (service, block), count in self.counts.items():
            collected.setdefault(service, {})[block] = count
        self.counts = {}
        return collected
