"""Holders of one service's keys, as the leader records them.

Keys are granted in units of ``KEYS_PER_UNIT`` neighbouring keys. They are not stored: each
report lists all keys that its endpoint holds. A new leader reconstructs the holders from the
reports and grants the remaining keys after all holds of earlier leaders have expired. Until then
it relies on a report only as far as that was certainly sent in its own term.
"""

from greengagerock.assignment.balance import (
    assign_stripes,
    choose_neighbours,
    choose_stripes,
    desired_counts,
    plan_moves,
)
from greengagerock.assignment.endpoint_weights import EndpointWeights
from greengagerock.assignment.free_units import FreeUnits
from greengagerock.assignment.hot_units import HotUnitPlanner
from greengagerock.assignment.response_room import FULL_ROWS, ResponseRoom
from greengagerock.assignment.settled_holdings import MovableUnits, settled_counts
from greengagerock.assignment.takeover_claims import TakeoverClaims
from greengagerock.assignment.units import (
    UNIT_COUNT,
    fences_by_unit,
    grant_rows,
    stripe_width,
    tokens_by_unit,
)
from greengagerock.assignment.untaken_grants import UntakenGrants
from greengagerock.assignment.zone_handover import ZoneHandover
from greengagerock.model.timing import PAUSE_ALLOWANCE_S

# Largest clock drift of an endpoint: the infrastructure's protocol allows its clock to run
# 2 % slow.
MAX_CLOCK_DRIFT_SHARE = 0.02
# Wait for more endpoints before the first assignment, since later moves disturb callers.
FIRST_ASSIGNMENT_WAIT_S = 2.0
# Endpoints that report early get at most this multiple of an equal share of the free keys, so
# that keys are without a holder for only a part of the report interval.
MAX_POOL_QUOTA_FACTOR = 4.0
# Time for which released keys are reserved for their target; then any endpoint may get them.
RESERVATION_S = 2.5
# A source releases keys only if the next report of their target is due within this time.
HANDOVER_WINDOW_S = 0.3
# Number of report intervals for which a target waits for a source that reports just before it.
ALIGNMENT_WAIT_INTERVALS = 2
# Shortest time from a source's report to its target's: an endpoint needs up to 0.1 s to report
# that it has released keys.
HANDOVER_MIN_S = 0.08

# Hot units move although the holders of this many units are unknown to a new leader. Units that
# were in transit when the leader changed stay unknown until all earlier holds have expired.
MAX_UNREPORTED_UNITS = UNIT_COUNT // 10


def lessor_hold_s(hold_s):
    """Return the time after which a hold has expired for certain, in the lessor's clock.

    Args:
        hold_s: Length of the hold in the endpoint's clock, in seconds.
    """
    return hold_s * (1 + MAX_CLOCK_DRIFT_SHARE) + PAUSE_ALLOWANCE_S


