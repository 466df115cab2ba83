"""Tests of the dispatcher through its events and effects, without a network."""

import pytest

from greengagerock.core.interface import (
    CallerDisconnected,
    CancelAttempt,
    CloseIdleConnections,
    Forward,
    LogEvent,
    RequestEnded,
    RespondWithError,
    ResponseStarted,
)
from greengagerock.routing.observations import MIN_OWN_RESPONSES
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.view import (
    EndpointResponseTimes,
    EndpointsDelta,
    OwnedUnitRanges,
)


def test_call_goes_to_the_holder_with_the_remaining_time():
    harness = DispatcherHarness()
    harness.call(budget_s=0.6)
    (forward,) = harness.effects()
    assert (forward.endpoint, forward.timeout_s) == ("till-1", pytest.approx(0.6))


def test_unknown_route_and_unfilled_view():
    harness = DispatcherHarness()
    harness.call("nowhere")
    assert harness.effects()[0].code == "unknown-route"
    harness.replica.items_revision = 0
    harness.call()
    assert harness.effects()[0].code == "not-ready"


def test_unsafe_call_is_not_resent_after_bytes_were_sent():
    harness = DispatcherHarness()
    token = harness.call("charge")
    harness.effects()
    harness.fail(token, "lost")
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("answer-lost", "unknown")
    assert harness.reports


def test_safe_call_is_resent_once_and_then_refused_with_unknown_outcome():
    harness = DispatcherHarness()
    token = harness.call()
    harness.effects()
    harness.fail(token, "lost")
    assert isinstance(harness.effects()[0], Forward)
    observation = harness.dispatcher.observations.observation_of("till-1")
    observation.own_mean_s, observation.own_response_weight = 0.25, MIN_OWN_RESPONSES
    harness.fail(token, "refused")
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("answer-lost", "unknown")


def test_refused_call_without_keys_goes_to_another_endpoint_only():
    harness = DispatcherHarness()
    token = harness.call("prices", None)
    first = harness.effects()[0].endpoint
    harness.fail(token, "refused")
    second = harness.effects()[0].endpoint
    assert first != second
    harness.fail(token, "refused")
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("endpoint-refused", "not-run")
    assert response.retry_after_s is not None


def test_call_is_resent_to_a_holder_that_refuses_though_it_is_not_full():
    harness = DispatcherHarness()
    token = harness.call()
    harness.effects()
    for _ in range(2):
        harness.fail(token, "refused")
        assert harness.effects() == []
        harness.timers.advance(harness.timers.now_s + 0.05)
        assert isinstance(harness.effects()[0], Forward)
    harness.fail(token, "refused")
    assert harness.effects()[0].code == "endpoint-refused"


def test_call_refused_by_a_busy_holder_is_not_resent():
    harness = DispatcherHarness()
    observation = harness.dispatcher.observations.observation_of("till-1")
    observation.own_mean_s, observation.own_response_weight = 0.25, MIN_OWN_RESPONSES
    token = harness.call()
    harness.effects()
    harness.fail(token, "refused")
    assert harness.effects()[0].code == "endpoint-refused"


def test_call_refused_by_a_holder_that_is_busy_for_all_routers_is_not_resent():
    """This router got only a few responses of the holder, and those were fast."""
    harness = DispatcherHarness()
    observation = harness.dispatcher.observations.observation_of("till-1")
    observation.own_mean_s, observation.own_response_weight = 0.08, MIN_OWN_RESPONSES
    harness.replica.response_times = EndpointResponseTimes(1, {"till": 90}, {"till-1": 420})
    token = harness.call()
    harness.effects()
    harness.fail(token, "refused")
    assert harness.effects()[0].code == "endpoint-refused"


def test_call_is_not_resent_beyond_the_retry_budget():
    harness = DispatcherHarness(slack=0)
    token = harness.call("prices", None)
    harness.effects()
    harness.fail(token, "refused")
    assert isinstance(harness.effects()[0], RespondWithError)


def test_call_for_a_key_without_holder_waits_and_goes_to_the_new_one():
    harness = DispatcherHarness()
    harness.remove_holder()
    harness.call()
    assert harness.effects() == []
    _, units = harness.replica.apply_endpoints(
        EndpointsDelta(1, 2, 3, False, (), (), {"till": (OwnedUnitRanges("till-1", (0, 8192)),)})
    )
    harness.dispatcher.on_endpoints([], units)
    assert isinstance(harness.effects()[0], Forward)


def test_caller_that_leaves_while_its_call_waits_for_a_holder_is_not_sent():
    harness = DispatcherHarness()
    harness.remove_holder()
    token = harness.call("charge")
    assert harness.effects() == []
    assert harness.watched_tokens == [token]
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(token))
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("caller-gone", "not-run")
    owners = {"till": (OwnedUnitRanges("till-1", (0, 8192)),)}
    _, units = harness.replica.apply_endpoints(EndpointsDelta(1, 2, 3, False, (), (), owners))
    harness.dispatcher.on_endpoints([], units)
    assert harness.effects() == []


