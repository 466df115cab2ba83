"""Units without a holder, and reservations of units for one target."""


class Reservation:
    """A reservation of a unit for one target.

    Attributes:
        target: The ``EndpointInstance`` that the unit is reserved for.
        until_s: When the reservation expires.
    """

    __slots__ = ("target", "until_s")

    def __init__(self, target, until_s):
        self.target = target
        self.until_s = until_s


class FreeUnits:
    """Units without a holder, and reservations of units.

    Reservations are indexed by target, so that processing a report takes only the units
    reserved for its endpoint. A unit may be reserved before its holder has released it.

    Attributes:
        free: All free units.
        unreserved: Free units that any instance may get.
        reserved: A ``Reservation`` for each reserved unit.

    Examples:
        >>> units = FreeUnits()
        >>> units.reserve(7, "e1", 2.0)
        >>> units.add(7)
        >>> units.add(8)
        >>> units.reserved_for("e1"), units.unreserved
        ([7], {8})
        >>> units.expire(2.5, lambda target: False)
        >>> sorted(units.unreserved)
        [7, 8]
    """

    __slots__ = ("_units_by_target", "free", "reserved", "unreserved")

    def __init__(self):
        self.free = set()
        self.unreserved = set()
        self.reserved = {}
        self._units_by_target = {}

    def add(self, unit):
        """Add a unit that no longer has a holder."""
        self.free.add(unit)
        if unit not in self.reserved:
            self.unreserved.add(unit)

    def remove(self, unit):
        """Remove a unit that now has a holder, and cancel its reservation."""
        self.free.discard(unit)
        self.unreserved.discard(unit)
        if unit in self.reserved:
            self._cancel_reservation(unit)

    def reserve(self, unit, target, until_s):
        """Reserve a unit for a target until ``until_s``."""
        if unit in self.reserved:
            self._cancel_reservation(unit)
        self.reserved[unit] = Reservation(target, until_s)
        self._units_by_target.setdefault(target, set()).add(unit)
        self.unreserved.discard(unit)

    def reserved_for(self, target):
        """Return the free units that are reserved for a target, in order."""
        return sorted(self._units_by_target.get(target, set()) & self.free)

    def count_reserved(self, target):
        """Return the number of units that are reserved for a target, free or not yet."""
        return len(self._units_by_target.get(target, ()))

    def expire(self, now_s, is_leaving):
        """Cancel reservations that have expired or whose target is leaving.

        Args:
            now_s: Monotonic time in seconds.
            is_leaving: Function that returns whether a target is leaving.
        """
        for unit, reservation in list(self.reserved.items()):
            if reservation.until_s <= now_s or is_leaving(reservation.target):
                self._cancel_reservation(unit)
                if unit in self.free:
                    self.unreserved.add(unit)

    def _cancel_reservation(self, unit):
        target = self.reserved.pop(unit).target
        units = self._units_by_target[target]
        units.discard(unit)
        if not units:
            del self._units_by_target[target]
