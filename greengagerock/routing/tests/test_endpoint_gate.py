"""Tests of the queue of one endpoint: order, refusals, and what callers get under load."""

import heapq
from random import Random

import pytest

from greengagerock.routing.endpoint_gate import (
    ACCEPT_MEAN_TIMES,
    EXTRA_REQUESTS,
    SILENCE_S,
    EndpointGate,
)
from greengagerock.routing.gate_messages import (
    Granted,
    PermitRelease,
    PermitRequest,
    Queued,
    Refused,
)
from greengagerock.routing.gatekeeper import TICK_S

SLOTS = 3
SERVICE_S = 0.4
OBJECTIVE_S = 1.5
DEADLINE_S = 4.0
# Time after which the permits for requests from before the gate have expired.
SETTLED_S = 10.0


def build_gate(slots=SLOTS, mean_response_s=SERVICE_S):
    """Return a gate that has no permits any more."""
    gate = EndpointGate(slots, mean_response_s, Random(1), 0.0)
    gate.advance(SETTLED_S)
    return gate


def request(token, rank=0, on_time_s=OBJECTIVE_S, time_left_s=DEADLINE_S):
    """Return a request for a permit."""
    return PermitRequest(token, "e", 1, SLOTS, SERVICE_S, rank, on_time_s, time_left_s)


def ask(gate, token, now_s=SETTLED_S, **fields):
    """Ask for a permit and return the decision."""
    return gate.request(("a:1", token), request(token, **fields), now_s)


def release(gate, token, now_s, response_s=SERVICE_S, was_refused=False):
    """Return a permit, and return the decisions about waiting requests by token."""
    message = PermitRelease(token, "e", 1, response_s, was_refused)
    gate.release(("a:1", token), message, now_s)
    return {holder[1]: decision for holder, decision in gate.advance(now_s)}


def fill(gate):
    """Take all permits, with tokens from 100 on."""
    for token in range(100, 100 + gate.limit):
        assert ask(gate, token) == Granted()


def test_permits_are_given_up_to_the_slots_and_a_few_more():
    gate = build_gate()
    fill(gate)
    assert gate.limit == SLOTS + EXTRA_REQUESTS
    decision = ask(gate, 1)
    assert decision == Queued(pytest.approx(SERVICE_S / gate.limit))
    assert release(gate, 100, SETTLED_S + 0.1) == {1: Granted()}


def test_requests_sent_before_the_gate_was_known_take_its_first_permits():
    gate = EndpointGate(SLOTS, SERVICE_S, Random(1), 0.0)
    assert isinstance(gate.request(("a:1", 1), request(1), 0.0), Queued)
    assert gate.advance(0.1) == []
    assert gate.advance(SERVICE_S + 0.01) == [(("a:1", 1), Granted())]


def test_request_that_would_miss_its_objective_is_refused_at_once():
    gate = build_gate()
    fill(gate)
    decisions = [ask(gate, token) for token in range(40)]
    queued = sum(isinstance(decision, Queued) for decision in decisions)
    # The last one that is queued ends just within its objective.
    longest = (queued * SERVICE_S) / gate.limit + ACCEPT_MEAN_TIMES * SERVICE_S
    assert OBJECTIVE_S - SERVICE_S / gate.limit <= longest <= OBJECTIVE_S + 1e-9
    assert all(isinstance(decision, Refused) for decision in decisions[queued:])


def test_refused_caller_learns_when_there_is_room_and_less_urgent_ones_return_later():
    gate = build_gate()
    fill(gate)
    for token in range(40):
        ask(gate, token)
    urgent = [ask(gate, 50 + n).retry_after_s for n in range(50)]
    other = [ask(gate, 150 + n, rank=1).retry_after_s for n in range(50)]
    assert 0.2 <= min(urgent) < max(urgent) <= 0.5
    assert sum(other) > sum(urgent)
    assert len(set(urgent)) == 50


def test_urgent_request_is_served_before_others_that_wait():
    gate = build_gate()
    fill(gate)
    ask(gate, 1, rank=1)
    ask(gate, 2, rank=1)
    ask(gate, 3, rank=0)
    order = []
    for token in range(100, 103):
        order += release(gate, token, SETTLED_S + 0.1)
    assert order == [3, 1, 2]


def test_request_of_lower_priority_is_not_starved():
    gate = build_gate()
    fill(gate)
    ask(gate, 1, rank=1)
    now_s, token, waited = SETTLED_S, 1000, []
    for _ in range(30):
        now_s += SERVICE_S / gate.limit
        ask(gate, token, now_s, rank=0)
        token += 1
        granted = release(gate, next(iter(gate.permits))[1], now_s)
        waited += [now_s - SETTLED_S for t in granted if t == 1]
    assert waited and waited[0] < OBJECTIVE_S


def test_request_without_enough_time_left_is_refused_when_its_turn_comes():
    gate = build_gate()
    fill(gate)
    assert isinstance(ask(gate, 1, on_time_s=0.8, time_left_s=0.8), Queued)
    ask(gate, 2)
    decisions = release(gate, 100, SETTLED_S + 0.7)
    assert isinstance(decisions[1], Refused)
    assert decisions[2] == Granted()


def test_late_request_is_accepted_only_if_nobody_waits():
    gate = build_gate()
    fill(gate)
    assert isinstance(ask(gate, 1, on_time_s=0.1), Queued)
    assert isinstance(ask(gate, 2, on_time_s=0.1), Refused)


def test_endpoint_that_was_full_gets_a_short_pause():
    gate = build_gate()
    fill(gate)
    ask(gate, 1)
    assert release(gate, 100, SETTLED_S + 0.1, 0.0, was_refused=True) == {}
    assert gate.advance(SETTLED_S + 0.1 + SERVICE_S) == [(("a:1", 1), Granted())]


