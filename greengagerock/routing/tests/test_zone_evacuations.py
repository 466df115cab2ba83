"""Every way on which a router sends a request ends at the border of an evacuated zone."""

import pytest

from greengagerock.core.interface import Forward, RelayArrived, RespondWithError
from greengagerock.routing.relayed_calls import RelayedCalls
from greengagerock.testing.dispatcher_harness import DispatcherHarness
from greengagerock.view import EndpointRecord, EndpointsDelta

ZONE = frozenset({"z"})


def evacuate(harness):
    """Evacuate the zone of all endpoints of the harness, now."""
    harness.dispatcher.zone_evacuations.update(ZONE, harness.timers.now_s)


def the_refusal(harness):
    """Return the only effect, which must be a refusal for the evacuation."""
    (effect,) = harness.effects()
    assert isinstance(effect, RespondWithError)
    assert (effect.code, effect.outcome) == ("zone-evacuated", "not-run")
    assert effect.retry_after_s > 0
    return effect


def test_service_without_keys_is_refused_at_once():
    harness = DispatcherHarness()
    evacuate(harness)
    harness.call("prices", key=None)
    the_refusal(harness)


def test_endpoint_of_another_zone_gets_all_requests():
    harness = DispatcherHarness()
    record = EndpointRecord("docs-9", "d:9", "docs", "other", 3)
    harness.replica.apply_endpoints(EndpointsDelta(1, 1, 2, False, (record,)))
    evacuate(harness)
    for _ in range(3):
        harness.call("prices", key=None)
    assert {e.endpoint for e in harness.effects() if isinstance(e, Forward)} == {"docs-9"}


def test_held_key_is_served_until_the_time_for_the_handover_has_passed():
    harness = DispatcherHarness()
    evacuate(harness)
    harness.timers.advance(harness.timers.now_s + 3.4)
    harness.call()
    assert [type(effect) for effect in harness.effects()] == [Forward]
    harness.timers.advance(harness.timers.now_s + 0.2)
    harness.call()
    the_refusal(harness)


def test_key_without_holder_does_not_wait_if_no_zone_is_left():
    harness = DispatcherHarness()
    evacuate(harness)
    harness.remove_holder()
    harness.call()
    the_refusal(harness)


@pytest.mark.parametrize("reason", ["refused", "lost"])
def test_resend_does_not_reach_the_zone(reason):
    """Guards against the second attempt of a request that was sent before the order."""
    harness = DispatcherHarness(endpoints=3)
    token = harness.call("prices", key=None)
    harness.effects()
    evacuate(harness)
    harness.fail(token, reason)
    (effect,) = harness.effects()
    assert effect.code == ("zone-evacuated" if reason == "refused" else "answer-lost")


def test_second_attempt_to_connect_to_a_holder_does_not_reach_the_zone():
    """Guards against the probe that follows a lost connection request, after the handover."""
    harness = DispatcherHarness()
    evacuate(harness)
    harness.timers.advance(harness.timers.now_s + 3.4)
    token = harness.call()
    harness.effects()
    harness.timers.advance(harness.timers.now_s + 0.2)
    harness.fail(token, "connect", has_sent_bytes=False)
    assert [e for e in harness.effects() if isinstance(e, Forward)] == []


@pytest.mark.parametrize(("endpoint", "wait_s"), [("docs-0", 0.0), ("till-1", 3.6)])
def test_request_of_another_router_does_not_reach_the_zone(endpoint, wait_s):
    """Guards against a router that has not learnt of the order and sends through this one."""
    harness = DispatcherHarness()
    dispatcher = harness.dispatcher
    relayed_calls = RelayedCalls(
        harness.replica,
        dispatcher.paths,
        dispatcher.observations,
        dispatcher.notices,
        dispatcher.notice_handler,
        dispatcher.stats,
        harness.timers,
        harness.outbox,
        dispatcher.zone_evacuations,
    )
    evacuate(harness)
    harness.timers.advance(harness.timers.now_s + wait_s)
    relayed_calls.on_arrival(RelayArrived(1, "r1", endpoint, 1.0, False))
    (effect,) = harness.effects()
    assert (effect.code, effect.outcome) == ("relay-unavailable", "not-run")
