"""Time spans in which endpoint instances held units, to find units with two holders at once."""

import threading
import time


class HoldSpans:
    """Time spans of the holds of all endpoint instances, by unit.

    Attributes:
        closed: Spans that have ended: lists of (start, end, endpoint instance) by (service,
            unit).

    Examples:
        >>> spans = HoldSpans(clock=iter([0.0, 1.0, 1.5, 9.0]).__next__)
        >>> spans.record_holds("e1", "till", {7: 5.0})
        >>> spans.record_holds("e1", "till", {})
        >>> spans.record_holds("e2", "till", {7: 6.0})
        >>> spans.end("e2")
        >>> spans.overlaps()
        []
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.closed = {}
        self._open = {}
        self._lock = threading.Lock()

    def record_holds(self, holder, service, holds):
        """Replace the units that an endpoint instance holds.

        Args:
            holder: Identifier of the endpoint instance.
            service: Its service.
            holds: Time at which the hold ends, by unit.
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
        """Record that an endpoint instance has ended."""
        with self._lock:
            now_s = self.clock()
            spans = self._open.pop(holder, {})
            for unit in list(spans):
                self._close(holder, spans, unit, now_s)

    def overlaps(self):
        """Return a line for each overlap of successive holds of a unit by two endpoint instances.

        Spans that have not ended are not included.
        """
        lines = []
        for (service, unit), spans in self.closed.items():
            spans.sort(key=lambda span: span[0])
            for earlier, later in zip(spans, spans[1:], strict=False):
                if later[0] < earlier[1] and later[2] != earlier[2]:
                    lines.append(
                        f"unit {unit} of {service}: {earlier[2]} held it until {earlier[1]:.3f},"
                        f" {later[2]} from {later[0]:.3f}"
                    )
        return lines

    def _close(self, holder, spans, unit, now_s):
        start_s, until_s, service = spans.pop(unit)
        key = (service, unit)
        self.closed.setdefault(key, []).append((start_s, min(now_s, until_s), holder))
