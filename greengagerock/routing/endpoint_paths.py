"""The paths from a router to endpoints: its own connections, and other routers as relays."""

import msgspec

from greengagerock.routing import connect_timeouts
from greengagerock.routing.observations import MAX_PROBE_INTERVAL_S, PROBE_INTERVAL_S
from greengagerock.routing.partition_detector import PartitionDetector
from greengagerock.routing.relay_pool import RelayPool

# Time between attempts to connect to any of the lost endpoints while others run their requests,
# since each attempt may delay a request by a time-out. It doubles with each failed attempt.
FIRST_PROBE_PAUSE_S = 0.25
MAX_PROBE_PAUSE_S = 2.0
# Number of relays to which a call is sent at most.
MAX_RELAYS_PER_CALL = 3


class Direct(msgspec.Struct, frozen=True):
    """The request is sent on any own connection."""


class Probe(msgspec.Struct, frozen=True):
    """The request is sent on a new own connection, since open ones may no longer work."""


class Relayed(msgspec.Struct, frozen=True):
    """The request is sent through another router.

    Attributes:
        relay: Where that router takes requests of others, ``IP:PORT``.
    """

    relay: str


class NoPath(msgspec.Struct, frozen=True):
    """The endpoint cannot be reached now."""


class EndpointPaths:
    """Decides how requests reach an endpoint.

    An endpoint is lost if connecting to it failed, or if its service or availability zone is
    presumed lost. Requests to it go through a relay, except for a few that show whether it
    can be reached again.

    Args:
        replica: The ``ViewReplica``.
        observations: The ``EndpointObservations``.
        health: The ``EndpointHealth``.
        timers: The timer service.
        outbox: Receives effects.
        random: Random number generator.
        report: Callable that sends a message to the leader.

    Attributes:
        detector: The ``PartitionDetector``.
        relays: The ``RelayPool``.
        unrelayed: Until when an endpoint is not tried through relays, and the length of the next
            such pause, by name; relays could not reach it either.
        next_probe_s: Earliest time of the next attempt to connect to a lost endpoint.
        probe_pause_s: Time from that attempt to the one after it.
    """

    def __init__(self, replica, observations, health, timers, outbox, random, report):
        self.replica = replica
        self.observations = observations
        self.health = health
        self.timers = timers
        self.report = report
        self.detector = PartitionDetector(replica, timers, outbox, self._on_partition)
        self.relays = RelayPool(timers, outbox, random)
        self.unrelayed = {}
        self.next_probe_s = float("-inf")
        self.probe_pause_s = FIRST_PROBE_PAUSE_S

    def is_lost(self, record):
        """Return whether this router presumably cannot connect to an endpoint."""
        if self.observations.observation_of(record.name).is_unreachable:
            return True
        return self.detector.is_presumed_lost(record)

    def choose(self, call, record):
        """Return the path of a call to the only endpoint that can run it.

        Returns:
            ``Direct``, ``Probe``, ``Relayed`` or ``NoPath``.
        """
        now_s = self.timers.now_s
        observation = self.observations.observation_of(record.name)
        is_failing = observation.is_silent(now_s) or self.health.is_avoided(record.name, now_s)
        if not self.is_lost(record):
            if not is_failing:
                return Direct()
            return Probe() if observation.may_probe(now_s) else NoPath()
        if not call.unreached_endpoints and self.may_probe(record):
            return Probe()
        if is_failing and not observation.may_probe(now_s):
            return NoPath()
        relay = self.pick_relay(call, record)
        return Relayed(relay) if relay else NoPath()

    def connect_timeout_s(self, call, record, is_keyed):
        """Return the connect timeout of an attempt, or ``None`` for the configured one.

        Args:
            call: The ``Call``, with the relay of the attempt.
            record: The ``EndpointRecord`` of the endpoint that was chosen.
            is_keyed: Whether only that endpoint may run it.
        """
        if call.relay:
            return connect_timeouts.longest_connect_timeout_s(call.deadline_s - self.timers.now_s)
        names = () if is_keyed else self.replica.by_service.get(call.service, ())
        has_alternative = connect_timeouts.has_alternative(call, names)
        is_suspect = self.is_lost(record) or self.detector.is_suspect(record)
        return connect_timeouts.connect_timeout_s(
            call, has_alternative, is_suspect, self.timers.now_s
        )

    def relayed_connect_timeout_s(self, record, left_s):
        """Return the connect timeout of another router's request, or ``None`` for the configured.

        No other endpoint may run the request, as far as this router can tell.

        Args:
            record: The ``EndpointRecord`` of the endpoint.
            left_s: Time until the deadline of the request in seconds.
        """
        if self.is_lost(record) or self.detector.is_suspect(record):
            return None
        return connect_timeouts.longest_connect_timeout_s(left_s)

    def may_probe(self, record, has_alternatives=False):
        """Return whether a request may be sent to a lost endpoint to see whether it is reached.

        Args:
            record: The ``EndpointRecord``.
            has_alternatives: Whether other endpoints can run the request.
        """
        now_s = self.timers.now_s
        observation = self.observations.observation_of(record.name)
        if not (has_alternatives or self.relays.by_address):
            return observation.may_probe(now_s)
        if now_s < self.next_probe_s:
            return False
        if not observation.may_probe(now_s, observation.probe_interval_s):
            return False
        self.next_probe_s = now_s + self.probe_pause_s
        self.probe_pause_s = min(MAX_PROBE_PAUSE_S, 2 * self.probe_pause_s)
        return True

    def pick_relay(self, call, record):
        """Return the address of a relay for a call to a lost endpoint, or an empty string."""
        until_s, _ = self.unrelayed.get(record.name, (float("-inf"), 0.0))
        if self.timers.now_s < until_s or len(call.tried_relays) >= MAX_RELAYS_PER_CALL:
            return ""
        return self.relays.pick(record.service, call.tried_relays)

    # --- Observations --------------------------------------------------------------

    def note_lost(self, record):
        """Record that connecting to an endpoint failed."""
        self.detector.note_failure(record)
        self._note_unreachable(record)

    def note_timeout(self, record, began_s, is_only_one=False):
        """Record a connect timeout; return whether the endpoint counts as lost.

        Args:
            record: The ``EndpointRecord``.
            began_s: When the attempt began.
            is_only_one: Whether no other endpoint may run the request.
        """
        if self.detector.note_timeout(record, began_s, is_only_one):
            return False
        self._note_unreachable(record)
        return True

    def _note_unreachable(self, record):
        self.observations.observation_of(record.name).note_unreachable(self.timers.now_s)
        self.update_report()

    def note_no_response(self, record, sent_s):
        """Record a request that got no response over an own connection until its deadline."""
        self.detector.note_no_response(record, sent_s)

    def _on_partition(self):
        """Report at once, so that relays that are partitioned as well are replaced."""
        self.update_report()
        self.report(self.replica.poll({}, {}))

    def note_reached(self, record):
        """Record a response of an endpoint over an own connection."""
        self.unrelayed.pop(record.name, None)
        self.detector.note_reached(record)
        if self.observations.observation_of(record.name).is_unreachable:
            self.observations.expect_reachable()
            self.next_probe_s = float("-inf")
            self.probe_pause_s = FIRST_PROBE_PAUSE_S

    def note_relayed(self, record, relay, response_s):
        """Record a response of an endpoint through a relay."""
        self.unrelayed.pop(record.name, None)
        self.relays.note_reached(relay, record.service, response_s)

    def note_unrelayed(self, endpoint):
        """Record that several relays could not reach an endpoint."""
        _, pause_s = self.unrelayed.get(endpoint, (0.0, PROBE_INTERVAL_S))
        next_pause_s = min(MAX_PROBE_INTERVAL_S, 2 * pause_s)
        self.unrelayed[endpoint] = (self.timers.now_s + pause_s, next_pause_s)

    def forget(self, endpoint):
        """Drop what is recorded about an endpoint that has ended."""
        self.unrelayed.pop(endpoint, None)
        self.detector.forget(endpoint)

    def on_relays(self, addresses):
        """Use the relays that the leader names."""
        self.replica.relays = addresses
        self.relays.set_addresses(addresses)

    def update_report(self):
        """Update the number of lost endpoints that polls report to the leader."""
        self.replica.unreachable_count = sum(
            self.is_lost(record) for record in self.replica.endpoints.values()
        )
