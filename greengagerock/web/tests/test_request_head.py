"""Which heads of callers' requests reach an endpoint."""

import pytest

from greengagerock.testing.message_heads import MALFORMED_FIELDS, VALID_FIELDS, response
from greengagerock.testing.raw_endpoint import RawEndpoint
from greengagerock.testing.stub_router import StubRouter
from greengagerock.testing.uploading_caller import send_bytes

ROUTER = ("127.37.0.51", 8651)
ENDPOINT_IP = "127.37.0.52"
REQUEST_LINE = b"GET /prices/1 HTTP/1.1"
# Folded fields are refused in requests.
FIELDS = {line: value for line, value in VALID_FIELDS.items() if b"\n" not in line}


@pytest.fixture(scope="module")
def router():
    with StubRouter(*ROUTER) as built:
        yield built


def send(router, request_line=REQUEST_LINE, fields=()):
    """Return what a caller gets, and how many connections the endpoint has accepted."""
    lines = [request_line, b"Host: shop.example", *fields, b"Connection: close", b"", b""]
    with RawEndpoint(ENDPOINT_IP, response()) as endpoint:
        router.reach(endpoint.address)
        return send_bytes(router.address, b"\r\n".join(lines)), endpoint.accepted_count


@pytest.mark.parametrize("line", FIELDS)
def test_valid_field_is_accepted(router, line):
    received, count = send(router, fields=[line])
    assert received.startswith(b"HTTP/1.1 200 ")
    assert count == 1


@pytest.mark.parametrize("line", MALFORMED_FIELDS)
def test_malformed_field_is_refused_at_once(router, line):
    received, count = send(router, fields=[line])
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"not-run" in received
    assert count == 0


@pytest.mark.parametrize(
    "line",
    [
        b"G(T /prices/1 HTTP/1.1",
        b"G\x00T /prices/1 HTTP/1.1",
        b"GET /pri\x00ces/1 HTTP/1.1",
        b"GET /pri\x01ces/1 HTTP/1.1",
        b"GET /pri\rces/1 HTTP/1.1",
        b"GET /pri\x7fces/1 HTTP/1.1",
        b"GET /pri\xffces/1 HTTP/1.1",
        b"GET /pri\tces/1 HTTP/1.1",
    ],
)
def test_malformed_request_line_is_refused_at_once(router, line):
    received, count = send(router, line)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert b"not-run" in received
    assert count == 0


@pytest.mark.parametrize("target", [b'/prices/%7B1%7D?a="b"&c={d}|e', b"//prices/1", b"/prices/^"])
def test_target_with_any_visible_characters_is_accepted(router, target):
    received, _ = send(router, b"GET " + target + b" HTTP/1.1")
    assert received.startswith(b"HTTP/1.1 200 ")
