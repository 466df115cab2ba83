"""All routers together keep the limit that an endpoint names, and callers lose little."""

import pytest

from greengagerock.testing.fake_site import (
    FakeReportingEndpoint,
    build_fake_site,
    find_leader_name,
)
from greengagerock.testing.limited_load import ADJUST_S, LimitedLoad


def build_load(routers=10, name=None, weights=None, seed=1, **options):
    """Return a load on a site; by default on the holder of a key, evenly over all routers."""
    site = build_fake_site(seed=seed, routers=routers, **options)
    endpoint = site.reporting_endpoints[name or "till-1"]
    edges = [f"edge-{number}" for number in range(1, routers + 1)]
    return LimitedLoad(site, endpoint, weights or dict.fromkeys(edges, 1.0))


def begin_limit(load, limit_per_s, per_s, warm_up_s=2.0):
    """Offer load, let the endpoint name a limit, and return the time from which it holds."""
    load.offer(per_s, warm_up_s)
    load.endpoint.limit_per_s = limit_per_s
    return load.site.now_s + ADJUST_S


def pin_keys(load):
    """Keep the leader from moving the keys of the endpoint away."""
    for other in load.site.reporting_endpoints.values():
        if other is not load.endpoint and other.service == load.endpoint.service:
            other.is_up = False


@pytest.mark.parametrize("seed", range(3))
def test_ten_routers_together_keep_the_limit_of_a_holder(seed):
    load = build_load(seed=seed)
    pin_keys(load)
    limited_s = begin_limit(load, 5.0, 20)
    load.offer(20, 16.0)
    assert load.excess(limited_s) <= 0
    assert load.arrivals_per_s(limited_s) >= 0.7 * 5.0


def test_limit_is_used_although_two_of_ten_routers_get_most_requests():
    weights = {f"edge-{number}": 8.0 if number <= 2 else 0.5 for number in range(1, 11)}
    load = build_load(weights=weights)
    pin_keys(load)
    limited_s = begin_limit(load, 5.0, 20)
    load.offer(20, 16.0)
    assert load.excess(limited_s) <= 0
    assert load.arrivals_per_s(limited_s) >= 0.7 * 5.0


@pytest.mark.parametrize("limit_per_s", [0.0, 1.0, 5.0])
def test_sixty_routers_together_keep_a_limit_below_one_request_for_each(limit_per_s):
    load = build_load(routers=60)
    pin_keys(load)
    limited_s = begin_limit(load, limit_per_s, 30, warm_up_s=4.0)
    load.offer(30, 14.0)
    assert load.excess(limited_s) <= 0
    assert load.arrivals_per_s(limited_s) >= 0.5 * limit_per_s


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("limit_per_s", [0.6, 1.6, 3.0])
def test_ten_routers_keep_a_small_limit_from_the_first_seconds_on(limit_per_s, seed):
    load = build_load(seed=20 + seed)
    pin_keys(load)
    limited_s = begin_limit(load, limit_per_s, 25)
    load.offer(25, 6.0)
    assert load.excess(limited_s) <= 0


@pytest.mark.parametrize("routers", [10, 60])
@pytest.mark.parametrize("limit_per_s", [1.6, 6.0])
def test_limit_is_kept_when_the_demand_rises_within_a_second(limit_per_s, routers):
    load = build_load(routers=routers, seed=5)
    pin_keys(load)
    begin_limit(load, limit_per_s, limit_per_s)
    load.offer(0.9 * limit_per_s, 12.0)
    risen_s = load.site.now_s
    load.offer(3.0 * limit_per_s, 8.0)
    assert load.excess(risen_s) <= 0


@pytest.mark.parametrize("seed", range(2))
def test_limit_is_kept_while_keys_of_uneven_load_move(seed):
    """Requests go to keys of all endpoints, a third of them to a few neighbouring keys."""
    load = build_load(seed=30 + seed, reporting_endpoints=8)
    load.keys = [*range(0, 65_536, 160), *range(8000, 8200)]
    load.offer(80, 3.0)
    load.endpoint.limit_per_s = 1.6
    limited_s = load.site.now_s + ADJUST_S
    load.offer(80, 30.0)
    assert load.excess(limited_s) <= 0
    assert load.served_share(load.site.now_s - 10.0) >= 0.97
    assert load.site.double_holds == []


def test_callers_over_the_limit_are_refused_at_once_and_not_run():
    load = build_load()
    pin_keys(load)
    limited_s = begin_limit(load, 5.0, 20)
    load.offer(20, 10.0)
    refusals = [r for r in load.refusals(limited_s) if r[0].code == "endpoint-limited"]
    assert refusals
    for response, waited_s in refusals:
        assert response.outcome == "not-run"
        assert 0 < response.retry_after_s <= 5.0
        assert waited_s < 0.1


def test_keys_of_a_limited_holder_move_to_endpoints_that_take_their_requests():
    load = build_load(reporting_endpoints=6)
    limited_s = begin_limit(load, 4.0, 20)
    load.offer(20, 14.0)
    assert load.excess(limited_s) <= 0
    load.offer(20, 6.0)
    assert load.served_share(load.site.now_s - 6.0) >= 0.9
    assert load.site.double_holds == []


