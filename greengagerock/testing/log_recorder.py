"""Log lines of the hosts of a simulated site."""

from greengagerock.core.interface import LogEvent


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
