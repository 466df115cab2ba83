"""Requests that this host passes to another host and waits for."""

from greengagerock.control.operators import OperatorRelay, refuse
from greengagerock.core.seam import ReplyAnnouncement, ReplyOperator
from greengagerock.membership import AnnouncementRelay
from greengagerock.model.timing import OPERATOR_RELAY_TIMEOUT_S

ANNOUNCEMENT_TIMEOUT_S = 1.0
OPERATOR_GRACE_S = 1.0


class RelayDesk:
    """Keeps track of relayed requests until their answer or a timeout.

    Args:
        timers: The timer service.
        outbox: Receives effects.
    """

    def __init__(self, timers, outbox):
        self.timers = timers
        self.outbox = outbox
        self.announcements = {}
        self.operators = {}

    def reply_announcement(self, token, reply):
        """Answer an announcement that needed no relay."""
        self.outbox.add(ReplyAnnouncement(token, reply))

    def relay_announcement(self, event, keeper_address):
        """Pass an announcement to the keeper, if one is known."""
        if not keeper_address:
            self.outbox.add(ReplyAnnouncement(event.token, None))
            return
        timer = self.timers.subscribe(
            ANNOUNCEMENT_TIMEOUT_S, lambda: self.on_announcement_answer(event.token, None)
        )
        self.announcements[event.token] = timer
        self.outbox.send(keeper_address, AnnouncementRelay(event.token, event.announcement))

    def on_announcement_answer(self, token, reply):
        """Pass the keeper's answer on; a second answer is ignored."""
        timer = self.announcements.pop(token, None)
        if timer is not None:
            timer.cancel()
            self.outbox.add(ReplyAnnouncement(token, reply))

    def relay_operator(self, event, leader_address):
        """Pass an operator's request to the leader, if one is known."""
        if not leader_address:
            answer = refuse("no-leader", "no controller leader is known yet")
            self.outbox.add(ReplyOperator(event.token, answer))
            return
        timeout_s = OPERATOR_RELAY_TIMEOUT_S + OPERATOR_GRACE_S
        timer = self.timers.subscribe(timeout_s, lambda: self._on_operator_timeout(event.token))
        self.operators[event.token] = timer
        self.outbox.send(leader_address, OperatorRelay(event.token, event.request))

    def on_operator_answer(self, token, answer):
        """Pass the leader's answer on; a second answer is ignored."""
        timer = self.operators.pop(token, None)
        if timer is not None:
            timer.cancel()
            self.outbox.add(ReplyOperator(token, answer))

    def _on_operator_timeout(self, token):
        detail = "the leader did not answer; a change may or may not have been accepted"
        self.on_operator_answer(token, refuse("no-leader", detail))
