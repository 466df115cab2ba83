"""Division of endpoints' limits among routers, by their demand."""

import math

from greengagerock.view import LimitShare

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
# A limit that has lasted this long is taken into account when keys are assigned.
LASTING_S = 1.0
# A new leader sends shares after this time, when all routers have found it.
SETTLING_S = 1.5
# A limit that no response has named for this long has ended, and the end of a limit is sent to
# routers for this long.
LIMIT_VALIDITY_S = 20.0
END_RETENTION_S = 5.0


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


class LimitShares:
    """The limits of all endpoints in one leader's term.

    Args:
        began_s: Start of the term, in monotonic seconds.

    Attributes:
        limits: ``LimitState`` objects by endpoint name.

    Examples:
        >>> from greengagerock.view import LimitReport
        >>> shares = LimitShares(0.0)
        >>> for now_s in (10.0, 11.0, 12.0):
        ...     _ = shares.on_reports("r1", {"e1": LimitReport(1000, 9, 0.1, 5.0)}, now_s)
        ...     _ = shares.on_reports("r2", {"e1": LimitReport(1000, 1, None, None)}, now_s)
        >>> [round(shares.shares_for(r, 2, 12.0)[0].share, 1) for r in ("r1", "r2")]
        [0.8, 0.2]
    """

    __slots__ = ("began_s", "limits")

    def __init__(self, began_s):
        self.began_s = began_s
        self.limits = {}

    def on_reports(self, router, reports, now_s):
        """Process the ``LimitReport`` objects of a router's poll, by endpoint name.

        Returns:
            Whether routers should be sent a change at once.
        """
        has_changed = False
        for name, report in reports.items():
            state = self.limits.get(name)
            if state is None or state.started_ms < report.started_ms:
                state = self.limits[name] = LimitState(report.started_ms, now_s)
            if state.started_ms != report.started_ms:
                continue
            state.add_demand(router, report.requests, now_s)
            if report.age_s is not None:
                observed_s = now_s - report.age_s
                has_changed |= state.observe(report.limit_per_s, observed_s, now_s)
        return has_changed

    def shares_for(self, router, router_count, now_s):
        """Return the ``LimitShare`` objects to send to a router.

        Args:
            router: Link address of the router.
            router_count: Number of routers.
            now_s: Monotonic time in seconds.
        """
        self._drop_outdated(now_s)
        is_settled = now_s - self.began_s >= SETTLING_S
        return tuple(
            LimitShare(
                name,
                state.started_ms,
                now_s - state.observed_s,
                state.limit_per_s,
                state.share_of(router, router_count, now_s) if is_settled else None,
                state.demand_per_s(now_s) if is_settled else None,
            )
            for name, state in self.limits.items()
            if state.observed_s > float("-inf")
        )

    def lasting_limit(self, endpoint, started_ms, now_s):
        """Return the ``LimitState`` of an instance whose limit has lasted, or ``None``.

        Args:
            endpoint: Name of the endpoint.
            started_ms: Start of the instance, in milliseconds since 1970.
            now_s: Monotonic time in seconds.
        """
        state = self.limits.get(endpoint)
        if state is None or state.started_ms != started_ms or state.limit_per_s is None:
            return None
        return state if now_s - state.since_s >= LASTING_S else None

    def _drop_outdated(self, now_s):
        for name, state in list(self.limits.items()):
            retention_s = END_RETENTION_S if state.limit_per_s is None else LIMIT_VALIDITY_S
            newest_s = max(state.observed_s, state.since_s)
            if now_s - newest_s > retention_s:
                del self.limits[name]
