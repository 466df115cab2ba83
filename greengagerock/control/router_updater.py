"""Sends the leader's views to routers and tracks what routers have confirmed."""

from greengagerock.control.confirmations import REACHABLE_WINDOW_S, Confirmations
from greengagerock.control.limit_shares import LimitShares
from greengagerock.control.load_digest import LoadDigest
from greengagerock.control.relay_directory import RelayDirectory
from greengagerock.control.response_rates import ResponseRates
from greengagerock.control.response_times import ResponseTimes
from greengagerock.core import GreengageError
from greengagerock.view import (
    EndpointRecord,
    EndpointsHistory,
    ItemsHistory,
    PackedDeltaCache,
    ViewDelta,
    digest_relays,
)

# Changes within this time are sent to routers in one message. It arrives after the response to
# the endpoint that the changes concern.
PUSH_DELAY_S = 0.04
# Bytes per second that a router receives at least: a third of a link of 2.5 Mbit/s, which carries
# callers' requests as well.
SLOW_TRANSFER_BYTES_PER_S = 100_000
# Time after which a message that was sent to a router has been received, unless it is long.
IN_FLIGHT_S = 0.25
# Time for which a packed view of all endpoints is sent to further routers.
FULL_VIEW_VALIDITY_S = 0.25
# Time without a poll after which a router is no longer sent changes.
SUBSCRIBER_TIMEOUT_S = 2.5


class Subscriber:
    """A router that is sent changes.

    Attributes:
        poll: Its newest ``ViewPoll``.
        last_poll_s: When that poll was received.
        epoch: Term of the leader of ``sent_revision``.
        sent_revision: Last revision of endpoints and owners that it has or is receiving.
        awaited_revision: Revision that its next polls have to report.
        endpoints_due_s: Until when; a later poll without it shows that a message was lost.
        sent_items: Last revision of items that was sent to it.
        items_due_s: When it has received those items, even on a slow link.
        cold_sent: Number up to which it was sent the changes of cold endpoints.
    """

    __slots__ = (
        "awaited_revision",
        "cold_sent",
        "endpoints_due_s",
        "epoch",
        "items_due_s",
        "last_poll_s",
        "poll",
        "sent_items",
        "sent_revision",
    )

    def __init__(self, poll, last_poll_s):
        self.epoch = 0
        self.sent_revision = self.awaited_revision = 0
        self.sent_items = 0
        self.items_due_s = self.endpoints_due_s = float("-inf")
        self.note_poll(poll, last_poll_s)

    def note_poll(self, poll, now_s):
        """Record a poll; what was sent before may still be on its way."""
        self.poll = poll
        self.last_poll_s = now_s
        revision = poll.endpoints_revision
        if poll.epoch == self.epoch and self.awaited_revision <= revision < self.sent_revision:
            self.awaited_revision = self.sent_revision
            self.endpoints_due_s = now_s + IN_FLIGHT_S
        elif now_s >= self.endpoints_due_s or (
            poll.epoch == self.epoch and revision >= self.sent_revision
        ):
            self.epoch = poll.epoch
            self.sent_revision = self.awaited_revision = revision
            self.endpoints_due_s = float("-inf")
        self.cold_sent = poll.cold_number

    def note_endpoints(self, epoch, revision, due_s):
        """Record that endpoints and owners are sent; polls report them from ``due_s`` on."""
        if self.endpoints_due_s == float("-inf") or epoch != self.epoch:
            self.awaited_revision, self.endpoints_due_s = revision, due_s
        self.epoch, self.sent_revision = epoch, revision


