"""The product's own names on the wire for callers of named routes."""

import xxhash

from greengagerock.core import GreengageError
from greengagerock.core.seam import CallArrived
from greengagerock.holdings.report import KEY_COUNT
from greengagerock.routing.failures import REASON_NOT_OWNER, REASON_REFUSED
from greengagerock.web.dialect import REFUSED_HEADER, OwnDialect, origin_form

KEY_HEADER = "greengage-key"
TIMEOUT_HEADER = "greengage-timeout-ms"
REQUEST_ID_HEADER = "greengage-request-id"
# Value of ``REFUSED_HEADER`` with which an endpoint says that it does not hold the key.
NOT_OWNER_VALUE = "not-owner"


class OwnCallDialect(OwnDialect):
    """Headers of callers whose requests are routed by host and path prefix."""

    buffers_short_messages = True

    def target(self, environ):
        """Return the path and query to ask an endpoint for."""
        return origin_form(environ["REQUEST_URI"])

    def arrival(self, token, request_id, environ, headers, body):
        """Return the ``CallArrived`` event of a request.

        Raises:
            GreengageError: ``bad-deadline`` or ``missing-key`` if a header is malformed.
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
            self._budget_s(headers.get(TIMEOUT_HEADER)),
            self._key(headers.get(KEY_HEADER)),
            digest,
        )

    def service_label(self, event):
        """Return the name under which the request's time is counted."""
        return ""

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
        refused = response.headers.get(REFUSED_HEADER)
        if refused is None:
            return None
        return REASON_NOT_OWNER if refused == NOT_OWNER_VALUE else REASON_REFUSED

    def _budget_s(self, value):
        if value is None:
            return float("inf")
        if not (value.isascii() and value.isdigit() and int(value) > 0):
            raise GreengageError("bad-deadline", f"{value!r} is not a number of milliseconds")
        return int(value) / 1000

    def _key(self, value):
        if value is None:
            return None
        if not (value.isascii() and value.isdigit() and int(value) < KEY_COUNT):
            raise GreengageError("missing-key", f"{value!r} is not a number below {KEY_COUNT}")
        return int(value)
