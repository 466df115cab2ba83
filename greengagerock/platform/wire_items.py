"""Wire format of configuration items: tables of columns and rows.

An item is listed as it was sent. What its values do not reproduce, such as another notation of a
duration, a field without an effect or one that this version does not have, is kept beside them in
``sent_fields``.
"""

import msgspec

from greengagerock.core import GreengageError
from greengagerock.core.decoding import MALFORMED_INPUT, Integer
from greengagerock.items import (
    CallerLimits,
    EndpointWarmUp,
    KeyedRules,
    Patch,
    Removal,
    RequestKind,
    RouteItem,
    ServiceItem,
    WeightedService,
)
from greengagerock.items.value_checks import check_values
from greengagerock.platform.durations import format_duration, parse_duration

# Largest request rate of an item. JSON has integers of any length, the log those of 64 bits.
MAX_RATE_PER_S = 1_000_000_000


class WireWeightedService(msgspec.Struct):
    """A service that receives a share of a route's requests."""

    service: str
    weight: Integer | float


class WireRoute(msgspec.Struct, rename="kebab"):
    """A route.

    Attributes:
        name: Name of the item.
        host: ``Host`` header of the requests.
        path_prefix: Path prefix of the requests.
        type: Which requests may be repeated.
        timeout: Maximum time until the response to a caller.
        max_attempts: Maximum number of endpoints to which one request may be sent.
        version: Version of the item.
        target_latency: Latency objective.
        priority: Priority; 0 is the highest.
        service: The only service, unless ``traffic_split`` is given.
        traffic_split: Services among which the requests are divided.
    """

    name: str
    host: str
    path_prefix: str
    type: RequestKind
    timeout: str
    max_attempts: Integer
    version: Integer
    target_latency: str | None = None
    priority: Integer | None = None
    service: str | None = None
    traffic_split: list[WireWeightedService] | None = None


class WireService(msgspec.Struct, rename="kebab"):
    """A service.

    Attributes:
        name: Name of the item.
        health_path: Path of the liveness check.
        max_conns: Maximum number of connections that one endpoint accepts in total.
        version: Version of the item.
        protocol: Protocol of its endpoints.
        tls: Whether its endpoints require TLS.
        sharded: Whether its endpoints own keys exclusively.
        warm: Duration for which requests of a key are slow at an endpoint that received the key
            without a handover.
        grants: Where endpoints receive their grants, for example ``heartbeat``.
        warmup: Duration for which an endpoint is cold after its start.
        warmup_per_s: Requests per second that a cold endpoint takes from all hosts together.
    """

    name: str
    health_path: str
    max_conns: Integer
    version: Integer
    protocol: str | None = None
    tls: bool | None = None
    sharded: bool | None = None
    warm: str | None = None
    grants: str | None = None
    warmup: str | None = None
    warmup_per_s: int | float | None = None


class WireLimits(msgspec.Struct, rename="kebab"):
    """Limits of callers' connections and requests."""

    max_header_bytes: Integer
    max_body_bytes: Integer
    header_timeout: str
    idle_timeout: str
    version: Integer


class WireTable(msgspec.Struct):
    """Records as rows; ``None`` in a row means that the record omits the field."""

    columns: list[str]
    rows: list[list[object]]


class WireSet(msgspec.Struct, omit_defaults=True):
    """Complete items: to create or replace in a patch, or all items in a listing."""

    routes: WireTable | None = None
    services: WireTable | None = None
    limits: dict[str, object] | None = None


class WireRemoval(msgspec.Struct):
    """An item to remove."""

    name: str
    version: Integer


class WireRemovals(msgspec.Struct):
    """Items to remove."""

    routes: list[WireRemoval] = []
    services: list[WireRemoval] = []


class WirePatch(msgspec.Struct):
    """A change: items to set and items to remove."""

    upsert: WireSet = msgspec.field(default_factory=WireSet)
    remove: WireRemovals = msgspec.field(default_factory=WireRemovals)


def decode_patch(data):
    """Decode the body of a ``Patch``.

    Raises:
        GreengageError: ``invalid-item`` if any part of the body is malformed or out of range.
    """
    try:
        wire = msgspec.json.decode(data, type=WirePatch)
        patch = Patch(
            _read_table(wire.upsert.routes, WireRoute, _read_route, _write_route),
            _read_table(wire.upsert.services, WireService, _read_service, _write_service),
            _read_limits(wire.upsert.limits),
            tuple(Removal(r.name, r.version) for r in wire.remove.routes),
            tuple(Removal(r.name, r.version) for r in wire.remove.services),
        )
    except (*MALFORMED_INPUT, GreengageError) as error:
        raise GreengageError("invalid-item", str(error)) from error
    check_values(patch)
    return patch


def encode_items(items):
    """Return the body that lists all current items."""
    return msgspec.json.encode(
        WireSet(
            _make_table(WireRoute, items.routes.values(), _write_route),
            _make_table(WireService, items.services.values(), _write_service),
            items.limits and _list_fields(items.limits, _write_limits),
        )
    )


