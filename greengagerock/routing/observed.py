"""What a router has seen of each endpoint, and how much more it may send there.

Answers the load of days on which an endpoint gets more than it can run: many callers ask
for one key, or an endpoint is slow, silent or gone. Each router lowers its own limit when answers
become late and raises it when they are in time. What it has not seen itself lately it takes
from the times that all routers together have told the leader.
"""

# Weight of the newest answer in the running mean.
MEAN_SHARE = 0.15
# Assumed before anybody has seen an answer.
FIRST_GUESS_S = 0.06
# From so many own answers on, those of other routers do not count.
OWN_ANSWERS = 6.0
# Own answers lose this share of their weight each time the leader tells news.
AGED_SHARE = 0.3

FIRST_LIMIT = 6.0
# An endpoint runs a few requests at once and queues a dozen; more from one router is too much.
HIGHEST_LIMIT = 16.0
# A dozen routers that each send one request at a time already fill an endpoint's queue. Below
# one a router pauses between requests instead.
LOWEST_LIMIT = 0.1
# Answers within this share of the latency objective leave room for more.
EARLY_SHARE = 0.6
INCREASE = 1.2
INCREASE_STEP = 0.5
# Mean answer times above this share of it mean that requests wait for a slot.
BUSY_SHARE = 0.6
DECREASE = 0.85
DECREASE_AFTER_SHED = 0.6

# Without any answer for this long, or this many mean times, an endpoint counts as silent.
SILENCE_S = 0.5
SILENCE_MEANS = 5
# Meanwhile one request goes there so often, to find out when it is back.
PROBE_INTERVAL_S = 0.25


