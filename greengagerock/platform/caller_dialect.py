"""The platform's dialect: headers and paths between callers, this host and endpoints."""

import msgspec

from greengagerock.core import ERROR_KINDS
from greengagerock.routing.failures import REASON_CONNECTION_LOST, REASON_NOT_OWNER, REASON_REFUSED
from greengagerock.web.native_dialect import HOP_BY_HOP
from greengagerock.web.notice_headers import make_notice
from greengagerock.web.route_dialect import RouteDialect

READY_PATH = "/greengagerock/ready"

REQUEST_ID_HEADER = "x-request-id"
# Time left for the request in milliseconds, from the caller and to the endpoint.
TIMEOUT_HEADER = "x-deadline-ms"
KEY_HEADER = "x-shard-key"
# Name of the endpoint to which the request is addressed.
EXPECTED_ENDPOINT_HEADER = "x-expect-instance"
# Message authentication code, which proves that the response was created by an endpoint.
RESPONSE_MAC_HEADER = "X-Response-Seal"
NOT_RUN_HEADER = "X-Not-Executed"
# Set by an endpoint that is about to end.
LEAVING_HEADER = "Server-Leaving"
# Time for which an endpoint that refuses a request wants no others from this host.
PAUSE_HEADER = "Retry-After"
# Requests per second that an endpoint takes from all hosts together.
LIMIT_HEADER = "Server-Limit"
# Running requests, waiting requests, slots and pace of the endpoint.
LOAD_HEADER = "X-Instance-Load"

_ROUTER_HEADERS = frozenset({TIMEOUT_HEADER, EXPECTED_ENDPOINT_HEADER})
# Statuses that suggest that a request was not executed. Only with ``NOT_RUN_HEADER`` is this
# certain.
_NOT_RUN_STATUSES = frozenset({408, 429, 503})
_REASON_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class PlatformDialect(RouteDialect):
    """Translates between the platform's requests and the events of the decision core."""

    ready_path = READY_PATH
    dropped_response_headers = HOP_BY_HOP
    key_header = KEY_HEADER
    timeout_header = TIMEOUT_HEADER
    request_id_header = REQUEST_ID_HEADER

    def is_identified(self, response, headers):
        """Return whether a response names its request, if that has an id."""
        return self.names_request(response) or REQUEST_ID_HEADER not in headers

    def request_id(self, headers, fallback):
        """Return the caller's id of the request, or ``fallback`` if there is none."""
        return headers.get(REQUEST_ID_HEADER) or fallback

    def outgoing_headers(self, headers, forward, request_id):
        """Return the headers to send to an endpoint, without ``Transfer-Encoding``.

        The caller's request id is among them as the caller sent it.
        """
        dropped_names = HOP_BY_HOP | _ROUTER_HEADERS
        if "connection" in headers:
            dropped_names |= {name.strip().lower() for name in headers["connection"].split(",")}
        outgoing = {name: value for name, value in headers.items() if name not in dropped_names}
        outgoing[TIMEOUT_HEADER] = str(max(1, int(forward.timeout_s * 1000)))
        outgoing[EXPECTED_ENDPOINT_HEADER] = forward.endpoint
        return outgoing

    def failure_reason(self, response, request_id):
        """Return why a response cannot be sent to the caller, or ``None`` if it can."""
        headers = response.headers
        if headers.get(REQUEST_ID_HEADER, request_id) != request_id:
            # The response belongs to an earlier request on this connection.
            return REASON_CONNECTION_LOST
        if response.status == 421:
            return REASON_NOT_OWNER
        if NOT_RUN_HEADER in headers:
            return REASON_REFUSED
        if response.status in _NOT_RUN_STATUSES:
            return REASON_CONNECTION_LOST
        if 200 <= response.status < 300 and (
            RESPONSE_MAC_HEADER not in headers or "Content-Encoding" in headers
        ):
            return REASON_CONNECTION_LOST
        return None

    def read_notice(self, token, response, request_id, was_limited=False):
        """Return the ``EndpointNoticed`` event of a response, or ``None`` if it has no notice."""
        headers = response.headers
        is_other_response = headers.get(REQUEST_ID_HEADER, request_id) != request_id
        if response.status == 421 or is_other_response:
            # Another endpoint may have the address now.
            return None
        pause_text = headers.get(PAUSE_HEADER) if response.status == 503 else None
        limit_text = headers.get(LIMIT_HEADER)
        return make_notice(
            token,
            LEAVING_HEADER in headers,
            pause_text,
            limit_text,
            was_limited,
            headers.get(LOAD_HEADER),
        )

    def added_headers(self, request_id, endpoint):
        """Return the headers that this host adds to a response: none to an endpoint's response."""
        return [] if endpoint else [("X-Request-Id", request_id)]

    def encode_error(self, error_response):
        """Return status line, headers and body of an error response from this host."""
        status = ERROR_KINDS[error_response.code].http_status
        body = msgspec.json.encode(
            {"code": error_response.code, "outcome": error_response.outcome}
        )
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if error_response.retry_after_s is not None and status in (429, 503):
            headers.append(("Retry-After", f"{error_response.retry_after_s:g}"))
        return f"{status} {_REASON_PHRASES.get(status, 'Error')}", headers, body
