"""Bootstrap of a group of voters at its first start."""

from greengagerock.model.timing import BOOTSTRAP_INTERVAL_S
from greengagerock.replication.messages import BootstrapHello, InitialMembership
from greengagerock.replication.records import Member, Membership

HELLO_INTERVAL_GROWTH = 1.2
HELLO_INTERVAL_MAX_S = 5.0


class GroupBootstrap:
    """Forms the first membership from the voters listed in the settings.

    The group is formed only after every initial voter has reported that its data
    folder is empty. After a later loss of its disk a voter cannot form a second group,
    because the data folders of the others are not empty; an operator adds it again as
    a learner.

    An initial voter that is killed before the group exists may be started again by settings that
    no longer let it bootstrap a group. It takes part all the same when another initial voter that
    still waits for it sends a hello.

    Args:
        voter: The local voter.
        host: Name of this host.
        address: Link address of this host.
        initial_addresses: Link addresses of the initial voters by host name.
        timers: The timer service.
        outbox: Receives effects.
    """

    def __init__(self, voter, host, address, initial_addresses, timers, outbox):
        self.voter = voter
        self.member = Member(voter.identity, host, address)
        self.initial_addresses = initial_addresses
        self.timers = timers
        self.outbox = outbox
        self.members_by_host = {host: self.member}
        self.interval_s = BOOTSTRAP_INTERVAL_S
        self._send_hello()

    @property
    def has_no_group(self):
        """Whether this voter belongs to no group yet."""
        return not self.voter.membership.members

    def handle(self, message, address):
        """Handle a ``BootstrapHello`` or ``InitialMembership``; ``address`` is the sender's."""
        match message:
            case BootstrapHello(member, initial_addresses):
                self._join_bootstrap(initial_addresses)
                self._on_hello(member, address)
            case InitialMembership(membership):
                self._on_membership(membership)

    def _send_hello(self):
        if not self.has_no_group or self.member.host not in self.initial_addresses:
            return
        for host, address in self.initial_addresses.items():
            if host != self.member.host:
                initial_addresses = tuple(self.initial_addresses.values())
                self.outbox.send(address, BootstrapHello(self.member, initial_addresses))
        self._bootstrap_if_complete()
        self.timers.subscribe(self.interval_s, self._send_hello)
        self.interval_s = min(self.interval_s * HELLO_INTERVAL_GROWTH, HELLO_INTERVAL_MAX_S)

    def _join_bootstrap(self, initial_addresses):
        """Take part in the bootstrap of which a hello tells, if this host is one of its voters."""
        if self.initial_addresses or not self.has_no_group:
            return
        if self.member.address in initial_addresses:
            self.initial_addresses = {address: address for address in initial_addresses}
            self.outbox.log("bootstrap-joined", voters=len(initial_addresses))
            self._send_hello()

    def _on_hello(self, member, address):
        if self.has_no_group and member.host in self.initial_addresses:
            self.members_by_host[member.host] = member
            self._bootstrap_if_complete()
        elif member.identity in {m.identity for m in self.voter.membership.voters}:
            self.outbox.send(address, InitialMembership(self.voter.membership))

    def _bootstrap_if_complete(self):
        coordinator = min(self.initial_addresses)
        if self.member.host != coordinator or set(self.members_by_host) != set(
            self.initial_addresses
        ):
            return
        membership = Membership(
            tuple(self.members_by_host[host] for host in sorted(self.members_by_host))
        )
        for member in membership.voters:
            if member.host != self.member.host:
                self.outbox.send(member.address, InitialMembership(membership))
        self._on_membership(membership)

    def _on_membership(self, membership):
        if self.has_no_group and membership.has_voter(self.member.identity):
            self.voter.bootstrap(membership)
            self.outbox.log("group-founded", voters=len(membership.voters))
