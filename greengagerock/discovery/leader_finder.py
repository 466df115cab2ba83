"""Discovery of the leader, starting from seeds that may be down, cut off or replaced."""

# Silence of the leader after which all known controllers are polled.
LEADER_TIMEOUT_S = 0.8


class LeaderFinder:
    """Selects the controllers that a router polls for its view.

    Args:
        seeds: Link addresses from the settings.

    Attributes:
        seeds: Link addresses from the settings.
        controllers: Link addresses of controllers from the leader's last reply and from later
            replies of other controllers.
        leader: Link address of the controller that last replied as the leader, or empty.
        contact_s: Time of the leader's last reply.

    Examples:
        >>> finder = LeaderFinder(("10.0.0.1:1", "10.0.0.2:1"))
        >>> finder.poll_addresses(0.0)
        ('10.0.0.1:1', '10.0.0.2:1')
        >>> finder.record_leader("10.0.0.2:1", (), 0.1)
        >>> finder.poll_addresses(0.2)
        ('10.0.0.2:1',)
    """

    def __init__(self, seeds):
        self.seeds = tuple(seeds)
        self.controllers = ()
        self.leader = ""
        self.contact_s = float("-inf")

    def record_leader(self, address, controllers, now_s):
        """Record a reply from a controller that leads."""
        self.leader = address
        self.controllers = controllers
        self.contact_s = now_s

    def record_non_leader(self, address, leader, controllers):
        """Record a reply from a controller that does not lead.

        Returns:
            Address of the leader according to the reply, which is to be polled at once, or
            an empty string.
        """
        self.controllers = tuple(dict.fromkeys((*self.controllers, *controllers)))
        if address == self.leader:
            self.leader = ""
        if leader and leader != self.leader:
            return leader
        return ""

    def has_leader(self, now_s):
        """Return whether the leader has replied recently."""
        return bool(self.leader) and now_s - self.contact_s < LEADER_TIMEOUT_S

    def poll_addresses(self, now_s):
        """Return the leader's link address, or all known ones if the leader is silent."""
        if self.has_leader(now_s):
            return (self.leader,)
        return tuple(dict.fromkeys((*self.controllers, *self.seeds)))
