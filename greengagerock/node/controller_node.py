"""The decision core of a controller of a site."""

from random import Random

from greengagerock.control.relay_messages import (
    EvacuationRelay,
    ItemsRelay,
    PatchRelay,
    RelayReply,
    ReportRelay,
)
from greengagerock.control.site_leader import SiteLeader
from greengagerock.core import Timeline, TimerService
from greengagerock.core.interface import (
    EndpointReportArrived,
    ItemsRequested,
    MessageReceived,
    Outbox,
    PatchArrived,
    Persisted,
    PersistFailed,
    ReadinessRequested,
    RespondToReadiness,
    SeedsChanged,
    SendMessage,
    StopProcess,
    StopRequested,
    TimeAdvanced,
)
from greengagerock.core.protocol import PROTOCOL_VERSION
from greengagerock.discovery import (
    ControllerHello,
    ControllerHelloReply,
    PeerDirectory,
    VoterReplacement,
)
from greengagerock.items import ItemStore
from greengagerock.node.controller_requests import ControllerRequests
from greengagerock.node.stop_schedule import LATE_DRAIN_S
from greengagerock.replication import (
    AppendReply,
    AppendRequest,
    BootstrapHello,
    GroupBootstrap,
    InitialMembership,
    Member,
    SnapshotRequest,
    TimeoutNow,
    Voter,
    VoteReply,
    VoteRequest,
)
from greengagerock.routing.crash_suspects import CrashReport
from greengagerock.routing.stats import RouterStats
from greengagerock.view import LeavingObserved, NotLeading, ViewPoll

HELLO_INTERVAL_S = 0.5
LEADER_TICK_S = 0.1
# Time for which a stopping controller still relays requests, so that clients can switch to
# another one.
STOP_DELAY_S = 1.0
# The process ends at least this long before the end of the grace period.
STOP_MARGIN_S = 0.3
# Validity of a hinted leader address after that controller last confirmed that it leads.
HINT_VALIDITY_S = 2.0


