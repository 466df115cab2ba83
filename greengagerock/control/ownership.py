"""Ownership decisions of the leader: which units move, and when they may be granted."""

from greengagerock.control.commands import (
    Assignment,
    EndpointChanged,
    GrantUnits,
    OperatorChange,
    RevokeUnits,
)
from greengagerock.control.zone_monitors import routers_released
from greengagerock.model import NO_OWNER, STATE_LOST, Unit
from greengagerock.placement import CAUSE_BALANCE, CAUSE_UNPIN, Move, plan_moves

# Largest number of units in one command of the replicated log.
MAX_UNITS_PER_COMMAND = 4096
# Time after which placement is planned again although the routes have not changed.
REPLAN_INTERVAL_S = 5.0
# Capacity of a ``MoveBudget``.
MAX_BALANCE_MOVES_AT_ONCE = 16
# Largest batch whose units are recorded one by one in the timeline.
MAX_UNITS_RECORDED = 64
# Time without a joining endpoint before the units of a new service get their first owners.
JOIN_SETTLE_S = 0.6
SECONDS_PER_HOUR = 3600.0


class MoveBudget:
    """Token bucket that limits the balance moves of a service.

    Attributes:
        tokens: Moves allowed now.
        refilled_s: When it was last refilled, in monotonic seconds.
    """

    __slots__ = ("refilled_s", "tokens")

    def __init__(self, now_s):
        self.tokens = float(MAX_BALANCE_MOVES_AT_ONCE)
        self.refilled_s = now_s

    def available(self, now_s, moves_per_hour):
        """Refill and return the number of whole moves allowed now."""
        gained = (now_s - self.refilled_s) * moves_per_hour / SECONDS_PER_HOUR
        self.tokens = min(float(MAX_BALANCE_MOVES_AT_ONCE), self.tokens + gained)
        self.refilled_s = now_s
        return int(self.tokens) if moves_per_hour else 0

    def spend(self, moves):
        """Remove the tokens of planned moves."""
        self.tokens -= moves


