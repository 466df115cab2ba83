"""The replicated log: elections, replication, snapshots and group membership."""

from greengagerock.replication.bootstrap import GroupBootstrap
from greengagerock.replication.durable import DurableState
from greengagerock.replication.log import ReplicatedLog
from greengagerock.replication.messages import (
    AppendReply,
    AppendRequest,
    BootstrapHello,
    InitialMembership,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from greengagerock.replication.records import (
    EntriesStored,
    Entry,
    HardState,
    Member,
    Membership,
    Record,
    Snapshot,
    SnapshotStored,
)
from greengagerock.replication.voter import Voter

__all__ = [
    "AppendReply",
    "AppendRequest",
    "DurableState",
    "EntriesStored",
    "Entry",
    "InitialMembership",
    "GroupBootstrap",
    "BootstrapHello",
    "HardState",
    "TimeoutNow",
    "Member",
    "Membership",
    "Record",
    "ReplicatedLog",
    "Snapshot",
    "SnapshotRequest",
    "SnapshotStored",
    "VoteReply",
    "VoteRequest",
    "Voter",
]
