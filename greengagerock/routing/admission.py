"""Decision whether a call is sent to an endpoint of known load, waits at the router or is refused.

It answers a burst of one kind of requests on endpoints that several routes share. An endpoint runs
requests in order of arrival, so the more urgent ones can be preferred only by holding the others
back, and a request that will be late takes room from one that would not.
"""

import msgspec

# Share of its usual requests that a less urgent route keeps at endpoints without a free slot.
LEAST_SHARE = 0.25
# Largest share of the time left that a refused caller is asked to stay away, so that it has time
# for a second and a third try.
MAX_RETRY_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.1
# Relative delay of the retries of each further rank.
RANK_DELAY = 0.5


class Send(msgspec.Struct, frozen=True):
    """The call may be sent now."""


class Wait(msgspec.Struct, frozen=True):
    """The call waits.

    Attributes:
        until_s: Time up to which it can still be sent in time, in monotonic seconds.
    """

    until_s: float


class Refuse(msgspec.Struct, frozen=True):
    """The call cannot be served in time.

    Attributes:
        retry_after_s: Time after which there will be room for it, in seconds.
    """

    retry_after_s: float


class EndpointView(msgspec.Struct, frozen=True):
    """What is believed of an endpoint.

    Attributes:
        requests: Number of requests that run or wait there.
        slots: Number of requests that it runs at once.
        work_s: Time for which a request occupies a slot, in seconds.
        weight: Weight of these values, from 0 to 1; it falls with their age.
    """

    requests: int
    slots: int
    work_s: float
    weight: float


class CallView(msgspec.Struct, frozen=True):
    """What the decision depends on in a call.

    Attributes:
        now_s: Monotonic time in seconds.
        useful_until_s: When its response stops being in time, in monotonic seconds.
        deadline_s: When its caller gives up, in monotonic seconds.
        rank: Rank of its priority among the routes of the service; 0 is the most urgent.
        is_due: Whether its route has got less than its least share.
        calls_ahead: Number of waiting calls of the router that go first, for each endpoint.
        spread: Random number from 0 to 1, which spreads the return of refused callers.
    """

    now_s: float
    useful_until_s: float
    deadline_s: float
    rank: int
    is_due: bool
    calls_ahead: float
    spread: float


def admit(endpoint, call):
    """Return ``Send``, ``Wait`` or ``Refuse``.

    A call for which a slot is free is always sent. Of the others, the most urgent ones are sent
    to the endpoint's queue while they can be in time there. The less urgent ones wait at the
    router for a free slot, except for their least share.

    Args:
        endpoint: The ``EndpointView``.
        call: The ``CallView``.

    Examples:
        >>> full = EndpointView(requests=6, slots=2, work_s=0.25, weight=1.0)
        >>> urgent = CallView(10.0, 11.0, 13.0, 0, False, 0.0, 0.0)
        >>> admit(full, urgent)
        Send()
        >>> admit(full, msgspec.structs.replace(urgent, rank=1))
        Wait(until_s=10.75)
        >>> admit(full, msgspec.structs.replace(urgent, deadline_s=10.75))
        Refuse(retry_after_s=0.25)
    """
    believed_requests = endpoint.weight * endpoint.requests
    if believed_requests < endpoint.slots:
        return Send()
    turn_s = endpoint.work_s / endpoint.slots
    wait_s = (believed_requests + 1 - endpoint.slots) * turn_s
    if call.now_s + wait_s + endpoint.work_s > call.deadline_s:
        return Refuse(retry_after_s(wait_s, call))
    if not call.rank or call.is_due:
        return Send()
    until_s = min(call.useful_until_s, call.deadline_s) - endpoint.work_s
    room_s = wait_s + call.calls_ahead * turn_s
    if call.now_s + room_s > until_s:
        return Refuse(retry_after_s(room_s, call))
    return Wait(until_s)


def retry_after_s(room_s, call):
    """Return when a refused caller should come back, in seconds.

    Args:
        room_s: Time until a slot is free for the call, in seconds.
        call: The ``CallView``.

    Examples:
        >>> retry_after_s(0.5, CallView(10.0, 11.0, 16.0, 1, False, 0.0, 0.5))
        1.125
    """
    delayed_s = max(MIN_RETRY_AFTER_S, room_s) * (1 + RANK_DELAY * call.rank) * (1 + call.spread)
    return max(0.0, min(delayed_s, MAX_RETRY_SHARE * (call.deadline_s - call.now_s)))


class LeastShares:
    """Counts which routes have got less than their least share of a service.

    Attributes:
        credits: Requests that are due, from 0 to 1, by (service, priority).

    Examples:
        >>> shares = LeastShares()
        >>> dues = []
        >>> for _ in range(8):
        ...     shares.note_call("docs", 2)
        ...     dues.append(shares.is_due("docs", 2))
        ...     if dues[-1]:
        ...         shares.note_sent("docs", 2)
        >>> dues
        [False, False, False, True, False, False, False, True]
    """

    __slots__ = ("credits",)

    def __init__(self):
        self.credits = {}

    def note_call(self, service, priority):
        """Count a new call for a service."""
        credit = self.credits.get((service, priority), 0.0)
        self.credits[service, priority] = min(1.0, credit + LEAST_SHARE)

    def is_due(self, service, priority):
        """Return whether the next call of a priority is to be sent although no slot is free."""
        return self.credits.get((service, priority), 0.0) >= 1.0

    def note_sent(self, service, priority):
        """Count a call that is sent."""
        credit = self.credits.get((service, priority), 0.0)
        self.credits[service, priority] = max(0.0, credit - 1.0)
