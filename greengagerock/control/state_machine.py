"""The replicated state machine of the control plane."""

import msgspec
import xxhash

from greengagerock.control.change_draft import ChangeDraft, is_unpin_complete
from greengagerock.control.commands import (
    BanEnded,
    Command,
    EndpointChanged,
    EndpointRemoved,
    GrantUnits,
    HostReported,
    LeaseManagerAppointed,
    OperatorChange,
    RequestBanned,
    RevokeUnits,
    VoterChangeEnded,
)
from greengagerock.control.state import (
    ChangeRecord,
    ChangeResult,
    ControlState,
    MoveRecord,
    StateImage,
    Transfer,
)
from greengagerock.core import GreengageError
from greengagerock.model import (
    STATE_DRAINING,
    STATE_LOST,
    STATE_READY,
    Ban,
    OwnedUnit,
    Owner,
    RouteDelta,
    RouteHistory,
    RouteHost,
)

encode_command = msgspec.msgpack.Encoder().encode
decode_command = msgspec.msgpack.Decoder(Command).decode
_encode_image = msgspec.msgpack.Encoder().encode
_decode_image = msgspec.msgpack.Decoder(StateImage).decode


def fingerprint_change(change):
    """Return a digest of a change's content, without its author and time."""
    content = _encode_image((change.base_version, change.actions))
    return xxhash.xxh3_64_intdigest(content)


