"""The queue of one endpoint: which request is sent to it next, and which ones are refused.

It answers overload of one endpoint or of all: a burst, a hot key, slow or missing endpoints. The
endpoint's own queue serves in order of arrival, whatever the priorities and the time that callers
have left, and is so long that under overload all responses are late. A gate lets only as many
requests to the endpoint as it runs at once and a few more, so the others can be ordered, and
those that would be late can be refused while their callers still have time to return.
"""

import bisect

from greengagerock.routing.gate_messages import Granted, Queued, Refused

# Requests beyond the endpoint's slots that are sent to it, so that no slot is idle while the end
# of a request is reported to the gate and the next one is on its way.
EXTRA_REQUESTS = 1
# Weight of the newest response in the running mean.
NEWEST_RESPONSE_WEIGHT = 0.15
# A request of a lower priority counts as having arrived later by this share of its time.
RANK_DELAY_SHARE = 0.4
# A request of a lower priority is accepted only if it needs this share of its time, since more
# urgent ones may come before it.
RANK_TIME_SHARE = 0.75
# Response time, in mean response times, that a request must have room for when it is accepted and
# when its turn comes. Running times vary: at its turn, a request that has waited longer than
# expected still has a fair chance with less than a mean.
ACCEPT_MEAN_TIMES = 1.6
TURN_MEAN_TIMES = 0.4
# Time without a response, in seconds and in mean response times, after which an endpoint that
# has requests counts as silent; the longer one applies.
SILENCE_S = 1.0
SILENCE_MEAN_TIMES = 4
# Time between two requests to a silent endpoint, which show whether it responds again.
PROBE_INTERVAL_S = 0.25
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 4.0
# Longest mean response time that is believed of a router.
MAX_MEAN_RESPONSE_S = 5.0
MIN_MEAN_RESPONSE_S = 0.005
# Time after the deadline of a request at which its permit expires if its release was lost.
EXPIRY_MARGIN_S = 0.5


class Waiting:
    """One request at a gate.

    Attributes:
        holder: Address of the router and token of the request.
        rank: Rank of its priority; 0 is served first.
        order_s: Requests are served in ascending order of this time.
        on_time_until_s: When its response is due to meet its latency objective.
        deadline_s: When its caller stops waiting.
    """

    __slots__ = ("deadline_s", "holder", "on_time_until_s", "order_s", "rank")

    def __init__(self, holder, request, now_s):
        self.holder = holder
        self.rank = max(0, request.rank)
        delay_s = RANK_DELAY_SHARE * max(0.0, request.on_time_s) * min(self.rank, 3)
        self.order_s = now_s + delay_s
        self.on_time_until_s = now_s + request.on_time_s
        self.deadline_s = now_s + request.time_left_s


