"""Limits on the requests of all routers to endpoints that are cold."""

import heapq

from greengagerock.routing.burst_bounds import ColdBound
from greengagerock.routing.request_allowance import MAX_RETRY_AFTER_S, RequestAllowance
from greengagerock.view import LimitReport

# Time without a message of the leader after which its demand figures are no longer used. A router
# then sends so little that the bound holds whatever the demand is. Polls are 0.5 s apart.
DEMAND_VALIDITY_S = 2.0
# Refused callers return within this time after the end of the cold phase. They are about as many
# as a phase of a few seconds has refused, so their return adds less than the usual demand.
RETURN_SPREAD_S = 2.0
# Largest number of endpoints in a report, so that it stays below two kilobytes.
MAX_REPORTED_LIMITS = 64
# Number of requests from which the share of urgent ones is used, and from which half of the count
# is dropped, so that the share follows the traffic of the last seconds to minutes.
MIN_MIX_REQUESTS = 8
MAX_MIX_REQUESTS = 64


class ColdLimit:
    """The limit of one endpoint instance while it is cold.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        limit_per_s: Requests per second that it takes from all routers together.
        until_s: When it is warm.
        share: This router's share according to the leader, or ``None`` for an equal one.
        demand_per_s: Requests per second of all routers, or ``None`` if unknown.
        is_from_leader: Whether the leader has sent a share, or only the endpoint's record.
        allowance: The ``RequestAllowance`` of this router.
        requests: Requests for the endpoint since the last report to the leader, also refused ones.
    """

    __slots__ = (
        "allowance",
        "demand_per_s",
        "is_from_leader",
        "limit_per_s",
        "requests",
        "share",
        "started_ms",
        "until_s",
    )

    def __init__(self, started_ms, limit_per_s, until_s, allowance):
        self.started_ms = started_ms
        self.limit_per_s = limit_per_s
        self.until_s = until_s
        self.share = None
        self.demand_per_s = None
        self.is_from_leader = False
        self.allowance = allowance
        self.requests = 0


class UrgencyMix:
    """The share of urgent requests among a router's recent ones, by service.

    Every router prefers urgent requests by its own mix, so that the requests that it sends in
    all do not depend on the mix.

    Attributes:
        counts: Number of urgent requests and of all requests, by service.

    Examples:
        >>> mix = UrgencyMix()
        >>> for number in range(8):
        ...     mix.count("till", number % 2 == 0)
        >>> mix.urgent_share("till"), mix.urgent_share("docs")
        (0.5, None)
    """

    __slots__ = ("counts",)

    def __init__(self):
        self.counts = {}

    def count(self, service, is_urgent):
        """Count a request."""
        counts = self.counts.setdefault(service, [0, 0])
        counts[0] += is_urgent
        counts[1] += 1
        if counts[1] >= MAX_MIX_REQUESTS:
            counts[0] /= 2
            counts[1] /= 2

    def urgent_share(self, service):
        """Return the share of urgent requests, or ``None`` if too few have been counted."""
        urgent, total = self.counts.get(service, (0, 0))
        return urgent / total if total >= MIN_MIX_REQUESTS else None


