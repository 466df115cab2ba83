"""Error responses of a router, and their log lines."""

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from greengagerock.core.interface import RespondWithError

# Times after which a refused call is expected to be accepted if it is sent again, by error code.
RETRY_AFTER_S = {
    "key-moving": 0.3,
    "endpoint-refused": 0.25,
    "endpoint-limited": 0.5,
    "zone-evacuated": 1.0,
    "endpoint-cold": 1.0,
    "no-room": 0.35,
    "connect-failed": 0.3,
    "caller-gone": 0.3,
    "no-endpoint": 0.5,
    "not-ready": 0.5,
    "stopping": 0.0,
    "request-suspended": 5.0,
}


class ErrorResponder:
    """Responds to calls that get no response from an endpoint.

    Args:
        replica: The ``ViewReplica``, whose versions are logged.
        stats: The ``RouterStats``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        is_closing: Whether responses direct callers to other hosts.
    """

    def __init__(self, replica, stats, timers, outbox):
        self.replica = replica
        self.stats = stats
        self.timers = timers
        self.outbox = outbox
        self.is_closing = False

    def refuse_unrouted(self, event, code):
        """Refuse a ``CallArrived`` that has no route, or whose route was not looked up."""
        self.stats.count("", code)
        self.outbox.log(
            "request-refused",
            request_id=event.request_id,
            code=code,
            host_header=event.host,
            path=event.path,
            items_revision=self.replica.items_revision,
        )
        close = code == "stopping"
        retry_s = RETRY_AFTER_S.get(code)
        self.outbox.add(RespondWithError(event.token, code, OUTCOME_NOT_RUN, "", close, retry_s))

    def respond(self, call, code, outcome, detail, retry_after_s=None):
        """Respond to a call with an error.

        Args:
            call: The ``Call``.
            code: A registered error code.
            outcome: Outcome of the last attempt; the response reports an unknown one if an earlier
                attempt may have run.
            detail: Description of the error.
            retry_after_s: When the call will be accepted if it is sent again, or ``None`` for
                the usual time of the error code.
        """
        if call.may_have_run and outcome == OUTCOME_NOT_RUN:
            detail = detail or code
            code, outcome = "answer-lost", OUTCOME_UNKNOWN
        self.stats.count(call.service, code)
        retry_s = None
        if outcome == OUTCOME_NOT_RUN:
            retry_s = RETRY_AFTER_S.get(code) if retry_after_s is None else retry_after_s
        self._log(call, code, outcome, detail, retry_s)
        self.outbox.add(
            RespondWithError(call.token, code, outcome, detail, self.is_closing, retry_s)
        )

    def log_failed_attempt(self, call, event, endpoint, relay):
        """Log a failed attempt, whether or not its call is sent again."""
        self.outbox.log(
            "attempt-failed",
            request_id=call.request_id,
            endpoint=endpoint,
            relay=relay,
            reason=event.reason,
            bytes_left=event.has_sent_bytes,
            after_ms=round(1000 * (self.timers.now_s - call.sent_s)),
            connect_ms="" if event.connect_s is None else round(1000 * event.connect_s),
            believed="" if call.known_load is None else call.known_load.describe(),
        )

    def _log(self, call, code, outcome, detail, retry_s):
        now_s = self.timers.now_s
        self.outbox.log(
            "request-failed",
            request_id=call.request_id,
            code=code,
            outcome=outcome,
            route=call.route.name,
            service=call.service,
            key=call.key,
            tried=",".join(call.tried_endpoints),
            unreached=",".join(call.unreached_endpoints),
            waited_ms=round(1000 * (now_s - call.arrived_s)),
            left_ms=round(1000 * (call.deadline_s - now_s)),
            retry_after_ms="" if retry_s is None else round(1000 * retry_s),
            items_revision=self.replica.items_revision,
            live=f"{self.replica.epoch}.{self.replica.endpoints_revision}",
            detail=detail,
        )
