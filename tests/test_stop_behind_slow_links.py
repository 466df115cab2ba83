"""A planned stop of a router whose callers' bytes travel for a while, on real processes."""

import signal
import time

import pytest

from greengagerock.testing.launch_site import CALLER_PORT, SiteProcesses
from greengagerock.testing.raw_callers import ScheduledCaller, connect_on_a_slow_link, is_whole
from greengagerock.testing.soak.proxy import FaultProxy, ProxyLoop

NETWORK = "127.13"
PROXY_ADDRESS = (f"{NETWORK}.9.1", CALLER_PORT)
STOP_TIMEOUT_S = 40.0
# Time before the SIGTERM in which callers open connections.
LEAD_S = 0.5
# When callers connect and when they send their request, in seconds after the SIGTERM. The grace
# period is six seconds.
SCHEDULE = [
    (-0.4, 2.8),
    (-0.4, 3.2),
    (-0.4, 4.0),
    (2.0, 2.0),
    (2.5, 2.5),
    (2.8, 2.8),
    (2.95, 2.95),
    (2.95, 3.6),
    (3.1, 3.1),
]


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), NETWORK)
    try:
        site_processes.start()
        yield site_processes
    finally:
        site_processes.stop()


@pytest.fixture(scope="module")
def proxy(site):
    """Return the link between the callers and the first router."""
    loop = ProxyLoop()
    target = f"{site.routers[0]}:{CALLER_PORT}"
    yield FaultProxy(loop, "edge-1", ":".join(map(str, PROXY_ADDRESS)), target)
    loop.stop()


@pytest.mark.parametrize("travel_s", [0.05, 0.3, 0.6, 1.0])
def test_request_on_its_way_to_a_stopping_router_gets_a_response(site, proxy, travel_s):
    site.wait_until(site.serves_all_keys)
    proxy.delay_s = travel_s
    refused_before = proxy.refused_count
    process = site.processes["edge-1"]
    stopped_s = time.monotonic() + LEAD_S
    callers = [
        ScheduledCaller(PROXY_ADDRESS, stopped_s + connects_s, stopped_s + sends_s)
        for connects_s, sends_s in SCHEDULE
    ]
    time.sleep(max(0.0, stopped_s - time.monotonic()))
    process.send_signal(signal.SIGTERM)
    results = [caller.result() for caller in callers]
    assert process.wait(STOP_TIMEOUT_S) == 0
    site.start_daemon("edge-1", site.routers[0], "router", "zone-1")
    assert set(results) <= {200, 503, None}
    assert results.count(None) == proxy.refused_count - refused_before


# When requests for long responses are sent, in seconds after the SIGTERM.
SENDS_S = 2.0

SLOW_ROUTE = """
set route prices version 2 host shop.example prefix /prices/ to docs
    kind safe timeout 20s attempts 2 objective 150ms priority 1
"""


def test_request_that_lasts_beyond_the_end_of_a_stop_gets_an_error(site, proxy):
    """Its connection ended without a response."""
    site.wait_until(site.serves_all_keys)
    proxy.delay_s = 0.05
    assert site.apply_items(SLOW_ROUTE)
    endpoints = [site.reporting_endpoints[f"docs-{number}"] for number in (1, 2)]
    for endpoint in endpoints:
        endpoint.delay_s = 10.0
    process = site.processes["edge-1"]
    stopped_s = time.monotonic() + LEAD_S
    callers = [
        ScheduledCaller(PROXY_ADDRESS, stopped_s - 0.4, stopped_s + sends_s)
        for sends_s in (-0.2, 0.5, 1.5, 2.1)
    ]
    time.sleep(max(0.0, stopped_s - time.monotonic()))
    process.send_signal(signal.SIGTERM)
    results = [caller.result() for caller in callers]
    for endpoint in endpoints:
        endpoint.delay_s = 0.0
    assert process.wait(STOP_TIMEOUT_S) == 0
    site.start_daemon("edge-1", site.routers[0], "router", "zone-1")
    assert results == [502] * 4


# Larger than the buffers of a connection on a slow link.
LONG_BODY = bytes(400_000)


def test_long_response_that_a_slow_link_still_carries_at_the_end_of_a_stop_is_whole(site, proxy):
    """It was cut off although its endpoint had finished long before."""
    site.wait_until(site.serves_all_keys)
    assert site.apply_items(SLOW_ROUTE)
    endpoints = [site.reporting_endpoints[f"docs-{number}"] for number in (1, 2)]
    for endpoint in endpoints:
        endpoint.delay_s = 1.0
    process = site.processes["edge-1"]
    process.send_signal(signal.SIGTERM)
    time.sleep(SENDS_S)
    socks = [connect_on_a_slow_link((site.routers[0], CALLER_PORT)) for _ in range(3)]
    for sock in socks:
        head = f"POST /prices/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: {len(LONG_BODY)}"
        sock.sendall(head.encode() + b"\r\n\r\n" + LONG_BODY)
    assert process.wait(STOP_TIMEOUT_S) == 0
    responses = [receive_all(sock) for sock in socks]
    for endpoint in endpoints:
        endpoint.delay_s = 0.0
    site.start_daemon("edge-1", site.routers[0], "router", "zone-1")
    assert [is_whole(response) for response in responses] == [True] * len(socks)
    assert {response.split()[1] for response in responses} == {b"200"}


def receive_all(sock):
    """Return the bytes up to the end of a connection, and close it."""
    received = b""
    with sock:
        while piece := sock.recv(65_536):
            received += piece
    return received