def test_call_for_a_key_without_holder_is_refused_before_its_deadline():
    harness = DispatcherHarness()
    harness.remove_holder()
    harness.call(budget_s=0.5)
    harness.timers.advance(10.2)
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("key-moving", "not-run")


def test_call_waits_for_a_holder_after_a_not_owner_response():
    harness = DispatcherHarness()
    token = harness.call()
    harness.effects()
    harness.fail(token, "not-owner", False)
    assert harness.effects() == []
    harness.timers.advance(11.0)
    assert harness.effects()[0].code == "key-moving"


def test_unreachable_holder_is_tried_twice_then_calls_are_refused_at_once():
    harness = DispatcherHarness()
    token = harness.call()
    harness.effects()
    harness.fail(token, "connect", False)
    assert isinstance(harness.effects()[0], Forward)
    harness.fail(token, "connect", False)
    assert harness.effects()[0].code == "connect-failed"
    harness.call()
    assert harness.effects()[0].code == "connect-failed"
    harness.timers.advance(10.5)
    token = harness.call()
    assert isinstance(harness.effects()[-1], Forward)
    harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    harness.call()
    assert isinstance(harness.effects()[0], Forward)


def test_nothing_is_sent_after_the_deadline():
    harness = DispatcherHarness()
    token = harness.call(budget_s=0.2)
    harness.effects()
    harness.timers.advance(10.2005)
    harness.effects()
    harness.fail(token, "connect", False)
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("no-room", "not-run")


def test_silent_holder_gets_only_probes():
    harness = DispatcherHarness()
    harness.call()
    harness.timers.advance(10.9)
    harness.effects()
    outcomes = []
    for _ in range(5):
        harness.call()
        outcomes.append(type(harness.effects()[-1]))
    assert outcomes.count(Forward) == 1


def test_calls_on_silent_connections_are_cancelled_when_a_new_connection_responds():
    harness = DispatcherHarness()
    silent_call = harness.call()
    harness.timers.advance(10.9)
    harness.effects()
    probe = harness.call()
    close_idle, forward = harness.effects()
    assert (close_idle, forward.token) == (CloseIdleConnections("t:1"), probe)
    harness.dispatcher.on_ended(RequestEnded(probe, True, 0.03))
    assert harness.effects() == [CancelAttempt(silent_call, only_reused=True)]
    harness.fail(silent_call, "lost")
    assert isinstance(harness.effects()[0], Forward)


def test_calls_above_the_limit_are_refused_and_late_responses_decrease_the_limit():
    """Callers send many more requests for one key than its holder can run in time."""
    harness = DispatcherHarness()
    tokens = [harness.call() for _ in range(6)]
    harness.effects()
    harness.call()
    assert harness.effects()[0].code == "no-room"
    for token in tokens:
        harness.timers.advance(harness.timers.now_s + 0.4)
        harness.dispatcher.on_ended(RequestEnded(token, True, 0.9))
    limit = harness.dispatcher.observations.observation_of("till-1").limit
    assert limit < 4


def test_call_of_a_disconnected_caller_is_cancelled_unless_it_is_unsafe():
    harness = DispatcherHarness()
    safe, unsafe = harness.call(), harness.call("charge")
    harness.effects()
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(safe))
    assert harness.effects() == [CancelAttempt(safe)]
    harness.dispatcher.on_caller_disconnected(CallerDisconnected(unsafe))
    assert harness.effects() == []
    harness.fail(safe, "lost")
    assert [e for e in harness.effects() if isinstance(e, Forward)] == []


def test_banned_call_is_refused():
    harness = DispatcherHarness()
    harness.call()
    call = next(iter(harness.dispatcher.calls.values()))
    harness.dispatcher.banned_fingerprints = frozenset({call.fingerprint})
    harness.effects()
    harness.last_token = 0
    harness.dispatcher.calls.clear()
    harness.call()
    assert harness.effects()[0].code == "request-suspended"


def test_stopping_router_refuses_and_closes():
    harness = DispatcherHarness()
    harness.dispatcher.is_stopping = True
    harness.call()
    (response,) = harness.effects()
    assert (response.code, response.close) == ("stopping", True)


def test_invalid_request_body_is_no_fault_of_the_endpoint():
    """Malformed chunks from a caller must not make the router avoid an endpoint."""
    harness = DispatcherHarness()
    for _ in range(5):
        harness.fail(harness.call("charge"), "caller")
    responses = [effect for effect in harness.effects() if isinstance(effect, RespondWithError)]
    assert [(response.code, response.outcome) for response in responses] == [
        ("bad-request", "unknown")
    ] * 5
    assert not harness.dispatcher.health.is_avoided("till-1", harness.timers.now_s)
    assert harness.reports == []


