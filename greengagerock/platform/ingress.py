"""Headers and paths between callers, this host and endpoints on the infrastructure."""

import msgspec

from greengagerock.core import ERROR_KINDS
from greengagerock.routing.failures import REASON_LOST, REASON_NOT_OWNER, REASON_REFUSED
from greengagerock.web.calls import CallDialect
from greengagerock.web.dialect import HOP_BY_HOP

READY_PATH = "/greengagerock/ready"

REQUEST_ID = "x-request-id"
# Milliseconds that the caller, or an endpoint, has left.
TIME_LEFT = "x-deadline-ms"
KEY = "x-shard-key"
# Name of the endpoint that the request is meant for.
EXPECTED_ENDPOINT = "x-expect-instance"
# Proof that an endpoint made the answer.
ANSWER_MAC = "X-Response-Seal"
NOT_RUN = "X-Not-Executed"

_OWN = frozenset({TIME_LEFT, EXPECTED_ENDPOINT})
# Statuses that promise that a request was not run; only ``NOT_RUN`` keeps the promise.
_PROMISES = frozenset({408, 429, 503})
_REASONS = {
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class InfrastructureDialect(CallDialect):
    """Translates between the infrastructure's requests and the product's events."""

    ready_path = READY_PATH
    dropped_from_answers = HOP_BY_HOP
    key_header = KEY
    time_left_header = TIME_LEFT

    def request_id(self, headers, fallback):
        """Return the caller's id of the request, or ``fallback`` if there is none."""
        return headers.get(REQUEST_ID) or fallback

    def outgoing_headers(self, headers, forward):
        """Return the headers to send to an endpoint, without the framing of the body."""
        dropped = HOP_BY_HOP | _OWN
        if "connection" in headers:
            dropped |= {name.strip().lower() for name in headers["connection"].split(",")}
        sent = {name: value for name, value in headers.items() if name not in dropped}
        sent[TIME_LEFT] = str(max(1, int(forward.timeout_s * 1000)))
        sent[EXPECTED_ENDPOINT] = forward.endpoint
        return sent

    def failure_of(self, response, request_id):
        """Return why an endpoint's answer is not one, or ``None`` if it can be passed on."""
        headers = response.headers
        if headers.get(REQUEST_ID, request_id) != request_id:
            return REASON_LOST
        if response.status == 421:
            return REASON_NOT_OWNER
        if NOT_RUN in headers:
            return REASON_REFUSED
        if response.status in _PROMISES:
            return REASON_LOST
        if 200 <= response.status < 300 and (
            ANSWER_MAC not in headers or "Content-Encoding" in headers
        ):
            return REASON_LOST
        return None

    def own_headers(self, request_id, endpoint):
        """Return the headers that this host adds to an answer."""
        return [] if endpoint else [("X-Request-Id", request_id)]

    def error(self, answer):
        """Return status line, headers and body of an answer that is not an endpoint's."""
        status = ERROR_KINDS[answer.code].http_status
        body = msgspec.json.encode({"code": answer.code, "outcome": answer.outcome})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if answer.retry_after_s is not None and status in (429, 503):
            headers.append(("Retry-After", f"{answer.retry_after_s:g}"))
        return f"{status} {_REASONS.get(status, 'Error')}", headers, body
