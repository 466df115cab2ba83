"""Endpoints that reset connections when they are full count neither as lost nor as crashed."""

import pytest

from greengagerock.core.interface import MessageReceived
from greengagerock.routing.crash_suspects import CrashReport
from greengagerock.testing.fake_site import build_fake_site, find_leader_name
from greengagerock.testing.log_recorder import record_log_lines
from greengagerock.testing.partition_load import PartitionLoad

FAILURE_EVENTS = ("endpoint-unreachable", "partition-begins")


@pytest.mark.parametrize("seed", range(3))
def test_full_endpoints_are_not_avoided_as_ones_that_do_not_respond(seed):
    load = PartitionLoad(build_fake_site(seed=seed, routers=10), budget_s=1.0)
    lines = record_log_lines(load.site, FAILURE_EVENTS)
    for endpoint in load.site.reporting_endpoints.values():
        endpoint.processing_time_s = 0.15
        endpoint.queue_limit = 2
        endpoint.resets_when_full = True
    load.offer(150, 8.0)
    load.site.run_for(2.0)
    assert sum(len(e.runs) for e in load.site.reporting_endpoints.values()) < len(load.tries)
    assert lines == []
    results = [load.site.request_results.get(t.token) for t in load.tries]
    assert not any(getattr(result, "code", "") == "connect-failed" for result in results)
    assert load.broken_invariants() == []


@pytest.mark.parametrize("is_reset", [False, True])
def test_request_is_suspended_only_while_endpoints_may_have_crashed(is_reset):
    site = build_fake_site(seed=4)
    leader = site.hosts[find_leader_name(site)]
    router = site.hosts["edge-1"].node.dispatcher
    for name in ("till-1", "till-2", "till-3"):
        started_ms = site.reporting_endpoints[name].started_ms
        report = CrashReport("f", "till", "r", name, str(started_ms), False, is_reset)
        site._feed(leader, MessageReceived("edge-1", "edge-1:7000", report))
    site.run_for(0.2)
    assert router.banned_fingerprints == {"f"}
    site.run_for(3.0)
    assert router.banned_fingerprints == (set() if is_reset else {"f"})
