"""Requests that this host passes to another host and waits for."""

from greengagerock.control.operators import OperatorRelay, refuse
from greengagerock.core.seam import ReplyAnnouncement, ReplyOperator
from greengagerock.membership import AnnouncementRelay
from greengagerock.model.timing import OPERATOR_RELAY_TIMEOUT_S

ANNOUNCEMENT_TIMEOUT_S = 1.0
OPERATOR_GRACE_S = 1.0
OPERATOR_RESEND_S = 0.5


class OperatorWait:
    """An operator's request that waits for the leader's answer.

    Attributes:
        event: The ``OperatorAsked`` event.
        deadline_s: When to give up.
        last_answer: The newest answer, kept in case no better one comes.
        timer: The next resend.
    """

    __slots__ = ("deadline_s", "event", "last_answer", "timer")

    def __init__(self, event, deadline_s):
        self.event = event
        self.deadline_s = deadline_s
        self.last_answer = refuse("no-leader", "no controller leader is known yet")
        self.timer = None


class RelayDesk:
    """Keeps track of relayed requests until their answer or a timeout.

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

    def relay_operator(self, event):
        """Pass an operator's request to the leader, again and again until it answers.

        The leader may change or a message get lost meanwhile. Resending is safe: a
        change is applied once for its request id.
        """
        limit_s = min(event.request.wait_s, OPERATOR_RELAY_TIMEOUT_S) + OPERATOR_GRACE_S
        wait = OperatorWait(event, self.timers.now_s + limit_s)
        self.operators[event.token] = wait
        self._send_operator(wait)

    def on_operator_answer(self, token, answer):
        """Pass the leader's answer on; a second answer is ignored."""
        wait = self.operators.get(token)
        if wait is None:
            return
        if answer.code == "no-leader":
            wait.last_answer = answer
            return
        self._finish_operator(wait, answer)

    def _send_operator(self, wait):
        if self.timers.now_s >= wait.deadline_s:
            self._finish_operator(wait, wait.last_answer)
            return
        leader = self.leader_address()
        if leader:
            wait.last_answer = refuse(
                "no-leader", "the leader did not answer; a change may have been accepted"
            )
            self.outbox.send(leader, OperatorRelay(wait.event.token, wait.event.request))
        wait.timer = self.timers.subscribe(OPERATOR_RESEND_S, lambda: self._send_operator(wait))

    def _finish_operator(self, wait, answer):
        del self.operators[wait.event.token]
        wait.timer.cancel()
        self.outbox.add(ReplyOperator(wait.event.token, answer))
