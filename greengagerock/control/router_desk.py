"""What the leader tells routers, and what they have confirmed."""

from greengagerock.control.answer_times import AnswerTimes
from greengagerock.control.confirmations import Confirmations
from greengagerock.view import (
    EndpointRecord,
    ItemsHistory,
    LiveHistory,
    PackedDeltas,
    ViewDelta,
)

# Changes within this time reach routers in one message, and after the endpoint's own.
PUSH_AFTER_S = 0.04
# A router that has not asked for so long is no longer sent changes.
SUBSCRIBER_SILENCE_S = 2.5


class Subscriber:
    """A router that is sent changes.

    Attributes:
        poll: Its newest ``ViewPoll``.
        heard_s: When that came.
    """

    __slots__ = ("heard_s", "poll")

    def __init__(self, poll, heard_s):
        self.poll = poll
        self.heard_s = heard_s


class RouterDesk:
    """Sends routers the views that they lack.

    Args:
        address: Link address of this host.
        voter: The local voter.
        store: The ``ItemStore``.
        timers: The timer service.
        outbox: Receives effects.
        is_active: Callable that returns whether this host may decide at this moment.

    Attributes:
        controllers: Link addresses of all controllers, told to routers.
        bans: Until when requests with a fingerprint are refused.
        live: The ``LiveHistory`` of this term.
        times: The ``AnswerTimes`` over all routers.
        confirmations: The ``Confirmations`` of changes.
        subscribers: A ``Subscriber`` by link address.
    """

    def __init__(self, address, voter, store, timers, outbox, is_active):
        self.voter = voter
        self.timers = timers
        self.outbox = outbox
        self.is_active = is_active
        self.controllers = (address,)
        self.bans = {}
        self.items_history = ItemsHistory(store)
        self.packed_items = PackedDeltas(self.items_history)
        store.on_load = lambda: self.items_history.reset(voter.log.snapshot.index)
        if voter.log.snapshot.data:
            self.items_history.reset(voter.log.snapshot.index)
        self.reset()

    def reset(self):
        """Forget what concerns one term only."""
        self.live = LiveHistory(self.voter.term)
        self.packed_live = PackedDeltas(self.live)
        self.confirmations = Confirmations()
        self.times = AnswerTimes(self.voter.term)
        self.subscribers = {}
        self.push_timer = None

    # --- What routers say ----------------------------------------------------------

    def on_poll(self, poll, address):
        """Answer a router."""
        if address not in self.subscribers:
            self.outbox.log("router-heard", address=address, routers=len(self.subscribers) + 1)
        self.subscribers[address] = Subscriber(poll, self.timers.now_s)
        self._send_view(address, poll)
        self._confirm()

    def _confirm(self):
        routers = [(s.poll.items_revision, s.heard_s) for s in self.subscribers.values()]
        self.confirmations.advance(routers, self.timers.now_s)

    # --- What routers are told -----------------------------------------------------

    def advance(self):
        """Do what is due."""
        self._confirm()
        self.times.publish(self.timers.now_s)

    def acknowledge(self, tell):
        """Call ``tell`` once routers have the newest items, at once if they do."""
        self.confirmations.acknowledge(tell)
        self._confirm()

    def note_items(self, index, names):
        """Note that the log entry at ``index`` changed the items ``names``."""
        self.items_history.note(index, names)
        self.confirmations.note_change(index, len(names), self.timers.now_s)
        self.push_soon()

    def note_endpoint(self, life):
        """Note that an endpoint is new or has changed."""
        report = life.report
        self.live.set_endpoint(
            EndpointRecord(
                life.name,
                report.address,
                report.service,
                report.zone,
                report.slots,
                life.is_leaving,
                report.born_ms,
                max(0.0, life.cold_until_s - self.timers.now_s),
            )
        )
        self.push_soon()

    def note_owner(self, service, unit, endpoint):
        """Note the holder of a unit."""
        self.live.set_owner(service, unit, endpoint)
        self.push_soon()

    def push_soon(self):
        """Send routers what has changed, in a moment."""
        if self.push_timer is None:
            self.push_timer = self.timers.subscribe(PUSH_AFTER_S, self._push)

    def _push(self):
        self.push_timer = None
        if not self.is_active():
            return
        now_s = self.timers.now_s
        for address, subscriber in list(self.subscribers.items()):
            if now_s - subscriber.heard_s > SUBSCRIBER_SILENCE_S:
                del self.subscribers[address]
            elif self._is_cheap(subscriber.poll):
                self._send_view(address, subscriber.poll)

    def _send_view(self, address, poll):
        delta = ViewDelta(
            self.packed_items.since(poll.items_revision),
            self.packed_live.since(poll.epoch, poll.live_revision),
            self.controllers,
            len(self.subscribers),
            tuple(self.bans),
            self.times.packed if poll.times_number != self.times.number else None,
        )
        self.outbox.send(address, delta)

    def _is_cheap(self, poll):
        """Return whether a router lacks little; one that lacks much asks for it itself."""
        live = self.live
        return (
            poll.items_revision > 0
            and poll.epoch == live.epoch
            and poll.live_revision >= (live.settled_revision or 1)
        )
