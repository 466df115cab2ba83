"""Units of neighbouring keys, which are always granted together."""

from greengagerock.holdings.report import KEY_COUNT

UNIT_KEYS = 8
UNITS = KEY_COUNT // UNIT_KEYS
# Load is counted for so many neighbouring keys together.
BLOCK_KEYS = 8
# More stripes would not fit into an answer after some endpoints have gone.
MAX_STRIPES = 90


def stripe_width(endpoints):
    """Return how many units a stripe has, so that an endpoint gets few of them.

    Examples:
        >>> stripe_width(25), stripe_width(8), stripe_width(200)
        (4, 16, 1)
    """
    width = 1
    while UNITS // width > MAX_STRIPES * max(endpoints, 1):
        width *= 2
    return width


def units_of(ranges):
    """Return the fences of the units that ranges cover, in whole or in part."""
    units = {}
    for held in ranges:
        for unit in range(held.first // UNIT_KEYS, held.last // UNIT_KEYS + 1):
            units[unit] = max(units.get(unit, 0), held.fence)
    return units


def tokens_of(ranges):
    """Return the handover tokens of the units that lie in freed ranges."""
    tokens = {}
    for freed in ranges:
        for unit in range(freed.first // UNIT_KEYS, freed.last // UNIT_KEYS + 1):
            tokens[unit] = freed.handover
    return tokens
