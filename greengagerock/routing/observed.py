"""What a router has seen of each endpoint's answers."""

# Weight of the newest answer in the running mean.
MEAN_SHARE = 0.15
# Assumed before the first answer.
FIRST_GUESS_S = 0.06


class Observed:
    """One endpoint as seen from one router.

    Attributes:
        in_flight: Requests of this router that are there now.
        mean_s: Running mean of the time to the head of an answer.
        shed_s: When it last refused a request for lack of room.
    """

    __slots__ = ("in_flight", "mean_s", "shed_s")

    def __init__(self):
        self.in_flight = 0
        self.mean_s = FIRST_GUESS_S
        self.shed_s = float("-inf")

    def note_answer(self, elapsed_s):
        """Take the time of an answer into account."""
        self.mean_s += MEAN_SHARE * (elapsed_s - self.mean_s)


class ObservedEndpoints:
    """Observations by endpoint name.

    Examples:
        >>> observed = ObservedEndpoints()
        >>> observed.of("e1").in_flight
        0
    """

    __slots__ = ("known",)

    def __init__(self):
        self.known = {}

    def of(self, endpoint):
        """Return the observations of an endpoint."""
        found = self.known.get(endpoint)
        if found is None:
            found = self.known[endpoint] = Observed()
        return found

    def forget(self, endpoint):
        """Drop the observations of an endpoint that is gone."""
        self.known.pop(endpoint, None)
