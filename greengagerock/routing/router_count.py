"""The number of routers, by which routers divide what all of them may do together."""

# Time for which the largest number of routers counts: a new leader knows only some of them.
ROUTER_COUNT_HOLD_S = 10.0


class RouterCount:
    """The largest number of routers that a leader has reported recently.

    Attributes:
        current: Largest number since ``started_s``.
        previous: Largest number in the period before that.
        started_s: Start of the current period.
    """

    __slots__ = ("current", "previous", "started_s")

    def __init__(self):
        self.current = 1
        self.previous = 1
        self.started_s = float("-inf")

    def note(self, count, now_s):
        """Record the number of routers that a leader reports."""
        if now_s - self.started_s >= ROUTER_COUNT_HOLD_S:
            self.previous, self.current = self.current, count
            self.started_s = now_s
        self.current = max(self.current, count)

    @property
    def largest(self):
        """The number by which to divide what all routers may do together."""
        return max(self.current, self.previous, 1)
