"""Messages between routers, zone keepers and the controller's leader."""

import msgspec
import xxhash

from greengagerock.control.commands import HostRecord
from greengagerock.model import Announcement, AnnouncementReply, Endpoint, RouteDelta


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """A host without a keeper introduces itself to a voter.

    Attributes:
        host: The host's record.
        version: Version of its routes.
    """

    host: HostRecord
    version: int


class ZoneHost(msgspec.Struct, frozen=True, array_like=True):
    """Name and link address of a host."""

    name: str
    address: str


def digest_hosts(hosts):
    """Return a digest of hosts, whatever their order.

    Args:
        hosts: ``ZoneHost`` objects.
    """
    text = msgspec.msgpack.encode(sorted((host.name, host.address) for host in hosts))
    return xxhash.xxh3_64_intdigest(text)


class HelloReply(msgspec.Struct, frozen=True, tag="hello-reply"):
    """Where the host finds its keeper and the leader.

    Attributes:
        leader: Link address of the leader, or the empty string.
        incarnation: Incarnation of the host that the reply is meant for.
        keeper: Host name of the zone's keeper, or the empty string.
        keeper_address: Link address of the keeper.
        epoch: Epoch of the keeper's appointment.
        zone_hosts: All hosts of the zone.
        electorate: Hosts whose majority lets the keeper lend without the leader.
        rivals: Electorates of earlier keepers.
        voters: Link addresses of the present voters.
        granted_age_s: Seconds since the leader may last have renewed the delegation of
            an earlier keeper.
    """

    leader: str
    incarnation: str
    keeper: str = ""
    keeper_address: str = ""
    epoch: int = 0
    zone_hosts: tuple[ZoneHost, ...] = ()
    electorate: tuple[str, ...] = ()
    rivals: tuple[tuple[str, ...], ...] = ()
    voters: tuple[str, ...] = ()
    granted_age_s: float = 0.0


class EndpointReport(msgspec.Struct, frozen=True):
    """What a keeper knows about an endpoint and the leader may not.

    Attributes:
        endpoint: The endpoint as announced, or as lost.
        applied_version: Newest grant version that it has put into force.
    """

    endpoint: Endpoint
    applied_version: int


class KeeperBeat(msgspec.Struct, frozen=True, tag="keeper-beat"):
    """A keeper's periodic report to the leader.

    Attributes:
        zone: Its availability zone.
        host: Its host name.
        epoch: Epoch of its appointment.
        sent_s: Its monotonic time of sending, returned in the answer.
        version: Version of its routes.
        acknowledged: Version that every router of the zone with a lease has in force.
        reports: Endpoints about which the leader may not know everything.
        hosts_digest: Digest of the zone's hosts that the keeper knows.
    """

    zone: str
    host: str
    epoch: int
    sent_s: float
    version: int
    acknowledged: int
    reports: tuple[EndpointReport, ...] = ()
    hosts_digest: int = 0


class KeeperGrant(msgspec.Struct, frozen=True, tag="keeper-grant"):
    """The leader's answer: the zone's delegation is renewed.

    Attributes:
        epoch: Epoch that it renews.
        echo_s: ``sent_s`` of the beat that it answers.
        zone_hosts: All hosts of the zone if the keeper knows others, else nothing.
        delta: Route changes that the keeper lacks, or ``None``.
    """

    epoch: int
    echo_s: float
    zone_hosts: tuple[ZoneHost, ...]
    delta: RouteDelta | None = None


class KeeperDismissed(msgspec.Struct, frozen=True, tag="keeper-dismissed"):
    """Another host keeps the zone, since ``epoch``."""

    epoch: int


class KeeperHere(msgspec.Struct, frozen=True, tag="keeper-here"):
    """A new keeper tells the hosts of its zone whom to follow."""

    epoch: int


class KeeperLeaving(msgspec.Struct, frozen=True, tag="keeper-leaving"):
    """A keeper that stops asks the leader for a successor."""

    zone: str
    host: str
    epoch: int


class RouterBeat(msgspec.Struct, frozen=True, tag="router-beat"):
    """A router's periodic report to its keeper.

    Attributes:
        host: The router's host name.
        epoch: Epoch of the keeper that it follows.
        sent_s: Its monotonic time of sending, returned in the answer.
        version: Version of its routes.
        acknowledged: Version that is in force for all its requests, those in
            flight included.
    """

    host: str
    epoch: int
    sent_s: float
    version: int
    acknowledged: int


class RouterGrant(msgspec.Struct, frozen=True, tag="router-grant"):
    """The keeper's answer: the router's lease is renewed.

    Attributes:
        epoch: Epoch of the keeper.
        echo_s: ``sent_s`` of the beat that it answers.
        lease_s: Lease duration in seconds from ``echo_s``.
        contact_age_s: Seconds since the keeper's newest answered contact with the
            leader, at the moment of sending.
        leader: Link address of the leader as the keeper knows it.
        delta: Route changes that the router lacks, or ``None``.
    """

    epoch: int
    echo_s: float
    lease_s: float
    contact_age_s: float
    leader: str
    delta: RouteDelta | None = None


class AnnouncementRelay(msgspec.Struct, frozen=True, tag="announcement-relay"):
    """A router passes an endpoint's announcement to its keeper."""

    token: int
    announcement: Announcement


class AnnouncementAnswer(msgspec.Struct, frozen=True, tag="announcement-answer"):
    """The keeper's answer to a relayed announcement."""

    token: int
    reply: AnnouncementReply
