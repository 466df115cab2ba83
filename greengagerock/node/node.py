"""The decision core of one host: all its roles behind one core interface."""

from collections import deque
from random import Random

from greengagerock.control.controller import Controller
from greengagerock.control.operator_messages import OperatorRelay, OperatorRelayReply
from greengagerock.control.state_machine import ControlStateMachine
from greengagerock.core import Timeline, TimerService
from greengagerock.core.interface import (
    AnnouncementArrived,
    AttemptFailed,
    CallerDisconnected,
    MessageReceived,
    OperatorRequestArrived,
    Outbox,
    Persisted,
    PersistFailed,
    ReadinessRequested,
    RequestArrived,
    RequestEnded,
    RespondToReadiness,
    ResponseInterrupted,
    ResponseStarted,
    SendMessage,
    StopRequested,
    TimeAdvanced,
)
from greengagerock.membership import (
    AnnouncementRelay,
    AnnouncementRelayReply,
    Hello,
    HelloReply,
    LeaseManager,
    LeaseManagerClient,
    LeaseManagerDismissed,
    LeaseManagerGrant,
    LeaseManagerHeartbeat,
    LeaseManagerLeaving,
    LeaseManagerStarted,
    RouterGrant,
    RouterHeartbeat,
)
from greengagerock.model import RouteHistory
from greengagerock.node.relayed_requests import RelayedRequests
from greengagerock.node.stop_sequence import StopSequence
from greengagerock.replication import (
    AppendReply,
    AppendRequest,
    BootstrapHello,
    GroupBootstrap,
    InitialMembership,
    SnapshotRequest,
    TimeoutNow,
    Voter,
    VoteReply,
    VoteRequest,
)
from greengagerock.routing.claim_recovery import ClaimRecovery
from greengagerock.routing.crash_suspects import CrashReport
from greengagerock.routing.key_claims import (
    ClaimsReply,
    ClaimsRequest,
    ClaimStore,
    KeyClaim,
    KeyClaimResult,
    KeyRelease,
)
from greengagerock.routing.router import Router


