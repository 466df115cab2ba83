"""SIGHUP and changes of the configuration while callers go on, on real processes."""

import signal
import time

import pytest

from greengagerock.testing.launch_site import CALLER_PORT, SiteProcesses
from greengagerock.testing.raw_callers import RawCallers

CALLERS = 24
ROUNDS = 4
# Time that endpoints take for a request, so that each change meets requests in progress.
DELAY_S = 0.3
PAUSE_S = 0.6
ROUTES = (("balance", "till", "safe"), ("charge", "till", "unsafe"), ("prices", "docs", "safe"))


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), "127.33")
    try:
        site_processes.start()
        yield site_processes
    finally:
        site_processes.stop()


def set_routes(version, timeout_s):
    """Return statements with another timeout, weight and priority of each route."""
    return "; ".join(
        f"set route {name} version {version} host shop.example prefix /{name}/ to {service}"
        f" weight {version} kind {kind} timeout {timeout_s}s attempts {1 + version % 2}"
        f" objective 4s priority {version % 3}"
        for name, service, kind in ROUTES
    )


def set_limits(version, header_timeout_s, idle_timeout_s):
    """Return a statement with other limits of what callers send."""
    return (
        f"set limits version {version} headers {16_384 - version} body {100_000 - version}"
        f" header_timeout {header_timeout_s}s idle_timeout {idle_timeout_s}s"
    )


def test_no_request_is_cut_off_by_a_reload_or_a_change(site):
    site.wait_until(site.serves_all_keys)
    for endpoint in site.reporting_endpoints.values():
        endpoint.delay_s = DELAY_S
    callers = RawCallers((site.routers[0], CALLER_PORT), CALLERS)
    callers.start()
    try:
        for number in range(ROUNDS):
            version = 2 + 3 * number
            for items in (
                set_limits(version, 1 + version % 2, 5 + 10 * (version % 2)),
                set_routes(version, 3 + number),
                f"remove route prices version {version + 1}",
                set_routes(version + 2, 8),
            ):
                site.processes["edge-1"].send_signal(signal.SIGHUP)
                site.wait_until(lambda items=items: site.apply_items(items))
                time.sleep(PAUSE_S)
    finally:
        callers.stop()
        for endpoint in site.reporting_endpoints.values():
            endpoint.delay_s = 0.0
    print(callers.statuses)
    assert callers.statuses["200"] > CALLERS
    assert callers.statuses["404"] > 0
    assert callers.cut == []
    assert callers.unread == 0
