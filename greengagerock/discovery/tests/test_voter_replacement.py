"""Tests of the replacement of voters, one member at a time."""

from itertools import combinations

import pytest

from greengagerock.discovery import choose_membership
from greengagerock.discovery.voter_replacement import MemberState
from greengagerock.replication import Member, Membership


def member(name, instance=1):
    """Return a member whose identity depends on the instance."""
    return Member(f"{name}#{instance}", name, f"{name}:1")


A, B, C, D, E = (member(name) for name in "abcde")


def next_step(membership, lost=(), superseded=(), spares=(), caught_up=True, learner_lost=False):
    """Return the next membership, with ``a`` as the leader."""
    states = [MemberState(m, m in lost, m in superseded) for m in membership.voters]
    learner = None
    if membership.learner:
        learner = MemberState(membership.learner, learner_lost, False, caught_up)
    return choose_membership(membership, states, learner, list(spares), A.identity)


def test_group_without_losses_stays():
    group = Membership((A, B, C))
    assert next_step(group) == group
    assert next_step(group, spares=[D]) == group


def test_lost_voter_without_spare_stays():
    group = Membership((A, B, C))
    assert next_step(group, lost=[C]) == group


def test_replacement_adds_a_learner_then_a_voter_and_removes_the_lost_one():
    group = Membership((A, B, C))
    with_learner = next_step(group, lost=[C], spares=[D])
    assert with_learner == Membership((A, B, C), D)
    assert next_step(with_learner, lost=[C], caught_up=False) == with_learner
    four_voters = next_step(with_learner, lost=[C])
    assert four_voters == Membership((A, B, C, D))
    assert next_step(four_voters, lost=[C]) == Membership((A, B, D))


def test_wiped_voter_is_replaced_by_its_own_new_identity():
    wiped = member("c", 2)
    group = Membership((A, B, C))
    with_learner = next_step(group, superseded=[C], spares=[wiped])
    four_voters = next_step(with_learner, superseded=[C])
    assert next_step(four_voters, superseded=[C]) == Membership((A, B, wiped))


def test_lost_learner_is_removed():
    assert next_step(Membership((A, B, C), D), learner_lost=True) == Membership((A, B, C))


def test_small_group_grows_and_never_shrinks_below_three():
    assert next_step(Membership((A, B)), spares=[C]) == Membership((A, B), C)
    assert next_step(Membership((A, B, C)), superseded=[C]) == Membership((A, B, C))


def test_five_controllers_make_five_voters():
    assert next_step(Membership((A, B, C)), spares=[D, E]) == Membership((A, B, C), D)
    five = Membership((A, B, C, D, E))
    assert next_step(five) == five


def test_leader_is_not_removed_from_a_group_that_is_too_large():
    four_voters = Membership((B, C, D, A))
    assert A in next_step(four_voters).voters


def grow(controllers):
    """Return the voters after all steps, starting with three of ``controllers``."""
    membership = Membership(tuple(controllers[:3]))
    for _ in range(4 * len(controllers)):
        spares = [m for m in controllers if m not in membership.members]
        membership = next_step(membership, spares=spares)
    return membership


@pytest.mark.parametrize("count", range(3, 13))
def test_every_connected_majority_of_the_controllers_has_a_majority_of_the_voters(count):
    """Whatever is lost or cut off: half of the controllers and one more can elect a leader."""
    controllers = [A, *(member(f"m{number}") for number in range(1, count))]
    membership = grow(controllers)
    assert membership.learner is None
    for connected in combinations(controllers, count // 2 + 1):
        voters = sum(m in membership.voters for m in connected)
        assert voters >= membership.quorum, (count, [m.host for m in connected])


def test_two_lost_controllers_of_twelve_leave_a_group_that_bears_the_same_again():
    controllers = [A, *(member(f"m{number}") for number in range(1, 12))]
    membership = grow(controllers)
    lost = membership.voters[-2:]
    for _ in range(20):
        spares = [m for m in controllers if m not in (*membership.members, *lost)]
        membership = next_step(membership, lost=lost, spares=spares)
    running = [m for m in membership.voters if m not in lost]
    assert len(running) - 2 >= membership.quorum
