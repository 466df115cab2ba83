"""Tests of decisions about requests, at the seam."""

from random import Random

import pytest

from greengagerock.core import TimerService
from greengagerock.core.seam import (
    Answer,
    AnswerBegan,
    AttemptFailed,
    CallerGone,
    CancelAttempt,
    DropConnections,
    Forward,
    Outbox,
    RequestArrived,
    RequestEnded,
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
from greengagerock.routing import Router
from greengagerock.testing.builders import build_endpoint, build_service


class Bench:
    """A router with a service divided by key and one without."""

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
        self.tokens = 0

    def arrive(self, path="/cards/1", method="GET", service="till", headers=None):
        self.tokens += 1
        event = RequestArrived(
            self.tokens, f"r{self.tokens}", service, method, path, "", headers or {}
        )
        self.router.on_request(event)
        return self.tokens, self.take()

    def take(self):
        kinds = (Forward, Answer, CancelAttempt, DropConnections)
        return [effect for effect in self.outbox.drain() if isinstance(effect, kinds)]

    def fail(self, token, reason, bytes_left=True, body_used=False):
        self.router.on_attempt_failed(AttemptFailed(token, reason, bytes_left, body_used))
        return self.take()

    def advance(self, seconds):
        self.timers.advance(self.timers.now_s + seconds)
        return self.take()


def test_owner_gets_the_request_with_its_order_and_time_left():
    _, effects = Bench().arrive(headers={"prefer": "wait=2"})
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
def test_faulty_request_is_answered_as_not_run(path, service, headers, code):
    _, (answer,) = Bench().arrive(path, "GET", service, headers)
    assert (answer.code, answer.outcome) == (code, "not-run")


def test_post_is_never_sent_again_after_a_byte_has_left():
    for reason in ("lost", "timeout"):
        bench = Bench()
        token, _ = bench.arrive("/x", "POST", "documents")
        (answer,) = bench.fail(token, reason)
        assert (type(answer), answer.outcome) == (Answer, "unknown")


def test_post_that_did_not_leave_goes_to_another_endpoint():
    bench = Bench()
    token, (first,) = bench.arrive("/x", "POST", "documents")
    (second,) = bench.fail(token, "connect", bytes_left=False)
    assert second.endpoint != first.endpoint
    (third,) = bench.fail(token, "refused", bytes_left=False)
    assert third.endpoint not in (first.endpoint, second.endpoint)
    (answer,) = bench.fail(token, "connect", bytes_left=False)
    assert (answer.code, answer.outcome) == ("no-endpoint", "not-run")


def test_request_whose_body_was_read_is_not_sent_again():
    bench = Bench()
    token, _ = bench.arrive("/x", "PUT", "documents")
    (answer,) = bench.fail(token, "refused", bytes_left=False, body_used=True)
    assert (answer.code, answer.outcome) == ("endpoint-refused", "not-run")


def test_retries_stay_within_their_budget():
    bench = Bench(documents=3)
    retries = 0
    for _ in range(100):
        token, _ = bench.arrive("/x", "GET", "documents")
        while isinstance(bench.fail(token, "lost")[0], Forward):
            retries += 1
    assert retries <= 10 + 0.2 * 100


def test_endpoint_that_fails_is_avoided_and_used_again_when_no_other_is_left():
    bench = Bench(documents=2)
    for _ in range(3):
        bench.router.health.note_failure("doc-0", bench.timers.now_s)
    chosen = {bench.arrive("/x", "GET", "documents")[1][0].endpoint for _ in range(10)}
    assert chosen == {"doc-1"}
    for _ in range(3):
        bench.router.health.note_failure("doc-1", bench.timers.now_s)
    assert isinstance(bench.arrive("/x", "GET", "documents")[1][0], Forward)


def test_caller_of_a_waiting_request_is_watched_once():
    bench = Bench()
    token, _ = bench.arrive()
    bench.timers.advance(100.3)
    watched = [e for e in bench.outbox.drain() if isinstance(e, WatchCaller)]
    bench.timers.advance(100.9)
    assert watched == [WatchCaller(token)]
    assert not [e for e in bench.outbox.drain() if isinstance(e, WatchCaller)]


def test_silent_connection_is_replaced_and_an_idempotent_request_sent_again():
    bench = Bench()
    token, _ = bench.arrive()
    assert bench.advance(0.9) == []
    assert bench.advance(0.5) == [CancelAttempt(token, only_reused=True)]
    drop, forward = bench.fail(token, "lost")
    assert (type(drop), forward.endpoint) == (DropConnections, "till-1")
    bench.advance(5.0)
    (answer,) = bench.fail(token, "lost")
    assert (answer.code, answer.outcome) == ("answer-lost", "unknown")


def test_charge_on_a_silent_connection_is_settled_once_another_shows_it_dead():
    bench = Bench()
    charge, _ = bench.arrive(method="POST")
    query, _ = bench.arrive()
    bench.advance(0.8)
    assert bench.advance(0.8) == [CancelAttempt(query, only_reused=True)]
    bench.fail(query, "lost")
    bench.router.on_answer_began(AnswerBegan(query))
    assert bench.take() == [CancelAttempt(charge, only_reused=True)]
    drop, answer = bench.fail(charge, "lost")
    assert (type(drop), answer.code, answer.outcome) == (DropConnections, "answer-lost", "unknown")


def test_request_that_is_being_answered_is_not_taken_for_silent():
    bench = Bench()
    token, _ = bench.arrive()
    bench.router.on_answer_began(AnswerBegan(token))
    assert bench.advance(5.0) == []


def test_caller_that_goes_away_cancels_its_request_for_good():
    bench = Bench()
    token, _ = bench.arrive("/x", "GET", "documents")
    bench.router.on_caller_gone(CallerGone(token))
    assert bench.take() == [CancelAttempt(token)]
    (answer,) = bench.fail(token, "lost")
    assert isinstance(answer, Answer)
    assert len(bench.router.registry) == 0


def test_full_queue_is_refused_at_once_and_frees_up():
    bench = Bench()
    tokens = []
    while True:
        token, (effect,) = bench.arrive()
        if isinstance(effect, Answer):
            break
        tokens.append(token)
    assert (effect.code, effect.outcome) == ("overloaded", "not-run")
    bench.router.on_request_ended(RequestEnded(tokens[0], True))
    assert isinstance(bench.arrive()[1][0], Forward)


def test_without_a_lease_no_key_is_served_and_documents_are():
    bench = Bench()
    bench.lease.expires_s = 0.0
    _, (answer,) = bench.arrive()
    assert (answer.code, answer.outcome) == ("no-route-lease", "not-run")
    assert isinstance(bench.arrive("/x", "GET", "documents")[1][0], Forward)