class ControlStateMachine:
    """Applies committed commands to the replicated state.

    Every voter applies the same commands in the same order and must reach the same
    state, so nothing here may depend on time, randomness or the local host.

    Attributes:
        state: The replicated state.
        history: The routes of the state with their recent deltas.
        on_applied: Called with each applied command and its index.
    """

    def __init__(self):
        self.state = ControlState()
        self.history = RouteHistory()
        self.history.replace(self.state.routes)
        self.on_applied = lambda command, index: None

    def apply(self, entry):
        """Apply a committed log entry."""
        command = decode_command(entry.payload)
        self.apply_command(command, entry.index)
        self.on_applied(command, entry.index)

    def apply_command(self, command, index):
        """Apply one command at its log index."""
        match command:
            case OperatorChange():
                self._apply_change(command, index)
            case EndpointChanged(endpoint, _):
                self._apply_endpoint(endpoint, index)
            case EndpointRemoved(name):
                self._apply_endpoint_removed(name, index)
            case RevokeUnits():
                self._apply_revoke(command, index)
            case GrantUnits():
                self._apply_grant(command, index)
            case HostReported(host):
                self._apply_host(host, index)
            case RequestBanned(fingerprint, service, request):
                ban = Ban(fingerprint, service, request, index)
                self._publish(self._delta(index, bans=(ban,)))
            case BanEnded(fingerprint):
                if fingerprint in self.state.routes.bans:
                    self._publish(self._delta(index, lifted_bans=(fingerprint,)))
            case VoterChangeEnded():
                self.state.voter_change = None
            case LeaseManagerAppointed(zone, host, incarnation):
                self.state.appoint_manager(zone, host, incarnation)

    def dump(self):
        """Return the encoded state."""
        return _encode_image(self.state.to_image())

    def load(self, data):
        """Replace the state by an encoded one."""
        self.state = ControlState.from_image(_decode_image(data))
        self.history.replace(self.state.routes)

    def delta_since(self, version):
        """Return the route delta from ``version`` to now, or ``None`` if it is up to date."""
        return self.history.delta_since(version)

    def _publish(self, delta):
        self.history.publish(delta)

    def _delta(self, index, **changes):
        return RouteDelta(base=self.state.routes.version, version=index, **changes)

    # --- Operator changes ----------------------------------------------------------

    def _apply_change(self, change, index):
        fingerprint = fingerprint_change(change)
        if change.request_id in self.state.results:
            return
        state = self.state
        try:
            draft = self.draft_change(change, index)
        except GreengageError as error:
            result = ChangeResult(
                change.request_id, fingerprint, error.code, error.detail, state.config_version
            )
            state.store_result(result)
            return
        self._publish(draft.delta())
        state.transfers.update(draft.new_transfers)
        state.unpinning = draft.unpinning
        state.voter_change = draft.voter_change
        for name in draft.forgotten_hosts:
            state.remove_host(name)
        self._remove_dropped_services(draft.dropped_services)
        state.config_version = index
        state.store_change(ChangeRecord(index, change.at_us, change.author, change.text))
        state.store_result(ChangeResult(change.request_id, fingerprint, "", "", index))

    def draft_change(self, change, index):
        """Check a change against the state without applying it.

        Returns:
            The ``ChangeDraft``.

        Raises:
            GreengageError: ``version-conflict`` if the change is based on another
                version, or the error of the first action that cannot be applied.
        """
        current = self.state.config_version
        if change.base_version is not None and change.base_version != current:
            raise GreengageError(
                "version-conflict", f"based on {change.base_version}, current is {current}"
            )
        draft = ChangeDraft(self.state, index)
        for action in change.actions:
            draft.add(action)
        return draft

    def _remove_dropped_services(self, names):
        if not names:
            return
        state = self.state
        state.transfers = {u: t for u, t in state.transfers.items() if u.service not in names}
        state.unpinning = {u for u in state.unpinning if u.service not in names}

    # --- Endpoints -----------------------------------------------------------------

    def _apply_endpoint(self, endpoint, index):
        recorded = self.state.routes.endpoints.get(endpoint.name)
        if endpoint.service not in self.state.routes.services:
            return
        if endpoint.since != (recorded.since if recorded else 0):
            return
        is_drained = recorded.drained_by_operator if recorded else False
        state = endpoint.state
        if is_drained and state == STATE_READY:
            state = STATE_DRAINING
        endpoint = msgspec.structs.replace(
            endpoint, drained_by_operator=is_drained, state=state, since=index
        )
        self._publish(self._delta(index, endpoints=(endpoint,)))

    def _apply_endpoint_removed(self, name, index):
        if name in self.state.routes.endpoints and not self.state.routes.units_of_endpoint(name):
            self._publish(self._delta(index, dropped_endpoints=(name,)))

    # --- Hosts ---------------------------------------------------------------------

    def _apply_host(self, host, index):
        previous = self.state.hosts.get(host.name)
        recorded = self.state.routes.hosts.get(host.name)
        restarts = recorded.restarts if recorded else 0
        if previous is not None and previous.incarnation != host.incarnation:
            restarts += 1
        self.state.hosts[host.name] = host
        entry = RouteHost(host.name, host.zone, host.address, restarts)
        if recorded != entry:
            self._publish(self._delta(index, hosts=(entry,)))

    # --- Ownership -----------------------------------------------------------------

    def _apply_revoke(self, command, index):
        owners = []
        for move in command.moves:
            owner = self.state.routes.owner_of(move.unit)
            source = self.state.routes.endpoints.get(owner.endpoint)
            if source is None or move.unit in self.state.transfers:
                continue
            self.state.transfers[move.unit] = Transfer(
                move.unit, source.name, source.incarnation, move.endpoint, index, command.cause
            )
            owners.append(OwnedUnit(move.unit, Owner("", index)))
        if owners:
            self._publish(self._delta(index, owners=tuple(owners)))

    def _apply_grant(self, command, index):
        owners = []
        for grant in command.grants:
            if grant.endpoint not in self.state.routes.endpoints:
                continue
            if not self._may_grant(grant.unit):
                continue
            owners.append(OwnedUnit(grant.unit, Owner(grant.endpoint, index)))
            self._record_move(grant, command)
            self.state.transfers.pop(grant.unit, None)
        if not owners:
            return
        self._publish(self._delta(index, owners=tuple(owners)))
        self._finish_unpinning(index)

    def _may_grant(self, unit):
        """Return whether a unit may be granted in the state at this log entry.

        The leader decided on an earlier state. An owner that was lost in that state may
        have joined again by an entry in between, and then keeps its units.
        """
        if not self._unit_exists(unit):
            return False
        owner = self.state.routes.owner_of(unit)
        if unit in self.state.transfers or not owner.endpoint:
            return True
        source = self.state.routes.endpoints.get(owner.endpoint)
        return source is None or (source.state == STATE_LOST and source.checks_orders)

    def _unit_exists(self, unit):
        if unit.key:
            return unit in self.state.routes.pins
        service = self.state.routes.services.get(unit.service)
        return service is not None and unit.slot < service.slots

    def _record_move(self, grant, command):
        transfer = self.state.transfers.get(grant.unit)
        source = transfer.source if transfer else self.state.routes.owner_of(grant.unit).endpoint
        if source and source != grant.endpoint:
            cause = transfer.cause if transfer else command.cause
            move = MoveRecord(command.at_us, grant.unit, source, grant.endpoint, cause)
            self.state.store_move(move)

    def _finish_unpinning(self, index):
        unpinned = tuple(
            sorted(u for u in self.state.unpinning if is_unpin_complete(self.state, u))
        )
        if not unpinned:
            return
        # Grant and removal have the same version, so they must be one delta.
        removal = RouteDelta(base=self.history.deltas[-1].base, version=index, unpinned=unpinned)
        self.history.amend(removal)
        self.state.unpinning.difference_update(unpinned)
