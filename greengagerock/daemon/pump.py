"""Writes log lines to standard output without ever holding up who logs."""

import sys
import threading
import time
from collections import deque

# Lines that wait for a slow reader; each takes a few hundred bytes.
MAX_WAITING_LINES = 4096
# Lines of one event in one second; what is beyond is counted and said once.
MAX_LINES_PER_EVENT = 40
PERIOD_S = 1.0
WRITE_INTERVAL_S = 0.1


class EventQuota:
    """Lets a bounded number of lines of each event through in each second.

    Examples:
        >>> quota = EventQuota(limit=2)
        >>> [quota.take("request-failed", 0.1) for _ in range(4)]
        [True, True, False, False]
        >>> quota.collect_dropped(1.2)
        {'request-failed': 2}
    """

    __slots__ = ("counts", "limit", "since_s")

    def __init__(self, limit=MAX_LINES_PER_EVENT):
        self.limit = limit
        self.counts = {}
        self.since_s = 0.0

    def take(self, event, now_s):
        """Return whether a line of ``event`` may be written now."""
        count = self.counts.get(event, 0) + 1
        self.counts[event] = count
        return count <= self.limit

    def collect_dropped(self, now_s):
        """Begin a new second if one has passed.

        Returns:
            How many lines of each event were left out, empty within the second.
        """
        if now_s - self.since_s < PERIOD_S:
            return {}
        self.since_s = now_s
        counts, self.counts = self.counts, {}
        return {e: count - self.limit for e, count in counts.items() if count > self.limit}


class LinePump:
    """Writes lines on a thread of its own; the newest are dropped while it lags.

    Args:
        stream: Where lines go.
    """

    def __init__(self, stream=None):
        self.stream = stream or sys.stdout
        self.lines = deque()
        self.dropped = 0
        self.closed = False
        self._thread = threading.Thread(target=self._run, name="log-pump", daemon=True)
        self._thread.start()

    def write(self, line):
        """Queue a line that ends with a newline."""
        if len(self.lines) < MAX_WAITING_LINES:
            self.lines.append(line)
        else:
            self.dropped += 1

    def close(self):
        """Write what waits, then end."""
        self.closed = True
        self._thread.join(timeout=1.0)

    def _run(self):
        while not self.closed:
            time.sleep(WRITE_INTERVAL_S)
            self._flush()
        self._flush()

    def _flush(self):
        batch = []
        while self.lines:
            batch.append(self.lines.popleft())
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            batch.append(f"event=lines-dropped reason=slow-reader count={dropped}\n")
        if not batch:
            return
        try:
            self.stream.write("".join(batch))
            self.stream.flush()
        except (OSError, ValueError):
            # Nobody reads the log any more; the daemon goes on.
            self.dropped += len(batch)
