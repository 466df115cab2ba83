"""What operators can ask."""

import msgspec


class ShowOwner(msgspec.Struct, frozen=True, tag="show-owner"):
    """Who owns a key."""

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
    """How unevenly units lie on the endpoints of each service."""

    service: str = ""


class ShowMoves(msgspec.Struct, frozen=True, tag="show-moves"):
    """Units that changed owner, and why.

    Attributes:
        service: Only this service, or empty for all.
        since_s: Only the last so many seconds; 0 for all that is kept.
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
    """Units that are between two owners."""


class ShowHealth(msgspec.Struct, frozen=True, tag="show-health"):
    """Endpoints by state, services without an owner for some unit, and the leader."""


class ShowZones(msgspec.Struct, frozen=True, tag="show-zones"):
    """Availability zones with their keepers and what they have in force."""


class ShowHosts(msgspec.Struct, frozen=True, tag="show-hosts"):
    """The system's own hosts."""


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
