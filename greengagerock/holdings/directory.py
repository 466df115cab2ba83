"""The endpoints that have reported, by life."""

import msgspec

# A silent endpoint stays known, because a cut may separate it from the controllers only.
FORGET_AFTER_S = 20.0
# Reports come about this often unless the settings say otherwise.
DEFAULT_REPORT_INTERVAL_S = 1.0


class Life:
    """One life of an endpoint, from its start to its end.

    Attributes:
        report: Its newest ``EndpointReport``.
        first_s: When its first report came, in monotonic seconds.
        heard_s: When its newest report came.
        leaving_s: When it said that it leaves, or ``None``.
        hold_until_s: When the newest grant has surely run out.
        cold_until_s: When it is no longer slow after its start.
    """

    __slots__ = (
        "cold_until_s",
        "first_s",
        "heard_s",
        "hold_until_s",
        "leaving_s",
        "report",
    )

    def __init__(self, report, now_s):
        self.report = report
        self.first_s = now_s
        self.heard_s = now_s
        self.leaving_s = now_s if report.draining else None
        self.hold_until_s = 0.0
        self.cold_until_s = now_s + report.cold_s

    @property
    def name(self):
        """Name of the endpoint."""
        return self.report.endpoint

    @property
    def is_leaving(self):
        """Whether it takes no new work."""
        return self.leaving_s is not None

    def next_report_s(self, interval_s):
        """Return when the next report is expected."""
        return self.heard_s + interval_s


class Admission(msgspec.Struct, frozen=True):
    """How the directory took a report.

    Attributes:
        life: The ``Life`` that it belongs to, or ``None`` if it does not count.
        ended: Lives that it proves to have ended.
        is_new: Whether this is the first report of the life.
        is_changed: Whether routers have to know.
        is_late: Whether a newer report of the same life has come before.
    """

    life: object
    ended: tuple = ()
    is_new: bool = False
    is_changed: bool = False
    is_late: bool = False


class Directory:
    """Keeps the newest life of each endpoint.

    A later life under the same name, or at the same address, proves that the earlier
    one has ended: two processes cannot listen at one address.

    Attributes:
        lives: Lives by endpoint name.

    Examples:
        >>> from greengagerock.holdings import EndpointReport
        >>> directory = Directory()
        >>> first = EndpointReport("e1", 1000, 1, "10.0.0.1:80", "till", "a", 3)
        >>> directory.admit(first, 0.0).is_new
        True
        >>> again = EndpointReport("e2", 2000, 1, "10.0.0.1:80", "till", "a", 3)
        >>> [life.name for life in directory.admit(again, 5.0).ended]
        ['e1']
    """

    def __init__(self):
        self.lives = {}
        self._by_address = {}

    def admit(self, report, now_s):
        """Take in a report.

        Args:
            report: The ``EndpointReport``.
            now_s: Monotonic time in seconds.

        Returns:
            An ``Admission``.
        """
        known = self.lives.get(report.endpoint)
        neighbour = self._by_address.get(report.address)
        for other in (known, neighbour):
            if other is not None and other.report.born_ms > report.born_ms:
                return Admission(None)
        if known is not None and known.report.born_ms == report.born_ms:
            return self._renew(known, report, now_s)
        ended = tuple({id(e): e for e in (known, neighbour) if e is not None}.values())
        for life in ended:
            self.remove(life)
        life = Life(report, now_s)
        self._add(life)
        return Admission(life, ended, is_new=True, is_changed=True)

    def leave(self, leaving, now_s):
        """Note that an endpoint leaves.

        Returns:
            Its ``Life`` if this was news, else ``None``.
        """
        life = self.lives.get(leaving.endpoint)
        if life is None or (leaving.born_ms and leaving.born_ms != life.report.born_ms):
            return None
        if life.is_leaving:
            return None
        life.leaving_s = now_s
        return life

    def remove(self, life):
        """Forget a life."""
        if self.lives.get(life.name) is life:
            del self.lives[life.name]
        if self._by_address.get(life.report.address) is life:
            del self._by_address[life.report.address]

    def forgotten(self, now_s):
        """Return the lives that have been silent for too long, and forget them."""
        silent = [life for life in self.lives.values() if now_s - life.heard_s > FORGET_AFTER_S]
        for life in silent:
            self.remove(life)
        return silent

    def of_service(self, service):
        """Return the lives of a service."""
        return [life for life in self.lives.values() if life.report.service == service]

    def _add(self, life):
        self.lives[life.name] = life
        self._by_address[life.report.address] = life

    def _renew(self, life, report, now_s):
        before = life.report
        if report.sequence <= before.sequence:
            return Admission(life, is_late=True)
        if report.address != before.address:
            self.remove(life)
        life.report = report
        life.heard_s = now_s
        life.cold_until_s = min(life.cold_until_s, now_s + report.cold_s)
        was_leaving = life.is_leaving
        if report.draining and not was_leaving:
            life.leaving_s = now_s
        self._add(life)
        changed = (
            was_leaving != life.is_leaving
            or before.address != report.address
            or before.slots != report.slots
            or before.service != report.service
        )
        return Admission(life, is_changed=changed)
