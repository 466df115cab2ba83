"""How much of a service's load is for which keys, as routers count it.

Answers the load of days on which a few neighbouring keys get much of the traffic. Keys are
counted in blocks, because a single key gets too few requests in a second to tell hot from cold.
"""

import math

# Half of the weight of a request is gone after about two thirds of this time.
MEMORY_S = 1.5
# Counts below this say nothing any more.
FORGOTTEN_COUNT = 0.05


class LoadBook:
    """Decaying counts of requests by block of keys.

    Attributes:
        counts: Decayed number of requests by block.
        updated_s: Monotonic time in seconds at which the counts are right.

    Examples:
        >>> book = LoadBook()
        >>> book.note({7: 12}, 0.0)
        >>> book.rate(7)
        8.0
        >>> book.decay(1.5)
        >>> round(book.rate(7), 2)
        2.94

    References:
        G. Cormode et al.: Forward Decay, ICDE 2009, for sums that decay exponentially.
    """

    __slots__ = ("counts", "updated_s")

    def __init__(self):
        self.counts = {}
        self.updated_s = 0.0

    def note(self, requests, now_s):
        """Take in what a router has counted since it last said so.

        Args:
            requests: Number of requests by block.
            now_s: Monotonic time in seconds.
        """
        self.decay(now_s)
        for block, count in requests.items():
            self.counts[block] = self.counts.get(block, 0.0) + count

    def decay(self, now_s):
        """Let older requests weigh less, by the time that has passed."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s <= 0:
            return
        self.updated_s = now_s
        factor = math.exp(-elapsed_s / MEMORY_S)
        self.counts = {
            block: count * factor
            for block, count in self.counts.items()
            if count * factor > FORGOTTEN_COUNT
        }

    def rate(self, block):
        """Return the requests for a block in a second."""
        return self.counts.get(block, 0.0) / MEMORY_S

    def hot_blocks(self, minimum):
        """Return the blocks with at least so many decayed requests."""
        return {block for block, count in self.counts.items() if count >= minimum}
