"""A budget for sending requests once more that all routers share without a counter."""

from collections import deque

BUCKET_S = 0.5
# Routers see different shares of the load, so each leaves a part of the budget unused.
USED_SHARE = 0.7


class RetryWindow:
    """Requests and retries of one service in a sliding window.

    Attributes:
        buckets: Pairs of counts by time, as [start, requests, retries].
    """

    __slots__ = ("buckets",)

    def __init__(self):
        self.buckets = deque()

    def current(self, now_s, window_s):
        """Return the bucket of this moment."""
        buckets = self.buckets
        while buckets and buckets[0][0] < now_s - window_s:
            buckets.popleft()
        if not buckets or now_s - buckets[-1][0] >= BUCKET_S:
            buckets.append([now_s, 0, 0])
        return buckets[-1]


class SharedRetryBudget:
    """Allows a router its share of the retries of a service.

    In any window a service may get ``ratio`` times its requests plus ``slack`` further
    arrivals, summed over all routers. A router uses its own requests as the measure of
    its share of the first term, and an equal share of the second.

    Args:
        ratio: Retries for each request.
        slack: Retries allowed besides, over all routers.
        window_s: Length of the window in seconds.

    Examples:
        >>> budget = SharedRetryBudget(0.2, 60, 10.0)
        >>> budget.routers = 12
        >>> sum(budget.take("till", 0.0) for _ in range(20))
        3
    """

    __slots__ = ("ratio", "routers", "slack", "window_s", "windows")

    def __init__(self, ratio, slack, window_s):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.routers = 1
        self.windows = {}

    def count_request(self, service, now_s):
        """Count a caller's request for a service."""
        self._window(service).current(now_s, self.window_s)[1] += 1

    def take(self, service, now_s):
        """Return whether a request may be sent once more, and count it if so."""
        window = self._window(service)
        bucket = window.current(now_s, self.window_s)
        requests = sum(entry[1] for entry in window.buckets)
        retries = sum(entry[2] for entry in window.buckets)
        allowed = USED_SHARE * (self.ratio * requests + self.slack / max(self.routers, 1))
        if retries + 1 > allowed:
            return False
        bucket[2] += 1
        return True

    def _window(self, service):
        window = self.windows.get(service)
        if window is None:
            window = self.windows[service] = RetryWindow()
        return window
