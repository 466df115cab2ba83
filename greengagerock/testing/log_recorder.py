"""Recorded log lines."""

from greengagerock.core.interface import LogEvent


class LogRecorder:
    """A log function that keeps its lines.

    Attributes:
        lines: Pairs of the event and its fields.
    """

    def __init__(self):
        self.lines = []

    def __call__(self, event, **fields):
        """Record a line."""
        self.lines.append((event, fields))


def record_log_lines(site, events):
    """Return a list to which the site adds the log lines with some names from now on.

    Args:
        site: The ``FakeSite``.
        events: Names of log events.
    """
    lines = []
    carry_out = site._carry_out

    def record(host, effects):
        lines.extend(e for e in effects if isinstance(e, LogEvent) and e.event in events)
        carry_out(host, effects)

    site._carry_out = record
    return lines
