"""The WSGI application for endpoints that report and for operators of items."""

import re
from http.client import responses

import msgspec

from greengagerock.core import ERROR_KINDS, GreengageError
from greengagerock.core.seam import EndpointReported, ItemsAsked, PatchAsked
from greengagerock.holdings import EndpointLeaving, EndpointReport
from greengagerock.language.items import format_items, parse_items

ASK_TIMEOUT_S = 1.5
MAX_BODY_BYTES = 8 * 1024 * 1024

REPORT_CALL = "report"
LEAVE_CALL = "leave"
PATCH_CALL = "patch"
READ_CALL = "read"


class OwnControlDialect:
    """Paths and bodies of the product's own interface to controllers.

    A dialect translates; it decides nothing.
    """

    content_type = "application/json"
    _endpoint_path = re.compile(r"/endpoints/([^/]{1,200})/(report|leave)")

    def call_of(self, method, path):
        """Return which call a request is and the endpoint that it names.

        Raises:
            GreengageError: ``unknown-name`` if nothing is served there.
        """
        match = self._endpoint_path.fullmatch(path)
        if method == "POST" and match:
            return match[2], match[1]
        if path == "/items" and method in ("GET", "POST"):
            return (READ_CALL if method == "GET" else PATCH_CALL), ""
        raise GreengageError("unknown-name", f"{method} {path} is not served")

    def read_report(self, endpoint, data):
        """Return the ``EndpointReport`` that a body holds.

        Raises:
            GreengageError: ``bad-report`` if it cannot be used.
        """
        return self._decode(data, EndpointReport)

    def read_leaving(self, endpoint, data):
        """Return the ``EndpointLeaving`` that a body holds.

        Raises:
            GreengageError: ``bad-report`` if it cannot be used.
        """
        return self._decode(data, EndpointLeaving) if data else EndpointLeaving(endpoint)

    def read_patch(self, data):
        """Return the ``Patch`` that the statements of a body make.

        Raises:
            GreengageError: ``syntax-error`` if they cannot be read.
        """
        try:
            return parse_items(data.decode())
        except UnicodeDecodeError as error:
            raise GreengageError("bad-request", str(error)) from error

    def write_answer(self, answer):
        """Return the body that answers a report."""
        return msgspec.json.encode(answer)

    def write_items(self, items):
        """Return the statements that set all items."""
        return format_items(items).encode()

    def _decode(self, data, kind):
        try:
            return msgspec.json.decode(data, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise GreengageError("bad-report", str(error)) from error


class ControlApplication:
    """Carries reports and operators' calls to the decision core and answers back.

    Args:
        bridge: Where answers come from.
        log: Callable that writes one log line.
        dialect: Paths and bodies.
    """

    def __init__(self, bridge, log, dialect=None):
        self.bridge = bridge
        self.log = log
        self.dialect = dialect or OwnControlDialect()

    def __call__(self, environ, start_response):
        """Answer one request."""
        status = 200
        try:
            body = self._answer(environ)
        except GreengageError as error:
            self.log(
                "control-refused",
                code=error.code,
                path=environ["PATH_INFO"],
                detail=error.detail[:300],
            )
            status = ERROR_KINDS[error.code].http_status
            body = msgspec.json.encode({"code": error.code, "detail": error.detail})
        headers = [
            ("Content-Type", self.dialect.content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} {responses.get(status, 'Unknown')}", headers)
        return [body]

    def _answer(self, environ):
        dialect = self.dialect
        call, endpoint = dialect.call_of(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if call == READ_CALL:
            return dialect.write_items(self._ask(ItemsAsked))
        data = self._read_body(environ)
        if call == PATCH_CALL:
            verdict = self._ask(PatchAsked, dialect.read_patch(data))
            if verdict.code:
                raise GreengageError(verdict.code, verdict.detail)
            return b"{}"
        read = dialect.read_report if call == REPORT_CALL else dialect.read_leaving
        answer = self._ask(EndpointReported, read(endpoint, data))
        if answer.code:
            raise GreengageError(answer.code, f"endpoint {endpoint}")
        return dialect.write_answer(answer)

    def _ask(self, event_type, *values):
        token = self.bridge.new_token()
        value = self.bridge.ask(token, event_type(token, *values), ASK_TIMEOUT_S)
        if value is None:
            raise GreengageError("no-leader", "no leader answered in time")
        return value

    def _read_body(self, environ):
        stream = environ["wsgi.input"]
        if environ.get("wsgi.input_terminated") and not environ.get("CONTENT_LENGTH"):
            return stream.read(MAX_BODY_BYTES)
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            raise GreengageError("body-too-large", f"{length} bytes were announced")
        data = stream.read(int(length))
        if len(data) < int(length):
            raise GreengageError("bad-request", "the body ended before its length")
        return data
