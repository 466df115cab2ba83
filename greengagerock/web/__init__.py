"""HTTP servers for callers, endpoints and operators, and the HTTP client for endpoints."""

from greengagerock.web.caller_application import CallerApplication
from greengagerock.web.endpoint_handlers import EndpointRoot
from greengagerock.web.metrics import Metrics
from greengagerock.web.operator_handlers import OperatorRoot, make_application
from greengagerock.web.server import HttpServer, error_body, error_headers
from greengagerock.web.upstream import Upstream

__all__ = [
    "CallerApplication",
    "EndpointRoot",
    "HttpServer",
    "Metrics",
    "OperatorRoot",
    "Upstream",
    "error_body",
    "error_headers",
    "make_application",
]
