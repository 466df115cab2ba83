"""Tests of the router through its events and effects, without a network."""

from random import Random

import pytest

from greengagerock.core import TimerService
from greengagerock.core.interface import (
    AttemptFailed,
    CallerDisconnected,
    CancelAttempt,
    CloseIdleConnections,
    Forward,
    Outbox,
    RequestArrived,
    RequestEnded,
    RespondWithError,
    ResponseStarted,
    WatchCaller,
)
from greengagerock.membership import RouteLease
from greengagerock.model import (
    NoKey,
    OwnedUnit,
    Owner,
    RouteDelta,
    RouteHistory,
    Service,
    Unit,
)
from greengagerock.routing.router import Router
from greengagerock.testing.model_builders import build_endpoint, build_service


class RouterHarness:
    """A router with one service with keys and one without."""

    def __init__(self, documents=3):
        self.timers = TimerService(100.0)
        self.outbox = Outbox()
        self.history = RouteHistory()
        self.lease = RouteLease()
        self.lease.expires_s = self.lease.contact_s = 1e9
        self.router = Router(
            "zone-1", self.history, self.lease, self.timers, self.outbox, Random(1)
        )
        endpoints = [build_endpoint("till-1")]
        endpoints += [build_endpoint(f"doc-{n}", "documents") for n in range(documents)]
        owners = tuple(OwnedUnit(Unit("till", slot), Owner("till-1", 5)) for slot in range(4))
        services = (build_service(slots=4), Service("documents", NoKey()))
        delta = RouteDelta(0, 9, services, (), tuple(endpoints), (), owners)
        self.history.publish(delta)
        self.last_token = 0

    def arrive(self, path="/cards/1", method="GET", service="till", headers=None):
        self.last_token += 1
        event = RequestArrived(
            self.last_token, f"r{self.last_token}", service, method, path, "", headers or {}
        )
        self.router.on_request(event)
        return self.last_token, self.pop_effects()

    def pop_effects(self):
        kinds = (Forward, RespondWithError, CancelAttempt, CloseIdleConnections)
        return [effect for effect in self.outbox.drain() if isinstance(effect, kinds)]

    def fail(self, token, reason, has_sent_bytes=True, is_body_consumed=False):
        self.router.on_attempt_failed(
            AttemptFailed(token, reason, has_sent_bytes, is_body_consumed)
        )
        return self.pop_effects()

    def advance(self, seconds):
        self.timers.advance(self.timers.now_s + seconds)
        return self.pop_effects()


def test_request_goes_to_owner_with_order_and_remaining_time():
    _, effects = RouterHarness().arrive(headers={"prefer": "wait=2"})
    (forward,) = effects
    assert forward.endpoint == "till-1"
    assert 'fence=5, incarnation="till-1-1"' in forward.headers["Greengage-Order"]
    assert forward.headers["Greengage-Timeout-Ms"] == "2000"


@pytest.mark.parametrize(
    ("path", "service", "headers", "code"),
    [
        ("/x", "nothing", {}, "unknown-service"),
        ("/x", "till", {}, "missing-key"),
        ("/cards/1", "till", {"greengage-timeout-ms": "-1"}, "bad-deadline"),
        ("/cards/1", "till", {"prefer": "wait=nan"}, "bad-deadline"),
    ],
)
def test_invalid_request_is_refused_as_not_run(path, service, headers, code):
    _, (response,) = RouterHarness().arrive(path, "GET", service, headers)
    assert (response.code, response.outcome) == (code, "not-run")


def test_post_is_never_resent_after_a_byte_was_sent():
    for reason in ("lost", "timeout"):
        harness = RouterHarness()
        token, _ = harness.arrive("/x", "POST", "documents")
        (response,) = harness.fail(token, reason)
        assert (type(response), response.outcome) == (RespondWithError, "unknown")


def test_post_that_was_not_sent_goes_to_another_endpoint():
    harness = RouterHarness()
    token, (first,) = harness.arrive("/x", "POST", "documents")
    (second,) = harness.fail(token, "connect", has_sent_bytes=False)
    assert second.endpoint != first.endpoint
    (third,) = harness.fail(token, "refused", has_sent_bytes=False)
    assert third.endpoint not in (first.endpoint, second.endpoint)
    (response,) = harness.fail(token, "connect", has_sent_bytes=False)
    assert (response.code, response.outcome) == ("no-endpoint", "not-run")


