"""Requests that wait for a worker thread or the event loop before the decision core gets them."""

import pytest

from greengagerock.core.interface import CallArrived, Forward, RespondWithError
from greengagerock.testing.dispatcher_harness import DispatcherHarness


def arrive(harness, waited_s, budget_s=1.0):
    """Dispatch a call whose first bytes arrived some time ago; return the effects."""
    received_s = harness.timers.now_s - waited_s
    event = CallArrived(
        1, "r1", "GET", "shop.example", "/prices/x", "/prices/x", budget_s, received_s=received_s
    )
    harness.dispatcher.on_call(event)
    return harness.outbox.drain()


@pytest.mark.parametrize("waited_s", [0.0, 0.3, 0.9])
def test_time_of_a_caller_counts_from_the_arrival_of_its_request(waited_s):
    (forward,) = [e for e in arrive(DispatcherHarness(), waited_s) if isinstance(e, Forward)]
    assert forward.timeout_s == pytest.approx(1.0 - waited_s)


def test_request_that_has_waited_for_all_of_its_time_is_not_sent():
    effects = arrive(DispatcherHarness(), 1.2)
    assert not any(isinstance(effect, Forward) for effect in effects)
    (error,) = [effect for effect in effects if isinstance(effect, RespondWithError)]
    assert error.outcome == "not-run"
