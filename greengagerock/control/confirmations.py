"""Acknowledgement of changes once reachable routers have them, or after a bounded wait."""

# A router that polled within this time counts as reachable; routers poll every 0.5 s.
REACHABLE_WINDOW_S = 1.2
# Operators try another controller after one second without a response, so this is shorter.
MAX_WAIT_S = 0.6
# Additional wait for each changed item, since many items take long on slow links.
MAX_WAIT_PER_ITEM_S = 0.003


class Confirmations:
    """Delays acknowledgements until routers have confirmed the newest items.

    Once a change is acknowledged, it is in effect at every reachable router. A router that
    is unreachable or slow delays the acknowledgement, but does not prevent it. A new leader
    does not know all routers yet, so it waits in any case.

    Args:
        began_s: Start of the leader's term, in monotonic seconds.

    Attributes:
        began_s: Start of the leader's term.
        revision: Revision of the newest change of items.
        deadline_s: When that change counts as confirmed, even without confirmations.
        callbacks: Pairs of a revision and the callable to call once it is confirmed.

    Examples:
        >>> confirmations, acknowledged = Confirmations(0.0), []
        >>> confirmations.note_change(7, 1, 10.0)
        >>> confirmations.call_when_confirmed(lambda: acknowledged.append("ok"))
        >>> confirmations.advance([(6, 9.9)], 10.1)
        >>> acknowledged
        []
        >>> confirmations.advance([(7, 10.2)], 10.2)
        >>> acknowledged
        ['ok']
    """

    __slots__ = ("began_s", "callbacks", "deadline_s", "revision")

    def __init__(self, began_s):
        self.began_s = began_s
        self.revision = 0
        self.deadline_s = began_s + MAX_WAIT_S
        self.callbacks = []

    def note_change(self, revision, items, now_s):
        """Record a change of items.

        Args:
            revision: Revision of the change.
            items: Number of changed items.
            now_s: Monotonic time in seconds.
        """
        self.revision = revision
        self.deadline_s = max(self.deadline_s, now_s + MAX_WAIT_S + MAX_WAIT_PER_ITEM_S * items)

    def call_when_confirmed(self, callback):
        """Call ``callback`` in the first ``advance`` in which the newest change is confirmed."""
        self.callbacks.append((self.revision, callback))

    def advance(self, routers, now_s):
        """Call the callbacks of all changes that are confirmed.

        Args:
            routers: For each router, its revision and the time of the poll that reported it.
            now_s: Monotonic time in seconds.
        """
        if not self.callbacks:
            return
        revisions = [
            revision for revision, polled_s in routers if now_s - polled_s < REACHABLE_WINDOW_S
        ]
        if now_s >= self.deadline_s:
            confirmed = self.revision
        elif now_s - self.began_s < REACHABLE_WINDOW_S:
            return
        else:
            confirmed = min(revisions, default=self.revision)
        ready = [callback for revision, callback in self.callbacks if revision <= confirmed]
        self.callbacks = [entry for entry in self.callbacks if entry[0] > confirmed]
        for callback in ready:
            callback()
