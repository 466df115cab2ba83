"""The routers through which a router can send requests to endpoints that it cannot reach."""

from greengagerock.core.interface import CloseIdleConnections, KeepConnections
from greengagerock.routing.observations import EndpointObservation

# Time for which a relay that has failed is not used; it doubles with each further failure.
FIRST_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 4.0
# A relay that has reached no endpoint lately, and failed to reach this many, is avoided too.
MAX_MISSES = 3
RECENT_S = 1.0
# Idle connections to each relay. A router that loses all endpoints has about as many requests in
# flight as there are idle connections to all its relays.
IDLE_CONNECTIONS = 2
# Interval at which lost and old idle connections are replaced.
KEEP_INTERVAL_S = 5.0


class Relay:
    """One relay as observed by this router.

    Attributes:
        address: ``IP:PORT`` where it takes requests of other routers.
        observation: The ``EndpointObservation`` of the requests sent through it.
        avoided_until_s: Until when it is not used.
        avoidance_s: Length of the next avoidance.
        lost_services: Until when it is not used for a service to whose endpoints it has lost its
            own paths, in monotonic seconds, and the length of the next such time, by service.
        is_late: Whether it is avoided only because a connection to it opened late.
        reached_s: When a request sent through it last got a response of an endpoint.
        misses: Number of endpoints in a row that it could not reach.
    """

    __slots__ = (
        "address",
        "avoidance_s",
        "avoided_until_s",
        "is_late",
        "lost_services",
        "misses",
        "observation",
        "reached_s",
    )

    def __init__(self, address):
        self.address = address
        self.observation = EndpointObservation()
        self.avoided_until_s = float("-inf")
        self.avoidance_s = FIRST_AVOIDANCE_S
        self.is_late = False
        self.lost_services = {}
        self.reached_s = float("-inf")
        self.misses = 0

    def reaches(self, service, now_s):
        """Return whether it may be used for a service, as far as it has said."""
        return now_s >= self.lost_services.get(service, (float("-inf"), 0.0))[0]

    def avoid(self, now_s, is_late=False):
        """Do not use the relay for a while; a late one is used if there is no other."""
        self.is_late = is_late
        self.avoided_until_s = now_s + self.avoidance_s
        self.avoidance_s = min(MAX_AVOIDANCE_S, 2 * self.avoidance_s)


