"""Division of endpoints' limits among routers, by their demand."""

import math

from greengagerock.view import LimitShare

# Share of a limit that is divided equally, so that a router with little demand so far can send.
EQUAL_PART = 0.3
# Time constant of the decay of the demand.
DECAY_S = 2.0
# A limit that has lasted this long is taken into account when keys are assigned.
LASTING_S = 1.0
# Interval at which the demand of all routers is summed, and rate below which a router counts as
# having none.
SUM_INTERVAL_S = 0.1
MIN_RATE_PER_S = 1e-3
# A new leader sends shares after this time, when all routers have found it.
SETTLING_S = 1.5
# A limit that no response has named for this long has ended, and the end of a limit is sent to
# routers for this long.
LIMIT_VALIDITY_S = 20.0
END_RETENTION_S = 5.0


class LimitState:
    """The limit of one endpoint instance, as observed by all routers.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        limit_per_s: Requests per second that it takes, or ``None`` if the limit has ended.
        observed_s: When a response last said so.
        since_s: When the limit began.
        demand: Decayed number of requests and time of the last update, by router.
        demand_per_s: Requests per second of all routers, at ``summed_s``.
        summed_s: When the demand of all routers was last summed.
    """

    __slots__ = (
        "demand",
        "demand_per_s",
        "limit_per_s",
        "observed_s",
        "since_s",
        "started_ms",
        "summed_s",
    )

    def __init__(self, started_ms, now_s):
        self.started_ms = started_ms
        self.limit_per_s = None
        self.observed_s = float("-inf")
        self.since_s = now_s
        self.demand = {}
        self.demand_per_s = 0.0
        self.summed_s = float("-inf")

    def add_demand(self, router, requests, now_s):
        """Add the requests that a router has counted since its previous poll."""
        count, updated_s = self.demand.get(router, (0.0, now_s))
        count *= math.exp(-(now_s - updated_s) / DECAY_S)
        self.demand[router] = (count + requests, now_s)

    def observe(self, limit_per_s, observed_s, now_s):
        """Record what a response said, unless a later one is known."""
        if observed_s <= self.observed_s:
            return
        if self.limit_per_s is None and limit_per_s is not None:
            self.since_s = now_s
        self.limit_per_s = limit_per_s
        self.observed_s = observed_s

    def sum_demand(self, now_s):
        """Update ``demand_per_s`` if it is outdated."""
        if now_s - self.summed_s < SUM_INTERVAL_S:
            return
        self.summed_s = now_s
        rates = {
            router: count * math.exp(-(now_s - updated_s) / DECAY_S) / DECAY_S
            for router, (count, updated_s) in self.demand.items()
        }
        self.demand_per_s = sum(rates.values())
        for router in [r for r, rate in rates.items() if rate < MIN_RATE_PER_S]:
            del self.demand[router]

    def share_of(self, router, router_count):
        """Return a router's share of the limit, from 0 to 1."""
        equal = 1.0 / max(router_count, 1)
        if self.demand_per_s <= 0:
            return equal
        count, _ = self.demand.get(router, (0.0, 0.0))
        proportional = min(1.0, count / DECAY_S / self.demand_per_s)
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
        >>> shares.on_reports("r1", {"e1": LimitReport(1000, 9, 0.1, 5.0)}, 10.0)
        >>> shares.on_reports("r2", {"e1": LimitReport(1000, 1, None, None)}, 10.0)
        >>> [round(shares.shares_for(r, 2, 10.0)[0].share, 2) for r in ("r1", "r2")]
        [0.78, 0.22]
    """

    __slots__ = ("began_s", "limits")

    def __init__(self, began_s):
        self.began_s = began_s
        self.limits = {}

    def on_reports(self, router, reports, now_s):
        """Process the ``LimitReport`` objects of a router's poll, by endpoint name."""
        for name, report in reports.items():
            state = self.limits.get(name)
            if state is None or state.started_ms < report.started_ms:
                state = self.limits[name] = LimitState(report.started_ms, now_s)
            if state.started_ms != report.started_ms:
                continue
            state.add_demand(router, report.requests, now_s)
            if report.age_s is not None:
                state.observe(report.limit_per_s, now_s - report.age_s, now_s)

    def shares_for(self, router, router_count, now_s):
        """Return the ``LimitShare`` objects to send to a router.

        Args:
            router: Link address of the router.
            router_count: Number of routers.
            now_s: Monotonic time in seconds.
        """
        self._drop_outdated(now_s)
        is_settled = now_s - self.began_s >= SETTLING_S
        for state in self.limits.values():
            state.sum_demand(now_s)
        return tuple(
            LimitShare(
                name,
                state.started_ms,
                now_s - state.observed_s,
                state.limit_per_s,
                state.share_of(router, router_count) if is_settled else None,
                state.demand_per_s if is_settled else None,
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
