"""Messages between voters, which may be lost, duplicated or delayed."""

import msgspec

from greengagerock.replication.records import Entry, Member, Membership, Snapshot


class VoteRequest(msgspec.Struct, frozen=True, tag="vote-request"):
    """A candidate's request for a vote.

    Attributes:
        term: Term for which the candidate stands.
        candidate: The candidate's identity.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        is_pre_vote: Whether this is a pre-vote, which changes no state.
        is_leadership_transfer: Whether the leader has released its lease and requested this
            election; voters then also grant votes if they have recent contact with the
            leader.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_pre_vote: bool = msgspec.field(name="trial")
    is_leadership_transfer: bool = msgspec.field(default=False, name="handed_over")


class VoteReply(msgspec.Struct, frozen=True, tag="vote-reply"):
    """The reply to a ``VoteRequest``."""

    term: int
    voter: str
    granted: bool
    is_pre_vote: bool = msgspec.field(name="trial")


class AppendRequest(msgspec.Struct, frozen=True, tag="append-request"):
    """Entries from the leader; without entries, only a heartbeat.

    Attributes:
        term: The leader's term.
        leader: The leader's identity.
        previous_index: Index of the entry before ``entries``.
        previous_term: Term of that entry.
        entries: Entries to append.
        commit_index: Index of the last committed entry.
        sent_s: Time of sending on the leader's monotonic clock, copied into the reply.
        target: Identity of the addressed member.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_s: float
    target: str


class AppendReply(msgspec.Struct, frozen=True, tag="append-reply"):
    """The reply to an ``AppendRequest`` or ``SnapshotRequest``.

    Attributes:
        term: The sender's term.
        voter: The sender's identity.
        success: Whether the sender has stored the entries.
        match_index: On success, the last index up to which the sender's log is known to
            match the leader's.
        hint_index: On failure, the index from which the leader should send entries next.
        sent_s: Copied from the request.
    """

    term: int
    voter: str
    success: bool
    match_index: int
    hint_index: int
    sent_s: float


class SnapshotRequest(msgspec.Struct, frozen=True, tag="snapshot-request"):
    """A snapshot for a member that needs entries the leader's log no longer has."""

    term: int
    leader: str
    snapshot: Snapshot
    sent_s: float
    target: str


class TimeoutNow(msgspec.Struct, frozen=True, tag="lead-now"):
    """Request from a leader that is stopping: the target starts an election at once.

    Attributes:
        term: Term of the leader.
        target: Identity of the voter that is to become the leader.
    """

    term: int
    target: str


class BootstrapHello(msgspec.Struct, frozen=True, tag="founding-hello"):
    """Sent by a voter with an empty data folder to the other initial voters.

    Attributes:
        member: The sender.
        initial_addresses: Link addresses of all initial voters.
    """

    member: Member
    initial_addresses: tuple[str, ...] = ()


class InitialMembership(msgspec.Struct, frozen=True, tag="found"):
    """The first membership, sent once all initial voters have sent a ``BootstrapHello``."""

    membership: Membership
