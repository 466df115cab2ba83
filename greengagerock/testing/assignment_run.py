"""Endpoints that report to one service's ``KeyAssignments`` in virtual time, without requests."""

from greengagerock.assignment import FreedRange, HeldRange, KeyAssignments
from greengagerock.assignment.instance_directory import EndpointInstance
from greengagerock.assignment.response_size import rows_bytes
from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.testing.item_builders import build_report

STEP_S = 0.05
REPORT_INTERVAL_S = 1.0
RELEASE_REPORT_S = 0.1
HOLD_S = 6.0


class AssignmentRun:
    """Drives the reports of endpoints, and counts of requests by block.

    Args:
        endpoint_count: Number of endpoints.
        rates: Requests per second by block; may be changed between steps.

    Attributes:
        assignments: The ``KeyAssignments``.
        now_s: Virtual time in seconds.
        grants: Tuples of time, unit and endpoint name of each grant.
        releases: Number of units and rows that each report gave up.
        largest_response: Largest size of the rows of a response in bytes.
    """

    def __init__(self, endpoint_count, rates):
        self.now_s = 0.0
        self.rates = rates
        self.grants = []
        self.releases = []
        self.largest_response = 0
        self.assignments = KeyAssignments(
            "till", lambda highest: highest + 1, self._note_owner, 0.0, REPORT_INTERVAL_S
        )
        self.instances = [
            EndpointInstance(build_report(f"till-{number}", number=number), 0.0)
            for number in range(endpoint_count)
        ]
        self._due_s = {
            instance: index * REPORT_INTERVAL_S / endpoint_count
            for index, instance in enumerate(self.instances)
        }
        self._rows = dict.fromkeys(self.instances, ())
        self._freed = dict.fromkeys(self.instances, ())

    def run_for(self, seconds):
        """Advance the time in steps."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            counts = {block: rate * STEP_S for block, rate in self.rates.items()}
            self.assignments.hot_units.block_loads.add_requests(counts, self.now_s)
            for instance in self.instances:
                if self._due_s[instance] <= self.now_s:
                    self._report(instance)
            self.assignments.advance(self.instances, self.now_s)
            self.assignments.plan_balance_moves(self.instances, self.now_s)
            self.assignments.plan_rebalancing(self.instances, self.now_s)

    def _report(self, instance):
        instance.report = build_report(
            instance.name,
            sequence=instance.report.sequence + 1,
            holds=tuple(HeldRange(row.first, row.last, row.fence) for row in self._rows[instance]),
            freed=self._freed[instance],
        )
        instance.last_report_s = self.now_s
        held_before = set(self.assignments.held.get(instance, ()))
        rows = self.assignments.process_report(instance, self.instances, self.now_s, HOLD_S)
        released = held_before - self.assignments.held.get(instance, set())
        self._freed[instance] = tuple(
            FreedRange(unit * KEYS_PER_UNIT, (unit + 1) * KEYS_PER_UNIT - 1, f"token-{unit}")
            for unit in released
        )
        self._rows[instance] = rows
        self.largest_response = max(self.largest_response, rows_bytes(rows))
        self.releases.append(len(released))
        self._due_s[instance] = self.now_s + (RELEASE_REPORT_S if released else REPORT_INTERVAL_S)

    def _note_owner(self, unit, endpoint):
        if endpoint:
            self.grants.append((self.now_s, unit, endpoint))


def shortest_stay_s(grants):
    """Return the shortest time between two grants of a unit to different endpoints.

    Args:
        grants: Tuples of time, unit and endpoint name in order of time.

    Examples:
        >>> shortest_stay_s([(1.0, 7, "a"), (4.0, 7, "a"), (6.0, 7, "b")])
        2.0
    """
    last, shortest = {}, float("inf")
    for time_s, unit, endpoint in grants:
        previous_s, previous = last.get(unit, (float("-inf"), endpoint))
        if previous != endpoint:
            shortest = min(shortest, time_s - previous_s)
        last[unit] = (time_s, endpoint)
    return shortest
