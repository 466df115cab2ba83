"""Learns from routers how much of the load each endpoint should get.

Answers the load of days near the capacity of a service: endpoints differ in speed, and with
equal shares the slow ones are overloaded while the fast ones idle.
"""

ADJUST_INTERVAL_S = 2.0
# Fewer answers than this say little about an endpoint; they are kept until there are more.
MIN_ANSWERS = 20
# A weight changes by at most this factor in one step, so that noise moves few keys.
MAX_DECREASE = 0.75
MAX_INCREASE = 1.2
LOWEST_WEIGHT = 0.25
HIGHEST_WEIGHT = 2.0
# Endpoints whose answers take about the average time keep their weight.
TOLERANCE = 0.2


class SpeedBook:
    """Weights of a service's endpoints, which equalise the times of their answers.

    Attributes:
        weights: Learnt shares by endpoint name.
        average_s: Mean time of an answer in the last interval, in seconds.

    Examples:
        >>> book = SpeedBook()
        >>> book.note("slow", 20, 0.2)
        >>> book.note("fast", 20, 0.05)
        >>> book.adjust(10.0)
        True
        >>> book.weight("slow") < 1 < book.weight("fast")
        True
    """

    __slots__ = ("adjusted_s", "answers", "average_s", "weights")

    def __init__(self):
        self.average_s = 0.0
        self.weights = {}
        self.answers = {}
        self.adjusted_s = 0.0

    def note(self, endpoint, count, mean_s):
        """Take in what a router has seen of an endpoint since it last said so."""
        known = self.answers.setdefault(endpoint, [0, 0.0])
        known[0] += count
        known[1] += count * mean_s

    def weight(self, endpoint):
        """Return an endpoint's share relative to an even one."""
        return self.weights.get(endpoint, 1.0)

    def forget(self, endpoint):
        """Drop an endpoint that is gone."""
        self.weights.pop(endpoint, None)
        self.answers.pop(endpoint, None)

    def adjust(self, now_s):
        """Change the weights if an interval has passed; returns whether it did so."""
        if now_s - self.adjusted_s < ADJUST_INTERVAL_S:
            return False
        self.adjusted_s = now_s
        answers = self.answers
        total = sum(count for count, _ in answers.values())
        if not total:
            return False
        average_s = sum(time_s for _, time_s in answers.values()) / total
        self.average_s = average_s
        for endpoint, (count, time_s) in answers.items():
            if count >= MIN_ANSWERS and time_s > 0:
                self._move(endpoint, average_s / (time_s / count))
        mean = sum(self.weight(endpoint) for endpoint in answers) / len(answers)
        self.answers = {name: seen for name, seen in answers.items() if seen[0] < MIN_ANSWERS}
        for endpoint in self.weights:
            self.weights[endpoint] /= mean
        return True

    def _move(self, endpoint, ratio):
        if abs(ratio - 1.0) < TOLERANCE:
            return
        factor = min(MAX_INCREASE, max(MAX_DECREASE, ratio**0.5))
        weight = self.weight(endpoint) * factor
        self.weights[endpoint] = min(HIGHEST_WEIGHT, max(LOWEST_WEIGHT, weight))
