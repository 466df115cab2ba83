"""Execution of queries on the replicated state."""

from collections import Counter

from greengagerock.control.queries import query_types
from greengagerock.control.queries.imbalance import slot_imbalance
from greengagerock.control.queries.table import Table
from greengagerock.core import GreengageError
from greengagerock.model import STATE_LOST, HeaderKey, NoKey, PathKey, QueryKey

MICROSECONDS_PER_SECOND = 1_000_000


class QueryContext:
    """The data available to queries.

    Attributes:
        state: The replicated state.
        zone_monitors: The leader's ``ZoneMonitor`` objects by zone.
        membership: Voters and learner.
        leader: Host name of the leader.
        now_us: Wall-clock time in microseconds, at which the queried periods end.
    """

    __slots__ = ("leader", "membership", "now_us", "state", "zone_monitors")

    def __init__(self, state, zone_monitors, membership, leader, now_us):
        self.state = state
        self.zone_monitors = zone_monitors
        self.membership = membership
        self.leader = leader
        self.now_us = now_us


def execute_query(query, context):
    """Execute a query.

    Args:
        query: One of the query objects.
        context: A ``QueryContext``.

    Returns:
        A ``Table``.

    Raises:
        GreengageError: ``unknown-name`` if the query names something that does not exist.
    """
    match query:
        case query_types.ShowOwner(key, service):
            return _owner_table(context, key, service)
        case query_types.ShowServices():
            return _services_table(context)
        case query_types.ShowEndpoints(service):
            return _endpoints_table(context, service)
        case query_types.ShowSlots(endpoint):
            return _slots_table(context, endpoint)
        case query_types.ShowImbalance(service):
            return _imbalance_table(context, service)
        case query_types.ShowMoves(service, since_s):
            return _moves_table(context, service, since_s)
        case query_types.ShowChurn(since_s):
            return _churn_table(context, since_s)
        case query_types.ShowChanges(since_s):
            return _changes_table(context, since_s)
        case query_types.ShowBans():
            return _bans_table(context)
        case query_types.ShowPins():
            return _pins_table(context)
        case query_types.ShowTransfers():
            return _transfers_table(context)
        case query_types.ShowHealth():
            return _health_table(context)
        case query_types.ShowZones():
            return _zones_table(context)
        case query_types.ShowHosts():
            return _hosts_table(context)
        case query_types.ShowVoters():
            return _voters_table(context)


def describe_key_rule(rule):
    """Return a key rule in the syntax of operators' statements."""
    match rule:
        case NoKey():
            return "without key"
        case PathKey(segment):
            return f"path segment {segment}"
        case HeaderKey(name):
            return f"header {name}"
        case QueryKey(name):
            return f"query {name}"


def _service(context, name):
    services = context.state.routes.services
    if name not in services:
        service_names = ", ".join(sorted(services)) or "none"
        raise GreengageError(
            "unknown-name", f"no service is named {name!r}; there are: {service_names}"
        )
    return services[name]


def _selected_services(context, name):
    if name:
        return [_service(context, name)]
    return [service for _, service in sorted(context.state.routes.services.items())]


def _owner_table(context, key, service_name):
    service = _service(context, service_name)
    if not service.keyed:
        raise GreengageError("invalid-value", f"service {service_name!r} has no keys")
    routes = context.state.routes
    unit = routes.unit_of(service, key)
    owner = routes.owner_of(unit)
    endpoint = routes.endpoints.get(owner.endpoint)
    zone = endpoint.zone if endpoint else ""
    columns = ("key", "service", "slot", "pinned", "endpoint", "availability_zone", "fence")
    row = (key, service_name, unit.slot, bool(unit.key), owner.endpoint, zone, owner.fence)
    return Table(columns, (row,))


def _services_table(context):
    columns = (
        "service",
        "key",
        "slots",
        "cut_hold_s",
        "timeout_s",
        "churn_weight",
        "max_load_percent",
        "moves_per_hour",
    )
    rows = tuple(
        (
            s.name,
            describe_key_rule(s.key_rule),
            s.slots,
            s.cut_hold_s,
            s.timeout_s,
            s.churn_weight,
            s.max_load_percent,
            s.moves_per_hour,
        )
        for s in _selected_services(context, "")
    )
    return Table(columns, rows)


def _endpoints_table(context, service_name):
    if service_name:
        _service(context, service_name)
    routes = context.state.routes
    columns = ("endpoint", "service", "availability_zone", "address", "state", "units")
    columns += ("concurrency", "checks_orders", "incarnation")
    rows = tuple(
        (
            e.name,
            e.service,
            e.zone,
            e.address,
            e.state,
            len(routes.units_of_endpoint(e.name)),
            e.concurrency,
            e.checks_orders,
            e.incarnation,
        )
        for _, e in sorted(routes.endpoints.items())
        if not service_name or e.service == service_name
    )
    return Table(columns, rows)


