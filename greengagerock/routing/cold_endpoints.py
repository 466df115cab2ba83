"""What a router knows of cold endpoints: from their records, and from the leader's shares."""

from greengagerock.routing.burst_bounds import ColdBound


class ColdEndpoints:
    """Passes on to the limits which endpoints are cold, and logs it.

    Args:
        replica: The ``ViewReplica``.
        limits: The ``EndpointLimits``.
        rate_factor: Multiple of a service's warm-up rate that a cold endpoint may get in any one
            second.
        rate_slack: Number of requests that it may get in addition.
        timers: The timer service.
        outbox: Receives effects.
    """

    __slots__ = ("limits", "outbox", "replica", "timers")

    def __init__(self, replica, limits, rate_factor, rate_slack, timers, outbox):
        self.replica = replica
        self.limits = limits
        limits.cold.bound = ColdBound(rate_factor, rate_slack)
        self.timers = timers
        self.outbox = outbox

    def on_view(self, shares, since, number, router_count):
        """Apply the shares of a ``ViewDelta``.

        Args:
            shares: The ``LimitShare`` objects of cold endpoints that have changed.
            since: Number of the leader's change that these start from.
            number: Number of the leader's newest change, or 0 if it does not send any.
            router_count: Number of routers.
        """
        cold = self.limits.cold
        begun, ended = cold.apply_shares(shares, since, number, router_count, self.timers.now_s)
        self.replica.cold_number = cold.number
        for name in begun:
            self._log_cold(name, "leader")
        for name in ended:
            self.outbox.log("endpoint-warm", endpoint=name)

    def on_endpoints(self, changed_endpoints):
        """Apply the records of endpoints that have changed."""
        now_s = self.timers.now_s
        for name in changed_endpoints:
            record = self.replica.endpoints.get(name)
            if record is None:
                continue
            limit_per_s = self._limit_per_s(record.service)
            if limit_per_s > 0 and record.warm_up_left_s > 0:
                if self.limits.note_cold(record, limit_per_s, now_s):
                    self._log_cold(name, "record")
            elif self.limits.cold.note_warm(name, record.started_ms):
                self.outbox.log("endpoint-warm", endpoint=name)

    def on_items(self):
        """End the limits of endpoints whose services no longer limit them."""
        for name in list(self.limits.cold.by_endpoint):
            record = self.replica.endpoints.get(name)
            if record is not None and self._limit_per_s(record.service) <= 0:
                self.limits.cold.forget(name)
                self.outbox.log("endpoint-warm", endpoint=name, service=record.service)

    def count_by_service(self):
        """Return the number of cold endpoints of each service."""
        return self.limits.cold.count_by_service(self.replica.endpoints, self.timers.now_s)

    def _limit_per_s(self, service_name):
        service = self.replica.services.get(service_name)
        return 0.0 if service is None else service.cold_limit_per_s

    def _log_cold(self, name, source):
        limit = self.limits.cold.by_endpoint[name]
        self.outbox.log(
            "endpoint-cold",
            endpoint=name,
            born_ms=limit.started_ms,
            left_ms=round(1000 * (limit.until_s - self.timers.now_s)),
            per_s=limit.limit_per_s,
            routers=self.limits.cold.router_count,
            demand_per_s="" if limit.demand_per_s is None else round(limit.demand_per_s, 1),
            source=source,
        )
