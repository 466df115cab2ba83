"""Routing of callers' requests to endpoints."""

from greengagerock.routing.choice import choose_endpoint
from greengagerock.routing.failures import is_certainly_not_run
from greengagerock.routing.requests import InFlightRequest, RequestRegistry, parse_timeout_s
from greengagerock.routing.router import Router
from greengagerock.routing.stats import RouterStats

__all__ = [
    "InFlightRequest",
    "RequestRegistry",
    "Router",
    "RouterStats",
    "choose_endpoint",
    "is_certainly_not_run",
    "parse_timeout_s",
]
