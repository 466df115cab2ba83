"""Observations of a router about each endpoint, and the number of requests it may send there.

An endpoint gets more requests than it can run when many callers request one key, or when it is
slow, silent or has ended. Each router decreases its own limit for the endpoint when responses
become late and increases it when they are in time. Without recent responses of its own, it uses
the mean response times that the leader computes from the reports of all routers.
"""

from greengagerock.routing.endpoint_loads import EndpointLoads

# Weight of the newest response in the running mean.
NEWEST_RESPONSE_WEIGHT = 0.15
# Mean response time assumed before any router has got a response.
INITIAL_MEAN_S = 0.06
# Number of own responses from which on those of other routers do not count.
MIN_OWN_RESPONSES = 6.0
# Share of their weight that own responses lose each time the leader sends new means.
AGING_SHARE = 0.3

INITIAL_LIMIT = 6.0
# An endpoint runs a few requests at once and queues a dozen; more from one router is too much.
MAX_LIMIT = 16.0
# A dozen routers that each send one request at a time already fill an endpoint's queue. With a
# limit below one, a router pauses between requests instead.
MIN_LIMIT = 0.1
# Response time, as a share of the latency objective, up to which the limit is increased.
EARLY_SHARE = 0.6
# Factor for a limit below one, and step divided by the limit for a higher one.
INCREASE_FACTOR = 1.2
INCREASE_STEP = 0.5
# Mean response time, as a share of the objective, above which requests wait for a slot.
BUSY_SHARE = 0.6
# Factors for the limit after a late response and after a refusal.
DECREASE_FACTOR = 0.85
SHED_DECREASE_FACTOR = 0.6

# Time without a response, in seconds and in mean response times, after which an endpoint counts
# as silent; the longer one applies.
SILENCE_S = 0.5
SILENCE_MEAN_TIMES = 5
# Time between two requests to a silent endpoint, which show whether it responds again.
PROBE_INTERVAL_S = 0.25
# Longest time between attempts to connect to an endpoint whose requests go elsewhere meanwhile.
# The time doubles with each attempt, since each one may delay a request by a time-out.
MAX_PROBE_INTERVAL_S = 2.0


