"""What a router does when the connection of a request that was sent is lost or reset.

It answers endpoints that reset connections when they are full, and requests that crash endpoints.
"""

from greengagerock.core import OUTCOME_UNKNOWN
from greengagerock.routing.crash_suspects import CrashReport
from greengagerock.routing.failures import REASON_CONNECTION_LOST, REASON_RESET

# Pause before a request whose connection was reset is sent again to the only endpoint that may run
# it. A full endpoint with four slots and 0.3 s of work has room for one more request after 0.07 s.
RESET_PAUSE_S = 0.1


class ConnectionLosses:
    """Handles connections that were lost or reset after a request was sent on them.

    The request may have run, so only idempotent ones are sent again.

    Args:
        replica: The ``ViewReplica``.
        observations: The ``EndpointObservations``.
        health: The ``EndpointHealth``.
        recent_responses: The ``RecentResponses``.
        sender: The ``CallSender``.
        timers: The timer service.
        report: Callable that sends a ``CrashReport`` to the leader.
        may_resend: Callable that returns whether a call may be sent again.
        finish: Callable that responds to a call with an error code and an outcome.

    Attributes:
        reset_count: Number of connections that endpoints reset.
    """

    __slots__ = (
        "finish",
        "health",
        "may_resend",
        "observations",
        "recent_responses",
        "replica",
        "report",
        "reset_count",
        "sender",
        "timers",
    )

    def __init__(
        self,
        replica,
        observations,
        health,
        recent_responses,
        sender,
        timers,
        report,
        may_resend,
        finish,
    ):
        self.replica = replica
        self.observations = observations
        self.health = health
        self.recent_responses = recent_responses
        self.sender = sender
        self.timers = timers
        self.report = report
        self.may_resend = may_resend
        self.finish = finish
        self.reset_count = 0

    def on_lost(self, call, event, endpoint):
        """Handle the loss of the connection of a request that may have run."""
        call.may_have_run = True
        is_reset = event.reason == REASON_RESET
        if is_reset:
            self.reset_count += 1
            # An endpoint that is full still works, so other requests do not avoid it.
            self.observations.observation_of(endpoint).note_reset(self.timers.now_s)
        else:
            self.health.note_failure(endpoint, self.timers.now_s)
        if is_reset or event.reason == REASON_CONNECTION_LOST:
            self._report_crash(call, endpoint, is_reset)
        if not (call.route.is_idempotent and self.may_resend(call)):
            self.finish(call, "answer-lost", OUTCOME_UNKNOWN)
        elif is_reset and self.sender.is_keyed(call):
            call.timer = self.timers.subscribe(RESET_PAUSE_S, lambda: self._send_again(call))
        else:
            self.sender.send(call)

    def _send_again(self, call):
        call.timer = None
        self.sender.send(call)

    def _report_crash(self, call, endpoint, is_reset):
        record = self.replica.endpoints.get(endpoint)
        if record is not None:
            self.report(
                CrashReport(
                    call.fingerprint,
                    call.service,
                    call.request_id,
                    endpoint,
                    str(record.started_ms),
                    call.fingerprint in self.recent_responses,
                    is_reset,
                )
            )
