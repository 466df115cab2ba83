"""Callers of routers that are partitioned from endpoints are served like the others."""

import pytest

from greengagerock.testing.fake_paths import HANGS, ONE_WAY, REFUSES_NEW, RESETS
from greengagerock.testing.fake_site import (
    FakeReportingEndpoint,
    build_fake_site,
    find_leader_name,
)
from greengagerock.testing.limited_load import ADJUST_S as LIMIT_ADJUST_S
from greengagerock.testing.limited_load import NOTICE_S as LIMIT_NOTICE_S
from greengagerock.testing.limited_load import WINDOW_S as LIMIT_WINDOW_S
from greengagerock.testing.partition_load import CONTACT_S, PartitionLoad

ROUTERS = 10
PARTITION_S = 12.0
RATE_PER_S = 60
# Routers of three zones, all routers of one zone, and eight of ten routers.
GROUPS = {
    "some": ("edge-1", "edge-2", "edge-6"),
    "zone": ("edge-1", "edge-4", "edge-7", "edge-10"),
    "most": tuple(f"edge-{number}" for number in range(1, 9)),
}


def build_load(seed=1, **options):
    """Return a load on a settled site, whose routers have open connections to endpoints."""
    load = PartitionLoad(build_fake_site(seed=seed, routers=ROUTERS, **options))
    load.offer(RATE_PER_S, 5.0)
    return load


def partition(load, routers, fault, services=("till", "docs"), duration_s=PARTITION_S):
    """Partition routers from the endpoints of services while callers go on; return the begin."""
    site = load.site
    names = [e.name for e in site.reporting_endpoints.values() if e.service in services]
    begun_s = site.now_s
    site.paths.cut(routers, names, fault)
    load.offer(RATE_PER_S, duration_s)
    site.paths.heal()
    return begun_s


def check_service(load, routers, begun_s, until_s=None):
    """Check what callers got from ``CONTACT_S`` after the begin on, and all invariants."""
    until_s = load.site.now_s if until_s is None else until_s
    load.site.run_for(2.0)
    since_s = begun_s + CONTACT_S
    counts = load.served_and_sent(routers, since_s, until_s)
    assert not load.is_far_worse(routers, since_s, until_s), f"served and sent: {counts}"
    assert load.broken_invariants() == []
    assert load.excess_arrivals(0.2, 60.0) <= 0


@pytest.mark.parametrize("group", GROUPS)
@pytest.mark.parametrize("fault", [HANGS, RESETS, ONE_WAY])
def test_callers_of_routers_partitioned_from_all_endpoints_are_served_like_others(fault, group):
    load = build_load()
    begun_s = partition(load, GROUPS[group], fault)
    check_service(load, GROUPS[group], begun_s)


@pytest.mark.parametrize("fault", [HANGS, RESETS, ONE_WAY])
def test_callers_of_a_router_partitioned_from_one_service_are_served_like_others(fault):
    load = build_load(seed=2)
    begun_s = partition(load, ("edge-4",), fault, services=("till",))
    check_service(load, ("edge-4",), begun_s)


@pytest.mark.parametrize("group", GROUPS)
def test_callers_are_served_in_a_burst_while_endpoints_refuse_new_connections(group):
    load = build_load(seed=3)
    site = load.site
    begun_s = site.now_s
    site.paths.cut(GROUPS[group], list(site.reporting_endpoints), REFUSES_NEW)
    load.offer(5 * RATE_PER_S, PARTITION_S)
    site.paths.heal()
    check_service(load, GROUPS[group], begun_s)


def cut_all(load, routers, fault=HANGS):
    """Partition routers from all endpoints; return the time."""
    load.site.paths.cut(routers, list(load.site.reporting_endpoints), fault)
    return load.site.now_s


