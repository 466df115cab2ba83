"""Counters of one router."""

MOST_FAILING_UNITS = 4096


class RouterStats:
    """Counters of one router, read by the metrics.

    Attributes:
        outcomes: Number of requests by service and outcome.
        retries: Number of further attempts.
        sheds: Number of requests refused because a queue was full.
        unavailable_s: Time without an answer by service, summed over its units: from
            the first failure of a unit's requests to its next answer.
    """

    __slots__ = ("failing_since_s", "outcomes", "retries", "sheds", "unavailable_s")

    def __init__(self):
        self.outcomes = {}
        self.retries = 0
        self.sheds = 0
        self.unavailable_s = {}
        self.failing_since_s = {}

    def note_failure(self, service, unit, now_s):
        """Record that a unit's request got no endpoint's answer."""
        if len(self.failing_since_s) < MOST_FAILING_UNITS:
            self.failing_since_s.setdefault((service, unit), now_s)

    def note_answer(self, service, unit, now_s):
        """Record that a unit's request was answered."""
        since_s = self.failing_since_s.pop((service, unit), None)
        if since_s is not None:
            total_s = self.unavailable_s.get(service, 0.0)
            self.unavailable_s[service] = total_s + now_s - since_s

    def count(self, service, outcome):
        """Count one finished request."""
        key = (service, outcome)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
