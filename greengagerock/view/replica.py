"""A router's copy of the items, endpoints and holders."""

from greengagerock.holdings.units import UNIT_KEYS
from greengagerock.view.messages import EndpointTimes, ViewPoll


class ViewReplica:
    """What a router knows. It never goes back to an older version of an item.

    Attributes:
        routes: Routes by name.
        services: Services by name.
        limits: The limits, or ``None``.
        endpoints: ``EndpointRecord`` objects by name.
        by_service: Names of the endpoints of each service.
        owners: For each service, the holder's name by unit.
        items_revision: Log index up to which items are known.
        epoch: Term of the leader that endpoints are known from.
        live_revision: That leader's last change that is known.
        times: The newest ``EndpointTimes``.
    """

    def __init__(self):
        self.routes = {}
        self.services = {}
        self.limits = None
        self.endpoints = {}
        self.by_service = {}
        self.owners = {}
        self.items_revision = 0
        self.epoch = 0
        self.live_revision = 0
        self.removed_versions = {}
        self.times = EndpointTimes(0, {}, {})

    @property
    def is_filled(self):
        """Whether the configuration is known."""
        return self.items_revision > 0

    def poll(self, answers, demand):
        """Return the message that asks for what is missing.

        Args:
            answers: What this router has seen of endpoints' answers since the last poll.
            demand: Requests by service and block of keys since the last poll.
        """
        return ViewPoll(
            self.items_revision,
            self.epoch,
            self.live_revision,
            answers,
            demand,
            self.times.number,
        )

    def expected_s(self, endpoint):
        """Return how long an endpoint's answers take over all routers, or ``None``."""
        told_ms = self.times.endpoints.get(endpoint)
        if told_ms is None:
            record = self.endpoints.get(endpoint)
            told_ms = self.times.services.get(record.service) if record else None
        return None if told_ms is None else told_ms / 1000

    def owner_of(self, service, key):
        """Return the name of the endpoint that holds a key, empty if none is known."""
        return self.owners.get(service, {}).get(key // UNIT_KEYS, "")

    def apply_items(self, delta):
        """Take in an ``ItemsDelta``.

        Returns:
            Whether anything changed.
        """
        if delta.revision <= self.items_revision or delta.since > self.items_revision:
            return False
        self.items_revision = delta.revision
        if delta.complete:
            self._drop_missing("route", self.routes, delta.routes)
            self._drop_missing("service", self.services, delta.services)
        self._merge("route", self.routes, delta.routes, delta.removed_routes)
        self._merge("service", self.services, delta.services, delta.removed_services)
        limits = delta.limits
        if limits and (self.limits is None or limits.version > self.limits.version):
            self.limits = limits
        return True

    def apply_live(self, delta):
        """Take in a ``LiveDelta``.

        Returns:
            A pair: names of endpoints that changed or are gone, and the (service, unit)
            pairs whose holder changed.
        """
        if delta.epoch < self.epoch:
            return [], []
        known = self.live_revision if delta.epoch == self.epoch else 0
        if delta.revision <= known or delta.since > known:
            return [], []
        self.epoch = delta.epoch
        self.live_revision = delta.revision
        names = list(delta.removed)
        if delta.complete:
            listed = {record.name for record in delta.endpoints}
            names += [name for name in self.endpoints if name not in listed]
        for name in names:
            self._forget(name)
        for record in delta.endpoints:
            if self.endpoints.get(record.name) != record:
                self._forget(record.name)
                self.endpoints[record.name] = record
                self.by_service.setdefault(record.service, {})[record.name] = None
                names.append(record.name)
        return names, self._apply_owners(delta.owners)

    def _apply_owners(self, changes):
        changed = []
        for service, holders in changes.items():
            owners = self.owners.setdefault(service, {})
            for held in holders:
                for first, count in held.ranges():
                    for unit in range(first, first + count):
                        if owners.get(unit, "") != held.endpoint:
                            owners[unit] = held.endpoint
                            changed.append((service, unit))
        return changed

    def _forget(self, name):
        record = self.endpoints.pop(name, None)
        if record is not None:
            self.by_service.get(record.service, {}).pop(name, None)

    def _merge(self, kind, known, items, removals):
        for item in items:
            if item.version > self._version(kind, known, item.name):
                known[item.name] = item
        for removal in removals:
            if removal.version > self._version(kind, known, removal.name):
                known.pop(removal.name, None)
                self.removed_versions[kind, removal.name] = removal.version

    def _version(self, kind, known, name):
        if name in known:
            return known[name].version
        return self.removed_versions.get((kind, name), -1)

    def _drop_missing(self, kind, known, listed):
        names = {item.name for item in listed}
        for name in [name for name in known if name not in names]:
            self.removed_versions[kind, name] = known.pop(name).version
