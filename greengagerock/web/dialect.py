"""The product's own names on the wire between callers, this host and endpoints."""

import re
from http.client import responses
from urllib.parse import urlsplit

from greengagerock.core import ERROR_KINDS
from greengagerock.core.seam import RequestArrived
from greengagerock.routing.failures import REASON_REFUSED
from greengagerock.web.server import error_body, error_headers

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}")
HOP_BY_HOP = frozenset(
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
REFUSED_HEADER = "Greengage-Refused"
OWN_PREFIX = "greengage-"


class OwnDialect:
    """Headers and paths of the product's own interface.

    A dialect translates; it decides nothing. Another one lets the same application
    serve callers of an infrastructure with other names.

    Attributes:
        ready_path: Path at which the balancer asks whether this host takes callers.
        dropped_from_answers: Lower-case names of headers that are not passed on.
        buffers_short_messages: Whether short bodies are read before a request is routed,
            and short answers before they are passed on.
    """

    ready_path = "/-/ready"
    dropped_from_answers = HOP_BY_HOP | {"greengage-request-id", "greengage-endpoint"}
    buffers_short_messages = False

    def request_id(self, headers, fallback):
        """Return the caller's id of the request, or ``fallback`` if there is none."""
        given = headers.get("greengage-request-id", "")
        return given if REQUEST_ID_PATTERN.fullmatch(given) else fallback

    def target(self, environ):
        """Return the path and query to ask an endpoint for."""
        _, path, query = split_uri(origin_form(environ["REQUEST_URI"]))
        return f"{path}?{query}" if query else path

    def arrival(self, token, request_id, environ, headers, body):
        """Return the event that tells the decision core of the request.

        Args:
            token: The request's token.
            request_id: Its id.
            environ: The WSGI environment.
            headers: Its headers with lower-case names.
            body: Its body, or ``None``.

        Raises:
            GreengageError: If the request cannot be understood.
        """
        service, path, query = split_uri(origin_form(environ["REQUEST_URI"]))
        return RequestArrived(
            token, request_id, service, environ["REQUEST_METHOD"], path, query, headers
        )

    def service_label(self, event):
        """Return the name under which the request's time is counted."""
        return event.service

    def outgoing_headers(self, headers, forward):
        """Return the headers to send to an endpoint, without the framing of the body."""
        sent = {
            name: value
            for name, value in headers.items()
            if name not in HOP_BY_HOP and not name.startswith(OWN_PREFIX)
        }
        sent["via"] = append_via(headers.get("via"))
        sent.update(forward.headers)
        return sent

    def failure_of(self, response, request_id):
        """Return why an endpoint's answer is not one, or ``None`` if it can be passed on."""
        return REASON_REFUSED if REFUSED_HEADER in response.headers else None

    def own_headers(self, request_id, endpoint):
        """Return the headers that this host adds to an answer."""
        own = [("Greengage-Request-Id", request_id)]
        if endpoint:
            own.append(("Greengage-Endpoint", endpoint))
        return own

    def error(self, answer):
        """Return status line, headers and body of an answer that is not an endpoint's."""
        status = ERROR_KINDS[answer.code].http_status
        body = error_body(answer.code, answer.outcome, answer.detail)
        headers = error_headers(answer.code, answer.outcome, body)
        return f"{status} {responses[status]}", headers, body


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


def append_via(value):
    """Return the ``Via`` header with this hop added."""
    return f"{value}, 1.1 greengagerock" if value else "1.1 greengagerock"
