"""Finds the leader from seeds that may be down, cut off or exchanged."""

# Without an answer for so long every known controller is asked.
LEADER_SILENCE_S = 0.8


class LeaderFinder:
    """Knows whom a router asks for its view.

    Args:
        seeds: Link addresses from the settings.

    Attributes:
        seeds: Link addresses from the settings.
        controllers: Link addresses that the leader named last.
        leader: Link address of the controller that answered as the leader, or empty.
        heard_s: When it answered last.

    Examples:
        >>> finder = LeaderFinder(("10.0.0.1:1", "10.0.0.2:1"))
        >>> finder.whom_to_ask(0.0)
        ('10.0.0.1:1', '10.0.0.2:1')
        >>> finder.note_leader("10.0.0.2:1", (), 0.1)
        >>> finder.whom_to_ask(0.2)
        ('10.0.0.2:1',)
    """

    def __init__(self, seeds):
        self.seeds = tuple(seeds)
        self.controllers = ()
        self.leader = ""
        self.heard_s = float("-inf")

    def note_leader(self, address, controllers, now_s):
        """A controller answered as the leader."""
        self.leader = address
        self.controllers = controllers
        self.heard_s = now_s

    def note_other(self, address, leader, controllers):
        """A controller that does not lead answered.

        Returns:
            The address to ask at once, or empty.
        """
        self.controllers = tuple(dict.fromkeys((*self.controllers, *controllers)))
        if address == self.leader:
            self.leader = ""
        if leader and leader != self.leader:
            return leader
        return ""

    def has_leader(self, now_s):
        """Return whether the leader has answered lately."""
        return bool(self.leader) and now_s - self.heard_s < LEADER_SILENCE_S

    def whom_to_ask(self, now_s):
        """Return link addresses: the leader, or everybody if it is silent."""
        if self.has_leader(now_s):
            return (self.leader,)
        return tuple(dict.fromkeys((*self.controllers, *self.seeds)))
