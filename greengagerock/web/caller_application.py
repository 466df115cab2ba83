"""The WSGI application for callers: executes the effects of the decision core."""

import secrets
import time
from http.client import responses

import msgspec
from urllib3.exceptions import HTTPError, ProtocolError

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, GreengageError
from greengagerock.core.interface import (
    AttemptFailed,
    CallAbandoned,
    Forward,
    ReadinessRequested,
    RequestEnded,
    RespondWithError,
    ResponseInterrupted,
    ResponseStarted,
)
from greengagerock.routing.failures import REASON_CONNECTION_LOST
from greengagerock.web import own_requests
from greengagerock.web.connection_errors import fault_of
from greengagerock.web.connection_limits import BODY_GRACE_S, DISCARD_S, LOOP_TIMEOUT_S
from greengagerock.web.connection_manager import make_farewell
from greengagerock.web.connection_progress import (
    DECIDING,
    DISCARDING,
    FORWARDED,
    RESPONDING,
)
from greengagerock.web.native_dialect import NativeDialect
from greengagerock.web.range_requests import read_byte_range
from greengagerock.web.relay_dialect import RESULT_HEADER, add_relay_headers
from greengagerock.web.upstream import (
    BODY_CHUNK_BYTES,
    Attempt,
    BufferedBody,
    StreamedBody,
)

# Longest request body that is read before routing, so that it can be sent more than once, and
# longest response body that is read before it is relayed.
SHORT_BODY_BYTES = 64 * 1024
# First status of an error response (RFC 9110, section 15).
FIRST_ERROR_STATUS = 400


class CallerApplication:
    """Serves callers on one port.

    Args:
        host: Name of this host, part of generated request ids.
        bridge: The ``Bridge`` to the loop.
        upstream: The ``Upstream`` with the connections to endpoints.
        metrics: The ``Metrics``.
        log: Callable that writes one log line.
        dialect: Translates headers and paths; ``NativeDialect`` by default.
        purpose: Purpose of the address, which says what this host answers by itself there.
    """

    def __init__(
        self, host, bridge, upstream, metrics, log, dialect=None, purpose=own_requests.CALLERS
    ):
        self.dialect = dialect or NativeDialect()
        self.bridge = bridge
        self.upstream = upstream
        self.metrics = metrics
        self.log = log
        self.id_prefix = f"{host}-{secrets.token_hex(4)}"
        self.own_requests = own_requests.OwnRequests(
            purpose,
            self.dialect.ready_path,
            {own_requests.READINESS_CHECK: self.respond_to_readiness_check},
        )

    def __call__(self, environ, start_response):
        """Serve one request."""
        application = self.own_requests.find(environ)
        if application is not None:
            return application(environ, start_response)
        return Exchange(self, self.bridge.new_token(), environ, start_response).run()

    def respond_to_readiness_check(self, environ, start_response):
        """Respond to the load balancer's check whether this host accepts callers."""
        token = self.bridge.new_token()
        code = self.bridge.post_and_wait(token, ReadinessRequested(token), LOOP_TIMEOUT_S)
        if code == "":
            start_response("200 OK", [("Content-Length", "3"), ("Content-Type", "text/plain")])
            return [b"ok\n"]
        error_response = RespondWithError(token, code or "internal-error", OUTCOME_NOT_RUN)
        return self.send_error(start_response, error_response, [])

    def farewell(self):
        """Return the response to requests that arrive too late for this process to read them."""
        refusal = RespondWithError(0, "stopping", OUTCOME_NOT_RUN, close=True, retry_after_s=0.0)
        return make_farewell(*self.dialect.encode_error(refusal))

    def send_error(self, start_response, error_response, extra_headers):
        """Start an error response from this host and return its body."""
        status, headers, body = self.dialect.encode_error(error_response)
        headers = headers + extra_headers
        if error_response.close:
            headers.append(("Connection", "close"))
        start_response(status, headers)
        return [body]


