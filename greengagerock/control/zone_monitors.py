"""The leader's view of the availability zones, which is not part of the replicated state."""

import msgspec

from greengagerock.model import lessor_duration
from greengagerock.model.timing import LEASE_MANAGER_SILENCE_LIMIT_S, REMOTE_ZONE_LEASE_S

# Time without a new host after which the first lease manager of a zone is appointed.
ZONE_SETTLE_S = 0.6


class ZoneMonitor:
    """The leader's view of one availability zone.

    Attributes:
        name: The zone.
        lease_renewed_s: When the leader last renewed the zone's lease, in the leader's
            clock. A new leader assumes the time of its election, since its predecessor
            may have renewed the lease until then.
        heartbeat_s: When the newest heartbeat of the zone's lease manager was received, in
            the leader's clock.
        heartbeat_sent_s: When that heartbeat was sent, in the lease manager's clock.
        epoch: Epoch of the lease manager that sent it.
        acknowledged: Version in effect at every router of the zone that has a lease.
        candidates: Time of the newest hello by candidate for the zone's lease manager; a
            candidate is a pair of whether the host has a voter, and the host's name.
        last_join_s: When the newest host of the zone sent its first hello, in the leader's
            clock.
    """

    __slots__ = (
        "acknowledged",
        "candidates",
        "epoch",
        "heartbeat_s",
        "heartbeat_sent_s",
        "last_join_s",
        "lease_renewed_s",
        "name",
    )

    def __init__(self, name, now_s):
        self.name = name
        self.lease_renewed_s = now_s
        self.heartbeat_s = now_s
        self.heartbeat_sent_s = float("-inf")
        self.epoch = 0
        self.acknowledged = 0
        self.candidates = {}
        self.last_join_s = now_s

    def record_heartbeat(self, heartbeat, now_s):
        """Process a heartbeat of the zone's lease manager.

        Returns:
            False if it is not newer than one already processed.
        """
        if (heartbeat.epoch, heartbeat.sent_s) <= (self.epoch, self.heartbeat_sent_s):
            return False
        if heartbeat.epoch > self.epoch:
            self.acknowledged = 0
        self.epoch = heartbeat.epoch
        self.heartbeat_sent_s = heartbeat.sent_s
        self.heartbeat_s = now_s
        self.acknowledged = max(self.acknowledged, heartbeat.acknowledged)
        return True

    def is_manager_silent(self, now_s):
        """Return whether the zone needs another lease manager because heartbeats are missing."""
        return now_s - self.heartbeat_s > LEASE_MANAGER_SILENCE_LIMIT_S

    def has_settled(self, now_s):
        """Return whether no host has joined for ``ZONE_SETTLE_S``.

        The electorate of the first lease manager should contain all hosts that start together.
        """
        return now_s - self.last_join_s > ZONE_SETTLE_S

    def best_candidate(self, now_s):
        """Return the name of a host that sent a hello recently, or ``None``.

        Hosts without a voter are preferred, so that the loss of one host seldom removes
        both the leader and a lease manager.
        """
        recent = [
            c for c, s in self.candidates.items() if now_s - s < LEASE_MANAGER_SILENCE_LIMIT_S
        ]
        return min(recent)[1] if recent else None

    def has_local_lease_ended(self, now_s, service):
        """Return whether routers of the zone have certainly stopped sending to its own endpoints.

        Args:
            now_s: The leader's time, in monotonic seconds.
            service: The service of the endpoints.
        """
        hold_s = service.longest_cut_hold_s(self.acknowledged)
        return now_s > self.lease_renewed_s + lessor_duration(hold_s)

    def has_remote_lease_ended(self, now_s):
        """Return whether routers of the zone have certainly stopped sending to remote zones."""
        return now_s > self.lease_renewed_s + lessor_duration(REMOTE_ZONE_LEASE_S)


class ReleaseStatus(msgspec.Struct, frozen=True):
    """Whether a revoked unit is free, and otherwise which zones still delay it.

    Attributes:
        free: Whether the unit may be granted to its next owner.
        awaited: Availability zones that have neither acknowledged the revocation nor lost
            their lease.
    """

    free: bool
    awaited: tuple[str, ...] = ()


def routers_released(zone_monitors, version, source_zone, service, now_s):
    """Check whether no router can still send requests according to routes older than ``version``.

    Args:
        zone_monitors: ``ZoneMonitor`` objects of all zones.
        version: Route version at which the unit was revoked.
        source_zone: Zone of the endpoint that owned the unit.
        service: The service of the unit.
        now_s: The leader's time, in monotonic seconds.

    Returns:
        A ``ReleaseStatus``.
    """
    awaited = []
    for monitor in zone_monitors:
        if monitor.acknowledged >= version:
            continue
        if monitor.name == source_zone:
            has_ended = monitor.has_local_lease_ended(now_s, service)
        else:
            has_ended = monitor.has_remote_lease_ended(now_s)
        if not has_ended:
            awaited.append(monitor.name)
    return ReleaseStatus(not awaited, tuple(awaited))
