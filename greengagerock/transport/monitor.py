"""Detection of links that have gone silent."""

LINK_SILENCE_LIMIT_S = 2.0


class LinkMonitor:
    """Finds links whose peer takes messages and sends nothing back.

    A connection can go dead without an error while a new one would work. A
    link is suspect if something was sent over it and nothing was received
    from its peer for a while.

    Args:
        silence_limit_s: That while in seconds.

    Examples:
        >>> monitor = LinkMonitor()
        >>> monitor.note_sent("10.0.0.1:1", 0.0)
        >>> monitor.is_suspect("10.0.0.1:1", 2.5)
        True
        >>> monitor.note_received("10.0.0.1:1", 2.6)
        >>> monitor.is_suspect("10.0.0.1:1", 2.7)
        False
    """

    __slots__ = ("silence_limit_s", "waiting_since_s")

    def __init__(self, silence_limit_s=LINK_SILENCE_LIMIT_S):
        self.silence_limit_s = silence_limit_s
        self.waiting_since_s = {}

    def note_sent(self, address, now_s):
        """Record that a message was sent; the first unanswered one counts."""
        self.waiting_since_s.setdefault(address, now_s)

    def note_received(self, address, now_s):
        """Record that something was received from the peer."""
        self.waiting_since_s.pop(address, None)

    def is_suspect(self, address, now_s):
        """Return whether the link should be dialled anew."""
        since_s = self.waiting_since_s.get(address)
        return since_s is not None and now_s - since_s > self.silence_limit_s

    def note_dialled(self, address, now_s):
        """Record that the link was dialled anew: its peer gets time to answer."""
        self.waiting_since_s[address] = now_s
