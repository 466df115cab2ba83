"""Tests of long responses that take turns on a slow link, and of what callers get."""

import heapq
from random import Random

import msgspec
import pytest

from greengagerock.core.interface import (
    AttemptFailed,
    CallerDisconnected,
    Forward,
    RequestEnded,
    RespondWithError,
)
from greengagerock.routing.link_schedule import (
    PARALLEL,
    LinkSchedule,
    RefuseLong,
    Start,
    WaitForTurn,
)
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.testing.item_builders import build_route
from greengagerock.web.connection_limits import LOOP_TIMEOUT_S

LINK_BYTES_PER_S = 250_000
SCANS = build_route("scans", kind="download", objective_s=2.0, weighted_services=(("docs", 1),))
BALANCE = build_route("balance")


def build_schedule():
    """Return the schedule of a link of 2 Mbit/s."""
    return LinkSchedule(LINK_BYTES_PER_S, Random(1))


def test_short_responses_and_fast_links_need_no_turn():
    schedule = build_schedule()
    assert all(schedule.request(n, BALANCE, 1.0, 0.0) == Start() for n in range(50))
    fast = LinkSchedule(None, Random(1))
    assert all(fast.request(n, SCANS, 1.0, 0.0) == Start() for n in range(50))
    assert schedule.running == fast.running == {}


def test_route_whose_responses_turn_out_short_needs_no_turn():
    schedule = build_schedule()
    for _ in range(60):
        schedule.note_size("scans", 900)
    assert not schedule.is_long(SCANS)
    for _ in range(60):
        schedule.note_size("balance", 120_000)
    assert schedule.is_long(BALANCE)


def test_requests_wait_as_long_as_they_will_be_in_time_and_others_are_refused():
    schedule = build_schedule()
    decisions = [schedule.request(n, SCANS, 2.0, 0.0) for n in range(30)]
    waiting = decisions.count(WaitForTurn())
    assert decisions[:PARALLEL] == [Start()] * PARALLEL
    # The last one that waits is finished just within its objective.
    finish_s = waiting * schedule.mean_duration_s / PARALLEL + schedule.mean_duration_s
    assert 2.0 - schedule.mean_duration_s / PARALLEL < finish_s <= 2.0
    refused = decisions[PARALLEL + waiting :]
    assert all(isinstance(decision, RefuseLong) for decision in refused)
    assert len({decision.retry_after_s for decision in refused}) == len(refused)


def test_turn_of_a_caller_that_reads_slowly_goes_to_others():
    schedule = build_schedule()
    for token in range(PARALLEL):
        schedule.request(token, SCANS, 9.0, 0.0)
    assert schedule.request(9, SCANS, 9.0, 0.0) == WaitForTurn()
    assert schedule.next_turns(1.0) == ([], [])
    assert schedule.next_turns(5 * schedule.mean_duration_s) == ([9], [])


class LoadedLink:
    """A slow link that long and short responses share, in order of their arrival at it.

    Args:
        has_schedule: Whether long responses take turns.
        long_rate: Long responses per second.
        seed: Seed of the arrivals.
    """

    LONG_BYTES, LONG_WORK_S, LONG_OBJECTIVE_S = 90_000, 0.29, 2.374
    SHORT_BYTES, SHORT_WORK_S, SHORT_OBJECTIVE_S = 5_000, 0.36, 1.638
    SHORT_RATE = 12.0

    def __init__(self, has_schedule, long_rate, seed, duration_s=40.0):
        self.random = Random(seed)
        self.schedule = LinkSchedule(LINK_BYTES_PER_S if has_schedule else None, Random(seed))
        self.link_free_s = 0.0
        self.events, self.arrived_s = [], {}
        self.in_time = {"long": 0, "short": 0}
        self.count = {"long": 0, "short": 0}
        self.refused_at_once = 0
        for kind, rate in (("long", long_rate), ("short", self.SHORT_RATE)):
            at_s = self.random.expovariate(rate)
            while at_s < duration_s:
                token = len(self.arrived_s)
                self.arrived_s[token] = at_s
                self.count[kind] += 1
                heapq.heappush(self.events, (at_s, token, f"arrive_{kind}"))
                at_s += self.random.expovariate(rate)
        while self.events:
            now_s, token, action = heapq.heappop(self.events)
            getattr(self, action)(token, now_s)

    def arrive_short(self, token, now_s):
        """A caller asks for a short response."""
        heapq.heappush(self.events, (now_s + self.SHORT_WORK_S, token, "send_short"))

    def send_short(self, token, now_s):
        """The endpoint sends a short response over the link."""
        took_s = self._use_link(self.SHORT_BYTES, now_s) - self.arrived_s[token]
        self.in_time["short"] += took_s <= self.SHORT_OBJECTIVE_S

    def arrive_long(self, token, now_s):
        """A caller asks for a long response."""
        match self.schedule.request(token, SCANS, self.LONG_OBJECTIVE_S, now_s):
            case Start():
                self.start_long(token, now_s)
            case RefuseLong():
                self.refused_at_once += 1

    def start_long(self, token, now_s):
        """The endpoint begins to work on a long response."""
        heapq.heappush(self.events, (now_s + self.LONG_WORK_S, token, "send_long"))

    def send_long(self, token, now_s):
        """The endpoint sends a long response over the link."""
        end_s = self._use_link(self.LONG_BYTES, now_s)
        self.in_time["long"] += end_s - self.arrived_s[token] <= self.LONG_OBJECTIVE_S
        heapq.heappush(self.events, (end_s, token, "end_long"))

    def end_long(self, token, now_s):
        """The caller has the whole long response."""
        self.schedule.end(token, now_s)
        for waiting in self.schedule.next_turns(now_s)[0]:
            self.start_long(waiting, now_s)

    def _use_link(self, size, now_s):
        self.link_free_s = max(self.link_free_s, now_s) + size / LINK_BYTES_PER_S
        return self.link_free_s

    def share_in_time(self, kind):
        """Return the share of the requests of a kind with a response in time."""
        return self.in_time[kind] / self.count[kind]


