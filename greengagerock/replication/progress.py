"""Replication progress of one member, as tracked by the leader."""

SNAPSHOT_RESEND_S = 2.0


class Progress:
    """Replication progress of one member.

    All times are on the leader's clock.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Index of the last entry that the member has confirmed as stored.
        contact_s: Send time of the newest message that the member replied to.
        snapshot_sent_s: Time at which the snapshot was last sent.
    """

    __slots__ = ("contact_s", "match_index", "next_index", "snapshot_sent_s")

    def __init__(self, next_index):
        self.next_index = next_index
        self.match_index = 0
        self.contact_s = float("-inf")
        self.snapshot_sent_s = float("-inf")

    def acknowledge(self, index):
        """Record that the member has stored all entries up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def lower_next_index(self, hint_index):
        """Lower ``next_index`` after the member has rejected entries.

        Returns:
            False if the hint does not lower it, as with a delayed reply.
        """
        target = max(self.match_index + 1, hint_index, 1)
        if target >= self.next_index:
            return False
        self.next_index = target
        return True

    def should_send_snapshot(self, now_s):
        """Return whether to send the snapshot, and if so record ``now_s`` as its send time."""
        if now_s - self.snapshot_sent_s < SNAPSHOT_RESEND_S:
            return False
        self.snapshot_sent_s = now_s
        return True