class Exchange:
    """One request of a caller and its response.

    Args:
        app: The ``CallerApplication``.
        token: Identifies the request on this host.
        environ: The WSGI environment.
        start_response: The WSGI callable that starts the response.
    """

    __slots__ = (
        "app",
        "body",
        "body_attempt",
        "current_attempt",
        "endpoint",
        "environ",
        "forward",
        "headers",
        "is_answered",
        "progress",
        "request_id",
        "sent_at_s",
        "start_response",
        "target",
        "token",
    )

    def __init__(self, app, token, environ, start_response):
        self.app = app
        self.token = token
        self.environ = environ
        self.start_response = start_response
        self.endpoint = ""
        self.sent_at_s = 0.0
        self.forward = None
        self.body_attempt = None
        self.is_answered = False
        self.current_attempt = None
        self.target = app.dialect.target(environ)
        self.headers = read_headers(environ)
        self.body = make_body_reader(environ)
        fallback = f"{app.id_prefix}-{token}"
        self.request_id = app.dialect.request_id(self.headers, fallback)
        self.progress = environ["greengage.progress"]
        self.progress.request_id = self.request_id

    def run(self):
        """Execute the loop's effects until the response starts; return its body."""
        try:
            if self.app.dialect.buffers_short_bodies:
                self._buffer_short_body()
            event = self.app.dialect.make_arrival_event(
                self.token, self.request_id, self.environ, self.headers, self.body
            )
        except GreengageError as error:
            self.app.log(
                "bad-request",
                code=error.code,
                request_id=self.request_id,
                detail=error.detail,
            )
            return self._respond_with_error(
                RespondWithError(self.token, error.code, OUTCOME_NOT_RUN, error.detail)
            )
        with self.app.metrics.time_response_head(self.app.dialect.service_label(event)):
            return self._execute_effects(event)

    def _buffer_short_body(self):
        if self.body is None:
            return
        length = self.headers.get("content-length", "")
        if length.isdigit() and int(length) <= SHORT_BODY_BYTES:
            try:
                data = self.environ["wsgi.input"].read(int(length))
            except OSError as error:
                raise GreengageError("request-timeout", str(error)) from error
            if len(data) < int(length):
                raise GreengageError(
                    "request-timeout", f"body truncated: got {len(data)} of {length} bytes"
                )
            self.body = BufferedBody(data)

    def _execute_effects(self, event):
        while True:
            effect = self._wait_for_effect(event)
            if effect is None:
                self.app.log("loop-silent", code="internal-error", request_id=self.request_id)
                # A decision that comes later finds nobody to carry it out.
                self.app.bridge.post_deferred(CallAbandoned(self.token))
                effect = RespondWithError(self.token, "internal-error", OUTCOME_UNKNOWN, "", True)
            if isinstance(effect, RespondWithError):
                return self._respond_with_error(effect)
            result = self.attempt(effect, {})
            if isinstance(result, AttemptFailed):
                event = result
                continue
            data = None
            if self.app.dialect.buffers_short_bodies and has_short_body(result):
                data = self._read_short_response(result)
                if data is None:
                    event = AttemptFailed(self.token, REASON_CONNECTION_LOST, True, False)
                    continue
            return self._relay_response(effect, result, data)

    def _wait_for_effect(self, event):
        """Pass an event to the loop and wait for its decision.

        The loop may let the request wait for its turn and watch the caller meanwhile.
        """
        self.progress.enter(DECIDING, LOOP_TIMEOUT_S)
        bridge = self.app.bridge
        watch = Attempt(self._watchable_descriptor())
        bridge.register_attempt(self.token, watch)
        try:
            return bridge.post_and_wait(self.token, event, LOOP_TIMEOUT_S)
        finally:
            self._end_attempt(watch)

    def _watchable_descriptor(self):
        """Return the descriptor of the caller's socket, or ``None`` if it is not to be watched.

        If the caller closes its connection, reading a streamed body fails, so the socket need
        not be watched.
        """
        is_streamed = self.body is not None and not self.body.is_repeatable
        return None if is_streamed else self.environ["greengage.descriptor"]

    def _end_attempt(self, attempt):
        self.app.bridge.unregister_attempt(self.token)
        watched_descriptor = attempt.end()
        if watched_descriptor is not None:
            self.app.bridge.unwatch_caller(watched_descriptor)

    def _read_short_response(self, response):
        """Return the body of a short response, or ``None`` if it is truncated.

        Nothing has been sent to the caller yet, so another endpoint may be tried.
        """
        try:
            return response.read(decode_content=False)
        except (HTTPError, OSError) as error:
            response.close()
            self.app.log(
                "answer-broken-off",
                request_id=self.request_id,
                detail=fault_of(error) or type(error).__name__,
                passed_bytes=0,
            )
            return None
        finally:
            self.end_body()

    def attempt(self, forward, extra_headers):
        """Send the request to an endpoint once.

        Args:
            forward: The ``Forward`` effect.
            extra_headers: Headers that replace the caller's headers of the same name.

        Returns:
            A response whose body is unread, or an ``AttemptFailed`` event.
        """
        if self.has_unread_body():
            self.environ["greengage.end_reading_within"](forward.timeout_s + BODY_GRACE_S)
        attempt = Attempt(self._watchable_descriptor(), self.request_id)
        attempt.is_answered = self.is_answered
        self.current_attempt = attempt
        self.progress.enter(FORWARDED)
        self.app.bridge.register_attempt(self.token, attempt)
        self.sent_at_s = time.monotonic()
        self.forward = forward
        try:
            result = self.app.upstream.send(
                forward,
                self.environ["REQUEST_METHOD"],
                self.target,
                self._headers_for(forward) | extra_headers,
                self.body,
                attempt,
                self._inspect_relayed if forward.relay else self._inspect_response,
            )
        except Exception as error:
            # Without an event, the call and its slot would stay in use for ever.
            self.app.log(
                "internal-error",
                code="internal-error",
                request_id=self.request_id,
                detail=f"{type(error).__name__}: {error}",
            )
            is_consumed = bool(self.body and self.body.is_consumed)
            result = AttemptFailed(
                self.token, REASON_CONNECTION_LOST, attempt.has_sent_bytes, is_consumed
            )
        finally:
            self._end_attempt(attempt)
        if attempt.fault:
            self.app.log(
                "response-malformed",
                request_id=self.request_id,
                endpoint=forward.endpoint,
                detail=attempt.fault,
                code="answer-lost",
            )
        if isinstance(result, AttemptFailed):
            return msgspec.structs.replace(result, connect_s=attempt.connect_s)
        self._begin_body(attempt)
        return result

    def _begin_body(self, attempt):
        """Keep the connection cancellable while the body is read."""
        self.body_attempt = Attempt()
        self.body_attempt.state = attempt.state
        self.body_attempt.is_answered = self.is_answered
        # A body in progress shows that the connection works.
        self.body_attempt.is_new = self.body_attempt.has_head = True
        self.app.bridge.register_attempt(self.token, self.body_attempt)

    def note_answered(self):
        """Note that the caller may get a part of the response from now on."""
        self.is_answered = True
        if self.body_attempt is not None:
            self.body_attempt.is_answered = True

    def end_body(self):
        """Note that the body has been read, or its connection closed."""
        if self.body_attempt is not None:
            self.body_attempt = None
            self.app.bridge.unregister_attempt(self.token)

    def _inspect_response(self, response):
        """Inspect the response of an endpoint, on a connection that may have served others.

        Without an id, a response on a kept connection may be an earlier one that a faulty endpoint
        sends again.

        Returns:
            A reason, or ``None`` if the response can be sent to the caller.
        """
        dialect = self.app.dialect
        is_identified = self.current_attempt.is_new or dialect.is_identified(
            response, self.headers
        )
        if not is_identified:
            self._log_response("response-without-id", response, code="answer-lost")
            return REASON_CONNECTION_LOST
        return self._inspect_relayed(response)

    def _inspect_relayed(self, response):
        """Pass on what the endpoint says about itself; return why the response is unusable.

        Returns:
            A reason, or ``None`` if the response can be sent to the caller.
        """
        dialect = self.app.dialect
        self.current_attempt.is_named = dialect.names_request(response)
        if response.status >= FIRST_ERROR_STATUS:
            self._log_response("error-response", response)
        notice = dialect.read_notice(
            self.token, response, self.request_id, self.forward.is_limited
        )
        if notice is not None:
            self.app.bridge.post_deferred(notice)
        return dialect.failure_reason(response, self.request_id)

    def _log_response(self, event, response, **fields):
        """Log which connection a response came on, and as which of its responses."""
        attempt = self.current_attempt
        self.app.log(
            event,
            request_id=self.request_id,
            endpoint=self.forward.endpoint,
            relay=self.forward.relay,
            status=response.status,
            connection=attempt.connection_number,
            connection_requests=attempt.connection_requests,
            **fields,
        )

    def _headers_for(self, forward):
        headers = self.app.dialect.outgoing_headers(self.headers, forward, self.request_id)
        if forward.relay:
            headers = add_relay_headers(headers, forward)
        if self.body is not None and "content-length" not in headers:
            headers["transfer-encoding"] = "chunked"
        return headers

    def has_unread_body(self):
        """Return whether the rest of a body would be parsed as the caller's next request."""
        return self.body is not None and not self.body.is_complete

    def discard_body(self):
        """Read what is left of the caller's body after the response."""
        if self.has_unread_body():
            self.progress.enter(DISCARDING, DISCARD_S)
            self.environ["greengage.end_reading_within"](DISCARD_S)
            self.body.discard(DISCARD_S)

    def _close_if_unread(self):
        """Let the server close the connection after the response if a part of the body is left.

        Returns:
            Whether it does.
        """
        if not self.has_unread_body():
            return False
        self.environ["greengage.close_connection"]()
        return True

    def _respond_with_error(self, error_response):
        if self._close_if_unread() and not error_response.close:
            error_response = msgspec.structs.replace(error_response, close=True)
        added_headers = self.app.dialect.added_headers(self.request_id, self.endpoint)
        body = self.app.send_error(self.start_response, error_response, added_headers)
        self.progress.enter(RESPONDING)
        return ErrorBody(self, body)

    def _relay_response(self, forward, response, data):
        self.endpoint = forward.endpoint
        response_time_s = time.monotonic() - self.sent_at_s
        if data is None and has_long_body(response):
            self.app.bridge.post_deferred(ResponseStarted(self.token))
        response_headers = response.headers
        dropped_names = self.app.dialect.dropped_response_headers
        if forward.relay:
            dropped_names = dropped_names | {RESULT_HEADER.lower()}
        if "Connection" in response_headers:
            dropped_names = dropped_names | connection_options(response_headers["Connection"])
        headers = [
            pair for pair in response_headers.items() if pair[0].lower() not in dropped_names
        ]
        headers += self.app.dialect.added_headers(self.request_id, self.endpoint)
        if self._close_if_unread() or forward.close:
            headers.append(("Connection", "close"))
        reason = response.reason or responses.get(response.status, "Unknown")
        self.start_response(f"{response.status} {reason}", headers)
        self.progress.enter(RESPONDING)
        if data is not None:
            return BufferedResponseBody(self, data, response_time_s)
        return StreamedResponseBody(self, response, response_time_s)


