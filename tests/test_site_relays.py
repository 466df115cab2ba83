"""Tests of a site of real processes in which one router cannot connect to endpoints."""

import socket

import pytest

from greengagerock.testing.launch_site import RELAY_PORT, SiteProcesses
from greengagerock.testing.partitioned_router import PartitionedRouter

SOCKET_TIMEOUT_S = 10.0
KEYS = range(0, 65_536, 2048)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site_processes = SiteProcesses(tmp_path_factory.mktemp("site"), "127.9")
    try:
        site_processes.start()
        yield site_processes
    finally:
        site_processes.stop()


@pytest.fixture(scope="module")
def router(site):
    """Replace the first router by one that can be partitioned."""
    partitioned_router = PartitionedRouter(site, "edge-1", "127.9.3.1:9")
    try:
        site.wait_until(site.serves_all_keys)
        yield partitioned_router
    finally:
        partitioned_router.stop()


@pytest.fixture
def partitioned_site(site, router):
    """Partition the first router from all endpoints."""
    router.partition([endpoint.address for endpoint in site.reporting_endpoints.values()])
    yield site
    router.heal()


@pytest.fixture(autouse=True)
def reset_endpoints(site):
    yield
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "whole"
        endpoint.delay_s = 0.0


def relay(site, endpoint, target="/prices/1", router=1, timeout_ms=2000, body=b""):
    """Send a request to a router as another router does; return status, headers and body."""
    head = (
        f"{'POST' if body else 'GET'} {target} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Greengage-Request-Id: relay-1\r\nGreengage-Relay-Endpoint: {endpoint}\r\n"
        f"Greengage-Relay-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    with socket.create_connection((site.routers[router], RELAY_PORT), SOCKET_TIMEOUT_S) as sock:
        sock.sendall(head.encode() + body)
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:])}
    return int(lines[0].split()[1]), headers, body


def run_count(site, path):
    """Return how often a request with a path ran, from the bodies that endpoints kept."""
    return sum(
        count
        for endpoint in site.reporting_endpoints.values()
        for request_id, count in endpoint.runs.items()
        if request_id == path
    )


def test_callers_of_a_router_that_reaches_no_endpoint_get_whole_responses(
    partitioned_site, router
):
    site = partitioned_site
    for key in KEYS:
        request_id = f"charge-{key}"
        body = f"page {key}".encode() * 100
        response = site.call(
            f"/charge/{key}", key, 0, "POST", body, {"Greengage-Request-Id": request_id}
        )
        assert response.status == 200
        assert response.data.endswith(body)
        assert run_count(site, request_id) == 1
        response = site.call(f"/balance/{key}", key, 0)
        assert response.data.endswith(f"ran GET /balance/{key}\n".encode())
        assert "Greengage-Relay-Result" not in response.headers
    for number in range(20):
        assert site.call(f"/prices/{number}", None, 0).status == 200

    def is_partition_logged():
        # Only a silence tells a partition from load, so calls have to go on meanwhile.
        assert site.call("/prices/21", None, 0).status == 200
        return router.logged("partition-begins")

    site.wait_until(is_partition_logged)


def test_long_body_is_relayed_unchanged(partitioned_site):
    body = bytes(range(256)) * 1000
    site = partitioned_site
    site.wait_until(lambda: site.call("/charge/w", 9, 0, "POST", b"1").status == 200)
    assert site.call("/charge/long", 9, 0, "POST", body).data.endswith(body)
    chunks = (body[at : at + 5000] for at in range(0, len(body), 5000))
    assert site.call("/charge/chunks", 9, 0, "POST", chunks).data.endswith(body)


def test_broken_response_of_an_endpoint_is_not_taken_for_a_whole_one(partitioned_site):
    site = partitioned_site
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "torn"
    response = site.call("/charge/torn", 9, 0, "POST", b"1")
    assert response.status == 502
    assert response.headers["Greengage-Outcome"] == "unknown"


def test_refusal_that_comes_again_behind_a_relay_does_not_answer_the_second_attempt(
    partitioned_site,
):
    """An unsafe request ran twice, or was answered 503 and ran (review/11)."""
    site = partitioned_site
    site.wait_until(lambda: site.call("/charge/w", 77, 0, "POST", b"1").status == 200)
    for endpoint in site.reporting_endpoints.values():
        endpoint.response_fault = "refused-then-again"
    ran = 0
    for number in range(12):
        request_id = f"again-{number}"
        headers = {"Greengage-Request-Id": request_id}
        response = site.call(f"/charge/{number}", 77, 0, "POST", b"1", headers)
        runs = run_count(site, request_id)
        assert runs <= 1
        assert response.status != 503 or runs == 0
        ran += runs
    assert ran > 6
    assert sum(e.misleading_copies for e in site.reporting_endpoints.values()) == 0


def test_router_uses_own_connections_again_after_the_partition(site, router):
    assert router.logged("endpoint-unreachable")

    def reaches_endpoints():
        for key in KEYS:
            site.call("/balance/x", key, 0)
            site.call("/prices/x", None, 0)
        return router.daemon.node.dispatcher.observations.unreachable_count() == 0

    site.wait_until(reaches_endpoints)
    assert router.logged("partition-begins") == router.logged("partition-ends")


def test_request_of_another_router_gets_the_response_of_its_endpoint(site):
    status, headers, body = relay(site, "docs-1", body=b"abc")
    assert (status, headers["greengage-relay-result"]) == (200, "endpoint")
    assert body.endswith(b"docs-1 ran POST /prices/1\nabc")


def test_request_for_an_endpoint_that_is_not_listed_is_not_forwarded(site):
    assert relay(site, "127.0.0.1:1")[1]["greengage-relay-result"] == "relay-unavailable not-run"


def test_relay_without_time_or_endpoint_is_refused(site):
    assert relay(site, "docs-1", timeout_ms=0)[1]["greengage-relay-result"].endswith("not-run")
    assert relay(site, "")[1]["greengage-relay-result"].endswith("not-run")


def test_relay_reports_whether_a_request_may_have_run(site):
    endpoint = site.reporting_endpoints["docs-1"]
    endpoint.response_fault = "close"
    assert relay(site, "docs-1")[1]["greengage-relay-result"] == "answer-lost unknown"
    endpoint.response_fault = "whole"
    endpoint.delay_s = 0.5
    result = relay(site, "docs-1", timeout_ms=200)[1]["greengage-relay-result"]
    assert result == "deadline-exceeded unknown"


def test_relay_that_cannot_connect_says_that_the_request_has_not_run(site):
    endpoint = site.reporting_endpoints["docs-2"]
    endpoint.stop()
    result = relay(site, "docs-2")[1]["greengage-relay-result"]
    assert result in ("connect-failed not-run", "relay-unavailable not-run")
