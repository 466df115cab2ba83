"""Grants that an endpoint has not taken.

A grant counts as given once it is decided, since the endpoint may have taken it. An endpoint
whose reports do not list it has refused the row, or does not get the responses. Such grants are
ended after a few reports, so that other endpoints get the keys, or this one gets another grant.
"""

# Successive reports that do not list a unit which the responses to earlier ones granted.
MAX_MISSED_REPORTS = 4
# Shortest time over which these reports are spread, in report intervals. An endpoint that releases
# keys reports several times within an interval.
MISSED_INTERVALS = 2.0
# Time for which the endpoint then gets no units that another one can get.
AVOIDED_S = 10.0


class UntakenGrants:
    """Counts the reports that do not list units which their endpoint was granted.

    Args:
        report_interval_s: Usual time between two reports of an endpoint.

    Attributes:
        missing: For each instance, pairs of the number of reports that did not list a unit and
            the time of the first of them, by unit.
        avoided_until_s: Until when an instance gets no units that another one can get.
        ended_count: Number of units whose grants were ended.

    Examples:
        >>> untaken = UntakenGrants(1.0)
        >>> [untaken.note_report("e1", {7, 8}, {7: 90}, float(t)) for t in range(4)]
        [[], [], [], [8]]
    """

    __slots__ = ("avoided_until_s", "ended_count", "missing", "report_interval_s")

    def __init__(self, report_interval_s):
        self.report_interval_s = report_interval_s
        self.missing = {}
        self.avoided_until_s = {}
        self.ended_count = 0

    def note_report(self, instance, granted, reported, now_s):
        """Return the units whose grants are to be ended.

        Args:
            instance: The instance that has reported.
            granted: Units that the responses to its earlier reports granted.
            reported: The fence of each unit that it lists.
            now_s: Monotonic time in seconds.
        """
        earlier = self.missing.pop(instance, {})
        missing = {}
        for unit in granted:
            if unit not in reported:
                count, first_s = earlier.get(unit, (0, now_s))
                missing[unit] = count + 1, first_s
        if not missing:
            return []
        self.missing[instance] = missing
        earliest_s = now_s - MISSED_INTERVALS * self.report_interval_s
        ended = sorted(
            unit
            for unit, (count, first_s) in missing.items()
            if count >= MAX_MISSED_REPORTS and first_s <= earliest_s
        )
        if ended:
            self.ended_count += len(ended)
            self.avoided_until_s[instance] = now_s + AVOIDED_S
        return ended

    def is_avoided(self, instance, now_s):
        """Return whether an instance has not taken its grants just before."""
        return self.avoided_until_s.get(instance, now_s) > now_s

    def forget(self, instance):
        """Drop the data of an instance that has ended."""
        self.missing.pop(instance, None)
        self.avoided_until_s.pop(instance, None)
