"""Chooses an endpoint for a request that any endpoint of its service may answer."""

# A shed endpoint is left alone for so long.
SHED_PAUSE_S = 0.15
# What crossing to another zone has to save, in seconds of expected time. Bytes between zones
# are paid for, so short answers go there before long ones do.
SHORT_ZONE_PENALTY_S = 0.005
LONG_ZONE_PENALTY_S = 0.08


class EndpointPicker:
    """Compares two random endpoints by the time that each would need.

    The expected time is the endpoint's running mean, stretched by the requests of this
    router that are there already in proportion to its slots. Taking the better of two
    keeps many routers from all choosing the same endpoint.

    Args:
        zone: Availability zone of this router.
        observed: The ``ObservedEndpoints``.
        health: The ``EndpointHealth``.
        random: Source of chance.

    References:
        M. Mitzenmacher: The Power of Two Choices in Randomized Load Balancing, 2001.
    """

    __slots__ = ("health", "observed", "random", "zone")

    def __init__(self, zone, observed, health, random):
        self.zone = zone
        self.observed = observed
        self.health = health
        self.random = random

    def pick(self, records, tried, extra, is_long, now_s):
        """Return an ``EndpointRecord``, or ``None`` if there is none to try.

        Args:
            records: Endpoints of the service.
            tried: Names of endpoints to leave out.
            extra: Requests beyond an endpoint's limit that the priority allows.
            is_long: Whether a long answer is expected.
            now_s: Monotonic time in seconds.
        """
        open_to = [r for r in records if not r.leaving and r.name not in tried]
        if not open_to:
            return None
        sound = [r for r in open_to if self._is_sound(r, extra, now_s)]
        if not sound:
            sound = [r for r in open_to if self.observed.of(r.name).may_probe(now_s)]
        if not sound:
            return None
        own_zone = [r for r in sound if r.zone == self.zone]
        candidates = self._two_of(own_zone) + self._two_of(sound)
        penalty_s = LONG_ZONE_PENALTY_S if is_long else SHORT_ZONE_PENALTY_S
        return min(candidates, key=lambda record: self._cost_s(record, penalty_s))

    def _is_sound(self, record, extra, now_s):
        seen = self.observed.of(record.name)
        if self.health.is_avoided(record.name, now_s) or seen.is_doubtful(now_s):
            return False
        return seen.has_room(extra, now_s) and now_s - seen.shed_s > SHED_PAUSE_S

    def _two_of(self, records):
        if len(records) <= 2:
            return list(records)
        return self.random.sample(records, 2)

    def _cost_s(self, record, penalty_s):
        seen = self.observed.of(record.name)
        cost_s = seen.mean_s * (1 + seen.in_flight / max(record.slots, 1))
        if record.cold_s > 0:
            cost_s += seen.mean_s
        return cost_s + (0.0 if record.zone == self.zone else penalty_s)
