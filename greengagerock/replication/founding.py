"""The first start of a group of voters."""

from greengagerock.model.timing import FOUNDING_INTERVAL_S
from greengagerock.replication.messages import Found, FoundingHello
from greengagerock.replication.records import Member, Membership

INTERVAL_GROWTH = 1.2
FOUNDING_INTERVAL_MAX_S = 5.0


class Founding:
    """Forms the first membership from the voters named in the settings.

    The group is founded only when every initial voter says that its data
    folder is empty. A voter that lost its disk later finds the others no
    longer empty, so it cannot found a second group; an operator brings it
    back as a learner.

    Args:
        voter: The local voter.
        host: Name of this host.
        address: Link address of this host.
        initial: Link addresses of the initial voters by host name.
        timers: The timer service.
        outbox: Receives effects.
    """

    def __init__(self, voter, host, address, initial, timers, outbox):
        self.voter = voter
        self.member = Member(voter.identity, host, address)
        self.initial = initial
        self.timers = timers
        self.outbox = outbox
        self.heard = {host: self.member}
        self.interval_s = FOUNDING_INTERVAL_S
        self._introduce()

    @property
    def is_open(self):
        """Whether this voter still belongs to no group."""
        return not self.voter.membership.everyone

    def handle(self, message, address):
        """Take in a ``FoundingHello`` or ``Found``; ``address`` is the sender's."""
        match message:
            case FoundingHello(member):
                self._on_hello(member, address)
            case Found(membership):
                self._on_found(membership)

    def _introduce(self):
        if not self.is_open or self.member.host not in self.initial:
            return
        for host, address in self.initial.items():
            if host != self.member.host:
                self.outbox.send(address, FoundingHello(self.member))
        self._found_if_complete()
        self.timers.subscribe(self.interval_s, self._introduce)
        self.interval_s = min(self.interval_s * INTERVAL_GROWTH, FOUNDING_INTERVAL_MAX_S)

    def _on_hello(self, member, address):
        if self.is_open and member.host in self.initial:
            self.heard[member.host] = member
            self._found_if_complete()
        elif member.identity in {m.identity for m in self.voter.membership.voters}:
            self.outbox.send(address, Found(self.voter.membership))

    def _found_if_complete(self):
        first = min(self.initial)
        if self.member.host != first or set(self.heard) != set(self.initial):
            return
        membership = Membership(tuple(self.heard[host] for host in sorted(self.heard)))
        for member in membership.voters:
            if member.host != self.member.host:
                self.outbox.send(member.address, Found(membership))
        self._on_found(membership)

    def _on_found(self, membership):
        if self.is_open and membership.has_voter(self.member.identity):
            self.voter.found(membership)
            self.outbox.log("group-founded", voters=len(membership.voters))
