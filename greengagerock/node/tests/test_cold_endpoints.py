"""Cold endpoints get few requests from all routers together, whatever fails meanwhile."""

import pytest

from greengagerock.assignment.units import UNIT_COUNT
from greengagerock.items import EndpointWarmUp, Patch
from greengagerock.testing.cold_load import BOUND, RATE_PER_S, build_cold_load, restart_cold
from greengagerock.testing.fake_site import find_leader_name
from greengagerock.testing.item_builders import build_route

USUAL_PER_S = 5.7
CONTROLLERS = ("core-1", "core-2", "core-3")


def pin_keys(load):
    """Keep the leader from moving the keys of the endpoint away."""
    for other in load.site.reporting_endpoints.values():
        if other is not load.endpoint and other.service == load.endpoint.service:
            other.is_up = False


def codes(load, since_s):
    """Return the error codes of the refusals since a time."""
    return {response.code for response, _ in load.refusals(since_s)}


@pytest.mark.parametrize("routers", [3, 20, 68])
def test_three_times_the_usual_demand_does_not_exceed_the_bound(routers):
    load = build_cold_load(routers)
    load.offer(3 * USUAL_PER_S, 6.0)
    load.become_cold(4.0)
    load.offer(3 * USUAL_PER_S, 4.0)
    assert 1 <= load.worst_second() <= BOUND


@pytest.mark.parametrize("routers", [3, 20, 68])
def test_demand_that_triples_during_the_cold_phase_does_not_exceed_the_bound(routers):
    load = build_cold_load(routers, seed=2)
    load.offer(USUAL_PER_S, 6.0)
    load.become_cold(6.0)
    load.offer(USUAL_PER_S, 2.0)
    load.offer(3 * USUAL_PER_S, 4.0)
    assert 1 <= load.worst_second() <= BOUND


@pytest.mark.parametrize("routers", [3, 10, 68])
def test_demand_far_below_the_bound_is_served(routers):
    """A router may not keep an equal part of less than one request to itself."""
    load = build_cold_load(routers, seed=3)
    load.offer(1.0, 6.0)
    load.become_cold(8.0)
    cold_s = load.site.now_s + 1.5
    load.offer(1.0, 8.0)
    assert load.served_share(cold_s) >= 0.85


def test_refused_callers_are_told_at_once_when_to_return():
    load = build_cold_load(20)
    load.offer(3 * USUAL_PER_S, 6.0)
    load.become_cold(3.0)
    cold_s = load.site.now_s
    load.offer(3 * USUAL_PER_S, 4.0)
    refusals = [r for r in load.refusals(cold_s) if r[0].code == "endpoint-cold"]
    assert len(refusals) >= 10
    waits_s = [response.retry_after_s for response, _ in refusals]
    assert min(waits_s) > 0 and max(waits_s) <= 5.0
    assert max(waits_s) - min(waits_s) >= 1.0
    for response, waited_s in refusals:
        assert response.outcome == "not-run"
        assert waited_s < 0.1
    assert "is cold for" in refusals[-1][0].detail and "routers" in refusals[-1][0].detail


def test_endpoint_that_is_warm_again_is_not_limited_any_more():
    load = build_cold_load(20)
    load.offer(3 * USUAL_PER_S, 3.0)
    load.become_cold(3.0)
    load.offer(3 * USUAL_PER_S, 4.5)
    warm_s = load.site.now_s
    load.offer(3 * USUAL_PER_S, 3.0)
    assert load.served_share(warm_s) >= 0.98


def test_zone_that_becomes_cold_under_load_stays_within_the_bound():
    names = ("till-1", "till-2", "till-3")
    load = build_cold_load(20, names=names)
    load.offer(3 * 3 * USUAL_PER_S, 6.0)
    load.become_cold(4.0)
    load.offer(3 * 3 * USUAL_PER_S, 4.0)
    assert 1 <= load.worst_second() <= BOUND
    assert load.site.double_holds == []


def crash_leader(site):
    """Crash the leader and start it again later."""
    name = find_leader_name(site)
    site.crash_host(name)
    site.at(3.0, lambda: site.start_host(name, may_bootstrap=False))


def cut_all_off(site):
    """Separate all routers from the controllers."""
    edges = [name for name, host in site.hosts.items() if host.disk is None]
    site.drop_messages(edges, CONTROLLERS)
    site.drop_messages(CONTROLLERS, edges)


