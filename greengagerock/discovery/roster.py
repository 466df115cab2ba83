"""Keeps the number of voters up without an operator."""

from greengagerock.replication import Membership

# A voter that was silent for so long is replaced if another controller is there.
SILENT_VOTER_S = 2.5
# A controller that was heard within this time can become a voter.
SPARE_FRESH_S = 1.5
CAUGHT_UP_ENTRIES = 16
SMALL_GROUP = 3
LARGE_GROUP = 5


class VoterState:
    """What the leader knows of one member.

    Attributes:
        member: The ``Member``.
        is_silent: Whether it has not answered for ``SILENT_VOTER_S``.
        is_superseded: Whether its host came back with another identity, so that it
            never answers again.
        has_caught_up: Whether it has nearly all entries of the log.
    """

    __slots__ = ("has_caught_up", "is_silent", "is_superseded", "member")

    def __init__(self, member, is_silent=False, is_superseded=False, has_caught_up=True):
        self.member = member
        self.is_silent = is_silent
        self.is_superseded = is_superseded
        self.has_caught_up = has_caught_up

    @property
    def is_lost(self):
        """Whether it should be replaced."""
        return self.is_silent or self.is_superseded


def group_size(hosts):
    """Return how many voters a system with this many controllers should have.

    Examples:
        >>> [group_size(hosts) for hosts in (1, 3, 4, 5, 9)]
        [3, 3, 3, 5, 5]
    """
    return LARGE_GROUP if hosts >= LARGE_GROUP else SMALL_GROUP


def choose_membership(membership, states, learner, spares, own_identity):
    """Return the next membership, one member at a time, or the present one.

    Majorities before and after a step overlap: a new member first learns without a
    vote, then votes, and only then is a lost one removed.

    Args:
        membership: The present ``Membership``.
        states: A ``VoterState`` for each voter.
        learner: The ``VoterState`` of the learner, or ``None``.
        spares: ``Member`` objects of controllers that could vote, best first.
        own_identity: Identity of the leader.

    Returns:
        A ``Membership``.
    """
    voters = membership.voters
    if learner is not None:
        if learner.is_lost:
            return Membership(voters)
        if learner.has_caught_up:
            return Membership((*voters, learner.member))
        return membership
    lost = [state.member for state in states if state.is_lost]
    superseded = [state.member for state in states if state.is_superseded]
    size = group_size(len(voters) - len(superseded) + len(spares))
    if len(voters) > size or (superseded and len(voters) - len(superseded) >= size):
        leaving = superseded or lost or [m for m in voters if m.identity != own_identity][-1:]
        return Membership(tuple(member for member in voters if member != leaving[0]))
    if spares and (len(voters) - len(lost) < size):
        return Membership(voters, spares[0])
    return membership


class Roster:
    """Applies ``choose_membership`` for the leader.

    Args:
        voter: The local voter.
        peers: The ``PeerBook``.
        zone: Availability zone of this host.
        timers: The timer service.
        outbox: Receives effects.
    """

    def __init__(self, voter, peers, zone, timers, outbox):
        self.voter = voter
        self.peers = peers
        self.zone = zone
        self.timers = timers
        self.outbox = outbox
        self.learner_since_s = 0.0

    def advance(self):
        """Propose the next step if one is due and the one before it is committed."""
        voter = self.voter
        if not voter.ready_to_serve() or voter.membership_pending():
            return
        membership = voter.membership
        states = [self._state_of(member) for member in membership.voters]
        learner = self._state_of(membership.learner) if membership.learner else None
        step = choose_membership(membership, states, learner, self._spares(), voter.identity)
        if step == membership:
            return
        if step.learner is not None:
            self.learner_since_s = self.timers.now_s
        self.outbox.log(
            "voters-changed",
            voters=",".join(member.host for member in step.voters),
            learner=step.learner.host if step.learner else "",
            before=",".join(member.host for member in membership.voters),
            lost=",".join(state.member.host for state in states if state.is_lost),
        )
        voter.propose(b"", step)

    def _state_of(self, member):
        voter, now_s = self.voter, self.timers.now_s
        peer = self.peers.peers.get(member.address)
        superseded = peer is not None and peer.member.identity != member.identity
        if member.identity == voter.identity:
            return VoterState(member)
        since_s = max(voter.last_contact_s(member), voter.leader_since_s)
        if member == voter.membership.learner:
            since_s = max(since_s, self.learner_since_s)
        match_index = voter.match_index_of(member)
        caught_up = match_index > 0 and voter.log.last_index - match_index <= CAUGHT_UP_ENTRIES
        return VoterState(member, now_s - since_s > SILENT_VOTER_S, superseded, caught_up)

    def _spares(self):
        """Return controllers that could vote, first those in zones without a voter."""
        now_s = self.timers.now_s
        membership = self.voter.membership
        known = {member.identity for member in membership.members}
        fresh = [
            peer
            for peer in self.peers.peers.values()
            if peer.member.identity not in known
            and not peer.leaving
            and now_s - peer.heard_s < SPARE_FRESH_S
        ]
        zones = [self.zone]
        for member in membership.voters:
            peer = self.peers.peers.get(member.address)
            if peer is not None and peer.member.identity == member.identity:
                zones.append(peer.zone)
        fresh.sort(key=lambda peer: (zones.count(peer.zone), peer.member.address))
        return [peer.member for peer in fresh]
