"""The replicated state: routes, transfers, hosts, keepers and history."""

import msgspec

from greengagerock.control.commands import HostRecord
from greengagerock.model import RouteDelta, Routes, Unit

RESULTS_KEPT = 10_000
RIVALS_KEPT = 8
CHANGES_KEPT = 20_000
MOVES_KEPT = 20_000


class Transfer(msgspec.Struct, frozen=True):
    """A unit that was taken from its owner and not yet given to the next one.

    Attributes:
        unit: The unit.
        source: Endpoint that owned it.
        source_incarnation: Incarnation of that endpoint.
        target: Endpoint that shall own it.
        revoked_at: Version at which it was taken.
        cause: Why it moves.
    """

    unit: Unit
    source: str
    source_incarnation: str
    target: str
    revoked_at: int
    cause: str


class Keeper(msgspec.Struct, frozen=True):
    """Who keeps an availability zone, and since which epoch.

    Attributes:
        host: The keeper's host.
        incarnation: Incarnation of that host.
        epoch: Rises with each appointment.
        electorate: Hosts of the zone at the appointment; without the leader, the
            keeper may lend only while a majority of them follows it.
        rivals: Electorates of earlier keepers.
    """

    host: str
    incarnation: str
    epoch: int
    electorate: tuple[str, ...]
    rivals: tuple[tuple[str, ...], ...] = ()


class VoterChange(msgspec.Struct, frozen=True):
    """A voter change that is under way.

    Attributes:
        old: Host of the voter to remove, or the empty string.
        new: Host of the voter to add, or the empty string.
        new_identity: Identity of the new voter's data folder.
    """

    old: str
    new: str
    new_identity: str


class ChangeResult(msgspec.Struct, frozen=True):
    """What became of an operator's change.

    Attributes:
        request_id: Its request id.
        fingerprint: Digest of its content, to detect a reused id.
        code: Empty if accepted, or an error code.
        detail: Why it was refused.
        version: Configuration version after it.
    """

    request_id: str
    fingerprint: int
    code: str
    detail: str
    version: int


class ChangeRecord(msgspec.Struct, frozen=True):
    """An accepted change in the history."""

    version: int
    at_us: int
    author: str
    text: str


class MoveRecord(msgspec.Struct, frozen=True):
    """A unit that changed its owner."""

    at_us: int
    unit: Unit
    source: str
    target: str
    cause: str


class StateImage(msgspec.Struct, frozen=True):
    """The state in the form that snapshots store."""

    routes: RouteDelta
    transfers: tuple[Transfer, ...]
    unpinning: tuple[Unit, ...]
    hosts: tuple[HostRecord, ...]
    keepers: tuple[tuple[str, Keeper], ...]
    results: tuple[ChangeResult, ...]
    changes: tuple[ChangeRecord, ...]
    moves: tuple[MoveRecord, ...]
    config_version: int
    move_count: int
    voter_change: VoterChange | None


class ControlState:
    """The state that all voters agree on.

    Attributes:
        routes: Services, endpoints and owners.
        transfers: Running transfers by unit.
        unpinning: Pinned units that shall become part of their slot again.
        hosts: The system's hosts by name.
        keepers: Keepers by availability zone.
        results: Results of recent changes by request id, oldest first.
        changes: History of accepted changes.
        moves: History of moved units.
        config_version: Version of the last accepted operator change.
        move_count: Number of units that changed owner so far.
        voter_change: The voter change under way, or ``None``.
    """

    __slots__ = (
        "changes",
        "config_version",
        "hosts",
        "keepers",
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
        self.keepers = {}
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
            keepers=tuple(self.keepers.items()),
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
        state.keepers = dict(image.keepers)
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

    def appoint_keeper(self, zone, host, incarnation):
        """Record the next keeper of a zone."""
        electorate = tuple(h.name for h in self.hosts_of_zone(zone))
        previous = self.keepers.get(zone)
        if previous is None:
            self.keepers[zone] = Keeper(host, incarnation, 1, electorate)
            return
        rivals = [r for r in previous.rivals if r != previous.electorate]
        rivals = (*rivals, previous.electorate)[-RIVALS_KEPT:]
        self.keepers[zone] = Keeper(host, incarnation, previous.epoch + 1, electorate, rivals)

    def forget_host(self, name):
        """Remove a host, also from the electorates that it belongs to."""
        self.hosts.pop(name, None)
        for zone, keeper in self.keepers.items():
            self.keepers[zone] = msgspec.structs.replace(
                keeper,
                electorate=tuple(n for n in keeper.electorate if n != name),
                rivals=tuple(tuple(n for n in rival if n != name) for rival in keeper.rivals),
            )

    def zones(self):
        """Return the names of all availability zones that have hosts."""
        return tuple(sorted({host.zone for host in self.hosts.values()}))

    def remember_result(self, result):
        """Keep the result of a change, dropping the oldest beyond the limit."""
        self.results[result.request_id] = result
        if len(self.results) > RESULTS_KEPT:
            del self.results[next(iter(self.results))]

    def remember_change(self, record):
        """Append to the history of changes."""
        self.changes.append(record)
        del self.changes[:-CHANGES_KEPT]

    def remember_move(self, record):
        """Append to the history of moves."""
        self.moves.append(record)
        self.move_count += 1
        del self.moves[:-MOVES_KEPT]
