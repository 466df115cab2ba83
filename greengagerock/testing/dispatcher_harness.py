"""A dispatcher whose events are passed and whose effects are read by a test."""

from random import Random

from greengagerock.core import TimerService
from greengagerock.core.interface import (
    AttemptFailed,
    CallArrived,
    KeepConnections,
    LogEvent,
    Outbox,
    WatchCaller,
)
from greengagerock.routing.dispatcher import Dispatcher
from greengagerock.routing.relayed_calls import RelayedCalls
from greengagerock.routing.retry_budget import SharedRetryBudget
from greengagerock.testing.item_builders import build_first_patch
from greengagerock.view import (
    EndpointRecord,
    EndpointsDelta,
    ItemsDelta,
    OwnedUnitRanges,
    ViewReplica,
)


class DispatcherHarness:
    """A dispatcher with a filled replica, timers and an outbox."""

    def __init__(self, endpoints=2, slack=600, link_bytes_per_s=None):
        self.replica = ViewReplica()
        patch = build_first_patch()
        self.replica.apply_items(
            ItemsDelta(0, 1, True, patch.routes, patch.services, patch.limits)
        )
        records = [EndpointRecord("till-1", "t:1", "till", "z", 3)]
        records += [
            EndpointRecord(f"docs-{n}", f"d:{n}", "docs", "z", 3) for n in range(endpoints)
        ]
        owners = {"till": (OwnedUnitRanges("till-1", (0, 8192)),)}
        self.replica.apply_endpoints(EndpointsDelta(1, 0, 1, True, tuple(records), (), owners))
        self.timers = TimerService(10.0)
        self.outbox = Outbox()
        self.reports = []
        self.watched_tokens = []
        self.dispatcher = Dispatcher(
            "z",
            self.replica,
            SharedRetryBudget(0.2, slack, 10.0),
            self.timers,
            self.outbox,
            Random(1),
            self.reports.append,
            link_bytes_per_s=link_bytes_per_s,
        )
        self.dispatcher.on_items()
        self.last_token = 0

    def call(self, route="balance", key=7, budget_s=1.0):
        """Dispatch a new call and return its token."""
        self.last_token += 1
        path = f"/{route}/x{self.last_token}"
        event = CallArrived(
            self.last_token,
            f"r{self.last_token}",
            "GET",
            "shop.example",
            path,
            path,
            budget_s,
            key,
        )
        self.dispatcher.on_call(event)
        return self.last_token

    def fail(self, token, reason, has_sent_bytes=True):
        """Fail the current attempt of a call."""
        self.dispatcher.on_attempt_failed(AttemptFailed(token, reason, has_sent_bytes, False))

    def effects(self):
        """Return effects since the last call, without logs, watches and idle connections."""
        drained = self.outbox.drain()
        self.watched_tokens += [e.token for e in drained if isinstance(e, WatchCaller)]
        others = LogEvent | WatchCaller | KeepConnections
        return [e for e in drained if not isinstance(e, others)]

    def build_relayed_calls(self):
        """Return the ``RelayedCalls`` of the same router."""
        dispatcher = self.dispatcher
        return RelayedCalls(
            self.replica,
            dispatcher.paths,
            dispatcher.observations,
            dispatcher.notices,
            dispatcher.notice_handler,
            dispatcher.stats,
            self.timers,
            self.outbox,
            dispatcher.zone_evacuations,
            dispatcher.path_report,
            dispatcher.sender,
        )

    def advance(self, seconds):
        """Advance the time."""
        self.timers.advance(self.timers.now_s + seconds)

    def remove_holder(self):
        """Remove the holder of all keys."""
        _, units = self.replica.apply_endpoints(
            EndpointsDelta(1, 1, 2, False, (), (), {"till": (OwnedUnitRanges("", (0, 8192)),)})
        )
        self.dispatcher.on_endpoints([], units)