def _read_table(table, record_type, read, write):
    """Return the items of a table.

    Args:
        table: The ``WireTable``, or ``None``.
        record_type: Type of its records.
        read: Function that converts a record to an item.
        write: Function that converts an item to a record.
    """
    if table is None:
        return ()
    if len(set(table.columns)) < len(table.columns):
        raise GreengageError("invalid-item", "a column name is repeated")
    items = []
    for row in table.rows:
        if len(row) != len(table.columns):
            raise GreengageError(
                "invalid-item", f"row has {len(row)} values for {len(table.columns)} columns"
            )
        fields = _drop_omitted(dict(zip(table.columns, row, strict=True)))
        item = read(msgspec.convert(fields, record_type))
        items.append(_keep_sent_fields(item, fields, write))
    return tuple(items)


def _keep_sent_fields(item, sent, write):
    """Return an item that has the sent fields which its values do not reproduce."""
    written = _drop_omitted(msgspec.to_builtins(write(item)))
    names = sorted(sent.keys() | written.keys())
    differing = {name: sent.get(name) for name in names if sent.get(name) != written.get(name)}
    if not differing:
        return item
    return msgspec.structs.replace(item, sent_fields=msgspec.json.encode(differing).decode())


def _list_fields(item, write):
    """Return the fields of an item as they were sent."""
    fields = msgspec.to_builtins(write(item))
    if item.sent_fields is not None:
        fields |= msgspec.json.decode(item.sent_fields)
    return _drop_omitted(fields)


def _drop_omitted(fields):
    return {name: value for name, value in fields.items() if value is not None}


def _make_table(record_type, items, write):
    records = [_list_fields(item, write) for item in items]
    known = [field.encode_name for field in msgspec.structs.fields(record_type)]
    columns = list(dict.fromkeys([*known, *(name for record in records for name in record)]))
    return WireTable(columns, [[record.get(name) for name in columns] for record in records])


def _read_route(wire):
    if (wire.service is None) == (wire.traffic_split is None):
        raise GreengageError(
            "invalid-item", f"{wire.name!r}: needs either a service or a traffic split"
        )
    if wire.traffic_split is None:
        weighted_services = (WeightedService(wire.service, 1.0),)
    else:
        weighted_services = tuple(
            WeightedService(wire_part.service, wire_part.weight)
            for wire_part in wire.traffic_split
        )
    return RouteItem(
        wire.name,
        wire.version,
        wire.host,
        wire.path_prefix,
        wire.type,
        parse_duration(wire.timeout),
        wire.max_attempts,
        weighted_services,
        wire.traffic_split is not None,
        None if wire.target_latency is None else parse_duration(wire.target_latency),
        wire.priority,
    )


def _write_route(route):
    split = None
    if route.is_split:
        split = [
            WireWeightedService(
                weighted_service.service, _integer_if_whole(weighted_service.weight)
            )
            for weighted_service in route.weighted_services
        ]
    return WireRoute(
        route.name,
        route.host,
        route.prefix,
        route.kind,
        format_duration(route.timeout_s),
        route.attempts,
        route.version,
        None if route.objective_s is None else format_duration(route.objective_s),
        route.priority,
        None if route.is_split else route.weighted_services[0].service,
        split,
    )


def _read_service(wire):
    keyed = None
    if wire.sharded:
        warm_up_s = None if wire.warm is None else parse_duration(wire.warm)
        keyed = KeyedRules(warm_up_s, wire.grants)
    return ServiceItem(
        wire.name,
        wire.version,
        wire.health_path,
        wire.max_conns,
        keyed,
        wire.protocol,
        wire.tls,
        _read_warm_up(wire),
    )


def _read_warm_up(wire):
    if wire.warmup is None and wire.warmup_per_s is None:
        return None
    if abs(wire.warmup_per_s or 0) > MAX_RATE_PER_S:
        raise GreengageError("invalid-item", f"{wire.name!r}: the warm-up rate is out of range")
    duration_s = None if wire.warmup is None else parse_duration(wire.warmup)
    return EndpointWarmUp(duration_s, wire.warmup_per_s, wire.warmup)


def _write_service(service):
    keyed = service.keyed
    warm_up_s = keyed.warm_up_s if keyed else None
    return WireService(
        service.name,
        service.health_path,
        service.max_connections,
        service.version,
        service.protocol,
        service.is_encrypted,
        True if keyed else None,
        None if warm_up_s is None else format_duration(warm_up_s),
        keyed.grant_location if keyed else None,
        _write_warm_up_duration(service.warm_up),
        None if service.warm_up is None else service.warm_up.requests_per_s,
    )


def _write_warm_up_duration(warm_up):
    if warm_up is None or warm_up.duration_s is None:
        return None
    return warm_up.duration_text or format_duration(warm_up.duration_s)


def _read_limits(fields):
    if fields is None:
        return None
    wire = msgspec.convert(fields, WireLimits)
    limits = CallerLimits(
        wire.version,
        wire.max_header_bytes,
        wire.max_body_bytes,
        parse_duration(wire.header_timeout),
        parse_duration(wire.idle_timeout),
    )
    return _keep_sent_fields(limits, _drop_omitted(fields), _write_limits)


def _write_limits(limits):
    return WireLimits(
        limits.header_bytes,
        limits.body_bytes,
        format_duration(limits.header_timeout_s),
        format_duration(limits.idle_timeout_s),
        limits.version,
    )


def _integer_if_whole(number):
    return int(number) if float(number).is_integer() else number
