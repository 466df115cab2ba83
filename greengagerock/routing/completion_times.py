"""Time that requests of each route take, which decides whether one can end before a planned stop.

Answers requests that arrive late in the grace period of a stop. One whose endpoint would still be
at work at its end is refused as not run at once, instead of being cut off.
"""

# Weights of the newest time in the running mean and in the running mean deviation, and number of
# deviations above the mean that a request is expected to take at most.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


class CompletionTimes:
    """Times from the sending of requests to their last byte, by service and route.

    Attributes:
        estimates: Mean and mean deviation in seconds, by service and route.

    Examples:
        >>> times = CompletionTimes()
        >>> times.expected_s("till", "report") is None
        True
        >>> for _ in range(20):
        ...     times.note("till", "report", 2.8)
        >>> round(times.expected_s("till", "report"), 2)
        2.8

    References:
        V. Paxson, M. Allman, J. Chu, M. Sargent: Computing TCP's Retransmission Timer, RFC 6298
        (2011).
    """

    __slots__ = ("estimates",)

    def __init__(self):
        self.estimates = {}

    def note(self, service, route, duration_s):
        """Add the time in seconds that a request took."""
        mean_s, deviation_s = self.estimates.get((service, route), (duration_s, 0.0))
        error_s = duration_s - mean_s
        self.estimates[service, route] = (
            mean_s + MEAN_WEIGHT * error_s,
            deviation_s + DEVIATION_WEIGHT * (abs(error_s) - deviation_s),
        )

    def expected_s(self, service, route):
        """Return the time in seconds that a request takes at most, or ``None`` if unknown."""
        estimate = self.estimates.get((service, route))
        return None if estimate is None else estimate[0] + DEVIATIONS * estimate[1]
