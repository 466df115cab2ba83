"""Fences of the grants of one leader's term."""

# Largest number of fences issued in a term. Fences of a term are below those of the next.
FENCES_PER_TERM = 1 << 16
# Leaders that issued more fences than that went on counting; none issued this many.
MAX_FENCES_BEYOND_TERM = 1 << 36


class FenceCounter:
    """Issues fences, which rise over all terms.

    Args:
        term: The leader's term.

    Examples:
        >>> fences = FenceCounter(2)
        >>> fences.issue(0) - 2 * FENCES_PER_TERM, fences.issue(200_000)
        (1, 200001)
        >>> fences.was_issued(200_001), fences.was_issued(1 << 62)
        (True, False)

    Attributes:
        last: Newest fence of this term, or 0.
    """

    __slots__ = ("count", "last", "term")

    def __init__(self, term):
        self.term = term
        self.count = 0
        self.last = 0

    def issue(self, highest):
        """Return a fence above ``highest`` and above all earlier fences of the term."""
        self.count += 1
        self.last = max(highest + 1, self.term * FENCES_PER_TERM + self.count)
        return self.last

    def was_issued(self, fence):
        """Return whether this or an earlier leader may have issued a fence.

        A fence far above all others comes from another writer. Fences counted on from there would
        soon exceed the range of integers.
        """
        highest = self.term * FENCES_PER_TERM + MAX_FENCES_BEYOND_TERM
        return fence <= max(highest, self.last)
