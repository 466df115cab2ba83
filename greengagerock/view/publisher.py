"""Keeps changes in order, so that a router is sent only what it lacks."""

from collections import deque

from greengagerock.items import Removal
from greengagerock.view.messages import HeldUnits, ItemsDelta, LiveDelta

# Beyond so many changes a router is sent everything.
MAX_OWNER_CHANGES = 40_000


class ItemsHistory:
    """Which log index changed each item last.

    Log indexes are the same at every controller, so a router goes on with deltas
    after a change of leader.

    Args:
        store: The ``ItemStore``.
    """

    def __init__(self, store):
        self.store = store
        self.changed_at = {}
        self.loaded_at = 0

    def note(self, index, names):
        """Note that the log entry at ``index`` changed the items ``names``."""
        for name in names:
            self.changed_at[name] = index

    def reset(self, index):
        """Note that the store was replaced by a snapshot."""
        self.changed_at = {}
        self.loaded_at = index

    @property
    def current_revision(self):
        """Log index of the last change."""
        return max(self.store.revision, self.loaded_at)

    def delta_since(self, revision):
        """Return an ``ItemsDelta``, or ``None`` if a router with ``revision`` lacks nothing."""
        store = self.store
        current = self.current_revision
        if revision >= current:
            return None
        items = store.items
        if revision < self.loaded_at or revision == 0:
            return ItemsDelta(
                0,
                current,
                True,
                tuple(items.routes.values()),
                tuple(items.services.values()),
                items.limits,
            )
        names = [name for name, index in self.changed_at.items() if index > revision]
        return ItemsDelta(
            revision,
            current,
            False,
            tuple(items.routes[name] for name in names if name in items.routes),
            tuple(items.services[name] for name in names if name in items.services),
            items.limits if "limits" in names else None,
            self._removals("route", names, items.routes),
            self._removals("service", names, items.services),
        )

    def _removals(self, kind, names, standing):
        tombstones = self.store.tombstones
        return tuple(
            Removal(name, tombstones[f"{kind}:{name}"])
            for name in names
            if name not in standing and f"{kind}:{name}" in tombstones
        )


class LiveHistory:
    """Changes of endpoints and holders in one leader's term.

    Args:
        epoch: The leader's term.

    Attributes:
        revision: Number of the last change.
        settled_revision: Change from which on the leader knows all endpoints; routers
            with an older one are sent everything.
    """

    def __init__(self, epoch):
        self.epoch = epoch
        self.revision = 0
        self.settled_revision = None
        self.endpoints = {}
        self.endpoint_changes = {}
        self.owners = {}
        self.owner_changes = deque()

    @property
    def current_revision(self):
        """Number of the last change."""
        return self.revision

    def set_endpoint(self, record):
        """Note a new or changed endpoint."""
        self.revision += 1
        self.endpoints[record.name] = record
        self.endpoint_changes[record.name] = self.revision

    def remove_endpoint(self, name):
        """Note that an endpoint is gone; routers may know it from an earlier leader."""
        self.endpoints.pop(name, None)
        self.revision += 1
        self.endpoint_changes[name] = self.revision

    def set_owner(self, service, unit, endpoint):
        """Note the holder of a unit; nothing happens if it is the same as before."""
        owners = self.owners.setdefault(service, {})
        if owners.get(unit) == endpoint:
            return
        owners[unit] = endpoint
        self.revision += 1
        self.owner_changes.append((self.revision, service, unit))
        if len(self.owner_changes) > MAX_OWNER_CHANGES:
            self.owner_changes.popleft()

    def settle(self):
        """From now on the leader knows everything that routers have to know."""
        self.revision += 1
        self.settled_revision = self.revision

    def delta_since(self, epoch, revision):
        """Return a ``LiveDelta`` for a router, or ``None`` if it lacks nothing."""
        if epoch != self.epoch:
            revision = 0
        if revision >= self.revision:
            return None
        settled = self.settled_revision is not None
        if settled and (revision < self.settled_revision or self._is_beyond(revision)):
            return self._everything(True)
        if revision == 0:
            return self._everything(settled)
        names = [name for name, at in self.endpoint_changes.items() if at > revision]
        changed = self._owners_since(revision)
        return LiveDelta(
            self.epoch,
            revision,
            self.revision,
            False,
            tuple(self.endpoints[name] for name in names if name in self.endpoints),
            tuple(name for name in names if name not in self.endpoints),
            group_owners((s, unit, self.owners[s][unit]) for s, unit in sorted(changed)),
        )

    def _owners_since(self, revision):
        changed = set()
        for at, service, unit in reversed(self.owner_changes):
            if at <= revision:
                break
            changed.add((service, unit))
        return changed

    def _is_beyond(self, revision):
        """Return whether changes that a router lacks are no longer kept."""
        if len(self.owner_changes) < MAX_OWNER_CHANGES:
            return False
        return self.owner_changes[0][0] > revision + 1

    def _everything(self, complete):
        owners = (
            (service, unit, endpoint)
            for service, units in sorted(self.owners.items())
            for unit, endpoint in sorted(units.items())
        )
        return LiveDelta(
            self.epoch,
            0,
            self.revision,
            complete,
            tuple(self.endpoints.values()),
            tuple(name for name in self.endpoint_changes if name not in self.endpoints),
            group_owners(owners),
        )


def group_owners(owners):
    """Return holders with their units, by service.

    Args:
        owners: Tuples of service, unit and endpoint, in order of the units.

    Examples:
        >>> owners = [("till", 0, "a"), ("till", 1, "a"), ("till", 2, "b"), ("till", 9, "a")]
        >>> [(held.endpoint, held.gaps_and_counts) for held in group_owners(owners)["till"]]
        [('a', (0, 2, 7, 1)), ('b', (2, 1))]
    """
    services = {}
    for service, unit, endpoint in owners:
        numbers, end = services.setdefault(service, {}).get(endpoint, ([], 0))
        if numbers and unit == end:
            numbers[-1] += 1
        else:
            numbers += (unit - end, 1)
        services[service][endpoint] = (numbers, unit + 1)
    return {
        service: tuple(HeldUnits(name, tuple(numbers)) for name, (numbers, _) in holders.items())
        for service, holders in services.items()
    }
