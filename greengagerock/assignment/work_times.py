"""Work time of each endpoint without the wait in its queue.

A single key that gets more requests than its holder can run makes the holder's responses slow.
Its mean response time then says how long the queue is, and not how much the endpoint can serve.
"""

# Share of the difference by which a shorter or longer measurement changes the estimate. Waits
# only lengthen responses, so shorter measurements count more (expectile regression).
SHORTER_STEP = 0.1
LONGER_STEP = 0.03
# A longer measurement counts as at most this multiple of the estimate.
MAX_RATIO = 2.0
# Number of measurements from which an estimate is used.
MIN_MEASUREMENTS = 10


class WorkTimes:
    """Estimates of the work time by endpoint.

    Routers of a large site get about one response of an endpoint between two polls, so nearly
    each measurement is a single response.

    Attributes:
        estimates: Estimate in seconds and number of measurements, by endpoint name.
        paused: Names of endpoints whose responses wait for requests of a hot key; their
            measurements are ignored.

    Examples:
        >>> times = WorkTimes()
        >>> for mean_s in (0.1, 0.1, 0.3, 0.1, 0.1) * 4:
        ...     times.note("e1", mean_s)
        >>> 0.1 <= times.work_s("e1") < 0.12
        True
        >>> times.work_s("e2") is None
        True

    References:
        W. Newey and J. Powell: Asymmetric Least Squares Estimation and Testing, Econometrica
        55 (1987).
    """

    __slots__ = ("estimates", "paused")

    def __init__(self):
        self.estimates = {}
        self.paused = frozenset()

    def note(self, endpoint, mean_s):
        """Add the mean response time that a router has measured since its previous message."""
        if endpoint in self.paused:
            return
        estimate_s, count = self.estimates.get(endpoint, (mean_s, 0))
        if mean_s < estimate_s:
            estimate_s += SHORTER_STEP * (mean_s - estimate_s)
        else:
            estimate_s += LONGER_STEP * (min(mean_s, MAX_RATIO * estimate_s) - estimate_s)
        self.estimates[endpoint] = (estimate_s, count + 1)

    def work_s(self, endpoint):
        """Return an endpoint's work time in seconds, or ``None`` after few measurements."""
        estimate_s, count = self.estimates.get(endpoint, (0.0, 0))
        return estimate_s if count >= MIN_MEASUREMENTS and estimate_s > 0 else None

    def typical_s(self):
        """Return the mean work time of all endpoints in seconds, or 0 if none is known."""
        known = [self.work_s(endpoint) for endpoint in self.estimates]
        known = [work_s for work_s in known if work_s is not None]
        return sum(known) / len(known) if known else 0.0

    def forget(self, endpoint):
        """Drop the data of an endpoint that has ended."""
        self.estimates.pop(endpoint, None)
