"""What a leader knows about one other voter."""

SNAPSHOT_RESEND_S = 2.0


class Progress:
    """Replication progress of one member.

    Attributes:
        next_index: Next entry to send.
        match_index: Last entry known to be stored there.
        contact_s: Leader's send time of the newest message that was answered.
    """

    __slots__ = ("contact_s", "match_index", "next_index", "snapshot_sent_s")

    def __init__(self, next_index):
        self.next_index = next_index
        self.match_index = 0
        self.contact_s = float("-inf")
        self.snapshot_sent_s = float("-inf")

    def acknowledge(self, index):
        """Record that all entries up to ``index`` are stored there."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def back_up(self, hint_index):
        """Try an earlier entry next.

        Returns:
            False if the hint is not earlier, as with a reply that came late.
        """
        target = max(self.match_index + 1, hint_index, 1)
        if target >= self.next_index:
            return False
        self.next_index = target
        return True

    def snapshot_due(self, now_s):
        """Return whether to send the snapshot, and if so record that it was sent."""
        if now_s - self.snapshot_sent_s < SNAPSHOT_RESEND_S:
            return False
        self.snapshot_sent_s = now_s
        return True
