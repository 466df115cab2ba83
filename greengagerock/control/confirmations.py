"""Acknowledgement of changes once reachable routers have them, or after a bounded wait."""

# A router that polled within this time counts as reachable; routers poll every 0.5 s.
REACHABLE_WINDOW_S = 1.2
# Operators try another controller after one second without a response, so this is shorter.
MAX_WAIT_S = 0.6
# Additional wait for each changed item, since many items take long on slow links.
MAX_WAIT_PER_ITEM_S = 0.003
# Longest additional wait of a change for earlier ones, which reach routers before it. With the
# other waits it is half of the four seconds within which operators expect a response.
MAX_BACKLOG_WAIT_S = 1.4

CONFIRMED = "confirmed"
TIMED_OUT = "timed-out"
ABANDONED = "abandoned"


class AwaitedChange:
    """A change whose acknowledgement waits for routers.

    Attributes:
        revision: Revision that routers have to confirm.
        deadline_s: When the wait ends, in monotonic seconds.
        callback: Called with ``CONFIRMED``, ``TIMED_OUT`` or ``ABANDONED`` at the end of the wait.
    """

    __slots__ = ("callback", "deadline_s", "revision")

    def __init__(self, revision, deadline_s, callback):
        self.revision = revision
        self.deadline_s = deadline_s
        self.callback = callback


class Confirmations:
    """Delays acknowledgements until routers have confirmed the items of each change.

    Once a change is acknowledged, it is in effect at every reachable router. A router that
    is unreachable or slow delays the acknowledgement, but does not prevent it. Later changes do
    not extend the wait of earlier ones. A new leader does not know all routers yet, so it waits in
    any case.

    Args:
        began_s: Start of the leader's term, in monotonic seconds.

    Attributes:
        began_s: Start of the leader's term.
        deadlines_s: Ends of the waits of recent changes, by revision.
        awaited: An ``AwaitedChange`` for each acknowledgement that is still due.

    Examples:
        >>> confirmations, outcomes = Confirmations(0.0), []
        >>> confirmations.note_change(7, 1, 10.0)
        >>> confirmations.call_when_confirmed(7, outcomes.append)
        >>> confirmations.advance([(6, 9.9)], 10.1)
        >>> outcomes
        []
        >>> confirmations.advance([(7, 10.2)], 10.2)
        >>> outcomes
        ['confirmed']
    """

    __slots__ = ("awaited", "began_s", "deadlines_s")

    def __init__(self, began_s):
        self.began_s = began_s
        self.deadlines_s = {}
        self.awaited = []

    def note_change(self, revision, items, now_s):
        """Record a change of items.

        Args:
            revision: Revision of the change.
            items: Number of changed items.
            now_s: Monotonic time in seconds.
        """
        self.deadlines_s = {r: end_s for r, end_s in self.deadlines_s.items() if end_s > now_s}
        own_s = max(self.began_s + MAX_WAIT_S, now_s + MAX_WAIT_S + MAX_WAIT_PER_ITEM_S * items)
        backlog_s = max(self.deadlines_s.values(), default=own_s)
        self.deadlines_s[revision] = max(own_s, min(backlog_s, own_s + MAX_BACKLOG_WAIT_S))

    def call_when_confirmed(self, revision, callback):
        """Call ``callback`` in the first ``advance`` in which a revision is confirmed.

        Args:
            revision: The revision. The wait for one that this leader has not recorded ends soon
                after the start of its term.
            callback: Called with ``CONFIRMED``, ``TIMED_OUT`` or ``ABANDONED``.
        """
        deadline_s = self.deadlines_s.get(revision, self.began_s + MAX_WAIT_S)
        self.awaited.append(AwaitedChange(revision, deadline_s, callback))

    def abandon(self):
        """Call all callbacks with ``ABANDONED``, since this host no longer leads."""
        awaited, self.awaited = self.awaited, []
        for change in awaited:
            change.callback(ABANDONED)

    def advance(self, routers, now_s):
        """Call the callbacks of all changes that are confirmed or have waited long enough.

        Args:
            routers: For each router, its revision and the time of the poll that reported it.
            now_s: Monotonic time in seconds.
        """
        if not self.awaited:
            return
        confirmed = self._confirmed_revision(routers, now_s)
        awaited, self.awaited = self.awaited, []
        for change in awaited:
            if change.revision <= confirmed:
                change.callback(CONFIRMED)
            elif now_s >= change.deadline_s:
                change.callback(TIMED_OUT)
            else:
                self.awaited.append(change)

    def _confirmed_revision(self, routers, now_s):
        """Return the largest revision that all reachable routers have."""
        if now_s - self.began_s < REACHABLE_WINDOW_S:
            return float("-inf")
        return min(
            (revision for revision, polled_s in routers if now_s - polled_s < REACHABLE_WINDOW_S),
            default=float("inf"),
        )
