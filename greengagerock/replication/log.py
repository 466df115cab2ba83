"""The replicated log: the last snapshot and the entries after it."""

from greengagerock.replication.records import Snapshot


class ReplicatedLog:
    """A snapshot and the entries after it.

    Attributes:
        snapshot: The last snapshot.
        entries: Entries after the snapshot, in order and without gaps.
    """

    __slots__ = ("entries", "snapshot")

    def __init__(self, snapshot=None, entries=()):
        self.snapshot = snapshot or Snapshot()
        self.entries = list(entries)

    @property
    def last_index(self):
        """Index of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self):
        """Term of the last entry, or of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index):
        """Return the term of the entry at ``index``, or ``None`` if the log lacks it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.entry_at(index)
        return entry.term if entry else None

    def entry_at(self, index):
        """Return the entry at ``index``, or ``None``."""
        position = index - self.snapshot.index - 1
        return self.entries[position] if 0 <= position < len(self.entries) else None

    def entries_after(self, index, limit):
        """Return up to ``limit`` entries after ``index``."""
        start = index - self.snapshot.index
        return tuple(self.entries[start : start + limit])

    def append(self, entries):
        """Append entries; one that conflicts with the log replaces all from its index on.

        Returns:
            The entries that were not already present.
        """
        new_entries = [entry for entry in entries if self._is_new(entry)]
        if new_entries:
            kept_count = new_entries[0].index - self.snapshot.index - 1
            self.entries[kept_count:] = new_entries
        return tuple(new_entries)

    def compact(self, snapshot):
        """Replace all entries up to the snapshot's index by the snapshot."""
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
