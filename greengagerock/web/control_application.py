"""The WSGI application for endpoints' reports and operators' configuration items."""

import re
import select
import threading
from http.client import responses

import msgspec

from greengagerock.assignment import EndpointLeaving, EndpointReport
from greengagerock.assignment.report_checks import check_report
from greengagerock.assignment.response_size import MAX_TAKEN_BYTES
from greengagerock.core import ERROR_KINDS, GreengageError
from greengagerock.core.decoding import MALFORMED_INPUT
from greengagerock.core.interface import EndpointReportArrived, ItemsRequested, PatchArrived
from greengagerock.items import EvacuationOrder, Patch
from greengagerock.items.value_checks import check_values
from greengagerock.language.items import format_items, parse_items
from greengagerock.web.bounded_input import PIECE_BYTES
from greengagerock.web.control_calls import (
    END_EVACUATION_CALL,
    PATCH_CALL,
    READ_CALL,
    REPORT_CALL,
    START_EVACUATION_CALL,
)
from greengagerock.web.metrics import Metrics
from greengagerock.web.upstream import skip_trailers

DECISION_TIMEOUT_S = 1.5
# Longest body of an operator's call, and of all other calls. A report lists the ranges of keys
# that an endpoint holds, with about 30 bytes each.
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_SHORT_BODY_BYTES = 256 * 1024
# Number of longer bodies in memory at once. Decoded, a body takes several times its size.
MAX_LONG_BODIES = 2


class NativeControlDialect:
    """Paths and bodies of this project's own interface to controllers.

    A dialect only translates between HTTP and the events of the decision core.
    """

    content_type = "application/json"
    _endpoint_path = re.compile(r"/endpoints/([^/]{1,200})/(report|leave)")
    _evacuation_path = re.compile(r"/evacuations/([^/]{1,200})/(start|end)")

    def parse_call(self, method, path):
        """Return the type of a call, and the name of the endpoint or zone in its path.

        The name is empty for other calls.

        Raises:
            GreengageError: ``unknown-name`` if the method and path are not served.
        """
        match = self._endpoint_path.fullmatch(path)
        if method == "POST" and match:
            return match[2], match[1]
        match = self._evacuation_path.fullmatch(path)
        if method == "POST" and match:
            is_start = match[2] == "start"
            return (START_EVACUATION_CALL if is_start else END_EVACUATION_CALL), match[1]
        if path == "/items" and method in ("GET", "POST"):
            return (READ_CALL if method == "GET" else PATCH_CALL), ""
        raise GreengageError("unknown-name", f"{method} {path} is not served")

    def decode_report(self, endpoint, data):
        """Decode the body of an ``EndpointReport``.

        Raises:
            GreengageError: ``bad-report`` if the body is malformed or a value is out of range.
        """
        return self._decode(data, EndpointReport)

    def decode_leaving(self, endpoint, data):
        """Decode the body of an ``EndpointLeaving``, which may be empty.

        Raises:
            GreengageError: ``bad-report`` if the body is malformed or a value is out of range.
        """
        return self._decode(data, EndpointLeaving) if data else EndpointLeaving(endpoint)

    def decode_patch(self, data):
        """Parse the statements of a body into a ``Patch``.

        Raises:
            GreengageError: ``syntax-error`` if they cannot be parsed, ``bad-request`` if the
                body is not UTF-8, ``invalid-item`` if a value is out of range.
        """
        try:
            patch = parse_items(data.decode())
        except UnicodeDecodeError as error:
            raise GreengageError("bad-request", str(error)) from error
        check_values(patch)
        return patch

    def encode_report_response(self, response):
        """Return the body of the response to a report."""
        return msgspec.json.encode(response)

    def encode_items(self, items):
        """Return the body that lists all items as statements."""
        return format_items(items).encode()

    def _decode(self, data, message_type):
        try:
            message = msgspec.json.decode(data, type=message_type)
        except MALFORMED_INPUT as error:
            raise GreengageError("bad-report", str(error)) from error
        check_report(message)
        return message