def _slots_table(context, endpoint):
    if endpoint not in context.state.routes.endpoints:
        raise GreengageError("unknown-name", f"no endpoint is named {endpoint!r}")
    owned = context.state.routes.units_of_endpoint(endpoint)
    rows = tuple((o.unit.service, o.unit.slot, o.unit.key, o.owner.fence) for o in owned)
    return Table(("service", "slot", "pinned_key", "fence"), rows)


def _imbalance_table(context, service_name):
    columns = ("service", "endpoints", "units", "max_over_mean", "coefficient_of_variation")
    rows = []
    for service in _selected_services(context, service_name):
        if service.keyed:
            imbalance = slot_imbalance(context.state.routes, service.name)
            rows.append(
                (
                    service.name,
                    imbalance.endpoints,
                    imbalance.units,
                    round(imbalance.max_over_mean, 4),
                    round(imbalance.variation, 4),
                )
            )
    return Table(columns, tuple(rows))


def _since_us(context, since_s):
    return context.now_us - int(since_s * MICROSECONDS_PER_SECOND) if since_s else 0


def _recent_moves(context, since_s):
    since_us = _since_us(context, since_s)
    return [move for move in context.state.moves if move.at_us >= since_us]


def _moves_table(context, service_name, since_s):
    if service_name:
        _service(context, service_name)
    rows = tuple(
        (m.at_us, m.unit.service, m.unit.label, m.source, m.target, m.cause)
        for m in _recent_moves(context, since_s)
        if not service_name or m.unit.service == service_name
    )
    return Table(("at_us", "service", "unit", "from", "to", "cause"), rows)


def _churn_table(context, since_s):
    counts = Counter((m.unit.service, m.cause) for m in _recent_moves(context, since_s))
    rows = tuple((service, cause, n) for (service, cause), n in sorted(counts.items()))
    return Table(("service", "cause", "moves"), rows)


def _changes_table(context, since_s):
    since_us = _since_us(context, since_s)
    rows = tuple(
        (c.version, c.at_us, c.author, c.text)
        for c in context.state.changes
        if c.at_us >= since_us
    )
    return Table(("version", "at_us", "author", "change"), rows)


def _bans_table(context):
    bans = context.state.routes.bans
    rows = tuple((b.fingerprint, b.service, b.request, b.since) for _, b in sorted(bans.items()))
    return Table(("fingerprint", "service", "request", "since"), rows)


def _pins_table(context):
    routes = context.state.routes
    rows = tuple(
        (unit.service, unit.key, unit.slot, owner.endpoint, owner.fence)
        for unit, owner in sorted(routes.pins.items())
    )
    return Table(("service", "key", "slot", "endpoint", "fence"), rows)


def _transfers_table(context):
    rows = tuple(
        (t.unit.service, t.unit.label, t.source, t.target, t.revoked_at, t.cause)
        for _, t in sorted(context.state.transfers.items())
    )
    return Table(("service", "unit", "from", "to", "revoked_at", "cause"), rows)


def _health_table(context):
    routes = context.state.routes
    rows = []
    for service in _selected_services(context, ""):
        endpoints = routes.endpoints_of(service.name)
        ready = sum(1 for e in endpoints if e.accepts_new_requests)
        lost = sum(1 for e in endpoints if e.state == STATE_LOST)
        owners = routes.owners.get(service.name, ())
        unowned_slots = sum(1 for owner in owners if not owner.endpoint)
        is_healthy = ready > 0 and unowned_slots == 0
        rows.append((service.name, is_healthy, ready, lost, len(endpoints), unowned_slots))
    columns = ("service", "healthy", "ready", "lost", "endpoints", "unowned_slots")
    return Table(columns, tuple(rows))


def _zones_table(context):
    rows = []
    for zone in context.state.zones():
        monitor = context.zone_monitors.get(zone)
        manager = context.state.lease_managers.get(zone)
        rows.append(
            (
                zone,
                manager.host if manager else "",
                manager.epoch if manager else 0,
                len(context.state.hosts_of_zone(zone)),
                monitor.acknowledged if monitor else 0,
                context.state.routes.version,
            )
        )
    columns = ("availability_zone", "keeper", "epoch", "hosts", "in_force", "current")
    return Table(columns, tuple(rows))


def _hosts_table(context):
    rows = tuple(
        (h.name, h.zone, h.region, h.address, h.operator_address, h.incarnation)
        for _, h in sorted(context.state.hosts.items())
    )
    columns = ("host", "availability_zone", "region", "address", "operator_address", "incarnation")
    return Table(columns, rows)


def _voters_table(context):
    rows = [
        (m.host, m.identity, "voter", m.host == context.leader) for m in context.membership.voters
    ]
    learner = context.membership.learner
    if learner:
        rows.append((learner.host, learner.identity, "learner", False))
    return Table(("host", "identity", "role", "leader"), tuple(rows))
