"""Every way on which a router sends a request ends at the border of an evacuated zone."""

import pytest

from greengagerock.core.interface import Forward, RelayArrived
from greengagerock.testing.dispatcher_harness import DispatcherHarness


def evacuate(harness):
    """Evacuate the zone of all endpoints of the harness, now."""
    harness.dispatcher.zone_evacuations.update(frozenset({"z"}), harness.timers.now_s)


def check_refused(harness):
    """Check that the only effect is a refusal for the evacuation."""
    (effect,) = harness.effects()
    assert (effect.code, effect.outcome) == ("zone-evacuated", "not-run")
    assert effect.retry_after_s > 0


def test_held_key_is_served_until_the_time_for_the_handover_has_passed():
    harness = DispatcherHarness()
    evacuate(harness)
    harness.advance(3.4)
    harness.call()
    assert [type(effect) for effect in harness.effects()] == [Forward]
    harness.advance(0.2)
    harness.call()
    check_refused(harness)


def test_key_without_holder_does_not_wait_if_no_zone_is_left():
    harness = DispatcherHarness()
    evacuate(harness)
    harness.remove_holder()
    harness.call()
    check_refused(harness)


@pytest.mark.parametrize(
    ("reason", "code"), [("refused", "zone-evacuated"), ("lost", "answer-lost")]
)
def test_resend_does_not_reach_the_zone(reason, code):
    """Guards against the second attempt of a request that was sent before the order."""
    harness = DispatcherHarness(endpoints=3)
    token = harness.call("prices", key=None)
    harness.effects()
    evacuate(harness)
    harness.fail(token, reason)
    (effect,) = harness.effects()
    assert effect.code == code


def test_second_attempt_to_connect_to_a_holder_does_not_reach_the_zone():
    """Guards against the probe that follows a lost connection request, after the handover."""
    harness = DispatcherHarness()
    evacuate(harness)
    harness.advance(3.4)
    token = harness.call()
    harness.effects()
    harness.advance(0.2)
    harness.fail(token, "connect", has_sent_bytes=False)
    assert [e for e in harness.effects() if isinstance(e, Forward)] == []


@pytest.mark.parametrize(("endpoint", "wait_s"), [("docs-0", 0.0), ("till-1", 3.6)])
def test_request_of_another_router_does_not_reach_the_zone(endpoint, wait_s):
    """Guards against a router that has not learnt of the order and sends through this one."""
    harness = DispatcherHarness()
    evacuate(harness)
    harness.advance(wait_s)
    harness.build_relayed_calls().on_arrival(RelayArrived(1, "r1", endpoint, 1.0, False))
    (effect,) = harness.effects()
    assert (effect.code, effect.outcome) == ("relay-unavailable", "not-run")
