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
        >>> route = build_route(parts=(("a", 3), ("b", 1)))
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
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        entry = self.credits.get(route.name)
        if entry is None or entry[0] != parts:
            entry = (parts, self._initial_credits(parts))
            self.credits[route.name] = entry
        credits = entry[1]
        total = 0.0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service

    def _initial_credits(self, parts):
        """Return the credits after a random number of picks.

        The credits of a smooth round robin add up to zero, which keeps the shares exact.
        """
        credits = [0.0] * len(parts)
        total = sum(part.weight for part in parts)
        for _ in range(self.random.randrange(16)):
            for index, part in enumerate(parts):
                credits[index] += part.weight
            best = max(range(len(parts)), key=credits.__getitem__)
            credits[best] -= total
        return credits
