"""The native dialect: headers and paths between callers, this host and endpoints."""

import re
from http.client import responses
from urllib.parse import urlsplit

from greengagerock.core import ERROR_KINDS
from greengagerock.core.interface import RequestArrived
from greengagerock.routing.failures import REASON_CONNECTION_LOST, REASON_REFUSED
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
REQUEST_ID_HEADER = "greengage-request-id"
NATIVE_HEADER_PREFIX = "greengage-"


class NativeDialect:
    """Headers and paths of this project's own interface.

    A dialect only translates between HTTP and the events and effects of the decision core.
    With another dialect, the same application serves a platform that uses other names.

    Attributes:
        ready_path: Path of the load balancer's readiness check.
        dropped_response_headers: Lower-case names of endpoints' response headers that are not
            sent to the caller.
        buffers_short_bodies: Whether short request bodies are read before the request is routed,
            and short response bodies before any of the response is sent to the caller.
    """

    ready_path = "/-/ready"
    dropped_response_headers = HOP_BY_HOP | {REQUEST_ID_HEADER, "greengage-endpoint"}
    buffers_short_bodies = False

    def request_id(self, headers, fallback):
        """Return the caller's id of the request, or ``fallback`` if it is missing or malformed."""
        request_id = headers.get(REQUEST_ID_HEADER, "")
        return request_id if REQUEST_ID_PATTERN.fullmatch(request_id) else fallback

    def target(self, environ):
        """Return path and query for the endpoint: the service name is removed."""
        _, path, query = split_uri(origin_form(environ["REQUEST_URI"]))
        return f"{path}?{query}" if query else path

    def make_arrival_event(self, token, request_id, environ, headers, body):
        """Return the event that starts the request in the decision core.

        Args:
            token: The request's token.
            request_id: Id of the request.
            environ: The WSGI environment.
            headers: The request's headers with lower-case names.
            body: The request's body, or ``None``.

        Raises:
            GreengageError: If the request is malformed.
        """
        service, path, query = split_uri(origin_form(environ["REQUEST_URI"]))
        return RequestArrived(
            token, request_id, service, environ["REQUEST_METHOD"], path, query, headers
        )

    def service_label(self, event):
        """Return the ``service`` label of the request in the latency metric."""
        return event.service

    def outgoing_headers(self, headers, forward, request_id):
        """Return the headers to send to an endpoint, without ``Transfer-Encoding``."""
        outgoing = {
            name: value
            for name, value in headers.items()
            if name not in HOP_BY_HOP and not name.startswith(NATIVE_HEADER_PREFIX)
        }
        outgoing["via"] = append_via(headers.get("via"))
        outgoing.update(forward.headers)
        return outgoing

    def failure_reason(self, response, request_id):
        """Return why a response cannot be sent to the caller, or ``None`` if it can."""
        if response.headers.get(REQUEST_ID_HEADER, request_id) != request_id:
            # The response belongs to an earlier request on this connection.
            return REASON_CONNECTION_LOST
        return REASON_REFUSED if REFUSED_HEADER in response.headers else None

    def is_identified(self, response, headers):
        """Return whether a response may belong to the request; these endpoints need send no id."""
        return True

    def names_request(self, response):
        """Return whether a response says which request it belongs to."""
        return REQUEST_ID_HEADER in response.headers

    def read_notice(self, token, response, request_id, was_limited=False):
        """Return the ``EndpointNoticed`` event of a response, or ``None`` if it has no notice."""
        return None

    def added_headers(self, request_id, endpoint):
        """Return the headers that this host adds to a response."""
        own = [("Greengage-Request-Id", request_id)]
        if endpoint:
            own.append(("Greengage-Endpoint", endpoint))
        return own

    def encode_error(self, error_response):
        """Return status line, headers and body of an error response from this host."""
        status = ERROR_KINDS[error_response.code].http_status
        body = error_body(error_response.code, error_response.outcome, error_response.detail)
        headers = error_headers(error_response.code, error_response.outcome, body)
        return f"{status} {responses[status]}", headers, body


def origin_form(uri):
    """Return a request target in origin form: path and query without scheme and authority.

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
    """Split a request target into service name, remaining path and query.

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
    """Return the value of the ``Via`` header with this host appended."""
    return f"{value}, 1.1 greengagerock" if value else "1.1 greengagerock"
