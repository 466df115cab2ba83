"""Requests that a router forwards to endpoints for other routers."""

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from greengagerock.core.interface import CancelAttempt, Forward, RespondWithError, WatchCaller
from greengagerock.routing.attempt_watch import STREAM_GRACE_S, WATCH_AFTER_S
from greengagerock.routing.call_sender import MIN_TIME_LEFT_S
from greengagerock.routing.failures import (
    REASON_CONNECT,
    REASON_CONNECT_TIMEOUT,
    REASON_CONNECTION_LOST,
    REASON_TIMEOUT,
)

# Largest number of such requests at once; it leaves the host's capacity to its own callers.
MAX_RELAYED_CALLS = 48

# Time after the deadline at which a response is ended that the other router should have ended.
RELAY_GRACE_S = STREAM_GRACE_S + 1.0

_CODE_BY_REASON = {
    REASON_TIMEOUT: "deadline-exceeded",
    REASON_CONNECTION_LOST: "answer-lost",
}


class RelayedCall:
    """One request of another router.

    Attributes:
        token: Identifies it on this host.
        request_id: The caller's id of the request.
        service: Service of its endpoint.
        endpoint: Name of the endpoint.
        endpoint_started_ms: Start of that endpoint instance, in milliseconds since 1970.
        timer: Pending timer, or ``None``.
    """

    __slots__ = ("endpoint", "endpoint_started_ms", "request_id", "service", "timer", "token")

    def __init__(self, event, record):
        self.token = event.token
        self.request_id = event.request_id
        self.service = record.service
        self.endpoint = record.name
        self.endpoint_started_ms = record.started_ms
        self.timer = None