@pytest.mark.parametrize("fault", [crash_leader, cut_all_off], ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("routers", [3, 20])
def test_bound_holds_when_the_leader_is_lost_during_the_cold_phase(fault, routers):
    load = build_cold_load(routers, seed=4)
    load.offer(USUAL_PER_S, 6.0)
    load.become_cold(9.0)
    load.offer(USUAL_PER_S, 1.5)
    fault(load.site)
    load.offer(3 * USUAL_PER_S, 7.5)
    assert 1 <= load.worst_second() <= BOUND


def test_router_cut_off_keeps_its_part_and_the_end_of_the_cold_phase():
    load = build_cold_load(20, seed=5)
    load.offer(USUAL_PER_S, 6.0)
    load.become_cold(6.0)
    load.offer(USUAL_PER_S, 1.5)
    cut = ["edge-1", "edge-2", "edge-3", "edge-4"]
    load.site.drop_messages(cut, CONTROLLERS)
    load.site.drop_messages(CONTROLLERS, cut)
    load.weights |= dict.fromkeys(cut, 12.0)
    load.offer(4 * USUAL_PER_S, 4.5)
    assert 1 <= load.worst_second() <= BOUND
    load.weights = dict.fromkeys(cut, 1.0)
    load.site.run_for(0.5)
    warm_s = load.site.now_s
    load.offer(USUAL_PER_S, 2.0)
    assert "endpoint-cold" not in codes(load, warm_s)


def test_endpoint_that_does_not_report_the_cold_phase_is_treated_as_warm():
    load = build_cold_load(20)
    load.offer(3 * USUAL_PER_S, 4.0)
    assert codes(load, 0.0) == set()


def test_change_from_warm_to_cold_between_two_reports_is_noticed():
    """The end of the earlier phase, which the last report gave, must not hold for the next."""
    load = build_cold_load(20, seed=6)
    load.offer(3 * USUAL_PER_S, 6.0)
    load.become_cold(1.2)
    load.site.run_until(lambda: load.endpoint.cold_reported_s is not None, 1.2)
    assert load.endpoint.cold_reported_s is not None
    load.become_cold(4.0)
    load.offer(3 * USUAL_PER_S, 4.0)
    assert load.endpoint.cold_reported_s is not None
    assert 1 <= load.worst_second() <= BOUND
    assert "endpoint-cold" in codes(load, load.endpoint.cold_reported_s + 1.0)


@pytest.mark.parametrize(("name", "number"), [("docs-1", 101), ("till-1", 1)])
def test_endpoint_that_starts_anew_and_is_cold_stays_within_the_bound(name, number):
    service = name.partition("-")[0]
    load = build_cold_load(20, names=(name,), route="prices" if service == "docs" else "balance")
    load.keys = list(range(0, 65_536, 160)) if service == "till" else []
    per_s = 10 * USUAL_PER_S
    load.offer(per_s, 6.0)
    load.endpoints = [restart_cold(load.site, name, number, service, 6.0)]
    load.offer(per_s, 6.0)
    assert load.worst_second() <= BOUND
    load.offer(per_s, 4.0)
    since_s = load.site.now_s - 1.0
    load.endpoint = load.endpoints[0]
    assert load.arrivals_per_s(since_s) > RATE_PER_S


def test_urgent_requests_are_preferred_when_all_endpoints_are_cold():
    load = build_cold_load(20, names=("docs-1", "docs-2"), route="prices")
    routes = (
        build_route("prices", version=2, weighted_services=(("docs", 1),), priority=5),
        build_route("urgent", weighted_services=(("docs", 1),), priority=0),
    )
    load.site.patch_until_replied(Patch(routes=routes))
    load.offer_mixed({"urgent": 3.0, "prices": 20.0}, 6.0)
    load.become_cold(6.0)
    load.site.run_for(1.0)
    cold_s = load.site.now_s
    load.offer_mixed({"urgent": 3.0, "prices": 20.0}, 5.0)
    assert load.worst_second() <= BOUND
    assert load.served_share_of("urgent", cold_s) >= 0.8
    assert load.served_share_of("prices", cold_s) <= 0.4


@pytest.mark.parametrize("limit_per_s", [1.0, 8.0])
def test_smaller_of_a_declared_limit_and_the_cold_limit_holds(limit_per_s):
    load = build_cold_load(20, seed=7)
    load.offer(3 * USUAL_PER_S, 3.0)
    pin_keys(load)
    load.endpoint.limit_per_s = limit_per_s
    load.offer(3 * USUAL_PER_S, 5.0)
    load.become_cold(4.5)
    load.offer(3 * USUAL_PER_S, 4.5)
    since_s = load.endpoint.cold_reported_s
    assert load.worst_second() <= BOUND
    assert load.arrivals_per_s(since_s) <= 1.5 * min(limit_per_s, RATE_PER_S) + 1.0


@pytest.mark.parametrize("warm_up", [EndpointWarmUp(3.0), EndpointWarmUp(3.0, 0, "3s")])
def test_services_without_a_warm_up_rate_are_served_as_before(warm_up):
    def arrivals(item):
        load = build_cold_load(10, seed=8, names=("till-1", "docs-1"), warm_up=item)
        load.offer(60, 3.0)
        load.become_cold(2.0)
        load.offer(60, 4.0)
        return [e.arrivals for e in load.site.reporting_endpoints.values()]

    assert arrivals(warm_up) == arrivals(None)


def test_new_endpoint_gets_keys_whose_demand_fits_its_rate_and_more_when_warm():
    load = build_cold_load(5, seed=9)
    load.keys = list(range(0, 65_536, 160))
    load.offer(60, 6.0)
    load.endpoint = restart_cold(load.site, "till-1", 1, "till", 8.0)
    load.offer(60, 3.0)
    cold_share = len(load.endpoint.holds) / UNIT_COUNT
    assert 0 < 60 * cold_share <= RATE_PER_S
    load.offer(60, 12.0)
    assert len(load.endpoint.holds) / UNIT_COUNT >= 0.7 / 6
    assert load.site.double_holds == []
