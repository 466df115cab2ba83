"""How many requests one router may send to an endpoint that limits those of all routers."""

from collections import deque

from greengagerock.routing.burst_bounds import LOW_DEMAND_REQUESTS, DeclaredBound

# Lower demand counts as this, so that a bound that allows nothing can be divided by it.
MIN_DEMAND_PER_S = 1e-9
# Longest time after which a refused caller is to come back.
MAX_RETRY_AFTER_S = 5.0


class RequestAllowance:
    """One router's part of a limit.

    If the routers are few, each has a token bucket for its share. Even if all buckets are emptied
    at the same moment, the burst stays within what the endpoint tolerates. If they are so many
    that this leaves room for less than one request each, requests are admitted at random: with
    the ratio of the limit and the demand of all routers, or, while the demand is unknown, with
    the content of the bucket as the probability. Where the endpoint tolerates one request of each
    router in its window, no router sends more than its part of them, whatever the demand does.

    Args:
        random: Random number generator.
        now_s: Monotonic time in seconds.
        bound: The ``DeclaredBound`` or ``ColdBound`` on the requests of all routers.

    Attributes:
        plan: The ``AdmissionPlan``, or ``None`` before the first configuration.
        rate_per_s: Requests per second that the bucket gains.
        capacity: Largest content of the bucket.
        probability: Probability with which each request is admitted, or ``None`` if the bucket
            decides.
        window_requests: Largest number of requests in any window of the plan, or ``None``.
        less_urgent_share: Share of the less urgent requests that is admitted if a more urgent
            one would be.
        admitted_s: Times of the newest requests that were admitted while their number was bounded.
        credit: Content of the bucket when it was last updated.
        updated_s: When it was last updated.
        promised_s: Latest time that was given to a refused caller.

    References:
        The leaky bucket as a meter, ITU-T I.371; randomized rounding, P. Raghavan and
        C. Thompson, 1987.

    Examples:
        >>> from random import Random
        >>> allowance = RequestAllowance(Random(1), 0.0)
        >>> allowance.configure(5.0, 0.1, router_count=14, demand_per_s=None, now_s=0.0)
        >>> allowance.credit = 1.0
        >>> allowance.try_take(0.0), allowance.try_take(0.0), allowance.try_take(2.0)
        (True, False, True)
        >>> allowance.retry_after_s(2.0)
        2.0
        >>> allowance.configure(5.0, 0.01, router_count=100, demand_per_s=17.0, now_s=0.0)
        >>> allowance.probability
        0.25
    """

    __slots__ = (
        "admitted_s",
        "bound",
        "capacity",
        "credit",
        "less_urgent_share",
        "plan",
        "probability",
        "promised_s",
        "random",
        "rate_per_s",
        "updated_s",
        "window_requests",
    )

    def __init__(self, random, now_s, bound=None):
        self.random = random
        self.bound = bound or DeclaredBound()
        self.plan = None
        self.rate_per_s = 0.0
        self.capacity = 1.0
        self.probability = None
        self.window_requests = None
        self.less_urgent_share = 1.0
        self.admitted_s = deque()
        # Buckets of several routers must not all fill at the same moment.
        self.credit = random.random()
        self.updated_s = now_s
        self.promised_s = now_s

    def configure(self, limit_per_s, share, router_count, demand_per_s, now_s, urgent_per_s=None):
        """Set what the router may send.

        Args:
            limit_per_s: Requests per second that the endpoint takes from all routers.
            share: This router's share of them, from 0 to 1.
            router_count: Number of routers.
            demand_per_s: Requests per second that all routers have for the endpoint, or ``None``
                if that is unknown.
            now_s: Monotonic time in seconds.
            urgent_per_s: Requests per second among them that are preferred to the others, or
                ``None`` to treat all alike.
        """
        self._refill(now_s)
        is_first = self.plan is None
        plan = self.plan = self.bound.plan(limit_per_s, router_count)
        self.rate_per_s = plan.rate_per_s * share
        self.capacity = plan.credit / router_count
        self.credit = min(self.credit, self.capacity)
        if is_first and plan.starts_full:
            self.credit = self.capacity
        self.window_requests = plan.window_requests
        self.probability = None
        self.less_urgent_share = 1.0
        if demand_per_s is None:
            return
        if demand_per_s < plan.low_demand_per_s:
            self.probability = 1.0
            self.window_requests = max(LOW_DEMAND_REQUESTS, plan.window_requests)
            return
        preferred_per_s = demand_per_s if urgent_per_s is None else urgent_per_s
        probability = min(
            1.0, plan.rate_per_s / max(preferred_per_s, plan.min_demand_per_s, MIN_DEMAND_PER_S)
        )
        if plan.is_random:
            self.probability = probability
        if (
            urgent_per_s is not None
            and probability > 0
            and demand_per_s > max(plan.rate_per_s, urgent_per_s)
        ):
            left_per_s = max(0.0, plan.rate_per_s - probability * urgent_per_s)
            self.less_urgent_share = left_per_s / (demand_per_s - urgent_per_s) / probability

    def try_take(self, now_s, is_urgent=True, draw=None):
        """Return whether a request may be sent now, and take it from the bucket if so.

        Args:
            now_s: Monotonic time in seconds.
            is_urgent: Whether the request is preferred to others.
            draw: Random number from 0 to 1, or ``None`` for a new one.
        """
        self._refill(now_s)
        share = 1.0 if is_urgent else self.less_urgent_share
        if self.probability is None and self.capacity >= 1.0:
            if self.credit < 1.0 or self._is_window_full(now_s):
                return False
            if share < 1.0 and self._draw(draw) >= share:
                return False
            self.credit -= 1.0
        else:
            probability = self.credit if self.probability is None else self.probability
            self.credit = 0.0
            if self._is_window_full(now_s) or self._draw(draw) >= share * probability:
                return False
        if self.window_requests is not None:
            self.admitted_s.append(now_s)
        return True

    def _draw(self, draw):
        return self.random.random() if draw is None else draw

    def _is_window_full(self, now_s):
        """Return whether this router's part of what the endpoint tolerates is used up."""
        if self.window_requests is None:
            return False
        while self.admitted_s and self.admitted_s[0] <= now_s - self.plan.window_s:
            self.admitted_s.popleft()
        return len(self.admitted_s) >= self.window_requests

    def retry_after_s(self, now_s):
        """Return when a caller that is refused now should come back, one caller after the other.

        The time is bounded by ``MAX_RETRY_AFTER_S``.
        """
        self._refill(now_s)
        latest_s = now_s + MAX_RETRY_AFTER_S
        if self.rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        free_s = now_s + max(0.0, 1.0 - self.credit) / self.rate_per_s
        following_s = self.promised_s + 1.0 / self.rate_per_s
        is_first = self.promised_s <= now_s
        self.promised_s = min(latest_s, free_s if is_first else max(free_s, following_s))
        return self.promised_s - now_s

    def _refill(self, now_s):
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = now_s
        self.credit = min(self.capacity, self.credit + self.rate_per_s * elapsed_s)
