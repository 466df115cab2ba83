"""Commands in the entries of the replicated log."""

import msgspec

from greengagerock.control.commands.actions import Action
from greengagerock.model import Endpoint, Unit


class OperatorChange(msgspec.Struct, frozen=True, tag="operator-change"):
    """A batch of actions that takes effect as a whole or not at all.

    Attributes:
        request_id: Chosen by the operator's tool; a repeated id gets the first result.
        author: Name of the operator.
        text: The statement as typed.
        base_version: Configuration version it is based on, or ``None`` for any.
        actions: Actions to apply, in order.
        at_us: Wall-clock time in microseconds, for the history.
    """

    request_id: str
    author: str
    text: str
    base_version: int | None
    actions: tuple[Action, ...]
    at_us: int


class EndpointChanged(msgspec.Struct, frozen=True, tag="endpoint-reported"):
    """An endpoint joined, changed its state, or was lost."""

    endpoint: Endpoint
    at_us: int


class EndpointRemoved(msgspec.Struct, frozen=True, tag="endpoint-forgotten"):
    """A lost endpoint that owns no units is removed from the state."""

    name: str


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """A unit and the endpoint that is to own it; empty if that is not yet chosen."""

    unit: Unit
    endpoint: str


class RevokeUnits(msgspec.Struct, frozen=True, tag="revoke-units"):
    """Revoke units from their owners; each has no owner until it is granted again.

    Attributes:
        moves: Units with the endpoints that are to own them.
        cause: Cause of the moves, for the history.
        at_us: Wall-clock time in microseconds.
    """

    moves: tuple[Assignment, ...]
    cause: str
    at_us: int


class GrantUnits(msgspec.Struct, frozen=True, tag="grant-units"):
    """Grant units to endpoints after the leader has verified that they are free."""

    grants: tuple[Assignment, ...]
    cause: str
    at_us: int


class HostRecord(msgspec.Struct, frozen=True):
    """A host of the system itself, as opposed to an endpoint.

    Attributes:
        name: Host name.
        zone: Availability zone.
        region: Region.
        address: Link address ``IP:PORT``.
        operator_address: ``IP:PORT`` of its operator server.
        incarnation: Identifies one run of the process; differs after each restart.
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


class LeaseManagerAppointed(msgspec.Struct, frozen=True, tag="keeper-appointed"):
    """A host became lease manager of its zone; each appointment increases the epoch.

    Attributes:
        zone: The zone.
        host: The host.
        incarnation: Incarnation of the host. After a restart the host has lost its record
            of the leases it granted, so it needs another appointment.
    """

    zone: str
    host: str
    incarnation: str


class VoterChangeEnded(msgspec.Struct, frozen=True, tag="voter-change-ended"):
    """The leader has carried out the last step of a voter change."""


class RequestBanned(msgspec.Struct, frozen=True, tag="request-banned"):
    """A request crashed several endpoints and is refused from this entry on."""

    fingerprint: str
    service: str
    request: str


class BanEnded(msgspec.Struct, frozen=True, tag="ban-ended"):
    """A ban has expired."""

    fingerprint: str


Command = (
    OperatorChange
    | EndpointChanged
    | EndpointRemoved
    | RevokeUnits
    | GrantUnits
    | HostReported
    | LeaseManagerAppointed
    | VoterChangeEnded
    | RequestBanned
    | BanEnded
)
