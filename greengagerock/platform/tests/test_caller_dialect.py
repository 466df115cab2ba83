"""Tests of the platform's headers between callers, this host and endpoints."""

import time

import pytest

from greengagerock.core import GreengageError
from greengagerock.core.interface import EndpointNoticed, Forward, LoadNotice, RespondWithError
from greengagerock.platform.caller_dialect import PlatformDialect
from greengagerock.web.connection_progress import QUEUED, READING, ConnectionProgress
from greengagerock.web.upstream import BufferedBody

DIALECT = PlatformDialect()
PROGRESS = ConnectionProgress()
PROGRESS.enter(QUEUED)
PROGRESS.enter(READING, now_s=PROGRESS.taken_s + 7.0)
ENVIRON = {
    "REQUEST_METHOD": "GET",
    "REQUEST_URI": "/a%2fb/c?x=%41",
    "greengage.progress": PROGRESS,
}


class Response:
    """An endpoint's response, reduced to what the dialect reads."""

    def __init__(self, status, **headers):
        self.status = status
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}

    def __getitem__(self, name):
        return self.headers[name]


def response(status, **headers):
    """Return a response with case-insensitive headers."""
    from urllib3 import HTTPHeaderDict

    endpoint_response = Response(status, **headers)
    endpoint_response.headers = HTTPHeaderDict(endpoint_response.headers)
    return endpoint_response


def test_arrival_event_of_a_request():
    headers = {"host": "a.example", "x-deadline-ms": "1200", "x-shard-key": "65535"}
    event = DIALECT.make_arrival_event(1, "r", ENVIRON, headers, BufferedBody(b"abc"))
    assert (event.path, event.target, event.budget_s) == ("/a%2fb/c", "/a%2fb/c?x=%41", 1.2)
    assert event.key == 65_535
    assert time.monotonic() - event.received_s == pytest.approx(PROGRESS.queued_s, abs=0.5)


@pytest.mark.parametrize(
    "headers",
    [
        {"x-deadline-ms": "soon"},
        {"x-deadline-ms": "-5"},
        {"x-deadline-ms": "nan"},
        {"x-shard-key": "65536"},
        {"x-shard-key": "-1"},
        {"x-shard-key": "1.0"},
        {"x-shard-key": "²"},
    ],
)
def test_malformed_headers_are_rejected(headers):
    with pytest.raises(GreengageError) as raised:
        DIALECT.make_arrival_event(1, "r", ENVIRON, headers, None)
    assert raised.value.code == "bad-request"


def test_outgoing_headers():
    headers = {
        "host": "a.example",
        "x-request-id": "r",
        "x-deadline-ms": "1200",
        "x-expect-instance": "forged",
        "connection": "keep-alive, x-private",
        "x-private": "1",
        "accept": "*/*",
    }
    outgoing = DIALECT.outgoing_headers(headers, Forward(1, "i-1", "a:1", {}, 0.8), "r")
    assert outgoing == {
        "host": "a.example",
        "x-request-id": "r",
        "accept": "*/*",
        "x-deadline-ms": "800",
        "x-expect-instance": "i-1",
    }


@pytest.mark.parametrize(
    ("endpoint_response", "reason"),
    [
        (response(200, X_Request_Id="r", X_Response_Seal="s"), None),
        (response(200, X_Request_Id="r"), "lost"),
        (response(200, X_Request_Id="other", X_Response_Seal="s"), "lost"),
        (response(200, X_Request_Id="r", X_Response_Seal="s", Content_Encoding="gzip"), "lost"),
        (response(500, X_Request_Id="r", X_Response_Seal="s"), None),
        (response(503, X_Not_Executed="1"), "refused"),
        (response(503, X_Request_Id="r"), "lost"),
        (response(421, X_Not_Executed="1"), "not-owner"),
    ],
)
def test_failure_reason_of_a_response(endpoint_response, reason):
    assert DIALECT.failure_reason(endpoint_response, "r") == reason


