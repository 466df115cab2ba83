"""The order of long responses on the slow network link of a router.

It answers a host whose own link is busy: a burst of long responses, or the callers of hosts that
are down. All responses share the link, so a few long ones at the same time delay every short one,
and even the opening of connections, by far more than the work of the endpoints. A schedule lets
only a few long responses in at a time; the others wait for their turn, or are refused at once if
they would be late, so that their callers can use another host.
"""

from collections import deque

import msgspec

# A response is long if it occupies the link for this time.
LONG_TIME_S = 0.1
# Number of long responses at a time: one on the link while endpoints work on others.
PARALLEL = 3
# Weight of the newest response in the running means.
NEWEST_WEIGHT = 0.1
# Size assumed of a download before one was seen, in bytes.
DOWNLOAD_BYTES = 64 * 1024
# Duration assumed of a long response before one was seen, besides its time on the link.
WORK_S = 0.3
# A response whose caller reads slowly gives its turn to others after this many mean durations.
MAX_DURATIONS = 4
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0


class Start(msgspec.Struct, frozen=True):
    """The request may be sent now."""


class WaitForTurn(msgspec.Struct, frozen=True):
    """The request waits; ``LinkSchedule.next_turns`` returns it when its turn has come."""


class RefuseLong(msgspec.Struct, frozen=True):
    """The response would be late.

    Attributes:
        retry_after_s: Expected time until a new request would be accepted, in seconds.
    """

    retry_after_s: float


class LinkSchedule:
    """Turns of the long responses of one router.

    Args:
        bytes_per_s: Speed of the host's link, or ``None`` if it is no bottleneck.
        random: Random number generator, which spreads the return of refused callers.

    Attributes:
        mean_bytes: Running mean of the size of responses by name of the route.
        mean_duration_s: Running mean of the time from sending a request for a long response until
            its caller has it.
        running: When each request for a long response gives its turn to others at the latest, and
            when it was sent, by token.
        waiting: Tokens that wait for their turn with the time until which that makes sense.

    Examples:
        >>> from random import Random
        >>> from greengagerock.testing.item_builders import build_route
        >>> schedule = LinkSchedule(250_000, Random(1))
        >>> route = build_route("scans", kind="download")
        >>> [schedule.request(token, route, 1.0, 0.0) for token in range(4)][2:]
        [Start(), WaitForTurn()]
        >>> schedule.end(0, 0.6)
        >>> schedule.next_turns(0.6)
        ([3], [])
    """

    __slots__ = (
        "bytes_per_s",
        "mean_bytes",
        "mean_duration_s",
        "random",
        "running",
        "waiting",
    )

    def __init__(self, bytes_per_s, random):
        self.bytes_per_s = bytes_per_s
        self.random = random
        self.mean_bytes = {}
        self.mean_duration_s = WORK_S
        if bytes_per_s is not None:
            self.mean_duration_s += DOWNLOAD_BYTES / bytes_per_s
        self.running = {}
        self.waiting = deque()

    def is_long(self, route):
        """Return whether responses of a route occupy the link for long."""
        if self.bytes_per_s is None:
            return False
        assumed = DOWNLOAD_BYTES if route.kind == "download" else 0
        return self.mean_bytes.get(route.name, assumed) > LONG_TIME_S * self.bytes_per_s

    def request(self, token, route, on_time_s, now_s):
        """Decide when a request may be sent.

        Args:
            token: Token of the call.
            route: Its ``RouteItem``.
            on_time_s: Time within which the response is useful, in seconds.
            now_s: Monotonic time in seconds.

        Returns:
            ``Start``, ``WaitForTurn`` or ``RefuseLong``.
        """
        if token in self.running or not self.is_long(route):
            return Start()
        self._expire(now_s)
        if not self.waiting and len(self.running) < PARALLEL:
            self._start(token, now_s)
            return Start()
        wait_s = (len(self.waiting) + 1) * self.mean_duration_s / PARALLEL
        lateness_s = wait_s + self.mean_duration_s - on_time_s
        if lateness_s > 0:
            retry_s = max(MIN_RETRY_AFTER_S, lateness_s) * self.random.uniform(1.0, 1.5)
            return RefuseLong(min(MAX_RETRY_AFTER_S, retry_s))
        self.waiting.append((token, now_s + on_time_s))
        return WaitForTurn()

    def try_start_relayed(self, token, now_s):
        """Let a long response for another router start if no other uses the link; return whether.

        It passes the link in both directions, and takes the time of requests of own callers. The
        caller of the other router can come back to one that needs no relay.
        """
        if self.bytes_per_s is None:
            return True
        self._expire(now_s)
        if self.running or self.waiting:
            return False
        self._start(token, now_s)
        return True

    def end(self, token, now_s, is_complete=True):
        """Process the end of a request, or of its wait."""
        entry = self.running.pop(token, None)
        if entry is None:
            self.waiting = deque(pair for pair in self.waiting if pair[0] != token)
        elif is_complete:
            self.mean_duration_s += NEWEST_WEIGHT * (now_s - entry[1] - self.mean_duration_s)

    def note_size(self, route_name, body_bytes):
        """Record the size of a complete response."""
        if self.bytes_per_s is not None:
            mean = self.mean_bytes.get(route_name, body_bytes)
            self.mean_bytes[route_name] = mean + NEWEST_WEIGHT * (body_bytes - mean)

    def next_turns(self, now_s):
        """Return the tokens whose turn has come, and those that waited in vain."""
        self._expire(now_s)
        hopeless = [token for token, until_s in self.waiting if until_s <= now_s]
        self.waiting = deque(pair for pair in self.waiting if pair[1] > now_s)
        started = []
        while self.waiting and len(self.running) < PARALLEL:
            token, _ = self.waiting.popleft()
            self._start(token, now_s)
            started.append(token)
        return started, hopeless

    def _start(self, token, now_s):
        self.running[token] = (now_s + MAX_DURATIONS * self.mean_duration_s, now_s)

    def _expire(self, now_s):
        for token in [t for t, (until_s, _) in self.running.items() if until_s <= now_s]:
            del self.running[token]
