"""Failures of endpoints as counted by one router, and the router's retry budget."""

# Number of consecutive failures from which on an endpoint is avoided.
MIN_FAILURES_TO_AVOID = 3
# Time for which it is avoided: it doubles with each further failure, up to the maximum.
FIRST_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 8.0
# Retries earned by each request, and the largest number of unused ones.
RETRIES_PER_REQUEST = 0.2
MAX_SAVED_RETRIES = 10.0


class FailureRecord:
    """Recent failures of one endpoint.

    Attributes:
        failure_count: Number of consecutive failed attempts.
        avoided_until_s: Until when the router prefers other endpoints.
    """

    __slots__ = ("avoided_until_s", "failure_count")

    def __init__(self):
        self.failure_count = 0
        self.avoided_until_s = float("-inf")


class EndpointHealth:
    """Health of endpoints, judged by the requests that were sent to them.

    Health and load reports are late and misleading, so they are not used: an endpoint that
    fails several consecutive requests is avoided for a time that doubles with each failure,
    until one request gets a response.

    Examples:
        >>> health = EndpointHealth()
        >>> for _ in range(3):
        ...     health.note_failure("a", 0.0)
        >>> health.is_avoided("a", 0.5), health.is_avoided("a", 1.5)
        (True, False)
    """

    __slots__ = ("failure_records",)

    def __init__(self):
        self.failure_records = {}

    def note_failure(self, endpoint, now_s):
        """Record a failed attempt."""
        record = self.failure_records.setdefault(endpoint, FailureRecord())
        record.failure_count += 1
        excess = record.failure_count - MIN_FAILURES_TO_AVOID
        if excess >= 0:
            avoidance_s = min(MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2**excess)
            record.avoided_until_s = now_s + avoidance_s

    def note_success(self, endpoint):
        """Record a request that got a response."""
        self.failure_records.pop(endpoint, None)

    def is_avoided(self, endpoint, now_s):
        """Return whether other endpoints should be preferred."""
        record = self.failure_records.get(endpoint)
        return record is not None and now_s < record.avoided_until_s


class RetryBudget:
    """Limits retries to a share of the requests, so that they cannot accumulate.

    Examples:
        >>> budget = RetryBudget()
        >>> sum(budget.try_spend() for _ in range(20))
        10
    """

    __slots__ = ("saved_retries",)

    def __init__(self):
        self.saved_retries = MAX_SAVED_RETRIES

    def count_request(self):
        """Count a new request."""
        self.saved_retries = min(MAX_SAVED_RETRIES, self.saved_retries + RETRIES_PER_REQUEST)

    def try_spend(self):
        """Return whether a retry is allowed, and count it if so."""
        if self.saved_retries < 1.0:
            return False
        self.saved_retries -= 1.0
        return True