class KeyAssignments:
    """The holders of one service's keys.

    Args:
        service: Name of the service.
        next_fence: Callable that takes the highest known fence and returns a higher one.
        on_owner_changed: Called with a unit and the name of its new owner, empty if it has none.
        earlier_holds_end_s: When all holds granted by earlier leaders have expired.
        report_interval_s: Usual time between two reports of an endpoint.
        is_evacuated: Callable that returns whether an instance is in an evacuated zone, from which
            all keys move away.

    Attributes:
        owners: The ``EndpointInstance`` that holds each unit, or ``None``.
        fences: Newest known fence of each unit.
        highest_fence: Highest known fence of all units.
        held: Set of units that each instance holds.
        free_units: The ``FreeUnits``.
        unreported_units: Units that may be held by an endpoint that has not reported to this
            leader yet.
        claims: The ``TakeoverClaims``.
        releasing: For each instance, the units that it has to release, with the time at which
            its hold on them expires.
        handover_tokens: Token of the last holder, by unit.
        planned_moves: List of (target, units) pairs by source.
        weights: The ``EndpointWeights``.
        hot_units: The ``HotUnitPlanner``.
        zone_handover: The ``ZoneHandover``.
        room: The ``ResponseRoom``.
        untaken: The ``UntakenGrants``.
        next_plan_s: Earliest time of the next plan while planned moves remain.
        waiting_since_s: Since when each target of planned moves has waited for units.
        first_report_s: When the first report arrived, or ``None``.
        is_assigned: Whether the keys have been assigned for the first time.
        stripe_units: Number of units in a stripe.
        peak_free_count: Largest number of free units since there were last none.
        moved_unit_count: Number of units released so far.
    """

    def __init__(
        self,
        service,
        next_fence,
        on_owner_changed,
        earlier_holds_end_s,
        report_interval_s,
        is_evacuated=lambda instance: False,
    ):
        self.service = service
        self.next_fence = next_fence
        self.on_owner_changed = on_owner_changed
        self.earlier_holds_end_s = earlier_holds_end_s
        self.report_interval_s = report_interval_s
        self.is_evacuated = is_evacuated
        self.owners = [None] * UNIT_COUNT
        self.fences = [0] * UNIT_COUNT
        self.highest_fence = 0
        self.held = {}
        self.free_units = FreeUnits()
        self.unreported_units = set(range(UNIT_COUNT))
        self.claims = TakeoverClaims()
        self.releasing = {}
        self.handover_tokens = {}
        self.planned_moves = {}
        self.weights = EndpointWeights()
        self.hot_units = HotUnitPlanner()
        self.zone_handover = ZoneHandover(self, (HANDOVER_MIN_S, HANDOVER_WINDOW_S), FULL_ROWS)
        self.room = ResponseRoom(self)
        self.untaken = UntakenGrants(report_interval_s)
        self.next_plan_s = 0.0
        self.waiting_since_s = {}
        self.first_report_s = None
        self.is_assigned = False
        self.stripe_units = 1
        self.peak_free_count = 0
        self.moved_unit_count = 0

    # --- Reports -------------------------------------------------------------------

    def process_report(self, instance, instances, now_s, hold_s):
        """Process a report and return the keys that its endpoint is to hold.

        Args:
            instance: The ``EndpointInstance`` that reported.
            instances: All instances of the service.
            now_s: Monotonic time in seconds.
            hold_s: Length of the hold in seconds.

        Returns:
            A tuple of ``GrantRow`` objects.
        """
        if self.first_report_s is None:
            self.first_report_s = now_s
        reported = fences_by_unit(instance.report.holds)
        is_proven = self.claims.is_proven(instance, reported, self.held.get(instance, ()))
        self._drop_unlisted_claims(instance, reported, now_s)
        self._adopt_reported(instance, reported)
        if is_proven:
            self._confirm_claims(instance, reported)
        self._drop_confirmed_tokens(instance, reported)
        self._collect_released(instance, reported, now_s)
        self._end_untaken(instance, reported, now_s)
        if self._has_open_claims(instance, now_s):
            self._probe(instance, now_s)
        elif instance.is_leaving:
            self.release(instance, list(self.held.get(instance, ())), now_s)
        elif self.is_evacuated(instance):
            self._release_evacuated(instance, instances, now_s)
        else:
            self.zone_handover.forget(instance)
            self._release_moves(instance, now_s)
            self._grant_free(instance, instances, now_s)
        self.room.shorten(instance, now_s)
        instance.hold_until_s = now_s + lessor_hold_s(hold_s)
        return self.rows(instance)

    def end(self, instance, now_s):
        """Free the units of an instance that has ended for certain.

        Units that it only claimed may be held by another instance.
        """
        units = [*self.held.get(instance, ()), *self.releasing.get(instance, ())]
        for unit in units:
            self._give_up(unit, now_s)
        self.held.pop(instance, None)
        self.claims.probes.pop(instance, None)
        self.planned_moves.pop(instance, None)
        self.weights.forget(instance.name)
        self.hot_units.forget(instance)
        self.untaken.forget(instance)
        self.room.forget(instance)
        self.zone_handover.forget(instance)

    def clear_owners(self, instance):
        """Report the units of a leaving instance as having no owner, before its hold expires."""
        for unit in self.held.get(instance, ()):
            self.on_owner_changed(unit, "")

    def advance(self, instances, now_s):
        """Free units whose holds have expired, and make the first assignment when it is due.

        Args:
            instances: All instances of the service.
            now_s: Monotonic time in seconds.
        """
        if self.unreported_units and now_s >= self.earlier_holds_end_s:
            for unit in self.unreported_units:
                self.free_units.add(unit)
                self.on_owner_changed(unit, "")
            self.unreported_units = set()
            self.claims.probes = {}
        for instance in [instance for instance in self.held if instance.hold_until_s <= now_s]:
            for unit in list(self.held[instance]):
                self._give_up(unit, now_s)
        releasing = [pair for units in self.releasing.values() for pair in units.items()]
        for unit in [unit for unit, until_s in releasing if until_s <= now_s]:
            self._free_unit(unit)
        self.free_units.expire(now_s, lambda target: not self._accepts_units(target))
        self._assign_all(instances, now_s)

    def plan_balance_moves(self, instances, now_s):
        """Plan moves of units that even out the load."""
        self.weights.adjust(now_s)
        if not self.is_assigned or self.unreported_units:
            return
        if self.free_units.unreserved:
            # Units without a holder are granted first; moves planned earlier no longer fit.
            self.planned_moves = {}
            return
        if any(self.planned_moves.values()) and now_s < self.next_plan_s:
            return
        reserved = self.free_units.reserved
        if any(unit not in reserved for units in self.releasing.values() for unit in units):
            return
        self.next_plan_s = now_s + 2 * self.report_interval_s
        available = self._available(instances, now_s)
        counts = settled_counts(available, self.held, reserved, self.hot_units, self.next_holder)
        if not counts:
            return
        desired = desired_counts(counts, self._weight_of)
        movable = MovableUnits(self.held, self.hot_units)
        self.planned_moves = plan_moves(
            counts, desired, movable, self.stripe_units, self._is_aligned_or_overdue
        )
        targets = {target for planned in self.planned_moves.values() for target, _ in planned}
        self.waiting_since_s = {
            instance: self.waiting_since_s.get(instance, now_s) for instance in targets
        }

    def plan_rebalancing(self, instances, now_s):
        """Compare the loads of endpoints, so that hot units can be spread over more of them."""
        available = self._available(instances, now_s)
        if available and len(self.unreported_units) <= MAX_UNREPORTED_UNITS:
            self.hot_units.plan(available, self, now_s)

    def next_holder(self, unit):
        """Return the ``EndpointInstance`` that holds a unit or is about to get it, or ``None``."""
        reservation = self.free_units.reserved.get(unit)
        return self.owners[unit] if reservation is None else reservation.target

    def _accepts_units(self, instance):
        return not (instance.is_leaving or self.is_evacuated(instance))

    def _weight_of(self, instance):
        return self.weights.weight(instance.name)

    def _has_waited(self, target, now_s):
        """Return whether a target has waited long enough for a source that reports before it.

        Reports come at nearly equal intervals, so there may never be such a source. The target
        then gets keys from any source, although they are without a holder for longer. A target
        without keys does not have to wait.
        """
        if target not in self.held:
            return True
        waited_s = now_s - self.waiting_since_s.get(target, now_s)
        return waited_s > ALIGNMENT_WAIT_INTERVALS * self.report_interval_s

    def _is_aligned_or_overdue(self, source, target):
        """Return whether units may move, as the reports are aligned or the target has waited."""
        if self._has_waited(target, max(target.last_report_s, source.last_report_s)):
            return True
        return self._is_aligned(source, target)

    def _is_aligned(self, source, target):
        """Return whether a target usually reports soon after a source."""
        gap_s = (target.last_report_s - source.last_report_s) % self.report_interval_s
        return HANDOVER_MIN_S < gap_s < HANDOVER_WINDOW_S

    # --- Changes of single units ---------------------------------------------------

    def _set_owner(self, instance, unit, fence):
        previous = self.owners[unit]
        if previous is not None and previous is not instance:
            self._remove_held(previous, unit)
        self.owners[unit] = instance
        self.held.setdefault(instance, set()).add(unit)
        self.fences[unit] = fence
        self.highest_fence = max(self.highest_fence, fence)
        self.free_units.remove(unit)
        self.unreported_units.discard(unit)
        self._end_release(previous, unit)
        self.on_owner_changed(unit, instance.name)

    def _give_up(self, unit, now_s, handover_token=""):
        """Free a unit, unless it was only claimed and another instance may hold it."""
        if unit in self.claims.units and now_s < self.earlier_holds_end_s:
            self._remove_owner(unit)
            self.unreported_units.add(unit)
            self.on_owner_changed(unit, "")
        else:
            self._free_unit(unit, handover_token)

    def _remove_owner(self, unit):
        holder = self.owners[unit]
        if holder is not None:
            self._remove_held(holder, unit)
        self.owners[unit] = None
        self._end_release(holder, unit)
        self.handover_tokens.pop(unit, None)
        self.claims.discard(unit)

    def _free_unit(self, unit, handover_token=""):
        self._remove_owner(unit)
        if handover_token:
            self.handover_tokens[unit] = handover_token
        self.free_units.add(unit)
        self.peak_free_count = max(self.peak_free_count, len(self.free_units.free))
        self.on_owner_changed(unit, "")

    def _end_release(self, instance, unit):
        units = self.releasing.get(instance)
        if units is not None:
            units.pop(unit, None)
            if not units:
                del self.releasing[instance]

    def _remove_held(self, instance, unit):
        units = self.held.get(instance)
        if units is not None:
            units.discard(unit)
            if not units:
                del self.held[instance]

    # --- Steps of processing a report ----------------------------------------------

    def _adopt_reported(self, instance, reported):
        """Record holders of units that an earlier leader granted."""
        for unit, fence in reported.items():
            self.highest_fence = max(self.highest_fence, fence)
            holder = self.owners[unit]
            if holder is instance:
                self.fences[unit] = max(self.fences[unit], fence)
            elif holder is None and fence >= self.fences[unit]:
                if unit not in self.free_units.reserved:
                    self._set_owner(instance, unit, fence)
                    self.claims.add(unit)
            elif holder is not None and fence > self.fences[unit]:
                self._set_owner(instance, unit, fence)
                self.claims.add(unit)

    def _drop_unlisted_claims(self, instance, reported, now_s):
        """Drop units that an older report of the instance claimed and this one does not list."""
        if not self.claims.units:
            return
        held = self.held.get(instance, ())
        for unit in [u for u in held if u in self.claims.units and u not in reported]:
            self._give_up(unit, now_s)

    def _confirm_claims(self, instance, reported):
        """Note that a report which was sent in this term lists units.

        The response with the probe answered a report that listed the units which it left out.
        """
        held = self.held.get(instance, ())
        self.claims.units.difference_update(unit for unit in reported if unit in held)
        self.claims.units.difference_update(self.releasing.get(instance, ()))
        probe = self.claims.probes.pop(instance, None)
        if probe is not None and probe.unit in held:
            self.claims.note_granted(probe.unit, probe.fence)

    def _has_open_claims(self, instance, now_s):
        """Return whether no unit of the instance may move yet, since others may hold them."""
        if now_s >= self.earlier_holds_end_s:
            return False
        return not self.claims.units.isdisjoint(self.held.get(instance, ()))

    def _probe(self, instance, now_s):
        """Choose a unit that the instance gets with a new fence in the response.

        One unit is left out if the others are to leave soon, since the instance then reports again
        at once.
        """
        probe = self.claims.probes.get(instance)
        held = self.held[instance]
        if probe is None or probe.unit not in held:
            # The instance may accept this fence and end before it reports it.
            self.highest_fence = self.next_fence(self.highest_fence)
            self.claims.set_probe(instance, min(held), self.highest_fence)
        is_urgent = not self._accepts_units(instance)
        if is_urgent and len(held) > 1 and instance not in self.releasing:
            unit = max(held - {self.claims.probes[instance].unit})
            self.release(instance, [unit], now_s)

    def _drop_confirmed_tokens(self, instance, reported):
        """Drop handover tokens that the new holder has received."""
        for unit in self.held.get(instance, ()):
            if unit in self.handover_tokens and unit in reported:
                del self.handover_tokens[unit]

    def _end_untaken(self, instance, reported, now_s):
        """Leave units out of the response that several earlier ones granted in vain."""
        granted = self.held.get(instance, set()) - self.claims.units
        units = self.untaken.note_report(instance, granted, reported, now_s)
        if units:
            self.release(instance, units, now_s)

    def _collect_released(self, instance, reported, now_s):
        tokens = tokens_by_unit(instance.report.freed)
        self.room.note_tokens(tokens.values())
        for unit in [u for u in self.releasing.get(instance, ()) if u not in reported]:
            self._give_up(unit, now_s, tokens.get(unit, ""))

    def release(self, instance, units, now_s, target=None):
        """Leave units out of the response; they become free once a report no longer lists them."""
        # The hold may be one of an earlier leader.
        until_s = max(instance.hold_until_s, self.earlier_holds_end_s)
        for unit in units:
            self._remove_held(instance, unit)
            self.releasing.setdefault(instance, {})[unit] = until_s
            self.on_owner_changed(unit, "")
            if target is not None:
                self.free_units.reserve(unit, target, now_s + RESERVATION_S)
                self.hot_units.note_release((unit,), now_s)
        self.moved_unit_count += len(units)

    def _release_evacuated(self, instance, instances, now_s):
        """Release a batch of the keys of an endpoint in an evacuated zone."""
        self.planned_moves.pop(instance, None)
        available = self._available(instances, now_s)
        for target, units in self.zone_handover.next_batch(instance, available, now_s):
            self.release(instance, units, now_s, target)

    def _release_moves(self, instance, now_s):
        for chunk in self.hot_units.release(instance, self, self._is_aligned, now_s):
            if self._accepts_units(chunk.target):
                units = self._movable_units(instance, chunk.units, now_s)
                self.release(instance, units, now_s, chunk.target)
        planned = self.planned_moves.get(instance)
        if not planned:
            return
        remaining = []
        for target, units in planned:
            due_in_s = target.next_report_s(self.report_interval_s) - now_s
            if not self._accepts_units(target):
                continue
            is_soon = HANDOVER_MIN_S < due_in_s < HANDOVER_WINDOW_S
            if is_soon or self._has_waited(target, now_s):
                units = self._movable_units(instance, units, now_s)
                self.release(instance, units, now_s, target)
            else:
                remaining.append((target, units))
        self.planned_moves[instance] = remaining

    def _movable_units(self, instance, units, now_s):
        """Return those of the units that an instance holds and that have not just moved."""
        held = self.held.get(instance, ())
        return [u for u in units if u in held and self.zone_handover.may_move(u, now_s)]

    def _grant_free(self, instance, instances, now_s):
        """Grant free units to an instance that has just reported."""
        granted = self.free_units.reserved_for(instance)
        if self.is_assigned and self.free_units.unreserved:
            available = self.hot_units.without_isolated(self._available(instances, now_s))
            if instance in available:
                desired = desired_counts(available, self._weight_of)[instance]
                quota = desired - len(self.held.get(instance, ())) - len(granted)
                if not self.weights.is_bounded_cold(instance.name):
                    quota = max(quota, self._pool_quota(len(available)))
                granted += self._choose_free(instance, self.free_units.unreserved, quota)
        if not granted:
            return
        fence = self.next_fence(self.highest_fence)
        for unit in self.room.choose_fitting(instance, granted, fence, now_s):
            self._set_owner(instance, unit, fence)
            self.claims.note_granted(unit, fence)
        if not self.free_units.free:
            self.peak_free_count = 0

    def _pool_quota(self, endpoint_count):
        """Return how many free units one of several endpoints gets at most."""
        factor = min(MAX_POOL_QUOTA_FACTOR, max(1.5, endpoint_count / 4))
        return int(factor * self.peak_free_count / max(endpoint_count, 1))

    def _choose_free(self, instance, free_units, quota):
        """Choose free units, as far as the response may have room for rows.

        When it is full, only neighbours of the units already held are chosen: once all of them
        have the same fence, they need no further row.
        """
        width = self.stripe_units
        has_tokens = any(unit in self.handover_tokens for unit in free_units)
        free_rows = self.room.rows_left(instance, has_tokens)
        chosen = choose_stripes(free_units, quota, width, free_rows)
        if quota - len(chosen) < width or len(chosen) == len(free_units):
            return chosen
        held = self.held.get(instance, set())
        chosen += choose_neighbours(
            free_units.difference(chosen), held, quota - len(chosen), width
        )
        return chosen

    def _assign_all(self, instances, now_s):
        """Assign all keys to instances for the first time, in narrow stripes."""
        if self.is_assigned or self.first_report_s is None or self.unreported_units:
            return
        if len(self.free_units.free) < UNIT_COUNT:
            # Some units have a holder, so an earlier leader assigned the keys of this service.
            self.is_assigned = True
            self.stripe_units = stripe_width(len(instances))
            return
        if now_s - self.first_report_s < FIRST_ASSIGNMENT_WAIT_S:
            return
        available = self._available(instances, now_s)
        if not available:
            return
        self.is_assigned = True
        self.stripe_units = stripe_width(len(available))
        for unit, instance in assign_stripes(UNIT_COUNT, self.stripe_units, available):
            self.free_units.reserve(unit, instance, now_s + RESERVATION_S)

    def _available(self, instances, now_s):
        """Return the instances that accept units and whose reports are not overdue.

        Those that have not taken their grants are left out while there are others.
        """
        overdue_s = 2 * self.report_interval_s
        available = [
            instance
            for instance in instances
            if self._accepts_units(instance) and now_s - instance.last_report_s < overdue_s
        ]
        return [i for i in available if not self.untaken.is_avoided(i, now_s)] or available

    def rows(self, instance):
        """Return the ``GrantRow`` objects of all units that an instance holds."""
        units = self.held.get(instance, ())
        return grant_rows(units, self.granted_fences(instance), self.handover_tokens)

    def granted_fences(self, instance):
        """Return the fence of each unit in a response to an instance."""
        probe = self.claims.probes.get(instance)
        if probe is None:
            return self.fences
        fences = self.fences.copy()
        fences[probe.unit] = max(fences[probe.unit], probe.fence)
        return fences
