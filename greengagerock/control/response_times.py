"""Response times of endpoints, combined over all routers and sent back to each of them.

On large sites a single router sends an endpoint only one request every few seconds, so its own
measurements show too late which endpoints are busy.
"""

import math

from greengagerock.view import EndpointResponseTimes, encode_delta

# Time constant of the exponential decay; the weight of a response halves after about two thirds
# of it.
DECAY_TIME_S = 2.0
PUBLISH_INTERVAL_S = 1.0
# Decayed number of responses below which a mean is not used.
MIN_RESPONSES = 2.0
# Largest number of endpoints listed in a message, so that it stays below a kilobyte.
MAX_LISTED_ENDPOINTS = 64
# An endpoint is listed if its mean differs from its service's mean by this factor.
DEVIATION_RATIO = 1.25
# Size of the range of message numbers of each term; numbers of a term are below those of the
# next.
NUMBERS_PER_TERM = 1 << 24


class ResponseTimes:
    """Exponentially decaying means of response times by endpoint.

    Args:
        term: The leader's term.

    Attributes:
        number: Number of the newest message to routers.
        packed: That message, packed, or ``None`` before the first one.
        published_s: When that message was made, in monotonic seconds.

    Examples:
        >>> times = ResponseTimes(term=1)
        >>> times.note("till", "e1", 10, 0.1, 0.0)
        >>> times.note("till", "e2", 10, 0.5, 0.0)
        >>> listed = times.summary()
        >>> listed.services, listed.endpoints
        ({'till': 300}, {'e1': 100, 'e2': 500})
    """

    def __init__(self, term):
        self.number = term * NUMBERS_PER_TERM
        self.packed = None
        self.published_s = float("-inf")
        self._sums = {}

    def note(self, service, endpoint, count, mean_s, now_s):
        """Add a router's measurements of an endpoint since its previous poll."""
        responses, time_s, updated_s, _ = self._sums.get(endpoint, (0.0, 0.0, now_s, service))
        factor = math.exp(-(now_s - updated_s) / DECAY_TIME_S)
        self._sums[endpoint] = (
            responses * factor + count,
            time_s * factor + count * mean_s,
            now_s,
            service,
        )

    def publish(self, now_s):
        """Make a new message if the publish interval has passed and there are measurements."""
        if now_s - self.published_s < PUBLISH_INTERVAL_S:
            return
        self.published_s = now_s
        oldest_s = now_s - 4 * DECAY_TIME_S
        self._sums = {name: sums for name, sums in self._sums.items() if sums[2] > oldest_s}
        if self._sums:
            self.number += 1
            self.packed = encode_delta(self.summary())

    def summary(self):
        """Return the ``EndpointResponseTimes`` to send to routers."""
        sums_by_service = {}
        for responses, time_s, _, service in self._sums.values():
            service_sums = sums_by_service.setdefault(service, [0.0, 0.0])
            service_sums[0] += responses
            service_sums[1] += time_s
        means = {
            service: time_s / responses for service, (responses, time_s) in sums_by_service.items()
        }
        listed = []
        for name, (responses, time_s, _, service) in self._sums.items():
            ratio = time_s / responses / means[service]
            if responses >= MIN_RESPONSES and not 1 / DEVIATION_RATIO < ratio < DEVIATION_RATIO:
                listed.append((abs(math.log(ratio or 1e-3)), name, time_s / responses))
        listed.sort(reverse=True)
        return EndpointResponseTimes(
            self.number,
            {service: round(mean_s * 1000) for service, mean_s in means.items()},
            {name: round(mean_s * 1000) for _, name, mean_s in listed[:MAX_LISTED_ENDPOINTS]},
        )
