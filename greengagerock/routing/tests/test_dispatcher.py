"""What a router does with calls, without a network."""

from random import Random

import pytest

from greengagerock.core import TimerService
from greengagerock.core.seam import (
    Answer,
    AttemptFailed,
    CallArrived,
    CallerGone,
    CancelAttempt,
    DropConnections,
    Forward,
    LogEvent,
    Outbox,
    RequestEnded,
)
from greengagerock.routing.dispatcher import Dispatcher
from greengagerock.routing.observed import OWN_ANSWERS
from greengagerock.routing.retries import SharedRetryBudget
from greengagerock.testing.item_builders import build_first_patch
from greengagerock.view import (
    EndpointRecord,
    EndpointTimes,
    HeldUnits,
    ItemsDelta,
    LiveDelta,
    ViewReplica,
)


class Bench:
    """A dispatcher with its surroundings."""

    def __init__(self, endpoints=2, slack=600):
        self.replica = ViewReplica()
        patch = build_first_patch()
        self.replica.apply_items(
            ItemsDelta(0, 1, True, patch.routes, patch.services, patch.limits)
        )
        records = [EndpointRecord("till-1", "t:1", "till", "z", 3)]
        records += [
            EndpointRecord(f"docs-{n}", f"d:{n}", "docs", "z", 3) for n in range(endpoints)
        ]
        owners = {"till": (HeldUnits("till-1", (0, 8192)),)}
        self.replica.apply_live(LiveDelta(1, 0, 1, True, tuple(records), (), owners))
        self.timers = TimerService(10.0)
        self.outbox = Outbox()
        self.crashes = []
        self.dispatcher = Dispatcher(
            "z",
            self.replica,
            SharedRetryBudget(0.2, slack, 10.0),
            self.timers,
            self.outbox,
            Random(1),
            self.crashes.append,
        )
        self.dispatcher.on_items()
        self.tokens = 0

    def call(self, route="balance", key=7, budget_s=1.0):
        """Let a call arrive; returns its token."""
        self.tokens += 1
        path = f"/{route}/x{self.tokens}"
        event = CallArrived(
            self.tokens, f"r{self.tokens}", "GET", "shop.example", path, path, budget_s, key
        )
        self.dispatcher.on_call(event)
        return self.tokens

    def fail(self, token, reason, bytes_left=True):
        """Let the attempt of a call fail."""
        self.dispatcher.on_attempt_failed(AttemptFailed(token, reason, bytes_left, False))

    def effects(self):
        """Return effects other than log lines since the last call."""
        return [e for e in self.outbox.drain() if not isinstance(e, LogEvent)]

    def lose_holder(self):
        """Let all keys be without a holder."""
        _, units = self.replica.apply_live(
            LiveDelta(1, 1, 2, False, (), (), {"till": (HeldUnits("", (0, 8192)),)})
        )
        self.dispatcher.on_live([], units)


def test_call_goes_to_the_holder_with_the_time_that_is_left():
    bench = Bench()
    bench.call(budget_s=0.6)
    (forward,) = bench.effects()
    assert (forward.endpoint, forward.timeout_s) == ("till-1", pytest.approx(0.6))


def test_unknown_route_and_unfilled_view():
    bench = Bench()
    bench.call("nowhere")
    assert bench.effects()[0].code == "unknown-route"
    bench.replica.items_revision = 0
    bench.call()
    assert bench.effects()[0].code == "not-ready"


def test_unsafe_call_is_not_sent_again_after_bytes_left():
    bench = Bench()
    token = bench.call("charge")
    bench.effects()
    bench.fail(token, "lost")
    (answer,) = bench.effects()
    assert (answer.code, answer.outcome) == ("answer-lost", "unknown")
    assert bench.crashes


def test_safe_call_is_sent_once_more_and_then_answered_unknown():
    bench = Bench()
    token = bench.call()
    bench.effects()
    bench.fail(token, "lost")
    assert isinstance(bench.effects()[0], Forward)
    seen = bench.dispatcher.observed.of("till-1")
    seen.own_s, seen.own_answers = 0.25, OWN_ANSWERS
    bench.fail(token, "refused")
    (answer,) = bench.effects()
    assert (answer.code, answer.outcome) == ("answer-lost", "unknown")


def test_refused_call_without_keys_goes_to_another_endpoint_only():
    bench = Bench()
    token = bench.call("prices", None)
    first = bench.effects()[0].endpoint
    bench.fail(token, "refused")
    second = bench.effects()[0].endpoint
    assert first != second
    bench.fail(token, "refused")
    (answer,) = bench.effects()
    assert (answer.code, answer.outcome) == ("endpoint-refused", "not-run")
    assert answer.retry_after_s is not None


def test_holder_that_refuses_though_it_is_not_full_is_asked_again():
    bench = Bench()
    token = bench.call()
    bench.effects()
    for _ in range(2):
        bench.fail(token, "refused")
        assert bench.effects() == []
        bench.timers.advance(bench.timers.now_s + 0.05)
        assert isinstance(bench.effects()[0], Forward)
    bench.fail(token, "refused")
    assert bench.effects()[0].code == "endpoint-refused"


def test_call_that_a_busy_holder_refuses_is_answered_at_once():
    bench = Bench()
    seen = bench.dispatcher.observed.of("till-1")
    seen.own_s, seen.own_answers = 0.25, OWN_ANSWERS
    token = bench.call()
    bench.effects()
    bench.fail(token, "refused")
    assert bench.effects()[0].code == "endpoint-refused"


