"""A router's copy of the items, endpoints and unit owners."""

from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.core.protocol import PROTOCOL_VERSION
from greengagerock.view.messages import EndpointResponseTimes, ViewPoll, digest_relays


class ViewReplica:
    """A router's copy of the view; an item is never replaced by an older version of it.

    Attributes:
        routes: Routes by name.
        services: Services by name.
        limits: The limits, or ``None`` if there are none yet.
        endpoints: ``EndpointRecord`` objects by name.
        by_service: Names of the endpoints of each service.
        owners: For each service, the owner's name by unit.
        items_revision: Log index up to which items were applied.
        epoch: Term of the leader that the endpoints and owners come from.
        endpoints_revision: Last revision of that leader that was applied.
        removed_versions: Version at removal by kind and name of removed items.
        response_times: The newest ``EndpointResponseTimes``.
        relays: Addresses of other routers that forward requests of this one.
        relay_address: ``IP:PORT`` where this router takes requests of others, or empty.
        unreachable_count: Number of endpoints that this router cannot reach itself.
        evacuated_zones: Availability zones whose endpoints get nothing new.
        cold_number: Number up to which the leader's changes of cold endpoints were applied.
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
        self.endpoints_revision = 0
        self.removed_versions = {}
        self.response_times = EndpointResponseTimes(0, {}, {})
        self.relays = ()
        self.relay_address = ""
        self.unreachable_count = 0
        self.evacuated_zones = frozenset()
        self.cold_number = 0

    @property
    def has_configuration(self):
        """Whether the configuration has been received."""
        return self.items_revision > 0

    def poll(self, response_times, demand, limits=None, loads=None, cold_requests=None):
        """Return the message that requests the missing changes.

        Args:
            response_times: Number and mean time in seconds of each endpoint's responses to this
                router since the last poll.
            demand: Number of requests since the last poll, by service and block of keys.
            limits: ``LimitReport`` objects by endpoint name.
            loads: Packed loads of endpoints that responded since the last poll.
            cold_requests: ``LimitReport`` objects of requests for cold endpoints, by name.
        """
        return ViewPoll(
            self.items_revision,
            self.epoch,
            self.endpoints_revision,
            response_times,
            demand,
            self.response_times.number,
            limits or {},
            self.relay_address,
            self.unreachable_count,
            digest_relays(self.relays),
            protocol=PROTOCOL_VERSION,
            loads=loads,
            cold_requests=cold_requests or {},
            cold_number=self.cold_number,
        )

    def shared_mean_s(self, endpoint):
        """Return an endpoint's mean response time over all routers, or ``None`` if unknown.

        If the leader has sent no mean for the endpoint itself, the mean of its service is
        returned.
        """
        mean_ms = self.response_times.endpoints.get(endpoint)
        if mean_ms is None:
            record = self.endpoints.get(endpoint)
            mean_ms = self.response_times.services.get(record.service) if record else None
        return None if mean_ms is None else mean_ms / 1000

    def owner_of(self, service, key):
        """Return the name of the endpoint that owns a key, or empty if none is known."""
        return self.owners.get(service, {}).get(key // KEYS_PER_UNIT, "")

    def apply_items(self, delta):
        """Apply an ``ItemsDelta``.

        Returns:
            False if the delta is outdated or does not follow the applied revision, and was
            ignored.
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
        if delta.evacuated_zones is not None:
            self.evacuated_zones = frozenset(delta.evacuated_zones)
        return True

    def apply_endpoints(self, delta):
        """Apply an ``EndpointsDelta``; one that does not follow the applied revision is ignored.

        Returns:
            A pair: names of endpoints that changed or were removed, and the (service, unit)
            pairs whose owner changed.
        """
        if not self.accepts(delta):
            return [], []
        self.epoch = delta.epoch
        self.endpoints_revision = delta.revision
        names = list(delta.removed) + [record.name for record in self.left_instances(delta)]
        if delta.complete:
            listed = {record.name for record in delta.endpoints}
            names += [name for name in self.endpoints if name not in listed]
        for name in names:
            self._remove_endpoint(name)
        for record in delta.endpoints:
            if self.endpoints.get(record.name) != record:
                self._remove_endpoint(record.name)
                self.endpoints[record.name] = record
                self.by_service.setdefault(record.service, {})[record.name] = None
                names.append(record.name)
        return names, self._apply_owners(delta.owners)

    def accepts(self, delta):
        """Return whether an ``EndpointsDelta`` follows the applied revision."""
        if delta.epoch < self.epoch:
            return False
        applied = self.endpoints_revision if delta.epoch == self.epoch else 0
        return delta.revision > applied and delta.since <= applied

    def left_instances(self, delta):
        """Return the records of the instances that left according to an ``EndpointsDelta``."""
        records = [self.endpoints[name] for name in delta.left if name in self.endpoints]
        return [r for r in records if delta.left[r.name] in (0, r.started_ms)]

    def _apply_owners(self, changes):
        changed = []
        for service, changed_units in changes.items():
            owners = self.owners.setdefault(service, {})
            for units in changed_units:
                for first, count in units.ranges():
                    for unit in range(first, first + count):
                        if owners.get(unit, "") != units.endpoint:
                            owners[unit] = units.endpoint
                            changed.append((service, unit))
        return changed

    def _remove_endpoint(self, name):
        record = self.endpoints.pop(name, None)
        if record is not None:
            self.by_service.get(record.service, {}).pop(name, None)

    def _merge(self, kind, current, items, removals):
        for item in items:
            if item.version > self._version(kind, current, item.name):
                current[item.name] = item
        for removal in removals:
            if removal.version > self._version(kind, current, removal.name):
                current.pop(removal.name, None)
                self.removed_versions[kind, removal.name] = removal.version

    def _version(self, kind, current, name):
        if name in current:
            return current[name].version
        return self.removed_versions.get((kind, name), -1)

    def _drop_missing(self, kind, current, listed):
        names = {item.name for item in listed}
        for name in [name for name in current if name not in names]:
            self.removed_versions[kind, name] = current.pop(name).version
