"""The route lease, which a router needs to send requests for keys."""

from greengagerock.model.timing import REMOTE_ZONE_LEASE_S

NEVER_S = float("-inf")


class RouteLease:
    """A router's permission to use its routes.

    All times are on the router's own monotonic clock and are counted from the
    sending of its heartbeats, so a slow reply only shortens the lease.

    Attributes:
        expires_s: Time at which the lease from the lease manager ends.
        contact_s: Latest time at which the lease manager is known to have been in
            contact with the leader.
    """

    __slots__ = ("contact_s", "expires_s")

    def __init__(self):
        self.expires_s = NEVER_S
        self.contact_s = NEVER_S

    def renew(self, grant):
        """Extend the lease by a ``RouterGrant`` of the lease manager."""
        self.expires_s = max(self.expires_s, grant.heartbeat_sent_s + grant.lease_s)
        self.contact_s = max(self.contact_s, grant.heartbeat_sent_s - grant.contact_age_s)

    def allows(self, service, is_local_zone, now_s):
        """Return whether a request may be sent to a key's owner.

        Args:
            service: The service.
            is_local_zone: Whether the owner is in this router's availability zone.
            now_s: Current time of the router.
        """
        if now_s >= self.expires_s:
            return False
        hold_s = service.cut_hold_s if is_local_zone else REMOTE_ZONE_LEASE_S
        return now_s < self.contact_s + hold_s

    def contact_age_s(self, now_s):
        """Return the seconds since ``contact_s``."""
        return now_s - self.contact_s
