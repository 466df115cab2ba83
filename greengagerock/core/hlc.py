"""Hybrid logical clocks, which order events across processes."""

import msgspec

MICROSECONDS_PER_SECOND = 1_000_000


class Timestamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical timestamp.

    Attributes:
        wall_us: Largest wall-clock reading observed, in microseconds.
        counter: Orders events with the same ``wall_us``.
    """

    wall_us: int
    counter: int = 0


class HybridClock:
    """The hybrid logical clock of one process.

    Wall-clock readings only label events for display. Decisions never depend on them:
    leases are measured with the monotonic clock.

    Examples:
        >>> clock = HybridClock()
        >>> clock.tick(5)
        Timestamp(wall_us=5, counter=0)
        >>> clock.merge(Timestamp(9, 3), 6)
        Timestamp(wall_us=9, counter=4)

    References:
        S. Kulkarni, M. Demirbas, D. Madappa, B. Avva, M. Leone: Logical
        Physical Clocks, OPODIS 2014.
    """

    def __init__(self):
        self.latest = Timestamp(0)

    def tick(self, wall_us):
        """Return the timestamp of a local event or of a message about to be sent."""
        if wall_us > self.latest.wall_us:
            self.latest = Timestamp(wall_us)
        else:
            self.latest = Timestamp(self.latest.wall_us, self.latest.counter + 1)
        return self.latest

    def merge(self, remote, wall_us):
        """Return the timestamp for the receipt of a message that was sent at ``remote``."""
        newest = max(self.latest, remote)
        if wall_us > newest.wall_us:
            self.latest = Timestamp(wall_us)
        else:
            self.latest = Timestamp(newest.wall_us, newest.counter + 1)
        return self.latest
