"""The queries of operators."""

import msgspec


class ShowOwner(msgspec.Struct, frozen=True, tag="show-owner"):
    """The owner of a key."""

    key: str
    service: str


class ShowServices(msgspec.Struct, frozen=True, tag="show-services"):
    """All services with their rules."""


class ShowEndpoints(msgspec.Struct, frozen=True, tag="show-endpoints"):
    """All endpoints, or those of one service."""

    service: str = ""


class ShowSlots(msgspec.Struct, frozen=True, tag="show-slots"):
    """The units that an endpoint owns."""

    endpoint: str


class ShowImbalance(msgspec.Struct, frozen=True, tag="show-imbalance"):
    """How unevenly units are distributed over the endpoints of each service."""

    service: str = ""


class ShowMoves(msgspec.Struct, frozen=True, tag="show-moves"):
    """Changes of units' owners, with their causes.

    Attributes:
        service: Only this service, or empty for all.
        since_s: Length of the period up to now, in seconds; 0 for all stored moves.
    """

    service: str = ""
    since_s: float = 0.0


class ShowChurn(msgspec.Struct, frozen=True, tag="show-churn"):
    """Number of moves by service and cause."""

    since_s: float = 0.0


class ShowChanges(msgspec.Struct, frozen=True, tag="show-changes"):
    """Accepted changes with their authors."""

    since_s: float = 0.0


class ShowBans(msgspec.Struct, frozen=True, tag="show-bans"):
    """Requests that are refused because they crashed endpoints."""


class ShowPins(msgspec.Struct, frozen=True, tag="show-pins"):
    """Pinned keys and their owners."""


class ShowTransfers(msgspec.Struct, frozen=True, tag="show-transfers"):
    """Units that are revoked and not yet granted again."""


class ShowHealth(msgspec.Struct, frozen=True, tag="show-health"):
    """Number of endpoints by state and of slots without an owner, for each service."""


class ShowZones(msgspec.Struct, frozen=True, tag="show-zones"):
    """Availability zones with their lease managers and the versions in effect."""


class ShowHosts(msgspec.Struct, frozen=True, tag="show-hosts"):
    """Hosts of the system itself, as opposed to endpoints."""


class ShowVoters(msgspec.Struct, frozen=True, tag="show-voters"):
    """Voters and learner of the replicated log."""


Query = (
    ShowOwner
    | ShowServices
    | ShowEndpoints
    | ShowSlots
    | ShowImbalance
    | ShowMoves
    | ShowChurn
    | ShowChanges
    | ShowBans
    | ShowPins
    | ShowTransfers
    | ShowHealth
    | ShowZones
    | ShowHosts
    | ShowVoters
)