@pytest.mark.parametrize("seed", range(4))
def test_short_responses_are_in_time_on_a_link_with_too_many_long_ones(seed):
    """Callers ask for 1.3 times as much as the link carries, most of it long responses.

    The link carries 2.1 of 3 long responses a second besides the short ones.
    """
    without, scheduled = LoadedLink(False, 3.0, seed), LoadedLink(True, 3.0, seed)
    assert without.share_in_time("short") < 0.5
    assert scheduled.share_in_time("short") > 0.95
    assert scheduled.share_in_time("long") > 0.75 * 2.1 / 3.0
    assert scheduled.share_in_time("long") > without.share_in_time("long")


@pytest.mark.parametrize("seed", range(3))
def test_schedule_costs_callers_nothing_while_the_link_has_room(seed):
    without, scheduled = LoadedLink(False, 0.7, seed), LoadedLink(True, 0.7, seed)
    for kind in ("short", "long"):
        assert scheduled.share_in_time(kind) > without.share_in_time(kind) - 0.02


def build_harness():
    """Return a dispatcher on a slow link whose prices are long responses."""
    harness = DispatcherHarness(endpoints=4, link_bytes_per_s=LINK_BYTES_PER_S)
    schedule = harness.dispatcher.sender.link_schedule
    schedule.note_size("prices", 90_000)
    # The objective of the route is 0.3 s.
    schedule.mean_duration_s = 0.05
    return harness


def test_call_waits_for_its_turn_and_is_sent_when_another_one_ends():
    harness = build_harness()
    tokens = [harness.call("prices", None) for _ in range(PARALLEL + 1)]
    assert [effect.token for effect in harness.effects()] == tokens[:PARALLEL]
    harness.dispatcher.on_ended(RequestEnded(tokens[0], True, 0.05, 90_000))
    (forward,) = harness.effects()
    assert (type(forward), forward.token) == (Forward, tokens[-1])


def test_call_that_would_be_late_is_refused_at_once_with_the_time_to_return():
    harness = build_harness()
    harness.dispatcher.sender.link_schedule.mean_duration_s = 0.4
    for _ in range(PARALLEL):
        harness.call("prices", None)
    harness.effects()
    harness.call("prices", None)
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("no-room", "not-run")
    assert 0.1 <= response.retry_after_s <= 2.0


def test_wait_without_an_objective_ends_before_the_io_layer_gives_up():
    harness = build_harness()
    routes = harness.replica.routes
    routes["prices"] = msgspec.structs.replace(
        routes["prices"], objective_s=None, timeout_s=60.0, version=9
    )
    harness.dispatcher.on_items()
    schedule = harness.dispatcher.sender.link_schedule
    tokens = [harness.call("prices", None, budget_s=60.0) for _ in range(PARALLEL + 1)]
    for token in tokens[:PARALLEL]:
        schedule.running[token] = (99.0, 10.0)
    harness.effects()
    harness.timers.advance(harness.timers.now_s + LOOP_TIMEOUT_S - 0.5)
    (response,) = [e for e in harness.effects() if isinstance(e, RespondWithError)]
    assert (response.token, response.outcome) == (tokens[-1], "not-run")


def test_short_call_does_not_wait_behind_long_ones():
    harness = build_harness()
    for _ in range(PARALLEL + 2):
        harness.call("prices", None)
    harness.effects()
    harness.call("balance", 7)
    assert [type(effect) for effect in harness.effects()] == [Forward]


def test_turn_ends_with_a_failed_attempt():
    harness = build_harness()
    token = harness.call("prices", None)
    harness.effects()
    harness.dispatcher.on_attempt_failed(AttemptFailed(token, "timeout", True, False))
    harness.effects()
    assert harness.dispatcher.sender.link_schedule.running == {}


def test_caller_that_leaves_while_waiting_gives_up_its_turn():
    harness = build_harness()
    schedule = harness.dispatcher.sender.link_schedule
    tokens = [harness.call("prices", None) for _ in range(PARALLEL + 1)]
    assert len(harness.effects()) == PARALLEL
    assert harness.watched_tokens == tokens[-1:]
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(tokens[-1]))
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("caller-gone", "not-run")
    assert not schedule.waiting


def test_call_whose_turn_does_not_come_in_time_is_refused_without_having_run():
    harness = build_harness()
    schedule = harness.dispatcher.sender.link_schedule
    tokens = [harness.call("prices", None) for _ in range(PARALLEL + 1)]
    harness.effects()
    for token in schedule.running:
        schedule.running[token] = (99.0, 10.0)
    harness.timers.advance(harness.timers.now_s + 0.31)
    (response,) = [e for e in harness.effects() if isinstance(e, RespondWithError)]
    assert (response.token, response.outcome) == (tokens[-1], "not-run")
