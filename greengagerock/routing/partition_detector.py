"""Detection of partitions between a router and many endpoints, from losses of single ones."""

# Number of endpoints of a group that must be lost one after the other, without a response of any
# endpoint of the group, before the group counts as lost. A smaller group must be lost as a whole.
MIN_LOST_ENDPOINTS = 3


class PartitionDetector:
    """Tells which groups of endpoints a router has presumably lost.

    The endpoints of a service and those of an availability zone are groups. An endpoint that has
    not been tried since the partition began is presumed lost with its group, so that no request is
    sent to it on an open connection that no longer works.

    Args:
        replica: The ``ViewReplica``.
        outbox: Receives log lines.

    Attributes:
        lost_by_group: Names of the lost endpoints by group, a pair of kind and name.
        lost_groups: Groups that count as lost.
    """

    __slots__ = ("lost_by_group", "lost_groups", "outbox", "replica")

    def __init__(self, replica, outbox):
        self.replica = replica
        self.outbox = outbox
        self.lost_by_group = {}
        self.lost_groups = set()

    def note_lost(self, record):
        """Record that an endpoint could not be reached; return whether that loses a group."""
        has_new_group = False
        for group in groups_of(record):
            lost = self.lost_by_group.setdefault(group, set())
            lost.add(record.name)
            if group not in self.lost_groups and len(lost) >= self._needed(group):
                self.lost_groups.add(group)
                self.outbox.log("partition-begins", of="/".join(group), lost=len(lost))
                has_new_group = True
        return has_new_group

    def note_reached(self, record):
        """Record a response of an endpoint over an own connection."""
        if not self.lost_by_group:
            return
        for group in groups_of(record):
            self._end(group)

    def is_presumed_lost(self, record):
        """Return whether a group of an endpoint is lost."""
        return bool(self.lost_groups) and any(g in self.lost_groups for g in groups_of(record))

    def forget(self, endpoint):
        """Drop what is recorded about an endpoint that has ended."""
        for group, lost in list(self.lost_by_group.items()):
            lost.discard(endpoint)
            if not lost:
                self._end(group)

    def _end(self, group):
        lost = self.lost_by_group.pop(group, ())
        if group in self.lost_groups:
            self.lost_groups.remove(group)
            self.outbox.log("partition-ends", of="/".join(group), lost=len(lost))

    def _needed(self, group):
        kind, name = group
        if kind == "service":
            return min(MIN_LOST_ENDPOINTS, max(1, len(self.replica.by_service.get(name, ()))))
        return MIN_LOST_ENDPOINTS


def groups_of(record):
    """Return the groups of an ``EndpointRecord``."""
    return ("service", record.service), ("zone", record.zone)
