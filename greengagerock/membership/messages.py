"""Messages between routers, lease managers and the controller's leader."""

import msgspec
import xxhash

from greengagerock.control.commands import HostRecord
from greengagerock.model import Announcement, AnnouncementReply, Endpoint, RouteDelta


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Sent by a host to a voter to request the address of its lease manager.

    Attributes:
        host: Record of the sending host.
        version: Version of the sender's routes.
    """

    host: HostRecord
    version: int


class ZoneHost(msgspec.Struct, frozen=True, array_like=True):
    """Name and link address of a host."""

    name: str
    address: str


def digest_hosts(hosts):
    """Return a digest of hosts that does not depend on their order.

    Args:
        hosts: ``ZoneHost`` objects.
    """
    text = msgspec.msgpack.encode(sorted((host.name, host.address) for host in hosts))
    return xxhash.xxh3_64_intdigest(text)


class HelloReply(msgspec.Struct, frozen=True, tag="hello-reply"):
    """A voter's reply to a ``Hello``: addresses of the lease manager and the leader.

    Attributes:
        leader: Link address of the leader, or the empty string.
        incarnation: Incarnation of the host that the reply is addressed to.
        lease_manager: Host name of the zone's lease manager, or the empty string.
        lease_manager_address: Link address of the lease manager.
        epoch: Epoch of the lease manager's appointment.
        zone_hosts: All hosts of the zone.
        electorate: Hosts of which a majority must follow the lease manager for it to
            grant leases without contact with the leader.
        earlier_electorates: Electorates of earlier lease managers of the zone.
        voters: Link addresses of the current voters.
        zone_lease_age_s: Seconds since the latest time at which the leader can have renewed
            the delegation of an earlier lease manager.
    """

    leader: str
    incarnation: str
    lease_manager: str = msgspec.field(default="", name="keeper")
    lease_manager_address: str = msgspec.field(default="", name="keeper_address")
    epoch: int = 0
    zone_hosts: tuple[ZoneHost, ...] = ()
    electorate: tuple[str, ...] = ()
    earlier_electorates: tuple[tuple[str, ...], ...] = msgspec.field(default=(), name="rivals")
    voters: tuple[str, ...] = ()
    zone_lease_age_s: float = msgspec.field(default=0.0, name="granted_age_s")


class EndpointReport(msgspec.Struct, frozen=True):
    """State of an endpoint that the leader may not have recorded yet.

    Attributes:
        endpoint: The endpoint as announced, or with the state ``lost``.
        applied_version: Newest version of grants that the endpoint has applied.
    """

    endpoint: Endpoint
    applied_version: int


class LeaseManagerHeartbeat(msgspec.Struct, frozen=True, tag="keeper-beat"):
    """Periodic heartbeat of a lease manager to the leader.

    Attributes:
        zone: Availability zone of the lease manager.
        host: Host name of the lease manager.
        epoch: Epoch of the appointment.
        sent_s: Time of sending on the sender's monotonic clock, copied into the reply.
        version: Version of the sender's routes.
        acknowledged: Routes version in effect at every router of the zone that has a
            lease.
        reports: Endpoints whose state the leader may not have recorded yet.
        hosts_digest: Digest of the sender's list of the zone's hosts.
    """

    zone: str
    host: str
    epoch: int
    sent_s: float
    version: int
    acknowledged: int
    reports: tuple[EndpointReport, ...] = ()
    hosts_digest: int = 0


class LeaseManagerGrant(msgspec.Struct, frozen=True, tag="keeper-grant"):
    """The leader's reply to a ``LeaseManagerHeartbeat``: renews the zone's delegation.

    Attributes:
        epoch: Epoch of the renewed appointment.
        heartbeat_sent_s: ``sent_s`` of the heartbeat.
        zone_hosts: All hosts of the zone if the lease manager's list differs, else empty.
        delta: Route changes since the lease manager's version, or ``None``.
    """

    epoch: int
    heartbeat_sent_s: float = msgspec.field(name="echo_s")
    zone_hosts: tuple[ZoneHost, ...]
    delta: RouteDelta | None = None


class LeaseManagerDismissed(msgspec.Struct, frozen=True, tag="keeper-dismissed"):
    """Notice that another host is the zone's lease manager since ``epoch``."""

    epoch: int


class LeaseManagerStarted(msgspec.Struct, frozen=True, tag="keeper-here"):
    """Notice of a new lease manager to the hosts of its zone."""

    epoch: int


class LeaseManagerLeaving(msgspec.Struct, frozen=True, tag="keeper-leaving"):
    """Request to the leader, from a lease manager that is stopping, for a successor."""

    zone: str
    host: str
    epoch: int


class RouterHeartbeat(msgspec.Struct, frozen=True, tag="router-beat"):
    """Periodic heartbeat of a router to its lease manager.

    Attributes:
        host: The router's host name.
        epoch: Epoch of the lease manager that the router follows.
        sent_s: Time of sending on the router's monotonic clock, copied into the reply.
        version: Version of the router's routes.
        acknowledged: Routes version in effect for all requests of the router, including
            those in flight.
    """

    host: str
    epoch: int
    sent_s: float
    version: int
    acknowledged: int


class RouterGrant(msgspec.Struct, frozen=True, tag="router-grant"):
    """The lease manager's reply to a ``RouterHeartbeat``: renews the router's lease.

    Attributes:
        epoch: Epoch of the lease manager.
        heartbeat_sent_s: ``sent_s`` of the heartbeat.
        lease_s: Lease duration in seconds from ``heartbeat_sent_s``.
        contact_age_s: Seconds, when this reply is sent, since the lease manager sent the
            newest heartbeat that the leader replied to.
        leader: Link address of the leader according to the lease manager.
        delta: Route changes since the router's version, or ``None``.
    """

    epoch: int
    heartbeat_sent_s: float = msgspec.field(name="echo_s")
    lease_s: float
    contact_age_s: float
    leader: str
    delta: RouteDelta | None = None


class AnnouncementRelay(msgspec.Struct, frozen=True, tag="announcement-relay"):
    """An endpoint's announcement, forwarded by a router to its lease manager."""

    token: int
    announcement: Announcement


class AnnouncementRelayReply(msgspec.Struct, frozen=True, tag="announcement-answer"):
    """The lease manager's reply to an ``AnnouncementRelay``."""

    token: int
    reply: AnnouncementReply
