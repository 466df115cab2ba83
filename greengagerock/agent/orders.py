"""The order that a router sends along with a request for a key."""

import re

import msgspec

ORDER_HEADER = "Greengage-Order"

_PATTERN = re.compile(
    r'unit="(?P<unit>[^"]*)", fence=(?P<fence>\d+), incarnation="(?P<incarnation>[^"]*)"'
)


class Order(msgspec.Struct, frozen=True):
    """By which grant a router sends a request to an endpoint.

    Attributes:
        unit: Label of the unit that the request's key belongs to; it holds no quotes.
        fence: Fence of the unit's owner, as the router knows it.
        incarnation: Incarnation of the endpoint that the router means.

    Examples:
        >>> order = Order("113", 12, "9bb4bde4")
        >>> order.to_header()
        'unit="113", fence=12, incarnation="9bb4bde4"'
        >>> Order.from_header(order.to_header()) == order
        True

    References:
        RFC 9651, Structured Field Values for HTTP, section 3.2 (dictionaries).
    """

    unit: str
    fence: int
    incarnation: str

    def to_header(self):
        """Return the value of the ``Greengage-Order`` header."""
        return f'unit="{self.unit}", fence={self.fence}, incarnation="{self.incarnation}"'

    @classmethod
    def from_header(cls, value):
        """Return the order that a header holds, or ``None`` if there is none."""
        match = _PATTERN.fullmatch(value or "")
        if match is None:
            return None
        return cls(match["unit"], int(match["fence"]), match["incarnation"])
