"""Admission of calls to endpoints of known load, and the calls that wait for a free slot."""

from collections import Counter

from greengagerock.core.interface import WatchCaller
from greengagerock.routing.admission import (
    MAX_RETRY_SHARE,
    CallView,
    EndpointView,
    LeastShares,
    Refuse,
    Send,
    Wait,
    admit,
)
from greengagerock.routing.waiting_calls import WaitingCalls

# Time between two examinations of the waiting calls: a third of a short piece of work.
EXAMINE_INTERVAL_S = 0.05
# Longest time from an event of a call to a decision on it, below the time for which the I/O layer
# waits for one.
MAX_DECISION_S = 4.0

CAUSE_LATE = "late"
CAUSE_LESS_URGENT = "less-urgent"
CAUSE_QUEUE_FULL = "queue-full"
CAUSE_STOPPING = "stopping"


class CallAdmission:
    """Applies ``admit`` to calls, lets them wait, and refuses them.

    Endpoints whose load is unknown admit all calls.

    Args:
        observations: The ``EndpointObservations``.
        ranks: Callable that returns the rank of a call's priority in its service.
        replica: The ``ViewReplica``.
        random: Random number generator.
        timers: The timer service.
        outbox: Receives effects.
        send: Callable that sends a call, lets it wait, or refuses it.
        release_turn: Callable that gives the turn of a call on the link to others.
        refuse: Callable that refuses a call, with an error code, a detail and the time after
            which the caller may return.

    Attributes:
        is_enabled: Whether calls are held back and refused by load at all.
        waiting: The ``WaitingCalls``.
        shares: The ``LeastShares``.
        refusals: Number of refused calls by cause.
        wait_count: Number of calls that have waited.
        wait_sum_s: Time that these calls have waited, in seconds.
        is_stopping: Whether calls are refused instead of waiting.
    """

    def __init__(
        self,
        observations,
        ranks,
        replica,
        random,
        timers,
        outbox,
        send,
        release_turn,
        refuse,
    ):
        self.observations = observations
        self.ranks = ranks
        self.replica = replica
        self.random = random
        self.timers = timers
        self.outbox = outbox
        self.send = send
        self.release_turn = release_turn
        self.refuse = refuse
        self.is_enabled = False
        self.waiting = WaitingCalls()
        self.shares = LeastShares()
        self.refusals = Counter()
        self.wait_count = 0
        self.wait_sum_s = 0.0
        self.is_stopping = False
        self._waits_since_s = {}
        self._timer = None

    # --- Decisions -----------------------------------------------------------------

    def admits(self, call, record):
        """Return whether a call may be sent to an endpoint now.

        If not, ``settle`` lets it wait or refuses it, unless another endpoint admits it.
        """
        if not self.is_enabled:
            return True
        now_s = self.timers.now_s
        mean_s = self.observations.observation_of(record.name).mean_response_s
        known = self.observations.loads.known_load(record, mean_s, now_s)
        call.known_load = known
        if known is None:
            call.verdict = None
            return True
        rank, priority = self.ranks(call), call.route.priority
        if not call.is_share_counted:
            call.is_share_counted = True
            self.shares.note_call(call.service, priority)
        verdict = admit(
            EndpointView(known.requests, known.slots, known.work_s, known.weight),
            self._view(call, rank, now_s),
        )
        if isinstance(verdict, Send):
            self.shares.note_sent(call.service, priority)
            call.verdict = None
            return True
        # An endpoint at which the call can wait counts more than one that it is too late for.
        if not isinstance(call.verdict, Wait) or isinstance(verdict, Wait):
            call.verdict = verdict
        return False

    def _view(self, call, rank, now_s):
        ahead = self.waiting.count_ahead(call) if rank and len(self.waiting) else 0
        endpoint_count = len(self.replica.by_service.get(call.service, ()))
        useful_until_s = min(call.deadline_s, call.event_s + MAX_DECISION_S)
        if call.route.objective_s is not None:
            useful_until_s = min(useful_until_s, call.arrived_s + call.route.objective_s)
        return CallView(
            now_s,
            useful_until_s,
            call.deadline_s,
            rank,
            self.shares.is_due(call.service, call.route.priority),
            ahead / max(1, endpoint_count),
            self.random.random(),
        )

    def settle(self, call):
        """Let a call wait that no endpoint admits, or refuse it.

        Returns:
            Whether that was done: false if the load of no endpoint is the reason.
        """
        match call.verdict:
            case None:
                return False
            case _ if self.is_stopping:
                self._refuse(call, CAUSE_STOPPING, 0.0)
            case Wait(until_s):
                self._wait(call, until_s)
            case Refuse(retry_after_s):
                cause = CAUSE_LESS_URGENT if self.ranks(call) else CAUSE_LATE
                self._refuse(call, cause, retry_after_s)
        return True

    def _refuse(self, call, cause, retry_after_s):
        self.remove(call.token)
        self.refusals[cause] += 1
        code = "stopping" if cause == CAUSE_STOPPING else "no-room"
        known = call.known_load
        belief = "" if known is None else f"; last endpoint: {known.describe()}"
        self.refuse(call, code, f"{cause}{belief}", retry_after_s)

    # --- Waiting calls -------------------------------------------------------------

    def _wait(self, call, until_s):
        is_new = call.token not in self.waiting
        for excess in self.waiting.put(call, until_s):
            self._refuse(excess, CAUSE_QUEUE_FULL, self._latest_retry_s(excess))
        if call.token not in self.waiting:
            return
        if is_new:
            self._waits_since_s[call.token] = self.timers.now_s
            self.outbox.log(
                "call-waits",
                request_id=call.request_id,
                service=call.service,
                waiting=len(self.waiting),
                until_ms=round(1000 * (until_s - self.timers.now_s)),
                detail=call.known_load.describe(),
            )
            self.outbox.add(WatchCaller(call.token))
            self._schedule()
        # A call that waits for an endpoint must not keep others off the link.
        self.release_turn(call)

    def _latest_retry_s(self, call):
        """Return when a caller should come back if it is unknown when there will be room."""
        left_s = max(0.0, call.deadline_s - self.timers.now_s)
        return MAX_RETRY_SHARE * left_s * self.random.uniform(0.5, 1.0)

    def remove(self, token):
        """Remove a call that has ended, or that does not wait any longer."""
        self.waiting.remove(token)
        since_s = self._waits_since_s.pop(token, None)
        if since_s is not None:
            self.wait_count += 1
            self.wait_sum_s += self.timers.now_s - since_s

    def stop(self):
        """Refuse all waiting calls as not run; their callers may use another host at once."""
        self.is_stopping = True
        for call in self.waiting.in_order():
            self._refuse(call, CAUSE_STOPPING, 0.0)

    def _schedule(self):
        if self._timer is None and len(self.waiting):
            self._timer = self.timers.subscribe(EXAMINE_INTERVAL_S, self._examine)

    def _examine(self):
        """Send the waiting calls for which there is room, and refuse those that are too late.

        If the first call for a service without keys, or for a holder of keys, still has to wait,
        those after it have to as well.
        """
        self._timer = None
        blocked = set()
        for call in self.waiting.in_order():
            if call.token not in self.waiting:
                continue
            holder = "" if call.key is None else self.replica.owner_of(call.service, call.key)
            group = (call.service, holder)
            if self.waiting.until_s(call.token) <= self.timers.now_s:
                self._refuse(call, CAUSE_LESS_URGENT, self._latest_retry_s(call))
            elif group not in blocked:
                call.verdict = None
                self.send(call)
                if call.verdict is None:
                    self.remove(call.token)
                else:
                    blocked.add(group)
        self._schedule()