class ControllerNode:
    """A voter of the replicated items or a spare; as the leader it also grants keys.

    It has the same core interface as ``Node``.

    Args:
        config: The ``SiteConfig``.
        durable_state: The ``DurableState`` of the data folder.
        now_s: Monotonic time in seconds.
        wall_clock_us: Callable that returns the wall clock in microseconds, which is used
            only for time stamps of events.
    """

    def __init__(self, config, durable_state, now_s, wall_clock_us):
        self.config = config
        self.timers = TimerService(now_s)
        self.outbox = Outbox()
        self.timeline = Timeline(config.host, config.zone, wall_clock_us)
        self.stats = RouterStats()
        self.seeds = config.seeds
        self.peers = PeerDirectory()
        self.store = ItemStore()
        self.voter = Voter(
            durable_state, self.store, self.timers, self.outbox, Random(config.seed)
        )
        self.member = Member(self.voter.identity, config.address, config.address)
        self.voter_replacement = VoterReplacement(
            self.voter, self.peers, config.zone, self.timers, self.outbox
        )
        self.site_leader = SiteLeader(config, self.voter, self.store, self.timers, self.outbox)
        self.voter.on_leadership_change = self._on_leadership
        self.bootstrap = self._make_bootstrap()
        self.hinted_leader = ""
        self.hint_confirmed_s = float("-inf")
        self.is_leaving = False
        self.requests = ControllerRequests(
            self.site_leader, self._leader_address, config.address, self.timers, self.outbox
        )
        self._send_hellos()
        self._tick()

    def _make_bootstrap(self):
        """Return the group bootstrap, active only on seeds and at the first start of the site."""
        initial_addresses = {}
        if self.config.may_bootstrap and self.config.address in self.seeds:
            initial_addresses = {address: address for address in self.seeds}
        bootstrap = GroupBootstrap(
            self.voter,
            self.config.address,
            self.config.address,
            initial_addresses,
            self.timers,
            self.outbox,
        )
        return bootstrap

    def next_due_s(self):
        """Return the time at which the next ``TimeAdvanced`` event is due, or ``None``."""
        return self.timers.next_due_s()

    def waits_for_requests(self):
        """Return whether the node waits for requests in flight to end."""
        return False

    def start(self):
        """Return the effects of the node's creation."""
        return self._finish()

    def abandon(self, event):
        """Do nothing after an exception: the events of this node hold nothing that others need."""

    def handle(self, event, now_s):
        """Handle one event and return the effects to carry out, in order."""
        self.timers.advance(now_s)
        match event:
            case TimeAdvanced():
                pass
            case MessageReceived():
                if event.sent_at is not None:
                    self.timeline.observe(event.sent_at)
                self._on_message(event.message, event.address)
            case Persisted(sequence):
                self.voter.on_persisted(sequence)
            case PersistFailed(detail):
                self.voter.on_persist_failed(detail)
            case EndpointReportArrived(token, report):
                self.requests.serve(token, ReportRelay(token, report))
            case PatchArrived(token, patch):
                if patch.evacuations:
                    relay = EvacuationRelay(token, self.store.stamp_orders(patch))
                else:
                    relay = PatchRelay(token, patch)
                self.requests.serve(token, relay)
            case ItemsRequested(token):
                self.requests.serve(token, ItemsRelay(token))
            case ReadinessRequested(token):
                code = "" if self._leader_address() else "no-leader"
                self.outbox.add(RespondToReadiness(token, code))
            case SeedsChanged(seeds):
                self.seeds = seeds
                self.outbox.log("seeds-changed", seeds=",".join(seeds))
            case StopRequested(since_s):
                self._begin_stop(now_s if since_s is None else since_s)
        return self._finish()

    def _finish(self):
        """Deliver messages to this host itself and return the other effects."""
        own_address = self.config.address
        effects = []
        pending = self.outbox.drain()
        while pending:
            for effect in pending:
                if isinstance(effect, SendMessage) and effect.address == own_address:
                    self._on_message(effect.message, own_address)
                else:
                    effects.append(effect)
            pending = self.outbox.drain()
        return effects

    # --- Messages ------------------------------------------------------------------

    def _on_message(self, message, address):
        match message:
            case ViewPoll():
                self._on_poll(message, address)
            case ReportRelay() | PatchRelay() | EvacuationRelay() | ItemsRelay():
                self.site_leader.process_request(
                    message, lambda reply: self.outbox.send(address, reply)
                )
            case RelayReply(token):
                self.requests.finish(token, message.value)
            case ControllerHello():
                self._on_hello(message, address)
            case ControllerHelloReply():
                self._on_hello_reply(message, address)
            case LeavingObserved():
                self.site_leader.on_leaving_observed(message)
            case CrashReport():
                self.site_leader.on_crash_report(message)
            case BootstrapHello() | InitialMembership():
                self.bootstrap.handle(message, address)
            case VoteRequest() | VoteReply() | AppendRequest() | AppendReply():
                self.peers.record_contact(address, self.timers.now_s)
                self.voter.handle(message, address)
            case SnapshotRequest() | TimeoutNow():
                self.voter.handle(message, address)
            case _:
                self.outbox.log("bad-message", code="bad-message", detail=type(message).__name__)

    def _on_poll(self, poll, address):
        if self.site_leader.is_active():
            self.site_leader.on_poll(poll, address)
        else:
            leader = self._leader_address()
            leader = "" if leader == self.config.address else leader
            self.outbox.send(address, NotLeading(leader, self._controllers()))

    # --- Other controllers ---------------------------------------------------------

    def _send_hellos(self):
        """Send hellos to the leader, or to all controllers, so that the leader finds spares."""
        self.timers.subscribe(HELLO_INTERVAL_S, self._send_hellos)
        hello = self._make_hello()
        leader = self._leader_address()
        if leader:
            targets = (leader,)
        else:
            peer_addresses = self.peers.current_addresses(self.timers.now_s)
            targets = dict.fromkeys((*self.seeds, *peer_addresses))
        for address in targets:
            if address != self.config.address:
                self.outbox.send(address, hello)

    def _make_hello(self):
        return ControllerHello(
            self.member, self.config.zone, self.is_leaving, protocol=PROTOCOL_VERSION
        )

    def _on_hello(self, hello, address):
        self.peers.record_hello(hello, self.timers.now_s)
        self.site_leader.evacuations.versions.note_hello(hello.member.identity, hello.protocol)
        self.outbox.send(
            address, ControllerHelloReply(self._leader_address(), self._controllers())
        )

    def _on_hello_reply(self, reply, address):
        now_s = self.timers.now_s
        self.peers.record_contact(address, now_s)
        self.peers.add_addresses(reply.controllers, now_s)
        if reply.leader and reply.leader != self.config.address:
            self.hinted_leader = reply.leader
            if reply.leader == address:
                self.hint_confirmed_s = now_s
            else:
                # Only the leader itself can confirm that it leads.
                self.outbox.send(reply.leader, self._make_hello())

    def _controllers(self):
        peer_addresses = self.peers.current_addresses(self.timers.now_s)
        voters = (member.address for member in self.voter.membership.voters)
        return tuple(dict.fromkeys((self.config.address, *voters, *peer_addresses)))

    def _leader_address(self):
        """Return the leader's link address, or the empty string."""
        if self.voter.is_leader:
            return self.config.address if self.voter.has_lease() else ""
        if self.voter.membership.has_voter(self.voter.identity):
            member = self.voter.leader_member()
            if member is not None:
                return member.address
        if self.timers.now_s - self.hint_confirmed_s < HINT_VALIDITY_S:
            return self.hinted_leader
        return ""

    # --- Leading -------------------------------------------------------------------

    def _on_leadership(self):
        if self.voter.is_leader:
            self.site_leader.start_term()
        else:
            self.site_leader.end_term()

    def _tick(self):
        self.timers.subscribe(LEADER_TICK_S, self._tick)
        if self.site_leader.is_active():
            self.site_leader.router_updater.controllers = self._controllers()
            self.site_leader.tick()
            self.voter_replacement.advance()

    # --- Stopping ------------------------------------------------------------------

    def _begin_stop(self, since_s):
        if self.is_leaving:
            return
        self.is_leaving = True
        now_s = self.timers.now_s
        # The grace period begins with the signal, which may have waited.
        ends_s = since_s + self.config.stop_grace_s - STOP_MARGIN_S
        signal_ms = round(1000 * (now_s - since_s))
        self.outbox.log("stopping", leads=self.voter.is_leader, signal_ms=signal_ms)
        self.voter.transfer_leadership()
        delay_s = max(0.0, min(STOP_DELAY_S, ends_s - now_s))
        self.timers.subscribe(delay_s, lambda: self._stop(ends_s))

    def _stop(self, ends_s):
        wait_s = max(LATE_DRAIN_S, ends_s - self.timers.now_s)
        self.outbox.add(StopProcess(wait_s=wait_s))
