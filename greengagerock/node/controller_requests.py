"""HTTP requests that a controller processes as the leader or relays to the leader."""

from greengagerock.control.relay_messages import EvacuationRelay, PatchRelay
from greengagerock.core.interface import Respond
from greengagerock.items.store import digest_patch, format_digest

# Endpoints and operators try another controller after one second without a response.
RELAY_TIMEOUT_S = 0.9
# Largest number of items that a log line names.
MAX_LOGGED_ITEMS = 8


class OpenRequest:
    """A request that waits for the leader's reply.

    Attributes:
        change: Digest of the change in the form of log lines, empty for other requests.
        arrived_s: When it arrived, in monotonic seconds.
        timer: Timer of the end of the wait for a relayed request, or ``None``. The leader itself
            replies to each request.
    """

    __slots__ = ("arrived_s", "change", "timer")

    def __init__(self, change, arrived_s):
        self.change = change
        self.arrived_s = arrived_s
        self.timer = None


class ControllerRequests:
    """Requests of endpoints and operators that wait for a decision of the leader.

    Args:
        site_leader: The ``SiteLeader`` of this host.
        leader_address: Callable that returns the leader's link address, or the empty string.
        own_address: Link address of this host.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        by_token: ``OpenRequest`` objects by token.
    """

    __slots__ = ("by_token", "leader_address", "outbox", "own_address", "site_leader", "timers")

    def __init__(self, site_leader, leader_address, own_address, timers, outbox):
        self.site_leader = site_leader
        self.leader_address = leader_address
        self.own_address = own_address
        self.timers = timers
        self.outbox = outbox
        self.by_token = {}

    def serve(self, token, request):
        """Respond to a request if this host leads, else relay it to the leader.

        Args:
            token: Token of the request.
            request: The message that relays it.
        """
        is_leading = self.site_leader.is_active()
        leader = self.own_address if is_leading else self.leader_address()
        self.by_token[token] = OpenRequest(self._log_change(request, leader), self.timers.now_s)
        if is_leading:
            self.site_leader.process_request(
                request, lambda reply: self.finish(token, reply.value)
            )
        elif not leader or leader == self.own_address:
            self.finish(token, None, "no-leader")
        else:
            self.outbox.send(leader, request)
            self.by_token[token].timer = self.timers.subscribe(
                RELAY_TIMEOUT_S, lambda: self.finish(token, None, "timeout")
            )

    def finish(self, token, value, cause="reply"):
        """Respond to a request with a value, or ``None``; later values are ignored."""
        open_request = self.by_token.pop(token, None)
        if open_request is None:
            return
        if open_request.timer is not None:
            open_request.timer.cancel()
        if open_request.change:
            self.outbox.log(
                "change-answered",
                change=open_request.change,
                is_decided=value is not None,
                cause=cause,
                after_ms=round(1000 * (self.timers.now_s - open_request.arrived_s)),
            )
        self.outbox.add(Respond(token, value))

    def _log_change(self, request, leader):
        """Log the arrival of a change, and return its digest in the form of log lines."""
        match request:
            case PatchRelay(_, patch) | EvacuationRelay(_, patch):
                change = format_digest(digest_patch(patch))
                names = patch.item_names()
                self.outbox.log(
                    "change-received",
                    change=change,
                    passed_to=leader,
                    items=",".join(names[:MAX_LOGGED_ITEMS]),
                    item_count=len(names),
                    zones=",".join(order.zone for order in patch.evacuations),
                )
                return change
        return ""
