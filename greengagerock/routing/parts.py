"""Shares a route's requests out among its services, in proportion to their weights."""


class PartPicker:
    """Smooth weighted round robin for each route.

    Any run of consecutive requests comes as close to the weights as whole requests
    can. Each picker starts at a place of its own, so that many hosts with few
    requests each do not all begin with the same service.

    Args:
        random: Source of the starting places.

    Examples:
        >>> from random import Random
        >>> from greengagerock.testing.item_builders import build_route
        >>> route = build_route(parts=(("a", 3), ("b", 1)))
        >>> picker = PartPicker(Random(1))
        >>> sorted(picker.pick(route) for _ in range(4))
        ['a', 'a', 'a', 'b']
    """

    __slots__ = ("credits", "random")

    def __init__(self, random):
        self.random = random
        self.credits = {}

    def pick(self, route):
        """Return the name of the service that gets the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        known = self.credits.get(route.name)
        if known is None or known[0] != parts:
            known = (parts, self._initial_credits(parts))
            self.credits[route.name] = known
        balance = known[1]
        total = 0.0
        for number, part in enumerate(parts):
            balance[number] += part.weight
            total += part.weight
        best = max(range(len(parts)), key=balance.__getitem__)
        balance[best] -= total
        return parts[best].service

    def _initial_credits(self, parts):
        """Return credits as they stand after a random number of picks.

        Credits of a smooth round robin sum up to zero, which keeps the shares exact.
        """
        balance = [0.0] * len(parts)
        total = sum(part.weight for part in parts)
        for _ in range(self.random.randrange(16)):
            for number, part in enumerate(parts):
                balance[number] += part.weight
            best = max(range(len(parts)), key=balance.__getitem__)
            balance[best] -= total
        return balance
