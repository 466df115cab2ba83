"""Limits of cold endpoints in one leader's term, and the demand for them."""

import math

from greengagerock.control.limit_state import DecayingRate, LimitState
from greengagerock.view import LimitShare, encode_delta

# Time after the beginning of a cold phase in which the demand measured before counts as well: the
# reports of all routers show it within a second.
EXPECTATION_S = 1.5
# Change of the end of a cold phase from which on routers are sent it. Reports are delayed by
# different times, which must not cause messages.
MIN_END_CHANGE_S = 0.25
# Time constant of the mean of the demand that follows changes soon. With that of other limits,
# half as long, the larger mean of 5 requests a second is too high by a half.
FAST_DECAY_S = 1.5
# Time constant with which a demand that was sent falls. A mean over 1.5 s of 5 requests a second
# is a quarter of the demand by chance now and then; routers would send four times too much.
SENT_DECAY_S = 3.0
# Relative changes of the demand from which on it is sent again, and the shortest time between.
# Random admission plans for a rise to three times the demand.
MAX_DEMAND_RISE = 1.25
MAX_DEMAND_FALL = 0.5
DEMAND_INTERVAL_S = 0.5
# The end of a cold phase is sent to routers for this long.
END_RETENTION_S = 5.0
# Shares by demand are sent with each message to at most this many routers. If they are more, all
# get the same, and only after a change, so that the messages stay small.
MAX_UNEQUAL_ROUTERS = 16
# Time for which packed changes are sent to further routers; the times in them are too long
# by so much.
PACKED_VALIDITY_S = 0.1
# Size of the range of numbers of each term; numbers of a term are below those of the next.
NUMBERS_PER_TERM = 1 << 24


class ColdState(LimitState):
    """The limit of one endpoint instance while it is cold; ``None`` once it is warm.

    Args:
        started_ms: Start of the instance, in milliseconds since 1970.
        now_s: Monotonic time in seconds.

    Attributes:
        until_s: When it is warm, or since when.
        sent_until_s: What of this was last sent to routers.
        expected_per_s: Requests per second that are expected at first, or ``None`` if unknown.
        number: Number of its last change.
        sent_demand_per_s: Demand that was last sent to routers, or ``None``.
        demand_sent_s: When that was.
    """

    __slots__ = (
        "demand_sent_s",
        "expected_per_s",
        "number",
        "sent_demand_per_s",
        "sent_until_s",
        "until_s",
    )

    def __init__(self, started_ms, now_s):
        super().__init__(started_ms, now_s)
        self.fast_rate = DecayingRate(FAST_DECAY_S, now_s)
        self.until_s = self.sent_until_s = now_s
        self.expected_per_s = None
        self.number = 0
        self.sent_demand_per_s = None
        self.demand_sent_s = float("-inf")

    def demand_per_s(self, now_s):
        """Return the requests per second of all routers, or ``None`` if that is not known yet."""
        measured_per_s = super().demand_per_s(now_s)
        if self.sent_demand_per_s is not None:
            factor = math.exp(-(now_s - self.demand_sent_s) / SENT_DECAY_S)
            measured_per_s = max(measured_per_s or 0.0, factor * self.sent_demand_per_s)
        if self.expected_per_s is None or now_s - self.since_s >= EXPECTATION_S:
            return measured_per_s
        return max(self.expected_per_s, measured_per_s or 0.0)

    def is_demand_outdated(self, now_s):
        """Return whether routers should be sent the present demand."""
        demand_per_s = self.demand_per_s(now_s)
        if demand_per_s is None or now_s - self.demand_sent_s < DEMAND_INTERVAL_S:
            return False
        sent_per_s = self.sent_demand_per_s
        if sent_per_s is None:
            return True
        return not MAX_DEMAND_FALL * sent_per_s <= demand_per_s <= MAX_DEMAND_RISE * sent_per_s


