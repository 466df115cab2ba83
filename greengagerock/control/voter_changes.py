"""Carries out voter changes in safe single steps."""

from greengagerock.control.commands import VoterChangeEnded
from greengagerock.replication import Member, Membership

# Number of log entries that a learner may lack when it becomes a voter.
MAX_LEARNER_LAG_ENTRIES = 16


class VoterChangeRunner:
    """Carries out the steps of a voter change.

    Each step changes one member, so that the quorums before and after it
    overlap: the new voter first receives the log as a learner, then becomes a voter,
    and then the old voter is removed. The next step follows from the membership alone,
    so that a new leader continues where its predecessor stopped.

    Args:
        controller: The ``Controller`` that leads.

    References:
        D. Ongaro: Consensus: Bridging Theory and Practice, 2014, chapter 4.
    """

    def __init__(self, controller):
        self.controller = controller

    def advance(self):
        """Propose the next step once the previous one is committed."""
        change = self.controller.state.voter_change
        voter = self.controller.voter
        if change is None or voter.has_pending_membership():
            return
        membership = voter.membership
        step = self._next_membership(change, membership)
        if step is None:
            self.controller.propose_once("voter-change-ended", VoterChangeEnded())
        elif step != membership:
            self.controller.timeline.record("voters-changed", detail=format_membership(step))
            self.controller.outbox.log("voters-changed", voters=format_membership(step))
            voter.propose(b"", step)

    def _next_membership(self, change, membership):
        """Return the next membership, the current one to wait, or ``None`` when done."""
        new = membership.find(change.new_identity) if change.new else None
        if change.new and new is None:
            return Membership(membership.voters, self._new_member(change))
        if change.new and not membership.has_voter(change.new_identity):
            if not self._has_caught_up(new):
                return membership
            return Membership((*membership.voters, new))
        replaced = find_replaced_member(change, membership)
        if replaced is not None:
            return Membership(tuple(m for m in membership.voters if m != replaced))
        return None

    def _new_member(self, change):
        host = self.controller.state.hosts[change.new]
        return Member(change.new_identity, host.name, host.address)

    def _has_caught_up(self, member):
        voter = self.controller.voter
        match_index = voter.member_match_index(member)
        return match_index > 0 and voter.log.last_index - match_index <= MAX_LEARNER_LAG_ENTRIES


def find_replaced_member(change, membership):
    """Return the member that a change removes, or ``None`` if it is not a voter.

    A host that lost its disk replaces itself: its old member and its new one differ
    only in the identity.
    """
    for member in membership.voters:
        if change.old and member.host == change.old and member.identity != change.new_identity:
            return member
    return None


def format_membership(membership):
    """Return the hosts of a membership as text, a learner in parentheses."""
    names = [member.host for member in membership.voters]
    if membership.learner:
        names.append(f"({membership.learner.host})")
    return ",".join(names)
