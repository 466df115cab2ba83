"""From when to when endpoints held units, to find units that two held at once."""

import threading
import time


class HoldSpans:
    """Times of holds of all endpoints, by unit.

    Attributes:
        closed: Lists of (from, to, holder) by service and unit.

    Examples:
        >>> spans = HoldSpans(clock=iter([0.0, 1.0, 1.5, 9.0]).__next__)
        >>> spans.note("e1", "till", {7: 5.0})
        >>> spans.note("e1", "till", {})
        >>> spans.note("e2", "till", {7: 6.0})
        >>> spans.end("e2")
        >>> spans.overlaps()
        []
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.closed = {}
        self._open = {}
        self._lock = threading.Lock()

    def note(self, holder, service, holds):
        """Note what an endpoint holds from now on.

        Args:
            holder: Identifies one life of the endpoint.
            service: Its service.
            holds: End of the hold by unit.
        """
        with self._lock:
            now_s = self.clock()
            spans = self._open.setdefault(holder, {})
            for unit in [unit for unit in spans if unit not in holds]:
                self._close(holder, spans, unit, now_s)
            for unit, until_s in holds.items():
                span = spans.get(unit)
                if span is not None and span[1] < now_s:
                    self._close(holder, spans, unit, now_s)
                    span = None
                if span is None:
                    spans[unit] = [now_s, until_s, service]
                else:
                    span[1] = until_s

    def end(self, holder):
        """Note that a life of an endpoint has ended."""
        with self._lock:
            now_s = self.clock()
            spans = self._open.pop(holder, {})
            for unit in list(spans):
                self._close(holder, spans, unit, now_s)

    def overlaps(self):
        """Return a line for each unit that two endpoints held at once."""
        found = []
        for (service, unit), spans in self.closed.items():
            spans.sort(key=lambda span: span[0])
            for before, after in zip(spans, spans[1:], strict=False):
                if after[0] < before[1] and after[2] != before[2]:
                    found.append(
                        f"unit {unit} of {service}: {before[2]} held it until {before[1]:.3f},"
                        f" {after[2]} from {after[0]:.3f}"
                    )
        return found

    def _close(self, holder, spans, unit, now_s):
        from_s, until_s, service = spans.pop(unit)
        key = (service, unit)
        self.closed.setdefault(key, []).append((from_s, min(now_s, until_s), holder))
