"""The WSGI application for callers. It carries bytes and decides nothing."""

import secrets
import time
from http.client import responses

import msgspec
from urllib3.exceptions import HTTPError

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, GreengageError
from greengagerock.core.seam import (
    Answer,
    AnswerBegan,
    AnswerBroken,
    AttemptFailed,
    Forward,
    ReadinessAsked,
    RequestEnded,
)
from greengagerock.routing.failures import REASON_LOST
from greengagerock.web.dialect import OwnDialect
from greengagerock.web.resume import read_span
from greengagerock.web.upstream import (
    BODY_CHUNK_BYTES,
    Attempt,
    CallerBody,
    ShortBody,
)

LOOP_TIMEOUT_S = 5.0
# Longest body that is read before its request is routed, so that it can be sent again.
SHORT_BODY_BYTES = 64 * 1024


class CallerApplication:
    """Serves callers on one port.

    Args:
        host: Name of this host, part of request ids.
        bridge: Where decisions come from.
        upstream: Connections to endpoints.
        metrics: The ``Metrics``.
        log: Callable that writes one log line.
        dialect: Names on the wire.
    """

    def __init__(self, host, bridge, upstream, metrics, log, dialect=None):
        self.dialect = dialect or OwnDialect()
        self.bridge = bridge
        self.upstream = upstream
        self.metrics = metrics
        self.log = log
        self.id_prefix = f"{host}-{secrets.token_hex(4)}"

    def __call__(self, environ, start_response):
        """Answer one request."""
        token = self.bridge.new_token()
        if environ["PATH_INFO"] == self.dialect.ready_path:
            return self.answer_ready(token, start_response)
        return Exchange(self, token, environ, start_response).run()

    def answer_ready(self, token, start_response):
        """Tell the balancer whether this host takes callers."""
        code = self.bridge.ask(token, ReadinessAsked(token), LOOP_TIMEOUT_S)
        if code == "":
            start_response("200 OK", [("Content-Length", "3"), ("Content-Type", "text/plain")])
            return [b"ok\n"]
        answer = Answer(token, code or "internal-error", OUTCOME_NOT_RUN)
        return self.send_error(start_response, answer, [])

    def send_error(self, start_response, answer, extra):
        """Start an answer that is not an endpoint's and return its body."""
        status, headers, body = self.dialect.error(answer)
        headers = headers + extra
        if answer.close:
            headers.append(("Connection", "close"))
        start_response(status, headers)
        return [body]


class Exchange:
    """One caller's request and its answer."""

    __slots__ = (
        "app",
        "body",
        "endpoint",
        "environ",
        "headers",
        "request_id",
        "sent_s",
        "start",
        "target",
        "token",
    )

    def __init__(self, app, token, environ, start_response):
        self.app = app
        self.token = token
        self.environ = environ
        self.start = start_response
        self.endpoint = ""
        self.sent_s = 0.0
        self.target = app.dialect.target(environ)
        self.headers = read_headers(environ)
        self.body = open_body(environ)
        fallback = f"{app.id_prefix}-{token}"
        self.request_id = app.dialect.request_id(self.headers, fallback)

    def run(self):
        """Follow the loop's instructions until there is an answer."""
        try:
            if self.app.dialect.buffers_short_messages:
                self._read_short_body()
            event = self.app.dialect.arrival(
                self.token, self.request_id, self.environ, self.headers, self.body
            )
        except GreengageError as error:
            self.app.log(
                "bad-request",
                code=error.code,
                request_id=self.request_id,
                detail=error.detail,
            )
            return self._answer_error(
                Answer(self.token, error.code, OUTCOME_NOT_RUN, error.detail)
            )
        with self.app.metrics.time_head(self.app.dialect.service_label(event)):
            return self._follow(event)

    def _read_short_body(self):
        if self.body is None:
            return
        length = self.headers.get("content-length", "")
        if length.isdigit() and int(length) <= SHORT_BODY_BYTES:
            try:
                data = self.environ["wsgi.input"].read(int(length))
            except OSError as error:
                raise GreengageError("request-timeout", str(error)) from error
            if len(data) < int(length):
                raise GreengageError("request-timeout", "the body ended before its length")
            self.body = ShortBody(data)

    def _follow(self, event):
        while True:
            instruction = self.app.bridge.ask(self.token, event, LOOP_TIMEOUT_S)
            if instruction is None:
                self.app.log("loop-silent", code="internal-error", request_id=self.request_id)
                instruction = Answer(self.token, "internal-error", OUTCOME_UNKNOWN, "", True)
            if isinstance(instruction, Answer):
                return self._answer_error(instruction)
            result = self.attempt(instruction, {})
            if isinstance(result, AttemptFailed):
                event = result
                continue
            whole = None
            if self.app.dialect.buffers_short_messages and is_short(result):
                whole = self._read_short_answer(result)
                if whole is None:
                    event = AttemptFailed(self.token, REASON_LOST, True, False)
                    continue
            return self._relay(instruction, result, whole)

    def _read_short_answer(self, response):
        """Return the body of a short answer, or ``None`` if it broke off.

        Nothing has reached the caller yet, so that another endpoint may be asked.
        """
        try:
            return response.read(decode_content=False)
        except (HTTPError, OSError) as error:
            response.close()
            self.app.log(
                "answer-broken-off",
                request_id=self.request_id,
                detail=type(error).__name__,
                passed_bytes=0,
            )
            return None

    def attempt(self, forward, extra_headers):
        """Send the request to an endpoint.

        Args:
            forward: The ``Forward`` instruction.
            extra_headers: Headers that replace the caller's.

        Returns:
            A response whose body is unread, or an ``AttemptFailed`` event.
        """
        # With a body to read, a caller that goes away ends the reading.
        streams = self.body is not None and not self.body.is_whole
        watchable = None if streams else self.environ["greengage.descriptor"]
        attempt = Attempt(watchable)
        self.app.bridge.register_attempt(self.token, attempt)
        self.sent_s = time.monotonic()
        try:
            return self.app.upstream.send(
                forward,
                self.environ["REQUEST_METHOD"],
                self.target,
                self._headers_for(forward) | extra_headers,
                self.body,
                attempt,
                lambda response: self.app.dialect.failure_of(response, self.request_id),
            )
        finally:
            self.app.bridge.forget_attempt(self.token)
            watched = attempt.end()
            if watched is not None:
                self.app.bridge.unwatch_caller(watched)

    def _headers_for(self, forward):
        headers = self.app.dialect.outgoing_headers(self.headers, forward)
        if self.body is not None and "content-length" not in headers:
            headers["transfer-encoding"] = "chunked"
        return headers

    def _answer_error(self, answer):
        unread = self.body is not None and not self.body.is_whole
        if unread and not answer.close:
            # The rest of the body would be taken for the next request.
            answer = msgspec.structs.replace(answer, close=True)
        own = self.app.dialect.own_headers(self.request_id, self.endpoint)
        return self.app.send_error(self.start, answer, own)

    def _relay(self, forward, response, whole):
        self.endpoint = forward.endpoint
        took_s = time.monotonic() - self.sent_s
        if whole is None and is_long(response):
            self.app.bridge.post_lazily(AnswerBegan(self.token))
        received = response.headers
        dropped = self.app.dialect.dropped_from_answers
        if "Connection" in received:
            dropped = dropped | connection_options(received["Connection"])
        headers = [pair for pair in received.items() if pair[0].lower() not in dropped]
        headers += self.app.dialect.own_headers(self.request_id, self.endpoint)
        if forward.close:
            headers.append(("Connection", "close"))
        reason = response.reason or responses.get(response.status, "Unknown")
        self.start(f"{response.status} {reason}", headers)
        if whole is not None:
            return WholeBody(self, whole, took_s)
        return RelayedBody(self, response, took_s)


