"""Detection of lost endpoints and partitions, from failures to connect and responses.

It answers load under which endpoints accept connections late: a connect timeout alone is a sign
of load as long as endpoints of the same service or availability zone respond.
"""

from collections import Counter

# Number of endpoints of a group that could not be connected to, without a response of any endpoint
# of the group since, before the group counts as lost. A smaller group must be lost as a whole,
# with as many failures: one slow endpoint is not a partition.
# An endpoint that sent no response to a request until its deadline counts as well if one could not
# be connected to: requests on open connections hang longer than attempts to connect.
MIN_LOST_ENDPOINTS = 3
# Time without any response of a group before it counts as lost. A router of a large site gets
# about five responses of a group a second. With 1 s, busy endpoints counted as lost in
# ``test_late_connections.py``.
LOSS_SPAN_S = 1.5
# Number of endpoints that could not be connected to since the last response of their group from
# which on the group is suspected to be lost, if it has not responded for the given time.
MIN_SUSPECT_ENDPOINTS = 2
SUSPECT_SPAN_S = 0.5
# Number of consecutive connect timeouts of the only endpoint that may run a request, and the time
# from the begin of the first one, after which it counts as lost although others of its groups
# respond. A request is tried twice, so this takes four requests. With half of them, endpoints that
# accepted two of three connections in time counted as lost.
MIN_TIMEOUTS = 8
TIMEOUTS_SPAN_S = 3.0


