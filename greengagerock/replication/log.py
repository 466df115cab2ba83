"""The part of the replicated log that follows the last snapshot."""

from greengagerock.replication.records import Snapshot


class ReplicatedLog:
    """A snapshot and the entries after it.

    Attributes:
        snapshot: State up to its index.
        entries: Entries after the snapshot, in order without gaps.
    """

    __slots__ = ("entries", "snapshot")

    def __init__(self, snapshot=None, entries=()):
        self.snapshot = snapshot or Snapshot()
        self.entries = list(entries)

    @property
    def last_index(self):
        """Index of the last entry, or of the snapshot."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self):
        """Term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index):
        """Return the term of the entry at ``index``, or ``None`` if it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.entry_at(index)
        return entry.term if entry else None

    def entry_at(self, index):
        """Return the entry at ``index``, or ``None``."""
        position = index - self.snapshot.index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def after(self, index, limit):
        """Return up to ``limit`` entries that follow ``index``."""
        start = index - self.snapshot.index
        return tuple(self.entries[start : start + limit])

    def append(self, entries):
        """Append entries; those that contradict known ones replace them and what follows.

        Returns:
            The entries that were not already present.
        """
        new = [entry for entry in entries if self._is_new(entry)]
        if new:
            keep = new[0].index - self.snapshot.index - 1
            self.entries[keep:] = new
        return tuple(new)

    def compact(self, snapshot):
        """Replace everything up to the snapshot's index by the snapshot."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.snapshot.index :]
        else:
            self.entries = []
        self.snapshot = snapshot

    def latest_membership(self):
        """Return the newest membership in the log, committed or not."""
        for entry in reversed(self.entries):
            if entry.membership is not None:
                return entry.membership
        return self.snapshot.membership

    def _is_new(self, entry):
        return entry.index > self.snapshot.index and self.term_at(entry.index) != entry.term