class ColdShares:
    """The cold endpoints of one term, as their reports say, and the demand that routers report.

    Nothing of it outlives the term: the next leader derives it from the next reports.

    Args:
        term: The leader's term.

    Attributes:
        states: ``ColdState`` objects by endpoint name, also of endpoints that have become warm
            in the last seconds.
        number: Number of the newest change.
        packed: Packed changes by what a router has.
        packed_s: When the first of them was packed.

    Examples:
        >>> shares = ColdShares()
        >>> shares.note_cold("e1", 1000, 3.5, 13.0, 10.0, 5.0)
        True
        >>> share, = shares.shares_for("r1", 68, 0, True, 10.5)
        >>> share.limit_per_s, share.demand_per_s, share.left_s
        (3.5, 5.0, 2.5)
        >>> shares.shares_for("r1", 68, shares.number, True, 10.5)
        ()
    """

    __slots__ = ("number", "packed", "packed_s", "states")

    def __init__(self, term=0):
        self.states = {}
        self.number = term * NUMBERS_PER_TERM + 1
        self.packed = {}
        self.packed_s = float("-inf")

    def is_cold(self, endpoint, started_ms):
        """Return whether an instance is recorded as cold."""
        state = self.states.get(endpoint)
        return (
            state is not None and state.started_ms == started_ms and state.limit_per_s is not None
        )

    def note_cold(self, endpoint, started_ms, requests_per_s, until_s, now_s, expected_per_s=None):
        """Record that an instance is cold until a time; return whether routers need to know."""
        if self.is_cold(endpoint, started_ms):
            state = self.states[endpoint]
            is_changed = (
                state.limit_per_s != requests_per_s
                or abs(until_s - state.sent_until_s) > MIN_END_CHANGE_S
            )
        else:
            state = self.states[endpoint] = ColdState(started_ms, now_s)
            state.expected_per_s = expected_per_s
            is_changed = True
        state.limit_per_s = requests_per_s
        state.until_s = until_s
        if is_changed:
            self._change(state)
        return is_changed

    def note_warm(self, endpoint, started_ms, now_s):
        """Record that an instance is warm; return whether it was cold."""
        if not self.is_cold(endpoint, started_ms):
            return False
        state = self.states[endpoint]
        state.limit_per_s = None
        state.until_s = now_s
        self._change(state)
        return True

    def drop_ended(self, now_s):
        """Drop the instances that became warm some seconds ago."""
        for name, state in list(self.states.items()):
            if state.limit_per_s is None and now_s - state.until_s > END_RETENTION_S:
                del self.states[name]

    def on_reports(self, router, reports, now_s):
        """Add a router's requests for cold endpoints.

        Args:
            router: Link address of the router.
            reports: ``LimitReport`` objects by endpoint name.
            now_s: Monotonic time in seconds.
        """
        for name, report in reports.items():
            if self.is_cold(name, report.started_ms):
                self.states[name].add_demand(router, report.requests, now_s)

    def publish_demands(self, now_s):
        """Record demands that have changed as changes; return whether one has risen."""
        has_risen = False
        for state in self.states.values():
            if state.limit_per_s is not None and state.is_demand_outdated(now_s):
                previous_per_s, state.sent_demand_per_s = (
                    state.sent_demand_per_s,
                    state.demand_per_s(now_s),
                )
                has_risen |= state.sent_demand_per_s > (previous_per_s or 0.0)
                state.demand_sent_s = now_s
                self._change(state)
        return has_risen

    def shares_for(self, router, router_count, since, is_settled, now_s):
        """Return the ``LimitShare`` objects that a router lacks.

        Args:
            router: Link address of the router.
            router_count: Number of routers.
            since: Number up to which the router has the changes.
            is_settled: Whether all routers have found the leader.
            now_s: Monotonic time in seconds.
        """
        is_unequal = is_settled and router_count <= MAX_UNEQUAL_ROUTERS
        return tuple(
            LimitShare(
                name,
                state.started_ms,
                0.0,
                state.limit_per_s,
                state.share_of(router, router_count, now_s) if is_unequal else None,
                state.demand_per_s(now_s) if is_settled else None,
                0.0 if state.limit_per_s is None else max(0.0, state.until_s - now_s),
            )
            for name, state in self.states.items()
            if is_unequal or state.number > since
        )

    def packed_for(self, router, router_count, since, is_settled, now_s):
        """Return the packed shares of ``shares_for``, or ``None`` if there are none.

        Routers that get the same shares get the same bytes, which are packed once.
        """
        if not self.states:
            return None
        if is_settled and router_count <= MAX_UNEQUAL_ROUTERS:
            return self._pack(router, router_count, since, is_settled, now_s)
        if now_s - self.packed_s > PACKED_VALIDITY_S:
            self.packed, self.packed_s = {}, now_s
        position = (since, self.number, is_settled)
        if position not in self.packed:
            self.packed[position] = self._pack("", router_count, since, is_settled, now_s)
        return self.packed[position]

    def _pack(self, router, router_count, since, is_settled, now_s):
        shares = self.shares_for(router, router_count, since, is_settled, now_s)
        return encode_delta(shares) if shares else None

    def _change(self, state):
        self.number += 1
        state.number = self.number
        state.sent_until_s = state.until_s