def test_other_endpoints_without_keys_take_the_requests_over_the_limit():
    load = build_load(name="docs-1")
    limited_s = begin_limit(load, 2.0, 30)
    load.offer(30, 12.0)
    assert load.excess(limited_s) <= 0
    assert load.served_share(limited_s) >= 0.99


def test_limits_of_two_services_hold_at_the_same_time():
    keyed = build_load(seed=4)
    site = keyed.site
    pin_keys(keyed)
    plain = LimitedLoad(site, site.reporting_endpoints["docs-1"], keyed.weights)
    limited_s = begin_limit(keyed, 4.0, 16)
    plain.endpoint.limit_per_s = 3.0
    for _ in range(12):
        for load in (keyed, plain):
            for _ in range(16):
                site.at(site.random.uniform(0, 1.0), lambda w=load: w._call("edge-3"))
                site.at(site.random.uniform(0, 1.0), lambda w=load: w._call("edge-8"))
        site.run_for(1.0)
    assert keyed.excess(limited_s) <= 0
    assert plain.excess(limited_s) <= 0


def test_limit_that_falls_is_kept_and_one_that_rises_is_used():
    load = build_load()
    pin_keys(load)
    begin_limit(load, 8.0, 30)
    load.offer(30, 6.0)
    load.endpoint.limit_per_s = 2.0
    fallen_s = load.site.now_s + ADJUST_S
    load.offer(30, 12.0)
    assert load.excess(fallen_s) <= 0
    load.endpoint.limit_per_s = 15.0
    risen_s = load.site.now_s + ADJUST_S
    load.offer(30, 10.0)
    assert load.arrivals_per_s(risen_s) >= 0.7 * 15.0


def test_limit_that_is_no_longer_named_ends_at_all_routers():
    load = build_load()
    pin_keys(load)
    begin_limit(load, 1.0, 20)
    load.offer(20, 6.0)
    load.endpoint.limit_per_s = None
    load.offer(20, 4.0)
    load.offer(20, 4.0)
    assert load.served_share(load.site.now_s - 4.0) >= 0.99


def test_later_instance_of_an_endpoint_has_no_limit():
    load = build_load(name="docs-1")
    begin_limit(load, 0.0, 20)
    load.offer(20, 4.0)
    site = load.site
    for name in ("docs-1", "docs-2"):
        site.reporting_endpoints[name].is_up = False
    site.add_reporting_endpoint(FakeReportingEndpoint("docs-1", 101, "docs", started_ms=9000))
    load.offer(20, 3.0)
    load.offer(20, 4.0)
    assert load.served_share(site.now_s - 4.0) >= 0.9


def crash_leader(site):
    """Crash the leader and start it again later."""
    name = find_leader_name(site)
    site.crash_host(name)
    site.at(3.0, lambda: site.start_host(name, may_bootstrap=False))


def freeze_leader(site):
    """Freeze the leader for some seconds."""
    name = find_leader_name(site)
    site.pause_host(name)
    site.at(4.0, lambda: site.resume_host(name))


def restart_routers(site):
    """Restart three routers, one after the other."""
    for number in (1, 2, 3):
        name = f"edge-{number}"
        site.at(number, lambda n=name: site.crash_host(n))
        site.at(number + 1.5, lambda n=name: site.start_host(n))


def freeze_routers(site):
    """Freeze three routers for some seconds."""
    for number in (1, 2, 3):
        site.pause_host(f"edge-{number}")
        site.at(3.0, lambda n=number: site.resume_host(f"edge-{n}"))


def cut_routers_off(site):
    """Cut four routers off from all controllers."""
    cores = ["core-1", "core-2", "core-3"]
    edges = [f"edge-{number}" for number in (1, 2, 3, 4)]
    site.drop_messages(edges, cores)
    site.drop_messages(cores, edges)
    site.at(6.0, site.heal)


def add_routers(site):
    """Add four routers."""
    seeds = [site.address_of(f"core-{number}") for number in (1, 2, 3)]
    for number in range(11, 15):
        site.add_site_host(f"edge-{number}", "zone-1", seeds, role="router")


def crash_all_controllers(site):
    """Crash all controllers and start them again."""
    for number in (1, 2, 3):
        site.crash_host(f"core-{number}")
        site.at(4.0, lambda n=number: site.start_host(f"core-{n}", may_bootstrap=False))


FAULTS = (
    crash_leader,
    freeze_leader,
    restart_routers,
    freeze_routers,
    cut_routers_off,
    add_routers,
    crash_all_controllers,
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_limit_is_kept_during_other_faults(fault):
    load = build_load(seed=7)
    pin_keys(load)
    limited_s = begin_limit(load, 5.0, 20)
    load.offer(20, 4.0)
    fault(load.site)
    if fault is add_routers:
        load.weights |= {f"edge-{number}": 1.0 for number in range(11, 15)}
    load.offer(20, 10.0)
    assert load.excess(limited_s) <= 0


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_limit_that_begins_during_other_faults_is_kept(fault):
    load = build_load(seed=8)
    pin_keys(load)
    load.offer(20, 2.0)
    fault(load.site)
    load.endpoint.limit_per_s = 5.0
    limited_s = load.site.now_s + ADJUST_S
    load.offer(20, 12.0)
    assert load.excess(limited_s) <= 0
