"""Hand-over of keys from the endpoints of evacuated availability zones."""

from greengagerock.assignment.balance import desired_counts
from greengagerock.assignment.hot_units import units_of_block

# An endpoint's keys leave in about this many batches. It reports released keys within 0.1 s and
# gets the next batch in the response, so all have left about 0.4 s after its first report. More
# batches would need as many more reports, each of which lists all keys that are left.
BATCH_COUNT = 4
# Time from the first report of an evacuated endpoint after which its remaining keys are released
# even if no target reports soon. By then each target has reported once.
LATEST_RELEASE_S = 1.2
# Time for which a unit that was handed over stays at its target. An order that is withdrawn at
# once would otherwise move the same keys twice.
SETTLING_S = 2.0
# Age at which the counts of targets are taken anew; in between, they follow the batches.
TARGETS_INTERVAL_S = 0.2


class HandoverTarget:
    """An endpoint that can get keys.

    Attributes:
        instance: Its ``EndpointInstance``.
        units: Number of units that it holds or that are reserved for it.
        rows: How full its response is, if no two stripes are neighbours.
        rate: Requests per second for these units.
        fair_units: Number of units that it should hold.
        fair_rate: Requests per second that it should get.
    """

    __slots__ = ("fair_rate", "fair_units", "instance", "rate", "rows", "units")

    def __init__(self, instance, units, rows, rate, fair_units, fair_rate):
        self.instance = instance
        self.units = units
        self.rows = rows
        self.rate = rate
        self.fair_units = fair_units
        self.fair_rate = fair_rate

    def level(self):
        """Return how full it is, 1.0 for its fair share of the units and of the requests."""
        return max(self.units / self.fair_units, self.rate / (self.fair_rate or 1.0))


class Progress:
    """Hand-over of the keys of one endpoint.

    Attributes:
        started_s: When it reported first since the order.
        batch_units: Number of units of a batch.
    """

    __slots__ = ("batch_units", "started_s")

    def __init__(self, started_s, batch_units):
        self.started_s = started_s
        self.batch_units = batch_units


