"""The replicated state: items with versions and tombstones."""

import msgspec
import xxhash

from greengagerock.core import GreengageError
from greengagerock.items.item import Items, Patch
from greengagerock.items.validity import check_patch

# Endpoints that left longest ago are forgotten first; they have ended by then.
REMEMBERED_LEAVERS = 1024
# Enough for the resends of hundreds of changes; each digest takes 8 bytes.
REMEMBERED_PATCHES = 4096

_encoder = msgspec.msgpack.Encoder()
_patch_decoder = msgspec.msgpack.Decoder(Patch)

# First byte of an entry's payload.
_PATCH = b"P"
_LEAVER = b"L"


class Leaver(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint whose leave was acknowledged.

    Attributes:
        endpoint: Its name.
        born_ms: Start of the life that ends.
    """

    endpoint: str
    born_ms: int


_leaver_decoder = msgspec.msgpack.Decoder(Leaver)


class PatchVerdict(msgspec.Struct, frozen=True):
    """What became of a patch.

    Attributes:
        code: Empty if it was accepted, else the error's code.
        detail: Why it was refused.
        changed: Names of the items that it changed.
    """

    code: str = ""
    detail: str = ""
    changed: tuple[str, ...] = ()


class StoredItems(msgspec.Struct, frozen=True):
    """The contents of a store, as they stand in a snapshot.

    Attributes:
        items: All items that stand.
        tombstones: Versions of removed items by kind and name.
        accepted: Digests of the newest accepted patches, oldest first.
        leavers: Starts of the lives of endpoints that leave, by name.
    """

    items: Items
    tombstones: dict[str, int]
    accepted: list[int]
    leavers: dict[str, int]


_stored_decoder = msgspec.msgpack.Decoder(StoredItems)


def encode_patch(patch):
    """Return the payload of a log entry that carries a patch."""
    return _PATCH + _encoder.encode(patch)


def encode_leaver(leaver):
    """Return the payload of a log entry that carries a ``Leaver``."""
    return _LEAVER + _encoder.encode(leaver)


class ItemStore:
    """The state machine of the replicated log for named items.

    For each name the highest version wins, whether it sets or removes the item. A
    patch is accepted or refused as a whole, in the order of the log, so that all
    voters agree. A patch that was accepted once is accepted again.

    Attributes:
        items: The ``Items`` that stand.
        revision: Log index of the last accepted patch that changed something.
        leavers: Starts of the lives of endpoints that leave, by name. They are kept here
            so that a new leader knows what its predecessor has acknowledged.

    Examples:
        >>> from greengagerock.items import Patch, ServiceItem
        >>> store = ItemStore()
        >>> patch = Patch(services=(ServiceItem("till", 3, "/health", 10),))
        >>> store.decide(patch).changed
        ('till',)
        >>> store.decide(patch).changed
        ()
    """

    def __init__(self):
        self.items = Items()
        self.tombstones = {}
        self.accepted = {}
        self.leavers = {}
        self.revision = 0
        self.on_verdict = lambda index, verdict: None
        self.on_leaver = lambda index, leaver: None
        self.on_load = lambda: None

    def apply(self, entry):
        """Carry out a committed entry of the log."""
        kind, data = entry.payload[:1], entry.payload[1:]
        if kind == _LEAVER:
            leaver = _leaver_decoder.decode(data)
            self._remember_leaver(leaver)
            self.on_leaver(entry.index, leaver)
            return
        verdict = self.decide(_patch_decoder.decode(data))
        if verdict.changed:
            self.revision = entry.index
        self.on_verdict(entry.index, verdict)

    def dump(self):
        """Return the encoded state."""
        return _encoder.encode(
            StoredItems(self.items, self.tombstones, list(self.accepted), self.leavers)
        )

    def load(self, data):
        """Replace the state by an encoded one."""
        stored = _stored_decoder.decode(data)
        self.items = stored.items
        self.tombstones = stored.tombstones
        self.accepted = dict.fromkeys(stored.accepted)
        self.leavers = stored.leavers
        self.on_load()

    def decide(self, patch):
        """Accept a patch and carry it out, or refuse it.

        Args:
            patch: The ``Patch``.

        Returns:
            A ``PatchVerdict``.
        """
        digest = xxhash.xxh64_intdigest(_encoder.encode(patch))
        if digest in self.accepted:
            return PatchVerdict()
        tombstones = dict(self.tombstones)
        resulting, changed = self._merge(patch, tombstones)
        try:
            check_patch(patch, self.items, resulting)
        except GreengageError as error:
            return PatchVerdict(error.code, error.detail)
        self.items = resulting
        self.tombstones = tombstones
        self._remember(digest)
        return PatchVerdict(changed=tuple(changed))

    def _remember_leaver(self, leaver):
        self.leavers.pop(leaver.endpoint, None)
        self.leavers[leaver.endpoint] = leaver.born_ms
        if len(self.leavers) > REMEMBERED_LEAVERS:
            self.leavers.pop(next(iter(self.leavers)))

    def _remember(self, digest):
        self.accepted[digest] = None
        if len(self.accepted) > REMEMBERED_PATCHES:
            self.accepted.pop(next(iter(self.accepted)))

    def _merge(self, patch, tombstones):
        """Return the items after a patch and the names that it changes."""
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
        return Items(routes, services, limits), changed

    def _merge_kind(self, kind, standing, upserts, removals, tombstones, changed):
        merged = dict(standing)
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
