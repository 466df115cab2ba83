"""The end of a planned stop responds to each call, and says whether its request may have run."""

import pytest

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from greengagerock.core.interface import (
    AttemptFailed,
    CallArrived,
    CancelAttempt,
    Forward,
    RequestEnded,
    RespondWithError,
)
from greengagerock.testing.dispatcher_harness import DispatcherHarness

CALL = CallArrived(1, "r1", "POST", "shop.example", "/balance/x", "/balance/x", 1.0, 7)


@pytest.fixture
def harness():
    """Return the harness of a dispatcher that has forwarded a call."""
    built = DispatcherHarness()
    built.dispatcher.on_call(CALL)
    assert any(isinstance(effect, Forward) for effect in built.outbox.drain())
    return built


@pytest.mark.parametrize(
    ("reason", "has_sent_bytes", "code", "outcome"),
    [
        ("lost", True, "answer-lost", OUTCOME_UNKNOWN),
        ("timeout", True, "answer-lost", OUTCOME_UNKNOWN),
        ("connect", False, "stopping", OUTCOME_NOT_RUN),
        ("refused", True, "stopping", OUTCOME_NOT_RUN),
        ("not-owner", True, "stopping", OUTCOME_NOT_RUN),
    ],
)
def test_forwarded_call_is_cancelled_and_not_sent_again(
    harness, reason, has_sent_bytes, code, outcome
):
    dispatcher = harness.dispatcher
    dispatcher.ending.end_calls()
    assert harness.outbox.drain() == [CancelAttempt(1, only_unanswered=True)]
    dispatcher.on_attempt_failed(AttemptFailed(1, reason, has_sent_bytes, False))
    effects = harness.outbox.drain()
    (response,) = [effect for effect in effects if isinstance(effect, RespondWithError)]
    assert (response.code, response.outcome) == (code, outcome)
    assert not any(isinstance(effect, Forward) for effect in effects)
    assert dispatcher.calls == {}


def test_forwarded_call_can_be_cancelled_only_while_it_waits_for_a_head(harness):
    harness.dispatcher.ending.end_calls(spares_heads=True)
    assert harness.outbox.drain() == [CancelAttempt(1, only_waiting=True, only_unanswered=True)]


def test_call_that_may_have_run_before_is_not_reported_as_not_run(harness):
    dispatcher = harness.dispatcher
    dispatcher.calls[1].may_have_run = True
    dispatcher.ending.end_calls()
    dispatcher.on_attempt_failed(AttemptFailed(1, "refused", True, False))
    (response,) = [e for e in harness.outbox.drain() if isinstance(e, RespondWithError)]
    assert response.outcome == OUTCOME_UNKNOWN


def test_call_that_waits_for_a_holder_is_refused_as_not_run(harness):
    dispatcher = harness.dispatcher
    call = dispatcher.calls[1]
    dispatcher._end_attempt(call)
    dispatcher.sender.wait_for_holder(call)
    dispatcher.ending.end_calls()
    (response,) = [e for e in harness.outbox.drain() if isinstance(e, RespondWithError)]
    assert (response.code, response.outcome) == ("stopping", OUTCOME_NOT_RUN)
    assert dispatcher.sender.waiting_calls == {}
    assert dispatcher.calls == {}


@pytest.mark.parametrize("is_time_known", [False, True])
def test_calls_that_wait_for_a_turn_on_the_link_are_refused_once(is_time_known):
    """The end of one call let the next one be sent, or refused it twice."""
    harness = DispatcherHarness(endpoints=4, link_bytes_per_s=250_000)
    dispatcher = harness.dispatcher
    dispatcher.sender.link_schedule.note_size("prices", 90_000)
    dispatcher.sender.link_schedule.mean_duration_s = 0.02
    tokens = [harness.call("prices", None) for _ in range(6)]
    harness.advance(0.1)
    harness.outbox.drain()
    waiting = {token for token in tokens if not dispatcher.calls[token].endpoint}
    assert len(waiting) == 3
    dispatcher.begin_closing(harness.timers.now_s)
    if is_time_known:
        dispatcher.sender.completion_times.note("docs", "prices", 0.2)
    dispatcher.ending.end_calls()
    effects = harness.outbox.drain()
    assert not any(isinstance(effect, Forward) for effect in effects)
    responses = [effect for effect in effects if isinstance(effect, RespondWithError)]
    assert sorted(response.token for response in responses) == sorted(waiting)
    assert {response.outcome for response in responses} == {OUTCOME_NOT_RUN}


def test_response_that_arrives_meanwhile_is_delivered(harness):
    dispatcher = harness.dispatcher
    dispatcher.ending.end_calls()
    dispatcher.on_ended(RequestEnded(1, True, 0.1, 5))
    dispatcher.ending.end_calls()
    assert not any(isinstance(e, RespondWithError) for e in harness.outbox.drain())
