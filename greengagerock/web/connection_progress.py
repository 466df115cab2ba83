"""Where each open connection of an HTTP server is, from its acceptance to its end.

The connection manager, the worker threads and the decision core each hold a connection for a part
of its life. What a planned stop waits for, and what it ends, is read here alone.
"""

import threading
import time

# The server holds no request of the connection.
IDLE = "idle"
# The connection is readable and waits for a worker thread.
QUEUED = "queued"
# A worker thread reads the head of the request.
READING = "reading"
# It reads a short body before the request is decided on.
READING_BODY = "reading-body"
# The worker thread waits for the decision core.
DECIDING = "deciding"
# An endpoint has the request, or may get it.
FORWARDED = "forwarded"
# The response is being written.
RESPONDING = "responding"
# The response has been written, and the rest of the body is read.
DISCARDING = "discarding"
# The connection has had its last response, and bytes of the caller may still arrive.
LINGERING = "lingering"


class ConnectionProgress:
    """The progress of one connection and of its latest request; all times in monotonic seconds.

    Attributes:
        accepted_s: When the server accepted the connection.
        idle_timeout_s: Time after which the connection is closed if no request arrives.
        stage: One of the stages above.
        stage_since_s: When that stage began.
        ends_s: When it ends at the latest; infinite if its limit counts from another moment.
        taken_s: When the connection was last found readable, or ``None`` if it never was.
        queued_s: How long its latest request waited for a worker thread, in seconds.
        request_read_s: When the head of the latest request had been read, or ``None``.
        request_id: Id of the latest request, as far as it is known.
        request_count: Number of requests read.
    """

    __slots__ = (
        "accepted_s",
        "ends_s",
        "idle_timeout_s",
        "queued_s",
        "request_count",
        "request_id",
        "request_read_s",
        "stage",
        "stage_since_s",
        "taken_s",
    )

    def __init__(self):
        now_s = time.monotonic()
        self.accepted_s = now_s
        self.idle_timeout_s = float("inf")
        self.stage = IDLE
        self.stage_since_s = now_s
        self.ends_s = float("inf")
        self.taken_s = None
        self.queued_s = 0.0
        self.request_read_s = None
        self.request_id = ""
        self.request_count = 0

    def enter(self, stage, limit_s=float("inf"), now_s=None):
        """Note that a stage begins.

        Args:
            stage: The stage.
            limit_s: Its longest duration in seconds.
            now_s: When it begins, in monotonic seconds; by default, now.
        """
        earlier_stage, earlier_s = self.stage, self.stage_since_s
        self.stage_since_s = time.monotonic() if now_s is None else now_s
        self.ends_s = self.stage_since_s + limit_s
        self.stage = stage
        if stage == READING:
            # A request that follows another one without a pause has not waited.
            was_queued = earlier_stage == QUEUED
            self.queued_s = self.stage_since_s - earlier_s if was_queued else 0.0
        if stage == QUEUED:
            self.taken_s = self.stage_since_s
            self.request_read_s = None
            self.request_id = ""

    def note_request(self):
        """Note that the head of a request has been read."""
        self.request_read_s = time.monotonic()
        self.request_count += 1

    def awaits_first_request(self, now_s, arrival_s):
        """Return whether the first request may still be on its way.

        Args:
            now_s: Monotonic time in seconds.
            arrival_s: Time in which the first request on a connection arrives, in seconds.
        """
        return self.taken_s is None and now_s - self.accepted_s < arrival_s

    def describe(self, now_s):
        """Return the fields of a log line, with ages in milliseconds; empty if unknown."""
        return {
            "stage": self.stage,
            "stage_ms": _age_ms(self.stage_since_s, now_s),
            "accepted_ms": _age_ms(self.accepted_s, now_s),
            "taken_ms": _age_ms(self.taken_s, now_s),
            "read_ms": _age_ms(self.request_read_s, now_s),
            "requests": self.request_count,
            "request_id": self.request_id,
        }


class OpenConnections:
    """The open connections of a server; can be used from any thread.

    Attributes:
        closed_idle_count: Number of connections that the server closed between two requests.
    """

    def __init__(self):
        self.closed_idle_count = 0
        self._lock = threading.Lock()
        self._connections = set()

    def __len__(self):
        return len(self._connections)

    def add(self, connection):
        """Add a connection that was accepted."""
        with self._lock:
            self._connections.add(connection)

    def remove(self, connection):
        """Remove a connection that is being closed."""
        with self._lock:
            self._connections.discard(connection)

    def all(self):
        """Return all connections."""
        with self._lock:
            return list(self._connections)

    def progress(self):
        """Return the ``ConnectionProgress`` of all connections."""
        return [connection.progress for connection in self.all()]


def _age_ms(since_s, now_s):
    return "" if since_s is None else round(1000 * (now_s - since_s))
