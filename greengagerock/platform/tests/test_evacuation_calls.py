"""Operators' calls to evacuate a zone reach the decision core on both interfaces."""

import io
import socket

import pytest

from greengagerock.core import GreengageError
from greengagerock.items import EvacuationOrder, PatchResult
from greengagerock.platform.control_dialect import PlatformControlDialect
from greengagerock.platform.wire_settings import decode_settings
from greengagerock.web.control_application import ControlApplication, NativeControlDialect


class FakeBridge:
    """A bridge that keeps the events and returns one result."""

    def __init__(self, result):
        self.result = result
        self.events = []

    def new_token(self):
        """Return a token."""
        return 1

    def post_and_wait(self, token, event, timeout_s):
        """Keep the event and return the result."""
        self.events.append(event)
        return self.result


def call(dialect, path, result, method="POST", descriptor=None):
    """Send a call without a body and return its status and the events that it caused."""
    bridge, statuses = FakeBridge(result), []
    application = ControlApplication(bridge, lambda event, **fields: None, dialect)
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "wsgi.input": io.BytesIO()}
    environ["greengage.descriptor"] = descriptor
    application(environ, lambda status, headers: statuses.append(status))
    return statuses[0], bridge.events


@pytest.mark.parametrize(
    ("dialect", "prefix"),
    [(PlatformControlDialect(), "/greengagerock"), (NativeControlDialect(), "")],
)
@pytest.mark.parametrize(("word", "is_active"), [("start", True), ("end", False)])
def test_calls_without_a_body_become_orders(dialect, prefix, word, is_active):
    status, events = call(dialect, f"{prefix}/evacuations/z 1/{word}", PatchResult())
    assert status == "200 OK"
    assert [e.patch.evacuations for e in events] == [(EvacuationOrder("z 1", is_active),)]


@pytest.mark.parametrize("dialect", [PlatformControlDialect(), NativeControlDialect()])
def test_other_methods_and_paths_are_not_served(dialect):
    for method, path in (("GET", "/evacuations/a/start"), ("POST", "/evacuations/a/stop")):
        with pytest.raises(GreengageError, match="unknown-name"):
            dialect.parse_call(method, path)


def test_refusal_tells_the_operator_to_retry():
    status, _ = call(
        PlatformControlDialect(), "/greengagerock/evacuations/a/start", PatchResult("not-ready")
    )
    assert status.startswith("503 ")


def test_order_of_an_operator_who_has_hung_up_is_dropped():
    """Guards against a controller that wakes up and passes on what was sent again long ago."""
    ours, peer = socket.socketpair()
    peer.close()
    path = "/greengagerock/evacuations/a/start"
    with ours:
        status, events = call(
            PlatformControlDialect(), path, PatchResult(), descriptor=ours.fileno()
        )
    assert (status, events) == ("502 Bad Gateway", [])


def test_bound_of_the_settings():
    wire = (
        b'{"node-name": "n", "ip": "10.0.0.1", "zone": "a", "listen": {},'
        b' "internal-ports": [7000, 7001], "bounds": %s}'
    )
    assert decode_settings(wire % b'["evacuate=3000ms"]', 9464).evacuate_s == 3.0
    assert decode_settings(wire % b"[]", 9464).evacuate_s == 5.0
