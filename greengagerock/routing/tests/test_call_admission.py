"""Tests of calls that are held back by the load of endpoints."""

import pytest

from greengagerock.core.interface import (
    CallerDisconnected,
    Forward,
    LoadNotice,
    LogEvent,
    RespondWithError,
)
from greengagerock.testing.admission_harness import FULL, IDLE, LESS_URGENT, URGENT
from greengagerock.testing.admission_harness import AdmissionHarness as Harness


def forwarded(harness):
    """Return the tokens that were sent to endpoints since the last call."""
    return [effect.token for effect in harness.effects() if isinstance(effect, Forward)]


def refused(harness):
    """Return the error responses since the last call."""
    return [effect for effect in harness.effects() if isinstance(effect, RespondWithError)]


@pytest.mark.parametrize("load", [None, IDLE, LoadNotice(2, 0, 3, 100)])
def test_unknown_load_and_free_slots_admit_all_calls(load):
    """Sites whose endpoints state no load must behave as before."""
    harness = Harness()
    if load is not None:
        harness.state_load(load)
    token = harness.call(LESS_URGENT, None)
    assert forwarded(harness) == [token]


def test_less_urgent_call_waits_for_a_free_slot():
    harness = Harness()
    harness.state_load(FULL)
    token, urgent = *harness.call_held(budget_s=5.0), harness.call(URGENT, None, 5.0)
    assert forwarded(harness) == [urgent]
    assert harness.watched_tokens == [token]
    harness.end(urgent, IDLE)
    harness.advance(0.05)
    assert forwarded(harness) == [token]
    assert harness.admission.wait_count == 1 and not len(harness.admission.waiting)


def test_less_urgent_calls_keep_a_quarter():
    """Held-back calls must not starve while the endpoint stays full."""
    harness = Harness(objective_s=8.0)
    full, sent = LoadNotice(3, 1, 3, 100), []
    harness.state_load(full)
    for _ in range(40):
        harness.call(LESS_URGENT, None, 9.0)
        harness.advance(0.1, full)
        for token in forwarded(harness):
            sent.append(token)
            harness.end(token, full)
    assert len(sent) == 10


def test_waiting_calls_go_by_priority_and_remaining_time():
    harness = Harness()
    harness.state_load(FULL)
    budgets_s = (5.0, 3.0, 4.0)
    tokens = [harness.call_held(budget_s=budget_s)[0] for budget_s in budgets_s]
    for expected in (tokens[1], tokens[2], tokens[0]):
        harness.advance(0.05, LoadNotice(2, 0, 3, 100))
        assert forwarded(harness) == [expected]


def test_call_is_refused_when_it_cannot_be_in_time_any_more():
    """A caller must not wait beyond its time; it needs time for another try."""
    harness = Harness(objective_s=0.5)
    harness.state_load(FULL)
    (token,) = harness.call_held(budget_s=3.0)
    harness.admission.shares.credits.clear()
    harness.advance(0.45, FULL)
    (error,) = refused(harness)
    assert (error.token, error.code, error.outcome) == (token, "no-room", "not-run")
    assert 0 < error.retry_after_s <= 2.6 / 3
    assert harness.admission.refusals == {"less-urgent": 1}


def test_call_that_would_wait_beyond_its_deadline_is_refused_at_once():
    harness = Harness()
    harness.state_load(LoadNotice(3, 40, 3, 100))
    harness.call(URGENT, None, budget_s=1.0)
    (error,) = refused(harness)
    assert (error.code, error.outcome) == ("no-room", "not-run")
    assert 0 < error.retry_after_s <= 1 / 3
    assert "waiting 40" in error.detail and "0 ms ago" in error.detail
    # A fading value refuses nobody for a queue that may have been worked off.
    harness.timers.advance(harness.timers.now_s + 1.9)
    token = harness.call(URGENT, None, budget_s=1.0)
    assert forwarded(harness) == [token]


