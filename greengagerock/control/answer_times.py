"""Times of endpoints' answers over all routers, so that each learns what it cannot see.

Answers the load of large sites, where a router sends an endpoint a request every few seconds
and would learn too late which endpoints are busy.
"""

import math

from greengagerock.view import EndpointTimes, pack

# Half of the weight of an answer is gone after about two thirds of this time.
MEMORY_S = 2.0
PUBLISH_INTERVAL_S = 1.0
# Fewer decayed answers than this say nothing.
MIN_ANSWERS = 2.0
# Endpoints that are told apart from the others, so that a message stays below a kilobyte.
MOST_TOLD = 64
# An endpoint is told apart if its time differs from its service's by this factor.
REMARKABLE = 1.25
# Numbers of one term lie below those of the next.
NUMBERS_PER_TERM = 1 << 24


class AnswerTimes:
    """Decaying means of answer times by endpoint.

    Args:
        term: The leader's term.

    Attributes:
        number: Number of the newest message to routers.
        packed: That message, or ``None`` before the first one.

    Examples:
        >>> times = AnswerTimes(term=1)
        >>> times.note("till", "e1", 10, 0.1, 0.0)
        >>> times.note("till", "e2", 10, 0.5, 0.0)
        >>> told = times.summary()
        >>> told.services, told.endpoints
        ({'till': 300}, {'e1': 100, 'e2': 500})
    """

    def __init__(self, term):
        self.number = term * NUMBERS_PER_TERM
        self.packed = None
        self.published_s = float("-inf")
        self._sums = {}

    def note(self, service, endpoint, count, mean_s, now_s):
        """Take in what a router has seen of an endpoint since it last said so."""
        answers, time_s, at_s, _ = self._sums.get(endpoint, (0.0, 0.0, now_s, service))
        factor = math.exp(-(now_s - at_s) / MEMORY_S)
        self._sums[endpoint] = (
            answers * factor + count,
            time_s * factor + count * mean_s,
            now_s,
            service,
        )

    def publish(self, now_s):
        """Make a new message if it is time."""
        if now_s - self.published_s < PUBLISH_INTERVAL_S:
            return
        self.published_s = now_s
        old_s = now_s - 4 * MEMORY_S
        self._sums = {name: sums for name, sums in self._sums.items() if sums[2] > old_s}
        if self._sums:
            self.number += 1
            self.packed = pack(self.summary())

    def summary(self):
        """Return the ``EndpointTimes`` to tell routers."""
        services = {}
        for answers, time_s, _, service in self._sums.values():
            total = services.setdefault(service, [0.0, 0.0])
            total[0] += answers
            total[1] += time_s
        means = {service: time_s / answers for service, (answers, time_s) in services.items()}
        told = []
        for name, (answers, time_s, _, service) in self._sums.items():
            ratio = time_s / answers / means[service]
            if answers >= MIN_ANSWERS and not 1 / REMARKABLE < ratio < REMARKABLE:
                told.append((abs(math.log(ratio or 1e-3)), name, time_s / answers))
        told.sort(reverse=True)
        return EndpointTimes(
            self.number,
            {service: round(mean_s * 1000) for service, mean_s in means.items()},
            {name: round(mean_s * 1000) for _, name, mean_s in told[:MOST_TOLD]},
        )
