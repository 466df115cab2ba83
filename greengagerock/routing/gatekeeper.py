"""A router's part as the gatekeeper of some endpoints, for all routers."""

from greengagerock.routing.endpoint_gate import EndpointGate
from greengagerock.routing.gate_messages import PermitRelease, PermitReply, PermitRequest

# Interval at which waiting requests are reconsidered, besides each end of a request.
TICK_S = 0.05
# A gate without requests is dropped after this time.
IDLE_GATE_S = 10.0
# Time for which a gate counts as needed after a request had to wait.
NEEDED_S = 2.0
# Largest number of gates, and of requests that wait at one.
MAX_GATES = 256


class Gatekeeper:
    """The gates of the endpoints that the leader has given to this router.

    Any router may ask for permits, so a gate is opened by its first request.

    Args:
        timers: The timer service.
        send: Callable that sends a message to a router's address.
        random: Random number generator.

    Attributes:
        gates: The ``EndpointGate`` by name and start of the endpoint.
    """

    def __init__(self, timers, send, random):
        self.timers = timers
        self.send = send
        self.random = random
        self.gates = {}
        self._timer = None

    def handle(self, message, address):
        """Process a ``PermitRequest`` or ``PermitRelease`` from the router at ``address``."""
        now_s = self.timers.now_s
        key = (message.endpoint, message.started_ms)
        match message:
            case PermitRequest(token):
                gate = self._gate_of(key, message, now_s)
                decision = gate.request((address, token), message, now_s)
                self.send(address, PermitReply(token, decision))
            case PermitRelease(token):
                gate = self.gates.get(key)
                if gate is None:
                    return
                gate.release((address, token), message, now_s)
        self._advance(gate)
        self._schedule()

    def needed_gates(self):
        """Return the names of the endpoints at whose gates requests had to wait recently."""
        now_s = self.timers.now_s
        return tuple(
            sorted(
                name
                for (name, _), gate in self.gates.items()
                if now_s - gate.last_queued_s < NEEDED_S
            )
        )

    def _gate_of(self, key, request, now_s):
        gate = self.gates.get(key)
        if gate is None:
            if len(self.gates) >= MAX_GATES:
                del self.gates[min(self.gates, key=lambda k: self.gates[k].last_use_s)]
            gate = EndpointGate(request.slots, request.mean_response_s, self.random, now_s)
            self.gates[key] = gate
        return gate

    def _advance(self, gate):
        for (address, token), decision in gate.advance(self.timers.now_s):
            self.send(address, PermitReply(token, decision))

    def _schedule(self):
        if self._timer is None and self.gates:
            self._timer = self.timers.subscribe(TICK_S, self._tick)

    def _tick(self):
        self._timer = None
        now_s = self.timers.now_s
        for key, gate in list(self.gates.items()):
            self._advance(gate)
            if now_s - gate.last_use_s > IDLE_GATE_S:
                del self.gates[key]
        if any(gate.queue for gate in self.gates.values()):
            self._schedule()