class WholeBody:
    """A short answer that has been read from the endpoint."""

    def __init__(self, exchange, data, took_s):
        self.exchange = exchange
        self.data = data
        self.took_s = took_s

    def __iter__(self):
        yield self.data

    def close(self):
        """Tell the loop that the request has ended."""
        ended = RequestEnded(self.exchange.token, True, self.took_s)
        self.exchange.app.bridge.post_lazily(ended)


class RelayedBody:
    """An endpoint's answer body on its way to the caller.

    If the endpoint breaks off, the rest is asked for by a range where that is
    possible. Otherwise the answer to the caller breaks off too: the error that is
    raised makes the server close the connection before the announced end.
    """

    def __init__(self, exchange, response, took_s):
        self.exchange = exchange
        self.response = response
        self.took_s = took_s
        self.span = None
        self.passed_bytes = 0
        self.complete = False

    def __iter__(self):
        while not self.complete:
            try:
                for chunk in self.response.stream(BODY_CHUNK_BYTES, decode_content=False):
                    self.passed_bytes += len(chunk)
                    yield chunk
                self.complete = True
            except (HTTPError, OSError) as error:
                self.response.close()
                rest = self._ask_for_rest(type(error).__name__)
                if rest is None:
                    raise
                self.response = rest

    def _ask_for_rest(self, reason):
        app, token = self.exchange.app, self.exchange.token
        app.log(
            "answer-broken-off",
            request_id=self.exchange.request_id,
            detail=reason,
            passed_bytes=self.passed_bytes,
        )
        if self.span is None:
            self.span = read_span(self.exchange.environ["REQUEST_METHOD"], self.response)
        event = AnswerBroken(token, self.span is not None)
        while True:
            instruction = app.bridge.ask(token, event, LOOP_TIMEOUT_S)
            if not isinstance(instruction, Forward):
                return None
            extra = self.span.rest_headers(self.passed_bytes)
            result = self.exchange.attempt(instruction, extra)
            if isinstance(result, AttemptFailed):
                event = result
            elif self.span.is_continued_by(result, self.passed_bytes):
                return result
            else:
                result.close()
                return None

    def close(self):
        """Return or close the connection, and tell the loop."""
        if self.complete:
            self.response.release_conn()
        else:
            # What is left unread must never reach another request.
            self.response.close()
        ended = RequestEnded(self.exchange.token, self.complete, self.took_s)
        self.exchange.app.bridge.post_lazily(ended)


def is_short(response):
    """Return whether an answer is read as a whole before any of it is passed on."""
    length = response.headers.get("Content-Length", "")
    return length.isdigit() and int(length) <= SHORT_BODY_BYTES


def is_long(response):
    """Return whether an answer's end may come long after its head."""
    length = response.headers.get("Content-Length", "")
    return not length.isdigit() or int(length) > BODY_CHUNK_BYTES


def read_headers(environ):
    """Return the request's headers with lower-case names."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name, key in (("content-type", "CONTENT_TYPE"), ("content-length", "CONTENT_LENGTH")):
        if key in environ:
            headers[name] = environ[key]
    return headers


def open_body(environ):
    """Return a ``CallerBody``, or ``None`` if the request has no body."""
    length = environ.get("CONTENT_LENGTH", "")
    if environ["wsgi.input_terminated"] or length not in ("", "0"):
        return CallerBody(environ["wsgi.input"])
    return None


def connection_options(value):
    """Return the header names that a ``Connection`` header lists."""
    return {name.strip().lower() for name in value.split(",") if name.strip()}
