"""A router's own observations of endpoints, and its budget for retries."""

FAILURES_UNTIL_AVOIDED = 3
AVOID_FIRST_S = 1.0
AVOID_LONGEST_S = 8.0
RETRIES_PER_REQUEST = 0.2
MOST_SAVED_RETRIES = 10.0


class EndpointRecord:
    """What a router has seen of one endpoint.

    Attributes:
        failures: Failed attempts in a row.
        avoided_until_s: Until when the router prefers others.
    """

    __slots__ = ("avoided_until_s", "failures")

    def __init__(self):
        self.failures = 0
        self.avoided_until_s = float("-inf")


class EndpointHealth:
    """Judges endpoints by the requests that were sent to them.

    Health and load reports lag and mislead, so they are not consulted: an
    endpoint that fails several requests in a row is avoided for a while that
    doubles, and one answered request ends that.

    Examples:
        >>> health = EndpointHealth()
        >>> for _ in range(3):
        ...     health.note_failure("a", 0.0)
        >>> health.is_avoided("a", 0.5), health.is_avoided("a", 1.5)
        (True, False)
    """

    __slots__ = ("records",)

    def __init__(self):
        self.records = {}

    def note_failure(self, endpoint, now_s):
        """Record a failed attempt."""
        record = self.records.setdefault(endpoint, EndpointRecord())
        record.failures += 1
        excess = record.failures - FAILURES_UNTIL_AVOIDED
        if excess >= 0:
            pause_s = min(AVOID_LONGEST_S, AVOID_FIRST_S * 2**excess)
            record.avoided_until_s = now_s + pause_s

    def note_success(self, endpoint):
        """Record an answered request."""
        self.records.pop(endpoint, None)

    def is_avoided(self, endpoint, now_s):
        """Return whether others should be preferred."""
        record = self.records.get(endpoint)
        return record is not None and now_s < record.avoided_until_s


class RetryBudget:
    """Lets retries be at most a share of the requests, so that they cannot pile up.

    Examples:
        >>> budget = RetryBudget()
        >>> sum(budget.take() for _ in range(20))
        10
    """

    __slots__ = ("saved",)

    def __init__(self):
        self.saved = MOST_SAVED_RETRIES

    def earn(self):
        """Count a new request."""
        self.saved = min(MOST_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def take(self):
        """Return whether a retry may be made, and count it if so."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