class RelayPool:
    """Relays and their health.

    Args:
        timers: The timer service.
        outbox: Receives effects.
        random: Random number generator.

    Attributes:
        by_address: ``Relay`` objects by address.
        sent_count: Number of requests sent through relays.
    """

    def __init__(self, timers, outbox, random):
        self.timers = timers
        self.outbox = outbox
        self.random = random
        self.by_address = {}
        self.sent_count = 0
        self._keep_timer = None

    @property
    def addresses(self):
        """Addresses of the relays."""
        return tuple(self.by_address)

    def set_addresses(self, addresses):
        """Replace the relays; what was observed of those that stay is kept.

        Connections to them are opened before they are needed: when a partition begins, all
        requests of this router need one at the same moment, and the links are full of responses.
        """
        for address in self.by_address.keys() - set(addresses):
            self.outbox.add(CloseIdleConnections(address))
        self.by_address = {a: self.by_address.get(a) or Relay(a) for a in addresses}
        if self._keep_timer is not None:
            self._keep_timer.cancel()
        self._keep_connections()

    def pick(self, service, excluded):
        """Return the address of the usable relay with the fewest requests, or an empty string.

        If there is none, relays to which a connection opened late are usable as well: the link
        that made it late is probably this host's own, so all relays are late at the same time.

        Args:
            service: Service of the request.
            excluded: Addresses of relays that are not to be used.
        """
        candidates = [
            relay
            for relay in self.by_address.values()
            if relay.address not in excluded and relay.reaches(service, self.timers.now_s)
        ]
        usable = [r for r in candidates if self._is_usable(r)]
        usable = usable or [r for r in candidates if self._is_only_late(r)]
        if not usable:
            return ""
        return min(usable, key=lambda r: (r.observation.in_flight, self.random.random())).address

    def usable_count(self):
        """Return the number of relays that may be used now."""
        return sum(self._is_usable(relay) for relay in self.by_address.values())

    def _is_usable(self, relay):
        now_s = self.timers.now_s
        return now_s >= relay.avoided_until_s and not relay.observation.is_doubtful(now_s)

    def _is_only_late(self, relay):
        return relay.is_late and not relay.observation.is_doubtful(self.timers.now_s)

    def note_sent(self, address):
        """Record that a request is sent through a relay."""
        self.sent_count += 1
        relay = self.by_address.get(address)
        if relay is not None:
            relay.observation.note_sent(self.timers.now_s)

    def note_ended(self, address):
        """Record that a request is no longer at a relay."""
        relay = self.by_address.get(address)
        if relay is not None:
            relay.observation.note_ended()

    def note_reached(self, address, service, response_s):
        """Record that an endpoint of a service has responded through a relay."""
        relay = self.by_address.get(address)
        if relay is not None:
            relay.observation.note_response(response_s, None, self.timers.now_s)
            relay.is_late = False
            relay.lost_services.pop(service, None)
            relay.reached_s = self.timers.now_s
            relay.avoidance_s = FIRST_AVOIDANCE_S
            relay.misses = 0

    def note_miss(self, address):
        """Record that a relay could not reach an endpoint."""
        relay = self.by_address.get(address)
        if relay is None:
            return
        now_s = self.timers.now_s
        relay.observation.note_alive(now_s)
        if now_s - relay.reached_s > RECENT_S:
            relay.misses += 1
            if relay.misses >= MAX_MISSES:
                relay.misses = 0
                self._avoid(relay, "endpoints-missed")

    def note_no_response(self, address, sent_s):
        """Record that a request sent through a relay at ``sent_s`` got no response.

        The endpoint or the links may be slow; a relay that has responded to another request since
        works.
        """
        relay = self.by_address.get(address)
        if relay is not None and relay.observation.silent_since_s <= sent_s:
            self._avoid(relay, "no-response")

    def note_failure(self, address, cause):
        """Record that a relay could not be reached, took no request, or did not respond.

        Args:
            address: Address of the relay.
            cause: What has failed, for the log.
        """
        relay = self.by_address.get(address)
        if relay is not None:
            self._avoid(relay, cause)

    def note_path_lost(self, address, service):
        """Record that a relay has lost its own paths to the endpoints of a service.

        It is still used for others.
        """
        relay = self.by_address.get(address)
        if relay is not None:
            now_s = self.timers.now_s
            relay.observation.note_alive(now_s)
            _, for_s = relay.lost_services.get(service, (0.0, FIRST_AVOIDANCE_S))
            next_s = min(MAX_AVOIDANCE_S, 2 * for_s)
            relay.lost_services[service] = (now_s + for_s, next_s)

    def note_late(self, address):
        """Record that a connection to a relay did not open in time."""
        relay = self.by_address.get(address)
        if relay is not None:
            self._avoid(relay, "connection-late", is_late=True)

    def _avoid(self, relay, cause, is_late=False):
        for_s = relay.avoidance_s
        relay.avoid(self.timers.now_s, is_late)
        self.outbox.log(
            "relay-avoided",
            relay=relay.address,
            cause=cause,
            for_ms=round(1000 * for_s),
            usable_relays=self.usable_count(),
        )

    def _keep_connections(self):
        self._keep_timer = None
        for address in self.by_address:
            self.outbox.add(KeepConnections(address, IDLE_CONNECTIONS))
        if self.by_address:
            self._keep_timer = self.timers.subscribe(KEEP_INTERVAL_S, self._keep_connections)
