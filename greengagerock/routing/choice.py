"""Choice of an endpoint for services without keys."""


def choose_endpoint(endpoints, zone, tried, load_of, is_avoided, random):
    """Return the less loaded of two endpoints drawn at random.

    Endpoints of the own availability zone come first; other zones are used
    only when the own zone has none left. Endpoints that failed lately are used
    only when there are no others.

    Args:
        endpoints: All endpoints of the service.
        zone: The router's availability zone.
        tried: Names of endpoints that the request was already sent to.
        load_of: Callable from endpoint name to requests in flight.
        is_avoided: Callable from endpoint name to whether it failed lately.
        random: Source of chance.

    Returns:
        An ``Endpoint``, or ``None`` if none is left.

    References:
        M. Mitzenmacher: The Power of Two Choices in Randomized Load Balancing,
        IEEE TPDS 12(10), 2001.
    """
    usable = [e for e in endpoints if e.takes_work and e.name not in tried]
    sound = [e for e in usable if not is_avoided(e.name)]
    near = [e for e in sound if e.zone == zone]
    candidates = near or sound or usable
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return first if load_of(first.name) <= load_of(second.name) else second
