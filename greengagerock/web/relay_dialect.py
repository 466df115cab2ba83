"""Headers between a router and another one that forwards its requests to endpoints."""

import msgspec

from greengagerock.core import OUTCOME_NOT_RUN, GreengageError
from greengagerock.core.interface import AttemptFailed, RelayArrived
from greengagerock.routing.failures import (
    REASON_CONNECT,
    REASON_CONNECT_TIMEOUT,
    REASON_CONNECTION_LOST,
    REASON_LINK_BUSY,
    REASON_PATH_LOST,
    REASON_RELAY,
    REASON_RELAY_LATE,
    REASON_RESET,
    REASON_TIMEOUT,
)
from greengagerock.web.native_dialect import HOP_BY_HOP
from greengagerock.web.route_dialect import parse_timeout_s

# In requests: the endpoint, the remaining time, whether the endpoint has named a limit, and
# whether the response may be long.
ENDPOINT_HEADER = "greengage-relay-endpoint"
TIMEOUT_HEADER = "greengage-relay-timeout-ms"
LIMITED_HEADER = "greengage-relay-limited"
LONG_HEADER = "greengage-relay-long"
# In responses: ``endpoint`` for a response of the endpoint, else an error code and an outcome.
RESULT_HEADER = "Greengage-Relay-Result"
RESULT_ENDPOINT = "endpoint"

# Longest time for which a request of another router is forwarded.
MAX_TIMEOUT_S = 600.0

_REQUEST_HEADERS = frozenset({ENDPOINT_HEADER, TIMEOUT_HEADER, LIMITED_HEADER, LONG_HEADER})
_CONNECTION_FAILURES = (
    REASON_CONNECT,
    REASON_CONNECTION_LOST,
    REASON_RESET,
)
_REASON_BY_CODE = {
    "connect-failed": REASON_CONNECT,
    "connection-late": REASON_CONNECT_TIMEOUT,
    "link-busy": REASON_LINK_BUSY,
    "path-lost": REASON_PATH_LOST,
    "answer-lost": REASON_CONNECTION_LOST,
    "deadline-exceeded": REASON_TIMEOUT,
}


class RelayDialect:
    """The headers of requests that other routers send to this one.

    Responses of endpoints, also refusals, are passed on as they are; the other router reads them.

    Args:
        dialect: The dialect of requests from callers and to endpoints.
    """

    ready_path = None
    buffers_short_bodies = True

    def __init__(self, dialect):
        self.dialect = dialect
        self.dropped_response_headers = HOP_BY_HOP | {RESULT_HEADER.lower()}

    def request_id(self, headers, fallback):
        """Return the caller's id of the request, or ``fallback`` if there is none."""
        return self.dialect.request_id(headers, fallback)

    def target(self, environ):
        """Return path and query for the endpoint, unchanged and still encoded."""
        return self.dialect.target(environ)

    def make_arrival_event(self, token, request_id, environ, headers, body):
        """Return the ``RelayArrived`` event of a request.

        Raises:
            GreengageError: ``bad-request`` if the endpoint or the timeout is missing or malformed.
        """
        endpoint, timeout = headers.get(ENDPOINT_HEADER), headers.get(TIMEOUT_HEADER)
        if not endpoint or timeout is None:
            raise GreengageError("bad-request", "endpoint or remaining time is missing")
        timeout_s = min(MAX_TIMEOUT_S, parse_timeout_s(timeout))
        is_limited, is_long = LIMITED_HEADER in headers, LONG_HEADER in headers
        return RelayArrived(token, request_id, endpoint, timeout_s, is_limited, is_long)

    def service_label(self, event):
        """Return the ``service`` label of the request in the latency metric."""
        return "relay"

    def outgoing_headers(self, headers, forward, request_id):
        """Return the headers to send to an endpoint, without ``Transfer-Encoding``."""
        own = {name: value for name, value in headers.items() if name not in _REQUEST_HEADERS}
        return self.dialect.outgoing_headers(own, forward, request_id)

    def failure_reason(self, response, request_id):
        """Return why a response cannot be passed on, or ``None`` if it can."""
        reason = self.dialect.failure_reason(response, request_id)
        return reason if reason == REASON_CONNECTION_LOST else None

    def is_identified(self, response, headers):
        """Return whether a response on a kept connection may belong to the request."""
        return self.dialect.is_identified(response, headers)

    def names_request(self, response):
        """Return whether a response says which request it belongs to."""
        return self.dialect.names_request(response)

    def read_notice(self, token, response, request_id, was_limited=False):
        """Return the ``EndpointNoticed`` event of a response, or ``None`` if it has no notice."""
        return self.dialect.read_notice(token, response, request_id, was_limited)

    def added_headers(self, request_id, endpoint):
        """Return the headers that this host adds to a response."""
        return [(RESULT_HEADER, RESULT_ENDPOINT)] if endpoint else []

    def encode_error(self, error_response):
        """Return status line, headers and body of an error response from this host."""
        result = f"{error_response.code} {error_response.outcome}"
        headers = [(RESULT_HEADER, result), ("Content-Length", "0")]
        return "503 Service Unavailable", headers, b""


def add_relay_headers(headers, forward):
    """Return the headers of a request with those for the router that forwards it."""
    added = {
        ENDPOINT_HEADER: forward.endpoint,
        TIMEOUT_HEADER: str(max(1, int(forward.timeout_s * 1000))),
    }
    if forward.is_limited:
        added[LIMITED_HEADER] = "1"
    if forward.is_long:
        added[LONG_HEADER] = "1"
    return headers | added


def read_relay_failure(token, response, is_body_consumed):
    """Return the failure that a relay reports, or ``None`` if the endpoint has responded.

    Args:
        token: The request.
        response: The urllib3 response of the relay.
        is_body_consumed: Whether any byte of the caller's body was consumed.
    """
    result = response.headers.get(RESULT_HEADER, "")
    if result == RESULT_ENDPOINT:
        return None
    code, _, outcome = result.partition(" ")
    may_have_run = outcome != OUTCOME_NOT_RUN
    reason = _REASON_BY_CODE.get(code, REASON_RELAY)
    return AttemptFailed(token, reason, may_have_run, is_body_consumed)


def attribute_to_relay(failure):
    """Return a failed attempt to send to a relay as one that the endpoint is not to blame for.

    Args:
        failure: An ``AttemptFailed`` event of the connection to the relay.
    """
    if failure.reason == REASON_CONNECT_TIMEOUT:
        return msgspec.structs.replace(failure, reason=REASON_RELAY_LATE)
    if failure.reason in _CONNECTION_FAILURES:
        return msgspec.structs.replace(failure, reason=REASON_RELAY)
    return failure
