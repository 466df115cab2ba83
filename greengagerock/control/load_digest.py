"""Loads of endpoints, collected from the polls of all routers and sent back to each of them.

It answers load that changes within a second on sites where each router sends an endpoint only one
request every few seconds. Only busy endpoints are listed, so that nothing is sent while none is.
"""

from greengagerock.view import (
    EndpointLoadReports,
    InstanceDigests,
    LoadReport,
    pack_loads,
    unpack_loads,
)

# Loads are packed again after this time, for all routers that poll meanwhile. Their ages are too
# small by this time at most.
PACK_INTERVAL_S = 0.1
# A value is not sent on for longer than routers use it.
MAX_AGE_S = 2.0
# An endpoint that is no longer busy is listed for this long after it was, so that routers stop
# avoiding it before their values expire.
RELAXING_S = 2.0
# An endpoint whose pace is this far from the usual one is listed even if it is not full.
UNUSUAL_PACE_PERCENT = 30
# Largest number of listed endpoints: 520 bytes, in reply to each poll.
MAX_LISTED_LOADS = 64
MAX_POLLS_PER_S = 2
# Bytes per second that the leader sends to all routers together, an eighth of a link of 8 Mbit/s.
# At 188 routers, 42 endpoints are listed, at 730 routers 10.
MAX_TOTAL_BYTES_PER_S = 128_000
ROW_BYTES = 8
HEAD_BYTES = 8
# Size of the range of message numbers of each term; numbers of a term are below those of the
# next. Ten messages a second use it up in 13 years.
NUMBERS_PER_TERM = 1 << 32


class CollectedLoad:
    """The newest load of one endpoint instance.

    Attributes:
        report: Its ``LoadReport``; the age in it is that at its arrival.
        observed_s: When the endpoint stated it.
        busy_s: When the endpoint was last busy.
    """

    __slots__ = ("busy_s", "observed_s", "report")

    def __init__(self, report, observed_s):
        self.report = report
        self.observed_s = observed_s
        self.busy_s = float("-inf")


class LoadDigest:
    """The newest load of each endpoint in one leader's term.

    Args:
        term: The leader's term.

    Attributes:
        number: Number of the newest message to routers.
        loads: ``CollectedLoad`` objects by endpoint name.
        slots: Number of slots by endpoint name.
        digests: The ``InstanceDigests`` of the endpoints.

    Examples:
        >>> from greengagerock.view import EndpointRecord
        >>> digest = LoadDigest(term=1)
        >>> digest.note_endpoint(EndpointRecord("e1", "10.0.0.1:80", "docs", "a", 2, False, 7))
        >>> digest.on_reports({"e1": LoadReport(7, 2, 5, 100, 100)}, 1.0)
        >>> digest.on_reports({"e1": LoadReport(7, 0, 0, 100, 300)}, 1.1)
        >>> digest.listed(8, 1.2).loads["e1"]
        LoadReport(started_ms=7, running=2, waiting=5, pace_percent=100, age_ms=300)
        >>> digest.packed_for(8, 9.0) is None
        True
    """

    __slots__ = ("_packed", "_packed_s", "digests", "loads", "number", "slots")

    def __init__(self, term):
        self.number = term * NUMBERS_PER_TERM
        self.loads = {}
        self.slots = {}
        self.digests = InstanceDigests()
        self._packed = None
        self._packed_s = float("-inf")

    # --- Reports -------------------------------------------------------------------

    def note_endpoint(self, record):
        """Record an endpoint instance that is new or has changed."""
        self.slots[record.name] = max(1, record.slots)
        self.digests.note(record.name, record.started_ms)

    def forget(self, endpoint):
        """Drop an endpoint that has ended."""
        self.slots.pop(endpoint, None)
        self.loads.pop(endpoint, None)
        self.digests.forget(endpoint)

    def on_packed(self, data, now_s):
        """Process the packed loads of a router's poll.

        Raises:
            GreengageError: ``bad-message`` if they cannot be decoded.
        """
        self.on_reports(unpack_loads(data, self.digests.instances).loads, now_s)

    def on_reports(self, loads, now_s):
        """Merge the ``LoadReport`` objects of a router; the newest of each instance counts."""
        for name, report in loads.items():
            observed_s = now_s - report.age_ms / 1000
            collected = self.loads.get(name)
            if collected is not None and collected.report.started_ms == report.started_ms:
                if observed_s <= collected.observed_s:
                    continue
                collected.report, collected.observed_s = report, observed_s
            else:
                collected = self.loads[name] = CollectedLoad(report, observed_s)
            if self._is_busy(name, report):
                collected.busy_s = now_s

    def _is_busy(self, name, report):
        return (
            report.waiting > 0
            or report.running >= self.slots.get(name, 1)
            or abs(report.pace_percent - 100) >= UNUSUAL_PACE_PERCENT
        )

    # --- Routers -------------------------------------------------------------------

    def packed_for(self, router_count, now_s):
        """Return the packed loads to send to a router, or ``None`` if no endpoint is busy.

        Args:
            router_count: Number of routers that get them.
            now_s: Monotonic time in seconds.
        """
        if now_s - self._packed_s >= PACK_INTERVAL_S:
            self._packed_s = now_s
            listed = self.listed(router_count, now_s)
            self._packed = pack_loads(listed) if listed.loads else None
        return self._packed

    def listed(self, router_count, now_s):
        """Return the ``EndpointLoadReports`` of the busiest endpoints."""
        for name in [n for n, c in self.loads.items() if now_s - c.observed_s >= MAX_AGE_S]:
            del self.loads[name]
        busy = [
            (c.report.waiting, c.report.running, name)
            for name, c in self.loads.items()
            if now_s - c.busy_s < RELAXING_S
        ]
        busy.sort(reverse=True)
        self.number += 1
        loads = {}
        for _, _, name in busy[: largest_row_count(router_count)]:
            collected = self.loads[name]
            report = collected.report
            loads[name] = LoadReport(
                report.started_ms,
                report.running,
                report.waiting,
                report.pace_percent,
                round(1000 * (now_s - collected.observed_s)),
            )
        return EndpointLoadReports(self.number, loads)


def largest_row_count(router_count):
    """Return how many endpoints are listed, so that the leader's link carries the messages.

    Examples:
        >>> [largest_row_count(routers) for routers in (0, 68, 188, 730)]
        [64, 64, 41, 9]
    """
    message_bytes = MAX_TOTAL_BYTES_PER_S / MAX_POLLS_PER_S / max(router_count, 1)
    return max(1, min(MAX_LISTED_LOADS, int((message_bytes - HEAD_BYTES) / ROW_BYTES)))
