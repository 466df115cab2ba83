"""When a change is acknowledged: once the routers in touch have it, or after a bounded wait."""

# A router that asked within this time is in touch; it asks every 0.5 s.
IN_TOUCH_S = 1.2
# Operators move on to another controller after one second without an answer.
WAIT_S = 0.6
# Many items take long on slow links; an acknowledgement may take so much longer for each.
WAIT_PER_ITEM_S = 0.003


class Confirmations:
    """Holds acknowledgements back until routers have confirmed the newest items.

    An operator who is told that a change is accepted can then rely on it at every router
    that is in touch. One that is cut off or slow delays the answer, but does not prevent it.

    Attributes:
        revision: The newest change of items.
        due_s: When it counts as known, whatever routers say.
        waiting: Pairs of a revision and a callable that acknowledges.

    Examples:
        >>> desk, told = Confirmations(), []
        >>> desk.note_change(7, 1, 10.0)
        >>> desk.acknowledge(lambda: told.append("ok"))
        >>> desk.advance([(6, 9.9)], 10.1)
        >>> told
        []
        >>> desk.advance([(7, 10.2)], 10.2)
        >>> told
        ['ok']
    """

    __slots__ = ("due_s", "revision", "waiting")

    def __init__(self):
        self.revision = 0
        self.due_s = 0.0
        self.waiting = []

    def note_change(self, revision, items, now_s):
        """Note a change.

        Args:
            revision: Its number.
            items: Number of items that it changes.
            now_s: Monotonic time in seconds.
        """
        self.revision = revision
        self.due_s = max(self.due_s, now_s + WAIT_S + WAIT_PER_ITEM_S * items)

    def acknowledge(self, tell):
        """Call ``tell`` once the newest change has been confirmed, at the next ``advance``."""
        self.waiting.append((self.revision, tell))

    def advance(self, routers, now_s):
        """Acknowledge what has been confirmed.

        Args:
            routers: For each router, the revision that it knows and when it said so.
            now_s: Monotonic time in seconds.
        """
        if not self.waiting:
            return
        known = [revision for revision, heard_s in routers if now_s - heard_s < IN_TOUCH_S]
        confirmed = self.revision if now_s >= self.due_s else min(known, default=self.revision)
        ready = [tell for revision, tell in self.waiting if revision <= confirmed]
        self.waiting = [entry for entry in self.waiting if entry[0] > confirmed]
        for tell in ready:
            tell()
