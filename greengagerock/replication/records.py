"""Records that a voter stores on disk."""

import msgspec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A voter or learner.

    Attributes:
        identity: Host name and a random part that is created with the data folder, so
            that a host that lost its disk returns under another identity.
        host: Host name.
        address: Link address ``IP:PORT``.
    """

    identity: str
    host: str
    address: str


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The voters of a group, and at most one learner.

    Attributes:
        voters: Members that vote.
        learner: Member that receives the log but does not vote, or ``None``.
    """

    voters: tuple[Member, ...] = ()
    learner: Member | None = None

    @property
    def members(self):
        """Voters and learner."""
        return self.voters + ((self.learner,) if self.learner else ())

    @property
    def quorum(self):
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def has_voter(self, identity):
        """Return whether ``identity`` is one of the voters."""
        return any(member.identity == identity for member in self.voters)

    def find(self, identity):
        """Return the member with ``identity``, or ``None``."""
        return next((m for m in self.members if m.identity == identity), None)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, counted from 1.
        term: Term of the leader that created it.
        payload: Encoded command; empty for a leader's first entry.
        membership: New membership, for entries that change it.
    """

    index: int
    term: int
    payload: bytes
    membership: Membership | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after all entries up to ``index``.

    Attributes:
        index: Index of the last entry included; 0 for the empty snapshot.
        term: Term of that entry.
        membership: Membership at that entry.
        data: Encoded state.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, tag="hard-state"):
    """Term and vote, which must be stored before a message that contains them is sent."""

    term: int
    voted_for: str


class EntriesStored(msgspec.Struct, frozen=True, tag="entries"):
    """Appended entries; one at an existing index replaces that entry and all after it."""

    entries: tuple[Entry, ...]


class SnapshotStored(msgspec.Struct, frozen=True, tag="snapshot"):
    """A snapshot, which replaces all entries up to its index."""

    snapshot: Snapshot


Record = HardState | EntriesStored | SnapshotStored
