"""A planned stop of a router that stands still when its signal arrives, on real processes."""

import signal
import time

import pytest

from greengagerock.testing.launch_site import CALLER_PORT, SiteProcesses
from greengagerock.testing.raw_callers import ScheduledCaller

STOP_TIMEOUT_S = 40.0
# Time before the SIGTERM in which the test starts its callers.
LEAD_S = 0.5
# When callers connect and send a request, in seconds after the SIGTERM. The router accepts
# requests that arrive until 3 s after it.
SENDS_S = (3.1, 3.15, 3.25, 3.35, 3.5)
# Time that endpoints take, longer than the rest of the grace period.
LONG_DELAY_S = 10.0

LONG_ROUTE = """
set route prices version 2 host shop.example prefix /prices/ to docs
    kind safe timeout 20s attempts 2 objective 150ms priority 1
"""


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), "127.17")
    try:
        site_processes.start()
        site_processes.wait_until(lambda: site_processes.apply_items(LONG_ROUTE))
        yield site_processes
    finally:
        site_processes.stop()


@pytest.mark.parametrize("still_s", [0.3, 0.6, 0.9, 3.8])
def test_request_long_after_the_signal_is_refused_by_a_router_that_took_it_up_late(site, still_s):
    site.wait_until(site.serves_all_keys)
    endpoints = [e for e in site.reporting_endpoints.values() if e.service == "docs"]
    runs_before = sum(e.runs.total() for e in endpoints)
    for endpoint in endpoints:
        endpoint.delay_s = LONG_DELAY_S
    process = site.processes["edge-1"]
    signalled_s = time.monotonic() + LEAD_S
    callers = [
        ScheduledCaller((site.routers[0], CALLER_PORT), signalled_s + at_s, signalled_s + at_s)
        for at_s in SENDS_S
    ]
    time.sleep(max(0.0, signalled_s - time.monotonic()))
    process.send_signal(signal.SIGSTOP)
    process.send_signal(signal.SIGTERM)
    time.sleep(still_s)
    process.send_signal(signal.SIGCONT)
    results = [caller.result() for caller in callers]
    assert process.wait(STOP_TIMEOUT_S) == 0
    for endpoint in endpoints:
        endpoint.delay_s = 0.0
    site.start_daemon("edge-1", site.routers[0], "router", "zone-1")
    assert sum(e.runs.total() for e in endpoints) == runs_before
    # A caller whose connection was refused has no result.
    assert set(results) <= {503, None}
    assert 503 in results
