"""Automatic replacement of lost voters by spare controllers."""

from greengagerock.replication import Membership

# Silence after which a voter is replaced, if there is a spare controller.
SILENT_VOTER_S = 2.5
# Longest silence of a controller that can still become a voter.
SPARE_SILENCE_LIMIT_S = 1.5
CAUGHT_UP_ENTRIES = 16
MIN_GROUP_SIZE = 3


class MemberState:
    """State of one member as seen by the leader.

    Attributes:
        member: The ``Member``.
        is_silent: Whether the member has not replied for ``SILENT_VOTER_S``.
        is_superseded: Whether the member's host has returned under another identity, so
            that this one never replies again.
        has_caught_up: Whether the member lacks at most ``CAUGHT_UP_ENTRIES`` log entries.
    """

    __slots__ = ("has_caught_up", "is_silent", "is_superseded", "member")

    def __init__(self, member, is_silent=False, is_superseded=False, has_caught_up=True):
        self.member = member
        self.is_silent = is_silent
        self.is_superseded = is_superseded
        self.has_caught_up = has_caught_up

    @property
    def is_lost(self):
        """Whether the member should be replaced."""
        return self.is_silent or self.is_superseded


def voter_count(controller_count):
    """Return the intended number of voters for a number of controllers: all, or all but one.

    So each connected majority of the controllers contains a majority of the voters, whichever
    controllers are lost or cut off. With fewer voters, it might contain a minority of them.

    Examples:
        >>> [voter_count(controller_count) for controller_count in (1, 3, 4, 5, 6, 12)]
        [3, 3, 3, 5, 5, 11]
    """
    return max(MIN_GROUP_SIZE, controller_count - 1 + controller_count % 2)


def choose_membership(membership, states, learner, spares, own_identity):
    """Return the membership after the next step, or the current one if no step is due.

    A step changes one member, so that the majorities before and after it overlap. A new
    member starts as a learner, then becomes a voter, and only then a lost voter is removed.

    Args:
        membership: The current ``Membership``.
        states: A ``MemberState`` for each voter.
        learner: The ``MemberState`` of the learner, or ``None``.
        spares: ``Member`` objects of controllers that can become voters, best first.
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
    size = voter_count(len(voters) - len(superseded) + len(spares))
    if len(voters) > size or (superseded and len(voters) - len(superseded) >= size):
        to_remove = superseded or lost or [m for m in voters if m.identity != own_identity][-1:]
        return Membership(tuple(member for member in voters if member != to_remove[0]))
    if spares and (len(voters) - len(lost) < size):
        return Membership(voters, spares[0])
    return membership


class VoterReplacement:
    """Replaces lost voters step by step while the local voter is the leader.

    Args:
        voter: The local voter.
        peers: The ``PeerDirectory`` of this controller.
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
        """Propose the next step if one is due and the previous one is committed."""
        voter = self.voter
        if not voter.is_ready_to_serve() or voter.has_pending_membership():
            return
        membership = voter.membership
        states = [self._state_of(member) for member in membership.voters]
        learner = self._state_of(membership.learner) if membership.learner else None
        next_membership = choose_membership(
            membership, states, learner, self._spares(), voter.identity
        )
        if next_membership == membership:
            return
        if next_membership.learner is not None:
            self.learner_since_s = self.timers.now_s
        self.outbox.log(
            "voters-changed",
            voters=",".join(member.host for member in next_membership.voters),
            learner=next_membership.learner.host if next_membership.learner else "",
            before=",".join(member.host for member in membership.voters),
            lost=",".join(state.member.host for state in states if state.is_lost),
        )
        voter.propose(b"", next_membership)

    def _state_of(self, member):
        voter, now_s = self.voter, self.timers.now_s
        peer = self.peers.peers.get(member.address)
        is_superseded = peer is not None and peer.member.identity != member.identity
        if member.identity == voter.identity:
            return MemberState(member)
        since_s = max(voter.last_contact_s(member), voter.leader_since_s)
        if member == voter.membership.learner:
            since_s = max(since_s, self.learner_since_s)
        match_index = voter.member_match_index(member)
        has_caught_up = match_index > 0 and voter.log.last_index - match_index <= CAUGHT_UP_ENTRIES
        return MemberState(member, now_s - since_s > SILENT_VOTER_S, is_superseded, has_caught_up)

    def _spares(self):
        """Return spare controllers, ordered by the number of voters in their zones."""
        now_s = self.timers.now_s
        membership = self.voter.membership
        member_identities = {member.identity for member in membership.members}
        spare_peers = [
            peer
            for peer in self.peers.peers.values()
            if peer.member.identity not in member_identities
            and not peer.is_leaving
            and now_s - peer.last_contact_s < SPARE_SILENCE_LIMIT_S
        ]
        voter_zones = [self.zone]
        for member in membership.voters:
            peer = self.peers.peers.get(member.address)
            if peer is not None and peer.member.identity == member.identity:
                voter_zones.append(peer.zone)
        spare_peers.sort(key=lambda peer: (voter_zones.count(peer.zone), peer.member.address))
        return [peer.member for peer in spare_peers]
