"""Load of endpoints on a simulated site: what callers get by kind, and failures of each part."""

import pytest

from greengagerock.core.interface import LoadNotice, StopRequested
from greengagerock.testing.fake_site import find_leader_name
from greengagerock.testing.loaded_site import PriorityLoad, build_loaded_site

# The burst of the least urgent kind needs more than the endpoints can do.
BURST = {"export": 20.0}
BURST_S = 6.0


def known_ages_s(site, router):
    """Return the ages of the loads that a router knows."""
    return site.hosts[router].node.load_exchange.loads.ages_s(site.now_s)


def stated_by(site, router, endpoint):
    """Return the ``StatedLoad`` of an endpoint at a router."""
    return site.hosts[router].node.load_exchange.loads.by_endpoint[endpoint]


def admissions(site):
    """Return the ``CallAdmission`` objects of the running routers."""
    nodes = [host.node for host in site.hosts.values() if host.disk is None]
    return [node.dispatcher.sender.admission for node in nodes if node is not None]


def run_burst(seed, states_load, admits_by_load=True):
    """Return what callers got in a burst, and after it."""
    site = build_loaded_site(seed, states_load=states_load, admits_by_load=admits_by_load)
    load = PriorityLoad(site)
    load.offer(2.0)
    since_s = load.site.now_s
    load.offer(BURST_S, BURST)
    load.site.run_for(6.0)
    check_refusals(load)
    return load.counts(since_s), load


def check_refusals(load):
    """Check that refused requests did not run, and that callers had time to come back."""
    run = {r for e in load.site.reporting_endpoints.values() for r, _, _ in e.runs}
    runs = [r for e in load.site.reporting_endpoints.values() for r, _, _ in e.runs]
    unsafe = {f"r{t}" for t, c in load.callers_by_token.items() if c.route == "book"}
    assert len([r for r in runs if r in unsafe]) == len(set(runs) & unsafe)
    for token in load.callers_by_token:
        result = load.site.request_results.get(token)
        if getattr(result, "outcome", "") == "not-run":
            assert f"r{token}" not in run
    for caller in load.callers:
        for _, error, left_s in caller.refusals:
            if error.detail.startswith(("late", "less-urgent", "queue-full")):
                assert 0 <= error.retry_after_s <= left_s / 3 + 1e-9


@pytest.mark.parametrize("seed", [1, 2])
def test_burst_of_the_less_urgent_kind_does_not_delay_the_others(seed):
    """Without known loads, a third of the bookings is late although they are more urgent."""
    before, _ = run_burst(seed, False)
    after, load = run_burst(seed, True)
    for route in ("lookup", "book"):
        assert after[route].in_time >= 0.98 * after[route].sent
        assert after[route].refused_once <= before[route].refused_once
    assert before["book"].in_time < 0.8 * before["book"].sent
    # The less urgent kind waits or comes back, but is not starved.
    assert after["export"].in_time >= 0.6 * after["export"].sent
    assert after["export"].failed <= 0.02 * after["export"].sent
    assert sum(a.wait_count for a in admissions(load.site)) > 0


def test_choice_by_load_serves_more_callers_in_time():
    """By default routers only choose by load, and the exchange must pay for itself."""
    in_time = dict.fromkeys((False, True), 0)
    for seed in (1, 2, 3, 4):
        for states_load in in_time:
            counts, load = run_burst(seed, states_load, admits_by_load=False)
            assert all(kind.failed == 0 for kind in counts.values())
            assert not sum(a.wait_count for a in admissions(load.site))
            in_time[states_load] += counts["lookup"].in_time + counts["book"].in_time
    assert in_time[True] > in_time[False]


def test_all_routers_know_the_load_soon_and_nothing_is_sent_while_none_is_busy():
    """A router that has sent an endpoint no request must still avoid it while it is full."""
    load = PriorityLoad(build_loaded_site())
    site = load.site
    load.offer(3.0, {"export": 0.0, "book": 0.0, "lookup": 0.05})
    digest = site.hosts[find_leader_name(site)].node.site_leader.router_updater.load_digest
    assert digest.packed_for(7, site.now_s + 1.0) is None
    load.offer(3.0, BURST)
    assert all(len(known_ages_s(site, router)) >= 10 for router in load.routers)


