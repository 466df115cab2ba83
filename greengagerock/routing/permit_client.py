"""A router's requests for permits to send to endpoints that have a gate."""

from greengagerock.routing.gate_messages import PermitRelease, PermitRequest

# Longest wait for the first reply of a gatekeeper, besides the delay of this host's own link. Then
# the request is sent without a permit.
REPLY_TIMEOUT_S = 0.15
# Time for which a gatekeeper that did not reply is not asked.
UNRESPONSIVE_S = 1.0
# A request is sent without a permit if its turn comes later than this many expected waits, since
# the gatekeeper may have ended.
OVERDUE_WAITS = 2.0
OVERDUE_MARGIN_S = 0.3


class Permit:
    """A permit that is requested or held for one call.

    Attributes:
        gatekeeper: Link address of the gatekeeper.
        endpoint: Name of the endpoint.
        started_ms: Start of the endpoint instance, in milliseconds since 1970.
        is_held: Whether the permit was granted.
    """

    __slots__ = ("endpoint", "gatekeeper", "is_held", "started_ms")

    def __init__(self, gatekeeper, record):
        self.gatekeeper = gatekeeper
        self.endpoint = record.name
        self.started_ms = record.started_ms
        self.is_held = False


class PermitClient:
    """The permits that this router has requested or holds.

    Permits only order requests. A request without one is as safe as with one, so a gatekeeper
    that does not reply costs a short wait and nothing else.

    Args:
        replica: The ``ViewReplica``, which names the gatekeepers.
        send: Callable that sends a message to a router's address.
        is_enabled: Whether gatekeepers are asked.
        reply_timeout_s: Longest wait for the first reply of a gatekeeper.

    Attributes:
        permits: The ``Permit`` by token of the call.
        asked_again_s: For each gatekeeper that did not reply, when it is asked again.
    """

    __slots__ = ("asked_again_s", "is_enabled", "permits", "replica", "reply_timeout_s", "send")

    def __init__(self, replica, send, is_enabled=True):
        self.is_enabled = is_enabled
        self.reply_timeout_s = REPLY_TIMEOUT_S
        self.replica = replica
        self.send = send
        self.permits = {}
        self.asked_again_s = {}

    @property
    def holds_any(self):
        """Whether a permit is held, whose release another router may wait for."""
        return bool(self.permits)

    def gatekeeper_of(self, record, now_s):
        """Return the address of an endpoint's gatekeeper, or ``None`` if none is to be asked."""
        if not self.is_enabled:
            return None
        gatekeeper = self.replica.gatekeeper_of(record.name)
        if gatekeeper is None or now_s < self.asked_again_s.get(gatekeeper, 0.0):
            return None
        return gatekeeper

    def request(self, call, record, gatekeeper, mean_response_s, rank, now_s):
        """Ask for a permit to send a call to an endpoint."""
        self.permits[call.token] = Permit(gatekeeper, record)
        time_left_s = call.deadline_s - now_s
        objective_s = call.route.objective_s
        on_time_s = time_left_s
        if objective_s is not None:
            on_time_s = min(time_left_s, call.arrived_s + objective_s - now_s)
        self.send(
            gatekeeper,
            PermitRequest(
                call.token,
                record.name,
                record.started_ms,
                record.slots,
                mean_response_s,
                rank,
                on_time_s,
                time_left_s,
            ),
        )

    def mark_unresponsive(self, gatekeeper, now_s):
        """Record that a gatekeeper did not reply."""
        self.asked_again_s[gatekeeper] = now_s + UNRESPONSIVE_S

    def release(self, token, response_s=0.0, was_refused=False):
        """Return the permit of a call, or end its wait for one."""
        permit = self.permits.pop(token, None)
        if permit is not None:
            self.send(
                permit.gatekeeper,
                PermitRelease(token, permit.endpoint, permit.started_ms, response_s, was_refused),
            )
