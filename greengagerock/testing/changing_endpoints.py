"""Endpoints that join, leave, crash and refuse rows, in virtual time, with tokens of any length.

The endpoints take a response only if its encoding is short enough, as the infrastructure says.
They report to one service's ``KeyAssignments``; there are no requests.
"""

from greengagerock.assignment import FreedRange, HeldRange, KeyAssignments, ReportResponse
from greengagerock.assignment.instance_directory import EndpointInstance
from greengagerock.assignment.response_size import MAX_TAKEN_BYTES
from greengagerock.assignment.units import KEYS_PER_UNIT, UNIT_COUNT
from greengagerock.control.fence_counter import FenceCounter
from greengagerock.testing.item_builders import build_report

STEP_S = 0.05
REPORT_INTERVAL_S = 1.0
RELEASE_REPORT_S = 0.1
HOLD_S = 6.0
# Time for which an endpoint serves after its first report that it leaves.
DRAIN_S = 3.0


class ChangingEndpoint:
    """An endpoint that holds keys as the reports' protocol says.

    Attributes:
        instance: Its ``EndpointInstance`` at the leader.
        fences: Fence by unit that it holds.
        until_s: End of its hold.
        seen: Highest fence that it has received, by unit.
        freed: Pairs of a unit and its handover token, released since its last response.
        due_s: When it reports next.
        ends_s: When it ends, or ``None``.
        lost_responses: Number of its next responses that do not reach it.
    """

    def __init__(self, instance, due_s):
        self.instance = instance
        self.fences = {}
        self.until_s = 0.0
        self.seen = {}
        self.freed = []
        self.due_s = due_s
        self.ends_s = None
        self.lost_responses = 0

    def make_report(self, now_s):
        """Return its next report."""
        if self.until_s <= now_s:
            self.fences = {}
        return build_report(
            self.instance.name,
            sequence=self.instance.report.sequence + 1,
            draining=self.ends_s is not None,
            holds=tuple(
                HeldRange(unit * KEYS_PER_UNIT, (unit + 1) * KEYS_PER_UNIT - 1, fence)
                for unit, fence in sorted(self.fences.items())
            ),
            freed=tuple(
                FreedRange(unit * KEYS_PER_UNIT, (unit + 1) * KEYS_PER_UNIT - 1, token)
                for unit, token in self.freed
            ),
        )

    def take(self, rows, now_s, make_token):
        """Take the rows of a response; return whether units were released."""
        self.freed = []
        taken = {}
        for row in rows:
            units = range(row.first // KEYS_PER_UNIT, row.last // KEYS_PER_UNIT + 1)
            if all(self.seen.get(unit, 0) <= row.fence for unit in units):
                taken |= dict.fromkeys(units, row.fence)
        self.seen |= taken
        released = sorted(self.fences.keys() - taken.keys())
        token = ""
        for number, unit in enumerate(released):
            # Neighbours that are released together have one token.
            if number == 0 or released[number - 1] != unit - 1:
                token = make_token()
            self.freed.append((unit, token))
        self.fences = taken
        self.until_s = now_s + HOLD_S
        return bool(released)


class ChangingEndpoints:
    """Drives endpoints and the ``KeyAssignments`` of their service.

    Args:
        encode: Function that returns the body of a ``ReportResponse``.
        token_length: Length of handover tokens in characters.
        term: Term of the leader, from which the size of its fences follows.

    Attributes:
        assignments: The ``KeyAssignments``.
        endpoints: All ``ChangingEndpoint`` objects that have not ended.
        now_s: Virtual time in seconds.
        largest_body: Size of the largest body in bytes.
        untaken_count: Number of responses that were too long to be taken.
    """

    def __init__(self, encode, token_length, term=1):
        self.encode = encode
        self.token_length = token_length
        self.now_s = 0.0
        self.endpoints = []
        self.joined_count = 0
        self.token_count = 0
        self.largest_body = 0
        self.untaken_count = 0
        self.assignments = KeyAssignments(
            "till", FenceCounter(term).issue, lambda unit, owner: None, 0.0, REPORT_INTERVAL_S
        )

    def join(self, count=1):
        """Start endpoints, whose reports are spread over an interval."""
        for _ in range(count):
            self.joined_count += 1
            name = f"till-{self.joined_count}"
            instance = EndpointInstance(build_report(name, number=self.joined_count), self.now_s)
            due_s = self.now_s + self.joined_count * 0.37 % REPORT_INTERVAL_S
            self.endpoints.append(ChangingEndpoint(instance, due_s))

    def leave(self, endpoint):
        """Let an endpoint report that it leaves, and end it some seconds later."""
        if endpoint.ends_s is None:
            endpoint.ends_s = self.now_s + DRAIN_S
            endpoint.due_s = self.now_s

    def crash(self, endpoint):
        """End an endpoint that says nothing."""
        self.endpoints.remove(endpoint)

    def refuse(self, endpoint, first, last):
        """Let an endpoint refuse rows with some units, as if it had seen higher fences."""
        for unit in range(first, last + 1):
            endpoint.seen[unit] = 1 << 62

    def run_for(self, seconds):
        """Advance the time in steps.

        Raises:
            AssertionError: If two endpoints hold a unit.
        """
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for endpoint in list(self.endpoints):
                if endpoint.ends_s is not None and endpoint.ends_s <= self.now_s:
                    self.endpoints.remove(endpoint)
                    self.assignments.end(endpoint.instance, self.now_s)
                elif endpoint.due_s <= self.now_s:
                    self._report(endpoint)
            instances = self.instances()
            self.assignments.advance(instances, self.now_s)
            self.assignments.plan_balance_moves(instances, self.now_s)
            self._check_holders()

    def time_until_all_held_s(self, limit_s):
        """Advance until all units are held; return the time that it took, ``inf`` if too long.

        Units in transit have no holder until their target reports, so one moment shows little.
        """
        began_s = self.now_s
        while self.count_unheld() > 0:
            if self.now_s - began_s > limit_s:
                return float("inf")
            self.run_for(STEP_S)
        return self.now_s - began_s

    def instances(self):
        """Return the instances of all endpoints that have not ended."""
        return [endpoint.instance for endpoint in self.endpoints]

    def count_unheld(self):
        """Return the number of units that no endpoint holds."""
        held = set()
        for endpoint in self.endpoints:
            if endpoint.until_s > self.now_s:
                held |= endpoint.fences.keys()
        return UNIT_COUNT - len(held)

    def _report(self, endpoint):
        instance = endpoint.instance
        instance.report = endpoint.make_report(self.now_s)
        instance.last_report_s = self.now_s
        if instance.report.draining and instance.leaving_since_s is None:
            instance.leaving_since_s = self.now_s
        rows = self.assignments.process_report(instance, self.instances(), self.now_s, HOLD_S)
        size = len(self.encode(ReportResponse("", rows, HOLD_S)))
        self.largest_body = max(self.largest_body, size)
        is_lost = endpoint.lost_responses > 0
        endpoint.lost_responses -= is_lost
        has_released = False
        if size > MAX_TAKEN_BYTES:
            self.untaken_count += 1
        elif not is_lost:
            has_released = endpoint.take(rows, self.now_s, self._make_token)
        endpoint.due_s = self.now_s + (RELEASE_REPORT_S if has_released else REPORT_INTERVAL_S)

    def _make_token(self):
        self.token_count += 1
        return f"{self.token_count:x}".rjust(self.token_length, "0")[-self.token_length :]

    def _check_holders(self):
        holders = {}
        for endpoint in self.endpoints:
            if endpoint.until_s > self.now_s:
                for unit in endpoint.fences:
                    other = holders.setdefault(unit, endpoint)
                    assert other is endpoint, f"unit {unit} has two holders at {self.now_s:.2f} s"
