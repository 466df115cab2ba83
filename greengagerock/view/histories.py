"""Histories of changes, from which the leader sends each router only the changes it needs."""

from collections import deque

from greengagerock.items import Removal, without_sent_fields
from greengagerock.view.messages import EndpointsDelta, ItemsDelta, OwnedUnitRanges

# Number of owner changes that are kept; a router that needs older ones gets a full delta.
MAX_OWNER_CHANGES = 40_000


class ItemsHistory:
    """Log index of the last change of each item.

    Log indexes are the same at every controller, so deltas remain valid for a router after a
    change of leader.

    Args:
        store: The ``ItemStore``.

    Attributes:
        change_indexes: Log index of the last change by item name, since the last snapshot.
        snapshot_index: Log index of the snapshot that the store was loaded from, or 0.
    """

    def __init__(self, store):
        self.store = store
        self.change_indexes = {}
        self.snapshot_index = 0

    def record_changes(self, index, names):
        """Record that the log entry at ``index`` changed the items ``names``."""
        for name in names:
            self.change_indexes[name] = index

    def reset(self, index):
        """Record that the store was replaced by a snapshot taken at ``index``."""
        self.change_indexes = {}
        self.snapshot_index = index

    def revision_of(self, names):
        """Return the log index of the last change of any of the items ``names``.

        For an item that has not changed since the snapshot, it is the one of the snapshot.
        """
        return max((self.change_indexes.get(n, self.snapshot_index) for n in names), default=0)

    @property
    def current_revision(self):
        """Log index of the last change or snapshot."""
        return max(self.store.revision, self.snapshot_index)

    def delta_since(self, revision):
        """Return an ``ItemsDelta``, or ``None`` if a router at ``revision`` is up to date.

        Routers don't list items, so they get none of the ``sent_fields``.
        """
        store = self.store
        current = self.current_revision
        if revision >= current:
            return None
        items = store.items
        if revision < self.snapshot_index or revision == 0:
            return ItemsDelta(
                0,
                current,
                True,
                tuple(map(without_sent_fields, items.routes.values())),
                tuple(map(without_sent_fields, items.services.values())),
                without_sent_fields(items.limits),
                evacuated_zones=tuple(sorted(items.evacuations)),
            )
        names = [name for name, index in self.change_indexes.items() if index > revision]
        return ItemsDelta(
            revision,
            current,
            False,
            tuple(without_sent_fields(items.routes[n]) for n in names if n in items.routes),
            tuple(without_sent_fields(items.services[n]) for n in names if n in items.services),
            without_sent_fields(items.limits) if "limits" in names else None,
            self._removals("route", names, items.routes),
            self._removals("service", names, items.services),
            tuple(sorted(items.evacuations)),
        )

    def _removals(self, kind, names, existing):
        tombstones = self.store.tombstones
        return tuple(
            Removal(name, tombstones[f"{kind}:{name}"])
            for name in names
            if name not in existing and f"{kind}:{name}" in tombstones
        )


