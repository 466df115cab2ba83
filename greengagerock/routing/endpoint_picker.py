"""Choice of an endpoint for a request that any endpoint of its service can run."""

# Time for which an endpoint that has refused a request gets no further ones.
SHED_PAUSE_S = 0.15
# Share of a route's latency objective that an endpoint of another zone has to save. Traffic
# between zones is charged by the byte, and callers do not notice a delay within the objective.
DEFAULT_ZONE_PREFERENCE = 0.25
# Time that it has to save if a route has no objective.
DEFAULT_ZONE_PENALTY_S = 0.02


class EndpointPicker:
    """Chooses an endpoint by expected response time from a few random ones.

    Two random endpoints of the local zone are compared with two random endpoints of all zones.
    The expected time is the endpoint's running mean, increased in proportion to this router's
    requests in flight there per slot. Where an endpoint has stated its load recently, it is the
    work time at the endpoint's pace, increased in proportion to all requests there per slot; the
    older the value, the less it counts, so that routers do not all choose an endpoint that was
    idle a while ago. Unknown load does not mean that it is idle.

    An endpoint that warms up costs one mean more, and one in a remote zone the penalty for
    crossing zones, which grows with the latency objective of the route. Comparing so few
    endpoints prevents many routers from all choosing the same one.

    Args:
        zone: Availability zone of this router.
        observations: The ``EndpointObservations``.
        health: The ``EndpointHealth``.
        notices: The ``EndpointNotices``.
        paths: The ``EndpointPaths``.
        random: Random number generator.
        zone_preference: Share of a route's latency objective that an endpoint of a remote zone
            has to save; 0 treats all zones alike.

    References:
        M. Mitzenmacher: The Power of Two Choices in Randomized Load Balancing, 2001.
    """

    __slots__ = (
        "health",
        "notices",
        "observations",
        "paths",
        "random",
        "zone",
        "zone_preference",
    )

    def __init__(
        self,
        zone,
        observations,
        health,
        notices,
        paths,
        random,
        zone_preference=DEFAULT_ZONE_PREFERENCE,
    ):
        self.zone = zone
        self.observations = observations
        self.health = health
        self.notices = notices
        self.paths = paths
        self.random = random
        self.zone_preference = zone_preference

    def pick(self, records, excluded, extra_requests, objective_s, now_s):
        """Return an ``EndpointRecord``, or ``None`` if no endpoint can be tried directly.

        Args:
            records: Endpoints of the service.
            excluded: Names of endpoints to exclude.
            extra_requests: Requests beyond an endpoint's limit that the priority allows.
            objective_s: Latency objective of the route, or ``None``.
            now_s: Monotonic time in seconds.
        """
        untried = self._accepting(records, excluded, now_s)
        lost = [r for r in untried if self.paths.is_lost(r)]
        direct = [r for r in untried if r not in lost] if lost else untried
        usable = [r for r in direct if self._is_healthy(r, extra_requests, now_s)]
        for record in lost:
            # Nothing else shows that it can be reached again while others get its requests.
            if self.paths.may_probe(record, bool(usable)):
                return record
        if not usable:
            usable = [
                r for r in direct if self.observations.observation_of(r.name).may_probe(now_s)
            ]
        return self._cheapest(usable, objective_s, now_s)

    def pick_lost(self, records, excluded, extra_requests, objective_s, now_s):
        """Return an endpoint that only other routers can reach, or ``None``.

        Args:
            records: Endpoints of the service.
            excluded: Names of endpoints to exclude.
            extra_requests: Requests beyond an endpoint's limit that the priority allows.
            objective_s: Latency objective of the route, or ``None``.
            now_s: Monotonic time in seconds.
        """
        usable = [
            r
            for r in self._accepting(records, excluded, now_s)
            if self.paths.is_lost(r)
            and not self.health.is_avoided(r.name, now_s)
            and not self.observations.observation_of(r.name).is_silent(now_s)
            and self._has_room(r, extra_requests, now_s)
        ]
        return self._cheapest(usable, objective_s, now_s)

    def _accepting(self, records, excluded, now_s):
        """Return the endpoints that accept requests of this router."""
        return [
            r
            for r in records
            if r.name not in excluded
            and self.notices.accepts_any(r)
            and not self.notices.pause_left_s(r, now_s)
        ]

    def _cheapest(self, usable, objective_s, now_s):
        if not usable:
            return None
        local = [r for r in usable if r.zone == self.zone]
        candidates = self._sample_two(local) + self._sample_two(usable)
        penalty_s = (
            DEFAULT_ZONE_PENALTY_S if objective_s is None else self.zone_preference * objective_s
        )
        return min(candidates, key=lambda record: self._cost_s(record, penalty_s, now_s))

    def _is_healthy(self, record, extra_requests, now_s):
        observation = self.observations.observation_of(record.name)
        if self.health.is_avoided(record.name, now_s) or observation.is_doubtful(now_s):
            return False
        return self._has_room(record, extra_requests, now_s)

    def _has_room(self, record, extra_requests, now_s):
        observation = self.observations.observation_of(record.name)
        return (
            observation.has_room(extra_requests, now_s)
            and now_s - observation.last_shed_s > SHED_PAUSE_S
        )

    def _sample_two(self, records):
        if len(records) <= 2:
            return list(records)
        return self.random.sample(records, 2)

    def _cost_s(self, record, penalty_s, now_s):
        observation = self.observations.observation_of(record.name)
        cost_s = observation.mean_response_s * (1 + observation.in_flight / max(record.slots, 1))
        known = self.observations.loads.known_load(record, observation.mean_response_s, now_s)
        if known is not None:
            cost_s += known.weight * (known.response_s - cost_s)
        if record.warm_up_left_s > 0:
            cost_s += observation.mean_response_s
        return cost_s + (0.0 if record.zone == self.zone else penalty_s)