class EndpointGate:
    """Permits and queue of one endpoint instance.

    Args:
        slots: Number of requests that the endpoint runs at once.
        mean_response_s: Mean response time as first known, in seconds.
        random: Random number generator, which spreads the return of refused callers.
        now_s: Monotonic time in seconds.

    Attributes:
        permits: When each permit expires, by holder.
        queue: Waiting requests as (order, sequence, ``Waiting``).
        mean_response_s: Running mean of the response times of requests with a permit.
        blocked_until_s: Until when no permit is given, because the endpoint was full.
        last_response_s: When the endpoint last responded, or when it got a request while it had
            none.
        last_probe_s: When a request was last sent to the silent endpoint.
        last_use_s: When a request last arrived or ended.
        last_queued_s: When a request last had to wait or was refused.
    """

    __slots__ = (
        "_sequence",
        "blocked_until_s",
        "last_probe_s",
        "last_queued_s",
        "last_response_s",
        "last_use_s",
        "limit",
        "mean_response_s",
        "permits",
        "queue",
        "random",
    )

    def __init__(self, slots, mean_response_s, random, now_s):
        self.limit = max(1, slots) + EXTRA_REQUESTS
        self.mean_response_s = min(MAX_MEAN_RESPONSE_S, max(MIN_MEAN_RESPONSE_S, mean_response_s))
        self.random = random
        # Requests that were sent before the gate was known are still at the endpoint.
        expiry_s = now_s + self.mean_response_s
        self.permits = {("", number): expiry_s for number in range(self.limit)}
        self.queue = []
        self.blocked_until_s = float("-inf")
        self.last_response_s = now_s
        self.last_probe_s = float("-inf")
        self.last_use_s = now_s
        self.last_queued_s = float("-inf")
        self._sequence = 0

    @property
    def seconds_per_request(self):
        """Mean time between two ends of requests while the endpoint is busy."""
        return self.mean_response_s / self.limit

    def request(self, holder, request, now_s):
        """Decide about a new request.

        Args:
            holder: Address of the router and token of the request.
            request: The ``PermitRequest``.
            now_s: Monotonic time in seconds.

        Returns:
            ``Granted``, ``Queued`` or ``Refused``.
        """
        self.last_use_s = now_s
        self._expire_permits(now_s)
        if holder in self.permits:
            return Granted()
        waiting = Waiting(holder, request, now_s)
        if self._is_silent(now_s):
            return self._probe_or_refuse(waiting, now_s)
        if not self.queue and self._has_room(now_s):
            self._grant(waiting, now_s)
            return Granted()
        self.last_queued_s = now_s
        wait_s = self._expected_wait_s(waiting, now_s)
        lateness_s = self._lateness_s(waiting, wait_s, now_s)
        if lateness_s > 0 and not self._may_be_late(waiting, wait_s, now_s):
            return Refused(self._retry_after_s(waiting, lateness_s))
        self._sequence += 1
        bisect.insort(self.queue, (waiting.order_s, self._sequence, waiting))
        return Queued(wait_s)

    def release(self, holder, release, now_s):
        """Process the end of a request, or of its wait."""
        self.last_use_s = now_s
        self.queue = [entry for entry in self.queue if entry[2].holder != holder]
        if self.permits.pop(holder, None) is None:
            return
        if release.was_refused:
            self.last_response_s = now_s
            self.last_queued_s = now_s
            self.blocked_until_s = now_s + self.seconds_per_request
        elif release.response_s > 0:
            self.last_response_s = now_s
            response_s = min(release.response_s, MAX_MEAN_RESPONSE_S)
            self.mean_response_s += NEWEST_RESPONSE_WEIGHT * (response_s - self.mean_response_s)
            self.mean_response_s = max(MIN_MEAN_RESPONSE_S, self.mean_response_s)

    def advance(self, now_s):
        """Give permits to waiting requests while there is room.

        Returns:
            Pairs of the holder and the ``Granted`` or ``Refused`` decision about it.
        """
        self._expire_permits(now_s)
        if self._is_silent(now_s):
            return self._refuse_all(now_s)
        decisions = []
        while self.queue and self._has_room(now_s):
            waiting = self.queue.pop(0)[2]
            finish_s = now_s + TURN_MEAN_TIMES * self.mean_response_s
            is_hopeless = finish_s > waiting.deadline_s
            is_late = finish_s > waiting.on_time_until_s and bool(self.queue)
            if is_hopeless or is_late:
                retry_s = self._retry_after_s(waiting, finish_s - waiting.on_time_until_s)
                decisions.append((waiting.holder, Refused(retry_s)))
            else:
                self._grant(waiting, now_s)
                decisions.append((waiting.holder, Granted()))
        return decisions

    def _has_room(self, now_s):
        return len(self.permits) < self.limit and now_s >= self.blocked_until_s

    def _grant(self, waiting, now_s):
        if not self.permits:
            self.last_response_s = now_s
        self.permits[waiting.holder] = waiting.deadline_s + EXPIRY_MARGIN_S

    def _expire_permits(self, now_s):
        for holder in [h for h, until_s in self.permits.items() if until_s <= now_s]:
            del self.permits[holder]

    def _expected_wait_s(self, waiting, now_s):
        """Return the expected time until a new request would get a permit."""
        ahead = bisect.bisect_right(self.queue, waiting.order_s, key=lambda entry: entry[0])
        blocked_s = max(0.0, self.blocked_until_s - now_s)
        return blocked_s + (ahead + 1) * self.seconds_per_request

    def _lateness_s(self, waiting, wait_s, now_s):
        """Return by how much a request would miss its objective, negative if it would not."""
        share = RANK_TIME_SHARE if waiting.rank else 1.0
        available_s = share * (waiting.on_time_until_s - now_s)
        return wait_s + ACCEPT_MEAN_TIMES * self.mean_response_s - available_s

    def _may_be_late(self, waiting, wait_s, now_s):
        """Return whether a request that would be late takes the place of no other one."""
        finish_s = now_s + wait_s + 2 * self.mean_response_s
        return not self.queue and finish_s < waiting.deadline_s

    def _retry_after_s(self, waiting, lateness_s):
        """Return when there will be room, later for less urgent requests.

        The random factor keeps callers that were refused together from returning together.
        """
        retry_s = max(MIN_RETRY_AFTER_S, lateness_s) * (1 + 0.25 * min(waiting.rank, 3))
        return min(MAX_RETRY_AFTER_S, retry_s * self.random.uniform(1.0, 1.5))

    # --- Silent endpoints ----------------------------------------------------------

    def _is_silent(self, now_s):
        """Return whether the endpoint has requests but has not responded for too long."""
        limit_s = max(SILENCE_S, SILENCE_MEAN_TIMES * self.mean_response_s)
        return bool(self.permits) and now_s - self.last_response_s > limit_s

    def _probe_or_refuse(self, waiting, now_s):
        if now_s - self.last_probe_s >= PROBE_INTERVAL_S:
            self.last_probe_s = now_s
            self._grant(waiting, now_s)
            return Granted()
        self.last_queued_s = now_s
        return Refused(self._retry_after_s(waiting, PROBE_INTERVAL_S))

    def _refuse_all(self, now_s):
        refused = [entry[2] for entry in self.queue]
        self.queue = []
        return [
            (waiting.holder, Refused(self._retry_after_s(waiting, PROBE_INTERVAL_S)))
            for waiting in refused
        ]