def test_request_whose_body_was_read_is_not_resent():
    harness = RouterHarness()
    token, _ = harness.arrive("/x", "PUT", "documents")
    (response,) = harness.fail(token, "refused", has_sent_bytes=False, is_body_consumed=True)
    assert (response.code, response.outcome) == ("endpoint-refused", "not-run")


def test_retries_stay_within_their_budget():
    harness = RouterHarness(documents=3)
    retries = 0
    for _ in range(100):
        token, _ = harness.arrive("/x", "GET", "documents")
        while isinstance(harness.fail(token, "lost")[0], Forward):
            retries += 1
    assert retries <= 10 + 0.2 * 100


def test_endpoint_that_fails_is_avoided_and_used_again_when_no_other_is_left():
    harness = RouterHarness(documents=2)
    for _ in range(3):
        harness.router.health.note_failure("doc-0", harness.timers.now_s)
    chosen = {harness.arrive("/x", "GET", "documents")[1][0].endpoint for _ in range(10)}
    assert chosen == {"doc-1"}
    for _ in range(3):
        harness.router.health.note_failure("doc-1", harness.timers.now_s)
    assert isinstance(harness.arrive("/x", "GET", "documents")[1][0], Forward)


def test_caller_of_a_pending_request_is_watched_once():
    harness = RouterHarness()
    token, _ = harness.arrive()
    harness.timers.advance(100.3)
    watch_effects = [e for e in harness.outbox.drain() if isinstance(e, WatchCaller)]
    harness.timers.advance(100.9)
    assert watch_effects == [WatchCaller(token)]
    assert not [e for e in harness.outbox.drain() if isinstance(e, WatchCaller)]


def test_silent_connection_is_replaced_and_idempotent_request_is_resent():
    harness = RouterHarness()
    token, _ = harness.arrive()
    assert harness.advance(0.9) == []
    assert harness.advance(0.5) == [CancelAttempt(token, only_reused=True)]
    close_idle, forward = harness.fail(token, "lost")
    assert (type(close_idle), forward.endpoint) == (CloseIdleConnections, "till-1")
    harness.advance(5.0)
    (response,) = harness.fail(token, "lost")
    assert (response.code, response.outcome) == ("answer-lost", "unknown")


def test_post_on_a_silent_connection_is_cancelled_once_a_new_connection_responds():
    harness = RouterHarness()
    charge, _ = harness.arrive(method="POST")
    query, _ = harness.arrive()
    harness.advance(0.8)
    assert harness.advance(0.8) == [CancelAttempt(query, only_reused=True)]
    harness.fail(query, "lost")
    harness.router.on_response_started(ResponseStarted(query))
    assert harness.pop_effects() == [CancelAttempt(charge, only_reused=True)]
    close_idle, response = harness.fail(charge, "lost")
    assert (type(close_idle), response.code, response.outcome) == (
        CloseIdleConnections,
        "answer-lost",
        "unknown",
    )


def test_request_with_a_started_response_does_not_count_as_silent():
    harness = RouterHarness()
    token, _ = harness.arrive()
    harness.router.on_response_started(ResponseStarted(token))
    assert harness.advance(5.0) == []


def test_request_of_a_disconnected_caller_is_cancelled_and_not_resent():
    harness = RouterHarness()
    token, _ = harness.arrive("/x", "GET", "documents")
    harness.router.on_caller_disconnected(CallerDisconnected(token))
    assert harness.pop_effects() == [CancelAttempt(token)]
    (response,) = harness.fail(token, "lost")
    assert isinstance(response, RespondWithError)
    assert len(harness.router.registry) == 0


def test_request_is_refused_while_the_queue_is_full():
    harness = RouterHarness()
    tokens = []
    while True:
        token, (effect,) = harness.arrive()
        if isinstance(effect, RespondWithError):
            break
        tokens.append(token)
    assert (effect.code, effect.outcome) == ("overloaded", "not-run")
    harness.router.on_request_ended(RequestEnded(tokens[0], True))
    assert isinstance(harness.arrive()[1][0], Forward)


def test_without_a_lease_only_services_without_keys_are_served():
    harness = RouterHarness()
    harness.lease.expires_s = 0.0
    _, (response,) = harness.arrive()
    assert (response.code, response.outcome) == ("no-route-lease", "not-run")
    assert isinstance(harness.arrive("/x", "GET", "documents")[1][0], Forward)
