"""The limit of one endpoint instance, and the demand for it, as the leader observes them."""

import math

# Share of a limit that is divided equally, so that a router with little demand so far can send.
EQUAL_PART = 0.3
# Time constant of the decay of the demand of one router, and of two means of that of all routers.
# The larger mean counts, so that a rise shows soon and a lull does not admit a burst.
DECAY_S = 2.0
FAST_DECAY_S = 0.75
SLOW_DECAY_S = 3.0
# The demand of all routers is unknown for this long after the first report of a limit.
FIRST_DEMAND_S = 1.0
# Relative change of a limit from which on it is sent to routers at once.
PUSHED_CHANGE = 0.25


class DecayingRate:
    """A rate with exponential decay, corrected for the time before the first event.

    Args:
        decay_s: Time constant in seconds.
        now_s: Monotonic time in seconds.

    Examples:
        >>> rate = DecayingRate(2.0, 0.0)
        >>> for tenth in range(1, 21):
        ...     rate.add(1, tenth / 10)
        >>> 9.0 < rate.per_s(2.0) < 11.0
        True
    """

    __slots__ = ("began_s", "count", "decay_s", "updated_s")

    def __init__(self, decay_s, now_s):
        self.decay_s = decay_s
        self.count = 0.0
        self.began_s = now_s
        self.updated_s = now_s

    def add(self, count, now_s):
        """Count events."""
        self.count = self.count * self._factor(now_s) + count
        self.updated_s = now_s

    def per_s(self, now_s):
        """Return the events per second."""
        observed_share = 1.0 - math.exp(-(now_s - self.began_s) / self.decay_s)
        if observed_share <= 0:
            return 0.0
        return self.count * self._factor(now_s) / self.decay_s / observed_share

    def _factor(self, now_s):
        return math.exp(-(now_s - self.updated_s) / self.decay_s)


class LimitState:
    """The limit of one endpoint instance, as observed by all routers.

    Args:
        started_ms: Start of the instance, in milliseconds since 1970.
        now_s: Monotonic time in seconds.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        limit_per_s: Requests per second that it takes, or ``None`` if the limit has ended.
        observed_s: When a response last said so.
        since_s: When the limit began.
        first_report_s: When a router first reported it.
        rates: The ``DecayingRate`` of each router's requests, by router.
        fast_rate: The ``DecayingRate`` of all routers' requests that follows changes soon.
        slow_rate: The ``DecayingRate`` of all routers' requests that follows them late.
    """

    __slots__ = (
        "fast_rate",
        "first_report_s",
        "limit_per_s",
        "observed_s",
        "rates",
        "since_s",
        "slow_rate",
        "started_ms",
    )

    def __init__(self, started_ms, now_s):
        self.started_ms = started_ms
        self.limit_per_s = None
        self.observed_s = float("-inf")
        self.since_s = now_s
        self.first_report_s = now_s
        self.rates = {}
        self.fast_rate = DecayingRate(FAST_DECAY_S, now_s)
        self.slow_rate = DecayingRate(SLOW_DECAY_S, now_s)

    def add_demand(self, router, requests, now_s):
        """Add the requests that a router has counted since its previous poll."""
        rate = self.rates.get(router)
        if rate is None:
            rate = self.rates[router] = DecayingRate(DECAY_S, now_s)
        rate.add(requests, now_s)
        self.fast_rate.add(requests, now_s)
        self.slow_rate.add(requests, now_s)

    def observe(self, limit_per_s, observed_s, now_s):
        """Record what a response said, unless a later one is known.

        Returns:
            Whether the limit has begun, has ended, or has changed much.
        """
        if observed_s <= self.observed_s:
            return False
        previous_per_s, self.limit_per_s = self.limit_per_s, limit_per_s
        self.observed_s = observed_s
        if previous_per_s is None and limit_per_s is not None:
            self.since_s = now_s
        if previous_per_s is None or limit_per_s is None:
            return previous_per_s is not limit_per_s
        return abs(limit_per_s - previous_per_s) > PUSHED_CHANGE * previous_per_s

    def demand_per_s(self, now_s):
        """Return the requests per second of all routers, or ``None`` if that is not known yet."""
        if now_s - self.first_report_s < FIRST_DEMAND_S:
            return None
        return max(self.fast_rate.per_s(now_s), self.slow_rate.per_s(now_s))

    def share_of(self, router, router_count, now_s):
        """Return a router's share of the limit, from 0 to 1."""
        equal = 1.0 / max(router_count, 1)
        total_per_s = self.slow_rate.per_s(now_s)
        if now_s - self.first_report_s < FIRST_DEMAND_S or total_per_s <= 0:
            return equal
        own_per_s = self.rates[router].per_s(now_s) if router in self.rates else 0.0
        proportional = min(1.0, own_per_s / total_per_s)
        return EQUAL_PART * equal + (1 - EQUAL_PART) * proportional
