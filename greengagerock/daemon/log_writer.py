"""Writes log lines to standard output on a separate thread, so that logging never blocks."""

import sys
import threading
import time
from collections import deque

# Maximum number of queued lines if the reader is slow; each takes a few hundred bytes.
MAX_QUEUED_LINES = 4096
# Maximum number of lines of one event in one period. Further lines are dropped and counted, and
# the count is logged once.
MAX_LINES_PER_EVENT_AND_PERIOD = 40
PERIOD_S = 1.0
WRITE_INTERVAL_S = 0.1


class EventRateLimiter:
    """Limits the number of log lines of each event in each period of one second.

    Args:
        limit: Maximum number of lines of one event in one period.

    Examples:
        >>> rate_limiter = EventRateLimiter(limit=2)
        >>> [rate_limiter.allow("request-failed", 0.1) for _ in range(4)]
        [True, True, False, False]
        >>> rate_limiter.collect_dropped(1.2)
        {'request-failed': 2}
    """

    __slots__ = ("counts", "limit", "period_start_s")

    def __init__(self, limit=MAX_LINES_PER_EVENT_AND_PERIOD):
        self.limit = limit
        self.counts = {}
        self.period_start_s = 0.0

    def allow(self, event, now_s):
        """Count a line of ``event`` and return whether it may be written."""
        count = self.counts.get(event, 0) + 1
        self.counts[event] = count
        return count <= self.limit

    def collect_dropped(self, now_s):
        """Start a new period if the current one has ended.

        Returns:
            The number of dropped lines by event, empty if the period has not ended.
        """
        if now_s - self.period_start_s < PERIOD_S:
            return {}
        self.period_start_s = now_s
        counts, self.counts = self.counts, {}
        return {e: count - self.limit for e, count in counts.items() if count > self.limit}


class LineWriter:
    """Writes lines on a separate thread; new lines are dropped while the queue is full.

    Args:
        stream: The text stream to write to; standard output by default.
    """

    def __init__(self, stream=None):
        self.stream = stream or sys.stdout
        self.lines = deque()
        self.dropped_count = 0
        self.is_closed = False
        self._thread = threading.Thread(target=self._run, name="log-pump", daemon=True)
        self._thread.start()

    def write(self, line):
        """Queue a line, which must end with a newline."""
        if len(self.lines) < MAX_QUEUED_LINES:
            self.lines.append(line)
        else:
            self.dropped_count += 1

    def close(self):
        """Write the queued lines, then stop the thread."""
        self.is_closed = True
        if threading.current_thread() is not self._thread:
            self._thread.join(timeout=1.0)

    def _run(self):
        while not self.is_closed:
            time.sleep(WRITE_INTERVAL_S)
            self._flush()
        self._flush()

    def _flush(self):
        batch = []
        while self.lines:
            batch.append(self.lines.popleft())
        if self.dropped_count:
            dropped_count, self.dropped_count = self.dropped_count, 0
            batch.append(f"event=lines-dropped reason=slow-reader count={dropped_count}\n")
        if not batch:
            return
        try:
            self.stream.write("".join(batch))
            self.stream.flush()
        except (OSError, ValueError):
            # The reader has closed the stream; the daemon continues without a log.
            self.dropped_count += len(batch)
