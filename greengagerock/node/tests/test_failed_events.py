"""An exception while an event of a call is handled leaves nothing of the call behind."""

import pytest
from msgspec.structs import replace

from greengagerock.core.interface import (
    AttemptFailed,
    CallAbandoned,
    CallArrived,
    CallerDisconnected,
    CancelAttempt,
    Forward,
    RequestEnded,
    RespondWithError,
    StopProcess,
    StopRequested,
    TimeAdvanced,
)
from greengagerock.node.router_node import RouterNode
from greengagerock.node.site_config import SiteConfig
from greengagerock.testing.dispatcher_harness import DispatcherHarness

CALL = CallArrived(1, "r1", "GET", "shop.example", "/balance/x", "/balance/x", 1.0, 7)
UNKEYED_CALL = CallArrived(1, "r1", "GET", "shop.example", "/prices/x", "/prices/x", 1.0, None)


@pytest.fixture
def node():
    """Return a router with the dispatcher of a harness."""
    harness = DispatcherHarness()
    built = RouterNode(SiteConfig("edge-1", "z", "10.0.0.1:1", ()), 10.0, lambda: 0)
    built.dispatcher, built.outbox, built.timers = (
        harness.dispatcher,
        harness.outbox,
        harness.timers,
    )
    return built


def fail_at(node, event, owner, name, monkeypatch):
    """Handle an event during which a method raises, as the event loop does."""

    def fail(*arguments, **options):
        raise RuntimeError("unexpected")

    with monkeypatch.context() as patch:
        patch.setattr(type(owner), name, fail)
        with pytest.raises(RuntimeError):
            node.handle(event, 10.0)
    node.abandon(event)


def check_nothing_left(node):
    """Check that no call, slot or wait is left."""
    dispatcher = node.dispatcher
    assert dispatcher.calls == {}
    assert dispatcher.sender.waiting_calls == {}
    assert dispatcher.sender.calls_awaiting_turns == {}
    assert not dispatcher.sender.link_schedule.running
    for name in dispatcher.replica.endpoints:
        assert dispatcher.observations.observation_of(name).in_flight == 0
    assert not any(isinstance(effect, Forward) for effect in node.outbox.drain())


@pytest.mark.parametrize("method", ["send", "is_keyed", "forward", "_has_turn", "_send_to_holder"])
def test_arrival(node, method, monkeypatch):
    fail_at(node, CALL, node.dispatcher.sender, method, monkeypatch)
    check_nothing_left(node)


@pytest.mark.parametrize(
    "reason", ["connect", "refused", "not-owner", "lost", "timeout", "caller"]
)
@pytest.mark.parametrize("call", [CALL, UNKEYED_CALL])
def test_failed_attempt(node, reason, call, monkeypatch):
    """A caller got an error, and its call stayed in flight for ever."""
    node.handle(call, 10.0)
    event = AttemptFailed(1, reason, reason != "connect", False)
    responder = node.dispatcher.error_responder
    fail_at(node, event, responder, "log_failed_attempt", monkeypatch)
    check_nothing_left(node)


@pytest.mark.parametrize(
    ("part", "method"),
    [("demand", "note_response"), ("health", "note_success"), ("stats", "count")],
)
def test_end(node, part, method, monkeypatch):
    node.handle(CALL, 10.0)
    owner = getattr(node.dispatcher, part)
    fail_at(node, RequestEnded(1, True, 0.1, 5), owner, method, monkeypatch)
    check_nothing_left(node)


def test_stopping_router_ends_after_a_failed_event(node, monkeypatch):
    """A call that stayed in flight kept a stopping router waiting until its grace period ended."""
    node.handle(CALL, 10.0)
    event = AttemptFailed(1, "lost", True, False)
    responder = node.dispatcher.error_responder
    fail_at(node, event, responder, "log_failed_attempt", monkeypatch)
    assert node.dispatcher.calls == {}


@pytest.mark.parametrize("call", [CALL, UNKEYED_CALL])
def test_call_whose_worker_thread_has_given_up_leaves_nothing(node, call):
    """It kept its place at the endpoint, and each later stop took the whole grace period."""
    node.handle(call, 10.0)
    node.handle(CallAbandoned(1), 15.0)
    check_nothing_left(node)


def test_late_event_loop_leaves_time_for_the_errors_of_a_stop(node):
    """The process ended before worker threads could respond."""
    node.handle(StopRequested(), 10.0)
    node.handle(replace(CALL, budget_s=9.0), 10.1)
    node.outbox.drain()
    effects = node.handle(TimeAdvanced(), 16.0)
    (stop,) = [effect for effect in effects if isinstance(effect, StopProcess)]
    assert stop.wait_s >= 0.2
    assert CancelAttempt(1, only_unanswered=True) in effects


def test_calls_are_cancelled_until_the_process_ends(node):
    """A worker thread may begin an attempt after the first cancellation."""
    node.handle(StopRequested(), 10.0)
    node.handle(replace(CALL, budget_s=9.0), 10.1)
    cancellations = 0
    for step in range(540, 570, 5):
        effects = node.handle(TimeAdvanced(), 10.0 + step / 100)
        cancellations += effects.count(CancelAttempt(1, only_unanswered=True))
    assert cancellations >= 3


def test_attempt_of_a_stopping_router_ends_with_its_grace_period(node):
    """It was still opening a connection when the process ended."""
    node.config = replace(node.config, stop_grace_s=4.0)
    node.handle(StopRequested(), 10.0)
    effects = node.handle(CALL, 12.9)
    (forward,) = [effect for effect in effects if isinstance(effect, Forward)]
    assert 12.9 + forward.timeout_s < 13.41


def test_request_after_the_end_of_a_short_grace_period_is_refused(node):
    """It was forwarded, and cut off when the process ended."""
    node.config = replace(node.config, stop_grace_s=3.0)
    node.handle(StopRequested(), 10.0)
    node.handle(TimeAdvanced(), 12.41)
    assert node.stop.is_stopped
    effects = node.handle(CALL, 12.45)
    assert not any(isinstance(effect, Forward) for effect in effects)
    assert any(isinstance(effect, RespondWithError) for effect in effects)


def test_stopping_router_ends_when_the_last_caller_disconnects(node):
    node.handle(CallArrived(1, "r1", "GET", "shop.example", "/balance/x", "", 1.0, 7), 10.0)
    node.handle(StopRequested(), 10.0)
    node.handle(TimeAdvanced(), 13.1)
    assert not node.stop.is_stopped
    node.dispatcher.calls.clear()
    node.handle(CallerDisconnected(1), 13.2)
    assert node.stop.is_stopped
