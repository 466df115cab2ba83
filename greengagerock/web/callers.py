"""The WSGI application for callers. It carries bytes and decides nothing."""

import re
import secrets
from http.client import responses
from urllib.parse import urlsplit

from urllib3.exceptions import HTTPError

from greengagerock.core import ERROR_KINDS, OUTCOME_UNKNOWN
from greengagerock.core.seam import (
    Answer,
    AnswerBegan,
    AnswerBroken,
    AttemptFailed,
    Forward,
    ReadinessAsked,
    RequestArrived,
    RequestEnded,
)
from greengagerock.web.resume import read_span
from greengagerock.web.server import error_body, error_headers
from greengagerock.web.upstream import BODY_CHUNK_BYTES, Attempt, CallerBody

READY_PATH = "/-/ready"
LOOP_TIMEOUT_S = 5.0
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}")

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_DROPPED_FROM_ANSWERS = _HOP_BY_HOP | {"greengage-request-id", "greengage-endpoint"}
_OWN_PREFIX = "greengage-"


class CallerApplication:
    """Serves callers on one port.

    Args:
        host: Name of this host, part of request ids.
        bridge: Where decisions come from.
        upstream: Connections to endpoints.
        metrics: The ``Metrics``.
        log: Callable that writes one log line.
    """

    def __init__(self, host, bridge, upstream, metrics, log):
        self.bridge = bridge
        self.upstream = upstream
        self.metrics = metrics
        self.log = log
        self.id_prefix = f"{host}-{secrets.token_hex(4)}"

    def __call__(self, environ, start_response):
        """Answer one request."""
        token = self.bridge.new_token()
        if environ["PATH_INFO"] == READY_PATH:
            return self._answer_ready(token, start_response)
        exchange = Exchange(self, token, environ, start_response)
        return exchange.run()

    def _answer_ready(self, token, start_response):
        code = self.bridge.ask(token, ReadinessAsked(token), LOOP_TIMEOUT_S)
        if code == "":
            start_response("200 OK", [("Content-Length", "3"), ("Content-Type", "text/plain")])
            return [b"ok\n"]
        return send_error(start_response, Answer(token, code or "internal-error", "not-run"), [])


def send_error(start_response, answer, extra):
    """Start an answer that is not an endpoint's and return its body."""
    status = ERROR_KINDS[answer.code].http_status
    body = error_body(answer.code, answer.outcome, answer.detail)
    headers = error_headers(answer.code, answer.outcome, body) + extra
    if answer.close:
        headers.append(("Connection", "close"))
    start_response(f"{status} {responses[status]}", headers)
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
        self.target = ""
        self.headers = read_headers(environ)
        self.body = open_body(environ)
        given = self.headers.get("greengage-request-id", "")
        fits = REQUEST_ID_PATTERN.fullmatch(given)
        self.request_id = given if fits else f"{app.id_prefix}-{token}"

    def run(self):
        """Follow the loop's instructions until there is an answer."""
        uri = origin_form(self.environ["REQUEST_URI"])
        service, path, query = split_uri(uri)
        event = RequestArrived(
            self.token,
            self.request_id,
            service,
            self.environ["REQUEST_METHOD"],
            path,
            query,
            self.headers,
        )
        self.target = f"{path}?{query}" if query else path
        with self.app.metrics.time_head(service):
            return self._follow(event)

    def _follow(self, event):
        while True:
            instruction = self.app.bridge.ask(self.token, event, LOOP_TIMEOUT_S)
            if instruction is None:
                instruction = Answer(self.token, "internal-error", OUTCOME_UNKNOWN, "", True)
            if isinstance(instruction, Answer):
                return self._answer_error(instruction)
            result = self.attempt(instruction, {})
            if not isinstance(result, AttemptFailed):
                return self._relay(instruction, result)
            event = result

    def attempt(self, forward, extra_headers):
        """Send the request to an endpoint.

        Args:
            forward: The ``Forward`` instruction.
            extra_headers: Headers that replace the caller's.

        Returns:
            A response whose body is unread, or an ``AttemptFailed`` event.
        """
        # With a body to read, a caller that goes away ends the reading.
        watchable = self.environ["greengage.descriptor"] if self.body is None else None
        attempt = Attempt(watchable)
        self.app.bridge.register_attempt(self.token, attempt)
        try:
            return self.app.upstream.send(
                forward,
                self.environ["REQUEST_METHOD"],
                self.target,
                self._headers_for(forward) | extra_headers,
                self.body,
                attempt,
            )
        finally:
            self.app.bridge.forget_attempt(self.token)
            watched = attempt.end()
            if watched is not None:
                self.app.bridge.unwatch_caller(watched)

    def _headers_for(self, forward):
        headers = {
            name: value
            for name, value in self.headers.items()
            if name not in _HOP_BY_HOP and not name.startswith(_OWN_PREFIX)
        }
        if self.body is not None and "content-length" not in headers:
            headers["transfer-encoding"] = "chunked"
        headers["via"] = append_via(headers.get("via"))
        headers.update(forward.headers)
        return headers

    def _own_headers(self):
        own = [("Greengage-Request-Id", self.request_id)]
        if self.endpoint:
            own.append(("Greengage-Endpoint", self.endpoint))
        return own

    def _answer_error(self, answer):
        unread = self.body is not None
        if unread and not answer.close:
            # The rest of the body would be taken for the next request.
            answer = Answer(answer.token, answer.code, answer.outcome, answer.detail, True)
        return send_error(self.start, answer, self._own_headers())

    def _relay(self, forward, response):
        self.endpoint = forward.endpoint
        if is_long(response):
            self.app.bridge.post_lazily(AnswerBegan(self.token))
        received = response.headers
        dropped = _DROPPED_FROM_ANSWERS
        if "Connection" in received:
            dropped = dropped | connection_options(received["Connection"])
        headers = [pair for pair in received.items() if pair[0].lower() not in dropped]
        headers += self._own_headers()
        if forward.close:
            headers.append(("Connection", "close"))
        reason = response.reason or responses.get(response.status, "Unknown")
        self.start(f"{response.status} {reason}", headers)
        return RelayedBody(self, response)


class RelayedBody:
    """An endpoint's answer body on its way to the caller.

    If the endpoint breaks off, the rest is asked for by a range where that is
    possible. Otherwise the answer to the caller breaks off too: the error that is
    raised makes the server close the connection before the announced end.
    """

    def __init__(self, exchange, response):
        self.exchange = exchange
        self.response = response
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
        self.exchange.app.bridge.post_lazily(RequestEnded(self.exchange.token, self.complete))


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


def origin_form(uri):
    """Return path and query of a request target.

    Examples:
        >>> origin_form("http://a/b?c")
        '/b?c'
    """
    if uri.startswith("/"):
        return uri
    parts = urlsplit(uri)
    path = parts.path or "/"
    return f"{path}?{parts.query}" if parts.query else path


def split_uri(uri):
    """Return service, path after it, and query.

    Examples:
        >>> split_uri("/till/cards/card-1?x=1")
        ('till', '/cards/card-1', 'x=1')
        >>> split_uri("/till")
        ('till', '/', '')
    """
    path, _, query = uri.partition("?")
    service, slash, rest = path[1:].partition("/")
    return service, slash + rest or "/", query


def connection_options(value):
    """Return the header names that a ``Connection`` header lists."""
    return {name.strip().lower() for name in value.split(",") if name.strip()}


def append_via(value):
    """Return the ``Via`` header with this hop added."""
    return f"{value}, 1.1 greengagerock" if value else "1.1 greengagerock"
