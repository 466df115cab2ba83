"""Fences of the grants of one leader's term."""

# Largest number of fences issued in a term. Fences of a term are below those of the next.
FENCES_PER_TERM = 1 << 16


class FenceCounter:
    """Issues fences, which rise over all terms.

    Args:
        term: The leader's term.

    Examples:
        >>> fences = FenceCounter(2)
        >>> fences.issue(0) - 2 * FENCES_PER_TERM, fences.issue(200_000)
        (1, 200001)
    """

    __slots__ = ("count", "term")

    def __init__(self, term):
        self.term = term
        self.count = 0

    def issue(self, highest):
        """Return a fence above ``highest`` and above all earlier fences of the term."""
        self.count += 1
        return max(highest + 1, self.term * FENCES_PER_TERM + self.count)
