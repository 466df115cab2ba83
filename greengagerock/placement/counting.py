"""Placement that evens out the number of units an endpoint owns."""

import heapq

import msgspec

from greengagerock.model import STATE_DRAINING, Unit

CAUSE_FIRST = "first-owner"
CAUSE_LOST = "endpoint-lost"
CAUSE_DRAIN = "drain"
CAUSE_BALANCE = "balance"
CAUSE_UNPIN = "unpin"

# Balance moves start only above this excess over the mean, so that noise moves nothing.
HYSTERESIS_SHARE = 0.10


class Move(msgspec.Struct, frozen=True):
    """A unit and the endpoint that shall own it.

    Attributes:
        unit: The unit.
        source: Present owner, or the empty string.
        target: Next owner.
        cause: Why it moves.
    """

    unit: Unit
    source: str
    target: str
    cause: str


def plan_moves(units, endpoints, budget):
    """Choose owners for units that need one, then even out.

    Units without a usable owner go to the endpoints with the fewest units.
    Pinned keys do not count: a key is pinned to be placed apart from the rest, and
    a new pin must not set off a move. Then, while the most loaded endpoint exceeds
    the mean by more than the hysteresis, single units move from it to the least
    loaded one.

    Args:
        units: Pairs of unit and owner name, for every unit of one service that is
            not being moved already.
        endpoints: All endpoints of the service.
        budget: Number of balance moves allowed now.

    Returns:
        A tuple of moves; forced moves come first.

    Examples:
        >>> from greengagerock.model import Endpoint
        >>> a = Endpoint("a", "till", "z1", "127.0.0.1:1", "i1")
        >>> plan_moves([(Unit("till", 0), "")], [a], 0)[0].target
        'a'
    """
    targets = {e.name: [] for e in endpoints if e.takes_work}
    if not targets:
        return ()
    states = {e.name: e for e in endpoints}
    homeless = []
    for unit, owner in units:
        if owner not in targets:
            homeless.append((unit, owner))
        elif not unit.key:
            targets[owner].append(unit)
    forced = _place_all(homeless, targets, states)
    return tuple(forced) + tuple(_even_out(targets, budget))


def _place_all(homeless, targets, states):
    """Give each unit to the endpoint that has the fewest at that moment."""
    heap = [(len(units), name) for name, units in targets.items()]
    heapq.heapify(heap)
    moves = []
    for unit, owner in homeless:
        count, target = heapq.heappop(heap)
        heapq.heappush(heap, (count + 1, target))
        if not unit.key:
            targets[target].append(unit)
        moves.append(Move(unit, owner, target, _cause(owner, states)))
    return moves


def _cause(owner, states):
    if not owner:
        return CAUSE_FIRST
    if owner in states and states[owner].state == STATE_DRAINING:
        return CAUSE_DRAIN
    return CAUSE_LOST


def _even_out(targets, budget):
    total = sum(len(units) for units in targets.values())
    mean = total / len(targets)
    limit = max(mean * (1 + HYSTERESIS_SHARE), mean + 1)
    if max(len(units) for units in targets.values()) <= limit:
        return
    for _ in range(budget):
        high = max(targets, key=lambda name: (len(targets[name]), name))
        low = min(targets, key=lambda name: (len(targets[name]), name))
        if len(targets[high]) - len(targets[low]) <= 1:
            return
        unit = targets[high].pop()
        targets[low].append(unit)
        yield Move(unit, high, low, CAUSE_BALANCE)
