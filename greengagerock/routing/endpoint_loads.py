"""What a router knows of the load of endpoints, and how long a request would wait there.

On large sites a router sends a given endpoint a request only every few seconds, so its own
observations say little about the load. An endpoint that states its load in a response reports it
to one router; the leader passes it on to the others. Values expire, since endpoints fill up and
empty within a second.
"""

import heapq
from collections import deque

import msgspec

from greengagerock.view import LoadReport

# A value counts fully up to the first age and less and less until the second one. Work takes a
# few tenths of a second, so a queue may have been worked off after a second.
FULL_WEIGHT_AGE_S = 1.0
MAX_AGE_S = 2.0
# Largest number of loads in a router's poll: 256 bytes, twice a second.
MAX_COLLECTED = 32
# Number of the newest requests of this router to one endpoint whose times are kept.
MAX_SENT_TIMES = 16
# Weight of the newest response in the work time of a service, if it is shorter and if longer.
# Waits and full links make responses longer than the work, never shorter.
SHORTER_WORK_WEIGHT = 0.1
LONGER_WORK_WEIGHT = 0.02
# Work times outside this range are not used: a response without any delay, or a faulty pace.
MIN_WORK_S = 0.001
MAX_WORK_S = 60.0


class KnownLoad(msgspec.Struct, frozen=True):
    """What a router believes of the load of an endpoint.

    Attributes:
        running: Number of requests that it ran when it stated its load.
        waiting: Number of requests that waited there.
        sent_since: Number of requests that this router has sent there since.
        slots: Number of requests that it runs at once.
        work_s: Expected time for which a request occupies a slot, in seconds.
        age_s: Time since it stated its load, in seconds.
        weight: Weight of the value, from 0 to 1.
    """

    running: int
    waiting: int
    sent_since: int
    slots: int
    work_s: float
    age_s: float
    weight: float

    @property
    def requests(self):
        """Number of requests that are there before the next one."""
        return self.running + self.waiting + self.sent_since

    @property
    def wait_s(self):
        """Time until a slot is free for the next request, in seconds, at full weight."""
        return max(0, self.requests + 1 - self.slots) * self.work_s / self.slots

    @property
    def response_s(self):
        """Expected response time by which endpoints are compared, in seconds, at full weight.

        Requests that find a free slot count as well, since others follow before the value is
        used.
        """
        return self.work_s * (1 + self.requests / self.slots)

    def describe(self):
        """Return the value as text for a log line."""
        return (
            f"running {self.running}, waiting {self.waiting}, sent since {self.sent_since}, "
            f"{self.slots} slots, {1000 * self.work_s:.0f} ms of work, "
            f"{1000 * self.age_s:.0f} ms ago"
        )


class StatedLoad:
    """The newest load that an endpoint instance has stated.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        running: Number of requests that it ran.
        waiting: Number of requests that waited there.
        pace: How long work took, relative to the usual time.
        observed_s: When it stated the load; infinitely long ago if it has not.
        is_reportable: Whether it was stated to this router and not reported to the leader yet.
        had_free_slot: Whether it was stated to this router and a slot was free.
        is_malformed: Whether it has stated a load that cannot be read.
        sent_times_s: When this router sent its newest requests to the endpoint.
    """

    __slots__ = (
        "had_free_slot",
        "is_malformed",
        "is_reportable",
        "observed_s",
        "pace",
        "running",
        "sent_times_s",
        "started_ms",
        "waiting",
    )

    def __init__(self, started_ms):
        self.started_ms = started_ms
        self.running = 0
        self.waiting = 0
        self.pace = 1.0
        self.observed_s = float("-inf")
        self.is_reportable = False
        self.had_free_slot = False
        self.is_malformed = False
        self.sent_times_s = deque(maxlen=MAX_SENT_TIMES)

    def update(self, load, observed_s):
        """Take over a ``LoadNotice`` or ``LoadReport``."""
        self.running, self.waiting = load.running, load.waiting
        self.pace = load.pace_percent / 100
        self.observed_s = observed_s


