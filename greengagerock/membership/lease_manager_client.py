"""Keeps a host's route lease and routes current through its zone's lease manager."""

from greengagerock.membership.lease import RouteLease
from greengagerock.membership.messages import (
    Hello,
    HelloReply,
    LeaseManagerStarted,
    RouterGrant,
    RouterHeartbeat,
)
from greengagerock.model.timing import HELLO_INTERVAL_S, ROUTER_HEARTBEAT_INTERVAL_S

LEASE_MANAGER_SILENCE_S = 2 * ROUTER_HEARTBEAT_INTERVAL_S + 0.05


class LeaseManagerClient:
    """Client of the lease manager of the host's availability zone.

    Args:
        record: This host's ``HostRecord``.
        voters: Link addresses of the voters in the settings.
        history: This host's routes.
        acknowledged: Callable that returns the routes version in effect for all requests.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        lease: The route lease.
        epoch: Highest epoch of a lease manager received so far; lower ones are ignored.
        lease_manager_address: Link address of the lease manager, or the empty string.
        leader: Link address of the leader as last received, or the empty string.
        lease_manager_lacks_leader: Callable that returns whether this host is the lease
            manager and the leader does not reply to it.
        on_appointed: Called with the ``HelloReply`` if it appoints this host as the
            lease manager.
        is_leaving: Set while this host stops; no ``Hello`` is sent then. A grant resets it.
        on_routes: Called after the routes have changed.
    """

    def __init__(self, record, voters, history, acknowledged, timers, outbox):
        self.record = record
        self.voters = voters
        self.history = history
        self.acknowledged = acknowledged
        self.timers = timers
        self.outbox = outbox
        self.lease = RouteLease()
        self.epoch = 0
        self.lease_manager_address = ""
        self.leader = ""
        self.lease_manager_lacks_leader = lambda: False
        self.on_appointed = lambda reply: None
        self.on_routes = lambda: None
        self.is_leaving = False
        self._granted_s = float("-inf")
        self._voter_index = 0
        self._leader_was_tried = False
        self._on_heartbeat_due()
        self._on_hello_due()

    def handle(self, message, address):
        """Handle a message; ``address`` is the sender's link address."""
        match message:
            case HelloReply():
                self._on_hello_reply(message)
            case LeaseManagerStarted(epoch):
                # After a restart only a ``HelloReply`` is accepted: this message may have
                # been delayed in transit and come from an earlier lease manager.
                if self.epoch:
                    self._follow(epoch, address)
            case RouterGrant():
                self._on_grant(message)

    def has_lease_manager(self):
        """Return whether the lease manager has replied recently."""
        return self.timers.now_s - self._granted_s < LEASE_MANAGER_SILENCE_S

    def apply_delta(self, delta):
        """Apply a route delta and notify the router if it changes the routes."""
        if delta is not None and self.history.publish(delta):
            self.on_routes()

    def _follow(self, epoch, address):
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self.lease_manager_address = address
        self._send_heartbeat()

    def _on_heartbeat_due(self):
        self.timers.subscribe(ROUTER_HEARTBEAT_INTERVAL_S, self._on_heartbeat_due)
        self._send_heartbeat()

    def _send_heartbeat(self):
        if not self.lease_manager_address:
            return
        heartbeat = RouterHeartbeat(
            self.record.name,
            self.epoch,
            self.timers.now_s,
            self.history.version,
            self.acknowledged(),
        )
        self.outbox.send(self.lease_manager_address, heartbeat)

    def _on_hello_due(self):
        self.timers.subscribe(HELLO_INTERVAL_S, self._on_hello_due)
        if self.is_leaving:
            # The leader could appoint the sender of a ``Hello`` as the lease manager.
            return
        hello = Hello(self.record, self.history.version)
        if self.lease_manager_lacks_leader():
            # No host of the zone gets route changes until its lease manager finds the
            # leader, so the request goes to every voter at once.
            for address in self.voters:
                self.outbox.send(address, hello)
        elif not self.has_lease_manager():
            self.outbox.send(self._next_voter(), hello)
        else:
            self._leader_was_tried = False

    def _next_voter(self):
        """Return the leader's address once, then those of the voters in turn."""
        if self.leader and not self._leader_was_tried:
            self._leader_was_tried = True
            return self.leader
        self._voter_index += 1
        return self.voters[self._voter_index % len(self.voters)]

    def _on_hello_reply(self, reply):
        if reply.incarnation != self.record.incarnation:
            return
        if reply.leader:
            if reply.leader != self.leader:
                self._leader_was_tried = False
            self.leader = reply.leader
        if reply.voters:
            self.voters = reply.voters
        if not reply.lease_manager:
            return
        if reply.lease_manager == self.record.name and reply.epoch > self.epoch:
            self.on_appointed(reply)
        self._follow(reply.epoch, reply.lease_manager_address)

    def _on_grant(self, grant):
        if grant.epoch != self.epoch:
            return
        if grant.leader:
            self.leader = grant.leader
        self.apply_delta(grant.delta)
        self.is_leaving = False
        self._granted_s = self.timers.now_s
        self.lease.renew(grant)