@pytest.mark.parametrize(
    "false_load",
    [
        LoadNotice(0, 0, 2, 100),
        LoadNotice(1_000_000, 1_000_000, 2, 100_000),
        LoadNotice(0, 0, 1_000_000, 1),
        None,
    ],
)
def test_endpoints_that_state_a_false_load_or_none(false_load):
    """A faulty endpoint may get too many or too few requests; callers of others must not care."""
    load = PriorityLoad(build_loaded_site())
    faulty = [e for e in load.site.reporting_endpoints.values() if e.name.endswith("-1")]
    for endpoint in faulty:
        endpoint.false_load = false_load
        endpoint.states_load = false_load is not None
    load.offer(6.0, {"export": 3.0})
    load.site.run_for(6.0)
    check_refusals(load)
    counts = load.counts()
    assert counts["book"].in_time + counts["book"].late >= 0.97 * counts["book"].sent
    assert counts["export"].in_time >= 0.9 * counts["export"].sent
    # A key has only one holder, so its callers meet the faulty endpoint, here one of eight.
    assert counts["lookup"].in_time >= 0.8 * counts["lookup"].sent


def test_endpoints_that_fall_silent_are_believed_for_two_seconds_only():
    load = PriorityLoad(build_loaded_site())
    site = load.site
    load.offer(3.0, BURST)
    for endpoint in site.reporting_endpoints.values():
        endpoint.states_load = False
    load.offer(2.1)
    assert [known_ages_s(site, router) for router in load.routers] == [[]] * len(load.routers)
    since_s = site.now_s
    load.offer(3.0)
    site.run_for(6.0)
    counts = load.counts(since_s)
    assert all(kind.in_time >= 0.95 * kind.sent for kind in counts.values())


def test_restarted_endpoint_is_not_taken_for_its_predecessor():
    load = PriorityLoad(build_loaded_site())
    site = load.site
    load.offer(3.0, BURST)
    stated = [stated_by(site, router, "booking-0") for router in load.routers]
    assert all(s.running and site.now_s - s.observed_s < 1.0 for s in stated)
    restarted_s = site.now_s
    endpoint = site.reporting_endpoints["booking-0"]
    endpoint.restart()
    load.offer(1.5, {"book": 0.0, "export": 0.0})
    for router in load.routers:
        node = site.hosts[router].node
        record = node.replica.endpoints["booking-0"]
        assert record.started_ms == endpoint.started_ms
        known = node.load_exchange.loads.known_load(record, 0.1, site.now_s)
        assert known is None or known.age_s < site.now_s - restarted_s


def test_routers_cut_off_from_the_leader_use_only_their_own_values():
    """They must neither keep old values nor refuse what they could serve."""
    load = PriorityLoad(build_loaded_site())
    site = load.site
    load.offer(2.0, BURST)
    cut_off, controllers = load.routers[::2], ["core-1", "core-2", "core-3"]
    site.drop_messages(cut_off, controllers)
    site.drop_messages(controllers, cut_off)
    since_s = site.now_s
    load.offer(4.0, {"export": 10.0})
    for router in cut_off:
        assert all(age_s <= 2.0 for age_s in known_ages_s(site, router))
    site.run_for(6.0)
    check_refusals(load)
    counts = load.counts(since_s)
    assert counts["book"].in_time >= 0.9 * counts["book"].sent
    assert counts["lookup"].in_time >= 0.9 * counts["lookup"].sent
    assert counts["export"].failed <= 0.02 * counts["export"].sent


def test_leader_lost_in_a_burst():
    """The next leader needs no state of the lost one, and its messages must not be ignored."""
    load = PriorityLoad(build_loaded_site())
    site = load.site
    load.offer(2.0, BURST)
    lost = find_leader_name(site)
    site.crash_host(lost)
    since_s = site.now_s
    load.offer(5.0, BURST)
    leader = find_leader_name(site)
    assert leader not in (None, lost)
    digest = site.hosts[leader].node.site_leader.router_updater.load_digest
    assert digest.number in {
        site.hosts[router].node.load_exchange.loads.last_number for router in load.routers
    }
    site.run_for(6.0)
    check_refusals(load)
    counts = load.counts(since_s)
    assert counts["book"].in_time >= 0.9 * counts["book"].sent


def test_router_that_stops_with_waiting_calls_refuses_them_at_once():
    """The callers must not lose their time to a process that ends, nor get a cut-off response."""
    load = PriorityLoad(build_loaded_site())
    site = load.site
    load.offer(2.0, BURST)
    router = max(load.routers, key=lambda name: len(waiting_at(site, name)))
    tokens = list(waiting_at(site, router))
    assert tokens
    site.feed(router, StopRequested())
    errors = [site.request_results[token] for token in tokens]
    assert {(e.code, e.outcome, e.retry_after_s) for e in errors} == {("stopping", "not-run", 0.0)}
    site.run_for(8.0)
    check_refusals(load)
    assert all(site.request_results.get(token) is not None for token in load.callers_by_token)


def waiting_at(site, router):
    """Return the calls that wait at a router by token."""
    return site.hosts[router].node.dispatcher.sender.admission.waiting.entries
