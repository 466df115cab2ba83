"""The routes: services, endpoints and owners at one version."""

import msgspec

from greengagerock.model.ban import Ban
from greengagerock.model.endpoint import Endpoint
from greengagerock.model.keys import slot_of_key
from greengagerock.model.ownership import NO_OWNER, OwnedUnit, Unit
from greengagerock.model.service import Service


class RouteHost(msgspec.Struct, frozen=True, array_like=True):
    """The data of a host that routers need.

    Attributes:
        name: Host name.
        zone: Its availability zone.
        address: Its link address.
        restarts: Number of times that it returned with another incarnation.
    """

    name: str
    zone: str
    address: str
    restarts: int = 0


class RouteDelta(msgspec.Struct, frozen=True):
    """The difference between two versions of the routes.

    Attributes:
        base: Version that the delta applies to; 0 if the delta is complete.
        version: Version of the routes after the delta was applied.
        services: New or changed services.
        dropped_services: Names of removed services.
        endpoints: New or changed endpoints.
        dropped_endpoints: Names of removed endpoints.
        owners: Units whose owner changed.
        unpinned: Pinned units that became part of their slot again.
        hosts: New or changed hosts.
        dropped_hosts: Names of removed hosts.
        bans: New bans.
        lifted_bans: Fingerprints of bans that ended.
    """

    base: int
    version: int
    services: tuple[Service, ...] = ()
    dropped_services: tuple[str, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    dropped_endpoints: tuple[str, ...] = ()
    owners: tuple[OwnedUnit, ...] = ()
    unpinned: tuple[Unit, ...] = ()
    hosts: tuple[RouteHost, ...] = ()
    dropped_hosts: tuple[str, ...] = ()
    bans: tuple[Ban, ...] = ()
    lifted_bans: tuple[str, ...] = ()


class Routes:
    """Services, endpoints and owners; changed only by applying deltas.

    Attributes:
        version: Log index of the last change that was applied.
        services: Services by name.
        endpoints: Endpoints by name.
        endpoints_by_service: Endpoints of each service, sorted by name.
        owners: For each service, the list of owners by slot.
        pins: Owners of pinned keys by unit.
        hosts: ``RouteHost`` objects by name.
        bans: Bans by fingerprint.
    """

    __slots__ = (
        "_change_versions",
        "_rebuilt_version",
        "bans",
        "endpoints",
        "endpoints_by_service",
        "hosts",
        "owners",
        "pins",
        "services",
        "version",
    )

    def __init__(self):
        self.version = 0
        self.services = {}
        self.endpoints = {}
        self.endpoints_by_service = {}
        self.owners = {}
        self.pins = {}
        self.hosts = {}
        self.bans = {}
        self._change_versions = {}
        self._rebuilt_version = 0

    def last_change_version(self, endpoint):
        """Return the last version at which the units of an endpoint may have changed."""
        return max(self._rebuilt_version, self._change_versions.get(endpoint, 0))

    def unit_of(self, service, key):
        """Return the unit that ``key`` belongs to: the pinned key itself, or else its slot."""
        slot = slot_of_key(key, service.slots)
        if self.pins:
            pinned = Unit(service.name, slot, key)
            if pinned in self.pins:
                return pinned
        return Unit(service.name, slot)

    def owner_of(self, unit):
        """Return the owner of ``unit``, or ``NO_OWNER`` if it has none."""
        if unit.key:
            return self.pins.get(unit, NO_OWNER)
        slots = self.owners.get(unit.service)
        return slots[unit.slot] if slots else NO_OWNER

    def units_of_endpoint(self, name):
        """Return all units of an endpoint as ``OwnedUnit`` objects: slots, then pinned keys."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return ()
        slots = enumerate(self.owners.get(endpoint.service, ()))
        owned = [
            OwnedUnit(Unit(endpoint.service, slot), owner)
            for slot, owner in slots
            if owner.endpoint == name
        ]
        pinned = [
            OwnedUnit(unit, pin_owner)
            for unit, pin_owner in sorted(self.pins.items())
            if pin_owner.endpoint == name
        ]
        return tuple(owned + pinned)

    def endpoints_of(self, service_name):
        """Return the endpoints of a service, sorted by name."""
        return self.endpoints_by_service.get(service_name, ())

    def apply(self, delta):
        """Apply a delta.

        Returns:
            False if the delta does not follow the current version and was ignored.
        """
        if delta.base == 0:
            self.__init__()
            self._rebuilt_version = delta.version
        elif delta.base > self.version or delta.version <= self.version:
            return False
        # Removals are applied first because a merged delta may remove and create a name.
        for name in delta.dropped_services:
            self._drop_service(name)
        for service in delta.services:
            self._set_service(service)
        for name in delta.dropped_endpoints:
            self.endpoints.pop(name, None)
        for endpoint in delta.endpoints:
            self.endpoints[endpoint.name] = endpoint
        if delta.endpoints or delta.dropped_endpoints:
            self._index_endpoints()
        for name in delta.dropped_hosts:
            self.hosts.pop(name, None)
        for host in delta.hosts:
            self.hosts[host.name] = host
        for fingerprint in delta.lifted_bans:
            self.bans.pop(fingerprint, None)
        for ban in delta.bans:
            self.bans[ban.fingerprint] = ban
        for owned in delta.owners:
            self._record_change(owned.unit, owned.owner.endpoint, delta.version)
            self._set_owner(owned.unit, owned.owner)
        for unit in delta.unpinned:
            self._record_change(unit, "", delta.version)
            self.pins.pop(unit, None)
        self.version = delta.version
        return True

    def _record_change(self, unit, new_endpoint, version):
        self._change_versions[self.owner_of(unit).endpoint] = version
        self._change_versions[new_endpoint] = version

    def _set_owner(self, unit, owner):
        if unit.key:
            self.pins[unit] = owner
        elif unit.service in self.owners:
            self.owners[unit.service][unit.slot] = owner

    def full_delta(self):
        """Return the complete delta, which builds these routes from empty ones."""
        owned = [
            OwnedUnit(Unit(name, slot), owner)
            for name, slots in self.owners.items()
            for slot, owner in enumerate(slots)
            if owner != NO_OWNER
        ]
        owned += [OwnedUnit(unit, owner) for unit, owner in self.pins.items()]
        return RouteDelta(
            base=0,
            version=self.version,
            services=tuple(self.services.values()),
            endpoints=tuple(self.endpoints.values()),
            owners=tuple(owned),
            hosts=tuple(self.hosts.values()),
            bans=tuple(self.bans.values()),
        )

    def _set_service(self, service):
        self.services[service.name] = service
        if service.keyed and service.name not in self.owners:
            self.owners[service.name] = [NO_OWNER] * service.slots

    def _drop_service(self, name):
        self.services.pop(name, None)
        self.owners.pop(name, None)
        self.pins = {unit: owner for unit, owner in self.pins.items() if unit.service != name}

    def _index_endpoints(self):
        by_service = {}
        for name in sorted(self.endpoints):
            endpoint = self.endpoints[name]
            by_service.setdefault(endpoint.service, []).append(endpoint)
        self.endpoints_by_service = {
            name: tuple(endpoints) for name, endpoints in by_service.items()
        }


def merge_deltas(deltas):
    """Merge consecutive deltas into one that has the same effect.

    Args:
        deltas: Non-empty sequence, each based on its predecessor's version.
    """
    services, endpoints, owners, hosts, bans = {}, {}, {}, {}, {}
    lifted_bans = set()
    dropped_services, dropped_endpoints, unpinned, dropped_hosts = set(), set(), set(), set()
    for delta in deltas:
        for name in delta.dropped_services:
            services.pop(name, None)
            dropped_services.add(name)
            owners = {unit: owned for unit, owned in owners.items() if unit.service != name}
            unpinned = {unit for unit in unpinned if unit.service != name}
        for service in delta.services:
            services[service.name] = service
        for name in delta.dropped_endpoints:
            endpoints.pop(name, None)
            dropped_endpoints.add(name)
        for endpoint in delta.endpoints:
            endpoints[endpoint.name] = endpoint
        for name in delta.dropped_hosts:
            hosts.pop(name, None)
            dropped_hosts.add(name)
        for host in delta.hosts:
            hosts[host.name] = host
        for fingerprint in delta.lifted_bans:
            bans.pop(fingerprint, None)
            lifted_bans.add(fingerprint)
        for ban in delta.bans:
            bans[ban.fingerprint] = ban
        for owned in delta.owners:
            owners[owned.unit] = owned
            unpinned.discard(owned.unit)
        for unit in delta.unpinned:
            owners.pop(unit, None)
            unpinned.add(unit)
    return RouteDelta(
        base=deltas[0].base,
        version=deltas[-1].version,
        services=tuple(services.values()),
        dropped_services=tuple(sorted(dropped_services)),
        endpoints=tuple(endpoints.values()),
        dropped_endpoints=tuple(sorted(dropped_endpoints)),
        owners=tuple(owners.values()),
        unpinned=tuple(sorted(unpinned)),
        hosts=tuple(hosts.values()),
        dropped_hosts=tuple(sorted(dropped_hosts)),
        bans=tuple(bans.values()),
        lifted_bans=tuple(sorted(lifted_bans)),
    )
