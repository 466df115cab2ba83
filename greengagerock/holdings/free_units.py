"""Units that nobody holds, and those of them that are kept for one taker."""


class Reservation:
    """A unit that is kept for one taker.

    Attributes:
        taker: The ``Life`` that gets it.
        until_s: When anybody may take it.
    """

    __slots__ = ("taker", "until_s")

    def __init__(self, taker, until_s):
        self.taker = taker
        self.until_s = until_s


class FreeUnits:
    """Keeps free units by who may take them, so that a report looks only at its own.

    A unit may be reserved before its holder has released it.

    Attributes:
        free: All free units.
        open: Free units that anybody may take.
        reserved: A ``Reservation`` for each reserved unit.

    Examples:
        >>> units = FreeUnits()
        >>> units.reserve(7, "e1", 2.0)
        >>> units.add(7)
        >>> units.add(8)
        >>> units.kept_for("e1"), units.open
        ([7], {8})
        >>> units.expire(2.5, lambda taker: False)
        >>> sorted(units.open)
        [7, 8]
    """

    __slots__ = ("_by_taker", "free", "open", "reserved")

    def __init__(self):
        self.free = set()
        self.open = set()
        self.reserved = {}
        self._by_taker = {}

    def add(self, unit):
        """Note that nobody holds a unit any more."""
        self.free.add(unit)
        if unit not in self.reserved:
            self.open.add(unit)

    def remove(self, unit):
        """Note that a unit has a holder, which ends its reservation."""
        self.free.discard(unit)
        self.open.discard(unit)
        if unit in self.reserved:
            self._unreserve(unit)

    def reserve(self, unit, taker, until_s):
        """Keep a unit for one taker."""
        if unit in self.reserved:
            self._unreserve(unit)
        self.reserved[unit] = Reservation(taker, until_s)
        self._by_taker.setdefault(taker, set()).add(unit)
        self.open.discard(unit)

    def kept_for(self, taker):
        """Return the free units that are kept for a taker."""
        return sorted(self._by_taker.get(taker, set()) & self.free)

    def expire(self, now_s, is_leaving):
        """End reservations that have run out or whose taker takes no more work.

        Args:
            now_s: Monotonic time in seconds.
            is_leaving: Function that tells whether a taker is leaving.
        """
        for unit, reservation in list(self.reserved.items()):
            if reservation.until_s <= now_s or is_leaving(reservation.taker):
                self._unreserve(unit)
                if unit in self.free:
                    self.open.add(unit)

    def _unreserve(self, unit):
        taker = self.reserved.pop(unit).taker
        units = self._by_taker[taker]
        units.discard(unit)
        if not units:
            del self._by_taker[taker]
