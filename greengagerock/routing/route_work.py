"""Work of a service's routes relative to each other, from the responses to one router.

Answers keys whose requests take longer than others: what an endpoint can serve is work, so the
leader compares requests weighted by it. Routes of like work count as equal, since the difference
would be less than the noise of the counts.
"""

from greengagerock.assignment.work_times import WorkTimes

# Routes whose work differs from the mean of the service by less than this factor count equally.
TOLERANCE_RATIO = 1.25
# Largest weight, and inverse of the smallest one; a router knows a rare route by few responses.
MAX_WEIGHT = 8.0


class RouteWork:
    """Weights of requests by route.

    Attributes:
        times_by_service: ``WorkTimes`` of the routes by service.

    Examples:
        >>> work = RouteWork()
        >>> for _ in range(10):
        ...     work.note("till", "balance", 0.1)
        ...     work.note("till", "report", 0.7)
        >>> [round(work.weight("till", route), 2) for route in ("balance", "report")]
        [0.25, 1.75]
        >>> work.weight("till", "unknown")
        1.0
    """

    __slots__ = ("times_by_service",)

    def __init__(self):
        self.times_by_service = {}

    def note(self, service, route, response_s):
        """Add the time in seconds that a response took."""
        self.times_by_service.setdefault(service, WorkTimes()).note(route, response_s)

    def weight(self, service, route):
        """Return the work of a request of a route relative to the mean of its service."""
        times = self.times_by_service.get(service)
        work_s = None if times is None else times.work_s(route)
        if work_s is None:
            return 1.0
        requests = sum(count for _, count in times.estimates.values())
        mean_s = sum(time_s * count for time_s, count in times.estimates.values()) / requests
        weight = work_s / mean_s
        if 1 / TOLERANCE_RATIO < weight < TOLERANCE_RATIO:
            return 1.0
        return min(MAX_WEIGHT, max(1 / MAX_WEIGHT, weight))