@pytest.mark.parametrize("fault", [HANGS, RESETS])
def test_callers_of_partitioned_routers_are_served_while_the_leader_is_replaced(fault):
    load = build_load(seed=4)
    begun_s = cut_all(load, GROUPS["some"], fault)
    load.offer(RATE_PER_S, 2.0)
    load.site.crash_host(find_leader_name(load.site))
    load.offer(RATE_PER_S, 8.0)
    check_service(load, GROUPS["some"], begun_s)


def test_callers_of_partitioned_routers_are_served_without_any_controller():
    load = build_load(seed=5, hold_s=60.0)
    begun_s = cut_all(load, GROUPS["zone"])
    load.offer(RATE_PER_S, 2.0)
    for name in ("core-1", "core-2", "core-3"):
        load.site.crash_host(name)
    load.offer(RATE_PER_S, 8.0)
    check_service(load, GROUPS["zone"], begun_s)


def test_callers_of_partitioned_routers_are_served_while_endpoints_are_replaced():
    load = build_load(seed=6)
    site = load.site
    begun_s = cut_all(load, GROUPS["some"])
    for number in range(1, 7):
        new = site.add_reporting_endpoint(FakeReportingEndpoint(f"new-{number}", 20 + number))
        site.paths.cut(GROUPS["some"], [new.name], HANGS)
        load.offer(RATE_PER_S, 1.0)
        site.reporting_endpoints[f"till-{number}"].draining = True
        load.offer(RATE_PER_S, 1.0)
    check_service(load, GROUPS["some"], begun_s)


def test_callers_of_partitioned_routers_are_served_while_relays_freeze():
    load = build_load(seed=7)
    begun_s = cut_all(load, GROUPS["some"])
    load.offer(RATE_PER_S, 4.0)
    for name in ("edge-3", "edge-5"):
        load.site.pause_host(name)
    load.offer(RATE_PER_S, 3.0)
    for name in ("edge-3", "edge-5"):
        load.site.resume_host(name)
    load.offer(RATE_PER_S, 5.0)
    check_service(load, GROUPS["some"], begun_s)


def test_callers_of_partitioned_routers_are_served_in_a_burst():
    load = build_load(seed=8)
    begun_s = cut_all(load, GROUPS["zone"])
    load.offer(5 * RATE_PER_S, 10.0)
    check_service(load, GROUPS["zone"], begun_s)


@pytest.mark.parametrize("seed", [9, 10, 12, 17, 18, 20])
def test_callers_of_routers_that_start_during_the_partition_are_served(seed):
    load = build_load(seed=seed)
    begun_s = cut_all(load, GROUPS["some"])
    load.offer(RATE_PER_S, 2.0)
    load.site.crash_host("edge-2")
    load.site.start_host("edge-2")
    load.offer(RATE_PER_S, 8.0)
    check_service(load, GROUPS["some"], begun_s)


def test_request_without_a_response_is_reported_unless_its_router_has_crashed():
    """A process that has crashed sends no response; its callers' connections end."""
    load = build_load(seed=19)
    load.site.paths.cut(["edge-2"], list(load.site.reporting_endpoints), HANGS)
    load.tries.clear()
    load.offer(RATE_PER_S, 1.0)
    load.site.crash_host("edge-2")
    load.site.run_for(3.0)
    assert load.broken_invariants() == []
    load.site.hosts["edge-2"].crash_times_s.clear()
    unanswered = [t for t in load.tries if t.token not in load.site.responded_at_s]
    assert len(load.broken_invariants()) == len(unanswered) > 0


def test_relayed_requests_keep_the_limit_that_an_endpoint_names():
    load = build_load(seed=10)
    site = load.site
    endpoint = site.reporting_endpoints["docs-1"]
    cut_all(load, GROUPS["zone"])
    load.offer(RATE_PER_S, 3.0)
    endpoint.limit_per_s = 2.0
    limited_s = site.now_s + LIMIT_ADJUST_S
    load.offer(RATE_PER_S, 14.0)
    assert endpoint.count_over_limit(LIMIT_WINDOW_S, LIMIT_NOTICE_S, limited_s) <= 0
    assert load.broken_invariants() == []


