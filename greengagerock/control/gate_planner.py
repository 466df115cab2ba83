"""The leader's choice of endpoints whose requests are ordered by a gate, and of gatekeepers."""

import msgspec

from greengagerock.view import EndpointGates, encode_delta

# Share of the latency objective from which on the mean response time shows a busy endpoint.
BUSY_SHARE = 0.5
# Decayed number of responses below which a mean is not used.
MIN_RESPONSES = 3.0
# Decayed number of responses per router above which each router sees the load of the endpoint by
# itself, so that a gate would only cost messages.
MAX_RESPONSES_PER_ROUTER = 0.6
# Time after the last request that had to wait at a gate until the gate is given up.
KEEP_S = 4.0
PLAN_INTERVAL_S = 0.4
# A new leader first learns from the gatekeepers which gates are in use.
LEARNING_S = 2.0
# Number of gates per gatekeeper up to which no further router becomes one. Fewer gatekeepers
# mean fewer links for each router.
GATES_PER_ROUTER = 8
# Size of the range of message numbers of each term.
NUMBERS_PER_TERM = 1 << 24


class Gate:
    """A gate in use.

    Attributes:
        gatekeeper: Link address of the router that keeps it.
        needed_s: When it was last needed.
    """

    __slots__ = ("gatekeeper", "needed_s")

    def __init__(self, gatekeeper, needed_s):
        self.gatekeeper = gatekeeper
        self.needed_s = needed_s


class RouterState(msgspec.Struct, frozen=True):
    """A router that may keep gates.

    Attributes:
        address: Its link address.
        zone: Its availability zone.
    """

    address: str
    zone: str


class GatePlanner:
    """Opens a gate when an endpoint becomes busy, and closes it when no request waits any more.

    Args:
        term: The leader's term.
        now_s: Start of the term, in monotonic seconds.

    Attributes:
        gates: The ``Gate`` by name of the endpoint.
        number: Number of the newest message to routers.
        packed: That message, packed, or ``None`` before the first one.
    """

    def __init__(self, term, now_s):
        self.number = term * NUMBERS_PER_TERM
        self.packed = None
        self.gates = {}
        self._published = None
        self._started_s = now_s
        self._planned_s = float("-inf")

    def note_needed(self, endpoints, gatekeeper, now_s):
        """Record that requests had to wait at the gates of a gatekeeper."""
        for name in endpoints:
            gate = self.gates.get(name)
            if gate is None:
                self.gates[name] = Gate(gatekeeper, now_s)
            else:
                gate.needed_s = now_s

    def is_due(self, now_s):
        """Return whether the next plan is due."""
        return now_s - self._planned_s >= PLAN_INTERVAL_S

    def plan(self, mean_response_times, objectives, zones, routers, now_s):
        """Update the gates, and make a new message if they have changed.

        Args:
            mean_response_times: Tuples of service, endpoint, number of responses and mean
                response time in seconds.
            objectives: Latency objective by name of a service with keys.
            zones: Availability zone by name of an endpoint that exists.
            routers: The ``RouterState`` of each router that may keep gates.
            now_s: Monotonic time in seconds.

        Returns:
            Whether there is a new message.
        """
        self._planned_s = now_s
        for service, name, responses, mean_s in mean_response_times:
            objective_s = objectives.get(service)
            most = MAX_RESPONSES_PER_ROUTER * len(routers)
            if objective_s is None or not MIN_RESPONSES <= responses <= most:
                continue
            if mean_s > BUSY_SHARE * objective_s:
                self.gates.setdefault(name, Gate("", now_s)).needed_s = now_s
        self.gates = {
            name: gate
            for name, gate in self.gates.items()
            if name in zones and now_s - gate.needed_s < KEEP_S
        }
        self._assign(zones, routers)
        return self._publish(now_s)

    def _assign(self, zones, routers):
        """Give each gate without a living gatekeeper to a router in the endpoint's zone.

        When zones are cut from each other, the routers of a zone still reach its gatekeepers.
        """
        addresses = {router.address for router in routers}
        counts = dict.fromkeys(sorted(addresses), 0)
        for gate in self.gates.values():
            if gate.gatekeeper in counts:
                counts[gate.gatekeeper] += 1
        by_zone = {}
        for router in sorted(routers, key=lambda router: router.address):
            by_zone.setdefault(router.zone, []).append(router.address)
        for name, gate in sorted(self.gates.items()):
            if gate.gatekeeper not in counts:
                candidates = by_zone.get(zones[name]) or list(counts)
                gate.gatekeeper = choose_gatekeeper(candidates, counts)
                if gate.gatekeeper:
                    counts[gate.gatekeeper] += 1

    def _publish(self, now_s):
        gates = {name: gate.gatekeeper for name, gate in self.gates.items() if gate.gatekeeper}
        if gates == self._published or now_s - self._started_s < LEARNING_S:
            return False
        self._published = gates
        self.number += 1
        addresses = sorted(set(gates.values()))
        index = {address: number for number, address in enumerate(addresses)}
        endpoints = {name: index[address] for name, address in gates.items()}
        self.packed = encode_delta(EndpointGates(self.number, tuple(addresses), endpoints))
        return True


def choose_gatekeeper(candidates, counts):
    """Return the router that gets one more gate, or an empty string if there is none.

    Args:
        candidates: Addresses of routers.
        counts: Number of gates by address.

    Examples:
        >>> choose_gatekeeper(["a", "b", "c"], {"a": 3, "b": 0, "c": 0})
        'a'
        >>> choose_gatekeeper(["a", "b", "c"], {"a": 8, "b": 2, "c": 0})
        'b'
        >>> choose_gatekeeper(["a", "b"], {"a": 9, "b": 8})
        'b'
    """
    for address in candidates:
        if counts[address] < GATES_PER_ROUTER:
            return address
    return min(candidates, key=counts.get, default="")
