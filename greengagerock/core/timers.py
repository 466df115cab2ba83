"""The timer service, the only source of time for the decision core."""

import heapq

import msgspec


class Subscription(msgspec.Struct, eq=False):
    """A handler waiting for a moment.

    Attributes:
        due_s: Monotonic time in seconds at which the handler runs.
        handler: Called without arguments.
        active: False once it has run or was cancelled.
    """

    due_s: float
    handler: object
    active: bool = True

    def cancel(self):
        """Keep the handler from running."""
        self.active = False


class TimerService:
    """Runs subscribed handlers when time is advanced past their moment.

    The service never reads a clock. Its owner calls ``advance`` with the
    current monotonic time, so tests drive it by hand.

    Examples:
        >>> timers = TimerService()
        >>> fired = []
        >>> _ = timers.subscribe(2.0, lambda: fired.append(timers.now_s))
        >>> timers.advance(1.0)
        >>> fired
        []
        >>> timers.advance(2.5)
        >>> fired
        [2.5]
    """

    def __init__(self, now_s=0.0):
        self.now_s = now_s
        self._heap = []
        self._sequence = 0

    def subscribe(self, after_s, handler):
        """Call ``handler`` once, ``after_s`` seconds from now.

        Args:
            after_s: Delay in seconds, not negative.
            handler: Callable without arguments.

        Returns:
            The subscription, which can be cancelled.
        """
        subscription = Subscription(self.now_s + after_s, handler)
        self._sequence += 1
        heapq.heappush(self._heap, (subscription.due_s, self._sequence, subscription))
        return subscription

    def advance(self, now_s):
        """Move time forward and run every handler that has become due.

        Time never moves backwards: an earlier ``now_s`` is ignored.
        """
        self.now_s = max(self.now_s, now_s)
        while self._heap and self._heap[0][0] <= self.now_s:
            _, _, subscription = heapq.heappop(self._heap)
            if subscription.active:
                subscription.active = False
                subscription.handler()

    def next_due_s(self):
        """Return the earliest due moment in seconds, or ``None`` if there is none."""
        while self._heap and not self._heap[0][2].active:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
