"""Endpoint sessions: the leases that let endpoints use their grants."""

from greengagerock.model import STATE_LOST
from greengagerock.model.timing import ENDPOINT_LEASE_S, lessor_duration

NEVER_S = float("-inf")


class Session:
    """One endpoint's session with the lease manager of its zone.

    All times are on the lease manager's clock.

    Attributes:
        announcement: The newest announcement, or ``None`` if this lease manager has
            received none since its appointment.
        announced_s: Time of the newest announcement of any incarnation.
        incarnation: Incarnation that holds the lease.
        expires_s: Time at which the lease has certainly expired.
        is_lost: Whether the lease expired and the leader has not recorded the loss yet.
        confirmed_version: Newest applied version whose receipt the leader has confirmed.
        early_sent_version: Newest applied version for which a heartbeat was sent ahead of
            its interval.
    """

    __slots__ = (
        "announcement",
        "early_sent_version",
        "expires_s",
        "announced_s",
        "incarnation",
        "is_lost",
        "confirmed_version",
    )

    def __init__(self, incarnation, now_s):
        self.announcement = None
        self.incarnation = incarnation
        self.announced_s = now_s
        self.expires_s = NEVER_S
        self.is_lost = False
        self.confirmed_version = 0
        self.early_sent_version = 0

    def renew(self, now_s, lease_s):
        """Extend the lease and return its duration for the endpoint."""
        self.expires_s = max(self.expires_s, now_s + lessor_duration(lease_s))
        return lease_s

    def is_silent(self, now_s):
        """Return whether the last announcement is older than a full lease."""
        return now_s - self.announced_s > ENDPOINT_LEASE_S

    @property
    def applied_version(self):
        """Newest version that the endpoint has announced as applied."""
        return self.announcement.applied_version if self.announcement else 0


def endpoint_lease_s(service, now_s, contact_s):
    """Return the longest lease that may be granted to an endpoint.

    Args:
        service: The endpoint's service.
        now_s: Current time of the lease manager.
        contact_s: Time, on the lease manager's clock, at which it sent the newest
            heartbeat that the leader replied to.

    Returns:
        Seconds; 0 once the zone has been cut off from the leader for longer than the
        service's ``cut_hold_s``.
    """
    if not service.keyed:
        return ENDPOINT_LEASE_S
    return max(0.0, min(ENDPOINT_LEASE_S, contact_s + service.cut_hold_s - now_s))


def matches_record(record, announcement):
    """Return whether the replicated record matches an announcement."""
    return (
        record is not None
        and record.state != STATE_LOST
        and record.incarnation == announcement.incarnation
        and record.address == announcement.address
        and record.concurrency == announcement.concurrency
        and record.checks_orders == announcement.checks_orders
        and (record.drained_by_operator or record.state == announcement.state)
    )
