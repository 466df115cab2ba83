"""The contents of a voter's data folder."""

from greengagerock.replication.log import ReplicatedLog
from greengagerock.replication.records import EntriesStored, HardState, SnapshotStored


class DurableState:
    """What a voter finds in its data folder at the start.

    Attributes:
        identity: Identity of the voter that the folder belongs to.
        hard_state: Last stored term and vote.
        log: Last stored snapshot and the entries after it.
    """

    __slots__ = ("hard_state", "identity", "log")

    def __init__(self, identity):
        self.identity = identity
        self.hard_state = HardState(0, "")
        self.log = ReplicatedLog()

    def apply(self, record):
        """Take one record into account, in the order of writing."""
        match record:
            case HardState():
                self.hard_state = record
            case EntriesStored(entries):
                self.log.append(entries)
            case SnapshotStored(snapshot):
                self.log.compact(snapshot)

    def compacted_records(self):
        """Return the shortest list of records that leads to the same state."""
        records = [self.hard_state, SnapshotStored(self.log.snapshot)]
        if self.log.entries:
            records.append(EntriesStored(tuple(self.log.entries)))
        return tuple(records)