class Node:
    """All roles of one host, deterministic and without I/O.

    ``handle`` takes one event and returns the effects that the I/O layer carries out.
    Messages of the host to itself are delivered at once.

    Args:
        config: The node's configuration.
        durable_state: The ``DurableState`` of the data folder for a voter, else ``None``.
        now_s: Monotonic time in seconds.
        wall_clock_us: Callable that returns the wall clock in microseconds, which is used
            only for time stamps of events.

    Examples:
        >>> from greengagerock.testing.model_builders import build_config
        >>> node = Node(build_config("h1"), None, 0.0, lambda: 0)
        >>> node.next_due_s() is not None
        True
    """

    def __init__(self, config, durable_state, now_s, wall_clock_us):
        self.config = config
        self.timers = TimerService(now_s)
        self.outbox = Outbox()
        self.random = Random(config.seed)
        self.timeline = Timeline(config.host.name, config.host.zone, wall_clock_us)
        self.history = RouteHistory()
        self.lease_manager = None
        self.voter = None
        self.controller = None
        self.bootstrap = None
        if durable_state is not None:
            self._start_voter(durable_state)
        self.lease_manager_client = LeaseManagerClient(
            config.host,
            config.voters,
            self.history,
            self._acknowledged_version,
            self.timers,
            self.outbox,
        )
        self.router = Router(
            config.host.zone,
            self.history,
            self.lease_manager_client.lease,
            self.timers,
            self.outbox,
            self.random,
        )
        self.lease_manager_client.on_appointed = self._on_appointed
        self.lease_manager_client.lease_manager_lacks_leader = lambda: (
            self.lease_manager is not None and self.lease_manager.lacks_leader()
        )
        self.lease_manager_client.on_routes = self._on_routes
        self.claim_store = ClaimStore(now_s)
        self.claim_recovery = ClaimRecovery(
            config.host.name, self.history, self.claim_store, self.timers, self.outbox
        )
        self.router.leader_address = self._leader_address
        self.relays = RelayedRequests(self.timers, self.outbox, self._leader_address)
        self.stop_sequence = StopSequence(self)
        self.timeline.record("started", detail=f"incarnation={config.host.incarnation}")

    def next_due_s(self):
        """Return the time at which the next ``TimeAdvanced`` event is due, or ``None``."""
        return self.timers.next_due_s()

    def waits_for_requests(self):
        """Return whether the node waits for requests in flight to end."""
        return bool(self.router.registry.barriers) or self.stop_sequence.has_begun

    def start(self):
        """Return the effects of the node's creation."""
        return self._finish()

    def abandon(self, event):
        """Do nothing after an exception; the event loop answers the request of the event."""

    def handle(self, event, now_s):
        """Handle one event.

        Args:
            event: One of the events of ``greengagerock.core.interface``.
            now_s: Monotonic time in seconds.

        Returns:
            List of effects, in the order in which they have to be carried out.
        """
        self.timers.advance(now_s)
        self._dispatch(event)
        return self._finish()

    def _dispatch(self, event):
        match event:
            case RequestArrived():
                self.router.on_request(event)
            case RequestEnded():
                self.router.on_request_ended(event)
                self.stop_sequence.finish_if_idle()
            case ResponseStarted():
                self.router.on_response_started(event)
            case ResponseInterrupted():
                self.router.on_response_interrupted(event)
            case CallerDisconnected():
                self.router.on_caller_disconnected(event)
            case AttemptFailed():
                self.router.on_attempt_failed(event)
                self.stop_sequence.finish_if_idle()
            case TimeAdvanced():
                pass
            case MessageReceived():
                if event.sent_at is not None:
                    self.timeline.observe(event.sent_at)
                self._on_message(event.message, event.address)
            case Persisted(sequence):
                self.voter.on_persisted(sequence)
            case PersistFailed(detail):
                self.timeline.record("disk-failed", detail=detail)
                self.voter.on_persist_failed(detail)
            case AnnouncementArrived():
                self._on_announced(event)
            case OperatorRequestArrived():
                self.relays.relay_operator(event)
            case ReadinessRequested(token):
                self.outbox.add(RespondToReadiness(token, self.router.readiness()))
            case StopRequested():
                self.stop_sequence.begin()

    def _finish(self):
        """Deliver messages to this host itself and return the other effects."""
        own_address = self.config.host.address
        effects = self.outbox.drain()
        if not any(type(effect) is SendMessage for effect in effects):
            return effects
        queue = deque(effects)
        effects = []
        while queue:
            effect = queue.popleft()
            if isinstance(effect, SendMessage) and effect.address == own_address:
                self._on_message(effect.message, own_address)
                queue.extend(self.outbox.drain())
            else:
                effects.append(effect)
        return effects

    # --- Messages ------------------------------------------------------------------

    def _on_message(self, message, address):
        match message:
            case RouterHeartbeat():
                if self.lease_manager and message.epoch == self.lease_manager.epoch:
                    self.lease_manager.on_router_heartbeat(message, address)
            case RouterGrant() | HelloReply() | LeaseManagerStarted():
                self.lease_manager_client.handle(message, address)
                self._on_dismissed(self.lease_manager_client.epoch)
            case AnnouncementRelay(token, announcement):
                if self.lease_manager:
                    reply = self.lease_manager.on_announcement(announcement)
                    self.outbox.send(address, AnnouncementRelayReply(token, reply))
            case AnnouncementRelayReply(token, reply):
                self.relays.on_announcement_reply(token, reply)
            case KeyClaim():
                claim_result = self.claim_store.claim(message, self.timers.now_s)
                claim_reply = KeyClaimResult(message.token, self.config.host.name, claim_result)
                self.outbox.send(address, claim_reply)
            case KeyRelease():
                self.claim_store.release(message, self.timers.now_s)
            case ClaimsRequest(recorder):
                hosts = self.history.routes.hosts.values()
                claims = self.claim_store.claims_for_recorder(recorder, hosts)
                self.outbox.send(address, ClaimsReply(self.config.host.name, claims))
            case ClaimsReply():
                self.claim_recovery.on_claims_reply(message)
            case KeyClaimResult():
                self.router.key_claimer.on_result(message)
            case LeaseManagerGrant():
                self._on_lease_manager_grant(message)
            case LeaseManagerDismissed(epoch):
                self._on_dismissed(epoch)
            case OperatorRelayReply(token, operator_reply):
                self.relays.on_operator_reply(token, operator_reply)
            case _:
                self._on_voter_message(message, address)

    def _on_voter_message(self, message, address):
        if self.voter is None:
            return
        match message:
            case VoteRequest() | VoteReply() | AppendRequest() | AppendReply():
                self.voter.handle(message, address)
            case SnapshotRequest() | TimeoutNow():
                self.voter.handle(message, address)
            case BootstrapHello() | InitialMembership():
                self.bootstrap.handle(message, address)
            case (
                Hello()
                | LeaseManagerHeartbeat()
                | LeaseManagerLeaving()
                | OperatorRelay()
                | CrashReport()
            ):
                self.controller.handle(message, address)

    def transfer_roles(self):
        """Transfer the roles of leader and lease manager to other hosts."""
        if self.voter:
            self.voter.transfer_leadership()
        if self.lease_manager:
            self.lease_manager.leave()

    # --- Voter ---------------------------------------------------------------------

    def _start_voter(self, durable_state):
        machine = ControlStateMachine()
        self.voter = Voter(durable_state, machine, self.timers, self.outbox, self.random)
        self.controller = Controller(
            self.voter, machine, self.timers, self.outbox, self.timeline, self.config.host.name
        )
        self.bootstrap = GroupBootstrap(
            self.voter,
            self.config.host.name,
            self.config.host.address,
            self.config.initial_voters,
            self.timers,
            self.outbox,
        )

    # --- Lease manager -------------------------------------------------------------

    def _on_routes(self):
        self.router.on_routes()
        self.claim_recovery.on_routes()

    def _acknowledged_version(self):
        return self.router.acknowledged_version()

    def _on_appointed(self, reply):
        if self.lease_manager:
            self.lease_manager.stop()
        self.timeline.record("keeper-started", detail=f"epoch={reply.epoch}")
        self.outbox.log("keeper-started", epoch=reply.epoch)
        self.lease_manager = LeaseManager(
            self.config.host.name,
            self.config.host.zone,
            reply,
            self.history.routes,
            self._leader_address,
            self.history.delta_since,
            self.timers,
            self.outbox,
            self.timeline,
        )

    def _on_lease_manager_grant(self, grant):
        if self.lease_manager and grant.epoch == self.lease_manager.epoch:
            self.lease_manager_client.apply_delta(grant.delta)
            self.lease_manager.on_grant(grant)

    def _on_dismissed(self, epoch):
        if self.lease_manager and epoch > self.lease_manager.epoch:
            self.timeline.record("keeper-dismissed", detail=f"epoch={epoch}")
            self.lease_manager.stop()
            self.lease_manager = None

    def _leader_address(self):
        if self.voter is not None:
            member = self.voter.leader_member()
            if member is not None:
                return member.address
        return self.lease_manager_client.leader

    # --- Requests for another host -------------------------------------------------

    def _on_announced(self, event):
        if self.lease_manager:
            reply = self.lease_manager.on_announcement(event.announcement)
            self.relays.reply_announcement(event.token, reply)
        else:
            self.relays.relay_announcement(event, self.lease_manager_client.lease_manager_address)
