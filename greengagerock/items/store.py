"""The state machine of replicated items, with versions and tombstones."""

import msgspec
import xxhash

from greengagerock.core import GreengageError
from greengagerock.items.item import Items, Patch, without_sent_fields
from greengagerock.items.validation import check_patch

# The oldest leaves are discarded first; the endpoints have ended by then.
MAX_LEAVING_ENDPOINTS = 1024
# Enough to recognize resends of hundreds of changes; each digest takes 8 bytes.
MAX_ACCEPTED_DIGESTS = 4096
# Enough for the zones of many sites; the oldest order is forgotten first.
MAX_ORDERED_ZONES = 256

_encoder = msgspec.msgpack.Encoder()
_patch_decoder = msgspec.msgpack.Decoder(Patch)

# Number of fields of a ``Patch`` before ``evacuations``, and of items before the first optional
# field that a later build has added. Later fields without a value are not encoded, so that the
# digest of a patch equals that in snapshots of older builds, and a resent patch is recognised
# after an upgrade.
_ITEM_FIELD_COUNT = 5
_ROUTE_FIELD_COUNT = 11
_SERVICE_FIELD_COUNT = 7
_LIMITS_FIELD_COUNT = 5

# First byte of an entry's payload: the kind of the entry.
_PATCH = b"P"
_LEAVE = b"L"
# Prefix of the name by which a changed evacuation is listed among changed items.
_EVACUATION_NAME = "evacuation"


class LeaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """The acknowledged leave of an endpoint instance.

    Attributes:
        endpoint: Name of the endpoint.
        started_ms: Start of the instance that leaves, in milliseconds since 1970.
    """

    endpoint: str
    started_ms: int


_leave_decoder = msgspec.msgpack.Decoder(LeaveRecord)


class PatchResult(msgspec.Struct, frozen=True):
    """The result of a patch.

    Attributes:
        code: Empty if the patch was accepted, else an error code.
        detail: Reason of the refusal.
        changed: Names of the changed items.
    """

    code: str = ""
    detail: str = ""
    changed: tuple[str, ...] = ()


class StoredItems(msgspec.Struct, frozen=True):
    """The contents of an ``ItemStore`` in a snapshot.

    Attributes:
        items: All items in effect.
        tombstones: Versions of removed items by kind and name.
        accepted: Digests of the newest accepted patches, oldest first.
        leavers: Start of each endpoint instance that leaves, in milliseconds since 1970, by
            endpoint name.
        last_orders: Log index of the last order that started or ended an evacuation, by zone.
    """

    items: Items
    tombstones: dict[str, int]
    accepted: list[int]
    leavers: dict[str, int]
    last_orders: dict[str, int] = {}


_stored_decoder = msgspec.msgpack.Decoder(StoredItems)


def encode_patch(patch):
    """Return the payload of a log entry that carries a patch."""
    return _PATCH + (_encoder.encode(patch) if patch.evacuations else _encode_item_part(patch))


def digest_patch(patch):
    """Return the digest by which a patch is recognised when it is sent again.

    It equals that of the patch as it is read from the log, in which whole numbers of a field for
    fractions have become fractions.
    """
    return _digest_stored(_patch_decoder.decode(_encoder.encode(patch)))


def _digest_stored(patch):
    """Return the digest of a patch that was read from the log, equal in all builds."""
    limits = without_sent_fields(patch.limits)
    routes = tuple(map(without_sent_fields, patch.routes))
    services = tuple(map(without_sent_fields, patch.services))
    plain = msgspec.structs.replace(patch, routes=routes, services=services, limits=limits)
    return xxhash.xxh64_intdigest(_encode_item_part(plain))


def format_digest(digest):
    """Return the form of a digest in log lines.

    Examples:
        >>> format_digest(255)
        '00000000000000ff'
    """
    return f"{digest:016x}"


def encode_leave(leave):
    """Return the payload of a log entry that carries a ``LeaveRecord``."""
    return _LEAVE + _encoder.encode(leave)


