"""Endpoint sessions: the leases under which endpoints use their grants."""

from greengagerock.model import STATE_LOST
from greengagerock.model.timing import ENDPOINT_LEASE_S, lender_duration

NEVER_S = float("-inf")


class Session:
    """One endpoint's session with its zone keeper.

    Attributes:
        announcement: The newest announcement, or ``None`` if this keeper has
            heard none since its appointment.
        heard_s: Keeper's time of the newest announcement of any incarnation.
        incarnation: Incarnation that holds the lease.
        expires_s: Keeper's time at which the lease has surely run out.
        lost: Whether the lease ran out and the leader has yet to take note.
        reported_version: Applied version that the leader is known to have.
        beaten_version: Applied version of the newest beat that was sent early.
    """

    __slots__ = (
        "announcement",
        "beaten_version",
        "expires_s",
        "heard_s",
        "incarnation",
        "lost",
        "reported_version",
    )

    def __init__(self, incarnation, now_s):
        self.announcement = None
        self.incarnation = incarnation
        self.heard_s = now_s
        self.expires_s = NEVER_S
        self.lost = False
        self.reported_version = 0
        self.beaten_version = 0

    def renew(self, now_s, lease_s):
        """Extend the lease and return its duration for the endpoint."""
        self.expires_s = max(self.expires_s, now_s + lender_duration(lease_s))
        return lease_s

    def is_silent(self, now_s):
        """Return whether the endpoint has announced nothing for a whole lease."""
        return now_s - self.heard_s > ENDPOINT_LEASE_S

    @property
    def applied_version(self):
        """Newest version that the endpoint has announced as in force."""
        return self.announcement.applied_version if self.announcement else 0


def endpoint_lease_s(service, now_s, contact_s):
    """Return how long an endpoint's lease may be.

    Args:
        service: The endpoint's service.
        now_s: Keeper's time.
        contact_s: Keeper's time of its newest answered contact with the leader.

    Returns:
        Seconds; 0 once the zone has been cut off for longer than the service allows.
    """
    if not service.keyed:
        return ENDPOINT_LEASE_S
    return max(0.0, min(ENDPOINT_LEASE_S, contact_s + service.cut_hold_s - now_s))


def is_settled(record, announcement):
    """Return whether the agreed record says the same as an announcement."""
    return (
        record is not None
        and record.state != STATE_LOST
        and record.incarnation == announcement.incarnation
        and record.address == announcement.address
        and record.concurrency == announcement.concurrency
        and record.checks_orders == announcement.checks_orders
        and (record.drained_by_operator or record.state == announcement.state)
    )
