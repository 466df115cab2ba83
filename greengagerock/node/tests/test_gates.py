"""Overload of endpoints that many routers share: what callers get, also when gatekeepers fail."""

import pytest

from greengagerock.items import Patch
from greengagerock.testing.fake_site import build_fake_site
from greengagerock.testing.item_builders import build_route

ROUTERS = 32
ENDPOINTS = 6
PROCESSING_S = 0.6
SLOTS = 3
OBJECTIVE_S = 1.8
TIMEOUT_S = 5.0
CAPACITY = ENDPOINTS * SLOTS / PROCESSING_S
LOAD_S = 12.0


def build_loaded_site(seed=1, uses_gates=True):
    """Return a site whose endpoints queue up to a dozen requests, as real ones do."""
    site = build_fake_site(
        seed=seed, routers=ROUTERS, reporting_endpoints=ENDPOINTS, uses_gates=uses_gates
    )
    routes = tuple(
        build_route(name, 2, kind=kind, objective_s=OBJECTIVE_S, timeout_s=TIMEOUT_S)
        for name, kind in (("balance", "safe"), ("charge", "unsafe"))
    )
    assert site.patch_until_replied(Patch(routes=routes)).code == ""
    for endpoint in site.reporting_endpoints.values():
        endpoint.processing_time_s = PROCESSING_S
        endpoint.queue_limit = 12
    return site


def send_load(site, rate, seconds, routers=range(1, ROUTERS + 1), route="balance"):
    """Send requests for random keys through random routers, and return their tokens."""
    tokens = []
    routers = list(routers)

    def send():
        key = site.random.randrange(65_536)
        router = f"edge-{site.random.choice(routers)}"
        tokens.append(site.call(router, route, key, budget_s=TIMEOUT_S))

    for number in range(int(seconds * rate)):
        site.at(number / rate, send)
    site.run_for(seconds + TIMEOUT_S + 0.5)
    return tokens


def share_in_time(site, tokens):
    """Return the share of requests with a response within the latency objective."""
    in_time = sum(
        site.outcome(t) == "ok" and site.responded_at_s[t] - site.requested_at_s[t] <= OBJECTIVE_S
        for t in tokens
    )
    return in_time / len(tokens)


def gates_of(site, router="edge-1"):
    """Return the gatekeeper by endpoint as one router knows it."""
    gates = site.hosts[router].node.replica.gates
    return {name: gates.gatekeepers[index] for name, index in gates.endpoints.items()}


def test_under_overload_more_callers_get_a_response_in_time():
    """Callers send 1.5 times as much as all endpoints together can run."""
    shares = {}
    for uses_gates in (False, True):
        site = build_loaded_site(uses_gates=uses_gates)
        send_load(site, 1.5 * CAPACITY, 3.0)
        shares[uses_gates] = share_in_time(site, send_load(site, 1.5 * CAPACITY, LOAD_S))
        assert site.double_holds == []
    assert shares[True] > shares[False] + 0.15
    # The endpoints can run two thirds of the requests.
    assert shares[True] > 0.8 * (1 / 1.5)


def test_without_overload_there_are_no_gates():
    site = build_loaded_site()
    tokens = send_load(site, 0.4 * CAPACITY, LOAD_S)
    assert gates_of(site) == {}
    assert share_in_time(site, tokens) > 0.95


def test_gates_are_closed_after_an_overload():
    site = build_loaded_site()
    send_load(site, 1.5 * CAPACITY, LOAD_S)
    assert gates_of(site)
    send_load(site, 0.2 * CAPACITY, 14.0)
    assert gates_of(site) == {}


def test_calls_that_are_refused_have_not_run_and_none_runs_twice():
    site = build_loaded_site()
    tokens = send_load(site, 2.0 * CAPACITY, LOAD_S, route="charge")
    runs = [run[0] for endpoint in site.reporting_endpoints.values() for run in endpoint.runs]
    assert len(runs) == len(set(runs))
    for token in tokens:
        result = site.request_results[token]
        if result != "ok" and result.outcome == "not-run":
            assert f"r{token}" not in runs
            assert result.retry_after_s > 0


@pytest.mark.parametrize("loss", ["kill", "freeze"])
def test_lost_gatekeeper_costs_callers_little(loss):
    """Calls of the other routers are sent without permits until another router takes over."""
    site = build_loaded_site()
    send_load(site, 1.5 * CAPACITY, 3.0)
    keeper = next(iter(gates_of(site).values())).split(":")[0]
    others = [number for number in range(1, ROUTERS + 1) if f"edge-{number}" != keeper]
    if loss == "kill":
        site.crash_host(keeper)
    else:
        site.pause_host(keeper)
    tokens = send_load(site, 1.5 * CAPACITY, LOAD_S, others)
    assert share_in_time(site, tokens) > 0.7 * (1 / 1.5)
    assert all(site.outcome(token) is not None for token in tokens)
    survivor = "edge-2" if keeper == "edge-1" else "edge-1"
    assert f"{keeper}:7000" not in gates_of(site, survivor).values()
    if loss == "freeze":
        site.resume_host(keeper)
        site.run_for(2.0)
        tokens = send_load(site, 1.5 * CAPACITY, 4.0)
        assert share_in_time(site, tokens) > 0.8 * (1 / 1.5)
    assert site.double_holds == []


def test_routers_cut_off_from_gatekeepers_still_send():
    """One router reaches controllers and endpoints, but no other router."""
    site = build_loaded_site()
    send_load(site, 1.5 * CAPACITY, 3.0)
    keepers = {address.split(":")[0] for address in gates_of(site).values()}
    outsider = next(f"edge-{n}" for n in range(1, ROUTERS + 1) if f"edge-{n}" not in keepers)
    site.drop_messages([outsider], keepers)
    site.drop_messages(keepers, [outsider])
    tokens = send_load(site, 20.0, 2.0, [outsider.removeprefix("edge-")])
    assert sum(site.outcome(token) == "ok" for token in tokens) > 0.5 * len(tokens)
