"""Passes events from worker threads to the loop, and results from the loop back to them."""

import itertools
import queue
import threading


class Bridge:
    """Connects the worker threads of the HTTP servers with the event loop.

    The attributes are set by the daemon.

    Attributes:
        post: Callable that queues an event and wakes the loop.
        post_deferred: Callable that queues an event without waking an idle loop.
        unwatch_caller: Callable that stops watching a caller's connection.
    """

    def __init__(self):
        self.post = None
        self.post_deferred = None
        self.unwatch_caller = None
        self._tokens = itertools.count(1)
        self._result_queues = {}
        self._attempts = {}
        self._thread_state = threading.local()

    def new_token(self):
        """Return a token that identifies one request on this host."""
        return next(self._tokens)

    def post_and_wait(self, token, event, timeout_s):
        """Post an event and wait for its result.

        Args:
            token: The token that the event carries.
            event: The event.
            timeout_s: Maximum wait in seconds.

        Returns:
            The result that the loop delivered, or ``None`` after the timeout.
        """
        result_queue = self._thread_queue()
        self._result_queues[token] = result_queue
        self.post(event)
        try:
            return self._wait_for(token, result_queue, timeout_s)
        except queue.Empty:
            # A late result may still be put into this queue, so later requests of this thread
            # need a new one.
            self._thread_state.result_queue = None
            return None
        finally:
            self._result_queues.pop(token, None)

    def deliver(self, token, result):
        """Pass a result to the waiting thread; called from the loop thread."""
        result_queue = self._result_queues.get(token)
        if result_queue is not None:
            result_queue.put((token, result))

    def _wait_for(self, token, result_queue, timeout_s):
        """Return the result for a token; a second one for an earlier token is dropped."""
        while True:
            result_token, result = result_queue.get(timeout=timeout_s)
            if result_token == token:
                return result

    def register_attempt(self, token, attempt):
        """Make an attempt cancellable by the loop."""
        self._attempts[token] = attempt

    def unregister_attempt(self, token):
        """Remove the attempt of a request after its end."""
        self._attempts.pop(token, None)

    def find_attempt(self, token):
        """Return the current attempt of a request, or ``None``."""
        return self._attempts.get(token)

    def cancel(self, token, only_reused=False, only_waiting=False, only_unanswered=False):
        """Cancel the current attempt of a request; called from the loop thread.

        Args:
            token: Token of the request.
            only_reused: Whether to cancel only an attempt on a reused connection.
            only_waiting: Whether to cancel only an attempt that waits for the head of a response.
            only_unanswered: Whether to cancel only an attempt of whose response the caller has
                got nothing.
        """
        attempt = self._attempts.get(token)
        if attempt is None:
            return
        is_excluded = (
            (only_reused and attempt.is_new)
            or (only_waiting and attempt.has_head)
            or (only_unanswered and attempt.is_answered)
        )
        if not is_excluded:
            attempt.cancel()

    def _thread_queue(self):
        result_queue = getattr(self._thread_state, "result_queue", None)
        if result_queue is None:
            result_queue = queue.SimpleQueue()
            self._thread_state.result_queue = result_queue
        return result_queue