class ColdLimits:
    """Limits of cold endpoints; each applies to one instance until it is warm.

    The leader derives them from the endpoints' reports. A router that has only the record of a
    cold endpoint takes an equal share, and without a recent message of the leader one that is
    safe at any demand.

    Args:
        random: Random number generator.
        bound: The ``ColdBound``.

    Attributes:
        by_endpoint: ``ColdLimit`` objects by endpoint name.
        number: Number of the leader's newest message that was applied.
        router_count: Number of routers.
        confirmed_s: When a leader last sent a message.
        urgency: The ``UrgencyMix``.

    Examples:
        >>> from random import Random
        >>> from greengagerock.view import EndpointRecord
        >>> limits = ColdLimits(Random(1))
        >>> record = EndpointRecord("e1", "10.0.0.1:80", "till", "z", 3, False, 1000, 3.0)
        >>> limits.note_cold(record, 3.5, 10.0)
        True
        >>> limits.current(record, 12.9) is None, limits.current(record, 13.0) is None
        (False, True)
    """

    __slots__ = (
        "bound",
        "by_endpoint",
        "confirmed_s",
        "number",
        "random",
        "router_count",
        "urgency",
    )

    def __init__(self, random, bound=None):
        self.random = random
        self.bound = bound or ColdBound()
        self.by_endpoint = {}
        self.number = 0
        self.router_count = 1
        self.confirmed_s = float("-inf")
        self.urgency = UrgencyMix()

    # --- Endpoints -----------------------------------------------------------------

    def note_cold(self, record, requests_per_s, now_s):
        """Limit an endpoint by its record, unless the leader has sent a share already.

        Returns:
            Whether the instance had no such limit.
        """
        until_s = now_s + record.warm_up_left_s
        limit = self.by_endpoint.get(record.name)
        if limit is not None and limit.started_ms == record.started_ms:
            if not limit.is_from_leader:
                limit.until_s = until_s
            return False
        return self._add(record.name, record.started_ms, requests_per_s, until_s, now_s)

    def note_warm(self, endpoint, started_ms):
        """End the limit of an instance; return whether it had one."""
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.started_ms != started_ms:
            return False
        del self.by_endpoint[endpoint]
        return True

    def forget(self, endpoint):
        """Drop the limit of an endpoint that has ended."""
        self.by_endpoint.pop(endpoint, None)

    def current(self, record, now_s):
        """Return the ``ColdLimit`` of an endpoint, or ``None`` if it is warm."""
        limit = self.by_endpoint.get(record.name)
        if limit is None or limit.started_ms != record.started_ms or now_s >= limit.until_s:
            return None
        return limit

    def prepare(self, limit, service, now_s):
        """Configure the allowance of a limit for a request that is sent now."""
        is_recent = now_s - self.confirmed_s <= DEMAND_VALIDITY_S
        demand_per_s = limit.demand_per_s if is_recent else None
        urgent_share = self.urgency.urgent_share(service)
        urgent_per_s = None
        if demand_per_s is not None and urgent_share is not None:
            urgent_per_s = urgent_share * demand_per_s
        share = 1.0 / self.router_count if limit.share is None else limit.share
        limit.allowance.configure(
            limit.limit_per_s, share, self.router_count, demand_per_s, now_s, urgent_per_s
        )

    def retry_after_s(self, limit, now_s):
        """Return when a caller should come back: at a free place, or after the cold phase."""
        left_s = limit.until_s - now_s
        if limit.allowance.plan is not None and not limit.allowance.plan.is_random:
            free_s = limit.allowance.retry_after_s(now_s)
            if free_s < left_s:
                return free_s
        earliest_s = min(left_s, MAX_RETRY_AFTER_S - RETURN_SPREAD_S)
        return self.random.uniform(earliest_s, earliest_s + RETURN_SPREAD_S)

    def count_by_service(self, endpoints, now_s):
        """Return the number of cold endpoints of each service.

        Args:
            endpoints: ``EndpointRecord`` objects by name.
            now_s: Monotonic time in seconds.
        """
        counts = {}
        for name in list(self.by_endpoint):
            record = endpoints.get(name)
            if record is not None and self.current(record, now_s) is not None:
                counts[record.service] = counts.get(record.service, 0) + 1
        return counts

    # --- Leader --------------------------------------------------------------------

    def collect_reports(self):
        """Return ``LimitReport`` objects of the requests since the last call, by endpoint."""
        busy = [entry for entry in self.by_endpoint.items() if entry[1].requests]
        busiest = heapq.nlargest(MAX_REPORTED_LIMITS, busy, key=lambda entry: entry[1].requests)
        reports = {
            name: LimitReport(limit.started_ms, limit.requests, None, None)
            for name, limit in busiest
        }
        for _, limit in busiest:
            limit.requests = 0
        return reports

    def apply_shares(self, shares, since, number, router_count, now_s):
        """Apply the ``LimitShare`` objects of a leader, and drop limits that have ended.

        Args:
            shares: The limits that have changed since the change ``since``.
            since: Number of a change. If this router lacks it, the message that brought it was
                lost, and this one is ignored: the next poll gets both.
            number: Number of the leader's newest change, or 0 if it does not send any.
            router_count: Number of routers.
            now_s: Monotonic time in seconds.

        Returns:
            A pair: names of endpoints that became cold, and of those that became warm.
        """
        self.router_count = router_count
        ended = [name for name, limit in self.by_endpoint.items() if now_s >= limit.until_s]
        for name in ended:
            del self.by_endpoint[name]
        begun = []
        if number and since <= self.number <= number:
            self.number = number
            self.confirmed_s = now_s
            for share in shares:
                if not share.left_s:
                    if self.note_warm(share.endpoint, share.started_ms):
                        ended.append(share.endpoint)
                elif self._apply_share(share, now_s):
                    begun.append(share.endpoint)
        return begun, ended

    def _apply_share(self, share, now_s):
        limit = self.by_endpoint.get(share.endpoint)
        is_new = limit is None or limit.started_ms != share.started_ms
        until_s = now_s + share.left_s
        if is_new and not self._add(
            share.endpoint, share.started_ms, share.limit_per_s, until_s, now_s
        ):
            return False
        limit = self.by_endpoint[share.endpoint]
        limit.limit_per_s = share.limit_per_s
        limit.until_s = until_s
        limit.is_from_leader = True
        if share.share is not None:
            limit.share = share.share
        if share.demand_per_s is not None:
            limit.demand_per_s = share.demand_per_s
        return is_new

    def _add(self, endpoint, started_ms, limit_per_s, until_s, now_s):
        """Add the limit of an instance, unless a later instance has one; return whether added."""
        limit = self.by_endpoint.get(endpoint)
        if limit is not None and limit.started_ms > started_ms:
            return False
        allowance = RequestAllowance(self.random, now_s, self.bound)
        self.by_endpoint[endpoint] = ColdLimit(started_ms, limit_per_s, until_s, allowance)
        return True
