"""Responses per second by endpoint, from the counts in routers' polls.

They show how many requests an endpoint gets before it becomes cold, when routers do not yet
count the requests for it.
"""

# Time over which the counts are added up. Routers poll every 0.5 s.
FOLD_INTERVAL_S = 1.0
# Weight of the newest interval in the mean.
NEWEST_WEIGHT = 0.4
# Time from which on the rates are complete: all routers have found the leader, and the mean has
# forgotten the time before.
COMPLETE_AFTER_S = 5.0
# Lower rates are dropped.
MIN_RATE_PER_S = 0.01


class ResponseRates:
    """Running means of the responses per second of each endpoint.

    Args:
        began_s: Start of the term, in monotonic seconds.

    Attributes:
        rates: Responses per second by endpoint name.
        counts: Responses since ``folded_s``, by endpoint name.
        folded_s: When the counts were last folded into the rates.

    Examples:
        >>> rates = ResponseRates(0.0)
        >>> for second in range(1, 10):
        ...     rates.add({"e1": (6, 0.1)})
        ...     rates.advance(float(second))
        >>> round(rates.rate("e1", 9.0), 1), rates.rate("e2", 9.0), rates.rate("e1", 4.0)
        (5.9, 0.0, None)
    """

    __slots__ = ("began_s", "counts", "folded_s", "rates")

    def __init__(self, began_s):
        self.began_s = began_s
        self.folded_s = began_s
        self.rates = {}
        self.counts = {}

    def add(self, responses):
        """Add the number and mean time of responses of a poll, by endpoint name."""
        counts = self.counts
        for name, (count, _) in responses.items():
            counts[name] = counts.get(name, 0) + count

    def advance(self, now_s):
        """Fold the counts into the rates if an interval has passed."""
        elapsed_s = now_s - self.folded_s
        if elapsed_s < FOLD_INTERVAL_S:
            return
        self.folded_s = now_s
        counts, self.counts = self.counts, {}
        rates = {}
        for name in self.rates.keys() | counts.keys():
            newest = counts.get(name, 0) / elapsed_s
            rate = self.rates.get(name, 0.0)
            rate += NEWEST_WEIGHT * (newest - rate)
            if rate >= MIN_RATE_PER_S:
                rates[name] = rate
        self.rates = rates

    def rate(self, endpoint, now_s):
        """Return an endpoint's responses per second, or ``None`` if they are not complete yet."""
        if now_s - self.began_s < COMPLETE_AFTER_S:
            return None
        return self.rates.get(endpoint, 0.0)
