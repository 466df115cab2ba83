"""Choice of an endpoint for a service without keys."""


def choose_endpoint(endpoints, zone, tried_endpoints, load_of, is_avoided, random):
    """Return the less loaded of two randomly chosen endpoints.

    Endpoints in the local availability zone are preferred; remote zones are used only if the
    local zone has none left. Endpoints with recent failures are used only if there are no
    others.

    Args:
        endpoints: All endpoints of the service.
        zone: The router's availability zone.
        tried_endpoints: Names of endpoints that the request was already sent to.
        load_of: Callable that returns the number of requests in flight at an endpoint.
        is_avoided: Callable that returns whether an endpoint has failed recently.
        random: Random number generator.

    Returns:
        An ``Endpoint``, or ``None`` if none is left.

    References:
        M. Mitzenmacher: The Power of Two Choices in Randomized Load Balancing,
        IEEE TPDS 12(10), 2001.
    """
    available = [e for e in endpoints if e.accepts_new_requests and e.name not in tried_endpoints]
    healthy = [e for e in available if not is_avoided(e.name)]
    local = [e for e in healthy if e.zone == zone]
    candidates = local or healthy or available
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return first if load_of(first.name) <= load_of(second.name) else second