class ErrorBody:
    """The body of an error response of this host."""

    def __init__(self, exchange, parts):
        self.exchange = exchange
        self.parts = parts

    def __iter__(self):
        return iter(self.parts)

    def close(self):
        """Read what is left of the caller's body."""
        self.exchange.discard_body()


class BufferedResponseBody:
    """The body of a short response that was read completely from the endpoint."""

    def __init__(self, exchange, data, response_time_s):
        self.exchange = exchange
        self.data = data
        self.response_time_s = response_time_s

    def __iter__(self):
        yield self.data

    def close(self):
        """Notify the loop that the request has ended."""
        event = RequestEnded(
            self.exchange.token,
            True,
            self.response_time_s,
            len(self.data),
            self.exchange.current_attempt.connect_s,
        )
        self.exchange.app.bridge.post_deferred(event)
        self.exchange.discard_body()


class StreamedResponseBody:
    """The body of an endpoint's response, relayed while it is received.

    If the response is interrupted, the remainder is requested with a range request where that
    is possible. Otherwise the error is raised again, and the server closes the caller's
    connection before the end of the body, so that the caller detects the truncation.
    """

    def __init__(self, exchange, response, response_time_s):
        self.exchange = exchange
        self.response = response
        self.response_time_s = response_time_s
        self.byte_range = None
        self.relayed_bytes = 0
        self.is_complete = False

    def __iter__(self):
        while not self.is_complete:
            try:
                for chunk in self._read_chunks():
                    self.exchange.note_answered()
                    self.relayed_bytes += len(chunk)
                    yield chunk
                self.is_complete = True
            except (HTTPError, OSError) as error:
                self.response.close()
                remainder = self._request_remainder(fault_of(error) or type(error).__name__)
                if remainder is None:
                    raise
                self.response = remainder

    def _read_chunks(self):
        """Yield the parts of the body that the endpoint sends.

        Raises:
            HTTPError: If it is truncated, or the rest of a response is not as long as it has to
                be.
        """
        for chunk in self.response.stream(BODY_CHUNK_BYTES, decode_content=False):
            if self._missing_bytes() < len(chunk):
                raise ProtocolError("the rest of the response is longer than its range")
            yield chunk
        if self.byte_range is not None and self._missing_bytes():
            raise ProtocolError("the rest of the response is shorter than its range")

    def _missing_bytes(self):
        """Return how many bytes are still to be relayed, infinite if that is not known here."""
        if self.byte_range is None:
            return float("inf")
        return self.byte_range.length - self.relayed_bytes

    def _request_remainder(self, reason):
        app, token = self.exchange.app, self.exchange.token
        app.log(
            "answer-broken-off",
            request_id=self.exchange.request_id,
            detail=reason,
            passed_bytes=self.relayed_bytes,
        )
        if self.byte_range is None:
            self.byte_range = read_byte_range(
                self.exchange.environ["REQUEST_METHOD"], self.response
            )
        event = ResponseInterrupted(token, self.byte_range is not None)
        while True:
            effect = app.bridge.post_and_wait(token, event, LOOP_TIMEOUT_S)
            if not isinstance(effect, Forward):
                return None
            range_headers = self.byte_range.remainder_headers(self.relayed_bytes)
            result = self.exchange.attempt(effect, range_headers)
            if isinstance(result, AttemptFailed):
                event = result
            elif self.byte_range.is_continued_by(result, self.relayed_bytes):
                return result
            else:
                result.close()
                return None

    def close(self):
        """Release or close the connection, and notify the loop that the request has ended."""
        self.exchange.end_body()
        if self.is_complete:
            self.response.release_conn()
        else:
            # Unread data must not be read as the response to another request.
            self.response.close()
        event = RequestEnded(
            self.exchange.token,
            self.is_complete,
            self.response_time_s,
            self.relayed_bytes,
            self.exchange.current_attempt.connect_s,
        )
        self.exchange.app.bridge.post_deferred(event)
        self.exchange.discard_body()


def has_short_body(response):
    """Return whether a response is read completely before any of it is relayed."""
    length = response.headers.get("Content-Length", "")
    return length.isdigit() and int(length) <= SHORT_BODY_BYTES


def has_long_body(response):
    """Return whether the body of a response may arrive long after its head."""
    length = response.headers.get("Content-Length", "")
    return not length.isdigit() or int(length) > BODY_CHUNK_BYTES


def read_headers(environ):
    """Return the headers of a WSGI environment with lower-case names."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name, key in (("content-type", "CONTENT_TYPE"), ("content-length", "CONTENT_LENGTH")):
        if key in environ:
            headers[name] = environ[key]
    return headers


def make_body_reader(environ):
    """Return a ``StreamedBody``, or ``None`` if the request has no body."""
    length = environ.get("CONTENT_LENGTH", "")
    if environ["wsgi.input_terminated"] or length not in ("", "0"):
        return StreamedBody(environ["wsgi.input"])
    return None


def connection_options(value):
    """Return the header names that a ``Connection`` header lists."""
    return {name.strip().lower() for name in value.split(",") if name.strip()}
