"""Counts of requests by block of keys, in bounded space, for the leader that places the keys."""

from greengagerock.assignment.units import KEYS_PER_BLOCK

# Number of blocks that are counted between two polls of the leader. A router gets a few hundred
# requests in that time.
MAX_BLOCKS = 128


class KeyDemand:
    """The blocks of keys with the most requests since the last collection.

    When all counters are in use, a new block takes over the smallest counter with its value. So
    a block that gets more than one in ``MAX_BLOCKS`` requests is always included.

    Args:
        max_blocks: Number of counters.

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

    __slots__ = ("counts", "max_blocks")

    def __init__(self, max_blocks=MAX_BLOCKS):
        self.max_blocks = max_blocks
        self.counts = {}

    def count(self, service, key):
        """Count a request for a key."""
        block = (service, key // KEYS_PER_BLOCK)
        counts = self.counts
        if block in counts:
            counts[block] += 1
        elif len(counts) < self.max_blocks:
            counts[block] = 1
        else:
            smallest = min(counts, key=counts.get)
            counts[block] = counts.pop(smallest) + 1

    def collect(self):
        """Return the requests by block of each service, and reset the counts."""
        collected = {}
        for (service, block), count in self.counts.items():
            collected.setdefault(service, {})[block] = count
        self.counts = {}
        return collected