def test_holder_that_all_routers_together_see_busy_is_not_asked_again():
    """One router sees a few of its answers only, and those were quick."""
    bench = Bench()
    seen = bench.dispatcher.observed.of("till-1")
    seen.own_s, seen.own_answers = 0.08, OWN_ANSWERS
    bench.replica.times = EndpointTimes(1, {"till": 90}, {"till-1": 420})
    token = bench.call()
    bench.effects()
    bench.fail(token, "refused")
    assert bench.effects()[0].code == "endpoint-refused"


def test_no_retry_beyond_the_budget():
    bench = Bench(slack=0)
    token = bench.call("prices", None)
    bench.effects()
    bench.fail(token, "refused")
    assert isinstance(bench.effects()[0], Answer)


def test_call_for_a_key_between_holders_waits_and_goes_to_the_new_one():
    bench = Bench()
    bench.lose_holder()
    bench.call()
    assert bench.effects() == []
    _, units = bench.replica.apply_live(
        LiveDelta(1, 2, 3, False, (), (), {"till": (HeldUnits("till-1", (0, 8192)),)})
    )
    bench.dispatcher.on_live([], units)
    assert isinstance(bench.effects()[0], Forward)


def test_call_for_a_key_without_holder_is_refused_before_its_time_is_over():
    bench = Bench()
    bench.lose_holder()
    bench.call(budget_s=0.5)
    bench.timers.advance(10.2)
    (answer,) = bench.effects()
    assert (answer.code, answer.outcome) == ("key-moving", "not-run")


def test_other_endpoint_answers_not_owner():
    bench = Bench()
    token = bench.call()
    bench.effects()
    bench.fail(token, "not-owner", False)
    assert bench.effects() == []
    bench.timers.advance(11.0)
    assert bench.effects()[0].code == "key-moving"


def test_unreachable_holder_is_tried_twice_then_refused_at_once():
    bench = Bench()
    token = bench.call()
    bench.effects()
    bench.fail(token, "connect", False)
    assert isinstance(bench.effects()[0], Forward)
    bench.fail(token, "connect", False)
    assert bench.effects()[0].code == "connect-failed"
    bench.call()
    assert bench.effects()[0].code == "connect-failed"
    bench.timers.advance(10.5)
    token = bench.call()
    assert isinstance(bench.effects()[-1], Forward)
    bench.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    bench.call()
    assert isinstance(bench.effects()[0], Forward)


def test_nothing_is_sent_after_the_deadline():
    bench = Bench()
    token = bench.call(budget_s=0.2)
    bench.effects()
    bench.timers.advance(10.2005)
    bench.effects()
    bench.fail(token, "connect", False)
    (answer,) = bench.effects()
    assert (answer.code, answer.outcome) == ("no-room", "not-run")


def test_silent_holder_gets_only_probes():
    bench = Bench()
    bench.call()
    bench.timers.advance(10.9)
    bench.effects()
    outcomes = []
    for _ in range(5):
        bench.call()
        outcomes.append(type(bench.effects()[-1]))
    assert outcomes.count(Forward) == 1


def test_requests_on_silent_connections_are_given_up_when_a_new_one_is_answered():
    bench = Bench()
    stuck = bench.call()
    bench.timers.advance(10.9)
    bench.effects()
    probe = bench.call()
    drop, forward = bench.effects()
    assert (drop, forward.token) == (DropConnections("t:1"), probe)
    bench.dispatcher.on_ended(RequestEnded(probe, True, 0.03))
    assert bench.effects() == [CancelAttempt(stuck, only_reused=True)]
    bench.fail(stuck, "lost")
    assert isinstance(bench.effects()[0], Forward)


def test_overloaded_holder_gets_urgent_calls_only():
    """Callers ask for one key far beyond what its holder can run in time."""
    bench = Bench()
    tokens = [bench.call() for _ in range(6)]
    bench.effects()
    bench.call()
    assert bench.effects()[0].code == "no-room"
    for token in tokens:
        bench.timers.advance(bench.timers.now_s + 0.4)
        bench.dispatcher.on_ended(RequestEnded(token, True, 0.9))
    limit = bench.dispatcher.observed.of("till-1").limit
    assert limit < 4


def test_caller_that_left_is_cancelled_unless_the_call_is_unsafe():
    bench = Bench()
    safe, unsafe = bench.call(), bench.call("charge")
    bench.effects()
    bench.dispatcher.on_caller_gone(CallerGone(safe))
    assert bench.effects() == [CancelAttempt(safe)]
    bench.dispatcher.on_caller_gone(CallerGone(unsafe))
    assert bench.effects() == []
    bench.fail(safe, "lost")
    assert [e for e in bench.effects() if isinstance(e, Forward)] == []


def test_banned_call_is_refused():
    bench = Bench()
    bench.call()
    call = next(iter(bench.dispatcher.calls.values()))
    bench.dispatcher.banned = frozenset({call.fingerprint})
    bench.effects()
    bench.tokens = 0
    bench.dispatcher.calls.clear()
    bench.call()
    assert bench.effects()[0].code == "request-suspended"


def test_stopping_router_refuses_and_closes():
    bench = Bench()
    bench.dispatcher.stopping = True
    bench.call()
    (answer,) = bench.effects()
    assert (answer.code, answer.close) == ("stopping", True)


def test_callers_broken_body_is_no_fault_of_the_endpoint():
    """A caller that sends malformed chunks must not get endpoints avoided."""
    bench = Bench()
    for _ in range(5):
        bench.fail(bench.call("charge"), "caller")
    answers = [effect for effect in bench.effects() if isinstance(effect, Answer)]
    assert [(answer.code, answer.outcome) for answer in answers] == [
        ("bad-request", "unknown")
    ] * 5
    assert not bench.dispatcher.health.is_avoided("till-1", bench.timers.now_s)
    assert bench.crashes == []
