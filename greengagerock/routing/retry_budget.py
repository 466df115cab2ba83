"""Retry budget of a service that all routers share without communicating."""

from collections import deque

# Length of a bucket of the sliding window.
BUCKET_S = 0.5
# Share of the budget that a router uses. Routers get different shares of the load, so each
# leaves a part unused.
USABLE_SHARE = 0.7


class RetryWindow:
    """Requests and retries of one service in a sliding window.

    Attributes:
        buckets: Lists of [start, requests, retries] in order of time.
    """

    __slots__ = ("buckets",)

    def __init__(self):
        self.buckets = deque()

    def current_bucket(self, now_s, window_s):
        """Return the bucket of the current time, and drop those outside the window."""
        buckets = self.buckets
        while buckets and buckets[0][0] < now_s - window_s:
            buckets.popleft()
        if not buckets or now_s - buckets[-1][0] >= BUCKET_S:
            buckets.append([now_s, 0, 0])
        return buckets[-1]


class SharedRetryBudget:
    """Limits a router to its share of the retries of a service.

    In any window, all routers together may send ``ratio`` times the service's requests plus
    ``slack`` retries. Of the first term, a router uses the part that is due to its own requests,
    of the second one an equal share.

    Args:
        ratio: Retries per request.
        slack: Additional retries, summed over all routers.
        window_s: Length of the window in seconds.

    Attributes:
        router_count: Number of routers.
        windows: ``RetryWindow`` objects by service.

    Examples:
        >>> budget = SharedRetryBudget(0.2, 60, 10.0)
        >>> budget.router_count = 12
        >>> sum(budget.try_spend("till", 0.0) for _ in range(20))
        3
    """

    __slots__ = ("ratio", "router_count", "slack", "window_s", "windows")

    def __init__(self, ratio, slack, window_s):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.router_count = 1
        self.windows = {}

    def count_request(self, service, now_s):
        """Count a caller's request for a service."""
        self._window(service).current_bucket(now_s, self.window_s)[1] += 1

    def try_spend(self, service, now_s):
        """Return whether a request may be sent again, and count the retry if so."""
        window = self._window(service)
        bucket = window.current_bucket(now_s, self.window_s)
        requests = sum(entry[1] for entry in window.buckets)
        retries = sum(entry[2] for entry in window.buckets)
        allowed = USABLE_SHARE * (self.ratio * requests + self.slack / max(self.router_count, 1))
        if retries + 1 > allowed:
            return False
        bucket[2] += 1
        return True

    def _window(self, service):
        window = self.windows.get(service)
        if window is None:
            window = self.windows[service] = RetryWindow()
        return window