@pytest.mark.parametrize(
    ("endpoint_response", "notice"),
    [
        (response(200, X_Request_Id="r"), None),
        (response(200, X_Request_Id="r", Server_Leaving="1"), EndpointNoticed(1, True)),
        (response(503, X_Not_Executed="1", Retry_After="2"), EndpointNoticed(1, False, 2.0)),
        (
            response(503, X_Not_Executed="1", Retry_After="0.5", Server_Leaving="1"),
            EndpointNoticed(1, True, 0.5),
        ),
        (response(503, Retry_After="soon"), EndpointNoticed(1, False, 0.0, "soon")),
        (response(503, Retry_After="-3"), EndpointNoticed(1, False, 0.0, "-3")),
        (response(503, Retry_After="nan"), EndpointNoticed(1, False, 0.0, "nan")),
        (response(503, Retry_After="1e308"), EndpointNoticed(1, False, 86_400.0)),
        (response(200, Retry_After="2"), None),
        (response(421, X_Not_Executed="1", Server_Leaving="1"), None),
        (response(200, X_Request_Id="other", Server_Leaving="1"), None),
        (response(200, Server_Limit="5.6"), EndpointNoticed(1, limit_per_s=5.6)),
        (response(200, Server_Limit="0"), EndpointNoticed(1, limit_per_s=0.0)),
        (response(200, Server_Limit="many"), EndpointNoticed(1, malformed_limit="many")),
        (response(200, Server_Limit="-5"), EndpointNoticed(1, malformed_limit="-5")),
        (response(200, Server_Limit="9" * 50), EndpointNoticed(1, malformed_limit="9" * 40)),
        (
            response(200, X_Instance_Load="2,5,2,140"),
            EndpointNoticed(1, load=LoadNotice(2, 5, 2, 140)),
        ),
        (
            response(503, X_Instance_Load="2, 12, 2"),
            EndpointNoticed(1, load=LoadNotice(2, 12, 2, 100)),
        ),
        # A wrong load must neither be used nor hide what else the response says.
        (
            response(200, Server_Limit="4", X_Instance_Load="-1,0,2"),
            EndpointNoticed(1, limit_per_s=4.0, malformed_load="-1,0,2"),
        ),
        (
            response(200, X_Instance_Load="1,0,2," + "0" * 60),
            EndpointNoticed(1, malformed_load="1,0,2," + "0" * 34),
        ),
        (response(421, X_Instance_Load="2,5,2"), None),
        (response(421, Server_Limit="5.6"), None),
        (response(200, X_Request_Id="other", Server_Limit="5.6"), None),
    ],
)
def test_notice_of_a_response(endpoint_response, notice):
    assert DIALECT.read_notice(1, endpoint_response, "r") == notice


def test_only_an_error_with_outcome_not_run_has_retry_after():
    status, headers, _ = DIALECT.encode_error(
        RespondWithError(1, "key-moving", "not-run", retry_after_s=0.25)
    )
    assert status.startswith("503")
    assert ("Retry-After", "0.25") in headers
    status, headers, _ = DIALECT.encode_error(
        RespondWithError(1, "answer-lost", "unknown", retry_after_s=0.25)
    )
    assert status.startswith("502")
    assert "Retry-After" not in dict(headers)


def test_response_without_a_limit_ends_the_one_that_was_known_when_the_request_was_sent():
    ended = EndpointNoticed(1, ends_limit=True)
    assert DIALECT.read_notice(1, response(200), "r", was_limited=True) == ended
    named = EndpointNoticed(1, limit_per_s=4.0)
    assert DIALECT.read_notice(1, response(200, Server_Limit="4"), "r", True) == named
    unreadable = EndpointNoticed(1, malformed_limit="x")
    assert DIALECT.read_notice(1, response(200, Server_Limit="x"), "r", True) == unreadable
