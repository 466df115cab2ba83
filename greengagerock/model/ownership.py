"""Units of ownership and their owners."""

from urllib.parse import quote

import msgspec


class Unit(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A unit of ownership: a slot of a service, or one pinned key.

    Attributes:
        service: Service name.
        slot: Slot number; for a pinned key, the slot that it hashes to.
        key: The pinned key, or the empty string for a whole slot.
    """

    service: str
    slot: int
    key: str = ""

    @property
    def label(self):
        """Text form used in headers, grants and logs; the key is percent-encoded.

        Examples:
            >>> Unit("till", 7).label, Unit("till", 7, "card-1").label
            ('7', '7/card-1')
        """
        return f"{self.slot}/{quote(self.key, safe='')}" if self.key else str(self.slot)


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """The owner of a unit.

    Attributes:
        endpoint: Endpoint name, or the empty string while the unit has no owner.
        fence: Number that increases with each change of owner.
    """

    endpoint: str
    fence: int


NO_OWNER = Owner("", 0)


class OwnedUnit(msgspec.Struct, frozen=True, array_like=True):
    """A unit together with its owner."""

    unit: Unit
    owner: Owner
