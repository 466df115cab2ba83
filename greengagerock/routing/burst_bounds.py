"""How a limit on the requests of all routers is divided so that bursts stay within a bound.

Two bounds exist: the burst that endpoints with a limit of their own tolerate, and the number of
requests that a cold endpoint may get in any one second.
"""

import math
from functools import lru_cache

import msgspec

# Time in which an endpoint with a limit of its own tolerates a burst, the share of what its limit
# allows in that time that a burst may add, and the number of requests beyond that.
BURST_WINDOW_S = 4.0
BURST_SHARE = 0.5
BURST_REQUESTS = 4.0
# Requests per second that all routers together send at least to such an endpoint. Otherwise a
# limit of 0 would never end, since only responses say so.
MIN_LIMIT_PER_S = 0.5
# Share of a limit that is used with random admission, whose number of requests varies by about
# its square root.
RANDOM_USE_SHARE = 0.85
# Share of the burst that routers collect while they do not know the demand.
RANDOM_BURST_SHARE = 0.25

# Requests that leave routers within a second may arrive at an endpoint within this much less:
# on a link of 2.35 Mbit/s, a response of 90 KB delays them by 0.3 s.
TRANSIT_SPREAD_S = 0.3
# Largest probability with which random admission may exceed the bound of a cold endpoint in one
# second of the highest demand that is planned for.
EXCESS_PROBABILITY = 1e-4
# Factor by which the demand may rise before the routers know of it, within about a second. Demand
# waves of the known deployments raise the rate of one kind of request 1.7 to 2.5 times. With 2.5,
# one of 135 simulated phases in which the demand tripled at 68 routers exceeded the bound.
DEMAND_RISE = 3.0
# Requests of one router in any window while the demand is low. With one, two requests that reach
# a router shortly after each other would lead to a refusal far below the bound.
LOW_DEMAND_REQUESTS = 2


class AdmissionPlan(msgspec.Struct, frozen=True):
    """What all routers together may send.

    Attributes:
        is_random: Whether routers admit at random, since there is less than one request each.
        rate_per_s: Requests per second.
        credit: Sum of the capacities of all buckets.
        window_s: Length of the window of ``window_requests``, in seconds.
        window_requests: Largest number of requests of one router in any window, or ``None``.
        low_demand_per_s: Known demand up to which every request is admitted, as long as no router
            sends more than ``LOW_DEMAND_REQUESTS`` in any window.
        min_demand_per_s: Lower demand counts as this when requests are admitted at random.
        starts_full: Whether buckets are full at first, else their contents are random.
    """

    is_random: bool
    rate_per_s: float
    credit: float
    window_s: float
    window_requests: int | None
    low_demand_per_s: float
    min_demand_per_s: float
    starts_full: bool


class DeclaredBound:
    """The burst that an endpoint with a limit of its own tolerates.

    Examples:
        >>> plan = DeclaredBound().plan(5.0, 10)
        >>> plan.is_random, plan.rate_per_s, plan.credit
        (False, 5.0, 14.0)
    """

    __slots__ = ()

    def plan(self, limit_per_s, router_count):
        """Return the ``AdmissionPlan`` for a limit and a number of routers."""
        limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
        burst = BURST_SHARE * BURST_WINDOW_S * limit_per_s + BURST_REQUESTS
        is_random = router_count > burst
        tolerated = int((BURST_WINDOW_S * limit_per_s + burst) / router_count)
        return AdmissionPlan(
            is_random,
            (RANDOM_USE_SHARE if is_random else 1.0) * limit_per_s,
            (RANDOM_BURST_SHARE if is_random else 1.0) * burst,
            BURST_WINDOW_S,
            tolerated if is_random and tolerated else None,
            0.0,
            limit_per_s,
            starts_full=False,
        )


class ColdBound:
    """The number of requests that a cold endpoint may get in any one second.

    If each router may send a request in any second, no router sends more than its equal part of
    the bound, so it holds whatever the demand and the leader do. If the routers are more, they
    admit at random, at most one request each, with a mean from which the bound is practically
    never reached even if the demand triples.

    Args:
        rate_factor: Multiple of the rate that the endpoint may get in any one second.
        rate_slack: Number of requests that it may get in addition.

    Examples:
        >>> bound = ColdBound()
        >>> bound.requests(3.5)
        13.25
        >>> plan = bound.plan(3.5, 3)
        >>> plan.is_random, plan.window_requests
        (False, 4)
        >>> plan = bound.plan(3.5, 68)
        >>> plan.is_random, plan.window_requests, 1.3 < plan.rate_per_s < 1.6
        (True, 1, True)
    """

    __slots__ = ("rate_factor", "rate_slack")

    def __init__(self, rate_factor=1.5, rate_slack=8.0):
        self.rate_factor = rate_factor
        self.rate_slack = rate_slack

    def requests(self, limit_per_s):
        """Return the largest number of requests in any one second."""
        return self.rate_factor * limit_per_s + self.rate_slack

    def plan(self, limit_per_s, router_count):
        """Return the ``AdmissionPlan`` for a rate and a number of routers."""
        bound = self.requests(limit_per_s)
        window_s = 1.0 + TRANSIT_SPREAD_S
        is_random = router_count > bound
        part = int(bound / router_count)
        low_demand_per_s = 0.0
        if part < LOW_DEMAND_REQUESTS:
            trials = LOW_DEMAND_REQUESTS * router_count
            low_demand_per_s = largest_safe_mean(int(bound), trials) / DEMAND_RISE
        if is_random:
            safe_mean = largest_safe_mean(int(bound), router_count)
            rate_per_s = min(RANDOM_USE_SHARE * limit_per_s, safe_mean / DEMAND_RISE)
            credit = safe_mean - rate_per_s
        else:
            rate_per_s = min(limit_per_s, bound)
            # The window bounds the burst; the bucket keeps the mean.
            credit = max(router_count, bound)
        return AdmissionPlan(
            is_random,
            rate_per_s,
            credit,
            window_s,
            max(1, part),
            min(low_demand_per_s, rate_per_s),
            rate_per_s,
            starts_full=True,
        )


@lru_cache(maxsize=256)
def largest_safe_mean(bound, trials):
    """Return the largest mean of a binomial distribution that practically never exceeds a bound.

    Args:
        bound: Largest number of requests.
        trials: Largest number of requests that the routers together send in a second; larger
            than ``bound``.

    References:
        W. Hoeffding: On the distribution of the number of successes in independent trials, 1956.
        Among all routers' probabilities with the same mean, equal ones have the heaviest tail.

    Examples:
        >>> 4.0 < largest_safe_mean(13, 730) < largest_safe_mean(13, 20) < 13
        True
    """
    low, high = 0.0, 1.0
    for _ in range(30):
        middle = (low + high) / 2
        if exceedance(bound, trials, middle) <= EXCESS_PROBABILITY:
            low = middle
        else:
            high = middle
    return low * trials


def exceedance(bound, trials, probability):
    """Return the probability that more than ``bound`` of independent trials succeed.

    Examples:
        >>> round(exceedance(1, 2, 0.5), 9)
        0.25
    """
    if probability <= 0:
        return 0.0
    if probability >= 1:
        return float(bound < trials)
    log_odds = math.log(probability) - math.log1p(-probability)
    log_term = trials * math.log1p(-probability)
    below = 0.0
    for successes in range(min(bound, trials) + 1):
        below += math.exp(log_term)
        log_term += math.log((trials - successes) / (successes + 1)) if successes < trials else 0.0
        log_term += log_odds
    return max(0.0, 1.0 - below)
