"""How a host finds its keeper and keeps its routes and lease current."""

from greengagerock.membership.lease import RouteLease
from greengagerock.membership.messages import (
    Hello,
    HelloReply,
    KeeperHere,
    RouterBeat,
    RouterGrant,
)
from greengagerock.model.timing import HELLO_INTERVAL_S, ROUTER_BEAT_INTERVAL_S

KEEPER_PATIENCE_S = 2 * ROUTER_BEAT_INTERVAL_S + 0.05


class ZoneFollower:
    """Follows the keeper of the host's availability zone.

    Args:
        record: This host's ``HostRecord``.
        voters: Link addresses of the voters known from the settings.
        history: This host's routes.
        acknowledged: Callable that returns the version in force for all requests.
        timers: The timer service.
        outbox: Receives effects.

    Attributes:
        lease: The route lease.
        epoch: Highest keeper epoch seen; lower ones are ignored.
        keeper_address: Link address of the keeper, or the empty string.
        leader: Link address of the leader as last heard, or the empty string.
        keeper_lacks_leader: Callable that returns whether this host keeps the zone and
            its leader does not answer.
        on_appointed: Called with the ``HelloReply`` if this host is to keep the zone.
        leaving: Whether this host is stopping.
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
        self.keeper_address = ""
        self.leader = ""
        self.keeper_lacks_leader = lambda: False
        self.on_appointed = lambda reply: None
        self.on_routes = lambda: None
        self.leaving = False
        self._granted_s = float("-inf")
        self._voter_turn = 0
        self._leader_missed = False
        self._beat()
        self._hello()

    def handle(self, message, address):
        """Take in a message; ``address`` is the sender's link address."""
        match message:
            case HelloReply():
                self._on_hello_reply(message)
            case KeeperHere(epoch):
                # After a restart only the leader's word counts: this message may
                # have been under way for long and come from an earlier keeper.
                if self.epoch:
                    self._follow(epoch, address)
            case RouterGrant():
                self._on_grant(message)

    def has_keeper(self):
        """Return whether the keeper has answered lately."""
        return self.timers.now_s - self._granted_s < KEEPER_PATIENCE_S

    def apply_delta(self, delta):
        """Apply a route delta and tell the router."""
        if delta is not None and self.history.publish(delta):
            self.on_routes()

    def _follow(self, epoch, address):
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self.keeper_address = address
        self._send_beat()

    def _beat(self):
        self.timers.subscribe(ROUTER_BEAT_INTERVAL_S, self._beat)
        self._send_beat()

    def _send_beat(self):
        if not self.keeper_address:
            return
        beat = RouterBeat(
            self.record.name,
            self.epoch,
            self.timers.now_s,
            self.history.version,
            self.acknowledged(),
        )
        self.outbox.send(self.keeper_address, beat)

    def _hello(self):
        self.timers.subscribe(HELLO_INTERVAL_S, self._hello)
        if self.leaving:
            # A hello would offer this host as a keeper.
            return
        hello = Hello(self.record, self.history.version)
        if self.keeper_lacks_leader():
            # The whole zone waits for its keeper, so it asks every voter at once.
            for address in self.voters:
                self.outbox.send(address, hello)
        elif not self.has_keeper():
            self.outbox.send(self._next_voter(), hello)
        else:
            self._leader_missed = False

    def _next_voter(self):
        """Return the leader's address, or if it did not answer each voter's in turn."""
        if self.leader and not self._leader_missed:
            self._leader_missed = True
            return self.leader
        self._voter_turn += 1
        return self.voters[self._voter_turn % len(self.voters)]

    def _on_hello_reply(self, reply):
        if reply.incarnation != self.record.incarnation:
            return
        if reply.leader:
            if reply.leader != self.leader:
                self._leader_missed = False
            self.leader = reply.leader
        if reply.voters:
            self.voters = reply.voters
        if not reply.keeper:
            return
        if reply.keeper == self.record.name and reply.epoch > self.epoch:
            self.on_appointed(reply)
        self._follow(reply.epoch, reply.keeper_address)

    def _on_grant(self, grant):
        if grant.epoch != self.epoch:
            return
        if grant.leader:
            self.leader = grant.leader
        self.apply_delta(grant.delta)
        self.leaving = False
        self._granted_s = self.timers.now_s
        self.lease.renew(grant)