def test_keyed_call_is_refused_by_the_load_of_its_holder():
    harness = Harness()
    harness.loads.work_s_by_service["till"] = 0.1
    harness.state_load(LoadNotice(3, 90, 3, 100), "till-1")
    harness.call()
    (error,) = refused(harness)
    assert (error.code, error.outcome) == ("no-room", "not-run")


def test_endpoint_with_room_is_found_before_a_call_waits():
    harness = Harness(endpoints=4)
    for number in range(3):
        harness.state_load(FULL, f"docs-{number}")
    tokens = harness.call_held(3)
    assert forwarded(harness) == tokens


def test_full_queue_is_examined_with_one_choice_of_an_endpoint():
    """A choice looks at all endpoints; one for each waiting call would occupy the router."""
    harness = Harness()
    harness.state_load(FULL)
    for key in range(20):
        harness.admission.shares.credits.clear()
        harness.call(LESS_URGENT, key, 5.0)
    sent, send = [], harness.admission.send
    harness.admission.send = lambda call: (sent.append(call.token), send(call))
    harness.admission.shares.credits.clear()
    harness.advance(0.05, FULL)
    assert sent == [1] and len(harness.admission.waiting) == 20


def test_caller_that_disconnects_leaves_the_queue():
    harness = Harness()
    harness.state_load(FULL)
    (token,) = harness.call_held()
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    assert not len(harness.admission.waiting)
    harness.advance(0.2, IDLE)
    assert forwarded(harness) == []


def test_queue_is_bounded_by_bodies_and_calls():
    harness = Harness()
    harness.state_load(LoadNotice(3, 0, 3, 100))
    harness.admission.waiting.max_calls = 5
    harness.call_held(6, budget_s=9.0)
    (error,) = refused(harness)
    assert error.detail.startswith("queue-full") and error.outcome == "not-run"
    assert 0 < error.retry_after_s <= 3.0
    assert len(harness.admission.waiting) == 5


def test_stop_refuses_a_full_queue_as_not_run_at_once():
    """Callers must get a response before the process ends, and may use another host."""
    harness = Harness()
    harness.admission.waiting.max_calls = 9
    harness.state_load(LoadNotice(3, 0, 3, 100))
    tokens = harness.call_held(9, budget_s=9.0)
    harness.dispatcher.begin_closing()
    errors = refused(harness)
    assert sorted(error.token for error in errors) == tokens
    assert {(e.code, e.outcome, e.retry_after_s, e.close) for e in errors} == {
        ("stopping", "not-run", 0.0, True)
    }
    harness.call_held()
    assert [(e.code, e.retry_after_s) for e in refused(harness)] == [("stopping", 0.0)]
    assert harness.dispatcher.calls == {}


def test_waiting_call_does_not_keep_its_turn_on_the_link():
    """Long responses of other services could not start while it waits."""
    harness = Harness(link_bytes_per_s=300_000)
    schedule = harness.dispatcher.sender.link_schedule
    schedule.mean_bytes[LESS_URGENT] = 90_000
    harness.state_load(LoadNotice(3, 0, 3, 100))
    tokens = harness.call_held(4, budget_s=9.0)
    assert not schedule.running and len(harness.admission.waiting) == 4
    harness.advance(0.05, IDLE)
    assert forwarded(harness) == tokens[:3]
    assert list(schedule.running) == tokens[:3]


def test_decision_comes_before_the_server_stops_waiting_for_it():
    """Without an objective a call could wait for its deadline, and the caller would get a 500."""
    harness = Harness(objective_s=None)
    harness.state_load(FULL)
    harness.call_held(budget_s=9.0)
    for _ in range(40):
        harness.admission.shares.credits.clear()
        harness.advance(0.1, FULL)
    assert [error.code for error in refused(harness)] == ["no-room"]


def test_log_names_what_was_believed_and_how_old_it_was():
    harness = Harness()
    harness.state_load(FULL)
    harness.timers.advance(harness.timers.now_s + 0.3)
    harness.call_held()
    (line,) = [
        e for e in harness.outbox.drain() if isinstance(e, LogEvent) and e.event == "call-waits"
    ]
    assert "running 3, waiting 3" in line.fields["detail"]
    assert "300 ms ago" in line.fields["detail"]
