"""Names on the wire for callers of named routes, and the product's own ones."""

import xxhash

from greengagerock.core import GreengageError
from greengagerock.core.seam import CallArrived
from greengagerock.holdings.report import KEY_COUNT
from greengagerock.routing.failures import REASON_LOST, REASON_NOT_OWNER, REASON_REFUSED
from greengagerock.web.dialect import REFUSED_HEADER, OwnDialect, origin_form

KEY_HEADER = "greengage-key"
TIMEOUT_HEADER = "greengage-timeout-ms"
REQUEST_ID_HEADER = "greengage-request-id"
# Value of ``REFUSED_HEADER`` with which an endpoint says that it does not hold the key.
NOT_OWNER_VALUE = "not-owner"


class CallDialect:
    """What all dialects of callers of named routes share.

    Attributes:
        key_header: Lower-case name of the header with the key.
        time_left_header: Lower-case name of the header with the milliseconds that are left.
        buffers_short_messages: Whether short bodies are read before a request is routed,
            and short answers before they are passed on.
    """

    key_header = ""
    time_left_header = ""
    buffers_short_messages = True

    def target(self, environ):
        """Return the path and query to ask an endpoint for, as the caller wrote them."""
        return origin_form(environ["REQUEST_URI"])

    def arrival(self, token, request_id, environ, headers, body):
        """Return the ``CallArrived`` event of a request.

        Raises:
            GreengageError: ``bad-request`` if the key or the time left is malformed.
        """
        target = self.target(environ)
        data = getattr(body, "data", None)
        digest = headers.get("content-length", "")
        if data is not None:
            digest = xxhash.xxh3_64_hexdigest(data)
        return CallArrived(
            token,
            request_id,
            environ["REQUEST_METHOD"],
            headers.get("host", ""),
            target.partition("?")[0],
            target,
            read_time_left_s(headers.get(self.time_left_header)),
            read_key(headers.get(self.key_header)),
            digest,
        )

    def service_label(self, event):
        """Return the name under which the request's time is counted.

        The service is not known before the request is routed.
        """
        return ""


class OwnCallDialect(CallDialect, OwnDialect):
    """The product's own headers for callers of named routes."""

    key_header = KEY_HEADER
    time_left_header = TIMEOUT_HEADER

    def outgoing_headers(self, headers, forward):
        """Return the headers to send to an endpoint, without the framing of the body."""
        sent = super().outgoing_headers(headers, forward)
        sent[TIMEOUT_HEADER] = str(max(1, int(forward.timeout_s * 1000)))
        sent["greengage-endpoint"] = forward.endpoint
        for name in (KEY_HEADER, REQUEST_ID_HEADER):
            if name in headers:
                sent[name] = headers[name]
        return sent

    def failure_of(self, response, request_id):
        """Return why an endpoint's answer is not one, or ``None`` if it can be passed on."""
        if response.headers.get(REQUEST_ID_HEADER, request_id) != request_id:
            # A second answer to an earlier request on this connection.
            return REASON_LOST
        refused = response.headers.get(REFUSED_HEADER)
        if refused is None:
            return None
        return REASON_NOT_OWNER if refused == NOT_OWNER_VALUE else REASON_REFUSED


def read_time_left_s(value):
    """Return the time that a caller has left, in seconds; unbounded if it says nothing.

    Raises:
        GreengageError: ``bad-request`` if it is not a positive number of milliseconds.
    """
    if value is None:
        return float("inf")
    try:
        milliseconds = float(value)
    except ValueError:
        milliseconds = 0.0
    if not 0 < milliseconds < float("inf"):
        raise GreengageError("bad-request", f"time left {value!r} is not a positive number")
    return milliseconds / 1000


def read_key(value):
    """Return a request's key, or ``None`` if it has none.

    Raises:
        GreengageError: ``bad-request`` if it is not a whole number in the range of keys.
    """
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and int(value) < KEY_COUNT):
        raise GreengageError("bad-request", f"key {value!r} is not a number below {KEY_COUNT}")
    return int(value)
