"""Shares of the load by endpoint, derived from the response times that routers measure.

Endpoints differ in speed: with equal shares and a load near the capacity of the service, the
slow ones would be overloaded while the fast ones are idle.
"""

from greengagerock.assignment.work_times import WorkTimes

# Shortest time between two changes of the weights.
ADJUST_INTERVAL_S = 2.0
# Number of responses from which a weight is adjusted; fewer are kept until there are more.
MIN_RESPONSES = 20
# A weight changes by at most these factors in one step, so that noise moves few keys.
MAX_DECREASE = 0.75
MAX_INCREASE = 1.2
LOWEST_WEIGHT = 0.25
HIGHEST_WEIGHT = 2.0
# Relative deviation from the mean response time up to which an endpoint keeps its weight.
TOLERANCE = 0.2
# Share of an endpoint's limit that the requests for its keys should use.
LIMIT_USE_SHARE = 0.6
# Time after which the weight of a limited endpoint is derived anew. Its demand is a mean over
# about two seconds, so it lags behind the keys.
CAP_INTERVAL_S = 4.0
# This time for a cold endpoint, whose limit lasts for a few seconds.
COLD_CAP_INTERVAL_S = 1.0
# An endpoint with a limit keeps some keys: only responses say when the limit has ended.
LOWEST_CAP = 0.02
# Lower demand counts as this, so that the weight of an endpoint without requests stays finite.
MIN_DEMAND_PER_S = 0.1


class EndpointWeights:
    """Weights of a service's endpoints that equalise their response times.

    Attributes:
        weights: Adjusted weights by endpoint name; 1 stands for an equal share.
        mean_response_s: Mean response time in the last interval, in seconds.
        responses: Number of responses and sum of their times since the last adjustment, by
            endpoint name.
        adjusted_s: When the weights were last adjusted.
        caps: Largest weight of each endpoint that limits its requests, and when it was derived, by
            endpoint name.
        cold: Names of the cold endpoints among them.
        work_times: The ``WorkTimes``. Responses of its paused endpoints, which wait for requests
            of a hot key, do not change the weights.

    Examples:
        >>> weights = EndpointWeights()
        >>> weights.add_responses("slow", 20, 0.2)
        >>> weights.add_responses("fast", 20, 0.05)
        >>> weights.adjust(10.0)
        True
        >>> weights.weight("slow") < 1 < weights.weight("fast")
        True
    """

    __slots__ = (
        "adjusted_s",
        "caps",
        "cold",
        "mean_response_s",
        "responses",
        "weights",
        "work_times",
    )

    def __init__(self):
        self.mean_response_s = 0.0
        self.weights = {}
        self.responses = {}
        self.adjusted_s = 0.0
        self.caps = {}
        self.cold = set()
        self.work_times = WorkTimes()

    def add_responses(self, endpoint, count, mean_s):
        """Add the responses that a router received from an endpoint since its previous message."""
        if endpoint in self.work_times.paused:
            return
        self.work_times.note(endpoint, mean_s)
        totals = self.responses.setdefault(endpoint, [0, 0.0])
        totals[0] += count
        totals[1] += count * mean_s

    def weight(self, endpoint):
        """Return an endpoint's share of the load relative to an equal share."""
        weight = self.weights.get(endpoint, 1.0)
        cap, _ = self.caps.get(endpoint, (weight, 0.0))
        return min(weight, cap)

    def cap(
        self,
        endpoint,
        weight,
        limit_per_s,
        demand_per_s,
        now_s,
        use_share=LIMIT_USE_SHARE,
        lowest=0.0,
        is_cold=False,
    ):
        """Bound the weight of an endpoint that limits its requests.

        Args:
            endpoint: Name of the endpoint.
            weight: Weight that its present keys amount to.
            limit_per_s: Requests per second that it takes.
            demand_per_s: Requests per second for its present keys.
            now_s: Monotonic time in seconds.
            use_share: Share of the limit that the requests for its keys should use.
            lowest: Weight that it keeps in any case.
            is_cold: Whether the limit is that of a cold endpoint: the bound is derived anew more
                often, and also holds for free keys.

        Examples:
            >>> weights = EndpointWeights()
            >>> weights.cap("e1", 1.0, 5.0, 20.0, 0.0)
            >>> weights.weight("e1"), weights.weight("e2")
            (0.15, 1.0)
        """
        cap, capped_s = self.caps.get(endpoint, (weight, float("-inf")))
        interval_s = COLD_CAP_INTERVAL_S if is_cold else CAP_INTERVAL_S
        if now_s - capped_s < interval_s or (
            endpoint not in self.caps and demand_per_s <= limit_per_s
        ):
            return
        target = weight * use_share * limit_per_s / max(demand_per_s, MIN_DEMAND_PER_S)
        target = min(target, cap * MAX_INCREASE)
        self.caps[endpoint] = (max(LOWEST_CAP, lowest, target), now_s)
        if is_cold:
            self.cold.add(endpoint)

    def is_bounded_cold(self, endpoint):
        """Return whether an endpoint gets no more free keys than its weight allows."""
        return endpoint in self.cold

    def end_cap(self, endpoint):
        """Drop the bound of an endpoint that has no limit any more."""
        self.caps.pop(endpoint, None)
        self.cold.discard(endpoint)

    def forget(self, endpoint):
        """Drop the data of an endpoint that has ended."""
        self.weights.pop(endpoint, None)
        self.responses.pop(endpoint, None)
        self.end_cap(endpoint)
        self.work_times.forget(endpoint)

    def adjust(self, now_s):
        """Adjust the weights if an interval has passed, and return whether they were adjusted."""
        if now_s - self.adjusted_s < ADJUST_INTERVAL_S:
            return False
        self.adjusted_s = now_s
        responses = self.responses
        total = sum(count for count, _ in responses.values())
        if not total:
            return False
        mean_response_s = sum(time_s for _, time_s in responses.values()) / total
        self.mean_response_s = mean_response_s
        for endpoint, (count, time_s) in responses.items():
            if count >= MIN_RESPONSES and time_s > 0:
                self._adjust_weight(endpoint, mean_response_s / (time_s / count))
        mean = sum(self.weights.get(endpoint, 1.0) for endpoint in responses) / len(responses)
        self.responses = {
            name: entry for name, entry in responses.items() if entry[0] < MIN_RESPONSES
        }
        for endpoint in self.weights:
            self.weights[endpoint] /= mean
        return True

    def _adjust_weight(self, endpoint, ratio):
        if abs(ratio - 1.0) < TOLERANCE:
            return
        factor = min(MAX_INCREASE, max(MAX_DECREASE, ratio**0.5))
        weight = self.weights.get(endpoint, 1.0) * factor
        self.weights[endpoint] = min(HIGHEST_WEIGHT, max(LOWEST_WEIGHT, weight))