class EndpointLoads:
    """Loads of endpoints; each applies to one instance, and only for a short time.

    Args:
        max_age_s: Age from which on a value is not used, in seconds.

    Attributes:
        by_endpoint: ``StatedLoad`` objects by endpoint name.
        work_s_by_service: Time for which a request occupies a slot at the usual pace, in seconds.
        last_number: Number of the newest ``EndpointLoadReports``.

    Examples:
        >>> from greengagerock.core.interface import LoadNotice
        >>> from greengagerock.view import EndpointRecord
        >>> record = EndpointRecord("e1", "10.0.0.1:80", "docs", "a", 2, started_ms=1000)
        >>> loads = EndpointLoads()
        >>> loads.expected_wait_s(record, 0.1, 5.0) is None
        True
        >>> loads.note("e1", 1000, LoadNotice(2, 3, 2, 200), 5.0)
        >>> [loads.expected_wait_s(record, 0.1, now_s) for now_s in (5.0, 6.5, 7.0)]
        [0.4, 0.2, None]
    """

    __slots__ = ("by_endpoint", "last_number", "max_age_s", "work_s_by_service")

    def __init__(self, max_age_s=MAX_AGE_S):
        self.max_age_s = max_age_s
        self.by_endpoint = {}
        self.work_s_by_service = {}
        self.last_number = 0

    # --- Values --------------------------------------------------------------------

    def note(self, endpoint, started_ms, load, now_s):
        """Record the ``LoadNotice`` of a response to this router."""
        stated = self._stated_by(endpoint, started_ms)
        if stated is not None:
            stated.update(load, now_s)
            stated.is_reportable = True
            stated.had_free_slot = not load.waiting and load.running < load.slots

    def note_malformed(self, endpoint, started_ms):
        """Record an unreadable load; return whether it is the first one of the instance."""
        stated = self._stated_by(endpoint, started_ms)
        if stated is None or stated.is_malformed:
            return False
        stated.is_malformed = True
        return True

    def note_sent(self, endpoint, now_s):
        """Record that this router sends a request to an endpoint."""
        stated = self.by_endpoint.get(endpoint)
        if stated is not None:
            stated.sent_times_s.append(now_s)

    def note_response(self, endpoint, service, response_s):
        """Learn how long work takes from a response at whose end a slot was free.

        Such a request can hardly have waited itself, since requests run in order of arrival. Short
        response times count more, so that a full link is not taken for work.
        """
        stated = self.by_endpoint.get(endpoint)
        if stated is None or not stated.had_free_slot:
            return
        work_s = min(max(response_s / stated.pace, MIN_WORK_S), MAX_WORK_S)
        known_s = self.work_s_by_service.get(service, work_s)
        weight = SHORTER_WORK_WEIGHT if work_s < known_s else LONGER_WORK_WEIGHT
        self.work_s_by_service[service] = known_s + weight * (work_s - known_s)

    def forget(self, endpoint):
        """Drop the load of an endpoint that has ended."""
        self.by_endpoint.pop(endpoint, None)

    # --- Leader --------------------------------------------------------------------

    def apply(self, reports, now_s):
        """Apply the ``EndpointLoadReports`` of a leader where they are newer than what is known.

        Message numbers grow with the leader's term, so late and repeated messages are ignored.
        """
        if reports.number <= self.last_number:
            return
        self.last_number = reports.number
        for name, report in reports.loads.items():
            stated = self._stated_by(name, report.started_ms)
            observed_s = now_s - report.age_ms / 1000
            if stated is not None and observed_s > stated.observed_s:
                stated.update(report, observed_s)
                stated.is_reportable = stated.had_free_slot = False

    def collect(self, now_s):
        """Return ``LoadReport`` objects by endpoint for the leader: the busiest new values."""
        new = [(name, stated) for name, stated in self.by_endpoint.items() if stated.is_reportable]
        for _, stated in new:
            stated.is_reportable = False
        usable = [pair for pair in new if now_s - pair[1].observed_s < self.max_age_s]
        busiest = heapq.nlargest(
            MAX_COLLECTED, usable, key=lambda pair: (pair[1].waiting, pair[1].running)
        )
        return {
            name: LoadReport(
                stated.started_ms,
                stated.running,
                stated.waiting,
                max(1, round(100 * stated.pace)),
                round(1000 * (now_s - stated.observed_s)),
            )
            for name, stated in busiest
        }

    # --- Use -----------------------------------------------------------------------

    def known_load(self, record, mean_response_s, now_s):
        """Return the ``KnownLoad`` of an endpoint, or ``None`` if it is unknown or too old.

        Args:
            record: The ``EndpointRecord``.
            mean_response_s: Mean response time of the endpoint in seconds, which is used while
                the work time of its service is unknown.
            now_s: Monotonic time in seconds.
        """
        stated = self.by_endpoint.get(record.name)
        if stated is None or stated.started_ms != record.started_ms:
            return None
        age_s = now_s - stated.observed_s
        if age_s >= self.max_age_s:
            return None
        work_s = self.work_s_by_service.get(record.service, mean_response_s) * stated.pace
        fading_s = self.max_age_s - FULL_WEIGHT_AGE_S
        return KnownLoad(
            stated.running,
            stated.waiting,
            sum(sent_s > stated.observed_s for sent_s in stated.sent_times_s),
            max(1, record.slots),
            work_s,
            age_s,
            min(1.0, (self.max_age_s - age_s) / fading_s) if fading_s > 0 else 1.0,
        )

    def expected_wait_s(self, record, mean_response_s, now_s):
        """Return how long a request would wait at an endpoint, or ``None`` if that is unknown.

        Args:
            record: The ``EndpointRecord``.
            mean_response_s: Mean response time of the endpoint in seconds.
            now_s: Monotonic time in seconds.
        """
        known = self.known_load(record, mean_response_s, now_s)
        return None if known is None else known.wait_s * known.weight

    def ages_s(self, now_s):
        """Return the ages of all values that are used."""
        ages_s = [now_s - stated.observed_s for stated in list(self.by_endpoint.values())]
        return [age_s for age_s in ages_s if age_s < self.max_age_s]

    def _stated_by(self, endpoint, started_ms):
        """Return the load of an instance, or ``None`` if a later instance has stated one."""
        stated = self.by_endpoint.get(endpoint)
        if stated is None or stated.started_ms < started_ms:
            stated = self.by_endpoint[endpoint] = StatedLoad(started_ms)
        return stated if stated.started_ms == started_ms else None
