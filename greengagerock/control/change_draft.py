"""Validation of a batch of operator actions before any of them takes effect."""

import msgspec

from greengagerock.control.commands import (
    AlterService,
    CancelVoterChange,
    CreateService,
    DrainEndpoint,
    DropService,
    ForgetHost,
    LiftBan,
    PinKey,
    ReplaceVoter,
    ResumeEndpoint,
    UnpinKey,
)
from greengagerock.control.state import VoterChange
from greengagerock.core import GreengageError
from greengagerock.model import (
    MAX_SLOTS,
    NO_OWNER,
    STATE_DRAINING,
    STATE_READY,
    OwnedUnit,
    Owner,
    RouteDelta,
    Service,
    Unit,
    slot_of_key,
)

# Largest number of pinned keys of the system.
MAX_PINS = 512

# Smallest and largest value of each rule that operators may set.
RULE_LIMITS = {
    "cut_hold_s": (2.0, 86_400.0),
    "timeout_s": (0.1, 3_600.0),
    "churn_weight": (0.0, 1.0),
    "max_load_percent": (1.0, 100.0),
    "moves_per_hour": (0, 1_000_000),
}


class ChangeDraft:
    """Collects the effects of actions without changing the replicated state.

    Args:
        state: The replicated state.
        index: Log index of the change, which becomes the fence of the units that it grants.

    Attributes:
        services: Services by name after the actions so far.
        changed_services: Created or altered services by name.
        dropped_services: Names of dropped services.
        endpoints: Changed endpoints by name.
        owners: Changed owners by unit.
        unpinned: Pins that are removed immediately.
        unpinning: Pins that are removed once their slot has the same owner.
        new_transfers: Transfers of new pins whose slot is being transferred.
        lifted_bans: Fingerprints of lifted bans.
        forgotten_hosts: Names of removed hosts.
        voter_change: The ``VoterChange`` after the actions so far, or ``None``.
    """

    def __init__(self, state, index):
        self.state = state
        self.index = index
        self.services = dict(state.routes.services)
        self.changed_services = {}
        self.dropped_services = set()
        self.endpoints = {}
        self.owners = {}
        self.unpinned = set()
        self.unpinning = set(state.unpinning)
        self.new_transfers = {}
        self.lifted_bans = set()
        self.forgotten_hosts = set()
        self.voter_change = state.voter_change

    def add(self, action):
        """Add one action.

        Raises:
            GreengageError: If the action cannot be applied.
        """
        match action:
            case CreateService():
                self._create_service(action)
            case AlterService(name, settings):
                self._set_service(self._with_settings(self._service(name), settings))
            case DropService(name):
                self._drop_service(name)
            case DrainEndpoint(name):
                self._set_drained(name, True)
            case ResumeEndpoint(name):
                self._set_drained(name, False)
            case PinKey(service, key):
                self._pin(service, key)
            case UnpinKey(service, key):
                self._unpin(service, key)
            case ReplaceVoter(old, new):
                self._replace_voter(old, new)
            case ForgetHost(name):
                if name not in self.state.hosts:
                    raise GreengageError("unknown-name", f"no host is named {name!r}")
                self.forgotten_hosts.add(name)
            case LiftBan(fingerprint):
                if fingerprint not in self.state.routes.bans:
                    raise GreengageError("unknown-name", f"nothing is banned as {fingerprint!r}")
                self.lifted_bans.add(fingerprint)
            case CancelVoterChange():
                if self.voter_change is None:
                    raise GreengageError("invalid-value", "no voter change is under way")
                self.voter_change = None

    def delta(self):
        """Return the route delta of the whole batch."""
        return RouteDelta(
            base=self.state.routes.version,
            version=self.index,
            services=tuple(self.changed_services.values()),
            dropped_services=tuple(sorted(self.dropped_services)),
            endpoints=tuple(self.endpoints.values()),
            owners=tuple(OwnedUnit(unit, owner) for unit, owner in self.owners.items()),
            unpinned=tuple(sorted(self.unpinned)),
            lifted_bans=tuple(sorted(self.lifted_bans)),
            dropped_hosts=tuple(sorted(self.forgotten_hosts)),
        )

    def _service(self, name):
        if name not in self.services:
            raise GreengageError("unknown-name", f"no service is named {name!r}")
        return self.services[name]

    def _set_service(self, service):
        self.services[service.name] = service
        self.changed_services[service.name] = service

    def _create_service(self, action):
        if action.name in self.services:
            raise GreengageError("already-exists", f"service {action.name!r} exists")
        if not 0 <= action.slots <= MAX_SLOTS:
            raise GreengageError("invalid-value", f"slots must be from 1 to {MAX_SLOTS}")
        service = Service(action.name, action.key_rule, action.slots)
        self._set_service(self._with_settings(service, action.settings))

    def _with_settings(self, service, settings):
        values = {}
        for name, value in settings:
            if name not in RULE_LIMITS:
                rule_names = ", ".join(sorted(RULE_LIMITS))
                raise GreengageError(
                    "unknown-name", f"no rule {name!r}; the rules are {rule_names}"
                )
            lowest, highest = RULE_LIMITS[name]
            if not lowest <= value <= highest:
                raise GreengageError("invalid-value", f"{name} must be from {lowest} to {highest}")
            values[name] = int(value) if isinstance(lowest, int) else float(value)
        if values.get("cut_hold_s", service.cut_hold_s) < service.cut_hold_s:
            values["earlier_cut_hold_s"] = max(service.cut_hold_s, service.earlier_cut_hold_s)
            values["cut_hold_since"] = self.index
        return msgspec.structs.replace(service, **values)

    def _drop_service(self, name):
        self._service(name)
        del self.services[name]
        self.changed_services.pop(name, None)
        self.dropped_services.add(name)

    def _set_drained(self, name, is_drained):
        endpoint = self.endpoints.get(name) or self.state.routes.endpoints.get(name)
        if endpoint is None:
            raise GreengageError("unknown-name", f"no endpoint is named {name!r}")
        state = endpoint.state
        if is_drained and state == STATE_READY:
            state = STATE_DRAINING
        elif not is_drained and state == STATE_DRAINING:
            state = STATE_READY
        self.endpoints[name] = msgspec.structs.replace(
            endpoint, drained_by_operator=is_drained, state=state, since=self.index
        )

    def _replace_voter(self, old, new):
        if self.voter_change is not None:
            raise GreengageError("invalid-value", "another voter change is under way")
        host = self.state.hosts.get(new)
        if new and (host is None or not host.identity):
            raise GreengageError("unknown-name", f"no running host with a data folder is {new!r}")
        self.voter_change = VoterChange(old, new, host.identity if host else "")

    def _slot_unit(self, service_name, key):
        service = self._service(service_name)
        if not service.keyed:
            raise GreengageError("invalid-value", f"service {service_name!r} has no keys")
        return Unit(service_name, slot_of_key(key, service.slots))

    def _owner(self, unit):
        return self.owners.get(unit) or self.state.routes.owner_of(unit)

    def _pin(self, service_name, key):
        slot = self._slot_unit(service_name, key)
        pin = Unit(slot.service, slot.slot, key)
        if self._owner(pin) != NO_OWNER:
            raise GreengageError("already-exists", f"key {key!r} is pinned")
        if len(self.state.routes.pins) + len(self.owners) >= MAX_PINS:
            raise GreengageError("invalid-value", f"at most {MAX_PINS} keys can be pinned")
        owner = Owner(self._owner(slot).endpoint, self.index)
        self.owners[pin] = owner
        # The slot's fence increases too, so that requests of routers that still send the
        # key with the fence of its slot are refused once the pin has moved away.
        self.owners[slot] = owner
        if slot in self.state.transfers:
            transfer = self.state.transfers[slot]
            self.new_transfers[pin] = msgspec.structs.replace(transfer, unit=pin)

    def _unpin(self, service_name, key):
        slot = self._slot_unit(service_name, key)
        pin = Unit(slot.service, slot.slot, key)
        if self.state.routes.owner_of(pin) == NO_OWNER:
            raise GreengageError("unknown-name", f"key {key!r} is not pinned")
        if is_unpin_complete(self.state, pin):
            self.unpinned.add(pin)
        else:
            self.unpinning.add(pin)


def is_unpin_complete(state, pin):
    """Return whether a pin and its slot have the same owner and are not in transfer."""
    slot = Unit(pin.service, pin.slot)
    if pin in state.transfers or slot in state.transfers:
        return False
    return state.routes.owner_of(pin).endpoint == state.routes.owner_of(slot).endpoint
