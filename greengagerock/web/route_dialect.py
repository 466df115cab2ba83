"""Dialects for requests on named routes: the base class and the native dialect."""

import time

import xxhash

from greengagerock.assignment.reports import KEY_COUNT
from greengagerock.core import GreengageError
from greengagerock.core.interface import CallArrived
from greengagerock.routing.failures import REASON_NOT_OWNER, REASON_REFUSED
from greengagerock.web.native_dialect import (
    REFUSED_HEADER,
    REQUEST_ID_HEADER,
    NativeDialect,
    origin_form,
)
from greengagerock.web.notice_headers import make_notice

# Set by an endpoint that is about to end.
LEAVING_HEADER = "greengage-leaving"
# Requests per second that an endpoint takes from all hosts together.
LIMIT_HEADER = "greengage-limit"
# Running requests, waiting requests, slots and pace of the endpoint.
LOAD_HEADER = "greengage-load"
KEY_HEADER = "greengage-key"
TIMEOUT_HEADER = "greengage-timeout-ms"
# Value of ``REFUSED_HEADER`` in the response of an endpoint that does not hold the key.
REFUSED_NOT_OWNER = "not-owner"


class RouteDialect:
    """Base class of the dialects for requests on named routes.

    Attributes:
        key_header: Lower-case name of the header with the key.
        timeout_header: Lower-case name of the header with the caller's remaining time, in
            milliseconds.
        request_id_header: Lower-case name of the header with the id of the request, which an
            endpoint sends back.
        buffers_short_bodies: Whether short request bodies are read before the request is routed,
            and short response bodies before any of the response is sent to the caller.
    """

    key_header = ""
    timeout_header = ""
    request_id_header = ""
    buffers_short_bodies = True

    def target(self, environ):
        """Return path and query for the endpoint, unchanged and still encoded."""
        return origin_form(environ["REQUEST_URI"])

    def make_arrival_event(self, token, request_id, environ, headers, body):
        """Return the ``CallArrived`` event of a request.

        Raises:
            GreengageError: ``bad-request`` if the key or the timeout is malformed.
        """
        target = self.target(environ)
        data = getattr(body, "data", None)
        # A body that is streamed cannot be hashed in advance; its declared length is used instead.
        body_digest = headers.get("content-length", "")
        if data is not None:
            body_digest = xxhash.xxh3_64_hexdigest(data)
        return CallArrived(
            token,
            request_id,
            environ["REQUEST_METHOD"],
            headers.get("host", ""),
            target.partition("?")[0],
            target,
            parse_timeout_s(headers.get(self.timeout_header)),
            parse_key(headers.get(self.key_header)),
            body_digest,
            0 if data is None else len(data),
            time.monotonic() - environ["greengage.progress"].queued_s,
        )

    def is_identified(self, response, headers):
        """Return whether a response on a kept connection may belong to the request.

        Args:
            response: The response of an endpoint.
            headers: The caller's headers by lower-case name.
        """
        return self.names_request(response)

    def names_request(self, response):
        """Return whether a response says which request it belongs to."""
        return self.request_id_header in response.headers

    def service_label(self, event):
        """Return the ``service`` label of the request in the latency metric.

        It is empty, since the service is determined only when the request is routed.
        """
        return ""


class NativeRouteDialect(RouteDialect, NativeDialect):
    """This project's own headers for requests on named routes."""

    key_header = KEY_HEADER
    timeout_header = TIMEOUT_HEADER
    request_id_header = REQUEST_ID_HEADER

    def outgoing_headers(self, headers, forward, request_id):
        """Return the headers to send to an endpoint, without ``Transfer-Encoding``."""
        outgoing = super().outgoing_headers(headers, forward, request_id)
        outgoing[TIMEOUT_HEADER] = str(max(1, int(forward.timeout_s * 1000)))
        outgoing["greengage-endpoint"] = forward.endpoint
        if KEY_HEADER in headers:
            outgoing[KEY_HEADER] = headers[KEY_HEADER]
        # The endpoint repeats this id, and ``failure_reason`` compares it.
        outgoing[REQUEST_ID_HEADER] = request_id
        return outgoing

    def failure_reason(self, response, request_id):
        """Return why a response cannot be sent to the caller, or ``None`` if it can."""
        reason = super().failure_reason(response, request_id)
        refusal = response.headers.get(REFUSED_HEADER)
        is_not_owner = reason == REASON_REFUSED and refusal == REFUSED_NOT_OWNER
        return REASON_NOT_OWNER if is_not_owner else reason

    def read_notice(self, token, response, request_id, was_limited=False):
        """Return the ``EndpointNoticed`` event of a response, or ``None`` if it has no notice."""
        headers = response.headers
        refusal = headers.get(REFUSED_HEADER)
        if refusal == REFUSED_NOT_OWNER:
            # Another endpoint may have the address now.
            return None
        if headers.get(REQUEST_ID_HEADER, request_id) != request_id:
            return None
        pause_text = None if refusal is None else headers.get("Retry-After")
        limit_text = headers.get(LIMIT_HEADER)
        return make_notice(
            token,
            LEAVING_HEADER in headers,
            pause_text,
            limit_text,
            was_limited,
            headers.get(LOAD_HEADER),
        )


def parse_timeout_s(value):
    """Return the caller's timeout in seconds; infinite without a header.

    Args:
        value: Value of the header, or ``None``.

    Raises:
        GreengageError: ``bad-request`` if it is not a positive number of milliseconds.
    """
    if value is None:
        return float("inf")
    try:
        timeout_ms = float(value)
    except ValueError:
        timeout_ms = 0.0
    if not 0 < timeout_ms < float("inf"):
        raise GreengageError(
            "bad-request", f"timeout {value!r} is not a positive number of milliseconds"
        )
    return timeout_ms / 1000


def parse_key(value):
    """Return a request's key, or ``None`` without a header.

    Args:
        value: Value of the header, or ``None``.

    Raises:
        GreengageError: ``bad-request`` if it is not a whole number below ``KEY_COUNT``.
    """
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and int(value) < KEY_COUNT):
        raise GreengageError(
            "bad-request", f"key {value!r} is not a whole number below {KEY_COUNT}"
        )
    return int(value)
