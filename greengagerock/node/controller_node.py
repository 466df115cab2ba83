"""The decision core of a controller in a system with discovered hosts."""

from random import Random

from greengagerock.control.leadership import Leadership
from greengagerock.control.site_requests import ItemsRelay, PatchRelay, RelayAnswer, ReportRelay
from greengagerock.core import Timeline, TimerService
from greengagerock.core.seam import (
    EndpointReported,
    ItemsAsked,
    MessageReceived,
    Outbox,
    PatchAsked,
    Persisted,
    PersistFailed,
    ReadinessAsked,
    Reply,
    ReplyReadiness,
    SeedsChanged,
    SendMessage,
    StopProcess,
    StopRequested,
    TimePassed,
)
from greengagerock.discovery import ControllerHello, ControllerWelcome, PeerBook, Roster
from greengagerock.items import ItemStore
from greengagerock.replication import (
    AppendReply,
    AppendRequest,
    Found,
    Founding,
    FoundingHello,
    LeadNow,
    Member,
    SnapshotRequest,
    Voter,
    VoteReply,
    VoteRequest,
)
from greengagerock.routing.stats import RouterStats
from greengagerock.routing.suspects import CrashReport
from greengagerock.view import NotLeading, ViewPoll

HELLO_INTERVAL_S = 0.5
LEADER_TICK_S = 0.1
# Callers of controllers move on after one second without an answer.
RELAY_TIMEOUT_S = 0.9
# A stopping controller goes on relaying for so long, so that callers find another one.
STOP_AFTER_S = 1.0
# A leader that was named by another controller is believed for so long.
HINT_FRESH_S = 2.0


