"""Versions of the messages that voters and routers support, as the leader knows them."""

# Voters send hellos and routers send polls every 0.5 s, and find a new leader within 0.2 s. From
# then on, a host that has sent nothing is down and does not hold up what needs all hosts.
FIRST_HELLO_WINDOW_S = 0.8
# A rest of the window below this counts as none: a timer that ends with the window may be early by
# a rounding error.
MIN_WAIT_S = 0.001


class ProtocolVersions:
    """The lowest version among all voters and all routers that poll.

    A voter that has sent no hello, since it is down, does not count after
    ``FIRST_HELLO_WINDOW_S``: otherwise one lost host would prevent evacuations.

    Args:
        own_identity: Identity of the local voter.
        own_version: ``PROTOCOL_VERSION`` of this build.

    Attributes:
        by_identity: Version in the newest hello of each controller, by identity.
        began_s: Start of the leader's term, in monotonic seconds.

    Examples:
        >>> versions = ProtocolVersions("a", 1)
        >>> versions.begin_term(10.0)
        >>> versions.lowest(["a", "b"], [1], 10.1)
        0
        >>> versions.note_hello("b", 1)
        >>> versions.lowest(["a", "b"], [1], 11.0), versions.lowest(["a", "b"], [1, 0], 11.0)
        (1, 0)
    """

    __slots__ = ("began_s", "by_identity")

    def __init__(self, own_identity, own_version):
        self.by_identity = {own_identity: own_version}
        self.began_s = 0.0

    def begin_term(self, now_s):
        """Record the start of a term of this leader."""
        self.began_s = now_s

    def note_hello(self, identity, version):
        """Record the version in a controller's hello."""
        self.by_identity[identity] = version

    def hearing_left_s(self, now_s):
        """Return for how long some hosts may have sent no message in this term, in seconds."""
        left_s = self.began_s + FIRST_HELLO_WINDOW_S - now_s
        return left_s if left_s > MIN_WAIT_S else 0.0

    def lowest(self, voters, router_versions, now_s):
        """Return the lowest version, 0 while some hosts may not have sent a message yet.

        Args:
            voters: Identities of the voters.
            router_versions: Versions of the routers that poll.
            now_s: Monotonic time in seconds.
        """
        if self.hearing_left_s(now_s):
            return 0
        known = [self.by_identity[voter] for voter in voters if voter in self.by_identity]
        return min((*known, *router_versions))
