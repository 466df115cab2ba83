"""Builders of configuration items and endpoint reports for tests."""

from greengagerock.assignment import EndpointReport
from greengagerock.items import (
    CallerLimits,
    KeyedRules,
    Patch,
    RouteItem,
    ServiceItem,
    WeightedService,
)


def build_route(name="balance", version=1, weighted_services=(("till", 1),), **fields):
    """Return a route; ``weighted_services`` are pairs of service name and weight."""
    values = {
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": "safe",
        "timeout_s": 1.0,
        "objective_s": 0.3,
        "priority": 1,
        "attempts": 2,
    } | fields
    return RouteItem(
        name,
        version,
        weighted_services=tuple(
            WeightedService(*weighted_service) for weighted_service in weighted_services
        ),
        **values,
    )


def build_service(name="till", version=1, keyed=True, warm_up=None):
    """Return a service with or without keys."""
    rules = KeyedRules(2.0) if keyed else None
    return ServiceItem(name, version, "/health", 100, rules, warm_up=warm_up)


def build_limits(version=1):
    """Return limits on callers' requests and connections."""
    return CallerLimits(version, 16_384, 1_048_576, 3.0, 15.0)


def build_first_patch(warm_up=None, **route_fields):
    """Return a patch with a keyed service, an unkeyed service, and routes to both."""
    return Patch(
        routes=(
            build_route("balance", **route_fields),
            build_route("charge", kind="unsafe", **route_fields),
            build_route("prices", weighted_services=(("docs", 1),), **route_fields),
        ),
        services=(
            build_service(warm_up=warm_up),
            build_service("docs", keyed=False, warm_up=warm_up),
        ),
        limits=build_limits(),
    )


def build_report(name, sequence=1, number=1, **fields):
    """Return a report of an endpoint; ``number`` is the last byte of its address."""
    values = {
        "started_ms": 1000,
        "address": f"10.0.1.{number}:80",
        "service": "till",
        "zone": "zone-1",
        "slots": 3,
    } | fields
    return EndpointReport(name, sequence=sequence, **values)
