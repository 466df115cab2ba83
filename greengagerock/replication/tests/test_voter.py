"""Tests of elections, replication and commit."""

from random import Random

import pytest

from greengagerock.core import TimerService
from greengagerock.core.interface import Outbox, Persist, SendMessage
from greengagerock.replication import (
    AppendReply,
    AppendRequest,
    DurableState,
    EntriesStored,
    Entry,
    HardState,
    Member,
    Membership,
    Snapshot,
    SnapshotRequest,
    SnapshotStored,
    Voter,
    VoteReply,
    VoteRequest,
)
from greengagerock.replication.voter import SNAPSHOT_AFTER_ENTRIES

MEMBERS = tuple(Member(f"{name}#1", name, f"{name}:1") for name in "abc")
MEMBERSHIP = Membership(MEMBERS)


class RecordingMachine:
    """State machine that records the payloads of applied entries."""

    def __init__(self):
        self.applied = []

    def apply(self, entry):
        self.applied.append(entry.payload)

    def dump(self):
        return b"|".join(self.applied)

    def load(self, data):
        self.applied = data.split(b"|")


class Harness:
    """One voter whose effects the test collects and completes."""

    def __init__(self, identity="a#1", records=(), membership=MEMBERSHIP):
        durable_state = DurableState(identity)
        durable_state.apply(EntriesStored((Entry(1, 0, b"", membership),)))
        for record in records:
            durable_state.apply(record)
        self.timers = TimerService(100.0)
        self.outbox = Outbox()
        self.machine = RecordingMachine()
        self.voter = Voter(durable_state, self.machine, self.timers, self.outbox, Random(1))
        self.pending_writes = []
        self.stored_records = []

    def take_messages(self):
        """Return sent messages and collect writes for ``sync``."""
        sent = []
        for effect in self.outbox.drain():
            if isinstance(effect, Persist):
                self.pending_writes.append(effect)
                self.stored_records += effect.records
            elif isinstance(effect, SendMessage):
                sent.append(effect.message)
        return sent

    def sync(self):
        """Report all writes as stored, and return the messages sent since the last call."""
        sent = self.take_messages()
        while self.pending_writes:
            self.voter.on_persisted(self.pending_writes.pop(0).sequence)
            sent += self.take_messages()
        return sent

    def advance(self, seconds):
        self.timers.advance(self.timers.now_s + seconds)

    def win_election(self):
        """Make the voter win an election and return the messages that it then sends."""
        self.advance(1.1)
        self.sync()
        term = self.voter.term
        self.voter.handle(VoteReply(term + 1, "b#1", True, True), "b:1")
        self.sync()
        self.voter.handle(VoteReply(term + 1, "b#1", True, False), "b:1")
        return self.sync()


def vote_request(term=5, is_pre_vote=False, last_index=9, last_term=4):
    return VoteRequest(term, "b#1", last_index, last_term, is_pre_vote)


def test_vote_is_sent_only_after_it_is_stored():
    harness = Harness()
    harness.advance(0.6)
    harness.sync()
    harness.voter.handle(vote_request(), "b:1")
    assert not [m for m in harness.take_messages() if isinstance(m, VoteReply)]
    replies = [m for m in harness.sync() if isinstance(m, VoteReply)]
    assert replies == [VoteReply(5, "a#1", True, False)]


def test_restarted_voter_does_not_vote_twice_in_a_term():
    harness = Harness(records=[HardState(5, "c#1")])
    harness.advance(0.6)
    harness.sync()
    harness.voter.handle(vote_request(term=5), "b:1")
    replies = [m for m in harness.sync() if isinstance(m, VoteReply) and not m.is_pre_vote]
    assert [reply.granted for reply in replies] == [False]


def test_voter_with_recent_leader_contact_ignores_candidates():
    harness = Harness()
    harness.voter.handle(AppendRequest(1, "c#1", 1, 0, (), 0, 1.0, "a#1"), "c:1")
    harness.sync()
    harness.voter.handle(vote_request(term=9), "b:1")
    assert not [m for m in harness.sync() if isinstance(m, VoteReply)]
    assert harness.voter.term == 1


def test_candidate_with_a_shorter_log_gets_no_vote():
    records = [EntriesStored((Entry(2, 4, b"x"), Entry(3, 4, b"y")))]
    harness = Harness(records=records)
    harness.advance(0.6)
    harness.sync()
    harness.voter.handle(vote_request(last_index=2, last_term=4), "b:1")
    assert [m.granted for m in harness.sync() if isinstance(m, VoteReply)] == [False]


def test_pre_vote_changes_no_state():
    harness = Harness()
    harness.advance(0.6)
    harness.sync()
    harness.voter.handle(vote_request(term=7, is_pre_vote=True), "b:1")
    assert harness.voter.term == 0
    assert not harness.pending_writes


def test_voter_outside_the_membership_neither_votes_nor_stands_for_election():
    harness = Harness(identity="a#2")
    harness.advance(3.0)
    assert harness.sync() == []
    harness.voter.handle(vote_request(), "b:1")
    assert harness.sync() == []


def test_entry_commits_once_a_quorum_has_stored_it():
    harness = Harness()
    harness.win_election()
    harness.voter.propose(b"x")
    harness.take_messages()
    reply = ReplyBuilder(harness.voter)
    harness.voter.handle(reply.success(3), "b:1")
    # The leader's own write is not stored yet, and one voter is no quorum of three.
    assert harness.machine.applied == []
    harness.sync()
    assert harness.machine.applied == [b"x"]


