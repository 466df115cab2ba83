"""Where worker threads wait for decisions of the loop."""

import itertools
import queue
import threading


class Bridge:
    """Connects the threads of the HTTP servers with the loop.

    Attributes:
        post: Callable that hands an event to the loop; set by the daemon.
        post_lazily: The same for events that no decision waits for.
        unwatch_caller: Callable that ends the watch of a caller's connection.
    """

    def __init__(self):
        self.post = None
        self.post_lazily = None
        self.unwatch_caller = None
        self._tokens = itertools.count(1)
        self._waiting = {}
        self._attempts = {}
        self._local = threading.local()

    def new_token(self):
        """Return a token that identifies one request on this host."""
        return next(self._tokens)

    def ask(self, token, event, timeout_s):
        """Post an event and wait for the loop's answer to it.

        Args:
            token: The token that the event carries.
            event: The event.
            timeout_s: Longest wait in seconds.

        Returns:
            What the loop delivered, or ``None`` after the timeout.
        """
        box = self._box()
        self._waiting[token] = box
        self.post(event)
        try:
            return box.get(timeout=timeout_s)
        except queue.Empty:
            # The answer may still come; the next user of this thread needs a new box.
            self._local.box = None
            return None
        finally:
            self._waiting.pop(token, None)

    def deliver(self, token, answer):
        """Give a waiting thread its answer; called by the loop."""
        box = self._waiting.get(token)
        if box is not None:
            box.put(answer)

    def register_attempt(self, token, attempt):
        """Let the loop cancel an attempt."""
        self._attempts[token] = attempt

    def forget_attempt(self, token):
        """The attempt has ended."""
        self._attempts.pop(token, None)

    def attempt_of(self, token):
        """Return the attempt that is running for a request, or ``None``."""
        return self._attempts.get(token)

    def cancel(self, token, only_reused):
        """Close the connection of an attempt; called by the loop."""
        attempt = self._attempts.get(token)
        if attempt is not None and not (only_reused and attempt.is_new):
            attempt.cancel()

    def _box(self):
        box = getattr(self._local, "box", None)
        if box is None:
            box = queue.SimpleQueue()
            self._local.box = box
        return box
