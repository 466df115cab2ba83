"""The grants that an endpoint holds, and the check of orders against them."""

NEVER_S = float("-inf")


class GrantBook:
    """Decides whether an endpoint may run a request for a unit.

    All moments are on the endpoint's own monotonic clock. The lease is counted
    from the sending of the announcement, so a slow answer only shortens it.

    Attributes:
        granted: Fence by unit label.
        applied_version: Newest version whose revocations are in force, requests in
            progress included; this is what announcements carry.
        known_version: Newest version received.
        lease_until_s: When the grants end unless renewed.
        running: Number of requests in progress by unit label.

    Examples:
        >>> from greengagerock.model import AnnouncementReply, GrantedUnit
        >>> book = GrantBook()
        >>> book.take(AnnouncementReply(1.5, 9, (GrantedUnit("4", 7),)), 0.0, 0.1)
        >>> book.admit("4", 7, 0.2)
        True
        >>> book.admit("4", 6, 0.2), book.admit("4", 7, 1.6)
        (False, False)
    """

    __slots__ = ("applied_version", "granted", "known_version", "lease_until_s", "running")

    def __init__(self):
        self.running = {}
        self._reset()

    def _reset(self):
        self.granted = {}
        self.applied_version = 0
        self.known_version = 0
        self.lease_until_s = NEVER_S

    def expire(self, now_s):
        """Forget all grants if the lease has run out."""
        if self.known_version and now_s >= self.lease_until_s:
            self._reset()

    def take(self, reply, sent_s, now_s):
        """Take in the answer to an announcement.

        Args:
            reply: The ``AnnouncementReply``.
            sent_s: When the announcement was sent.
            now_s: The present time.
        """
        self.expire(now_s)
        late = reply.version < self.known_version
        if reply.lease_s <= 0 or late or sent_s + reply.lease_s <= now_s:
            return
        if reply.grants is not None:
            self.granted = {grant.unit: grant.fence for grant in reply.grants}
            self.known_version = reply.version
        elif self.known_version and self.applied_version == self.known_version:
            self.known_version = reply.version
        else:
            return
        self.lease_until_s = max(self.lease_until_s, sent_s + reply.lease_s)
        self._apply()

    def admit(self, unit, fence, now_s):
        """Check an order and, if it is valid, count the request as running.

        An order with a fence that is newer than all grants received is valid:
        the router knows of the grant before the endpoint does.

        Args:
            unit: Unit label.
            fence: Fence of the order.
            now_s: The present time.

        Returns:
            Whether the request may run; if so, ``finish`` has to follow.
        """
        self.expire(now_s)
        if not self.known_version:
            return False
        if fence > self.known_version:
            self.granted[unit] = max(fence, self.granted.get(unit, 0))
        elif self.granted.get(unit) != fence:
            return False
        self.running[unit] = self.running.get(unit, 0) + 1
        return True

    def still_owns(self, unit, fence, now_s):
        """Return whether a running request may still take effect.

        An endpoint calls this last before it commits, so that a request that
        was held up for longer than the lease changes nothing.
        """
        return (
            bool(self.known_version)
            and now_s < self.lease_until_s
            and (self.granted.get(unit) == fence)
        )

    def finish(self, unit):
        """Count a request as done."""
        self.running[unit] -= 1
        if not self.running[unit]:
            del self.running[unit]
        self._apply()

    def _apply(self):
        """Put the known version into force once no revoked unit is running."""
        if all(unit in self.granted for unit in self.running):
            self.applied_version = self.known_version