def test_silent_endpoint_gets_probes_and_all_others_are_refused():
    gate = build_gate()
    fill(gate)
    ask(gate, 1)
    silent_s = SETTLED_S + max(SILENCE_S, 4 * SERVICE_S) + 0.1
    assert [type(decision) for _, decision in gate.advance(silent_s)] == [Refused]
    assert ask(gate, 2, silent_s) == Granted()
    assert isinstance(ask(gate, 3, silent_s + 0.1), Refused)
    assert ask(gate, 4, silent_s + 0.3) == Granted()
    release(gate, 4, silent_s + 0.6)
    assert isinstance(ask(gate, 5, silent_s + 0.6), Queued)


def test_permit_whose_release_was_lost_expires():
    gate = build_gate()
    fill(gate)
    later_s = SETTLED_S + DEADLINE_S + 1.0
    assert ask(gate, 1, later_s) == Granted()


def test_caller_that_left_while_waiting_is_not_sent():
    gate = build_gate()
    fill(gate)
    ask(gate, 1)
    ask(gate, 2)
    release(gate, 1, SETTLED_S + 0.05)
    assert release(gate, 100, SETTLED_S + 0.1) == {2: Granted()}


class LoadedEndpoint:
    """An endpoint with slots and its own queue, and callers that send it too much.

    Args:
        has_gate: Whether requests pass a gate; else all are sent to the endpoint at once.
        rate: Requests per second.
        seed: Seed of the arrivals and the running times.
    """

    QUEUE_LIMIT = 12

    def __init__(self, has_gate, rate, seed, duration_s=20.0):
        self.random = Random(seed)
        self.gate = EndpointGate(SLOTS, SERVICE_S, Random(seed), 0.0) if has_gate else None
        self.free_s = [0.0] * SLOTS
        self.starts = []
        self.events = []
        self.arrived_s, self.sent_s, self.outcomes, self.waits = {}, {}, {}, []
        at_s = 0.0
        for token in range(int(rate * duration_s)):
            at_s += self.random.expovariate(rate)
            self.arrived_s[token] = at_s
            heapq.heappush(self.events, (at_s, token, "arrive"))
        for number in range(int((duration_s + 2 * OBJECTIVE_S) / TICK_S)):
            heapq.heappush(self.events, (number * TICK_S, -1, "tick"))
        while self.events:
            now_s, token, kind = heapq.heappop(self.events)
            getattr(self, kind)(token, now_s)

    def arrive(self, token, now_s):
        """A caller's request arrives at a router."""
        if self.gate is None:
            self.run(token, now_s)
            return
        decision = self.gate.request(("a:1", token), request(token), now_s)
        if decision == Granted():
            self.run(token, now_s)
        elif isinstance(decision, Refused):
            self.outcomes[token] = "refused"
            self.waits.append(0.0)

    def run(self, token, now_s):
        """The endpoint gets the request."""
        self.sent_s[token] = now_s
        self.starts = [start_s for start_s in self.starts if start_s > now_s]
        if len(self.starts) >= self.QUEUE_LIMIT:
            self.outcomes[token] = "refused"
            return
        slot = self.free_s.index(min(self.free_s))
        start_s = max(now_s, self.free_s[slot])
        self.starts.append(start_s)
        self.free_s[slot] = start_s + self.random.expovariate(1 / SERVICE_S)
        heapq.heappush(self.events, (self.free_s[slot], token, "end"))

    def end(self, token, now_s):
        """The endpoint has responded."""
        took_s = now_s - self.arrived_s[token]
        self.outcomes[token] = "on time" if took_s <= OBJECTIVE_S else "late"
        if self.gate is None:
            return
        message = PermitRelease(token, "e", 1, now_s - self.sent_s[token])
        self.gate.release(("a:1", token), message, now_s)
        self.tick(token, now_s)

    def tick(self, token, now_s):
        """Waiting requests are reconsidered."""
        if self.gate is None:
            return
        for (_, waiting), decision in self.gate.advance(now_s):
            if decision == Granted():
                self.run(waiting, now_s)
            else:
                self.outcomes[waiting] = "refused"
                self.waits.append(now_s - self.arrived_s[waiting])

    def share(self, outcome):
        """Return the share of the requests with an outcome."""
        return sum(o == outcome for o in self.outcomes.values()) / len(self.arrived_s)


@pytest.mark.parametrize("seed", range(4))
def test_callers_of_an_overloaded_endpoint_get_responses_in_time(seed):
    """Callers send 1.6 times as much as the endpoint can run.

    As many are served as without a gate, but in time; the others learn at once that they are
    not, and can return.
    """
    rate = 1.6 * SLOTS / SERVICE_S
    without, with_gate = LoadedEndpoint(False, rate, seed), LoadedEndpoint(True, rate, seed)
    assert without.share("late") > 0.3
    assert with_gate.share("late") < without.share("late") / 2
    # The endpoint can run 1 / 1.6 of the requests.
    assert with_gate.share("on time") > 0.75 / 1.6
    assert with_gate.share("on time") > 1.25 * without.share("on time")
    served = with_gate.share("on time") + with_gate.share("late")
    assert served > 0.9 * (without.share("on time") + without.share("late"))
    at_once = sum(wait_s <= OBJECTIVE_S / 8 for wait_s in with_gate.waits)
    assert at_once > 0.8 * len(with_gate.waits)


@pytest.mark.parametrize("seed", range(3))
def test_gate_costs_callers_nothing_while_there_is_room(seed):
    rate = 0.5 * SLOTS / SERVICE_S
    without, with_gate = LoadedEndpoint(False, rate, seed), LoadedEndpoint(True, rate, seed)
    assert with_gate.share("on time") > without.share("on time") - 0.03
