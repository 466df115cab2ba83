"""A planned stop of a router while callers go on, on real processes."""

import signal
import time

import pytest

from greengagerock.testing.launch_site import CALLER_PORT, SiteProcesses
from greengagerock.testing.raw_callers import RawCallers

CALLERS = 24
STOPS = 2
STOP_TIMEOUT_S = 40.0
# Time that endpoints take for a request, out of a grace period of six seconds.
LONG_DELAY_S = 2.8


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), "127.11")
    try:
        site_processes.start()
        yield site_processes
    finally:
        site_processes.stop()


def test_no_request_that_a_stopping_router_has_read_ends_without_a_response(site):
    callers = RawCallers((site.routers[0], CALLER_PORT), CALLERS)
    callers.start()
    try:
        for _ in range(STOPS):
            site.wait_until(site.serves_all_keys)
            process = site.processes["edge-1"]
            process.send_signal(signal.SIGTERM)
            assert process.wait(STOP_TIMEOUT_S) == 0
            site.start_daemon("edge-1", site.routers[0], "router", "zone-1")
    finally:
        callers.stop()
    assert callers.statuses["200"] > 0
    assert callers.cut == []


def test_no_request_is_cut_off_whose_endpoint_takes_most_of_the_grace_period(site):
    """Such requests ran and got no response, or an error in place of it."""
    site.wait_until(site.serves_all_keys)
    statements = "; ".join(
        f"set route {name} version 2 host shop.example prefix /{name}/ to {service}"
        f" kind {kind} timeout 8s attempts 2 objective 4s priority 1"
        for name, service, kind in (
            ("balance", "till", "safe"),
            ("charge", "till", "unsafe"),
            ("prices", "docs", "safe"),
        )
    )
    site.wait_until(lambda: site.apply_items(statements))
    for endpoint in site.reporting_endpoints.values():
        endpoint.delay_s = LONG_DELAY_S
    callers = RawCallers((site.routers[0], CALLER_PORT), CALLERS)
    callers.start()
    try:
        time.sleep(2 * LONG_DELAY_S + 1.0)
        process = site.processes["edge-1"]
        process.send_signal(signal.SIGTERM)
        assert process.wait(STOP_TIMEOUT_S) == 0
    finally:
        callers.stop()
        for endpoint in site.reporting_endpoints.values():
            endpoint.delay_s = 0.0
    assert callers.statuses["200"] > CALLERS
    assert callers.statuses.get("500", 0) == 0
    assert callers.cut == []
