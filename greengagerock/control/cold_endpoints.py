"""Which endpoints are cold, according to their reports, and what is sent to routers.

It answers the load on endpoints that have just started: they work slowly, and crash if they get
more requests than they can take.
"""

from greengagerock.assignment.endpoint_weights import LIMIT_USE_SHARE

# Age from which an instance's own rate of responses is its demand. A younger one has not had its
# share of the requests yet, so the mean of its service is expected.
ESTABLISHED_S = 4.0
# Shortest time between two pushes that only send routers a demand.
DEMAND_PUSH_INTERVAL_S = 0.5


class ColdEndpoints:
    """Derives limits from the reports of cold endpoints, and ends them.

    Args:
        store: The ``ItemStore``.
        directory: Callable that returns the ``InstanceDirectory`` of this term.
        router_updater: The ``RouterUpdater``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        demand_pushed_s: When routers were last pushed a demand.
    """

    __slots__ = ("demand_pushed_s", "directory", "outbox", "router_updater", "store", "timers")

    def __init__(self, store, directory, router_updater, timers, outbox):
        self.store = store
        self.directory = directory
        self.router_updater = router_updater
        self.timers = timers
        self.outbox = outbox
        self.demand_pushed_s = float("-inf")

    def on_report(self, instance, is_sent):
        """Process a report that is not late.

        Args:
            instance: The ``EndpointInstance``, with the time until which it is cold.
            is_sent: Whether routers are sent the instance's record anyway.
        """
        now_s = self.timers.now_s
        limit_per_s = self._limit_per_s(instance)
        left_s = instance.cold_until_s - now_s
        if limit_per_s <= 0 or left_s <= 0:
            self._end(instance)
            return
        report, shares = instance.report, self.router_updater.limit_shares
        is_new = not shares.cold.is_cold(instance.name, report.started_ms)
        expected_per_s = self._expected_per_s(instance, limit_per_s, now_s) if is_new else None
        if shares.note_cold(
            instance.name, report.started_ms, limit_per_s, left_s, now_s, expected_per_s
        ):
            self.router_updater.schedule_push()
        if not is_new:
            return
        if not is_sent:
            self.router_updater.note_endpoint(instance)
        self.outbox.log(
            "endpoint-cold",
            endpoint=instance.name,
            service=report.service,
            born_ms=report.started_ms,
            sequence=report.sequence,
            left_ms=round(1000 * left_s),
            per_s=limit_per_s,
            expected_per_s="" if expected_per_s is None else round(expected_per_s, 1),
            routers=len(self.router_updater.subscribers),
        )

    def advance(self):
        """End the cold phases that are over, and send routers a demand that has changed."""
        now_s = self.timers.now_s
        cold = self.router_updater.limit_shares.cold
        instances = self.directory().instances
        for name, state in list(cold.states.items()):
            instance = instances.get(name)
            if instance is None or instance.report.started_ms != state.started_ms:
                # Routers are sent the end of the instance itself.
                del cold.states[name]
            elif state.limit_per_s is not None and (
                instance.cold_until_s <= now_s or self._limit_per_s(instance) <= 0
            ):
                self._end(instance)
        cold.drop_ended(now_s)
        self.router_updater.response_rates.advance(now_s)
        has_risen = cold.publish_demands(now_s)
        if has_risen and now_s - self.demand_pushed_s >= DEMAND_PUSH_INTERVAL_S:
            self.demand_pushed_s = now_s
            self.router_updater.schedule_push()

    def _limit_per_s(self, instance):
        service = self.store.items.services.get(instance.report.service)
        return 0.0 if service is None else service.cold_limit_per_s

    def _end(self, instance):
        shares, now_s = self.router_updater.limit_shares, self.timers.now_s
        state = shares.cold.states.get(instance.name)
        if not shares.note_warm(instance.name, instance.report.started_ms, now_s):
            return
        demand_per_s = state.demand_per_s(now_s)
        self.router_updater.note_endpoint(instance)
        self.outbox.log(
            "endpoint-warm",
            endpoint=instance.name,
            service=instance.report.service,
            born_ms=instance.report.started_ms,
            after_ms=round(1000 * (now_s - state.since_s)),
            demand_per_s="" if demand_per_s is None else round(demand_per_s, 1),
        )

    def _expected_per_s(self, instance, limit_per_s, now_s):
        """Return the requests per second to expect for a cold endpoint, or ``None``.

        An endpoint that started just now gets up to an equal share of its service's requests, or
        keys whose requests its rate allows.
        """
        rates = self.router_updater.response_rates
        own_per_s = rates.rate(instance.name, now_s)
        if own_per_s is None or now_s - instance.first_report_s >= ESTABLISHED_S:
            return own_per_s
        if self.store.items.services[instance.report.service].keyed is not None:
            return LIMIT_USE_SHARE * limit_per_s
        others = self.directory().of_service(instance.report.service)
        total_per_s = sum(rates.rate(other.name, now_s) for other in others)
        return max(total_per_s / len(others), limit_per_s)
