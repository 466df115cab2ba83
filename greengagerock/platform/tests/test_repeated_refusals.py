"""Refusals that an endpoint of the platform repeats, by status and with or without an id."""

import contextlib

import pytest

from greengagerock.platform.caller_dialect import (
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    RESPONSE_MAC_HEADER,
    PlatformDialect,
)
from greengagerock.testing.repeating_endpoint import RepeatingEndpoint, ResponseFormat
from greengagerock.testing.stub_router import StubRouter
from greengagerock.testing.uploading_caller import send_charge

ROUTER = ("127.37.0.66", 8666)
RELAY = ("127.37.0.67", 8667)
ENDPOINT_IP = "127.37.0.68"
NOT_RUN_LINE = f"{NOT_RUN_HEADER}: 1\r\n"
MAC_LINE = f"{RESPONSE_MAC_HEADER}: 1\r\n"


@pytest.fixture(scope="module")
def routers():
    """Start a router, and another one through which it sends its requests; return both."""
    dialect = PlatformDialect()
    with contextlib.ExitStack() as stack:
        relay = stack.enter_context(StubRouter(*RELAY, serves_router=True, dialect=dialect))
        yield stack.enter_context(StubRouter(*ROUTER, dialect=dialect)), relay


@pytest.mark.parametrize("is_relayed", [False, True], ids=["own", "relayed"])
@pytest.mark.parametrize("has_id", [True, False], ids=["id", "no-id"])
@pytest.mark.parametrize(
    ("status", "refusal_line"),
    [(503, NOT_RUN_LINE), (429, NOT_RUN_LINE), (408, NOT_RUN_LINE), (421, NOT_RUN_LINE)]
    + [(421, ""), (400, NOT_RUN_LINE)],
)
def test_repeated_refusal_does_not_answer_the_second_attempt(
    routers, is_relayed, has_id, status, refusal_line
):
    """A request ran twice if a relay took the copy for the response to its second attempt."""
    router, relay = routers
    way = relay if is_relayed else None
    refusals = ResponseFormat(
        REQUEST_ID_HEADER, status, refusal_line, MAC_LINE, has_refusal_id=has_id
    )
    with RepeatingEndpoint(ENDPOINT_IP, refusals) as endpoint:
        router.relay, router.resend_relays = way, (way,)
        router.reach(endpoint.address)
        relay.reach(endpoint.address)
        response = send_charge(router.address, REQUEST_ID_HEADER, "refused")
        assert endpoint.runs["refused"] == 1
        assert (response.status, response.body) == (200, b"ran refused\n")
