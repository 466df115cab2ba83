"""Watches over attempts in progress: whether the caller is still there, and overdue responses."""

from greengagerock.core.interface import CancelAttempt, WatchCaller

# Time after sending from which on the I/O layer watches whether the caller is still connected.
WATCH_AFTER_S = 0.2
# Time after the deadline at which an attempt is cancelled: while it waits for the head of the
# response, while a short body arrives, and while a long response is being relayed.
OVERDUE_S = 0.25
BODY_GRACE_S = 1.0
STREAM_GRACE_S = 5.0


class AttemptWatch:
    """Sets the timers of attempts.

    Args:
        timers: The timer service.
        outbox: Receives effects.
    """

    __slots__ = ("outbox", "timers")

    def __init__(self, timers, outbox):
        self.timers = timers
        self.outbox = outbox

    def begin(self, call):
        """Watch the attempt of a call that has just been sent."""
        call.cancel_timer()
        call.timer = self.timers.subscribe(WATCH_AFTER_S, lambda: self._watch_caller(call))

    def _watch_caller(self, call):
        call.timer = None
        if call.endpoint:
            self.outbox.add(WatchCaller(call.token))
            self._schedule_overdue(call, call.deadline_s + OVERDUE_S)

    def _schedule_overdue(self, call, due_s):
        wait_s = max(OVERDUE_S, due_s - self.timers.now_s)
        call.timer = self.timers.subscribe(wait_s, lambda: self._cancel_overdue(call))

    def _cancel_overdue(self, call):
        """End an attempt whose response is still incomplete long after the deadline.

        The I/O layer's time-out ends only silent connections, and bytes may come without end.
        """
        call.timer = None
        if not call.endpoint:
            return
        stream_end_s = call.deadline_s + STREAM_GRACE_S
        if call.has_stream and self.timers.now_s < stream_end_s:
            self._schedule_overdue(call, stream_end_s)
            return
        call.is_overdue = True
        is_body_awaited = self.timers.now_s < call.deadline_s + BODY_GRACE_S
        self.outbox.add(CancelAttempt(call.token, only_waiting=is_body_awaited))
        self._schedule_overdue(call, self.timers.now_s)
