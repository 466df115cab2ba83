"""Operators' calls to evacuate a zone reach the decision core on both interfaces."""

import socket

import pytest

from greengagerock.items import EvacuationOrder, PatchResult
from greengagerock.platform.control_dialect import PlatformControlDialect
from greengagerock.platform.wire_settings import decode_settings
from greengagerock.testing.control_calls import post_without_body
from greengagerock.web.control_application import NativeControlDialect

START = "/greengagerock/evacuations/a/start"


@pytest.mark.parametrize(
    ("dialect", "prefix"),
    [(PlatformControlDialect(), "/greengagerock"), (NativeControlDialect(), "")],
)
def test_calls_without_a_body_become_orders(dialect, prefix):
    for word, is_active in (("start", True), ("end", False)):
        path = f"{prefix}/evacuations/z 1/{word}"
        status, events = post_without_body(dialect, path, PatchResult())
        assert status == "200 OK"
        assert [e.patch.evacuations for e in events] == [(EvacuationOrder("z 1", is_active),)]
    status, events = post_without_body(dialect, f"{prefix}/evacuations/z/stop", PatchResult())
    assert (status, events) == ("404 Not Found", [])


def test_refusal_tells_the_operator_to_retry():
    status, _ = post_without_body(PlatformControlDialect(), START, PatchResult("not-ready"))
    assert status.startswith("503 ")


def test_order_of_an_operator_who_has_hung_up_is_dropped():
    """Guards against a controller that wakes up and passes on what was sent again long ago."""
    ours, peer = socket.socketpair()
    peer.close()
    with ours:
        result = post_without_body(PlatformControlDialect(), START, PatchResult(), ours.fileno())
    assert result == ("503 Service Unavailable", [])


def test_bound_of_the_settings():
    wire = (
        b'{"node-name": "n", "ip": "10.0.0.1", "zone": "a", "listen": {},'
        b' "internal-ports": [7000, 7001], "bounds": %s}'
    )
    assert decode_settings(wire % b'["evacuate=3000ms"]', 9464).evacuate_s == 3.0
    assert decode_settings(wire % b"[]", 9464).evacuate_s == 5.0
