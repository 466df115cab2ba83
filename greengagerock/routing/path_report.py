"""A router's account of the paths of its requests, for its log and its metrics.

It answers the question which of a router's ways to endpoints fails, and why: its own connections,
the relays, or the host's network link that both share.
"""

from bisect import bisect_left
from collections import Counter

# The ways of an attempt to an endpoint.
DIRECT = "direct"
RELAYED = "relayed"
WAYS = (DIRECT, RELAYED)
# How an attempt ends that gets a response.
RESPONDED = "responded"

# Length of the period that one log line covers, in seconds.
PERIOD_S = 1.0
# Upper bounds of the classes of times to open a connection, in seconds.
CONNECT_BOUNDS_S = (0.01, 0.05, 0.15, 0.3, 0.5, 1.0)


class ConnectTimes:
    """Times that it took to open connections, or to give up.

    Attributes:
        counts: Number of connections by class of ``CONNECT_BOUNDS_S``; the last one is unbounded.
        sum_s: Sum of the times in seconds.
        largest_s: Longest time in seconds.

    Examples:
        >>> times = ConnectTimes()
        >>> times.note(0.02)
        >>> times.note(0.4)
        >>> times.counts, times.describe()
        ([0, 1, 0, 0, 1, 0, 0], '2/210/400')
    """

    __slots__ = ("counts", "largest_s", "sum_s")

    def __init__(self):
        self.counts = [0] * (len(CONNECT_BOUNDS_S) + 1)
        self.sum_s = 0.0
        self.largest_s = 0.0

    def note(self, time_s):
        """Record one connection."""
        self.counts[bisect_left(CONNECT_BOUNDS_S, time_s)] += 1
        self.sum_s += time_s
        self.largest_s = max(self.largest_s, time_s)

    def describe(self):
        """Return the number of connections, their mean and longest time in milliseconds."""
        count = sum(self.counts)
        mean_s = self.sum_s / max(1, count)
        return f"{count}/{round(1000 * mean_s)}/{round(1000 * self.largest_s)}"


class PathReport:
    """Counts attempts by way and end, and logs a period in which a way failed or relays were used.

    Args:
        timers: The timer service.
        outbox: Receives log lines.
        relays: The ``RelayPool``.
        link_bytes_per_s: Speed of the host's network link if it is slow, else ``None``.

    Attributes:
        first_tries: Number of calls by way and end of their first attempt since the start.
        connect_times: ``ConnectTimes`` since the start by way.
        body_bytes: Size of the bodies of responses, which pass the link once in each direction.
    """

    __slots__ = (
        "_is_notable",
        "_period_body_bytes",
        "_period_connect_times",
        "_period_ends",
        "_timer",
        "body_bytes",
        "connect_times",
        "first_tries",
        "link_bytes_per_s",
        "outbox",
        "relays",
        "timers",
    )

    def __init__(self, timers, outbox, relays, link_bytes_per_s):
        self.timers = timers
        self.outbox = outbox
        self.relays = relays
        self.link_bytes_per_s = link_bytes_per_s
        self.first_tries = Counter()
        self.connect_times = {way: ConnectTimes() for way in WAYS}
        self.body_bytes = 0
        self._is_notable = False
        self._period_body_bytes = 0
        self._period_connect_times = {way: ConnectTimes() for way in WAYS}
        self._period_ends = Counter()
        self._timer = None

    def note_attempt(self, way, end, connect_s, is_first_try):
        """Record the end of an attempt.

        Args:
            way: One of ``WAYS``.
            end: ``RESPONDED``, or the reason for which the attempt failed.
            connect_s: Time in seconds that opening its connection took, ``None`` if one was open.
            is_first_try: Whether it was the first attempt of its call.
        """
        if self._timer is None:
            self._timer = self.timers.subscribe(PERIOD_S, self._end_period)
        if connect_s is not None:
            self.connect_times[way].note(connect_s)
            self._period_connect_times[way].note(connect_s)
        if is_first_try:
            self.first_tries[way, end] += 1
            self._period_ends[way, end] += 1
        self._is_notable = self._is_notable or way != DIRECT or end != RESPONDED

    def note_body(self, body_bytes):
        """Record the body of a response that was received and sent on."""
        self.body_bytes += body_bytes
        self._period_body_bytes += body_bytes

    def _link_percent(self):
        """Return which share of the link the period's responses used, empty for a fast link."""
        if self.link_bytes_per_s is None:
            return ""
        return round(100 * self._period_body_bytes / (self.link_bytes_per_s * PERIOD_S))

    def _end_period(self):
        self._timer = None
        if self._is_notable:
            ends, times = self._period_ends, self._period_connect_times
            self.outbox.log(
                "paths",
                **{way: _describe_ends(ends, way) for way in WAYS},
                **{f"{way}_connects": times[way].describe() for way in WAYS},
                link_percent=self._link_percent(),
                usable_relays=self.relays.usable_count(),
                relays=len(self.relays.by_address),
            )
        self._is_notable = False
        self._period_body_bytes = 0
        self._period_ends = Counter()
        self._period_connect_times = {way: ConnectTimes() for way in WAYS}


def _describe_ends(ends, way):
    """Return the ends of the first tries on one way, as ``end:count`` separated by commas."""
    return ",".join(f"{end}:{count}" for (w, end), count in sorted(ends.items()) if w == way)
