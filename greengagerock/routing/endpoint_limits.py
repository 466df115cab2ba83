"""Limits that endpoints name on the requests that they take from all routers together."""

# Relative change of a limit from which on it is logged again.
LOGGED_CHANGE = 0.25


class EndpointLimit:
    """The limit of one endpoint instance.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        limit_per_s: Requests per second that it takes from all routers together.
        logged_per_s: The limit that was last logged.
        observed_s: When a response last named the limit.
    """

    __slots__ = ("limit_per_s", "logged_per_s", "observed_s", "started_ms")

    def __init__(self, started_ms):
        self.started_ms = started_ms
        self.limit_per_s = 0.0
        self.logged_per_s = None
        self.observed_s = 0.0


class EndpointLimits:
    """Limits by endpoint; each applies to one instance, for as long as responses name it.

    Examples:
        >>> limits = EndpointLimits()
        >>> limits.note_limit("e1", 1000, 5.6, 1.0), limits.note_limit("e1", 1000, 5.5, 1.2)
        (True, False)
        >>> limits.note_end("e1", 1000), limits.note_end("e1", 1000)
        (True, False)
    """

    __slots__ = ("by_endpoint",)

    def __init__(self):
        self.by_endpoint = {}

    def note_limit(self, endpoint, started_ms, limit_per_s, now_s):
        """Record a limit; return whether it is new or differs much from the one logged last."""
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.started_ms < started_ms:
            limit = self.by_endpoint[endpoint] = EndpointLimit(started_ms)
        if limit.started_ms != started_ms:
            return False
        limit.limit_per_s = limit_per_s
        limit.observed_s = now_s
        logged_per_s = limit.logged_per_s
        if logged_per_s is not None:
            change = abs(limit_per_s - logged_per_s)
            if change <= LOGGED_CHANGE * logged_per_s:
                return False
        limit.logged_per_s = limit_per_s
        return True

    def note_end(self, endpoint, started_ms):
        """Record that an instance names no limit any more; return whether it had one."""
        limit = self.by_endpoint.get(endpoint)
        if limit is None or limit.started_ms != started_ms:
            return False
        del self.by_endpoint[endpoint]
        return True

    def forget(self, endpoint):
        """Drop the limit of an endpoint that has ended."""
        self.by_endpoint.pop(endpoint, None)
