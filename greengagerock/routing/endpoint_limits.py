"""Limits that endpoints name on the requests that they take from all routers together."""

import heapq

from greengagerock.routing.cold_limits import ColdLimits
from greengagerock.routing.limit_refusals import refuse_by_limits
from greengagerock.routing.request_allowance import RequestAllowance
from greengagerock.view import LimitReport

# Relative change of a limit from which on it is logged, and reported to the leader at once.
ANNOUNCED_CHANGE = 0.25
# A limit that no response has named for this long has ended.
LIMIT_VALIDITY_S = 20.0
# Time for which the end of a limit is reported to the leader, and for which older reports of
# the limit are ignored.
END_RETENTION_S = 5.0
# Largest number of limits in a report, so that it stays below two kilobytes.
MAX_REPORTED_LIMITS = 40


class EndpointLimit:
    """The limit of one endpoint instance.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        limit_per_s: Requests per second that it takes from all routers together.
        observed_s: When a response last named it, to this or another router.
        own_observed_s: When a response to this router last named it, or ``None``.
        share: This router's share according to the leader, or ``None`` for an equal one.
        demand_per_s: Requests per second of all routers, or ``None`` if unknown.
        allowance: The ``RequestAllowance`` of this router.
        requests: Requests for the endpoint since the last report to the leader, also refused ones.
        announced_per_s: The limit that was last logged, or received from the leader.
    """

    __slots__ = (
        "allowance",
        "demand_per_s",
        "limit_per_s",
        "announced_per_s",
        "observed_s",
        "own_observed_s",
        "requests",
        "share",
        "started_ms",
    )

    def __init__(self, started_ms, allowance):
        self.started_ms = started_ms
        self.allowance = allowance
        self.limit_per_s = 0.0
        self.observed_s = float("-inf")
        self.own_observed_s = None
        self.share = None
        self.demand_per_s = None
        self.requests = 0
        self.announced_per_s = None

    def is_announcement_outdated(self):
        """Return whether the limit is new or differs much from the one announced last."""
        if self.announced_per_s is None:
            return True
        change = abs(self.limit_per_s - self.announced_per_s)
        return change > ANNOUNCED_CHANGE * self.announced_per_s


