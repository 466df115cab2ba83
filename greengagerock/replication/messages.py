"""Messages between voters. Each tolerates loss, duplication and delay."""

import msgspec

from greengagerock.replication.records import Entry, Member, Membership, Snapshot


class VoteRequest(msgspec.Struct, frozen=True, tag="vote-request"):
    """A candidate asks for a vote.

    Attributes:
        term: Term that the candidate stands for.
        candidate: The candidate's identity.
        last_index: Index of its last entry.
        last_term: Term of its last entry.
        trial: Whether this is a pre-vote, which changes no state.
        handed_over: Whether the leader itself asked the candidate to stand, having
            given up its lease; voters that still hear the leader then vote too.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    trial: bool
    handed_over: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag="vote-reply"):
    """The answer to a ``VoteRequest``."""

    term: int
    voter: str
    granted: bool
    trial: bool


class AppendRequest(msgspec.Struct, frozen=True, tag="append-request"):
    """Entries, or only a heartbeat, from the leader.

    Attributes:
        term: The leader's term.
        leader: The leader's identity.
        previous_index: Index of the entry before ``entries``.
        previous_term: Term of that entry.
        entries: Entries to append.
        commit_index: Last committed entry.
        sent_s: The leader's monotonic time of sending, returned in the reply.
        target: Identity that the request is meant for.
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
    """The answer to an ``AppendRequest`` or ``SnapshotRequest``.

    Attributes:
        term: The replier's term.
        voter: The replier's identity.
        success: Whether the entries now stand in its log.
        match_index: On success, the last entry known to agree with the leader's.
        hint_index: On failure, the next index that the leader should try.
        sent_s: Copied from the request.
    """

    term: int
    voter: str
    success: bool
    match_index: int
    hint_index: int
    sent_s: float


class SnapshotRequest(msgspec.Struct, frozen=True, tag="snapshot-request"):
    """A whole snapshot for a voter that is too far behind."""

    term: int
    leader: str
    snapshot: Snapshot
    sent_s: float
    target: str


class LeadNow(msgspec.Struct, frozen=True, tag="lead-now"):
    """A leader that stops asks another voter to stand for election at once.

    Attributes:
        term: The term that ends.
        target: Identity of the voter that shall lead.
    """

    term: int
    target: str


class FoundingHello(msgspec.Struct, frozen=True, tag="founding-hello"):
    """A voter with an empty data folder introduces itself."""

    member: Member


class Found(msgspec.Struct, frozen=True, tag="found"):
    """The first membership, sent once every initial voter has introduced itself."""

    membership: Membership
