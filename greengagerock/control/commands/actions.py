"""Actions of operators. A change is a batch of these actions."""

import msgspec

from greengagerock.model import KeyRule


class CreateService(msgspec.Struct, frozen=True, tag="create-service"):
    """Create a service.

    Attributes:
        name: Service name.
        key_rule: Part of a request that contains the key.
        slots: Number of slots; 0 without keys.
        settings: Rule names and values that differ from the defaults.
    """

    name: str
    key_rule: KeyRule
    slots: int
    settings: tuple[tuple[str, float], ...] = ()


class AlterService(msgspec.Struct, frozen=True, tag="alter-service"):
    """Change rules of a service."""

    name: str
    settings: tuple[tuple[str, float], ...]


class DropService(msgspec.Struct, frozen=True, tag="drop-service"):
    """Remove a service and all its ownership records."""

    name: str


class DrainEndpoint(msgspec.Struct, frozen=True, tag="drain-endpoint"):
    """Move all work away from an endpoint."""

    name: str


class ResumeEndpoint(msgspec.Struct, frozen=True, tag="resume-endpoint"):
    """End an operator's drain."""

    name: str


class PinKey(msgspec.Struct, frozen=True, tag="pin-key"):
    """Make a key a unit of its own, which may have another owner than its slot."""

    service: str
    key: str


class UnpinKey(msgspec.Struct, frozen=True, tag="unpin-key"):
    """Make a pinned key part of its slot again."""

    service: str
    key: str


class ReplaceVoter(msgspec.Struct, frozen=True, tag="replace-voter"):
    """Replace, add or remove a voter.

    Attributes:
        old: Host name of the voter to remove, or the empty string to add only.
        new: Host name of the voter to add, or the empty string to remove only.
    """

    old: str
    new: str


class CancelVoterChange(msgspec.Struct, frozen=True, tag="cancel-voter-change"):
    """Cancel the voter change in progress."""


class ForgetHost(msgspec.Struct, frozen=True, tag="forget-host"):
    """Remove a host that has left the system permanently."""

    name: str


class LiftBan(msgspec.Struct, frozen=True, tag="lift-ban"):
    """End the ban of a request before it expires."""

    fingerprint: str


Action = (
    CreateService
    | AlterService
    | DropService
    | DrainEndpoint
    | ResumeEndpoint
    | PinKey
    | UnpinKey
    | ReplaceVoter
    | CancelVoterChange
    | LiftBan
    | ForgetHost
)
