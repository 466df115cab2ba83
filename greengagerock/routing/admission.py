"""Refuses part of the requests for an endpoint before its queue makes all of them late.

Answers the load of days on which endpoints get more than they can work on, from so many
routers that each sees little of it. An endpoint works on the same number of requests whether its
queue is long or short, but with a long one all of its answers are late. Routers go by the
mean time of its answers that all of them together have seen, so they refuse about the same
share without counting together. A router that gets enough answers itself goes by its own
limit (``Observed.limit``), which follows faster.
"""

# Mean answer times beyond this share of the latency objective make a part of the answers late.
FULL_SHARE = 0.5
# Some requests always pass, so that the time of answers goes on being seen.
LEAST_ADMITTED = 0.25
# A router that has this share of the answers it needs goes by its own limit alone.
ENOUGH_OWN = 0.6
# Urgent requests are refused only when half of the others are.
URGENT_FACTOR = 2.0


def admitted_share(expected_s, objective_s, is_urgent, own_share):
    """Return which share of a route's requests may go to an endpoint.

    Args:
        expected_s: Mean time of its answers that all routers have seen, or ``None``.
        objective_s: Latency objective of the route, or ``None``.
        is_urgent: Whether the service has less urgent routes.
        own_share: How far this router goes by answers of its own, from 0 to 1.

    Examples:
        >>> admitted_share(0.15, 0.3, False, 0.0)
        1.0
        >>> admitted_share(0.3, 0.3, False, 0.0), admitted_share(0.3, 0.3, True, 0.0)
        (0.5, 1.0)
        >>> admitted_share(0.3, 0.3, False, 1.0)
        1.0
        >>> admitted_share(None, 0.3, False, 0.0), admitted_share(9.0, 0.3, False, 0.0)
        (1.0, 0.25)
    """
    if expected_s is None or objective_s is None or own_share >= ENOUGH_OWN:
        return 1.0
    full_s = FULL_SHARE * objective_s
    if expected_s <= full_s:
        return 1.0
    share = max(LEAST_ADMITTED, full_s / expected_s)
    if is_urgent:
        share = min(1.0, share * URGENT_FACTOR)
    return 1.0 - (1.0 - own_share) * (1.0 - share)
