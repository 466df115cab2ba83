"""Configuration items as immutable values."""

from typing import Literal

import msgspec

RequestKind = Literal["safe", "unsafe", "download"]

LIMITS_NAME = "limits"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the weights of the route's other services.
    """

    service: str
    weight: float


class RouteItem(msgspec.Struct, frozen=True, array_like=True):
    """The route of requests with one host and path prefix.

    Attributes:
        name: Name of the item.
        version: Version of the item.
        host: Value of the ``Host`` header.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may be repeated; ``unsafe`` requests run at most once.
        timeout_s: Longest time until a caller gets a response, in seconds.
        attempts: Largest number of endpoints that one request may be sent to.
        weighted_services: Services that share the requests.
        is_split: Whether the operator gave weighted services, rather than one service.
        objective_s: Latency objective in seconds, or ``None``.
        priority: Rank, or ``None``; 0 is the highest.
        sent_fields: Fields of the operator's notation that the other values do not reproduce, as
            a JSON object with ``null`` for omitted fields, or ``None`` if there are none.
    """

    name: str
    version: int
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    attempts: int
    weighted_services: tuple[WeightedService, ...]
    is_split: bool = False
    objective_s: float | None = None
    priority: int | None = None
    sent_fields: str | None = None

    @property
    def is_idempotent(self):
        """Whether requests of this route may run more than once."""
        return self.kind != "unsafe"


class KeyedRules(msgspec.Struct, frozen=True, array_like=True):
    """Rules for the keys of a service.

    Attributes:
        warm_up_s: How long requests of a key are slow at an endpoint that received the key
            without a handover, in seconds, or ``None`` if unknown.
        grant_location: Where endpoints receive their grants, in the operator's notation.
    """

    warm_up_s: float | None = None
    grant_location: str | None = None


class EndpointWarmUp(msgspec.Struct, frozen=True, array_like=True):
    """How long an endpoint is cold after its start, and how many requests it may get meanwhile.

    Attributes:
        duration_s: Usual length of the cold phase in seconds, or ``None`` if it was not given.
        requests_per_s: Requests per second that a cold endpoint takes from all routers together,
            or ``None`` if it was not given. A whole number stays one, so that it is returned as
            it was sent.
        duration_text: The duration in the operator's notation, or ``None``.

    Examples:
        >>> EndpointWarmUp(3.0, 3.5).limit_per_s, EndpointWarmUp(3.0).limit_per_s
        (3.5, 0.0)
    """

    duration_s: float | None = None
    requests_per_s: int | float | None = None
    duration_text: str | None = None

    @property
    def limit_per_s(self):
        """Requests per second of a cold endpoint, or 0 if they are not limited."""
        return float(self.requests_per_s or 0)


class ServiceItem(msgspec.Struct, frozen=True, array_like=True):
    """A service whose endpoints serve requests.

    Attributes:
        name: Name of the item.
        version: Version of the item.
        health_path: Path of the liveness check.
        max_connections: Connections that one endpoint accepts from all callers.
        keyed: Rules for keys, or ``None`` for a service without keys.
        protocol: Protocol that its endpoints speak, or ``None``.
        is_encrypted: Whether its endpoints expect TLS, or ``None``.
        warm_up: Treatment of cold endpoints, or ``None`` if they are treated as warm.
        sent_fields: As in a ``RouteItem``.
    """

    name: str
    version: int
    health_path: str
    max_connections: int
    keyed: KeyedRules | None = None
    protocol: str | None = None
    is_encrypted: bool | None = None
    warm_up: EndpointWarmUp | None = None
    sent_fields: str | None = None

    @property
    def cold_limit_per_s(self):
        """Requests per second of a cold endpoint, or 0 if they are not limited."""
        return 0.0 if self.warm_up is None else self.warm_up.limit_per_s


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits of callers' requests and connections.

    Attributes:
        version: Version of the item.
        header_bytes: Largest size of the request line with all headers, in bytes.
        body_bytes: Largest size of a request body, in bytes.
        header_timeout_s: Longest time until all headers are received, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in seconds.
        sent_fields: As in a ``RouteItem``.
    """

    version: int
    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
    sent_fields: str | None = None


class Removal(msgspec.Struct, frozen=True, array_like=True):
    """The removal of an item.

    Attributes:
        name: Name of the item.
        version: Version of the removal.
    """

    name: str
    version: int


class EvacuationOrder(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order that starts or ends the evacuation of an availability zone.

    Orders have no version: the newest entry of the log wins. An order that was held up on its way,
    so that its sender has long sent it again and then another one, is refused by ``seen_index``.

    Attributes:
        zone: Name of the availability zone.
        is_active: Whether the evacuation starts.
        seen_index: Log index of the last order for the zone that the controller had applied when
            it received this one, or ``None`` if that is not to be checked.
    """

    zone: str
    is_active: bool
    seen_index: int | None = None


class Patch(msgspec.Struct, frozen=True, array_like=True):
    """A change of several items that is accepted or refused as a whole.

    Attributes:
        routes: Routes to set; each replaces the whole route of that name.
        services: Services to set; each replaces the whole service of that name.
        limits: The new limits, or ``None`` to keep the current ones.
        removed_routes: Routes to remove.
        removed_services: Services to remove.
        evacuations: Evacuation orders, in the order in which they take effect.
    """

    routes: tuple[RouteItem, ...] = ()
    services: tuple[ServiceItem, ...] = ()
    limits: CallerLimits | None = None
    removed_routes: tuple[Removal, ...] = ()
    removed_services: tuple[Removal, ...] = ()
    evacuations: tuple[EvacuationOrder, ...] = ()

    def item_names(self):
        """Return the names of all items that the patch sets or removes.

        Examples:
            >>> Patch(removed_routes=(Removal("old", 7),)).item_names()
            ['old']
        """
        items = (*self.routes, *self.services, *self.removed_routes, *self.removed_services)
        names = [item.name for item in items]
        return [*names, LIMITS_NAME] if self.limits is not None else names


class Items(msgspec.Struct, frozen=True):
    """All items in effect.

    Attributes:
        routes: Routes by name.
        services: Services by name.
        limits: The limits, or ``None`` before the first patch.
        evacuations: Log index of the order that started the evacuation, by evacuated
            availability zone.
    """

    routes: dict[str, RouteItem] = {}
    services: dict[str, ServiceItem] = {}
    limits: CallerLimits | None = None
    evacuations: dict[str, int] = {}


def without_sent_fields(item):
    """Return an item as builds without ``sent_fields`` have it.

    Args:
        item: A ``RouteItem``, ``ServiceItem``, ``CallerLimits`` or ``None``.
    """
    if item is None or item.sent_fields is None:
        return item
    return msgspec.structs.replace(item, sent_fields=None)