class OwnershipPlanner:
    """Plans moves of units and carries them out safely.

    A unit leaves a working endpoint in two steps: it is revoked, and granted to
    its next owner only after the old owner can no longer act on it. Units of a lost
    endpoint that refuses requests once its own lease has expired are granted to their
    next owner in one step.

    Args:
        controller: The ``Controller`` that proposes the commands.

    Attributes:
        budgets: A ``MoveBudget`` by service name.
        planned_version: Route version of the newest plan, or -1 to plan again.
        planned_s: When the newest plan was made, in monotonic seconds.
        pending_index: Log index of the newest proposal.
        routers_released_s: When all routers were first found to have released a unit, by unit.
        joined_s: When the newest change of an endpoint was applied, by service name.
    """

    def __init__(self, controller):
        self.controller = controller
        self.budgets = {}
        self.reset()

    def reset(self):
        """Discard everything that is not in the replicated state."""
        self.planned_version = -1
        self.planned_s = float("-inf")
        self.pending_index = 0
        self.routers_released_s = {}
        self.joined_s = {}

    def on_applied(self, command):
        """Plan again at the next tick if a command changed an input of placement."""
        if isinstance(command, EndpointChanged):
            self.joined_s[command.endpoint.service] = self.controller.timers.now_s
        if isinstance(command, (OperatorChange, EndpointChanged, GrantUnits)):
            self.planned_version = -1

    def plan(self):
        """Propose the next moves, unless an earlier proposal is not yet applied."""
        if self.pending_index > self.controller.voter.applied_index:
            return
        self._grant_released()
        if self.pending_index > self.controller.voter.applied_index:
            return
        now_s = self.controller.timers.now_s
        version = self.controller.state.routes.version
        if version == self.planned_version and now_s - self.planned_s < REPLAN_INTERVAL_S:
            return
        self.planned_version = version
        self.planned_s = now_s
        for service in list(self.controller.state.routes.services.values()):
            if not service.keyed:
                continue
            if self._is_starting(service):
                self.planned_version = -1
            else:
                self._plan_service(service)

    def _is_starting(self, service):
        """Return whether a service has no owners yet and endpoints are still joining.

        Endpoints that start together should share the units from the beginning.
        Otherwise the first one would receive all units and lose most of them again.
        """
        owners = self.controller.state.routes.owners.get(service.name, ())
        if any(owner.fence for owner in owners):
            return False
        joined_s = self.joined_s.get(service.name, float("-inf"))
        return self.controller.timers.now_s - joined_s < JOIN_SETTLE_S

    # --- New moves -----------------------------------------------------------------

    def planned_moves(self, service, routes, budget):
        """Return the moves that placement plans for one service."""
        transfers = self.controller.state.transfers
        units = [
            (Unit(service.name, slot), owner.endpoint)
            for slot, owner in enumerate(routes.owners.get(service.name, ()))
            if Unit(service.name, slot) not in transfers
        ]
        units += [
            (unit, owner.endpoint)
            for unit, owner in routes.pins.items()
            if unit.service == service.name and unit not in transfers
        ]
        return plan_moves(units, routes.endpoints_of(service.name), budget)

    def _plan_service(self, service):
        now_s = self.controller.timers.now_s
        budget = self.budgets.setdefault(service.name, MoveBudget(now_s))
        allowed = budget.available(now_s, service.moves_per_hour)
        if any(unit.service == service.name for unit in self.controller.state.transfers):
            allowed = 0
        moves = self.planned_moves(service, self.controller.state.routes, allowed)
        moves = self._with_unpinning(service, moves)
        budget.spend(sum(1 for move in moves if move.cause == CAUSE_BALANCE))
        single_step = [move for move in moves if self._is_single_step(move)]
        two_step = [move for move in moves if not self._is_single_step(move)]
        for cause, group in group_by_cause(single_step):
            self._propose_grants([Assignment(m.unit, m.target) for m in group], cause)
        for cause, group in group_by_cause(two_step):
            self._propose_revokes([Assignment(m.unit, m.target) for m in group], cause)

    def _with_unpinning(self, service, moves):
        """Add moves of pins that are to be removed to the owner of their slot."""
        state = self.controller.state
        kept = [move for move in moves if move.unit not in state.unpinning]
        for pin in sorted(state.unpinning):
            if pin.service != service.name or pin in state.transfers:
                continue
            target = state.routes.owner_of(Unit(pin.service, pin.slot)).endpoint
            source = state.routes.owner_of(pin).endpoint
            if target and target != source:
                kept.append(Move(pin, source, target, CAUSE_UNPIN))
        return kept

    def _is_single_step(self, move):
        """Return whether the unit may be granted without being revoked first."""
        if not move.source:
            return self.controller.state.routes.owner_of(move.unit) == NO_OWNER
        source = self.controller.state.routes.endpoints.get(move.source)
        return source is not None and source.state == STATE_LOST and source.checks_orders

    # --- Second step ---------------------------------------------------------------

    def _grant_released(self):
        ready = {}
        for transfer in list(self.controller.state.transfers.values()):
            if not self._is_released(transfer):
                continue
            target = self._final_target(transfer)
            if target:
                ready.setdefault(transfer.cause, []).append(Assignment(transfer.unit, target))
        for cause, grants in ready.items():
            self._propose_grants(grants, cause)

    def _is_released(self, transfer):
        routes = self.controller.state.routes
        source = routes.endpoints.get(transfer.source)
        has_restarted = source is None or source.incarnation != transfer.source_incarnation
        if source is not None and source.checks_orders:
            if has_restarted or source.state == STATE_LOST:
                return True
            key = (transfer.source, transfer.source_incarnation)
            return self.controller.applied_versions.get(key, 0) >= transfer.revoked_at
        return self._routers_released(transfer, source)

    def _routers_released(self, transfer, source):
        """Return whether no router can still send to a source that does not check fences."""
        service = self.controller.state.routes.services.get(transfer.unit.service)
        if service is None:
            return True
        now_s = self.controller.timers.now_s
        zone_monitors = self.controller.all_zone_monitors()
        zone = source.zone if source else ""
        release = routers_released(zone_monitors, transfer.revoked_at, zone, service, now_s)
        if not release.free:
            return False
        is_acknowledged = all(
            monitor.acknowledged >= transfer.revoked_at for monitor in zone_monitors
        )
        if is_acknowledged or source is None or source.state == STATE_LOST:
            return True
        # A router whose lease has expired may have requests in flight until their deadline.
        released_s = self.routers_released_s.setdefault(transfer.unit, now_s)
        return now_s - released_s > service.timeout_s

    def _final_target(self, transfer):
        """Return the planned target, or another endpoint if it accepts no new requests."""
        routes = self.controller.state.routes
        target = routes.endpoints.get(transfer.target)
        if target is not None and target.accepts_new_requests:
            return target.name
        endpoints = routes.endpoints_of(transfer.unit.service)
        moves = plan_moves([(transfer.unit, "")], endpoints, 0)
        return moves[0].target if moves else ""

    # --- Proposals -----------------------------------------------------------------

    def _propose_grants(self, grants, cause):
        at_us = self.controller.timeline.wall_clock_us()
        for batch in split_assignments(grants):
            self.pending_index = self.controller.propose(GrantUnits(batch, cause, at_us))
            self._record_assignments("units-granted", batch, cause)
        for grant in grants:
            self.routers_released_s.pop(grant.unit, None)

    def _propose_revokes(self, moves, cause):
        at_us = self.controller.timeline.wall_clock_us()
        for batch in split_assignments(moves):
            self.pending_index = self.controller.propose(RevokeUnits(batch, cause, at_us))
            self._record_assignments("units-revoked", batch, cause)

    def _record_assignments(self, kind, batch, cause):
        timeline = self.controller.timeline
        timeline.record(kind, detail=f"cause={cause} units={len(batch)}")
        if len(batch) <= MAX_UNITS_RECORDED:
            for assignment in batch:
                unit = f"{assignment.unit.service}/{assignment.unit.label}"
                timeline.record(kind.replace("units", "unit"), assignment.endpoint, unit, cause)
        self.controller.outbox.log(kind, cause=cause, units=len(batch))


def group_by_cause(moves):
    """Return pairs of a cause and its moves, in order of first appearance."""
    groups = {}
    for move in moves:
        groups.setdefault(move.cause, []).append(move)
    return list(groups.items())


def split_assignments(assignments):
    """Split assignments into commands of bounded size."""
    count = MAX_UNITS_PER_COMMAND
    return [tuple(assignments[i : i + count]) for i in range(0, len(assignments), count)]
