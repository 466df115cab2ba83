"""Load of a service by block of keys, from the counts of routers.

Shows which neighbouring keys are hot when a few of them get much of the traffic. Requests are
counted by block, because a single key gets too few in a second to tell whether it is hot.
"""

import math

# Time constant of the decay: a request loses half of its weight in about two thirds of this time.
DECAY_S = 1.5
# Lower counts are dropped.
MIN_COUNT = 0.05


class BlockLoads:
    """Exponentially decaying counts of requests by block of keys.

    Attributes:
        counts: Decayed number of requests by block.
        updated_s: Monotonic time in seconds up to which the counts are decayed.

    Examples:
        >>> loads = BlockLoads()
        >>> loads.add_requests({7: 12}, 0.0)
        >>> loads.rate(7)
        8.0
        >>> loads.decay(1.5)
        >>> round(loads.rate(7), 2)
        2.94

    References:
        G. Cormode et al.: Forward Decay, ICDE 2009, for sums that decay exponentially.
    """

    __slots__ = ("counts", "updated_s")

    def __init__(self):
        self.counts = {}
        self.updated_s = 0.0

    def add_requests(self, requests, now_s):
        """Add the requests that a router has counted since its previous message.

        Args:
            requests: Number of requests by block.
            now_s: Monotonic time in seconds.
        """
        self.decay(now_s)
        for block, count in requests.items():
            self.counts[block] = self.counts.get(block, 0.0) + count

    def decay(self, now_s):
        """Reduce the counts according to the time that has passed."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s <= 0:
            return
        self.updated_s = now_s
        factor = math.exp(-elapsed_s / DECAY_S)
        self.counts = {
            block: count * factor
            for block, count in self.counts.items()
            if count * factor > MIN_COUNT
        }

    def rate(self, block):
        """Return the requests per second for a block."""
        return self.counts.get(block, 0.0) / DECAY_S

    def total_rate(self):
        """Return the requests per second for all blocks.

        Examples:
            >>> loads = BlockLoads()
            >>> loads.add_requests({7: 12, 9: 3}, 0.0)
            >>> loads.total_rate()
            10.0
        """
        return sum(self.counts.values()) / DECAY_S

    def hot_blocks(self, min_count):
        """Return the blocks whose decayed count is at least ``min_count``."""
        return {block for block, count in self.counts.items() if count >= min_count}
