"""Which keys fit into the response to a report.

It answers many keys that become free at once, with handover tokens of any length: an endpoint gets
as many as one response has room for and the others with its next report. Those that would wait for
longer come at once, without their tokens: keys without a token are slow for a while, keys without
a holder are not served. Keys that an endpoint holds already always stay in the response, since it
releases those that are left out.
"""

from greengagerock.assignment.reports import KEY_COUNT, GrantRow
from greengagerock.assignment.response_size import MAX_ROWS_BYTES, row_bytes, rows_bytes
from greengagerock.assignment.units import KEYS_PER_UNIT, grant_rows

# Length of the tokens that are expected until one has been seen.
USUAL_TOKEN_CHARACTERS = 16
# Number of rows by which moves are planned: a full response counts as this many.
FULL_ROWS = 140
# Report intervals for which free keys wait for room for their tokens: until the next report.
MAX_WAIT_INTERVALS = 1.5


class ResponseRoom:
    """Keeps the responses to reports short enough to be taken.

    Args:
        assignments: The ``KeyAssignments`` of the service.

    Attributes:
        longest_token: Longest handover token of the service so far.
        full_since_s: Since when the responses to an instance have not had room for all keys that
            it was to get.
        dropped_token_count: Number of tokens that were left out to shorten a response.
    """

    __slots__ = ("assignments", "dropped_token_count", "full_since_s", "longest_token")

    def __init__(self, assignments):
        self.assignments = assignments
        self.longest_token = "0" * USUAL_TOKEN_CHARACTERS
        self.full_since_s = {}
        self.dropped_token_count = 0

    def note_tokens(self, tokens):
        """Note the handover tokens of a report."""
        self.longest_token = max((self.longest_token, *tokens), key=len)

    def rows_left(self, instance, has_tokens=True):
        """Return how many new rows the next response to an instance has room for.

        Args:
            instance: The ``EndpointInstance``.
            has_tokens: Whether the new rows have tokens.
        """
        token = self.longest_token if has_tokens else ""
        return self._rows_left_beside(self.assignments.rows(instance), token)

    def count_rows(self, instance):
        """Return how full the response is once tokens are confirmed; ``FULL_ROWS`` fill it.

        Units in transit count as a row each.
        """
        assignments = self.assignments
        held = assignments.held.get(instance, ())
        rows = grant_rows(held, assignments.granted_fences(instance), {})
        reserved_count = assignments.free_units.count_reserved(instance)
        return FULL_ROWS - self._rows_left_beside(rows, "") + reserved_count

    def choose_fitting(self, instance, units, fence, now_s):
        """Return those of the free units that fit into the response to an instance.

        If they do not all fit, the units that it holds get the fence too, so that neighbours
        share a row.

        Args:
            instance: The ``EndpointInstance``.
            units: Free units.
            fence: Fence of the new grant.
            now_s: Monotonic time in seconds.
        """
        if self._fits(instance, units, fence):
            self.full_since_s.pop(instance, None)
            return units
        self._renew_fences(instance, fence)
        runs = self._runs(units, instance)
        fitting_count = self._count_fitting(instance, runs, fence)
        full_since_s = self.full_since_s.setdefault(instance, now_s)
        has_waited = now_s - full_since_s > MAX_WAIT_INTERVALS * self.assignments.report_interval_s
        if has_waited or len(runs) > 2 * fitting_count:
            for run in runs[self._count_tokens(instance, runs, fence) :]:
                self._drop_tokens(run)
            if self._fits(instance, units, fence):
                self.full_since_s.pop(instance, None)
                return units
            fitting_count = self._count_fitting(instance, runs, fence)
        return _units_of_runs(runs[:fitting_count])

    def forget(self, instance):
        """Drop the data of an instance that has ended."""
        self.full_since_s.pop(instance, None)

    def shorten(self, instance, now_s):
        """Make the response to an instance short enough, whatever it holds.

        Tokens are left out first: keys without one are slow for a while, keys that are released
        have no holder.
        """
        assignments = self.assignments
        if rows_bytes(assignments.rows(instance)) <= MAX_ROWS_BYTES:
            return
        self._renew_fences(instance, assignments.next_fence(assignments.highest_fence))
        rows = assignments.rows(instance)
        excess_bytes = rows_bytes(rows) - MAX_ROWS_BYTES
        for row in sorted(rows, key=lambda row: len(row.handover_token), reverse=True):
            if excess_bytes <= 0 or not row.handover_token:
                break
            plain_row = GrantRow(row.first, row.last, row.fence)
            excess_bytes -= row_bytes(row) - row_bytes(plain_row)
            self._drop_tokens(_units_of(row))
        probed_unit = assignments.claims.probed_unit(instance)
        for row in sorted(assignments.rows(instance), key=lambda row: row.last - row.first):
            if excess_bytes <= 0:
                break
            units = _units_of(row)
            if probed_unit not in units:
                excess_bytes -= row_bytes(row)
                assignments.release(instance, units, now_s)

    def _rows_left_beside(self, rows, token):
        """Return how many new rows with a token a response has room for beside others."""
        fence = self.assignments.highest_fence + 1
        new_row = GrantRow(KEY_COUNT - 1, KEY_COUNT - 1, fence, token)
        return max(0, (MAX_ROWS_BYTES - rows_bytes(rows)) // row_bytes(new_row))

    def _fits(self, instance, units, fence, units_without_token=()):
        assignments = self.assignments
        tokens = assignments.handover_tokens
        if units_without_token:
            tokens = {u: t for u, t in tokens.items() if u not in units_without_token}
        fences = assignments.granted_fences(instance).copy()
        for unit in units:
            fences[unit] = fence
        held = assignments.held.get(instance, set()).union(units)
        return rows_bytes(grant_rows(held, fences, tokens)) <= MAX_ROWS_BYTES

    def _count_fitting(self, instance, runs, fence):
        """Return how many of the runs fit, from the first one on."""
        return _largest(
            len(runs), lambda count: self._fits(instance, _units_of_runs(runs[:count]), fence)
        )

    def _count_tokens(self, instance, runs, fence):
        """Return how many of the runs can keep their tokens, from the first one on, if all fit."""
        units = _units_of_runs(runs)
        return _largest(
            len(runs),
            lambda count: self._fits(instance, units, fence, set(_units_of_runs(runs[count:]))),
        )

    def _runs(self, units, instance):
        """Return lists of neighbouring units with one token, which need a row each.

        Those next to units that the instance holds come first: they need no further row once it
        has their tokens.
        """
        tokens = self.assignments.handover_tokens
        held = self.assignments.held.get(instance, ())
        runs = []
        for unit in sorted(units):
            last = runs[-1][-1] if runs else None
            if last is not None and last + 1 == unit and tokens.get(last) == tokens.get(unit):
                runs[-1].append(unit)
            else:
                runs.append([unit])
        return sorted(runs, key=lambda run: not (run[0] - 1 in held or run[-1] + 1 in held))

    def _renew_fences(self, instance, fence):
        """Give all units of an instance one fence, unless others may hold some of them."""
        assignments = self.assignments
        held = assignments.held.get(instance, ())
        if not assignments.claims.units.isdisjoint(held):
            return
        assignments.highest_fence = max(assignments.highest_fence, fence)
        for unit in held:
            assignments.fences[unit] = fence
            assignments.claims.note_granted(unit, fence)

    def _drop_tokens(self, units):
        for unit in units:
            if self.assignments.handover_tokens.pop(unit, None) is not None:
                self.dropped_token_count += 1


def _largest(limit, is_possible):
    """Return the largest count up to ``limit`` that is possible, if all smaller ones are."""
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if is_possible(middle):
            low = middle
        else:
            high = middle - 1
    return low


def _units_of_runs(runs):
    return [unit for run in runs for unit in run]


def _units_of(row):
    """Return the units of a ``GrantRow``."""
    return range(row.first // KEYS_PER_UNIT, row.last // KEYS_PER_UNIT + 1)