class EndpointsHistory:
    """Changes of endpoints and unit owners in one leader's term.

    Args:
        epoch: The leader's term.

    Attributes:
        revision: Number of the last change.
        settled_revision: Revision from which the leader has the state of all endpoints, or
            ``None`` before; routers with an older revision get a full delta.
        endpoints: ``EndpointRecord`` objects by name.
        endpoint_revisions: Revision of the last change or removal by endpoint name.
        left: Start of the instance, or 0 if it is unknown, of endpoints whose leave was
            acknowledged and that are not in ``endpoints``, by name.
        owners: For each service, the owner's name by unit.
        owner_changes: Tuples of revision, service and unit, oldest first.
    """

    def __init__(self, epoch):
        self.epoch = epoch
        self.revision = 0
        self.settled_revision = None
        self.endpoints = {}
        self.endpoint_revisions = {}
        self.left = {}
        self.owners = {}
        self.owner_changes = deque()

    @property
    def current_revision(self):
        """Revision of the last change."""
        return self.revision

    def set_endpoint(self, record):
        """Record a new or changed endpoint."""
        self.revision += 1
        self.endpoints[record.name] = record
        self.endpoint_revisions[record.name] = self.revision
        self.left.pop(record.name, None)

    def note_left(self, name, started_ms):
        """Record the acknowledged leave of an instance that has not reported in this term.

        Args:
            name: Name of the endpoint.
            started_ms: Start of the instance, or 0 if it is unknown.
        """
        self.revision += 1
        self.left[name] = started_ms
        self.endpoint_revisions[name] = self.revision

    def remove_endpoint(self, name):
        """Record the removal of an endpoint; routers may have it from an earlier leader."""
        self.endpoints.pop(name, None)
        self.revision += 1
        self.endpoint_revisions[name] = self.revision

    def set_owner(self, service, unit, endpoint):
        """Record the owner of a unit if it differs from the previous one."""
        owners = self.owners.setdefault(service, {})
        if owners.get(unit) == endpoint:
            return
        owners[unit] = endpoint
        self.revision += 1
        self.owner_changes.append((self.revision, service, unit))
        if len(self.owner_changes) > MAX_OWNER_CHANGES:
            self.owner_changes.popleft()

    def mark_settled(self):
        """Record that the leader now has the state of all endpoints."""
        self.revision += 1
        self.settled_revision = self.revision

    def needs_full_delta(self, epoch, revision):
        """Return whether a router needs all endpoints and owners.

        Args:
            epoch: Term of the leader that the router's state comes from.
            revision: Last revision of that leader that the router has.
        """
        if epoch != self.epoch or revision == 0:
            return True
        return self.settled_revision is not None and (
            revision < self.settled_revision or self._needs_discarded_changes(revision)
        )

    def delta_since(self, epoch, revision):
        """Return an ``EndpointsDelta`` for a router, or ``None`` if it is up to date.

        Args:
            epoch: Term of the leader that the router's state comes from.
            revision: Last revision of that leader that the router has.
        """
        if epoch != self.epoch:
            revision = 0
        if revision >= self.revision:
            return None
        if self.needs_full_delta(epoch, revision):
            return self._full_delta(self.settled_revision is not None)
        names = [
            name
            for name, changed_revision in self.endpoint_revisions.items()
            if changed_revision > revision
        ]
        changed = self._units_changed_since(revision)
        return EndpointsDelta(
            self.epoch,
            revision,
            self.revision,
            False,
            tuple(self.endpoints[name] for name in names if name in self.endpoints),
            self._removed_among(names),
            group_owners(
                (service, unit, self.owners[service][unit]) for service, unit in sorted(changed)
            ),
            {name: self.left[name] for name in names if name in self.left},
        )

    def _removed_among(self, names):
        return tuple(
            name for name in names if name not in self.endpoints and name not in self.left
        )

    def _units_changed_since(self, revision):
        changed = set()
        for changed_revision, service, unit in reversed(self.owner_changes):
            if changed_revision <= revision:
                break
            changed.add((service, unit))
        return changed

    def _needs_discarded_changes(self, revision):
        """Return whether owner changes after ``revision`` were already discarded."""
        if len(self.owner_changes) < MAX_OWNER_CHANGES:
            return False
        return self.owner_changes[0][0] > revision + 1

    def _full_delta(self, is_complete):
        owners = (
            (service, unit, endpoint)
            for service, units in sorted(self.owners.items())
            for unit, endpoint in sorted(units.items())
        )
        return EndpointsDelta(
            self.epoch,
            0,
            self.revision,
            is_complete,
            tuple(self.endpoints.values()),
            self._removed_among(self.endpoint_revisions),
            group_owners(owners),
            dict(self.left),
        )


def group_owners(owners):
    """Return ``OwnedUnitRanges`` tuples by service.

    Args:
        owners: Tuples of service, unit and endpoint, in ascending order of the units.

    Examples:
        >>> owners = [("till", 0, "a"), ("till", 1, "a"), ("till", 2, "b"), ("till", 9, "a")]
        >>> [(owned.endpoint, owned.gaps_and_counts) for owned in group_owners(owners)["till"]]
        [('a', (0, 2, 7, 1)), ('b', (2, 1))]
    """
    by_service = {}
    for service, unit, endpoint in owners:
        numbers, end = by_service.setdefault(service, {}).get(endpoint, ([], 0))
        if numbers and unit == end:
            numbers[-1] += 1
        else:
            numbers += (unit - end, 1)
        by_service[service][endpoint] = (numbers, unit + 1)
    return {
        service: tuple(
            OwnedUnitRanges(name, tuple(numbers)) for name, (numbers, _) in by_endpoint.items()
        )
        for service, by_endpoint in by_service.items()
    }
