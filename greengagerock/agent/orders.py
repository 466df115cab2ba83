"""The order, which a router adds to each request for a key."""

import re

import msgspec

ORDER_HEADER = "Greengage-Order"

_HEADER_PATTERN = re.compile(
    r'unit="(?P<unit>[^"]*)", fence=(?P<fence>\d+), incarnation="(?P<incarnation>[^"]*)"'
)


class Order(msgspec.Struct, frozen=True):
    """The grant under which a router sends a request to an endpoint.

    Attributes:
        unit: Label of the unit that contains the request's key; it contains no quotes.
        fence: Fence of the unit's owner according to the router's routes.
        incarnation: Incarnation of the endpoint to which the request is sent.

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
        """Return the order in a header value, or ``None`` if it is missing or malformed."""
        match = _HEADER_PATTERN.fullmatch(value or "")
        if match is None:
            return None
        return cls(match["unit"], int(match["fence"]), match["incarnation"])