class EndpointLimits:
    """Limits by endpoint; each applies to one instance, for as long as responses name it.

    The leader collects what routers observe and divides each limit by their demand. A router
    without a share from the leader takes an equal one.

    Args:
        random: Random number generator.

    Attributes:
        by_endpoint: ``EndpointLimit`` objects by endpoint name.
        ended: Start of the instance and time of the end, by name of an endpoint whose limit
            ended recently.
        router_count: Number of routers.
        cold: The ``ColdLimits`` of endpoints that are cold.

    Examples:
        >>> from random import Random
        >>> limits = EndpointLimits(Random(1))
        >>> limits.note_limit("e1", 1000, 5.6, 1.0), limits.note_limit("e1", 1000, 5.5, 1.2)
        (True, False)
        >>> limits.note_end("e1", 1000, 1.3), limits.note_end("e1", 1000, 1.4)
        (True, False)
    """

    __slots__ = ("by_endpoint", "cold", "ended", "random", "router_count")

    def __init__(self, random):
        self.random = random
        self.by_endpoint = {}
        self.ended = {}
        self.router_count = 1
        self.cold = ColdLimits(random)

    # --- Responses -----------------------------------------------------------------

    def note_limit(self, endpoint, started_ms, limit_per_s, now_s):
        """Record a limit; return whether it is new or differs much from the one announced last."""
        limit = self._limit_of(endpoint, started_ms, now_s)
        if limit is None:
            return False
        limit.limit_per_s = limit_per_s
        limit.observed_s = limit.own_observed_s = now_s
        self._configure(limit, now_s)
        is_outdated = limit.is_announcement_outdated()
        if is_outdated:
            limit.announced_per_s = limit_per_s
        return is_outdated

    def note_end(self, endpoint, started_ms, now_s):
        """Record that an instance names no limit any more; return whether it had one."""
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.started_ms != started_ms:
            return False
        del self.by_endpoint[endpoint]
        self.ended[endpoint] = (started_ms, now_s)
        return True

    def forget(self, endpoint):
        """Drop the limit of an endpoint that has ended."""
        self.by_endpoint.pop(endpoint, None)
        self.cold.forget(endpoint)

    def note_cold(self, record, requests_per_s, now_s):
        """Limit the requests to a cold endpoint; return whether they were not limited before.

        Args:
            record: The ``EndpointRecord``, with the time for which it stays cold.
            requests_per_s: Requests per second that it takes from all routers together.
            now_s: Monotonic time in seconds.
        """
        return self.cold.note_cold(record, requests_per_s, now_s)

    # --- Requests ------------------------------------------------------------------

    def is_limited(self, record, now_s):
        """Return whether an endpoint names a limit itself."""
        return self._current(record, now_s) is not None

    def try_take(self, record, now_s, is_urgent=True):
        """Return whether a request may be sent to an endpoint, and count it if so.

        If the endpoint names a limit and is cold, both must admit the request, by the same random
        number, so that the smaller one holds.

        Args:
            record: The ``EndpointRecord``.
            now_s: Monotonic time in seconds.
            is_urgent: Whether the request is preferred at a cold endpoint.
        """
        self.cold.urgency.count(record.service, is_urgent)
        limit = self._current(record, now_s)
        cold = self.cold.current(record, now_s)
        if limit is not None:
            limit.requests += 1
        if cold is None:
            return limit is None or limit.allowance.try_take(now_s)
        cold.requests += 1
        self.cold.prepare(cold, record.service, now_s)
        if limit is None:
            return cold.allowance.try_take(now_s, is_urgent)
        draw = self.random.random()
        pair = sorted((limit, cold), key=lambda either: either.limit_per_s)
        return all(either.allowance.try_take(now_s, is_urgent, draw) for either in pair)

    def retry_after_s(self, record, now_s):
        """Return when a caller that an endpoint's limits exclude should come back."""
        limit = self._current(record, now_s)
        cold = self.cold.current(record, now_s)
        if cold is None:
            return 0.0 if limit is None else limit.allowance.retry_after_s(now_s)
        wait_s = self.cold.retry_after_s(cold, now_s)
        return wait_s if limit is None else max(wait_s, limit.allowance.retry_after_s(now_s))

    def refusal(self, records, now_s, pause_s=None):
        """Return the ``LimitRefusal`` of a call that the limits of ``records`` exclude."""
        return refuse_by_limits(self, records, pause_s, now_s)

    # --- Leader --------------------------------------------------------------------

    def collect_reports(self, now_s):
        """Return ``LimitReport`` objects by endpoint for the leader, and reset the counts."""
        reports = {}
        busiest = heapq.nlargest(
            MAX_REPORTED_LIMITS, self.by_endpoint.items(), key=lambda entry: entry[1].requests
        )
        for name, limit in busiest:
            own_s = limit.own_observed_s
            age_s = None if own_s is None else now_s - own_s
            limit_per_s = None if own_s is None else limit.limit_per_s
            reports[name] = LimitReport(limit.started_ms, limit.requests, age_s, limit_per_s)
            limit.requests = 0
        for name, (started_ms, ended_s) in list(self.ended.items()):
            if now_s - ended_s > END_RETENTION_S:
                del self.ended[name]
            elif name not in reports:
                reports[name] = LimitReport(started_ms, 0, now_s - ended_s, None)
        return reports

    def apply_shares(self, shares, router_count, now_s):
        """Apply the ``LimitShare`` objects of a leader.

        Args:
            shares: The limits that the leader knows, and their recent ends.
            router_count: Number of routers.
            now_s: Monotonic time in seconds.
        """
        self.router_count = router_count
        for share in shares:
            self._apply_share(share, now_s)
        for limit in self.by_endpoint.values():
            self._configure(limit, now_s)

    def _apply_share(self, share, now_s):
        observed_s = now_s - share.age_s
        limit = self.by_endpoint.get(share.endpoint)
        if share.limit_per_s is None:
            if limit and limit.started_ms == share.started_ms and observed_s > limit.observed_s:
                del self.by_endpoint[share.endpoint]
            return
        started_ms, ended_s = self.ended.get(share.endpoint, (0, 0.0))
        if started_ms == share.started_ms and observed_s <= ended_s:
            return
        limit = self._limit_of(share.endpoint, share.started_ms, now_s)
        if limit is None:
            return
        if share.share is not None:
            limit.share = share.share
            limit.demand_per_s = share.demand_per_s
        if observed_s > limit.observed_s:
            limit.limit_per_s = limit.announced_per_s = share.limit_per_s
            limit.observed_s = observed_s
            limit.own_observed_s = None

    # --- Limits --------------------------------------------------------------------

    def _configure(self, limit, now_s):
        count = self.router_count
        share = 1.0 / count if limit.share is None else limit.share
        limit.allowance.configure(limit.limit_per_s, share, count, limit.demand_per_s, now_s)

    def _current(self, record, now_s):
        limit = self.by_endpoint.get(record.name)
        if limit is None or limit.started_ms != record.started_ms:
            return None
        if now_s - limit.observed_s > LIMIT_VALIDITY_S:
            del self.by_endpoint[record.name]
            return None
        return limit

    def _limit_of(self, endpoint, started_ms, now_s):
        """Return the limit of an instance, or ``None`` if a later instance has one."""
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.started_ms < started_ms:
            limit = EndpointLimit(started_ms, RequestAllowance(self.random, now_s))
            self.by_endpoint[endpoint] = limit
        return limit if limit.started_ms == started_ms else None