class Observed:
    """One endpoint as seen from one router.

    Attributes:
        in_flight: Requests of this router that are there now.
        expected_s: Callable that returns the mean time that all routers have seen, or ``None``.
        own_s: Running mean of the time to an answer that this router has seen.
        own_answers: How many answers that rests on, less with their age.
        shed_s: When it last refused a request for lack of room.
        limit: How many requests this router has there at most; below one, the share of
            the time in which it has one there.
        sent_s: When the newest request was sent there.
        waiting_since_s: When the last sign of life came, or the first request after it.
        is_unreachable: Whether the last connection could not be opened.
        probed_s: When a request was last sent there to find out whether it is back.
        lowered_s: When the limit was last lowered.
        answers: Answers since they were last collected.
        answers_s: The sum of their times, in seconds.

    Examples:
        >>> seen = Observed()
        >>> seen.has_room(0, 0.0), seen.is_doubtful(0.0)
        (True, False)
        >>> seen.note_sent(0.0)
        >>> seen.is_doubtful(0.3), seen.is_doubtful(0.9)
        (False, True)
    """

    __slots__ = (
        "answers",
        "answers_s",
        "expected_s",
        "in_flight",
        "is_unreachable",
        "limit",
        "lowered_s",
        "own_answers",
        "own_s",
        "probed_s",
        "sent_s",
        "shed_s",
        "waiting_since_s",
    )

    def __init__(self, expected_s=lambda: None):
        self.in_flight = 0
        self.expected_s = expected_s
        self.own_s = 0.0
        self.own_answers = 0.0
        self.shed_s = float("-inf")
        self.limit = FIRST_LIMIT
        self.waiting_since_s = 0.0
        self.is_unreachable = False
        self.probed_s = float("-inf")
        self.sent_s = float("-inf")
        self.lowered_s = float("-inf")
        self.answers = 0
        self.answers_s = 0.0

    @property
    def own_share(self):
        """How far own answers suffice to judge the endpoint, from 0 to 1."""
        return min(1.0, self.own_answers / OWN_ANSWERS)

    @property
    def mean_s(self):
        """Mean time to an answer, from own answers as far as there are enough."""
        share = self.own_share
        if share == 1.0:
            return self.own_s
        others_s = self.expected_s()
        if others_s is None:
            others_s = FIRST_GUESS_S if not share else self.own_s
        return share * self.own_s + (1 - share) * others_s

    def note_sent(self, now_s):
        """Take a request into account that is sent now."""
        if self.in_flight == 0:
            self.waiting_since_s = now_s
        self.sent_s = now_s
        self.in_flight += 1

    def note_ended(self):
        """Take into account that a request is no longer there."""
        self.in_flight = max(0, self.in_flight - 1)

    def note_answer(self, elapsed_s, objective_s, now_s):
        """Take the time of an answer into account.

        Args:
            elapsed_s: Time to the answer, in seconds.
            objective_s: Latency objective of its route, or ``None``.
            now_s: Monotonic time in seconds.
        """
        self.note_alive(now_s)
        self.own_s = self.mean_s + MEAN_SHARE * (elapsed_s - self.mean_s)
        self.own_answers = min(OWN_ANSWERS, self.own_answers + 1)
        self.answers += 1
        self.answers_s += elapsed_s
        if objective_s is None:
            return
        if elapsed_s > objective_s:
            self._lower(DECREASE, now_s)
        elif elapsed_s <= EARLY_SHARE * objective_s:
            self._raise()

    def note_shed(self, objective_s, now_s):
        """Take into account that it refused a request.

        An endpoint that is full answers late as well; one that answers in time refuses
        for other reasons, and sending less would not help.

        Args:
            objective_s: Latency objective of the request's route, or ``None``.
            now_s: Monotonic time in seconds.
        """
        self.note_alive(now_s)
        self.shed_s = now_s
        if self.is_busy(objective_s):
            self._lower(DECREASE_AFTER_SHED, now_s)

    def is_busy(self, objective_s):
        """Return whether its answers take a large part of the latency objective.

        When it fills up, all routers together see that before a single one does.
        """
        if objective_s is None:
            return True
        slowest_s = max(self.mean_s, self.expected_s() or 0.0)
        return slowest_s > BUSY_SHARE * objective_s

    def note_alive(self, now_s):
        """Take a sign of life into account."""
        self.waiting_since_s = now_s
        self.is_unreachable = False

    def has_room(self, extra, now_s):
        """Return whether one more request may go there.

        Args:
            extra: Requests beyond the limit that the request's priority allows.
            now_s: Monotonic time in seconds.
        """
        if self.limit + extra >= 1:
            return self.in_flight < self.limit + extra
        pause_s = self.mean_s * (1 / self.limit - 1)
        return self.in_flight == 0 and now_s - self.sent_s >= pause_s

    def is_doubtful(self, now_s):
        """Return whether it cannot be reached, or has been silent for too long."""
        if self.is_unreachable:
            return True
        return self.in_flight > 0 and now_s - self.waiting_since_s > self.silence_s

    @property
    def silence_s(self):
        """How long no answer may come before it counts as silent."""
        return max(SILENCE_S, SILENCE_MEANS * self.mean_s)

    def may_probe(self, now_s):
        """Return whether a request may go to a doubtful endpoint, and count it if so."""
        if now_s - self.probed_s < PROBE_INTERVAL_S:
            return False
        self.probed_s = now_s
        return True

    def _raise(self):
        if self.limit < 1:
            self.limit *= INCREASE
        else:
            self.limit = min(HIGHEST_LIMIT, self.limit + INCREASE_STEP / self.limit)

    def _lower(self, factor, now_s):
        # Requests that were sent before the limit fell say nothing about the new one.
        if now_s - self.lowered_s >= self.mean_s:
            self.lowered_s = now_s
            self.limit = max(LOWEST_LIMIT, self.limit * factor)


class ObservedEndpoints:
    """Observations by endpoint name.

    Args:
        expected_s: Callable that returns the mean time that all routers have seen of an
            endpoint, or ``None``.

    Examples:
        >>> observed = ObservedEndpoints()
        >>> observed.of("e1").in_flight
        0
    """

    __slots__ = ("expected_s", "known")

    def __init__(self, expected_s=lambda endpoint: None):
        self.expected_s = expected_s
        self.known = {}

    def of(self, endpoint):
        """Return the observations of an endpoint."""
        found = self.known.get(endpoint)
        if found is None:
            found = Observed(lambda: self.expected_s(endpoint))
            self.known[endpoint] = found
        return found

    def age(self):
        """Let own answers count less than what the leader has just told."""
        for seen in self.known.values():
            seen.own_answers *= 1 - AGED_SHARE

    def collect_answers(self):
        """Return count and mean time of the answers of each endpoint, and start anew."""
        collected = {}
        for name, seen in self.known.items():
            if seen.answers:
                collected[name] = (seen.answers, seen.answers_s / seen.answers)
                seen.answers, seen.answers_s = 0, 0.0
        return collected

    def forget(self, endpoint):
        """Drop the observations of an endpoint that is gone."""
        self.known.pop(endpoint, None)
