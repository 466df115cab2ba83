"""The WSGI application for endpoints and operators of the infrastructure."""

import re
from http.client import responses

import msgspec

from greengagerock.core import ERROR_KINDS, GreengageError
from greengagerock.core.seam import EndpointReported, ItemsAsked, PatchAsked
from greengagerock.platform.wire_items import read_patch, write_items
from greengagerock.platform.wire_reports import read_leaving, read_report, write_answer

ASK_TIMEOUT_S = 1.5
MAX_BODY_BYTES = 8 * 1024 * 1024

_ENDPOINT_PATH = re.compile(r"/greengagerock/instances/([^/]{1,200})/(heartbeat|leave)")
_PATCH_PATH = "/greengagerock/config/patch"
_GET_PATH = "/greengagerock/config/get"


class ControlApplication:
    """Translates reports and operators' calls.

    Args:
        bridge: Where answers come from.
        log: Callable that writes one log line.
    """

    def __init__(self, bridge, log):
        self.bridge = bridge
        self.log = log

    def __call__(self, environ, start_response):
        """Answer one request."""
        try:
            status, body = self._answer(environ)
        except GreengageError as error:
            self.log(
                "control-refused",
                code=error.code,
                path=environ["PATH_INFO"],
                detail=error.detail[:300],
            )
            status = ERROR_KINDS[error.code].http_status
            body = msgspec.json.encode({"code": error.code, "detail": error.detail})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(f"{status} {responses.get(status, 'Unknown')}", headers)
        return [body]

    def _answer(self, environ):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if method == "GET" and path == _GET_PATH:
            return 200, write_items(self._ask(ItemsAsked))
        data = self._read_body(environ)
        if method == "POST" and path == _PATCH_PATH:
            verdict = self._ask(PatchAsked, read_patch(data))
            if verdict.code:
                raise GreengageError(verdict.code, verdict.detail)
            return 200, b"{}"
        match = _ENDPOINT_PATH.fullmatch(path)
        if method != "POST" or match is None:
            raise GreengageError("unknown-name", f"{method} {path} is not served")
        read = read_report if match[2] == "heartbeat" else read_leaving
        answer = self._ask(EndpointReported, read(match[1], data))
        if answer.code:
            raise GreengageError(answer.code, f"endpoint {match[1]}")
        return 200, write_answer(answer)

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