def test_endpoint_that_no_router_reaches_is_not_sought_through_relays_for_each_request():
    load = build_load(seed=11)
    site = load.site
    site.paths.cut(load.routers, ["till-1"], HANGS)
    relayed_before = site.relayed_count
    load.offer(RATE_PER_S, 10.0)
    sent = sum(t.sent_s >= site.now_s - 10.0 for t in load.tries)
    assert site.relayed_count - relayed_before <= 0.2 * sent
    site.run_for(2.0)
    assert load.broken_invariants() == []


def test_routers_return_to_own_connections_after_the_partition():
    load = build_load(seed=12)
    cut_all(load, GROUPS["most"])
    load.offer(RATE_PER_S, 8.0)
    load.site.paths.heal()
    load.offer(2 * RATE_PER_S, 6.0)
    relayed_before = load.site.relayed_count
    load.offer(2 * RATE_PER_S, 3.0)
    assert load.site.relayed_count == relayed_before > 0


def test_leaving_endpoint_gets_no_new_work_through_relays():
    load = build_load(seed=13)
    site = load.site
    cut_all(load, GROUPS["some"])
    load.offer(RATE_PER_S, 4.0)
    endpoint = site.reporting_endpoints["docs-1"]
    endpoint.draining = True
    load.offer(RATE_PER_S, 4.0)
    arrivals = len(endpoint.arrivals)
    load.offer(RATE_PER_S, 4.0)
    assert len(endpoint.arrivals) == arrivals


@pytest.mark.parametrize("group", GROUPS)
def test_callers_of_partitioned_routers_are_served_while_connections_to_relays_open_late(group):
    load = build_load(seed=14)
    load.site.paths.relay_connect_range_s = (0.16, 0.5)
    begun_s = partition(load, GROUPS[group], HANGS)
    check_service(load, GROUPS[group], begun_s)


@pytest.mark.parametrize("group", GROUPS)
def test_callers_of_partitioned_routers_are_served_over_connections_that_were_open_before(group):
    load = build_load(seed=15)
    load.site.paths.relay_connect_range_s = (0.4, 0.8)
    begun_s = partition(load, GROUPS[group], HANGS)
    check_service(load, GROUPS[group], begun_s)


@pytest.mark.parametrize("group", ["some", "zone"])
def test_callers_of_partitioned_routers_are_served_while_endpoints_accept_connections_late(group):
    load = PartitionLoad(build_fake_site(seed=16, routers=ROUTERS), budget_s=2.0)
    load.offer(RATE_PER_S, 3.0)
    site = load.site
    for endpoint in site.reporting_endpoints.values():
        endpoint.max_connect_delay_s = 0.4
    begun_s = cut_all(load, GROUPS[group])
    for _ in range(10):
        # Endpoints close idle connections.
        for path in [p for p in site.paths.idle_connections if p[1] in site.reporting_endpoints]:
            del site.paths.idle_connections[path]
        load.offer(RATE_PER_S, 1.0)
    site.paths.heal()
    check_service(load, GROUPS[group], begun_s)


@pytest.mark.parametrize("fault", [HANGS, RESETS])
def test_callers_are_served_while_many_routers_have_lost_one_service_and_others_another(fault):
    load = PartitionLoad(build_fake_site(seed=17, routers=20))
    load.offer(2 * RATE_PER_S, 5.0)
    site = load.site
    without_till = {f"edge-{number}" for number in (1, 2, 3, 4, 5, 6, 7, 8, 9, 10)}
    without_docs = {f"edge-{number}" for number in (6, 7, 8, 9, 10, 11, 12, 13, 14, 15)}
    for routers, service in ((without_till, "till"), (without_docs, "docs")):
        names = [e.name for e in site.reporting_endpoints.values() if e.service == service]
        site.paths.cut(routers, names, fault)
    begun_s = site.now_s
    load.offer(2 * RATE_PER_S, PARTITION_S)
    site.paths.heal()
    check_service(load, without_till | without_docs, begun_s)
    check_service(load, without_till & without_docs, begun_s)