class PartitionDetector:
    """Tells which endpoints and groups of endpoints a router has presumably lost.

    The endpoints of a service and those of an availability zone are groups. An endpoint that has
    not been tried since the partition began is presumed lost with its group, so that no request is
    sent to it on an open connection that no longer works.

    Args:
        replica: The ``ViewReplica``.
        timers: The timer service.
        outbox: Receives log lines.
        on_partition: Callable that is called when a group counts as lost.

    Attributes:
        failing_since_s: Time of the first failure to connect since the last response of a group,
            by group.
        lost_by_group: Numbers of failures to connect since the last response of a group, by group,
            a pair of kind and name, and by endpoint.
        lost_groups: Groups that count as lost.
        responded_s: Time of the last response of each group over an own connection.
        silent_by_group: Names of endpoints that did not respond to a request until its deadline
            while none of the group responded, by group.
        timeouts: Number of consecutive connect timeouts and begin of the first, by endpoint.
    """

    __slots__ = (
        "failing_since_s",
        "lost_by_group",
        "lost_groups",
        "on_partition",
        "outbox",
        "replica",
        "responded_s",
        "silent_by_group",
        "timeouts",
        "timers",
    )

    def __init__(self, replica, timers, outbox, on_partition):
        self.replica = replica
        self.timers = timers
        self.outbox = outbox
        self.on_partition = on_partition
        self.failing_since_s = {}
        self.lost_by_group = {}
        self.lost_groups = set()
        self.responded_s = {}
        self.silent_by_group = {}
        self.timeouts = {}

    def note_failure(self, record):
        """Record that an endpoint could not be connected to."""
        for group in groups_of(record):
            self.lost_by_group.setdefault(group, Counter())[record.name] += 1
            self.failing_since_s.setdefault(group, self.timers.now_s)
        self.is_presumed_lost(record)

    def note_timeout(self, record, began_s, is_only_one=False):
        """Record a connect timeout; return whether it is a sign of load and not of a loss.

        Args:
            record: The ``EndpointRecord``.
            began_s: When the attempt began.
            is_only_one: Whether no other endpoint may run the request.
        """
        now_s = self.timers.now_s
        count, first_s = self.timeouts.get(record.name, (0, began_s))
        if is_only_one:
            count += 1
            self.timeouts[record.name] = (count, first_s)
        self.note_failure(record)
        if self.is_presumed_lost(record):
            return False
        if count >= MIN_TIMEOUTS and now_s - first_s >= TIMEOUTS_SPAN_S:
            return False
        since_s = min(began_s, now_s - LOSS_SPAN_S)
        return any(self._responded_s(group) >= since_s for group in groups_of(record))

    def note_no_response(self, record, sent_s):
        """Record a request that got no response on an open connection until its deadline.

        Args:
            record: The ``EndpointRecord``.
            sent_s: When the request was sent.
        """
        for group in groups_of(record):
            if self._responded_s(group) < sent_s:
                self.silent_by_group.setdefault(group, set()).add(record.name)

    def note_reached(self, record):
        """Record a response of an endpoint over an own connection."""
        self.timeouts.pop(record.name, None)
        for group in groups_of(record):
            self.responded_s[group] = self.timers.now_s
            self.silent_by_group.pop(group, None)
            if group in self.lost_by_group:
                self._end(group)

    def silent_s(self, record):
        """Return the time since the newest response of an endpoint's groups; may be infinite."""
        newest_s = max(self._responded_s(group) for group in groups_of(record))
        return self.timers.now_s - newest_s

    def is_presumed_lost(self, record):
        """Return whether a group of an endpoint is lost."""
        return bool(self.lost_by_group) and any(self._is_lost(g) for g in groups_of(record))

    def is_suspect(self, record):
        """Return whether a group of an endpoint is lost, or may be."""
        return self.is_presumed_lost(record) or any(
            self._lost_count(group) >= MIN_SUSPECT_ENDPOINTS
            and self.timers.now_s - self._responded_s(group) >= SUSPECT_SPAN_S
            for group in groups_of(record)
        )

    def forget(self, endpoint):
        """Drop what is recorded about an endpoint that has ended."""
        self.timeouts.pop(endpoint, None)
        for silent in self.silent_by_group.values():
            silent.discard(endpoint)
        for group, lost in list(self.lost_by_group.items()):
            lost.pop(endpoint, None)
            if not lost:
                self._end(group)

    def _is_lost(self, group):
        """Return whether a group counts as lost, which may begin as time passes."""
        if group in self.lost_groups:
            return True
        count = self._lost_count(group)
        if not count or count < self._needed(group) or not self._has_failures(group):
            return False
        silent_s = self.timers.now_s - self._responded_s(group)
        if silent_s < LOSS_SPAN_S:
            return False
        self.lost_groups.add(group)
        self.outbox.log(
            "partition-begins",
            of="/".join(group),
            lost=count,
            silent_ms="" if silent_s == float("inf") else round(1000 * silent_s),
            failing_ms=round(1000 * (self.timers.now_s - self.failing_since_s[group])),
        )
        self.on_partition()
        return True

    def _lost_count(self, group):
        """Return the number of endpoints that show a loss, 0 if none failed to connect."""
        lost = self.lost_by_group.get(group)
        return len(lost.keys() | self.silent_by_group.get(group, set())) if lost else 0

    def _has_failures(self, group):
        """Return whether a group failed as often as one must that counts as lost."""
        silent = self.silent_by_group.get(group, ())
        return self.lost_by_group[group].total() + len(silent) >= MIN_LOST_ENDPOINTS

    def _responded_s(self, group):
        return self.responded_s.get(group, float("-inf"))

    def _end(self, group):
        lost = self.lost_by_group.pop(group, ())
        since_s = self.failing_since_s.pop(group, self.timers.now_s)
        if group in self.lost_groups:
            self.lost_groups.remove(group)
            self.outbox.log(
                "partition-ends",
                of="/".join(group),
                lost=len(lost),
                after_ms=round(1000 * (self.timers.now_s - since_s)),
            )

    def _needed(self, group):
        kind, name = group
        if kind == "service":
            return min(MIN_LOST_ENDPOINTS, max(1, len(self.replica.by_service.get(name, ()))))
        return MIN_LOST_ENDPOINTS


def groups_of(record):
    """Return the groups of an ``EndpointRecord``."""
    return ("service", record.service), ("zone", record.zone)
