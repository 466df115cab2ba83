"""Units: groups of neighbouring keys that are always granted together."""

from greengagerock.assignment.reports import KEY_COUNT, GrantRow

KEYS_PER_UNIT = 8
UNIT_COUNT = KEY_COUNT // KEYS_PER_UNIT
# Number of neighbouring keys whose requests are counted together.
KEYS_PER_BLOCK = 8
# More stripes would not fit into a response after some endpoints have ended.
MAX_STRIPES_PER_ENDPOINT = 90


def stripe_width(endpoint_count):
    """Return the number of units in a stripe that gives each endpoint few stripes.

    Examples:
        >>> stripe_width(25), stripe_width(8), stripe_width(200)
        (4, 16, 1)
    """
    width = 1
    while UNIT_COUNT // width > MAX_STRIPES_PER_ENDPOINT * max(endpoint_count, 1):
        width *= 2
    return width


def fences_by_unit(ranges):
    """Return the highest fence of each unit that held ranges cover, in whole or in part."""
    units = {}
    for held_range in ranges:
        for unit in range(held_range.first // KEYS_PER_UNIT, held_range.last // KEYS_PER_UNIT + 1):
            units[unit] = max(units.get(unit, 0), held_range.fence)
    return units


def tokens_by_unit(ranges):
    """Return the handover token of each unit in freed ranges."""
    tokens = {}
    for freed_range in ranges:
        for unit in range(
            freed_range.first // KEYS_PER_UNIT, freed_range.last // KEYS_PER_UNIT + 1
        ):
            tokens[unit] = freed_range.handover_token
    return tokens


def grant_rows(units, fences, handover_tokens):
    """Return the ``GrantRow`` objects for units; neighbours with equal values share a row.

    Args:
        units: The units.
        fences: Fence of each unit.
        handover_tokens: Token of the last holder, by unit.

    Examples:
        >>> rows = grant_rows({0, 1, 5}, [7] * 8, {})
        >>> [(row.first, row.last, row.fence) for row in rows]
        [(0, 15, 7), (40, 47, 7)]
    """
    rows = []
    for unit in sorted(units):
        fence = fences[unit]
        handover_token = handover_tokens.get(unit, "")
        first = unit * KEYS_PER_UNIT
        last = first + KEYS_PER_UNIT - 1
        if rows:
            previous = rows[-1]
            if (previous[1] + 1, previous[2], previous[3]) == (first, fence, handover_token):
                previous[1] = last
                continue
        rows.append([first, last, fence, handover_token])
    return tuple(GrantRow(*row) for row in rows)