class RelayedCalls:
    """Forwards requests of routers that cannot reach an endpoint themselves.

    The other router has chosen the endpoint, within the limits and the retry budget, and decides
    what a failure means. This one sends each request at most once, to that endpoint only.

    Args:
        replica: The ``ViewReplica``.
        paths: The ``EndpointPaths``.
        observations: The ``EndpointObservations``.
        notices: The ``EndpointNotices``.
        notice_handler: The ``NoticeHandler``.
        stats: The ``RouterStats``.
        timers: The timer service.
        outbox: Receives effects.
        zone_evacuations: The ``ZoneEvacuations``.
        path_report: The ``PathReport``.
        sender: The ``CallSender``, whose calls use the same link.

    Attributes:
        by_token: Requests in progress by token.
        is_closing: Whether responses close the connections of other routers.
        closes_s: When requests in progress are cut off by a planned stop, in monotonic seconds.
        is_stopping: Whether new requests are refused.
    """

    def __init__(
        self,
        replica,
        paths,
        observations,
        notices,
        notice_handler,
        stats,
        timers,
        outbox,
        zone_evacuations,
        path_report,
        sender,
    ):
        self.replica = replica
        self.paths = paths
        self.observations = observations
        self.notices = notices
        self.notice_handler = notice_handler
        self.stats = stats
        self.timers = timers
        self.outbox = outbox
        self.zone_evacuations = zone_evacuations
        self.path_report = path_report
        self.sender = sender
        self.by_token = {}
        self.is_closing = False
        self.closes_s = float("inf")
        self.is_stopping = False

    def begin_closing(self, closes_s):
        """Close connections of other routers with each response from now on.

        Args:
            closes_s: When requests in progress are cut off, in monotonic seconds.
        """
        self.is_closing = True
        self.closes_s = closes_s

    def end_calls(self, spares_heads=False):
        """Cancel the requests without a response, at the end of a planned stop.

        Args:
            spares_heads: Whether requests go on whose endpoint has sent the head of a response.
        """
        for token in self.by_token:
            self.outbox.add(CancelAttempt(token, only_waiting=spares_heads, only_unanswered=True))

    def on_arrival(self, event):
        """Process a ``RelayArrived``."""
        record = self.replica.endpoints.get(event.endpoint)
        if self.is_stopping or len(self.by_token) >= MAX_RELAYED_CALLS:
            self._refuse(event, "relay-unavailable", "stopping" if self.is_stopping else "full")
        elif record is None or not self._accepts(record):
            self._refuse(event, "relay-unavailable", f"endpoint {event.endpoint} gets no requests")
        elif self._is_cut_off(event):
            self._refuse(
                event, "relay-unavailable", "this host stops before the request would end"
            )
        elif event.timeout_s < MIN_TIME_LEFT_S:
            self._refuse(event, "relay-unavailable", "no time left before the deadline")
        elif self.paths.is_lost(record) and not self.paths.may_probe(record, True):
            is_group_lost = self.paths.detector.is_presumed_lost(record)
            code = "path-lost" if is_group_lost else "connect-failed"
            self._refuse(event, code, f"endpoint {event.endpoint} is out of reach")
        elif event.is_long and not self.sender.try_start_relayed(event.token):
            self._refuse(event, "link-busy", "a long response uses the link")
        else:
            self._forward(event, record)

    def on_attempt_failed(self, event):
        """Process an ``AttemptFailed``."""
        call = self._end(event.token)
        record = self.replica.endpoints.get(call.endpoint)
        if event.reason == REASON_CONNECT or not event.has_sent_bytes:
            code, outcome = "connect-failed", OUTCOME_NOT_RUN
            if record is not None and event.reason == REASON_CONNECT_TIMEOUT:
                if not self.paths.note_timeout(record, self.timers.now_s):
                    code = "connection-late"
            elif record is not None and event.reason == REASON_CONNECT:
                self.paths.note_lost(record)
        else:
            code = _CODE_BY_REASON.get(event.reason, "answer-lost")
            outcome = OUTCOME_UNKNOWN
        self.outbox.log(
            "relay-failed",
            request_id=call.request_id,
            endpoint=call.endpoint,
            code=code,
            reason=event.reason,
            connect_ms="" if event.connect_s is None else round(1000 * event.connect_s),
        )
        self.stats.count(call.service, "relay-failed")
        self.outbox.add(RespondWithError(event.token, code, outcome, "", self.is_closing))

    def on_ended(self, event):
        """Process a ``RequestEnded``."""
        call = self._end(event.token)
        record = self.replica.endpoints.get(call.endpoint)
        self.path_report.note_body(event.body_bytes)
        if event.response_time_s and record is not None:
            self.paths.note_reached(record)
            observation = self.observations.observation_of(call.endpoint)
            observation.note_alive(self.timers.now_s)
        self.stats.count(call.service, "relayed" if event.complete else "relay-failed")

    def abandon(self, token):
        """Drop a request while whose event an unexpected exception was raised."""
        if token in self.by_token:
            self._end(token)

    def on_caller_disconnected(self, token):
        """Cancel a request whose router has closed the connection."""
        if token in self.by_token:
            self.outbox.add(CancelAttempt(token))

    def on_notice(self, event):
        """Process an ``EndpointNoticed``."""
        self.notice_handler.on_notice(event, self.by_token[event.token])

    def _is_cut_off(self, event):
        """Return whether a planned stop would cut off a request that is sent now."""
        left_s = self.closes_s - self.timers.now_s
        if event.timeout_s <= left_s:
            return False
        return self.observations.observation_of(event.endpoint).mean_response_s > left_s

    def _accepts(self, record):
        service = self.replica.services.get(record.service)
        if service is not None and service.keyed is not None:
            now_s = self.timers.now_s
            return self.notices.accepts_held_keys(
                record, now_s
            ) and self.zone_evacuations.accepts_held(record, now_s)
        return self.notices.accepts_any(record) and self.zone_evacuations.accepts_new(record)

    def _forward(self, event, record):
        call = self.by_token[event.token] = RelayedCall(event, record)
        ends_s = self.timers.now_s + event.timeout_s + RELAY_GRACE_S
        call.timer = self.timers.subscribe(WATCH_AFTER_S, lambda: self._watch(call, ends_s))
        self.outbox.add(
            Forward(
                event.token,
                record.name,
                record.address,
                {},
                min(event.timeout_s, self.closes_s - self.timers.now_s),
                self.is_closing,
                event.is_limited,
                connect_timeout_s=self.paths.relayed_connect_timeout_s(record, event.timeout_s),
            )
        )

    def _watch(self, call, ends_s):
        """Watch the connection of the other router, and end a response that has no end.

        The other router ends it earlier, unless it has stopped or is cut off itself.
        """
        self.outbox.add(WatchCaller(call.token))
        wait_s = max(WATCH_AFTER_S, ends_s - self.timers.now_s)
        call.timer = self.timers.subscribe(wait_s, lambda: self._cancel_overdue(call))

    def _cancel_overdue(self, call):
        self.outbox.add(CancelAttempt(call.token))
        call.timer = self.timers.subscribe(WATCH_AFTER_S, lambda: self._cancel_overdue(call))

    def _refuse(self, event, code, detail):
        self.outbox.log(
            "relay-refused",
            request_id=event.request_id,
            endpoint=event.endpoint,
            code=code,
            detail=detail,
        )
        self.outbox.add(
            RespondWithError(event.token, code, OUTCOME_NOT_RUN, detail, self.is_closing)
        )

    def _end(self, token):
        call = self.by_token.pop(token)
        call.timer.cancel()
        self.sender.end_relayed(token)
        return call
