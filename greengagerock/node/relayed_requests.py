"""Requests that this host relays to another host and whose reply it awaits."""

from greengagerock.control.operator_messages import OperatorRelay, error_response
from greengagerock.core.interface import RespondToAnnouncement, RespondToOperator
from greengagerock.membership import AnnouncementRelay
from greengagerock.model.timing import OPERATOR_RELAY_TIMEOUT_S

ANNOUNCEMENT_RELAY_TIMEOUT_S = 1.0
OPERATOR_RELAY_MARGIN_S = 1.0
OPERATOR_RESEND_INTERVAL_S = 0.5


class PendingOperatorRequest:
    """An operator's request that awaits the leader's reply.

    Attributes:
        event: The ``OperatorRequestArrived`` event.
        deadline_s: Time at which the request ends without a final reply.
        latest_reply: The newest reply or failure, which becomes the response at the
            deadline.
        timer: Timer of the next resend.
    """

    __slots__ = ("deadline_s", "event", "latest_reply", "timer")

    def __init__(self, event, deadline_s):
        self.event = event
        self.deadline_s = deadline_s
        self.latest_reply = error_response("no-leader", "no controller leader has been found yet")
        self.timer = None


class RelayedRequests:
    """Relayed requests that await a reply or a timeout.

    Args:
        timers: The timer service.
        outbox: Receives effects.
        leader_address: Callable that returns the leader's link address, or the
            empty string.
    """

    def __init__(self, timers, outbox, leader_address):
        self.timers = timers
        self.outbox = outbox
        self.leader_address = leader_address
        self.timers_by_token = {}
        self.requests_by_token = {}

    def reply_announcement(self, token, reply):
        """Respond to an announcement that needs no relay."""
        self.outbox.add(RespondToAnnouncement(token, reply))

    def relay_announcement(self, event, lease_manager_address):
        """Relay an announcement to the lease manager.

        Without a lease manager, the response is sent at once, with ``None`` as the reply.

        Args:
            event: The ``AnnouncementArrived`` event.
            lease_manager_address: The lease manager's link address, or the empty string.
        """
        if not lease_manager_address:
            self.outbox.add(RespondToAnnouncement(event.token, None))
            return
        timer = self.timers.subscribe(
            ANNOUNCEMENT_RELAY_TIMEOUT_S, lambda: self.on_announcement_reply(event.token, None)
        )
        self.timers_by_token[event.token] = timer
        self.outbox.send(lease_manager_address, AnnouncementRelay(event.token, event.announcement))

    def on_announcement_reply(self, token, reply):
        """Respond with the first reply, or ``None`` after a timeout; later replies are ignored."""
        timer = self.timers_by_token.pop(token, None)
        if timer is not None:
            timer.cancel()
            self.outbox.add(RespondToAnnouncement(token, reply))

    def relay_operator(self, event):
        """Relay an operator's request to the leader, and resend it until the leader replies.

        The leader may change meanwhile, and messages may be lost. Resending is safe: a
        change is applied only once per request id.
        """
        timeout_s = min(event.request.wait_s, OPERATOR_RELAY_TIMEOUT_S) + OPERATOR_RELAY_MARGIN_S
        pending_request = PendingOperatorRequest(event, self.timers.now_s + timeout_s)
        self.requests_by_token[event.token] = pending_request
        self._send_operator_request(pending_request)

    def on_operator_reply(self, token, reply):
        """Respond to an operator with the leader's reply; further replies are ignored."""
        pending_request = self.requests_by_token.get(token)
        if pending_request is None:
            return
        if reply.code == "no-leader":
            pending_request.latest_reply = reply
            return
        self._finish_operator_request(pending_request, reply)

    def _send_operator_request(self, pending_request):
        if self.timers.now_s >= pending_request.deadline_s:
            self._finish_operator_request(pending_request, pending_request.latest_reply)
            return
        leader = self.leader_address()
        if leader:
            pending_request.latest_reply = error_response(
                "no-leader", "the leader did not reply in time; a change may have been accepted"
            )
            self.outbox.send(
                leader, OperatorRelay(pending_request.event.token, pending_request.event.request)
            )
        pending_request.timer = self.timers.subscribe(
            OPERATOR_RESEND_INTERVAL_S, lambda: self._send_operator_request(pending_request)
        )

    def _finish_operator_request(self, pending_request, reply):
        del self.requests_by_token[pending_request.event.token]
        pending_request.timer.cancel()
        self.outbox.add(RespondToOperator(pending_request.event.token, reply))
