"""What a leader knows about the availability zones beyond the replicated state."""

import msgspec

from greengagerock.model import lender_duration
from greengagerock.model.timing import FOREIGN_LEASE_S, KEEPER_SILENCE_LIMIT_S

ZONE_SETTLE_S = 0.6


class ZoneWatch:
    """One availability zone as the leader sees it.

    Attributes:
        name: The zone.
        granted_s: Leader's time at which it last renewed the zone's delegation. A
            new leader counts from its election, since its predecessor may have
            renewed it until then.
        beat_s: Leader's time of the newest beat of the zone's keeper.
        beat_sent_s: The keeper's own time of that beat.
        epoch: Epoch of the keeper that sent it.
        acknowledged: Version in force at every router of the zone with a lease.
        candidates: Times of the newest hello by host, for the choice of a keeper; the
            hosts are pairs of whether they have a voter, and name.
        changed_s: Leader's time at which a host was first heard.
    """

    __slots__ = (
        "acknowledged",
        "beat_s",
        "beat_sent_s",
        "candidates",
        "changed_s",
        "epoch",
        "granted_s",
        "name",
    )

    def __init__(self, name, now_s):
        self.name = name
        self.granted_s = now_s
        self.beat_s = now_s
        self.beat_sent_s = float("-inf")
        self.epoch = 0
        self.acknowledged = 0
        self.candidates = {}
        self.changed_s = now_s

    def take_beat(self, beat, now_s):
        """Take in a keeper's beat.

        Returns:
            False if it is older than one already taken in.
        """
        if (beat.epoch, beat.sent_s) <= (self.epoch, self.beat_sent_s):
            return False
        if beat.epoch > self.epoch:
            self.acknowledged = 0
        self.epoch = beat.epoch
        self.beat_sent_s = beat.sent_s
        self.beat_s = now_s
        self.acknowledged = max(self.acknowledged, beat.acknowledged)
        return True

    def keeper_is_silent(self, now_s):
        """Return whether the zone needs another keeper."""
        return now_s - self.beat_s > KEEPER_SILENCE_LIMIT_S

    def has_settled(self, now_s):
        """Return whether no host has joined for a while.

        The first keeper's electorate should hold all hosts that start together.
        """
        return now_s - self.changed_s > ZONE_SETTLE_S

    def best_candidate(self, now_s):
        """Return the name of a host that was heard recently, or ``None``.

        Hosts without a voter come first, so that the loss of one host seldom takes
        leader and keeper together.
        """
        recent = [c for c, s in self.candidates.items() if now_s - s < KEEPER_SILENCE_LIMIT_S]
        return min(recent)[1] if recent else None

    def home_lease_ended(self, now_s, service):
        """Return whether the zone has surely stopped using its own keys of a service."""
        hold_s = service.hold_for(self.acknowledged)
        return now_s > self.granted_s + lender_duration(hold_s)

    def foreign_lease_ended(self, now_s):
        """Return whether the zone's routers have surely stopped sending to other zones."""
        return now_s > self.granted_s + lender_duration(FOREIGN_LEASE_S)


class Release(msgspec.Struct, frozen=True):
    """Whether a revoked unit is free, and if not, which zones are awaited.

    Attributes:
        free: Whether the unit may be granted to its next owner.
        awaited: Availability zones that have neither acknowledged nor lost their lease.
    """

    free: bool
    awaited: tuple[str, ...] = ()


def routers_released(watches, version, source_zone, service, now_s):
    """Check that no router can still send by routes older than ``version``.

    Args:
        watches: ``ZoneWatch`` objects of all zones.
        version: Version at which the unit was revoked.
        source_zone: Zone of the endpoint that owned it.
        service: The service of the unit.
        now_s: The leader's time.

    Returns:
        A ``Release``.
    """
    awaited = []
    for watch in watches:
        if watch.acknowledged >= version:
            continue
        if watch.name == source_zone:
            ended = watch.home_lease_ended(now_s, service)
        else:
            ended = watch.foreign_lease_ended(now_s)
        if not ended:
            awaited.append(watch.name)
    return Release(not awaited, tuple(awaited))
