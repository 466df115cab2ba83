"""Worker threads of an HTTP server, whose number follows the requests in progress."""

import contextlib
import queue
import socket
import threading
import time

from cheroot.workers import threadpool

from greengagerock.web.connection_progress import QUEUED

# Length of one of the two periods over which the highest number of requests is remembered.
PEAK_PERIOD_S = 5.0
# Time after which a thread without work checks whether it is still needed.
IDLE_CHECK_S = 2.5


class RecentPeak:
    """The highest value within the current period and the one before it.

    Args:
        period_s: Length of a period in seconds.

    Examples:
        >>> peak = RecentPeak(5.0)
        >>> peak.note(40, 0.0)
        >>> peak.note(2, 6.0), peak.value(6.0)
        (None, 40)
        >>> peak.value(12.0)
        2
    """

    __slots__ = ("current", "period_s", "previous", "started_s")

    def __init__(self, period_s):
        self.period_s = period_s
        self.current = 0
        self.previous = 0
        self.started_s = 0.0

    def note(self, value, now_s):
        """Record a value."""
        self._advance(now_s)
        self.current = max(self.current, value)

    def value(self, now_s):
        """Return the highest recent value."""
        self._advance(now_s)
        return max(self.current, self.previous)

    def _advance(self, now_s):
        elapsed = int((now_s - self.started_s) // self.period_s)
        if elapsed >= 1:
            self.previous = self.current if elapsed == 1 else 0
            self.current = 0
            self.started_s += elapsed * self.period_s


class ElasticWorkerPool(threadpool.ThreadPool):
    """Worker threads that are started when requests need them and end after a quiet period.

    A connection that is passed to the pool never waits for a thread while fewer than ``max``
    threads exist.

    Args:
        server: The CherryPy server.
        min: Number of threads that always exist.
        max: Largest number of threads.
        log: Callable that writes one log line.

    Attributes:
        pending: Number of connections that are queued or processed by a thread.
        peak: The ``RecentPeak`` of that number.
    """

    def __init__(self, server, min, max, log):
        super().__init__(server, min=min, max=max)
        self.log = log
        self.pending = 0
        self.peak = RecentPeak(PEAK_PERIOD_S)
        self.get = self._next_connection
        self._lock = threading.Lock()
        self._busy = threading.local()

    def start(self):
        """Start the threads that always exist."""
        with self._lock:
            while len(self._threads) < self.min:
                self._threads.append(self._spawn_worker())

    def put(self, obj):
        """Queue a connection, and start a thread for it if none is free."""
        obj.progress.enter(QUEUED)
        with self._lock:
            self.pending += 1
            self.peak.note(self.pending, time.monotonic())
            if self.pending > len(self._threads) and len(self._threads) < self.max:
                self._start_thread()
            self._queue.put(obj)

    def _start_thread(self):
        try:
            self._threads.append(self._spawn_worker())
        except RuntimeError as error:
            # The connection waits for one of the existing threads.
            self.log("no-thread", detail=str(error), threads=len(self._threads))

    def _next_connection(self):
        """Return the next connection, or the value that ends the calling thread."""
        with self._lock:
            if getattr(self._busy, "value", False):
                self.pending -= 1
                self._busy.value = False
        while True:
            with self._lock:
                if self._is_surplus():
                    self._remove_current_thread()
                    # The library has no public name for the value that ends a worker.
                    return threadpool._SHUTDOWNREQUEST
                may_end_later = len(self._threads) > self.min
            try:
                connection = self._queue.get(timeout=IDLE_CHECK_S if may_end_later else None)
            except queue.Empty:
                continue
            self._busy.value = connection is not threadpool._SHUTDOWNREQUEST
            return connection

    @staticmethod
    def _force_close(conn):
        """End the reads of a connection whose thread outlasts the stop of the server.

        A write that waits for the caller ends too; other responses are still sent.
        """
        if conn is not None and not conn.rfile.closed:
            conn.wfile.raw.may_wait = False
            with contextlib.suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RD)

    def _is_surplus(self):
        """Return whether recent requests would have been served with one thread less."""
        count = len(self._threads)
        peak = max(self.pending, self.peak.value(time.monotonic()))
        return count > self.min and count > peak

    def _remove_current_thread(self):
        thread = threading.current_thread()
        self._threads.remove(thread)
        # The server keeps statistics by thread name and never removes them.
        self.server.stats["Worker Threads"].pop(thread.name, None)
