"""Planned stops whose signal is taken up late, in virtual time."""

import pytest

from greengagerock.core.interface import CancelAttempt, StopRequested
from greengagerock.items import Patch
from greengagerock.testing.fake_site import build_fake_site
from greengagerock.testing.item_builders import build_route

GRACE_S = 6.0


def build_site_with_slow_endpoints(processing_time_s):
    """Return a site with a route whose requests last longer than a grace period."""
    site = build_fake_site()
    route = build_route("prices", version=2, weighted_services=(("docs", 1),), timeout_s=20.0)
    assert site.patch_until_replied(Patch(routes=(route,))).code == ""
    for endpoint in site.reporting_endpoints.values():
        endpoint.processing_time_s = processing_time_s
    return site


@pytest.mark.parametrize("late_s", [0.0, 0.1, 0.5, 1.5, 2.9, 4.0])
def test_requests_are_refused_from_three_seconds_after_the_signal_on(late_s):
    site = build_site_with_slow_endpoints(1.0)
    signalled_s = site.now_s
    site.run_for(late_s)
    site.feed("edge-1", StopRequested(signalled_s))
    site.run_for(max(0.0, signalled_s + 2.95 - site.now_s))
    last = site.call("edge-1", "prices", budget_s=9.0) if late_s < 2.95 else None
    site.run_for(max(0.0, signalled_s + 3.01 - site.now_s))
    assert site.call_and_wait("edge-1", "prices", budget_s=9.0) == "stopping"
    site.run_for(1.1)
    assert last is None or site.outcome(last) == "ok"


@pytest.mark.parametrize("late_s", [0.0, 0.5, 1.5, 2.5])
def test_late_signal_leaves_callers_a_response_while_the_load_balancer_finds_out(late_s):
    site = build_site_with_slow_endpoints(0.05)
    signalled_s = site.now_s
    site.run_for(late_s)
    site.feed("edge-1", StopRequested(signalled_s))
    site.run_for(min(2.9, GRACE_S - 0.7 - late_s))
    assert site.hosts["edge-1"].node is not None
    site.run_for(0.7)
    assert site.hosts["edge-1"].node is None


@pytest.mark.parametrize(
    ("late_s", "left_s"), [(0.0, 0.5), (0.35, 0.5), (0.5, 0.2), (1.5, 0.2), (4.0, 0.2), (8.0, 0.2)]
)
def test_calls_get_their_error_before_the_grace_period_of_the_signal_is_over(late_s, left_s):
    """They get it later if the signal may be much younger than its earliest time."""
    site = build_site_with_slow_endpoints(20.0)
    token = site.call("edge-1", "prices", budget_s=30.0)
    site.run_for(0.1)
    signalled_s = site.now_s
    site.run_for(late_s)
    site.feed("edge-1", StopRequested(signalled_s))
    site.run_for(max(0.5, signalled_s + GRACE_S - left_s - site.now_s))
    assert site.outcome(token) == "answer-lost"


@pytest.mark.parametrize(("duration_s", "outcome"), [(2.95, "ok"), (3.2, "answer-lost")])
def test_response_whose_head_has_arrived_at_the_end_of_the_grace_gets_a_moment(
    duration_s, outcome
):
    """Its caller got an error although the endpoint had finished long before."""
    site = build_site_with_slow_endpoints(duration_s)
    carry_out = site._carry_out

    def carry_out_with_heads(host, effects):
        carry_out(host, [e for e in effects if not is_for_attempts_without_a_head(e)])

    site._carry_out = carry_out_with_heads
    site.feed("edge-1", StopRequested(site.now_s))
    site.run_for(2.5)
    token = site.call("edge-1", "prices", budget_s=9.0)
    site.run_for(3.3)
    assert site.outcome(token) == outcome


def is_for_attempts_without_a_head(effect):
    """Return whether an effect ends an attempt only if no head has arrived."""
    return isinstance(effect, CancelAttempt) and effect.only_waiting


@pytest.mark.parametrize("still_s", [0.0, 0.25, 0.35, 0.5, 0.7])
def test_call_is_not_ended_before_the_last_sixth_of_the_grace_period(still_s):
    """A router that had stood still before its signal ended calls too early."""
    site = build_site_with_slow_endpoints(4.95)
    token = site.call("edge-1", "prices", budget_s=30.0)
    site.run_for(0.02)
    # The signal arrives now, and the event loop last ran some time ago.
    site.feed("edge-1", StopRequested(site.now_s - still_s))
    site.run_for(5.0)
    assert site.outcome(token) == "ok"