class RouterUpdater:
    """Sends each router the changes that its view lacks.

    Args:
        address: Link address of this host.
        voter: The local voter.
        store: The ``ItemStore``.
        timers: The timer service.
        outbox: Receives effects.
        is_active: Callable that returns whether this host may act as the leader now.

    Attributes:
        controllers: Link addresses of all controllers, sent to routers.
        bans: Time until which requests are refused, by fingerprint.
        endpoints_history: The ``EndpointsHistory`` of this term.
        response_times: The ``ResponseTimes`` over all routers.
        confirmations: The ``Confirmations`` of item changes.
        limit_shares: The ``LimitShares`` of this term.
        response_rates: The ``ResponseRates`` of this term.
        relay_directory: The ``RelayDirectory`` of this term.
        load_digest: The ``LoadDigest`` of this term.
        subscribers: A ``Subscriber`` by link address.
        pushed_revision: Revision of endpoints and owners up to which routers were sent changes
            without a poll. A push has only what was not sent before, so that all routers get the
            same; one that misses it gets its changes with the reply to its next poll.
        full_view: Revision and packed form of the newest view of all endpoints that was sent.
        full_view_s: When it was packed.
    """

    def __init__(self, address, voter, store, timers, outbox, is_active):
        self.voter = voter
        self.timers = timers
        self.outbox = outbox
        self.is_active = is_active
        self.confirmations = Confirmations(timers.now_s)
        self.controllers = (address,)
        self.bans = {}
        self.items_history = ItemsHistory(store)
        self.packed_items = PackedDeltaCache(self.items_history)
        store.on_load = lambda: self.items_history.reset(voter.log.snapshot.index)
        if voter.log.snapshot.data:
            self.items_history.reset(voter.log.snapshot.index)
        self.reset()

    def reset(self):
        """Discard all state that belongs to one term; acknowledgements that are due get none."""
        self.confirmations.abandon()
        self.endpoints_history = EndpointsHistory(self.voter.term)
        self.packed_endpoints = PackedDeltaCache(self.endpoints_history)
        self.confirmations = Confirmations(self.timers.now_s)
        self.response_times = ResponseTimes(self.voter.term)
        self.limit_shares = LimitShares(self.timers.now_s, self.voter.term)
        self.response_rates = ResponseRates(self.timers.now_s)
        self.relay_directory = RelayDirectory(lambda: len(self.endpoints_history.endpoints))
        self.load_digest = LoadDigest(self.voter.term)
        self.subscribers = {}
        self.pushed_revision = 0
        self.full_view = (0, None)
        self.full_view_s = float("-inf")
        self.push_timer = None

    # --- Messages from routers -----------------------------------------------------

    def on_poll(self, poll, address):
        """Store a router's poll and send it the changes that it lacks."""
        if address not in self.subscribers:
            self.outbox.log("router-heard", address=address, routers=len(self.subscribers) + 1)
        subscriber = self.subscribers.get(address)
        if subscriber is None or poll.items_revision < subscriber.poll.items_revision:
            # Without items that it had before, it is another process.
            subscriber = self.subscribers[address] = Subscriber(poll, self.timers.now_s)
        else:
            subscriber.note_poll(poll, self.timers.now_s)
        has_new_limits = self.limit_shares.on_reports(address, poll.limits, self.timers.now_s)
        self.limit_shares.cold.on_reports(address, poll.cold_requests, self.timers.now_s)
        self.response_rates.add(poll.response_times)
        has_new_relays = self.relay_directory.note(address, poll.relay_address, poll.unreachable)
        if has_new_limits or has_new_relays:
            self.schedule_push()
        self._note_loads(poll, address)
        loads = self.load_digest.packed_for(len(self.subscribers), self.timers.now_s)
        self._send_view(address, subscriber, self._endpoints_for_poll(subscriber), loads)
        self._confirm()

    def _note_loads(self, poll, address):
        if poll.loads is None:
            return
        try:
            self.load_digest.on_packed(poll.loads, self.timers.now_s)
        except GreengageError as error:
            self.outbox.log("bad-message", code=error.code, detail=error.detail, address=address)

    def _confirm(self):
        if self.confirmations.awaited:
            routers = [(s.poll.items_revision, s.last_poll_s) for s in self.subscribers.values()]
            self.confirmations.advance(routers, self.timers.now_s)

    def revision_of(self, names):
        """Return the revision of the last change of any of the items ``names``."""
        return self.items_history.revision_of(names)

    def routers_behind(self, revision):
        """Return ``ADDRESS:REVISION`` of each reachable router that lacks a revision of items."""
        now_s = self.timers.now_s
        return [
            f"{address}:{subscriber.poll.items_revision}"
            for address, subscriber in self.subscribers.items()
            if subscriber.poll.items_revision < revision
            and now_s - subscriber.last_poll_s < REACHABLE_WINDOW_S
        ]

    def protocols(self):
        """Return the versions of messages of the routers that poll."""
        now_s = self.timers.now_s
        return [
            s.poll.protocol
            for s in self.subscribers.values()
            if now_s - s.last_poll_s < SUBSCRIBER_TIMEOUT_S
        ]

    # --- Messages to routers -------------------------------------------------------

    def advance(self):
        """Perform periodic work."""
        self._confirm()
        self.response_times.publish(self.timers.now_s)

    def call_when_confirmed(self, revision, callback):
        """Call ``callback`` once routers have a revision of items, immediately if they do.

        Args:
            revision: The revision.
            callback: Called with one of the outcomes of ``Confirmations``.
        """
        self.confirmations.call_when_confirmed(revision, callback)
        self._confirm()

    def note_items(self, index, names):
        """Record that the log entry at ``index`` changed the items ``names``."""
        self.items_history.record_changes(index, names)
        self.confirmations.note_change(index, len(names), self.timers.now_s)
        self.schedule_push()

    def note_endpoint(self, instance):
        """Record that an endpoint instance is new or has changed."""
        report = instance.report
        record = EndpointRecord(
            instance.name,
            report.address,
            report.service,
            report.zone,
            report.slots,
            instance.is_leaving,
            report.started_ms,
            max(0.0, instance.cold_until_s - self.timers.now_s),
        )
        self.endpoints_history.set_endpoint(record)
        self.load_digest.note_endpoint(record)
        self.schedule_push()

    def remove_endpoint(self, name):
        """Record that an endpoint has ended."""
        self.endpoints_history.remove_endpoint(name)
        self.load_digest.forget(name)

    def note_owner(self, service, unit, endpoint):
        """Record the holder of a unit."""
        self.endpoints_history.set_owner(service, unit, endpoint)
        self.schedule_push()

    def schedule_push(self):
        """Send changes to routers after ``PUSH_DELAY_S``, unless a push is already scheduled."""
        if self.push_timer is None:
            self.push_timer = self.timers.subscribe(PUSH_DELAY_S, self._push)

    def _push(self):
        self.push_timer = None
        if not self.is_active():
            return
        now_s = self.timers.now_s
        for address, subscriber in list(self.subscribers.items()):
            if now_s - subscriber.last_poll_s > SUBSCRIBER_TIMEOUT_S:
                del self.subscribers[address]
                self.relay_directory.remove(address)
            elif self._is_nearly_current(subscriber.poll):
                self._send_view(address, subscriber, self._endpoints_for(subscriber))
        self.pushed_revision = self.endpoints_history.revision

    def _endpoints_for_poll(self, subscriber):
        """Return the packed changes of endpoints to send in reply to a poll, or ``None``.

        While a push is due, a router that has all earlier ones gets the changes with it, so that
        they are packed once for all routers.
        """
        poll = subscriber.poll
        is_pushed_soon = self.push_timer is not None and self._is_nearly_current(poll)
        if is_pushed_soon and subscriber.sent_revision >= self.pushed_revision:
            return None
        return self._endpoints_for(subscriber)

    def _endpoints_for(self, subscriber):
        """Return the packed changes of endpoints that a router lacks and is not receiving."""
        history, now_s = self.endpoints_history, self.timers.now_s
        if history.needs_full_delta(subscriber.epoch, subscriber.sent_revision):
            revision, packed = self._full_endpoints()
        else:
            revision = history.revision
            packed = self.packed_endpoints.since(subscriber.epoch, subscriber.sent_revision)
        if packed is not None:
            transfer_s = IN_FLIGHT_S + len(packed) / SLOW_TRANSFER_BYTES_PER_S
            subscriber.note_endpoints(history.epoch, revision, now_s + transfer_s)
        return packed

    def _full_endpoints(self):
        """Return the revision of a recent view of all endpoints, and that view packed.

        After a change of leader, all routers need one within half a second, and each change of an
        owner would make another one. The changes since then follow with the next push or poll.
        """
        history, now_s = self.endpoints_history, self.timers.now_s
        is_outdated = now_s - self.full_view_s >= FULL_VIEW_VALIDITY_S
        if is_outdated or history.needs_full_delta(history.epoch, self.full_view[0]):
            self.full_view_s = now_s
            self.full_view = (history.revision, self.packed_endpoints.since(history.epoch, 0))
        return self.full_view

    def _items_for(self, subscriber):
        """Return the packed items that a router lacks and is not receiving, or ``None``."""
        now_s = self.timers.now_s
        revision = subscriber.poll.items_revision
        if now_s < subscriber.items_due_s:
            revision = max(revision, subscriber.sent_items)
        packed = self.packed_items.since(revision)
        if packed is not None:
            subscriber.sent_items = self.items_history.current_revision
            transfer_s = len(packed) / SLOW_TRANSFER_BYTES_PER_S
            subscriber.items_due_s = max(now_s, subscriber.items_due_s) + transfer_s
        return packed

    def _send_view(self, address, subscriber, endpoints, loads=None):
        poll = subscriber.poll
        relays = self.relay_directory.relays_for(address)
        router_count, now_s = len(self.subscribers), self.timers.now_s
        cold_since = subscriber.cold_sent
        cold_number = self.limit_shares.cold.number
        delta = ViewDelta(
            self._items_for(subscriber),
            endpoints,
            self.controllers,
            router_count,
            tuple(self.bans),
            self.response_times.packed
            if poll.response_times_number != self.response_times.number
            else None,
            self.limit_shares.shares_for(address, router_count, now_s),
            relays if digest_relays(relays) != poll.relays_digest else None,
            loads,
            self.limit_shares.cold_shares_for(address, router_count, cold_since, now_s),
            cold_number,
            cold_since,
        )
        subscriber.cold_sent = cold_number
        self.outbox.send(address, delta)

    def _is_nearly_current(self, poll):
        """Return whether a router lacks only recent changes.

        Large deltas are sent only in reply to a router's own poll.
        """
        endpoints_history = self.endpoints_history
        return (
            poll.items_revision > 0
            and poll.epoch == endpoints_history.epoch
            and poll.endpoints_revision >= (endpoints_history.settled_revision or 1)
        )
