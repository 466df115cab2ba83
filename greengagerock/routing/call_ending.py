"""Ends the calls that a planned stop would otherwise cut off.

It answers calls that are still in progress when the grace period of a stop is over: each caller
gets an error that says whether its request may have run, before the process ends.
"""

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from greengagerock.core.interface import CancelAttempt
from greengagerock.routing.failures import is_certainly_not_run

DETAIL = "this host has stopped"


class CallEnding:
    """Responds to all calls in progress, at the end of a planned stop.

    Args:
        calls: The calls in progress by token.
        sender: The ``CallSender``, which refuses all calls from then on.
        outbox: Receives effects.
        finish: Callable that responds to a call, with an error code, an outcome and a detail.

    Attributes:
        has_begun: Whether no call is sent any more.
    """

    __slots__ = ("calls", "finish", "has_begun", "outbox", "sender")

    def __init__(self, calls, sender, outbox, finish):
        self.calls = calls
        self.sender = sender
        self.outbox = outbox
        self.finish = finish
        self.has_begun = False

    def end_calls(self, spares_heads=False):
        """Respond to calls that are not at an endpoint, and cancel the attempts of the others.

        Responses of which callers have got a part go on. An attempt that a worker thread is about
        to begin cannot be cancelled, so the method is to be called again while calls remain.

        Args:
            spares_heads: Whether attempts go on whose endpoint has sent the head of a response.
        """
        self.has_begun = self.sender.has_ended = True
        for token in list(self.calls):
            call = self.calls.get(token)
            if call is None:
                # The end of another call has ended its wait.
                continue
            if call.endpoint:
                self.outbox.add(
                    CancelAttempt(token, only_waiting=spares_heads, only_unanswered=True)
                )
            else:
                self.finish(call, "stopping", OUTCOME_NOT_RUN, DETAIL)

    def on_attempt_failed(self, call, event):
        """Respond to a call whose attempt was cancelled or failed by itself.

        Args:
            call: The ``Call``.
            event: The ``AttemptFailed`` event.
        """
        if is_certainly_not_run(event):
            self.finish(call, "stopping", OUTCOME_NOT_RUN, DETAIL)
        else:
            self.finish(call, "answer-lost", OUTCOME_UNKNOWN, DETAIL)
