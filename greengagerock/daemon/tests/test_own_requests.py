"""Which requests each address of a host answers by itself, and which belong to somebody else."""

import socket

import pytest

from greengagerock.core import OUTCOME_NOT_RUN
from greengagerock.core.interface import (
    CallArrived,
    ReadinessRequested,
    RelayArrived,
    RespondWithError,
)
from greengagerock.daemon.site import SiteDaemon
from greengagerock.platform.caller_dialect import PlatformDialect
from greengagerock.settings.site import SiteSettings
from greengagerock.web.own_requests import METRICS_PATH
from greengagerock.web.relay_dialect import ENDPOINT_HEADER, TIMEOUT_HEADER
from greengagerock.web.route_dialect import NativeRouteDialect

IP = "127.37.0.31"
PORTS = {"callers": 8631, "readiness": 8632, "relay": 8633, "metrics": 8634}
SHARED_PORT = 8635
LINK_PORTS = iter(range(8636, 8646))
TIMEOUT_S = 10.0
METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH")
RELAYED = "relayed"
HOSTS = ("shop.example", "other.example", f"{IP}:8631")


def spellings(path):
    """Return targets that some servers take for a path, the path itself first."""
    return (
        path,
        f"{path}?a=1",
        path.replace("r", "%72", 1),
        path.replace("m", "%6d", 1),
        path.upper(),
        f"/{path}",
        f"{path}/",
        f"/x/..{path}",
        f"/.{path}",
    )


class StubLoop:
    """Answers the readiness check and refuses each call.

    Attributes:
        targets: Targets of the calls, ``RELAYED`` for those of other routers.
    """

    def __init__(self, bridge):
        self.bridge = bridge
        self.targets = []

    def post(self, event):
        """Process an event at once."""
        match event:
            case ReadinessRequested(token):
                self.bridge.deliver(token, "")
            case CallArrived(token) | RelayArrived(token):
                # Another router's request names its endpoint, and its target stays in the request.
                self.targets.append(getattr(event, "target", RELAYED))
                refusal = RespondWithError(token, "unknown-route", OUTCOME_NOT_RUN)
                self.bridge.deliver(token, refusal)


def build_daemon(dialect, **addresses):
    """Return a router whose loop is a stub, and the stub; its servers are started."""
    link_address = f"{IP}:{next(LINK_PORTS)}"
    settings = SiteSettings("edge-1", "zone-1", "router", link_address, (), **addresses)
    daemon = SiteDaemon(settings, lambda event, **fields: None, dialect)
    stub = StubLoop(daemon.bridge)
    daemon.bridge.post = daemon.bridge.post_deferred = stub.post
    daemon.bridge.unwatch_caller = lambda descriptor: None
    for server in daemon.servers:
        server.start()
    return daemon, stub


def end_daemon(daemon):
    """Stop the servers of a router that does not run."""
    for server in daemon.servers:
        server.stop()
    daemon.links.close()


@pytest.fixture(scope="module", params=[PlatformDialect, NativeRouteDialect])
def router(request):
    """Start a router with an address for each purpose."""
    addresses = {purpose: f"{IP}:{port}" for purpose, port in PORTS.items()}
    daemon, stub = build_daemon(request.param(), **addresses)
    yield daemon, stub
    end_daemon(daemon)


def send(port, method, target, host=HOSTS[0], headers=""):
    """Return the status and the body of the response to a request."""
    with socket.create_connection((IP, port), TIMEOUT_S) as sock:
        head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n{headers}\r\n"
        sock.sendall(head.encode())
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("purpose", ["callers", "relay"])
def test_no_request_of_a_caller_is_answered_by_the_host_itself(router, purpose, method):
    daemon, stub = router
    relayed = f"{ENDPOINT_HEADER}: till-1\r\n{TIMEOUT_HEADER}: 900\r\n"
    for path in (daemon.caller_application.dialect.ready_path, METRICS_PATH, "/items", "/a/b"):
        for target in spellings(path):
            for host in HOSTS:
                stub.targets.clear()
                status, _ = send(PORTS[purpose], method, target, host, relayed)
                expected = (404, [target]) if purpose == "callers" else (503, [RELAYED])
                assert (status, stub.targets) == expected


@pytest.mark.parametrize("purpose", ["readiness", "metrics"])
@pytest.mark.parametrize("method", METHODS)
def test_nothing_but_its_own_request_is_served_on_an_address_of_the_infrastructure(
    router, purpose, method
):
    daemon, stub = router
    stub.targets.clear()
    ready_path = daemon.caller_application.dialect.ready_path
    own_path = {"readiness": ready_path, "metrics": METRICS_PATH}[purpose]
    for path in (ready_path, METRICS_PATH, "/", "/prices/1"):
        for target in spellings(path):
            is_own = method == "GET" and target.partition("?")[0] == own_path
            status, _ = send(PORTS[purpose], method, target)
            assert status == (200 if is_own else 404), (method, target)
    assert stub.targets == []


def test_the_metrics_page_has_the_metrics(router):
    _, body = send(PORTS["metrics"], "GET", METRICS_PATH)
    assert b"# TYPE greengage_" in body


def test_on_one_address_for_both_purposes_only_the_check_itself_is_answered():
    address = f"{IP}:{SHARED_PORT}"
    daemon, stub = build_daemon(PlatformDialect(), callers=address, readiness=address)
    try:
        path = daemon.caller_application.dialect.ready_path
        assert send(SHARED_PORT, "GET", path)[0] == 200
        assert stub.targets == []
        for method, target in (("POST", path), ("HEAD", path), ("GET", f"/{path}")):
            assert send(SHARED_PORT, method, target)[0] == 404
        assert len(stub.targets) == 3
    finally:
        end_daemon(daemon)