class ReplyBuilder:
    """Builds replies of member ``b`` to the leader."""

    def __init__(self, voter):
        self.voter = voter

    def success(self, match_index):
        now_s = self.voter.timers.now_s
        return AppendReply(self.voter.term, "b#1", True, match_index, 0, now_s)


def test_entries_of_an_earlier_term_commit_only_with_one_of_the_current_term():
    harness = Harness(records=[EntriesStored((Entry(2, 1, b"old"),)), HardState(1, "")])
    harness.win_election()
    reply = ReplyBuilder(harness.voter)
    harness.voter.handle(reply.success(2), "b:1")
    assert harness.machine.applied == []
    harness.voter.handle(reply.success(3), "b:1")
    assert harness.machine.applied == [b"old"]


def test_follower_acknowledges_only_after_the_write():
    harness = Harness()
    request = AppendRequest(1, "b#1", 1, 0, (Entry(2, 1, b"x"),), 1, 7.0, "a#1")
    harness.voter.handle(request, "b:1")
    harness.voter.handle(request, "b:1")
    assert [m for m in harness.take_messages() if getattr(m, "match_index", 0) == 2] == []
    assert [m.match_index for m in harness.sync() if hasattr(m, "match_index")] == [2, 2]


@pytest.mark.parametrize("entries", [(), (Entry(9, 1, b"x"),)])
@pytest.mark.parametrize("stored", [(), (Entry(2, 1, b"a"), Entry(3, 1, b"b"))])
def test_follower_confirms_nothing_beyond_a_snapshot_that_is_not_on_disk(entries, stored):
    """While the disk stalled, an append was confirmed at once, as if the snapshot were stored."""
    harness = Harness(records=[EntriesStored(stored)] if stored else [])
    snapshot = Snapshot(8, 1, MEMBERSHIP, b"a|b")
    harness.voter.handle(SnapshotRequest(1, "b#1", snapshot, 7.0, "a#1"), "b:1")
    append = AppendRequest(1, "b#1", 8, 1, entries, 8 + len(entries), 7.1, "a#1")
    harness.voter.handle(append, "b:1")
    harness.voter.handle(SnapshotRequest(1, "b#1", snapshot, 7.2, "a#1"), "b:1")
    assert [m for m in harness.take_messages() if isinstance(m, AppendReply) and m.success] == []
    replies = [m for m in harness.sync() if isinstance(m, AppendReply)]
    assert [m.match_index for m in replies] == [8, 8 + len(entries), 8]
    assert all(m.success for m in replies)


def test_entry_that_a_snapshot_drops_is_not_confirmed():
    harness = Harness(records=[EntriesStored((Entry(2, 1, b"a"), Entry(3, 1, b"b")))])
    snapshot = Snapshot(3, 2, MEMBERSHIP, b"c|d")
    harness.voter.handle(SnapshotRequest(2, "b#1", snapshot, 7.0, "a#1"), "b:1")
    harness.voter.handle(AppendRequest(2, "b#1", 3, 2, (), 3, 7.1, "a#1"), "b:1")
    assert [m for m in harness.take_messages() if isinstance(m, AppendReply) and m.success] == []
    assert harness.voter.stored_index < 3
    harness.sync()
    assert harness.voter.stored_index == 3


def test_conflicting_entries_are_replaced():
    harness = Harness(records=[EntriesStored((Entry(2, 1, b"a"), Entry(3, 1, b"b")))])
    request = AppendRequest(2, "b#1", 1, 0, (Entry(2, 2, b"c"),), 2, 7.0, "a#1")
    harness.voter.handle(request, "b:1")
    harness.sync()
    assert [entry.payload for entry in harness.voter.log.entries] == [b"", b"c"]
    assert harness.machine.applied == [b"c"]


def test_failed_write_acknowledges_nothing_and_steps_down():
    harness = Harness()
    harness.win_election()
    harness.voter.propose(b"x")
    harness.take_messages()
    harness.voter.on_persist_failed("disk full")
    assert not harness.voter.is_leader
    harness.voter.handle(ReplyBuilder(harness.voter).success(3), "b:1")
    assert harness.machine.applied == []
    assert harness.sync() == []


def test_leader_without_replies_loses_its_lease_and_steps_down():
    harness = Harness()
    harness.win_election()
    harness.voter.handle(ReplyBuilder(harness.voter).success(2), "b:1")
    assert harness.voter.has_lease()
    harness.advance(0.6)
    assert not harness.voter.has_lease()
    harness.advance(1.0)
    harness.advance(0.2)
    assert not harness.voter.is_leader


def test_snapshot_replaces_the_log_and_a_restart_reads_it():
    single = Membership((MEMBERS[0],))
    harness = Harness(membership=single)
    harness.advance(1.1)
    harness.sync()
    assert harness.voter.is_leader
    for number in range(SNAPSHOT_AFTER_ENTRIES + 5):
        harness.voter.propose(b"%d" % number)
        harness.sync()
    assert len(harness.voter.log.entries) < SNAPSHOT_AFTER_ENTRIES
    snapshots = [record for record in harness.stored_records if isinstance(record, SnapshotStored)]
    assert len(snapshots) == 1
    restarted = Harness(records=harness.stored_records, membership=single)
    restarted.advance(1.1)
    restarted.sync()
    assert restarted.machine.applied == harness.machine.applied


def test_empty_snapshot_has_no_members():
    assert Snapshot().membership.members == ()
