"""How many requests one router may send to an endpoint that limits those of all routers."""

from collections import deque

# Time in which an endpoint tolerates a burst, the share of what its limit allows in that time that
# a burst may add, and the number of requests beyond that.
BURST_WINDOW_S = 4.0
BURST_SHARE = 0.5
BURST_REQUESTS = 4.0
# Requests per second that all routers together send at least. Otherwise a limit of 0 would never
# end, since only responses say so.
MIN_LIMIT_PER_S = 0.5
# Share of a limit that is used with random admission, whose number of requests varies by about
# its square root.
RANDOM_USE_SHARE = 0.85
# Share of the burst that routers collect while they do not know the demand.
RANDOM_BURST_SHARE = 0.25
# Longest time after which a refused caller is to come back.
MAX_RETRY_AFTER_S = 5.0


class RequestAllowance:
    """One router's part of a limit.

    If the routers are few, each has a token bucket for its share. Even if all buckets are emptied
    at the same moment, the burst stays within what the endpoint tolerates. If they are so many
    that this leaves room for less than one request each, requests are admitted at random: with
    the ratio of the limit and the demand of all routers, or, while the demand is unknown, with
    the content of the bucket as the probability. Where the endpoint tolerates one request of each
    router in its window, no router sends more than its part of them, whatever the demand does.

    Args:
        random: Random number generator.
        now_s: Monotonic time in seconds.

    Attributes:
        rate_per_s: Requests per second that the bucket gains.
        capacity: Largest content of the bucket.
        probability: Probability with which each request is admitted, or ``None`` if the bucket
            decides.
        window_requests: Largest number of requests admitted at random in ``BURST_WINDOW_S``, or
            ``None`` if that is less than one.
        admitted_s: Times of the newest requests that were admitted at random.
        credit: Content of the bucket when it was last updated.
        updated_s: When it was last updated.
        promised_s: Latest time that was given to a refused caller.

    References:
        The leaky bucket as a meter, ITU-T I.371; randomized rounding, P. Raghavan and
        C. Thompson, 1987.

    Examples:
        >>> from random import Random
        >>> allowance = RequestAllowance(Random(1), 0.0)
        >>> allowance.configure(5.0, 0.1, router_count=14, demand_per_s=None, now_s=0.0)
        >>> allowance.credit = 1.0
        >>> allowance.try_take(0.0), allowance.try_take(0.0), allowance.try_take(2.0)
        (True, False, True)
        >>> allowance.retry_after_s(2.0)
        2.0
        >>> allowance.configure(5.0, 0.01, router_count=100, demand_per_s=17.0, now_s=0.0)
        >>> allowance.probability
        0.25
    """

    __slots__ = (
        "admitted_s",
        "capacity",
        "credit",
        "probability",
        "promised_s",
        "random",
        "rate_per_s",
        "updated_s",
        "window_requests",
    )

    def __init__(self, random, now_s):
        self.random = random
        self.rate_per_s = 0.0
        self.capacity = 1.0
        self.probability = None
        self.window_requests = None
        self.admitted_s = deque()
        # Buckets of several routers must not all fill at the same moment.
        self.credit = random.random()
        self.updated_s = now_s
        self.promised_s = now_s

    def configure(self, limit_per_s, share, router_count, demand_per_s, now_s):
        """Set what the router may send.

        Args:
            limit_per_s: Requests per second that the endpoint takes from all routers.
            share: This router's share of them, from 0 to 1.
            router_count: Number of routers.
            demand_per_s: Requests per second that all routers have for the endpoint, or ``None``
                if that is unknown.
            now_s: Monotonic time in seconds.
        """
        self._refill(now_s)
        limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
        burst = BURST_SHARE * BURST_WINDOW_S * limit_per_s + BURST_REQUESTS
        is_random = router_count > burst
        use_share = RANDOM_USE_SHARE if is_random else 1.0
        self.rate_per_s = use_share * limit_per_s * share
        self.capacity = (RANDOM_BURST_SHARE if is_random else 1.0) * burst / router_count
        self.credit = min(self.credit, self.capacity)
        tolerated = int((BURST_WINDOW_S * limit_per_s + burst) / router_count)
        self.window_requests = tolerated if is_random and tolerated else None
        self.probability = None
        if is_random and demand_per_s is not None:
            self.probability = min(1.0, use_share * limit_per_s / max(demand_per_s, limit_per_s))

    def try_take(self, now_s):
        """Return whether a request may be sent now, and take it from the bucket if so."""
        self._refill(now_s)
        if self.probability is None and self.capacity >= 1.0:
            if self.credit < 1.0:
                return False
            self.credit -= 1.0
            return True
        probability = self.credit if self.probability is None else self.probability
        self.credit = 0.0
        if self._is_window_full(now_s) or self.random.random() >= probability:
            return False
        self.admitted_s.append(now_s)
        return True

    def _is_window_full(self, now_s):
        """Return whether this router's part of what the endpoint tolerates is used up."""
        while self.admitted_s and self.admitted_s[0] <= now_s - BURST_WINDOW_S:
            self.admitted_s.popleft()
        return self.window_requests is not None and len(self.admitted_s) >= self.window_requests

    def retry_after_s(self, now_s):
        """Return when a caller that is refused now should come back, one caller after the other.

        The time is bounded by ``MAX_RETRY_AFTER_S``.
        """
        self._refill(now_s)
        latest_s = now_s + MAX_RETRY_AFTER_S
        if self.rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        free_s = now_s + max(0.0, 1.0 - self.credit) / self.rate_per_s
        following_s = self.promised_s + 1.0 / self.rate_per_s
        is_first = self.promised_s <= now_s
        self.promised_s = min(latest_s, free_s if is_first else max(free_s, following_s))
        return self.promised_s - now_s

    def _refill(self, now_s):
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.credit = min(self.capacity, self.credit + self.rate_per_s * elapsed_s)
