"""Processing of what endpoints say in responses about further requests."""

from greengagerock.view import LeavingObserved


class NoticeHandler:
    """Records notices of endpoints, logs them, and reports them to the leader.

    Args:
        notices: The ``EndpointNotices``.
        limits: The ``EndpointLimits``.
        loads: The ``EndpointLoads``.
        replica: The ``ViewReplica``.
        timers: The timer service.
        outbox: Receives effects.
        report: Callable that sends a message to the leader.
    """

    __slots__ = ("limits", "loads", "notices", "outbox", "replica", "report", "timers")

    def __init__(self, notices, limits, loads, replica, timers, outbox, report):
        self.notices = notices
        self.limits = limits
        self.loads = loads
        self.replica = replica
        self.timers = timers
        self.outbox = outbox
        self.report = report

    def on_notice(self, event, call):
        """Process an ``EndpointNoticed`` of the endpoint that runs a call."""
        self._on_leaving(event, call)
        self._on_pause(event, call)
        self._on_limit(event, call)
        self._on_load(event, call)

    def on_left(self, records, started_ms_by_name):
        """Record that endpoint instances have left, and report starts that the leader lacks.

        A later leader may list such an instance again when a late report of it arrives.

        Args:
            records: The ``EndpointRecord`` objects of the instances.
            started_ms_by_name: Start of each instance as far as the leader has it, or 0.
        """
        for record in records:
            self.notices.note_leaving(record.name, record.started_ms, self.timers.now_s)
            if not started_ms_by_name[record.name]:
                self.report(LeavingObserved(record.name, record.started_ms))

    def _on_leaving(self, event, call):
        name, started_ms = call.endpoint, call.endpoint_started_ms
        if event.is_leaving and self.notices.note_leaving(name, started_ms, self.timers.now_s):
            self.outbox.log("endpoint-says-leaving", endpoint=name, request_id=call.request_id)
            self.report(LeavingObserved(name, started_ms))

    def _on_pause(self, event, call):
        if event.malformed_pause:
            self._log_malformed("bad-pause", event.malformed_pause, call)
        if event.pause_s:
            self.notices.note_pause(
                call.endpoint, call.endpoint_started_ms, event.pause_s, self.timers.now_s
            )
            self.outbox.log(
                "endpoint-paused",
                endpoint=call.endpoint,
                request_id=call.request_id,
                pause_ms=round(1000 * event.pause_s),
            )

    def _on_limit(self, event, call):
        name, started_ms, now_s = call.endpoint, call.endpoint_started_ms, self.timers.now_s
        if event.malformed_limit:
            self._log_malformed("bad-limit", event.malformed_limit, call)
        if event.limit_per_s is not None:
            is_new = self.limits.note_limit(name, started_ms, event.limit_per_s, now_s)
        else:
            is_new = event.ends_limit and self.limits.note_end(name, started_ms, now_s)
        if is_new:
            self.outbox.log(
                "endpoint-limit",
                endpoint=name,
                request_id=call.request_id,
                per_s="none" if event.limit_per_s is None else event.limit_per_s,
            )
            # The next periodic poll would let the other routers exceed the limit meanwhile.
            self.report(self.replica.poll({}, {}, self.limits.collect_reports(now_s)))

    def _on_load(self, event, call):
        name, started_ms = call.endpoint, call.endpoint_started_ms
        if event.load is not None:
            self.loads.note(name, started_ms, event.load, self.timers.now_s)
        elif event.malformed_load and self.loads.note_malformed(name, started_ms):
            # Each response of the instance may be like this one, so only the first is logged.
            self._log_malformed("bad-load", event.malformed_load, call)

    def _log_malformed(self, event_name, text, call):
        self.outbox.log(
            event_name,
            code="bad-announcement",
            endpoint=call.endpoint,
            request_id=call.request_id,
            detail=text,
        )