class ZoneHandover:
    """Chooses which keys leave an evacuated endpoint, and where they go.

    It answers the load of a whole zone within seconds: the busiest keys leave first, each batch
    goes to those targets that report next, and among them to the one with the most room.

    Args:
        assignments: The ``KeyAssignments`` of the service.
        handover_due_s: Shortest and longest time until a target's report, in seconds, for which a
            key that goes there is without a holder for a short time only.
        max_rows: Number of rows that a full response counts as.

    Attributes:
        progress: ``Progress`` by evacuated ``EndpointInstance``.
        targets: A ``HandoverTarget`` by instance.
        targets_s: When the targets were last counted.
        settling_until_s: For each unit that was handed over, when it may move again.
    """

    __slots__ = (
        "assignments",
        "handover_due_s",
        "max_rows",
        "progress",
        "settling_until_s",
        "targets",
        "targets_s",
    )

    def __init__(self, assignments, handover_due_s, max_rows):
        self.assignments = assignments
        self.handover_due_s = handover_due_s
        self.max_rows = max_rows
        self.progress = {}
        self.targets = {}
        self.targets_s = float("-inf")
        self.settling_until_s = {}

    def next_batch(self, source, available, now_s):
        """Choose the units that an evacuated endpoint releases in the response to its report.

        Args:
            source: The ``EndpointInstance`` that has reported.
            available: Instances of other zones that accept keys.
            now_s: Monotonic time in seconds.

        Returns:
            A list of (target, units) pairs, empty if no endpoint of another zone can get keys.
        """
        held = self.assignments.held.get(source)
        if not held or not available:
            return []
        if source not in self.progress:
            self.progress[source] = Progress(now_s, -(-len(held) // BATCH_COUNT))
        progress = self.progress[source]
        self._count_targets(available, now_s)
        targets, is_soon = self._next_targets(now_s)
        stripes = self._busiest_stripes(held)
        if is_soon:
            quota = progress.batch_units
        elif now_s - progress.started_s < LATEST_RELEASE_S:
            # One released stripe makes the endpoint report again after 0.1 s.
            quota = 1
            stripes = stripes[-1:]
        else:
            quota = len(held)
        return self._distribute(stripes, targets, quota, now_s)

    def may_move(self, unit, now_s):
        """Return whether a unit has not been handed over just now."""
        until_s = self.settling_until_s.get(unit)
        if until_s is None:
            return True
        if until_s <= now_s:
            del self.settling_until_s[unit]
            return True
        return False

    def forget(self, instance):
        """Drop the data of an instance that has ended or whose zone is no longer evacuated."""
        self.progress.pop(instance, None)

    def _distribute(self, stripes, targets, quota, now_s):
        """Give each stripe to the target with the most room, until there are ``quota`` units."""
        units_by_target = {}
        count = 0
        for units, rate in stripes:
            if count >= quota:
                break
            target = min(targets, key=HandoverTarget.level)
            if target.rows < self.max_rows:
                target.rows += 1
            else:
                # A stripe next to keys that the target holds needs no row of its own.
                target = self._neighbour_of(units)
                if target is None:
                    continue
            count += len(units)
            target.units += len(units)
            target.rate += rate
            units_by_target.setdefault(target.instance, []).extend(units)
            for unit in units:
                self.settling_until_s[unit] = now_s + SETTLING_S
        return list(units_by_target.items())

    def _neighbour_of(self, units):
        """Return the emptiest target that holds keys next to a stripe, or ``None``."""
        holders = [self._holder_of(unit) for unit in (units[0] - 1, units[-1] + 1)]
        targets = [self.targets[holder] for holder in holders if holder in self.targets]
        return min(targets, key=HandoverTarget.level, default=None)

    def _holder_of(self, unit):
        """Return the instance that holds a unit or that it is reserved for, or ``None``."""
        reservation = self.assignments.free_units.reserved.get(unit)
        if reservation is not None:
            return reservation.target
        owners = self.assignments.owners
        return owners[unit] if 0 <= unit < len(owners) else None

    def _next_targets(self, now_s):
        """Return the targets that report next, and whether they do so within the window."""
        shortest_s, longest_s = self.handover_due_s
        interval_s = self.assignments.report_interval_s
        targets = [t for t in self.targets.values() if t.rows < self.max_rows]
        due_s = {}
        for target in targets or self.targets.values():
            wait_s = target.instance.next_report_s(interval_s) - now_s
            due_s[target] = wait_s if wait_s > shortest_s else wait_s % interval_s
            if due_s[target] <= shortest_s:
                due_s[target] += interval_s
        soon = [target for target, wait_s in due_s.items() if wait_s < longest_s]
        return soon or [min(due_s, key=due_s.get)], bool(soon)

    def _busiest_stripes(self, held):
        """Return pairs of the held units of a stripe and their rate, the busiest first."""
        width = self.assignments.stripe_units
        stripes = {}
        for unit in sorted(held):
            stripes.setdefault(unit // width, []).append(unit)
        rates = self._unit_rates(held)
        pairs = [(units, sum(rates[unit] for unit in units)) for units in stripes.values()]
        return sorted(pairs, key=lambda pair: pair[1], reverse=True)

    def _unit_rates(self, units):
        """Return the requests per second of each unit."""
        loads = self.assignments.hot_units.block_loads
        rates = dict.fromkeys(units, 0.0)
        for block in loads.counts:
            members = units_of_block(block)
            for unit in members:
                if unit in rates:
                    rates[unit] += loads.rate(block) / len(members)
        return rates

    def _count_targets(self, available, now_s):
        """Count units, rows and requests of the targets, unless that was done just now."""
        is_recent = now_s - self.targets_s < TARGETS_INTERVAL_S
        if is_recent and self.targets.keys() == set(available):
            return
        assignments = self.assignments
        self.targets_s = now_s
        reserved = assignments.free_units.reserved
        reserved_counts = dict.fromkeys(available, 0)
        for reservation in reserved.values():
            if reservation.target in reserved_counts:
                reserved_counts[reservation.target] += 1
        rates = dict.fromkeys(available, 0.0)
        for unit, rate in self._unit_rates(range(len(assignments.owners))).items():
            if rate and self._holder_of(unit) in rates:
                rates[self._holder_of(unit)] += rate
        fair_counts = desired_counts(available, lambda i: assignments.weights.weight(i.name))
        total_rate = sum(rates.values())
        self.targets = {
            i: HandoverTarget(
                i,
                len(assignments.held.get(i, ())) + reserved_counts[i],
                self.max_rows
                - assignments.room.rows_left(i)
                + -(-reserved_counts[i] // assignments.stripe_units),
                rates[i],
                fair_counts[i],
                total_rate * fair_counts[i] / len(assignments.owners),
            )
            for i in available
        }
