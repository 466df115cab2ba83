"""Carries out voter changes, one safe step at a time."""

from greengagerock.control.commands import VoterChangeEnded
from greengagerock.replication import Member, Membership

CAUGHT_UP_ENTRIES = 16


class VoterChanger:
    """Leads a voter change through its steps.

    Each step changes one member, so that the majorities before and after it
    overlap: first the new voter learns the log without a vote, then it votes,
    then the old voter is removed. The steps follow from the membership alone,
    so that a new leader goes on where the old one stopped.

    Args:
        controller: The controller that it works for.

    References:
        D. Ongaro: Consensus: Bridging Theory and Practice, 2014, chapter 4.
    """

    def __init__(self, controller):
        self.controller = controller

    def advance(self):
        """Propose the next step, if the one before it is committed."""
        change = self.controller.state.voter_change
        voter = self.controller.voter
        if change is None or voter.membership_pending():
            return
        membership = voter.membership
        step = self._next_membership(change, membership)
        if step is None:
            self.controller.propose_once("voter-change-ended", VoterChangeEnded())
        elif step != membership:
            self.controller.timeline.record("voters-changed", detail=describe(step))
            self.controller.outbox.log("voters-changed", voters=describe(step))
            voter.propose(b"", step)

    def _next_membership(self, change, membership):
        """Return the next membership, the present one to wait, or ``None`` at the end."""
        new = membership.find(change.new_identity) if change.new else None
        if change.new and new is None:
            return Membership(membership.voters, self._new_member(change))
        if change.new and not membership.has_voter(change.new_identity):
            if not self._has_caught_up(new):
                return membership
            return Membership((*membership.voters, new))
        old = find_old(change, membership)
        if old is not None:
            return Membership(tuple(m for m in membership.voters if m != old))
        return None

    def _new_member(self, change):
        host = self.controller.state.hosts[change.new]
        return Member(change.new_identity, host.name, host.address)

    def _has_caught_up(self, member):
        voter = self.controller.voter
        match_index = voter.match_index_of(member)
        return match_index > 0 and voter.log.last_index - match_index <= CAUGHT_UP_ENTRIES


def find_old(change, membership):
    """Return the member that a change removes, or ``None`` if it is gone.

    A host that lost its disk is replaced by itself: its old member differs from
    the new one only by the identity.
    """
    for member in membership.voters:
        if change.old and member.host == change.old and member.identity != change.new_identity:
            return member
    return None


def describe(membership):
    """Return the hosts of a membership as text."""
    names = [member.host for member in membership.voters]
    if membership.learner:
        names.append(f"({membership.learner.host})")
    return ",".join(names)