class ControllerNode:
    """Voter, or spare, of the replicated items; as the leader it also grants keys.

    It has the same seam as ``Node``.

    Args:
        config: The ``SiteConfig``.
        durable: The data folder's contents.
        now_s: Monotonic time in seconds.
        wall_clock_us: Callable that returns the wall clock in microseconds; it only
            labels events.
    """

    def __init__(self, config, durable, now_s, wall_clock_us):
        self.config = config
        self.timers = TimerService(now_s)
        self.outbox = Outbox()
        self.timeline = Timeline(config.host, config.zone, wall_clock_us)
        self.stats = RouterStats()
        self.seeds = config.seeds
        self.peers = PeerBook()
        self.store = ItemStore()
        self.voter = Voter(durable, self.store, self.timers, self.outbox, Random(config.seed))
        self.member = Member(self.voter.identity, config.address, config.address)
        self.roster = Roster(self.voter, self.peers, config.zone, self.timers, self.outbox)
        self.leadership = Leadership(config, self.voter, self.store, self.timers, self.outbox)
        self.voter.on_leadership = self._on_leadership
        self.founding = self._make_founding()
        self.hinted_leader = ""
        self.hinted_s = float("-inf")
        self.leaving = False
        self.relayed = {}
        self._greet()
        self._tick()

    def _make_founding(self):
        """Take part in the founding only at the very first start, as one of the seeds."""
        initial = {}
        if self.config.may_found and self.config.address in self.seeds:
            initial = {address: address for address in self.seeds}
        founding = Founding(
            self.voter,
            self.config.address,
            self.config.address,
            initial,
            self.timers,
            self.outbox,
        )
        return founding

    def next_due_s(self):
        """Return when the node next needs a ``TimePassed`` event, or ``None``."""
        return self.timers.next_due_s()

    def waits_for_requests(self):
        """Return whether something waits for requests in flight to end."""
        return False

    def start(self):
        """Return the effects of the node's creation."""
        return self._finish()

    def handle(self, event, now_s):
        """Take in one event and return the effects to carry out, in order."""
        self.timers.advance(now_s)
        match event:
            case TimePassed():
                pass
            case MessageReceived():
                if event.sent_at is not None:
                    self.timeline.observe(event.sent_at)
                self._on_message(event.message, event.address)
            case Persisted(sequence):
                self.voter.on_persisted(sequence)
            case PersistFailed(detail):
                self.voter.on_persist_failed(detail)
            case EndpointReported(token, report):
                self._serve(token, ReportRelay(token, report))
            case PatchAsked(token, patch):
                self._serve(token, PatchRelay(token, patch))
            case ItemsAsked(token):
                self._serve(token, ItemsRelay(token))
            case ReadinessAsked(token):
                code = "" if self._leader_address() else "no-leader"
                self.outbox.add(ReplyReadiness(token, code))
            case SeedsChanged(seeds):
                self.seeds = seeds
                self.outbox.log("seeds-changed", seeds=",".join(seeds))
            case StopRequested():
                self._begin_stop()
        return self._finish()

    def _finish(self):
        """Deliver messages to this host itself, then return the other effects."""
        own = self.config.address
        effects = []
        pending = self.outbox.drain()
        while pending:
            for effect in pending:
                if isinstance(effect, SendMessage) and effect.address == own:
                    self._on_message(effect.message, own)
                else:
                    effects.append(effect)
            pending = self.outbox.drain()
        return effects

    # --- Messages ------------------------------------------------------------------

    def _on_message(self, message, address):
        match message:
            case ViewPoll():
                self._on_poll(message, address)
            case ReportRelay() | PatchRelay() | ItemsRelay():
                self.leadership.serve(message, lambda answer: self.outbox.send(address, answer))
            case RelayAnswer(token):
                self._on_relay_answer(token, message.value)
            case ControllerHello():
                self._on_hello(message, address)
            case ControllerWelcome():
                self._on_welcome(message, address)
            case CrashReport():
                self.leadership.on_crash(message)
            case FoundingHello() | Found():
                self.founding.handle(message, address)
            case VoteRequest() | VoteReply() | AppendRequest() | AppendReply():
                self.peers.note_heard(address, self.timers.now_s)
                self.voter.handle(message, address)
            case SnapshotRequest() | LeadNow():
                self.voter.handle(message, address)
            case _:
                self.outbox.log("bad-message", code="bad-message", detail=type(message).__name__)

    def _on_poll(self, poll, address):
        if self.leadership.is_active():
            self.leadership.on_poll(poll, address)
        else:
            leader = self._leader_address()
            leader = "" if leader == self.config.address else leader
            self.outbox.send(address, NotLeading(leader, self._controllers()))

    def _serve(self, token, request):
        """Answer a request that came over HTTP, or pass it to the leader."""
        if self.leadership.is_active():
            self.leadership.serve(
                request, lambda answer: self.outbox.add(Reply(token, answer.value))
            )
            return
        leader = self._leader_address()
        if not leader or leader == self.config.address:
            self.outbox.add(Reply(token, None))
            return
        timer = self.timers.subscribe(RELAY_TIMEOUT_S, lambda: self._on_relay_answer(token, None))
        self.relayed[token] = timer
        self.outbox.send(leader, request)

    def _on_relay_answer(self, token, value):
        timer = self.relayed.pop(token, None)
        if timer is not None:
            timer.cancel()
            self.outbox.add(Reply(token, value))

    # --- Other controllers ---------------------------------------------------------

    def _greet(self):
        """Introduce this controller to the others, so that the leader knows its spares."""
        self.timers.subscribe(HELLO_INTERVAL_S, self._greet)
        hello = ControllerHello(self.member, self.config.zone, self.leaving)
        leader = self._leader_address()
        if leader:
            targets = (leader,)
        else:
            known = self.peers.known(self.timers.now_s)
            targets = dict.fromkeys((*self.seeds, *known))
        for address in targets:
            if address != self.config.address:
                self.outbox.send(address, hello)

    def _on_hello(self, hello, address):
        self.peers.note_hello(hello, self.timers.now_s)
        self.outbox.send(address, ControllerWelcome(self._leader_address(), self._controllers()))

    def _on_welcome(self, welcome, address):
        now_s = self.timers.now_s
        self.peers.note_heard(address, now_s)
        self.peers.note_addresses(welcome.controllers, now_s)
        if welcome.leader and welcome.leader != self.config.address:
            self.hinted_leader = welcome.leader
            if welcome.leader == address:
                self.hinted_s = now_s
            else:
                # Only the leader itself can confirm that it leads; ask it.
                hello = ControllerHello(self.member, self.config.zone, self.leaving)
                self.outbox.send(welcome.leader, hello)

    def _controllers(self):
        known = self.peers.known(self.timers.now_s)
        voters = (member.address for member in self.voter.membership.voters)
        return tuple(dict.fromkeys((self.config.address, *voters, *known)))

    def _leader_address(self):
        """Return the leader's link address, or the empty string."""
        if self.voter.is_leader:
            return self.config.address if self.voter.has_lease() else ""
        if self.voter.membership.has_voter(self.voter.identity):
            member = self.voter.leader_member()
            if member is not None:
                return member.address
        if self.timers.now_s - self.hinted_s < HINT_FRESH_S:
            return self.hinted_leader
        return ""

    # --- Leading -------------------------------------------------------------------

    def _on_leadership(self):
        if self.voter.is_leader:
            self.leadership.begin()
        else:
            self.leadership.end()

    def _tick(self):
        self.timers.subscribe(LEADER_TICK_S, self._tick)
        if self.leadership.is_active():
            self.leadership.routers.controllers = self._controllers()
            self.leadership.tick()
            self.roster.advance()

    # --- Stopping ------------------------------------------------------------------

    def _begin_stop(self):
        if self.leaving:
            return
        self.leaving = True
        self.outbox.log("stopping", leads=self.voter.is_leader)
        self.voter.transfer_leadership()
        self.timers.subscribe(STOP_AFTER_S, lambda: self.outbox.add(StopProcess()))
