"""Lease managers of availability zones, route leases and endpoint sessions."""

from greengagerock.membership.lease import RouteLease
from greengagerock.membership.lease_manager import Keeper
from greengagerock.membership.lease_manager_client import ZoneFollower
from greengagerock.membership.messages import (
    AnnouncementAnswer,
    AnnouncementRelay,
    EndpointReport,
    Hello,
    HelloReply,
    KeeperBeat,
    KeeperDismissed,
    KeeperGrant,
    KeeperHere,
    KeeperLeaving,
    RouterBeat,
    RouterGrant,
    ZoneHost,
)

__all__ = [
    "AnnouncementAnswer",
    "AnnouncementRelay",
    "EndpointReport",
    "Hello",
    "HelloReply",
    "Keeper",
    "KeeperBeat",
    "KeeperDismissed",
    "KeeperGrant",
    "KeeperHere",
    "KeeperLeaving",
    "RouteLease",
    "RouterBeat",
    "RouterGrant",
    "ZoneFollower",
    "ZoneHost",
]
