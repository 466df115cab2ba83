"""Lease managers of availability zones, route leases and endpoint sessions."""

from greengagerock.membership.lease import RouteLease
from greengagerock.membership.lease_manager import LeaseManager
from greengagerock.membership.lease_manager_client import LeaseManagerClient
from greengagerock.membership.messages import (
    AnnouncementRelay,
    AnnouncementRelayReply,
    EndpointReport,
    Hello,
    HelloReply,
    LeaseManagerDismissed,
    LeaseManagerGrant,
    LeaseManagerHeartbeat,
    LeaseManagerLeaving,
    LeaseManagerStarted,
    RouterGrant,
    RouterHeartbeat,
    ZoneHost,
)

__all__ = [
    "AnnouncementRelayReply",
    "AnnouncementRelay",
    "EndpointReport",
    "Hello",
    "HelloReply",
    "LeaseManager",
    "LeaseManagerHeartbeat",
    "LeaseManagerDismissed",
    "LeaseManagerGrant",
    "LeaseManagerStarted",
    "LeaseManagerLeaving",
    "RouteLease",
    "RouterHeartbeat",
    "RouterGrant",
    "LeaseManagerClient",
    "ZoneHost",
]