def test_attempt_without_a_complete_response_is_cancelled_after_the_deadline():
    """The endpoint sends bytes without end, so the I/O layer's time-out never comes."""
    harness = DispatcherHarness()
    token = harness.call(budget_s=1.0)
    harness.effects()
    harness.timers.advance(harness.timers.now_s + 1.1)
    assert harness.effects() == []
    harness.timers.advance(harness.timers.now_s + 0.3)
    assert harness.effects() == [CancelAttempt(token, only_waiting=True)]
    harness.timers.advance(harness.timers.now_s + 0.7)
    assert CancelAttempt(token) in harness.effects()
    harness.fail(token, "lost")
    (response,) = harness.effects()
    assert (response.code, response.outcome) == ("deadline-exceeded", "unknown")


def test_long_response_that_is_relayed_is_cancelled_only_long_after_the_deadline():
    harness = DispatcherHarness()
    token = harness.call(budget_s=1.0)
    harness.effects()
    harness.timers.advance(harness.timers.now_s + 0.5)
    harness.dispatcher.on_response_started(ResponseStarted(token))
    for _ in range(20):
        harness.timers.advance(harness.timers.now_s + 0.25)
    assert harness.effects() == []
    for _ in range(4):
        harness.timers.advance(harness.timers.now_s + 0.25)
    assert CancelAttempt(token) in harness.effects()


def test_loss_and_return_of_the_way_to_an_endpoint_are_logged_once():
    harness = DispatcherHarness()
    token = harness.call()
    for _ in range(2):
        harness.fail(token, "connect", has_sent_bytes=False)
    harness.timers.advance(harness.timers.now_s + 0.5)
    token = harness.call()
    harness.dispatcher.on_ended(RequestEnded(token, True, 0.1))
    logged = [e for e in harness.outbox.drain() if isinstance(e, LogEvent)]
    events = [e for e in logged if e.event in ("endpoint-unreachable", "endpoint-reached")]
    assert [(e.event, e.fields["unreachable"]) for e in events] == [
        ("endpoint-unreachable", 1),
        ("endpoint-reached", 0),
    ]
    assert events[1].fields["after_ms"] == 500


def test_unreachable_endpoint_is_used_again_although_others_take_its_requests():
    harness = DispatcherHarness(endpoints=4)
    for name in harness.replica.by_service["docs"]:
        if name != "docs-0":
            harness.dispatcher.observations.observation_of(name).note_unreachable(10.0)
    used = set()
    for _ in range(60):
        harness.timers.advance(harness.timers.now_s + 0.1)
        token = harness.call("prices", None)
        used |= {e.endpoint for e in harness.effects() if isinstance(e, Forward)}
        harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    assert used == set(harness.replica.by_service["docs"])


def test_endpoint_that_stays_unreachable_delays_few_requests():
    harness = DispatcherHarness(endpoints=4)
    harness.dispatcher.observations.observation_of("docs-3").note_unreachable(10.0)
    attempts = 0
    for _ in range(200):
        harness.timers.advance(harness.timers.now_s + 0.1)
        token = harness.call("prices", None)
        (forward,) = [e for e in harness.effects() if isinstance(e, Forward)]
        if forward.endpoint == "docs-3":
            attempts += 1
            harness.fail(token, "connect", has_sent_bytes=False)
            assert isinstance(harness.effects()[0], Forward)
        harness.dispatcher.on_ended(RequestEnded(token, True, 0.05))
    assert 10 <= attempts <= 20


@pytest.mark.parametrize("endpoints", [1, 2])
def test_call_without_a_key_goes_to_another_endpoint_after_a_wrong_address(endpoints):
    """Another endpoint has the address; the call had no key to look its holder up by."""
    harness = DispatcherHarness(endpoints=endpoints)
    token = harness.call(route="prices", key=None)
    (first,) = [e for e in harness.effects() if isinstance(e, Forward)]
    harness.fail(token, "not-owner")
    (second,) = harness.effects()
    if endpoints == 2:
        assert isinstance(second, Forward)
        assert second.endpoint != first.endpoint
    else:
        assert isinstance(second, Forward | RespondWithError)
        harness.fail(token, "not-owner")
        assert harness.dispatcher.calls == {}


def test_call_without_a_key_that_no_endpoint_runs_is_refused_as_not_run():
    harness = DispatcherHarness(endpoints=3)
    token = harness.call(route="prices", key=None)
    responses = []
    while not responses:
        responses = [e for e in harness.effects() if isinstance(e, RespondWithError)]
        if not responses:
            harness.fail(token, "not-owner")
    assert (responses[0].outcome, responses[0].code) == ("not-run", "endpoint-refused")
    assert harness.dispatcher.calls == {}
