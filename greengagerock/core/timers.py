"""The timer service: the only source of time in the decision core."""

import heapq

import msgspec


class Timer(msgspec.Struct, eq=False):
    """A timer that runs a handler once.

    Attributes:
        due_s: Monotonic time at which the handler runs, in seconds.
        handler: Callable without arguments.
        active: Whether the timer has neither run nor been cancelled.
    """

    due_s: float
    handler: object
    active: bool = True

    def cancel(self):
        """Cancel the timer, so that its handler does not run."""
        self.active = False


class TimerService:
    """Runs the handlers of timers when time is advanced past their due times.

    The service never reads a clock. Its owner calls ``advance`` with the current monotonic
    time, so tests control time explicitly.

    Args:
        now_s: Initial monotonic time in seconds.

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
            The ``Timer``, which can be cancelled.
        """
        timer = Timer(self.now_s + after_s, handler)
        self._sequence += 1
        heapq.heappush(self._heap, (timer.due_s, self._sequence, timer))
        return timer

    def advance(self, now_s):
        """Advance time and run the handlers of all due timers.

        Time never moves backwards: an earlier ``now_s`` is ignored.
        """
        self.now_s = max(self.now_s, now_s)
        while self._heap and self._heap[0][0] <= self.now_s:
            _, _, timer = heapq.heappop(self._heap)
            if timer.active:
                timer.active = False
                timer.handler()

    def next_due_s(self):
        """Return the earliest due time in seconds, or ``None`` if no timer is active."""
        while self._heap and not self._heap[0][2].active:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
