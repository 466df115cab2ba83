"""Distribution of a route's requests over its services, in proportion to their weights."""


class ServicePicker:
    """Smooth weighted round robin for each route.

    Any run of consecutive requests is divided as closely to the weights as whole requests
    allow. Each picker starts at a random position, so that many hosts with few requests each
    do not all start with the same service.

    Args:
        random: Random number generator for the starting positions.

    Examples:
        >>> from random import Random
        >>> from greengagerock.testing.item_builders import build_route
        >>> route = build_route(weighted_services=(("a", 3), ("b", 1)))
        >>> picker = ServicePicker(Random(1))
        >>> sorted(picker.pick(route) for _ in range(4))
        ['a', 'a', 'a', 'b']
    """

    __slots__ = ("credits", "random")

    def __init__(self, random):
        self.random = random
        self.credits = {}

    def pick(self, route):
        """Return the name of the service that the next request of a route goes to."""
        weighted_services = route.weighted_services
        if len(weighted_services) == 1:
            return weighted_services[0].service
        entry = self.credits.get(route.name)
        if entry is None or entry[0] != weighted_services:
            entry = (weighted_services, self._initial_credits(weighted_services))
            self.credits[route.name] = entry
        credits = entry[1]
        total = 0.0
        for index, weighted_service in enumerate(weighted_services):
            credits[index] += weighted_service.weight
            total += weighted_service.weight
        best = max(range(len(weighted_services)), key=credits.__getitem__)
        credits[best] -= total
        return weighted_services[best].service

    def _initial_credits(self, weighted_services):
        """Return the credits after a random number of picks.

        The credits of a smooth round robin add up to zero, which keeps the shares exact.
        """
        credits = [0.0] * len(weighted_services)
        total = sum(weighted_service.weight for weighted_service in weighted_services)
        for _ in range(self.random.randrange(16)):
            for index, weighted_service in enumerate(weighted_services):
                credits[index] += weighted_service.weight
            best = max(range(len(weighted_services)), key=credits.__getitem__)
            credits[best] -= total
        return credits
