"""The commands that the replicated log carries."""

import msgspec

from greengagerock.control.commands.actions import Action
from greengagerock.model import Endpoint, Unit


class OperatorChange(msgspec.Struct, frozen=True, tag="operator-change"):
    """A batch of actions that takes effect as a whole or not at all.

    Attributes:
        request_id: Chosen by the operator's tool; a repeated id is answered
            with the first result.
        author: Who asked.
        text: The statement as typed.
        base_version: Configuration version it is based on, or ``None`` for any.
        actions: What to do, in order.
        at_us: Wall-clock time in microseconds, for the history.
    """

    request_id: str
    author: str
    text: str
    base_version: int | None
    actions: tuple[Action, ...]
    at_us: int


class EndpointReported(msgspec.Struct, frozen=True, tag="endpoint-reported"):
    """An endpoint joined, changed its state, or was lost."""

    endpoint: Endpoint
    at_us: int


class EndpointForgotten(msgspec.Struct, frozen=True, tag="endpoint-forgotten"):
    """A lost endpoint that owns nothing is removed from the records."""

    name: str


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """A unit and the endpoint that shall own it; empty to let it wait."""

    unit: Unit
    endpoint: str


class RevokeUnits(msgspec.Struct, frozen=True, tag="revoke-units"):
    """Take units from their owners; each waits for its new owner.

    Attributes:
        moves: Units with the endpoints that shall own them.
        cause: Why, for the history.
        at_us: Wall-clock time in microseconds.
    """

    moves: tuple[Assignment, ...]
    cause: str
    at_us: int


class GrantUnits(msgspec.Struct, frozen=True, tag="grant-units"):
    """Give units to endpoints; the leader has seen their old owners released."""

    grants: tuple[Assignment, ...]
    cause: str
    at_us: int


class HostRecord(msgspec.Struct, frozen=True):
    """One of the system's own hosts.

    Attributes:
        name: Host name.
        zone: Availability zone.
        region: Region.
        address: Link address ``IP:PORT``.
        operator_address: ``IP:PORT`` of its operator server.
        incarnation: Differs after each restart.
        identity: Voter identity of its data folder, or the empty string.
    """

    name: str
    zone: str
    region: str
    address: str
    operator_address: str
    incarnation: str
    identity: str = ""


class HostReported(msgspec.Struct, frozen=True, tag="host-reported"):
    """A host joined, or returned with another address or incarnation."""

    host: HostRecord


class KeeperAppointed(msgspec.Struct, frozen=True, tag="keeper-appointed"):
    """A host became keeper of its availability zone; the epoch rises each time.

    Attributes:
        zone: The zone.
        host: The host.
        incarnation: Incarnation of the host; after a restart it has forgotten what it
            lent, so it needs another appointment.
    """

    zone: str
    host: str
    incarnation: str


class VoterChangeEnded(msgspec.Struct, frozen=True, tag="voter-change-ended"):
    """The leader has carried out the last step of a voter change."""


class RequestBanned(msgspec.Struct, frozen=True, tag="request-banned"):
    """A request crashed several endpoints and is refused from now on."""

    fingerprint: str
    service: str
    request: str


class BanEnded(msgspec.Struct, frozen=True, tag="ban-ended"):
    """A ban has lasted long enough."""

    fingerprint: str


Command = (
    OperatorChange
    | EndpointReported
    | EndpointForgotten
    | RevokeUnits
    | GrantUnits
    | HostReported
    | KeeperAppointed
    | VoterChangeEnded
    | RequestBanned
    | BanEnded
)
