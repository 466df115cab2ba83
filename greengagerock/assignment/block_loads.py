"""Load of a service by block of keys, from the counts of routers.

Shows which neighbouring keys are hot when a few of them get much of the traffic. Requests are
counted by block, because a single key gets too few in a second to tell whether it is hot.
"""

import math

# Time constant of the decay: a request loses half of its weight in about two thirds of this time.
DECAY_S = 1.5
# Lower counts are dropped.
MIN_COUNT = 0.05
# A block whose count is at least this has become busy. Until its counts have lasted for a few
# time constants, its rate is derived from the time since then.
MIN_BUSY_COUNT = 2.0
# Counts are decayed in steps of at least this length, since each step takes all of them.
MIN_STEP_S = 0.05
# A router's message covers this time, in seconds.
MESSAGE_SPAN_S = 0.5


class BlockLoads:
    """Exponentially decaying counts of requests by block of keys.

    Attributes:
        counts: Decayed number of requests by block.
        updated_s: Monotonic time in seconds up to which the counts are decayed.
        busy_since_s: When each busy block became busy.

    Examples:
        >>> loads = BlockLoads()
        >>> loads.add_requests({7: 12}, 0.0)
        >>> round(loads.rate(7), 1)
        28.2
        >>> for number in range(1, 13):
        ...     loads.add_requests({7: 12}, 0.5 * number)
        >>> round(loads.rate(7), 1)
        28.2

    References:
        G. Cormode et al.: Forward Decay, ICDE 2009, for sums that decay exponentially.
    """

    __slots__ = ("busy_since_s", "counts", "updated_s")

    def __init__(self):
        self.counts = {}
        self.updated_s = 0.0
        self.busy_since_s = {}

    def add_requests(self, requests, now_s):
        """Add the requests that a router has counted since its previous message.

        Args:
            requests: Number of requests by block.
            now_s: Monotonic time in seconds.
        """
        self.decay(now_s)
        for block, count in requests.items():
            total = self.counts[block] = self.counts.get(block, 0.0) + count
            if total >= MIN_BUSY_COUNT and block not in self.busy_since_s:
                self.busy_since_s[block] = now_s

    def decay(self, now_s):
        """Reduce the counts according to the time that has passed."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s < MIN_STEP_S:
            return
        self.updated_s = now_s
        factor = math.exp(-elapsed_s / DECAY_S)
        self.counts = {
            block: count * factor
            for block, count in self.counts.items()
            if count * factor > MIN_COUNT
        }
        self.busy_since_s = {
            block: since_s
            for block, since_s in self.busy_since_s.items()
            if self.counts.get(block, 0.0) >= MIN_BUSY_COUNT
        }

    def rate(self, block):
        """Return the requests per second for a block."""
        count = self.counts.get(block, 0.0)
        since_s = self.busy_since_s.get(block)
        if since_s is None:
            return count / DECAY_S
        span_s = self.updated_s - since_s + MESSAGE_SPAN_S
        return count / (DECAY_S * (1.0 - math.exp(-span_s / DECAY_S)))

    def rates(self):
        """Return the requests per second of all blocks."""
        rates = {block: count / DECAY_S for block, count in self.counts.items()}
        for block in self.busy_since_s:
            rates[block] = self.rate(block)
        return rates

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
