"""The planned stop of a router, in steps that a ``StopSchedule`` times."""

from greengagerock.core.interface import StopAccepting, StopProcess
from greengagerock.node.stop_schedule import StopSchedule

# Interval in which the calls that are left at the end of a stop are ended.
END_CALLS_INTERVAL_S = 0.04


class RouterStop:
    """Stops a router without cutting requests off.

    The router reports itself unready first, while it serves requests. Then it refuses them, ends
    those in progress that would outlast the grace period, and lets the HTTP servers end.

    Args:
        node: The ``RouterNode``.

    Attributes:
        schedule: The ``StopSchedule``, ``None`` before the stop.
        may_end: Whether the process may end if it has no request.
        is_stopped: Whether the process ends.
    """

    def __init__(self, node):
        self.node = node
        self.schedule = None
        self.may_end = False
        self.is_stopped = False

    @property
    def has_begun(self):
        """Whether the router reports itself unready."""
        return self.schedule is not None

    def begin(self, since_s):
        """Begin the stop; further calls have no effect.

        Args:
            since_s: Latest time at which it had certainly not been requested yet, ``None`` for
                now, in monotonic seconds.
        """
        if self.has_begun:
            return
        now_s = self.node.timers.now_s
        since_s = now_s if since_s is None else since_s
        self.schedule = schedule = StopSchedule(since_s, now_s, self.node.config.stop_grace_s)
        # First of all, so that the process ends although something below fails.
        for due_s, handler in (
            (schedule.refuses_s, self._refuse_new_requests),
            (schedule.may_end_s, self._permit_end),
            (schedule.closes_ports_s, lambda: self.node.outbox.add(StopAccepting())),
            (schedule.ends_calls_s, self._stop),
        ):
            self.node.timers.subscribe(max(0.0, due_s - now_s), handler)
        self.node.dispatcher.begin_closing(schedule.ends_calls_s)
        self.node.relayed_calls.begin_closing(schedule.ends_calls_s)
        self.node.replica.relay_address = ""
        self.node.outbox.log(
            "stopping", in_flight=len(self.node.dispatcher.calls), signal_ms=schedule.age_ms(now_s)
        )
        # Steps that are due already take effect before the next event.
        self.node.timers.advance(now_s)

    def end_if_idle(self):
        """End the process if that is permitted and no request is in progress."""
        if self.may_end and not (self.node.dispatcher.calls or self.node.relayed_calls.by_token):
            self._stop()

    def _refuse_new_requests(self):
        # A request accepted from now on may not finish before the process is killed.
        self.node.outbox.log("refusing", signal_ms=self.schedule.age_ms(self.node.timers.now_s))
        self.node.dispatcher.is_stopping = True
        self.node.relayed_calls.is_stopping = True

    def _permit_end(self):
        self.may_end = True
        self.end_if_idle()

    def _stop(self):
        if self.is_stopped:
            return
        self.is_stopped = True
        now_s = self.node.timers.now_s
        self.node.outbox.log(
            "stopped",
            cut_off=len(self.node.dispatcher.calls),
            signal_ms=self.schedule.age_ms(now_s),
        )
        self.node.outbox.add(StopProcess(wait_s=self.schedule.drain_s(now_s)))
        self._log_calls()
        self._end_calls()

    def _log_calls(self):
        """Log how long ago each call in progress arrived and was sent to its endpoint."""
        now_s = self.node.timers.now_s
        for call in self.node.dispatcher.calls.values():
            self.node.outbox.log(
                "call-ended",
                request_id=call.request_id,
                service=call.service,
                route=call.route.name,
                endpoint=call.endpoint,
                arrived_ms=round(1000 * (now_s - call.arrived_s)),
                sent_ms=round(1000 * (now_s - call.sent_s)) if call.endpoint else "",
                is_responding=call.has_stream,
            )

    def _end_calls(self):
        """Respond to the calls that the end of the process would cut off."""
        if self.node.dispatcher.calls or self.node.relayed_calls.by_token:
            self.node.timers.subscribe(END_CALLS_INTERVAL_S, self._end_calls)
            spares_heads = self.node.timers.now_s < self.schedule.ends_responses_s
            self.node.dispatcher.ending.end_calls(spares_heads)
            self.node.relayed_calls.end_calls(spares_heads)