class ControlApplication:
    """Passes reports and operators' calls to the decision core and returns its responses.

    Args:
        bridge: The ``Bridge`` to the loop.
        log: Callable that writes one log line.
        dialect: Translates paths and bodies; ``NativeControlDialect`` by default.
        metrics: The ``Metrics``.
    """

    def __init__(self, bridge, log, dialect=None, metrics=None):
        self.metrics = metrics or Metrics()
        self.bridge = bridge
        self.log = log
        self.dialect = dialect or NativeControlDialect()
        self.long_bodies = threading.BoundedSemaphore(MAX_LONG_BODIES)

    def __call__(self, environ, start_response):
        """Serve one request."""
        status = 200
        try:
            body = self._respond(environ)
        except GreengageError as error:
            self.log(
                "control-refused",
                code=error.code,
                path=environ["PATH_INFO"],
                detail=error.detail[:300],
            )
            self.metrics.control_refusals.labels(error.code).inc()
            status = ERROR_KINDS[error.code].http_status
            body = msgspec.json.encode({"code": error.code, "detail": error.detail})
        headers = [
            ("Content-Type", self.dialect.content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} {responses.get(status, 'Unknown')}", headers)
        return [body]

    def _respond(self, environ):
        dialect = self.dialect
        call, name = dialect.parse_call(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if call == READ_CALL:
            return dialect.encode_items(self._request_decision(ItemsRequested))
        if call == PATCH_CALL:
            return self._apply_patch(self._read_patch(environ), environ)
        data = read_body(environ, MAX_SHORT_BODY_BYTES)
        if call in (START_EVACUATION_CALL, END_EVACUATION_CALL):
            order = EvacuationOrder(name, call == START_EVACUATION_CALL)
            return self._apply_patch(Patch(evacuations=(order,)), environ)
        read_message = dialect.decode_report if call == REPORT_CALL else dialect.decode_leaving
        response = self._request_decision(EndpointReportArrived, read_message(name, data))
        if response.code:
            raise GreengageError(response.code, f"endpoint {name}")
        body = dialect.encode_report_response(response)
        if len(body) > MAX_TAKEN_BYTES:
            # A leader of an earlier build may send one.
            self.metrics.overlong_responses.inc()
            self.log("response-too-long", endpoint=name, bytes=len(body))
        return body

    def _apply_patch(self, patch, environ):
        if patch.evacuations and has_hung_up(environ.get("greengage.descriptor")):
            # This process was paused meanwhile. The operator has sent the order again, and perhaps
            # a later one.
            raise GreengageError("caller-gone", "the operator has closed the connection")
        result = self._request_decision(PatchArrived, patch)
        if result.code:
            raise GreengageError(result.code, result.detail)
        return b"{}"

    def _request_decision(self, event_type, *values):
        token = self.bridge.new_token()
        value = self.bridge.post_and_wait(token, event_type(token, *values), DECISION_TIMEOUT_S)
        if value is None:
            raise GreengageError("no-leader", "no response from a leader in time")
        return value

    def _read_patch(self, environ):
        """Read and decode the body of a patch, which may be long.

        Raises:
            GreengageError: ``busy`` if too many long bodies are being read; the operator sends it
                again.
        """
        length = environ.get("CONTENT_LENGTH", "")
        if length.isdigit() and int(length) <= MAX_SHORT_BODY_BYTES:
            return self.dialect.decode_patch(read_body(environ, MAX_SHORT_BODY_BYTES))
        if not self.long_bodies.acquire(blocking=False):
            environ["greengage.close_connection"]()
            raise GreengageError("busy", f"{MAX_LONG_BODIES} long bodies are being read")
        try:
            return self.dialect.decode_patch(read_body(environ, MAX_BODY_BYTES))
        finally:
            self.long_bodies.release()


def read_body(environ, max_bytes):
    """Return the body of a call.

    Args:
        environ: The WSGI environment.
        max_bytes: Longest body that is accepted.

    Raises:
        GreengageError: ``body-too-large`` if it is longer, ``bad-request`` if it is truncated or
            malformed, or does not arrive in time. The connection is closed then, since the rest
            of the body would count as the next request.
    """
    try:
        return _read_whole_body(environ, max_bytes)
    except GreengageError:
        environ["greengage.close_connection"]()
        raise
    except (OSError, ValueError) as error:
        environ["greengage.close_connection"]()
        raise GreengageError("bad-request", f"body: {error}") from error


def _read_whole_body(environ, max_bytes):
    stream = environ["wsgi.input"]
    if environ.get("wsgi.input_terminated") and not environ.get("CONTENT_LENGTH"):
        # The library copies all that it has read for each further chunk of one call of ``read``.
        parts, left_bytes = [], max_bytes
        while part := stream.read(PIECE_BYTES):
            left_bytes -= len(part)
            if left_bytes < 0:
                raise GreengageError("body-too-large", f"the limit is {max_bytes} bytes")
            parts.append(part)
        skip_trailers(stream)
        return b"".join(parts)
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > max_bytes:
        raise GreengageError(
            "body-too-large", f"Content-Length is {length}, the limit is {max_bytes} bytes"
        )
    data = stream.read(int(length))
    if len(data) < int(length):
        raise GreengageError("bad-request", f"body truncated: got {len(data)} of {length} bytes")
    return data


def has_hung_up(descriptor):
    """Return whether the peer of a socket has closed its side of the connection.

    Args:
        descriptor: Descriptor of the socket, or ``None`` if there is none.

    Examples:
        >>> import socket
        >>> ours, peer = socket.socketpair()
        >>> has_hung_up(ours.fileno())
        False
        >>> peer.close()
        >>> has_hung_up(ours.fileno())
        True
        >>> ours.close()
    """
    if descriptor is None:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
