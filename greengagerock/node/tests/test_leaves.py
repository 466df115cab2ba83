"""Endpoints whose leave was acknowledged get no new work, whichever controller leads."""

import pytest

from greengagerock.assignment import EndpointLeaving
from greengagerock.core.interface import EndpointReportArrived
from greengagerock.testing.fake_site import (
    FakeReportingEndpoint,
    build_fake_site,
    find_leader_name,
)

# Time after the acknowledgement of a leave from which on the endpoint gets no request.
DRAIN_S = 2.0
KEYS = range(0, 65_536, 2048)


def replace_leader(site, unreachable_endpoint):
    """Crash the leader and return the next one, to which an endpoint has not reported."""
    unreachable_endpoint.reachable_controllers = ()
    site.crash_host(find_leader_name(site))
    site.run_until(lambda: find_leader_name(site) is not None, 5.0)
    site.run_for(0.3)
    return find_leader_name(site)


def leave(site, controller, endpoint, started_ms=0):
    """Send a leave message, and return whether the controller acknowledged it."""
    token = next(site._tokens)
    event = EndpointReportArrived(token, EndpointLeaving(endpoint.name, started_ms))
    site.feed(controller, event)
    site.run_until(lambda: token in site.replies, 1.0)
    return site.replies.get(token) is not None and site.replies[token].code == ""


def report_late(site, controller, report):
    """Deliver a report that was held up on its way."""
    site.feed(controller, EndpointReportArrived(next(site._tokens), report))


def count_runs(site, endpoint, routers=("edge-1", "edge-2")):
    """Send requests for all kinds of routes, and return how many the endpoint runs."""
    runs_before = len(endpoint.runs)
    for router in routers:
        for _ in range(20):
            site.call("edge-1", "prices")
            site.call(router, "prices")
        for key in KEYS:
            site.call(router, key=key)
    site.run_for(1.0)
    return len(endpoint.runs) - runs_before


@pytest.mark.parametrize("name", ["docs-1", "till-1"])
def test_leave_acknowledged_by_a_leader_that_does_not_know_the_endpoint_reaches_routers(name):
    site = build_fake_site()
    leaving_endpoint = site.reporting_endpoints[name]
    leader = replace_leader(site, leaving_endpoint)
    assert leave(site, leader, leaving_endpoint)
    site.run_for(DRAIN_S)
    assert count_runs(site, leaving_endpoint) == 0


@pytest.mark.parametrize("name", ["docs-1", "till-1"])
def test_late_report_does_not_bring_back_an_endpoint_whose_leave_was_acknowledged(name):
    site = build_fake_site()
    leaving_endpoint = site.reporting_endpoints[name]
    late_report = leaving_endpoint.report()
    leader = replace_leader(site, leaving_endpoint)
    assert leave(site, leader, leaving_endpoint)
    site.run_for(DRAIN_S)
    report_late(site, leader, late_report)
    site.run_for(0.1)
    assert count_runs(site, leaving_endpoint) == 0


def test_late_report_after_a_second_change_of_leader_does_not_bring_back_an_endpoint():
    site = build_fake_site(controllers=5)
    leaving_endpoint = site.reporting_endpoints["docs-1"]
    late_report = leaving_endpoint.report()
    leader = replace_leader(site, leaving_endpoint)
    assert leave(site, leader, leaving_endpoint)
    site.run_for(DRAIN_S)
    leader = replace_leader(site, leaving_endpoint)
    report_late(site, leader, late_report)
    site.run_for(1.0)
    assert count_runs(site, leaving_endpoint) == 0


def test_holder_whose_leave_was_acknowledged_gets_no_request_while_no_controller_leads():
    site = build_fake_site()
    leaving_endpoint = site.find_endpoint_holding("till", 4096)
    leaving_endpoint.reachable_controllers = ()
    assert leave(site, find_leader_name(site), leaving_endpoint, leaving_endpoint.started_ms)
    site.run_for(0.2)
    for name in ("core-1", "core-2", "core-3"):
        site.crash_host(name)
    site.run_for(DRAIN_S)
    assert count_runs(site, leaving_endpoint) == 0


def test_repeated_leave_at_a_later_leader_does_not_withdraw_the_restarted_endpoint():
    site = build_fake_site(controllers=5)
    left = site.reporting_endpoints["docs-1"]
    assert leave(site, find_leader_name(site), left)
    left.is_up = False
    assert leave(site, replace_leader(site, left), left)
    restarted = FakeReportingEndpoint("docs-1", 101, "docs", started_ms=9000)
    site.add_reporting_endpoint(restarted)
    site.run_for(2.0)
    assert count_runs(site, restarted) > 0


def test_second_instance_of_a_name_leaves_although_a_leave_of_the_first_is_stored():
    site = build_fake_site(controllers=5)
    first = site.reporting_endpoints["docs-1"]
    assert leave(site, find_leader_name(site), first)
    first.is_up = False
    second = FakeReportingEndpoint("docs-1", 101, "docs", started_ms=9000)
    site.add_reporting_endpoint(second)
    site.run_for(2.0)
    late_report = second.report()
    leader = replace_leader(site, second)
    site.run_for(1.0)
    assert leave(site, leader, second)
    site.run_for(DRAIN_S)
    assert count_runs(site, second) == 0
    report_late(site, leader, late_report)
    site.run_for(0.1)
    assert count_runs(site, second) == 0


def test_restarted_endpoint_with_the_name_of_one_that_left_gets_requests():
    site = build_fake_site()
    left = site.reporting_endpoints["docs-1"]
    leader = replace_leader(site, left)
    assert leave(site, leader, left)
    site.run_for(DRAIN_S)
    left.is_up = False
    restarted = FakeReportingEndpoint("docs-1", 101, "docs", started_ms=9000)
    site.add_reporting_endpoint(restarted)
    site.run_for(2.0)
    assert count_runs(site, restarted) > 0
