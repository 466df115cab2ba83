"""A simulated endpoint that reports to controllers and holds the keys that they grant."""

from greengagerock.assignment import EndpointReport, FreedRange, HeldRange
from greengagerock.assignment.units import KEYS_PER_UNIT

# Requests that an endpoint runs at once.
SLOTS_PER_ENDPOINT = 3
# Factor by which a hold lasts longer on an endpoint whose clock runs 2% slow.
CLOCK_DRIFT_FACTOR = 1.02


class FakeReportingEndpoint:
    """An endpoint that reports to controllers, holds keys and checks fences.

    Attributes:
        name: Name of the endpoint.
        holds: Fence and end of the hold by unit, as the endpoint computes them.
        freed: Handover token by unit, for units that it has released but not yet reported.
        highest_fences: Highest fence received by unit; grants with a lower one are ignored.
        is_up: Whether its process runs.
        reachable_controllers: Names of the controllers that it can reach, or ``None`` for all.
        runs: Accepted requests: tuples of request id, unit and time.
        processing_time_s: Time that it takes to run a request.
        queue_limit: Requests that may wait for a slot, or ``None`` if it runs any number at
            once.
        resets_when_full: Whether it resets connections instead of refusing requests.
        limit_per_s: Requests per second that it says it takes, or ``None``.
        max_connect_delay_s: Longest time until it accepts a new connection.
        mean_body_bytes: Mean size of the bodies of its responses.
        arrivals: Tuples of time and router, for each request that reached it.
        notified_routers: Time at which each router first got a response that names the limit.
        cold_until_s: Until when it is cold, as it says in its reports.
        cold_reported_s: When it first reported the present cold phase, or ``None``.
    """

    def __init__(self, name, number, service="till", zone="zone-1", started_ms=1000):
        self.name = name
        self.address = f"10.0.{9 + number // 256}.{number % 256}:80"
        self.service = service
        self.zone = zone
        self.started_ms = started_ms
        self.sequence = 0
        self.draining = False
        self.holds = {}
        self.freed = {}
        self.highest_fences = {}
        self.is_up = True
        self.reachable_controllers = None
        self.runs = []
        self.processing_time_s = 0.01
        self.queue_limit = None
        self.resets_when_full = False
        self.limit_per_s = None
        self.max_connect_delay_s = 0.0
        self.mean_body_bytes = 0
        self.arrivals = []
        self.notified_routers = {}
        self.cold_until_s = 0.0
        self.cold_reported_s = None
        self._busy_until_s = [0.0] * SLOTS_PER_ENDPOINT

    def enqueue_request(self, now_s):
        """Accept a request unless the queue is full.

        Returns:
            Seconds until it is completed, or ``None`` if the queue is full.
        """
        if self.queue_limit is None:
            return self.processing_time_s
        slot = self._busy_until_s.index(min(self._busy_until_s))
        wait_s = max(0.0, self._busy_until_s[slot] - now_s)
        if wait_s * SLOTS_PER_ENDPOINT >= self.queue_limit * self.processing_time_s and wait_s > 0:
            return None
        self._busy_until_s[slot] = now_s + wait_s + self.processing_time_s
        return wait_s + self.processing_time_s

    def load_notice(self, now_s):
        """Return the ``LoadNotice`` of a response: this endpoint states no load."""
        return None

    def count_over_limit(self, window_s, delay_s, since_s):
        """Return the largest excess of requests over the limit in any window.

        The endpoint tolerates half as many again as the limit allows, and five. Requests of a
        router count from ``delay_s`` after its first response that named the limit.

        Args:
            window_s: Length of a window in seconds.
            delay_s: Time after which a router's requests count, in seconds.
            since_s: End of the first window.
        """
        times = [
            time_s
            for time_s, router in self.arrivals
            if router in self.notified_routers
            and time_s >= self.notified_routers[router] + delay_s
        ]
        counts = [sum(u - window_s < t <= u for t in times) for u in times if u >= since_s]
        return max(counts, default=0) - (1.5 * self.limit_per_s * window_s + 5)

    def become_cold(self, until_s):
        """Be cold until a time; nobody knows before the next report."""
        self.cold_until_s = until_s
        self.cold_reported_s = None

    def report(self, now_s=0.0):
        """Return the endpoint's next report."""
        self.sequence += 1
        if self.cold_until_s > now_s and self.cold_reported_s is None:
            self.cold_reported_s = now_s
        return EndpointReport(
            self.name,
            self.started_ms,
            self.sequence,
            self.address,
            self.service,
            self.zone,
            SLOTS_PER_ENDPOINT,
            self.draining,
            max(0.0, self.cold_until_s - now_s),
            tuple(
                HeldRange(u * KEYS_PER_UNIT, u * KEYS_PER_UNIT + KEYS_PER_UNIT - 1, fence)
                for u, (fence, _) in self.holds.items()
            ),
            tuple(
                FreedRange(u * KEYS_PER_UNIT, u * KEYS_PER_UNIT + KEYS_PER_UNIT - 1, token)
                for u, token in self.freed.items()
            ),
        )

    def expire(self, now_s):
        """Remove holds that have expired."""
        for unit in [u for u, (_, until_s) in self.holds.items() if until_s <= now_s]:
            del self.holds[unit]

    def apply_response(self, response, sent_s, now_s):
        """Apply the response to a report that was sent at ``sent_s``.

        Units that are no longer granted are released. The others are held until ``hold_s`` of
        the response has passed since ``sent_s`` on the endpoint's slow clock. A response
        without grants changes nothing.
        """
        if response.grants is None:
            return
        until_s = sent_s + response.hold_s * CLOCK_DRIFT_FACTOR
        granted_fences = {}
        for row in response.grants:
            for unit in range(row.first // KEYS_PER_UNIT, row.last // KEYS_PER_UNIT + 1):
                granted_fences[unit] = row.fence
        for unit in [u for u in self.holds if u not in granted_fences]:
            del self.holds[unit]
            self.freed[unit] = f"token-{unit}"
        if until_s <= now_s:
            return
        for unit, fence in granted_fences.items():
            if fence >= self.highest_fences.get(unit, 0):
                self.highest_fences[unit] = fence
                self.holds[unit] = (fence, until_s)

    def holds_key(self, key, now_s):
        """Return whether the endpoint may run a request for a key now."""
        self.expire(now_s)
        return key // KEYS_PER_UNIT in self.holds
