"""Leaves of endpoints that have not reported to the leader in its term."""

from greengagerock.assignment.instance_directory import FORGET_AFTER_S
from greengagerock.core import GreengageError
from greengagerock.items.store import LeaveRecord, encode_leave


class AcknowledgedLeaves:
    """Puts the leaves of unregistered endpoints in force, and recognises their late reports.

    A leave message may name no start of the instance. Routers that have its record then report
    the start, or its first late report gives it.

    Args:
        store: The ``ItemStore``.
        voter: The local voter.
        router_updater: The ``RouterUpdater``.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        awaited: Time from which this leader waits for the start of the instance that left, by
            endpoint name.
        identified: Start of the instance once it is known, in milliseconds since 1970, by
            endpoint name.
    """

    __slots__ = ("awaited", "identified", "outbox", "router_updater", "store", "timers", "voter")

    def __init__(self, store, voter, router_updater, timers, outbox):
        self.store = store
        self.voter = voter
        self.router_updater = router_updater
        self.timers = timers
        self.outbox = outbox
        self.reset()

    def reset(self):
        """Discard all state that belongs to one term."""
        self.awaited = {}
        self.identified = {}

    def take_over(self, registered):
        """Withdraw the endpoints whose leave an earlier leader acknowledged.

        Args:
            registered: Names of the endpoints that have reported in this term.
        """
        for name, started_ms in self.store.leaving_endpoints.items():
            if not started_ms:
                self.awaited.setdefault(name, self.timers.now_s)
            if name not in registered:
                self._note_left(name, started_ms)

    def withdraw(self, endpoint, started_ms):
        """Withdraw a leaving endpoint that has not reported in this term from routers' views.

        Args:
            endpoint: Name of the endpoint.
            started_ms: Start of the instance in milliseconds since 1970, or 0 if it is unknown.

        Returns:
            The start of the instance as far as it is known, or 0.
        """
        if started_ms:
            self._note_left(endpoint, started_ms)
            return started_ms
        if endpoint in self.identified:
            return self.identified[endpoint]
        if endpoint not in self.awaited:
            self.awaited[endpoint] = self.timers.now_s
            self._note_left(endpoint, 0)
        return self.store.leaving_endpoints.get(endpoint, 0)

    def has_left(self, report):
        """Return whether a leave of the instance was acknowledged, by this or an earlier leader.

        After a leave without a start time, the first instance that reports is taken for the one
        that left. An instance that reports much later is a new one.
        """
        name, started_ms = report.endpoint, report.started_ms
        stored_ms = self.store.leaving_endpoints.get(name)
        identified_ms = self.identified.get(name)
        if started_ms in (stored_ms, identified_ms):
            return True
        if stored_ms != 0 or identified_ms is not None:
            return False
        since_s = self.awaited.get(name, self.timers.now_s)
        if self.timers.now_s - since_s > FORGET_AFTER_S:
            return False
        self._identify(name, started_ms)
        return True

    def on_start_reported(self, endpoint, started_ms):
        """Process a router's report of which instance of an endpoint leaves."""
        if endpoint in self.awaited:
            self._identify(endpoint, started_ms)

    def _identify(self, endpoint, started_ms):
        """Store which instance left, so that later leaders know it as well."""
        self.awaited.pop(endpoint, None)
        self.identified[endpoint] = started_ms
        self.outbox.log("leave-identified", endpoint=endpoint, born_ms=started_ms)
        try:
            self.voter.propose(encode_leave(LeaveRecord(endpoint, started_ms)))
        except GreengageError as error:
            self.outbox.log("not-proposed", code=error.code, detail=error.detail)

    def _note_left(self, endpoint, started_ms):
        self.router_updater.endpoints_history.note_left(endpoint, started_ms)
        self.router_updater.schedule_push()
