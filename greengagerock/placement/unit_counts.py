"""Placement that balances the number of units per endpoint."""

import heapq

import msgspec

from greengagerock.model import STATE_DRAINING, Unit

CAUSE_FIRST = "first-owner"
CAUSE_LOST = "endpoint-lost"
CAUSE_DRAIN = "drain"
CAUSE_BALANCE = "balance"
CAUSE_UNPIN = "unpin"

# Balance moves start only if an endpoint exceeds the mean by more than this share and by more
# than one unit, so that small fluctuations cause no moves.
HYSTERESIS_SHARE = 0.10


class Move(msgspec.Struct, frozen=True):
    """A planned change of a unit's owner.

    Attributes:
        unit: The unit.
        source: Current owner, or the empty string.
        target: Next owner.
        cause: Cause of the move, one of the ``CAUSE_`` constants.
    """

    unit: Unit
    source: str
    target: str
    cause: str


def plan_moves(units, endpoints, budget):
    """Choose owners for units without a usable owner, then balance.

    Units without a usable owner are assigned to the endpoints with the fewest units.
    Pinned keys are not counted: a key is pinned so that it is placed independently, and
    a new pin must not cause a balance move. Then, if the endpoint with the most units
    exceeds the mean by more than the hysteresis, single units move from the endpoint with
    the most units to the one with the fewest until their counts differ by at most one or
    the budget is used up.

    Args:
        units: Pairs of unit and owner name, for every unit of one service that is not
            in transfer.
        endpoints: All endpoints of the service.
        budget: Number of balance moves allowed now.

    Returns:
        A tuple of moves; moves of units without a usable owner come first.

    Examples:
        >>> from greengagerock.model import Endpoint
        >>> a = Endpoint("a", "till", "z1", "127.0.0.1:1", "i1")
        >>> plan_moves([(Unit("till", 0), "")], [a], 0)[0].target
        'a'
    """
    units_by_endpoint = {e.name: [] for e in endpoints if e.accepts_new_requests}
    if not units_by_endpoint:
        return ()
    endpoints_by_name = {e.name: e for e in endpoints}
    unowned = []
    for unit, owner in units:
        if owner not in units_by_endpoint:
            unowned.append((unit, owner))
        elif not unit.key:
            units_by_endpoint[owner].append(unit)
    forced = _assign_unowned(unowned, units_by_endpoint, endpoints_by_name)
    return tuple(forced) + tuple(_plan_balance_moves(units_by_endpoint, budget))


def _assign_unowned(unowned, units_by_endpoint, endpoints_by_name):
    """Assign each unit to the endpoint that has the fewest units at that point."""
    heap = [(len(units), name) for name, units in units_by_endpoint.items()]
    heapq.heapify(heap)
    moves = []
    for unit, owner in unowned:
        count, target = heapq.heappop(heap)
        heapq.heappush(heap, (count + 1, target))
        if not unit.key:
            units_by_endpoint[target].append(unit)
        moves.append(Move(unit, owner, target, _cause(owner, endpoints_by_name)))
    return moves


def _cause(owner, endpoints_by_name):
    if not owner:
        return CAUSE_FIRST
    if owner in endpoints_by_name and endpoints_by_name[owner].state == STATE_DRAINING:
        return CAUSE_DRAIN
    return CAUSE_LOST


def _plan_balance_moves(units_by_endpoint, budget):
    total = sum(len(units) for units in units_by_endpoint.values())
    mean = total / len(units_by_endpoint)
    limit = max(mean * (1 + HYSTERESIS_SHARE), mean + 1)
    if max(len(units) for units in units_by_endpoint.values()) <= limit:
        return
    for _ in range(budget):
        most_loaded = max(units_by_endpoint, key=lambda name: (len(units_by_endpoint[name]), name))
        least_loaded = min(
            units_by_endpoint, key=lambda name: (len(units_by_endpoint[name]), name)
        )
        if len(units_by_endpoint[most_loaded]) - len(units_by_endpoint[least_loaded]) <= 1:
            return
        unit = units_by_endpoint[most_loaded].pop()
        units_by_endpoint[least_loaded].append(unit)
        yield Move(unit, most_loaded, least_loaded, CAUSE_BALANCE)