def _encode_item_part(patch):
    """Return the encoding of a patch without its evacuation orders."""
    routes = tuple(_strip(route, _ROUTE_FIELD_COUNT) for route in patch.routes)
    services = tuple(_strip(service, _SERVICE_FIELD_COUNT) for service in patch.services)
    limits = patch.limits and _strip(patch.limits, _LIMITS_FIELD_COUNT)
    removals = msgspec.structs.astuple(patch)[3:_ITEM_FIELD_COUNT]
    return _encoder.encode((routes, services, limits, *removals))


def _strip(item, field_count):
    """Return the fields of an item without those after ``field_count`` that end it as ``None``."""
    fields = msgspec.structs.astuple(item)
    while len(fields) > field_count and fields[-1] is None:
        fields = fields[:-1]
    return fields


class ItemStore:
    """The state machine of the replicated log for named items.

    For each name the highest version wins, whether it sets or removes the item. A
    patch is accepted or refused as a whole, in the order of the log, so that all
    voters reach the same state. A resent patch that was accepted before is accepted
    again without a change. Evacuation orders have no versions and are never recognised as resent:
    the newest one for a zone wins.

    Attributes:
        items: The ``Items`` in effect.
        tombstones: Versions of removed items by kind and name.
        accepted: Digests of the newest accepted patches as keys, oldest first.
        leaving_endpoints: Start of each endpoint instance that leaves, in milliseconds
            since 1970, by endpoint name. It is replicated so that a new leader has the
            leaves that its predecessor acknowledged.
        last_orders: Log index of the last order that started or ended an evacuation, by zone.
        revision: Log index of the last accepted patch that changed an item; a snapshot does
            not contain it.
        applied_digest: Digest of the patch that was applied last, 0 for outdated orders.
        on_patch_result: Called with the log index and ``PatchResult`` of each patch.
        on_leave: Called with the log index and ``LeaveRecord`` of each leave.
        on_load: Called after a snapshot was loaded.

    Examples:
        >>> from greengagerock.items import Patch, ServiceItem
        >>> store = ItemStore()
        >>> patch = Patch(services=(ServiceItem("till", 3, "/health", 10),))
        >>> store.apply_patch(patch).changed
        ('till',)
        >>> store.apply_patch(patch).changed
        ()
    """

    def __init__(self):
        self.items = Items()
        self.tombstones = {}
        self.accepted = {}
        self.leaving_endpoints = {}
        self.last_orders = {}
        self.revision = 0
        self.applied_digest = 0
        self.on_patch_result = lambda index, result: None
        self.on_leave = lambda index, leave: None
        self.on_load = lambda: None

    def apply(self, entry):
        """Apply a committed entry of the log."""
        kind, data = entry.payload[:1], entry.payload[1:]
        if kind == _LEAVE:
            leave = _leave_decoder.decode(data)
            self._store_leave(leave)
            self.on_leave(entry.index, leave)
            return
        result = self.apply_patch(_patch_decoder.decode(data), entry.index)
        if result.changed:
            self.revision = entry.index
        self.on_patch_result(entry.index, result)

    def dump(self):
        """Return the encoded state."""
        return _encoder.encode(
            StoredItems(
                self.items,
                self.tombstones,
                list(self.accepted),
                self.leaving_endpoints,
                self.last_orders,
            )
        )

    def load(self, data):
        """Replace the state by an encoded one."""
        stored = _stored_decoder.decode(data)
        self.items = stored.items
        self.tombstones = stored.tombstones
        self.accepted = dict.fromkeys(stored.accepted)
        self.leaving_endpoints = stored.leavers
        self.last_orders = stored.last_orders
        self.on_load()

    def apply_patch(self, patch, index=0):
        """Accept and apply a patch, or refuse it.

        Args:
            patch: The ``Patch``.
            index: Log index of its entry.

        Returns:
            A ``PatchResult``.
        """
        self.applied_digest = 0
        for order in patch.evacuations:
            if self._is_outdated(order):
                detail = f"zone {order.zone!r}: a later order has overtaken this one"
                return PatchResult("not-ready", detail)
        digest = self.applied_digest = _digest_stored(patch)
        if digest in self.accepted:
            return PatchResult(changed=self._apply_orders(patch, index))
        tombstones = dict(self.tombstones)
        resulting, changed = self._merge(patch, tombstones)
        try:
            check_patch(patch, self.items, resulting)
        except GreengageError as error:
            return PatchResult(error.code, error.detail)
        self.items = resulting
        self.tombstones = tombstones
        self._store_digest(digest)
        return PatchResult(changed=(*changed, *self._apply_orders(patch, index)))

    def stamp_orders(self, patch):
        """Return a patch whose evacuation orders name the last orders that were applied here."""
        orders = tuple(
            msgspec.structs.replace(order, seen_index=self.last_orders.get(order.zone, 0))
            for order in patch.evacuations
        )
        return msgspec.structs.replace(patch, evacuations=orders)

    def _is_outdated(self, order):
        """Return whether an order would revert one that its sender sent later.

        Only an order that was received before the later one was applied lacks its index. If the
        sender still waits for a response, it sends the order again, with the newer index.
        """
        is_change = order.is_active != (order.zone in self.items.evacuations)
        seen_index = order.seen_index
        return (
            is_change
            and seen_index is not None
            and (seen_index < self.last_orders.get(order.zone, 0))
        )

    def _apply_orders(self, patch, index):
        """Apply the evacuation orders of a patch and return the names of those with an effect."""
        evacuations = dict(self.items.evacuations)
        changed = {}
        for order in patch.evacuations:
            if order.is_active == (order.zone in evacuations):
                continue
            if order.is_active:
                evacuations[order.zone] = index
            else:
                del evacuations[order.zone]
            self.last_orders.pop(order.zone, None)
            self.last_orders[order.zone] = index
            if len(self.last_orders) > MAX_ORDERED_ZONES:
                self.last_orders.pop(next(iter(self.last_orders)))
            changed[f"{_EVACUATION_NAME}:{order.zone}"] = None
        if changed:
            self.items = msgspec.structs.replace(self.items, evacuations=evacuations)
        return tuple(changed)

    def _store_leave(self, leave):
        self.leaving_endpoints.pop(leave.endpoint, None)
        self.leaving_endpoints[leave.endpoint] = leave.started_ms
        if len(self.leaving_endpoints) > MAX_LEAVING_ENDPOINTS:
            self.leaving_endpoints.pop(next(iter(self.leaving_endpoints)))

    def _store_digest(self, digest):
        self.accepted[digest] = None
        if len(self.accepted) > MAX_ACCEPTED_DIGESTS:
            self.accepted.pop(next(iter(self.accepted)))

    def _merge(self, patch, tombstones):
        """Return the items after a patch and the names of the changed items."""
        changed = []
        routes = self._merge_kind(
            "route", self.items.routes, patch.routes, patch.removed_routes, tombstones, changed
        )
        services = self._merge_kind(
            "service",
            self.items.services,
            patch.services,
            patch.removed_services,
            tombstones,
            changed,
        )
        limits = self.items.limits
        if patch.limits and (limits is None or patch.limits.version > limits.version):
            limits = patch.limits
            changed.append("limits")
        return Items(routes, services, limits, self.items.evacuations), changed

    def _merge_kind(self, kind, current, upserts, removals, tombstones, changed):
        merged = dict(current)
        for item in upserts:
            if item.version > self._version_of(kind, item.name, merged, tombstones):
                merged[item.name] = item
                tombstones.pop(f"{kind}:{item.name}", None)
                changed.append(item.name)
        for removal in removals:
            if removal.version > self._version_of(kind, removal.name, merged, tombstones):
                merged.pop(removal.name, None)
                tombstones[f"{kind}:{removal.name}"] = removal.version
                changed.append(removal.name)
        return merged

    def _version_of(self, kind, name, merged, tombstones):
        if name in merged:
            return merged[name].version
        return tombstones.get(f"{kind}:{name}", -1)
