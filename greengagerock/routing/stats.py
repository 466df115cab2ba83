"""Counters of one router, exported as metrics."""

# Largest number of units whose unavailable time is measured at once.
MAX_FAILING_UNITS = 4096


class RouterStats:
    """Counters of one router, exported as metrics.

    Attributes:
        outcomes: Number of requests by service and outcome.
        retries: Number of attempts after the first one.
        sheds: Number of requests refused because a queue was full.
        unavailable_s: Unavailable time by service, summed over its units. For one unit, it
            lasts from the first failed request to the next response of an endpoint.
        failing_since_s: Time of the first failed request since the last response, by (service,
            unit).
    """

    __slots__ = ("failing_since_s", "outcomes", "retries", "sheds", "unavailable_s")

    def __init__(self):
        self.outcomes = {}
        self.retries = 0
        self.sheds = 0
        self.unavailable_s = {}
        self.failing_since_s = {}

    def note_failure(self, service, unit, now_s):
        """Record that a request for a unit got no response from an endpoint."""
        if len(self.failing_since_s) < MAX_FAILING_UNITS:
            self.failing_since_s.setdefault((service, unit), now_s)

    def note_response(self, service, unit, now_s):
        """Record that a request for a unit got a response from an endpoint."""
        since_s = self.failing_since_s.pop((service, unit), None)
        if since_s is not None:
            total_s = self.unavailable_s.get(service, 0.0)
            self.unavailable_s[service] = total_s + now_s - since_s

    def count(self, service, outcome):
        """Count a finished request."""
        key = (service, outcome)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
