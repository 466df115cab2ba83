"""Rows of a response to a report: the keys that an endpoint is to hold."""

from greengagerock.assignment.reports import GrantRow
from greengagerock.assignment.units import KEYS_PER_UNIT


def build_rows(units, fences, handover_tokens):
    """Return ``GrantRow`` objects; neighbours with equal fence and token share a row.

    Args:
        units: Units that an endpoint is to hold.
        fences: Fence of each unit.
        handover_tokens: Token of the last holder, by unit.

    Examples:
        >>> [(row.first, row.last) for row in build_rows({0, 1, 4}, [7] * 5, {})]
        [(0, 15), (32, 39)]
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
