"""Statistics of how evenly units are distributed over endpoints."""

import math

import msgspec


class Imbalance(msgspec.Struct, frozen=True):
    """How unevenly units are distributed over the ready endpoints of a service.

    Attributes:
        endpoints: Number of ready endpoints.
        units: Number of owned units.
        max_over_mean: Largest number of units of an endpoint divided by the mean; 0 without units.
        variation: Coefficient of variation over the endpoints; 0 without units.
    """

    endpoints: int
    units: int
    max_over_mean: float
    variation: float


def imbalance_of_counts(counts):
    """Return the ``Imbalance`` of a list of unit counts, one for each endpoint.

    Examples:
        >>> imbalance_of_counts([2, 4]).max_over_mean
        1.3333333333333333
    """
    total = sum(counts)
    if not counts or not total:
        return Imbalance(len(counts), total, 0.0, 0.0)
    mean = total / len(counts)
    variance = sum((count - mean) ** 2 for count in counts) / len(counts)
    return Imbalance(len(counts), total, max(counts) / mean, math.sqrt(variance) / mean)


def slot_imbalance(routes, service_name):
    """Return the ``Imbalance`` of the slots of a service with keys."""
    counts = {e.name: 0 for e in routes.endpoints_of(service_name) if e.accepts_new_requests}
    for owner in routes.owners.get(service_name, ()):
        if owner.endpoint in counts:
            counts[owner.endpoint] += 1
    return imbalance_of_counts(list(counts.values()))