class EndpointObservation:
    """One endpoint as observed by one router.

    Attributes:
        in_flight: Number of this router's requests at the endpoint.
        shared_mean_s: Callable that returns the mean response time for all routers, or ``None``.
        own_mean_s: Running mean of the response times that this router has measured.
        own_response_weight: Number of responses in that mean, reduced with their age.
        last_shed_s: When the endpoint last refused a request for lack of room.
        last_reset_s: When it last reset or refused a connection of this router.
        limit: Largest number of this router's requests at the endpoint; below one, the share of
            the time in which the router has a request there.
        last_sent_s: When the newest request was sent.
        silent_since_s: When the endpoint last responded, or when the first request after that
            was sent.
        is_unreachable: Whether the last attempt to connect failed.
        unreachable_since_s: When the first attempt to connect after a response failed.
        last_probe_s: When a request was last sent to find out whether the endpoint responds.
        probe_interval_s: Time until the next attempt to connect if the endpoint is unreachable and
            requests can go elsewhere.
        last_decrease_s: When the limit was last decreased.
        responses: Number of responses since the last collection.
        response_time_sum_s: Sum of their response times in seconds.

    Examples:
        >>> observation = EndpointObservation()
        >>> observation.has_room(0, 0.0), observation.is_doubtful(0.0)
        (True, False)
        >>> observation.note_sent(0.0)
        >>> observation.is_doubtful(0.3), observation.is_doubtful(0.9)
        (False, True)
    """

    __slots__ = (
        "shared_mean_s",
        "in_flight",
        "is_unreachable",
        "last_decrease_s",
        "last_probe_s",
        "last_reset_s",
        "last_sent_s",
        "last_shed_s",
        "limit",
        "own_mean_s",
        "own_response_weight",
        "probe_interval_s",
        "response_time_sum_s",
        "responses",
        "silent_since_s",
        "unreachable_since_s",
    )

    def __init__(self, shared_mean_s=lambda: None):
        self.in_flight = 0
        self.shared_mean_s = shared_mean_s
        self.own_mean_s = 0.0
        self.own_response_weight = 0.0
        self.last_shed_s = float("-inf")
        self.last_reset_s = float("-inf")
        self.limit = INITIAL_LIMIT
        self.silent_since_s = 0.0
        self.is_unreachable = False
        self.unreachable_since_s = float("-inf")
        self.last_probe_s = float("-inf")
        self.probe_interval_s = PROBE_INTERVAL_S
        self.last_sent_s = float("-inf")
        self.last_decrease_s = float("-inf")
        self.responses = 0
        self.response_time_sum_s = 0.0

    @property
    def own_weight(self):
        """Weight of own responses in the mean, from 0 to 1."""
        return min(1.0, self.own_response_weight / MIN_OWN_RESPONSES)

    @property
    def mean_response_s(self):
        """Mean of own response times, weighted with that of all routers while it is uncertain."""
        share = self.own_weight
        if share == 1.0:
            return self.own_mean_s
        others_s = self.shared_mean_s()
        if others_s is None:
            others_s = INITIAL_MEAN_S if not share else self.own_mean_s
        return share * self.own_mean_s + (1 - share) * others_s

    def note_sent(self, now_s):
        """Record that a request is sent."""
        if self.in_flight == 0:
            self.silent_since_s = now_s
        self.last_sent_s = now_s
        self.in_flight += 1

    def note_ended(self):
        """Record that a request is no longer at the endpoint."""
        self.in_flight = max(0, self.in_flight - 1)

    def note_response(self, response_s, objective_s, now_s, is_relayed=False):
        """Record a response, and adjust the limit.

        Args:
            response_s: Response time in seconds.
            objective_s: Latency objective of the route, or ``None``.
            now_s: Monotonic time in seconds.
            is_relayed: Whether it came through another router.
        """
        self.note_alive(now_s, is_relayed)
        self.own_mean_s = self.mean_response_s + NEWEST_RESPONSE_WEIGHT * (
            response_s - self.mean_response_s
        )
        self.own_response_weight = min(MIN_OWN_RESPONSES, self.own_response_weight + 1)
        self.responses += 1
        self.response_time_sum_s += response_s
        if objective_s is None:
            return
        if response_s > objective_s:
            self._decrease_limit(DECREASE_FACTOR, now_s)
        elif response_s <= EARLY_SHARE * objective_s:
            self._increase_limit()

    def note_shed(self, objective_s, now_s, is_relayed=False):
        """Record that the endpoint refused a request, and adjust the limit.

        An endpoint that is full also responds late. One that responds in time refuses requests
        for other reasons, and sending fewer would not help.

        Args:
            objective_s: Latency objective of the request's route, or ``None``.
            now_s: Monotonic time in seconds.
            is_relayed: Whether the refusal came through another router.
        """
        self.note_alive(now_s, is_relayed)
        self.last_shed_s = now_s
        if self.is_busy(objective_s):
            self._decrease_limit(SHED_DECREASE_FACTOR, now_s)

    def note_reset(self, now_s):
        """Record that the endpoint reset a request's connection, and decrease the limit.

        An endpoint resets connections when it is full.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.last_reset_s = self.last_shed_s = now_s
        self._decrease_limit(SHED_DECREASE_FACTOR, now_s)

    def is_busy(self, objective_s):
        """Return whether the mean response time is a large part of the latency objective.

        When the endpoint fills up, the mean for all routers shows it before that of one router.
        Without an objective, an endpoint always counts as busy.
        """
        if objective_s is None:
            return True
        slowest_s = max(self.mean_response_s, self.shared_mean_s() or 0.0)
        return slowest_s > BUSY_SHARE * objective_s

    def note_alive(self, now_s, is_relayed=False):
        """Record that the endpoint has responded in some way.

        Args:
            now_s: Monotonic time in seconds.
            is_relayed: Whether the response came through another router, so that it does not show
                that this one can connect.
        """
        self.silent_since_s = now_s
        if not is_relayed:
            self.is_unreachable = False

    def note_unreachable(self, now_s):
        """Record that an attempt to connect failed."""
        if self.is_unreachable:
            self.probe_interval_s = min(MAX_PROBE_INTERVAL_S, 2 * self.probe_interval_s)
        else:
            self.is_unreachable = True
            self.unreachable_since_s = now_s
            self.probe_interval_s = PROBE_INTERVAL_S
        self.last_probe_s = now_s

    def has_room(self, extra_requests, now_s):
        """Return whether one more request may be sent to the endpoint.

        Args:
            extra_requests: Requests beyond the limit that the request's priority allows.
            now_s: Monotonic time in seconds.
        """
        if self.limit + extra_requests >= 1:
            return self.in_flight < self.limit + extra_requests
        pause_s = self.mean_response_s * (1 / self.limit - 1)
        return self.in_flight == 0 and now_s - self.last_sent_s >= pause_s

    def is_doubtful(self, now_s):
        """Return whether the endpoint is unreachable or has been silent for too long."""
        return self.is_unreachable or self.is_silent(now_s)

    def is_silent(self, now_s):
        """Return whether requests have been at the endpoint for too long without a response."""
        return self.in_flight > 0 and now_s - self.silent_since_s > self.silence_s

    @property
    def silence_s(self):
        """Time without a response after which the endpoint counts as silent, in seconds."""
        return max(SILENCE_S, SILENCE_MEAN_TIMES * self.mean_response_s)

    def may_probe(self, now_s, interval_s=PROBE_INTERVAL_S):
        """Return whether a doubtful endpoint may get a request, and record it as sent if so."""
        if now_s - self.last_probe_s < interval_s:
            return False
        self.last_probe_s = now_s
        return True

    def _increase_limit(self):
        if self.limit < 1:
            self.limit *= INCREASE_FACTOR
        else:
            self.limit = min(MAX_LIMIT, self.limit + INCREASE_STEP / self.limit)

    def _decrease_limit(self, factor, now_s):
        # Responses to requests sent before the last decrease do not reflect the new limit.
        if now_s - self.last_decrease_s >= self.mean_response_s:
            self.last_decrease_s = now_s
            self.limit = max(MIN_LIMIT, self.limit * factor)


class EndpointObservations:
    """Observations by endpoint name.

    Args:
        shared_mean_s: Callable that returns the mean response time of an endpoint for all routers,
            or ``None``.

    Attributes:
        loads: The ``EndpointLoads``, which endpoints and the leader have stated.

    Examples:
        >>> observations = EndpointObservations()
        >>> observations.observation_of("e1").in_flight
        0
    """

    __slots__ = ("by_endpoint", "loads", "shared_mean_s")

    def __init__(self, shared_mean_s=lambda endpoint: None):
        self.shared_mean_s = shared_mean_s
        self.by_endpoint = {}
        self.loads = EndpointLoads()

    def observation_of(self, endpoint):
        """Return the ``EndpointObservation`` of an endpoint."""
        observation = self.by_endpoint.get(endpoint)
        if observation is None:
            observation = EndpointObservation(lambda: self.shared_mean_s(endpoint))
            self.by_endpoint[endpoint] = observation
        return observation

    def note_sent(self, endpoint, now_s):
        """Record that a request is sent to an endpoint."""
        self.observation_of(endpoint).note_sent(now_s)
        self.loads.note_sent(endpoint, now_s)

    def note_response(self, call, endpoint, response_s, now_s, is_relayed):
        """Record the response of an endpoint to a call, after ``response_s`` seconds."""
        observation = self.observation_of(endpoint)
        observation.note_response(response_s, call.route.objective_s, now_s, is_relayed)
        self.loads.note_response(endpoint, call.service, response_s)

    def unreachable_count(self):
        """Return the number of endpoints to which the last attempt to connect failed."""
        return sum(o.is_unreachable for o in list(self.by_endpoint.values()))

    def expect_reachable(self):
        """Let all unreachable endpoints be tried at once, since one of them was reached again."""
        for observation in self.by_endpoint.values():
            if observation.is_unreachable:
                observation.last_probe_s = float("-inf")
                observation.probe_interval_s = PROBE_INTERVAL_S

    def reduce_own_weights(self):
        """Reduce the weight of own responses, since the leader has sent newer means."""
        for observation in self.by_endpoint.values():
            observation.own_response_weight *= 1 - AGING_SHARE

    def collect_responses(self):
        """Return the number and mean time of each endpoint's responses, and reset both."""
        collected = {}
        for name, observation in self.by_endpoint.items():
            if observation.responses:
                collected[name] = (
                    observation.responses,
                    observation.response_time_sum_s / observation.responses,
                )
                observation.responses, observation.response_time_sum_s = 0, 0.0
        return collected

    def forget(self, endpoint):
        """Drop the observations of an endpoint that has ended."""
        self.by_endpoint.pop(endpoint, None)
        self.loads.forget(endpoint)
