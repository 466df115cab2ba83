"""The replicated state: routes, transfers, hosts, lease managers and history."""

import msgspec

from greengagerock.control.commands import HostRecord
from greengagerock.model import RouteDelta, Routes, Unit

# Largest numbers of entries that the state retains.
MAX_RESULTS = 10_000
MAX_EARLIER_ELECTORATES = 8
MAX_CHANGES = 20_000
MAX_MOVES = 20_000


class Transfer(msgspec.Struct, frozen=True):
    """A unit that was revoked from its owner and not yet granted to the next one.

    Attributes:
        unit: The unit.
        source: Endpoint that owned it.
        source_incarnation: Incarnation of that endpoint.
        target: Endpoint that is to own it.
        revoked_at: Version at which it was revoked.
        cause: Cause of the move.
    """

    unit: Unit
    source: str
    source_incarnation: str
    target: str
    revoked_at: int
    cause: str


class LeaseManagerAppointment(msgspec.Struct, frozen=True):
    """The lease manager of an availability zone.

    Attributes:
        host: Host of the lease manager.
        incarnation: Incarnation of that host.
        epoch: Number of the appointment; increases with each one.
        electorate: Hosts of the zone at the appointment. Without contact to the leader,
            the lease manager may grant leases only while a majority of them follows it.
        earlier_electorates: Electorates of earlier lease managers.
    """

    host: str
    incarnation: str
    epoch: int
    electorate: tuple[str, ...]
    earlier_electorates: tuple[tuple[str, ...], ...] = msgspec.field(default=(), name="rivals")


class VoterChange(msgspec.Struct, frozen=True):
    """A voter change in progress.

    Attributes:
        old: Host of the voter to remove, or the empty string.
        new: Host of the voter to add, or the empty string.
        new_identity: Identity of the new voter's data folder.
    """

    old: str
    new: str
    new_identity: str


class ChangeResult(msgspec.Struct, frozen=True):
    """The result of an operator's change.

    Attributes:
        request_id: Its request id.
        fingerprint: Digest of its content, to detect a reused id.
        code: Empty if accepted, or an error code.
        detail: Reason of the refusal.
        version: Configuration version after it.
    """

    request_id: str
    fingerprint: int
    code: str
    detail: str
    version: int


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change, as kept in the history."""

    version: int
    at_us: int
    author: str
    text: str


class MoveRecord(msgspec.Struct, frozen=True):
    """A change of a unit's owner, as kept in the history."""

    at_us: int
    unit: Unit
    source: str
    target: str
    cause: str


class StateImage(msgspec.Struct, frozen=True):
    """The state in the form that is stored in snapshots."""

    routes: RouteDelta
    transfers: tuple[Transfer, ...]
    unpinning: tuple[Unit, ...]
    hosts: tuple[HostRecord, ...]
    keepers: tuple[tuple[str, LeaseManagerAppointment], ...]
    results: tuple[ChangeResult, ...]
    changes: tuple[ChangeRecord, ...]
    moves: tuple[MoveRecord, ...]
    config_version: int
    move_count: int
    voter_change: VoterChange | None


class ControlState:
    """The replicated state, equal at all voters.

    Attributes:
        routes: Services, endpoints and owners.
        transfers: Transfers in progress by unit.
        unpinning: Pinned units that are to become part of their slot again.
        hosts: The system's hosts by name.
        lease_managers: A ``LeaseManagerAppointment`` by availability zone.
        results: Results of recent changes by request id, oldest first.
        changes: History of accepted changes.
        moves: History of moved units.
        config_version: Version of the last accepted operator change.
        move_count: Number of units that changed owner so far.
        voter_change: The voter change in progress, or ``None``.
    """

    __slots__ = (
        "changes",
        "config_version",
        "hosts",
        "lease_managers",
        "move_count",
        "moves",
        "results",
        "routes",
        "transfers",
        "unpinning",
        "voter_change",
    )

    def __init__(self):
        self.routes = Routes()
        self.transfers = {}
        self.unpinning = set()
        self.hosts = {}
        self.lease_managers = {}
        self.results = {}
        self.changes = []
        self.moves = []
        self.config_version = 0
        self.move_count = 0
        self.voter_change = None

    def to_image(self):
        """Return the state as an immutable image."""
        return StateImage(
            routes=self.routes.full_delta(),
            transfers=tuple(self.transfers.values()),
            unpinning=tuple(sorted(self.unpinning)),
            hosts=tuple(self.hosts.values()),
            keepers=tuple(self.lease_managers.items()),
            results=tuple(self.results.values()),
            changes=tuple(self.changes),
            moves=tuple(self.moves),
            config_version=self.config_version,
            move_count=self.move_count,
            voter_change=self.voter_change,
        )

    @classmethod
    def from_image(cls, image):
        """Return the state that an image describes."""
        state = cls()
        state.routes.apply(image.routes)
        state.transfers = {transfer.unit: transfer for transfer in image.transfers}
        state.unpinning = set(image.unpinning)
        state.hosts = {host.name: host for host in image.hosts}
        state.lease_managers = dict(image.keepers)
        state.results = {result.request_id: result for result in image.results}
        state.changes = list(image.changes)
        state.moves = list(image.moves)
        state.config_version = image.config_version
        state.move_count = image.move_count
        state.voter_change = image.voter_change
        return state

    def hosts_of_zone(self, zone):
        """Return the hosts of an availability zone, sorted by name."""
        return tuple(h for _, h in sorted(self.hosts.items()) if h.zone == zone)

    def appoint_manager(self, zone, host, incarnation):
        """Record the next lease manager of a zone."""
        electorate = tuple(h.name for h in self.hosts_of_zone(zone))
        previous = self.lease_managers.get(zone)
        if previous is None:
            self.lease_managers[zone] = LeaseManagerAppointment(host, incarnation, 1, electorate)
            return
        earlier_electorates = [r for r in previous.earlier_electorates if r != previous.electorate]
        earlier_electorates = (*earlier_electorates, previous.electorate)[
            -MAX_EARLIER_ELECTORATES:
        ]
        self.lease_managers[zone] = LeaseManagerAppointment(
            host, incarnation, previous.epoch + 1, electorate, earlier_electorates
        )

    def remove_host(self, name):
        """Remove a host, also from all electorates."""
        self.hosts.pop(name, None)
        for zone, manager in self.lease_managers.items():
            self.lease_managers[zone] = msgspec.structs.replace(
                manager,
                electorate=tuple(n for n in manager.electorate if n != name),
                earlier_electorates=tuple(
                    tuple(n for n in electorate if n != name)
                    for electorate in manager.earlier_electorates
                ),
            )

    def zones(self):
        """Return the names of all availability zones that have hosts."""
        return tuple(sorted({host.zone for host in self.hosts.values()}))

    def store_result(self, result):
        """Store the result of a change, and discard the oldest beyond the limit."""
        self.results[result.request_id] = result
        if len(self.results) > MAX_RESULTS:
            del self.results[next(iter(self.results))]

    def store_change(self, record):
        """Append to the history of changes."""
        self.changes.append(record)
        del self.changes[:-MAX_CHANGES]

    def store_move(self, record):
        """Append to the history of moves."""
        self.moves.append(record)
        self.move_count += 1
        del self.moves[:-MAX_MOVES]
