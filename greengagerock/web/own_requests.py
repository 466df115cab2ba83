"""The requests that a host answers by itself, by the purpose of the address.

A request that is not listed for its address is a caller's request on the address for callers and
on that for other routers, and is not served on any other one. The address for endpoints and
operators has a table of its own, the ``parse_call`` of its dialect.
"""

import msgspec

from greengagerock.core import ERROR_KINDS, OUTCOME_NOT_RUN
from greengagerock.web.native_dialect import origin_form

CALLERS = "callers"
READINESS = "readiness"
# One address for callers and for the readiness check, whose path callers cannot use then.
CALLERS_AND_READINESS = "callers-and-readiness"
RELAY = "relay"
METRICS = "metrics"

READINESS_CHECK = "readiness-check"
METRICS_PAGE = "metrics-page"

METRICS_PATH = "/metrics"

_KINDS_BY_PURPOSE = {
    CALLERS: (),
    READINESS: (READINESS_CHECK,),
    CALLERS_AND_READINESS: (READINESS_CHECK,),
    RELAY: (),
    METRICS: (METRICS_PAGE,),
}


def own_requests(purpose, ready_path):
    """Return what a host answers by itself on an address, by method and path.

    Paths are compared as they are sent, without their query: a percent-encoded letter makes
    another path.

    Args:
        purpose: Purpose of the address, one of the constants of this module.
        ready_path: Path of the readiness check.

    Examples:
        >>> own_requests(CALLERS, "/-/ready")
        {}
        >>> own_requests(METRICS, "/-/ready")
        {('GET', '/metrics'): 'metrics-page'}
    """
    path_by_kind = {READINESS_CHECK: ready_path, METRICS_PAGE: METRICS_PATH}
    return {("GET", path_by_kind[kind]): kind for kind in _KINDS_BY_PURPOSE[purpose]}


class OwnRequests:
    """Finds the function that answers a request on one address.

    Args:
        purpose: Purpose of the address.
        ready_path: Path of the readiness check.
        answers: WSGI applications by the kind of request that they answer.
    """

    __slots__ = ("applications",)

    def __init__(self, purpose, ready_path, answers):
        kinds = own_requests(purpose, ready_path)
        self.applications = {request: answers[kind] for request, kind in kinds.items()}

    def find(self, environ):
        """Return the WSGI application that answers a request, or ``None``."""
        if not self.applications:
            return None
        path = origin_form(environ["REQUEST_URI"]).partition("?")[0]
        return self.applications.get((environ["REQUEST_METHOD"], path))


class OwnRequestsApplication:
    """The WSGI application of an address on which nothing else is served.

    Args:
        requests: The ``OwnRequests`` of the address.
    """

    __slots__ = ("requests",)

    def __init__(self, requests):
        self.requests = requests

    def __call__(self, environ, start_response):
        """Serve one request."""
        application = self.requests.find(environ)
        if application is not None:
            return application(environ, start_response)
        code = "unknown-name"
        body = msgspec.json.encode({"code": code, "outcome": OUTCOME_NOT_RUN})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(f"{ERROR_KINDS[code].http_status} Not Found", headers)
        return [body]
