"""State that a voter restores from its data folder."""

from greengagerock.replication.log import ReplicatedLog
from greengagerock.replication.records import EntriesStored, HardState, SnapshotStored


class DurableState:
    """State of a voter, restored from the records in its data folder.

    Attributes:
        identity: Identity of the voter that owns the folder.
        hard_state: Last stored term and vote.
        log: Last stored snapshot and the entries after it.
    """

    __slots__ = ("hard_state", "identity", "log")

    def __init__(self, identity):
        self.identity = identity
        self.hard_state = HardState(0, "")
        self.log = ReplicatedLog()

    def apply(self, record):
        """Apply one record; records must be applied in the order of writing."""
        match record:
            case HardState():
                self.hard_state = record
            case EntriesStored(entries):
                self.log.append(entries)
            case SnapshotStored(snapshot):
                self.log.compact(snapshot)

    def compacted_records(self):
        """Return the shortest sequence of records that restores the same state."""
        records = [self.hard_state, SnapshotStored(self.log.snapshot)]
        if self.log.entries:
            records.append(EntriesStored(tuple(self.log.entries)))
        return tuple(records)
