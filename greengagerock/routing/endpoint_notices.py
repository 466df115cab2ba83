"""What endpoints have asked this router for in their responses."""

# A leaving endpoint gets requests for keys that it still holds for this long after its notice.
# Nobody else can run them, and it serves for at least two seconds more.
LEAVING_KEYS_GRACE_S = 1.0
# The leave of an instance is kept this long, since its late reports may list it again.
LEAVE_RETENTION_S = 600.0
# Longest pause that an endpoint can request. A faulty endpoint must not stay without requests.
MAX_PAUSE_S = 60.0


class EndpointNotice:
    """The notices of one endpoint instance.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        leaving_since_s: When it first said that it leaves, or ``None``.
        paused_until_s: Until when it wants no requests from this router.
    """

    __slots__ = ("leaving_since_s", "paused_until_s", "started_ms")

    def __init__(self, started_ms):
        self.started_ms = started_ms
        self.leaving_since_s = None
        self.paused_until_s = float("-inf")


class EndpointNotices:
    """Notices that endpoints gave this router in their responses.

    They apply to one instance of an endpoint: a later instance with the same name starts
    without any. They hold on this router at once, whether or not it is in contact with the leader.

    Examples:
        >>> from greengagerock.view import EndpointRecord
        >>> first = EndpointRecord("e1", "10.0.0.1:80", "docs", "a", 3, started_ms=1000)
        >>> later = EndpointRecord("e1", "10.0.0.1:80", "docs", "a", 3, started_ms=2000)
        >>> notices = EndpointNotices()
        >>> notices.note_pause("e1", 1000, 2.0, 10.0)
        >>> notices.pause_left_s(first, 11.0), notices.pause_left_s(later, 11.0)
        (1.0, 0.0)
        >>> notices.note_leaving("e1", 1000, 12.0), notices.note_leaving("e1", 1000, 12.1)
        (True, False)
        >>> notices.accepts_any(first), notices.accepts_any(later)
        (False, True)
    """

    __slots__ = ("by_endpoint",)

    def __init__(self):
        self.by_endpoint = {}

    def note_leaving(self, endpoint, started_ms, now_s):
        """Record that an endpoint instance leaves; return whether that is new."""
        notice = self._notice_of(endpoint, started_ms)
        if notice is None or notice.leaving_since_s is not None:
            return False
        notice.leaving_since_s = now_s
        self._drop_old_leaves(now_s)
        return True

    def note_pause(self, endpoint, started_ms, pause_s, now_s):
        """Record that an endpoint instance wants no requests for ``pause_s``."""
        notice = self._notice_of(endpoint, started_ms)
        if notice is not None:
            until_s = now_s + min(pause_s, MAX_PAUSE_S)
            notice.paused_until_s = max(notice.paused_until_s, until_s)

    def accepts_any(self, record):
        """Return whether an endpoint accepts requests that other endpoints can run as well."""
        notice = self._current(record)
        is_leaving = notice is not None and notice.leaving_since_s is not None
        return not (is_leaving or record.leaving)

    def accepts_held_keys(self, record, now_s):
        """Return whether an endpoint accepts requests for keys that it holds."""
        notice = self._current(record)
        if notice is None or notice.leaving_since_s is None:
            return True
        return now_s - notice.leaving_since_s < LEAVING_KEYS_GRACE_S

    def pause_left_s(self, record, now_s):
        """Return how long an endpoint still wants no requests, 0.0 if it accepts them."""
        notice = self._current(record)
        return 0.0 if notice is None else max(0.0, notice.paused_until_s - now_s)

    def is_unreported_leaving(self, record):
        """Return whether the leader does not know yet that an endpoint leaves."""
        return not record.leaving and not self.accepts_any(record)

    def forget(self, endpoint):
        """Drop the notices of an endpoint that has ended, unless it has left."""
        notice = self.by_endpoint.get(endpoint)
        if notice is not None and notice.leaving_since_s is None:
            del self.by_endpoint[endpoint]

    def _drop_old_leaves(self, now_s):
        old = [
            name
            for name, notice in self.by_endpoint.items()
            if notice.leaving_since_s is not None
            and now_s - notice.leaving_since_s > LEAVE_RETENTION_S
        ]
        for name in old:
            del self.by_endpoint[name]

    def _current(self, record):
        notice = self.by_endpoint.get(record.name)
        return notice if notice is not None and notice.started_ms == record.started_ms else None

    def _notice_of(self, endpoint, started_ms):
        """Return the notice of an instance, or ``None`` if a later instance has one."""
        notice = self.by_endpoint.get(endpoint)
        if notice is None or notice.started_ms < started_ms:
            notice = self.by_endpoint[endpoint] = EndpointNotice(started_ms)
        return notice if notice.started_ms == started_ms else None
