"""Grants of an endpoint and the validation of orders against them."""

NEVER_S = float("-inf")


class GrantTable:
    """Decides whether an endpoint may run a request for a unit.

    All times are on the endpoint's own monotonic clock. The lease is counted from the
    sending of the announcement, so a slow reply only shortens it.

    Attributes:
        fence_by_unit: Fence by unit label.
        applied_version: Newest version whose revocations are in effect also for requests
            in progress; announcements contain this version.
        received_version: Newest version of grants received; 0 without grants in effect.
        lease_expires_s: Time at which the grants expire unless they are renewed.
        running_requests_by_unit: Number of requests in progress by unit label.

    Examples:
        >>> from greengagerock.model import AnnouncementReply, GrantedUnit
        >>> grant_table = GrantTable()
        >>> grant_table.apply_reply(AnnouncementReply(1.5, 9, (GrantedUnit("4", 7),)), 0.0, 0.1)
        >>> grant_table.start_request("4", 7, 0.2)
        True
        >>> grant_table.start_request("4", 6, 0.2), grant_table.start_request("4", 7, 1.6)
        (False, False)
    """

    __slots__ = (
        "applied_version",
        "fence_by_unit",
        "received_version",
        "lease_expires_s",
        "running_requests_by_unit",
    )

    def __init__(self):
        self.running_requests_by_unit = {}
        self._clear()

    def _clear(self):
        self.fence_by_unit = {}
        self.applied_version = 0
        self.received_version = 0
        self.lease_expires_s = NEVER_S

    def expire(self, now_s):
        """Remove all grants if the lease has expired."""
        if self.received_version and now_s >= self.lease_expires_s:
            self._clear()

    def apply_reply(self, reply, sent_s, now_s):
        """Apply the reply to an announcement.

        Args:
            reply: The ``AnnouncementReply``.
            sent_s: Time at which the announcement was sent.
            now_s: The current time.
        """
        self.expire(now_s)
        is_outdated = reply.version < self.received_version
        if reply.lease_s <= 0 or is_outdated or sent_s + reply.lease_s <= now_s:
            return
        if reply.grants is not None:
            self.fence_by_unit = {grant.unit: grant.fence for grant in reply.grants}
            self.received_version = reply.version
        elif self.received_version and self.applied_version == self.received_version:
            self.received_version = reply.version
        else:
            return
        self.lease_expires_s = max(self.lease_expires_s, sent_s + reply.lease_s)
        self._mark_applied()

    def start_request(self, unit, fence, now_s):
        """Validate an order and, if it is valid, count the request as running.

        An order with a fence that is newer than all received grants is valid: the router
        has received the grant before the endpoint.

        Args:
            unit: Unit label.
            fence: Fence of the order.
            now_s: The current time.

        Returns:
            Whether the request may run; if so, ``end_request`` has to be called when it ends.
        """
        self.expire(now_s)
        if not self.received_version:
            return False
        if fence > self.received_version:
            self.fence_by_unit[unit] = max(fence, self.fence_by_unit.get(unit, 0))
        elif self.fence_by_unit.get(unit) != fence:
            return False
        self.running_requests_by_unit[unit] = self.running_requests_by_unit.get(unit, 0) + 1
        return True

    def still_owns(self, unit, fence, now_s):
        """Return whether a running request may still take effect.

        An endpoint calls this immediately before it commits, so that a request that was
        delayed for longer than the lease has no effect.
        """
        return (
            bool(self.received_version)
            and now_s < self.lease_expires_s
            and (self.fence_by_unit.get(unit) == fence)
        )

    def end_request(self, unit):
        """Count a running request as ended."""
        self.running_requests_by_unit[unit] -= 1
        if not self.running_requests_by_unit[unit]:
            del self.running_requests_by_unit[unit]
        self._mark_applied()

    def _mark_applied(self):
        """Mark the received version as applied once no request for a revoked unit is running."""
        if all(unit in self.fence_by_unit for unit in self.running_requests_by_unit):
            self.applied_version = self.received_version
