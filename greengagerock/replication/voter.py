"""A voter of the replicated log: elections, replication and commit."""

from greengagerock.core import GreengageError
from greengagerock.core.interface import Persist
from greengagerock.model.timing import (
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    MAX_CLOCK_DRIFT_RATIO,
    VOTER_HEARTBEAT_INTERVAL_S,
)
from greengagerock.replication.log import ReplicatedLog
from greengagerock.replication.messages import (
    AppendReply,
    AppendRequest,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from greengagerock.replication.progress import Progress
from greengagerock.replication.records import (
    EntriesStored,
    Entry,
    HardState,
    Membership,
    Snapshot,
    SnapshotStored,
)

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

MAX_ENTRIES_PER_MESSAGE = 64
SNAPSHOT_AFTER_ENTRIES = 1024
LEADER_LEASE_S = ELECTION_TIMEOUT_MIN_S * (1 - 2 * MAX_CLOCK_DRIFT_RATIO)


class Voter:
    """One voter, deterministic and without I/O.

    Committed entries are applied to ``machine``, an object with the methods
    ``apply(entry)``, ``dump()`` and ``load(data)``. The callback ``on_leadership_change`` is
    called when this voter becomes the leader or steps down.

    Args:
        durable_state: The ``DurableState`` restored at the start.
        machine: The state machine.
        timers: The timer service.
        outbox: Receives effects.
        random: Random number generator for election timeouts.

    References:
        D. Ongaro, J. Ousterhout: In Search of an Understandable Consensus
        Algorithm, USENIX ATC 2014; D. Ongaro: Consensus: Bridging Theory and
        Practice, 2014, sections 4.1, 4.2.1, 6.4.1 and 9.6.
    """

    def __init__(self, durable_state, machine, timers, outbox, random):
        self.identity = durable_state.identity
        self.term = durable_state.hard_state.term
        self.voted_for = durable_state.hard_state.voted_for
        self.log = ReplicatedLog(durable_state.log.snapshot, durable_state.log.entries)
        self.machine = machine
        self.timers = timers
        self.outbox = outbox
        self.random = random
        self.role = FOLLOWER
        self.leader = ""
        self.commit_index = self.log.snapshot.index
        self.applied_index = self.log.snapshot.index
        self.stored_index = self.log.last_index
        self.progress = {}
        self.votes = set()
        # A restarted voter has no record of its last contact with a leader, so it
        # refuses votes for the shortest election timeout.
        self.leader_contact_s = timers.now_s
        self.leader_since_s = 0.0
        self.has_failed = False
        self.is_pre_vote = False
        self.is_leadership_transfer = False
        self.on_leadership_change = lambda: None
        self._callbacks_by_write = {}
        self._write_sequence = 0
        self._timer = None
        if self.log.snapshot.data:
            machine.load(self.log.snapshot.data)
        self._arm_election()

    @property
    def membership(self):
        """The newest membership in the log."""
        return self.log.latest_membership()

    @property
    def is_leader(self):
        """Whether this voter is the leader of its term."""
        return self.role == LEADER

    def has_lease(self):
        """Return whether this voter leads and no other leader can exist now."""
        if not self.is_leader:
            return False
        return self._quorum_contact_s() + LEADER_LEASE_S > self.timers.now_s

    def is_ready_to_serve(self):
        """Return whether this voter leads and has applied all entries of earlier terms."""
        return self.is_leader and self.log.term_at(self.commit_index) == self.term

    def leader_member(self):
        """Return the leader's ``Member``, or ``None`` if there is no known leader."""
        return self.membership.find(self.leader)

    def has_pending_membership(self):
        """Return whether the newest membership is not committed yet."""
        newest = max((e.index for e in self.log.entries if e.membership is not None), default=0)
        return newest > self.commit_index

    def member_match_index(self, member):
        """Return the index of the last entry that a member confirmed as stored, or 0."""
        return self._progress_of(member).match_index

    def hosts_storing(self, index):
        """Return the names of the voters' hosts that have confirmed the entry at ``index``."""
        return [
            member.identity.partition("#")[0]
            for member in self.membership.voters
            if index
            <= (
                self.stored_index
                if member.identity == self.identity
                else self._progress_of(member).match_index
            )
        ]

    def last_contact_s(self, member):
        """Return the send time of the newest message that a member replied to."""
        return self._progress_of(member).contact_s

    def transfer_leadership(self):
        """Step down, and request an election by the voter that has stored the most entries."""
        others = [m for m in self.membership.voters if m.identity != self.identity]
        if not self.is_leader or not others:
            return
        successor = max(others, key=lambda member: self._progress_of(member).match_index)
        term = self.term
        self._become_follower(self.term, "")
        self.outbox.send(successor.address, TimeoutNow(term, successor.identity))

    def bootstrap(self, membership):
        """Start a new log with its first membership."""
        self._append_new(Entry(1, 0, b"", membership))
        self._arm_election()

    def propose(self, payload, membership=None):
        """Append a command as the leader.

        Args:
            payload: Encoded command.
            membership: New membership, for a membership change.

        Returns:
            Index of the entry, which is committed later or never.

        Raises:
            GreengageError: ``no-leader`` if this voter is not the leader or its disk has failed.
        """
        if not self.is_leader or self.has_failed:
            raise GreengageError("no-leader", "this voter is not the leader")
        entry = Entry(self.log.last_index + 1, self.term, payload, membership)
        self._append_new(entry)
        self._replicate_to_all()
        return entry.index

    def handle(self, message, address):
        """Handle a message from another voter.

        Args:
            message: One of the messages between voters.
            address: Link address of the sender.
        """
        if self.has_failed:
            return
        match message:
            case VoteRequest():
                self._on_vote_request(message)
            case VoteReply():
                self._on_vote_reply(message)
            case AppendRequest():
                self._on_append_request(message, address)
            case AppendReply():
                self._on_append_reply(message)
            case SnapshotRequest():
                self._on_snapshot_request(message, address)
            case TimeoutNow():
                self._on_timeout_now(message)

    def on_persisted(self, sequence):
        """Call the callbacks of the writes up to ``sequence``, which are now stored."""
        for written in sorted(number for number in self._callbacks_by_write if number <= sequence):
            self._callbacks_by_write.pop(written)()

    def on_persist_failed(self, detail):
        """Stop participating: nothing may be acknowledged after a failed write."""
        self.has_failed = True
        self._callbacks_by_write.clear()
        if self._timer:
            self._timer.cancel()
        self.outbox.log("disk-failed", detail=detail, code="disk-failed")
        self._become_follower(self.term, "")

    # --- Writing -------------------------------------------------------------------

    def _persist(self, records, on_stored):
        self._write_sequence += 1
        self._callbacks_by_write[self._write_sequence] = on_stored
        self.outbox.add(Persist(self._write_sequence, tuple(records)))

    def _hard_state(self):
        return HardState(self.term, self.voted_for)

    def _append_new(self, entry):
        self.log.append((entry,))
        term = self.term
        self._persist([EntriesStored((entry,))], lambda: self._on_stored(term, entry.index))

    def _on_stored(self, term, index):
        if term != self.term or self.log.term_at(index) is None:
            return
        self.stored_index = max(self.stored_index, index)
        if self.is_leader:
            self._advance_commit()

    # --- Elections -----------------------------------------------------------------

    def _arm_election(self):
        if self._timer:
            self._timer.cancel()
        timeout_s = self.random.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)
        self._timer = self.timers.subscribe(timeout_s, self._on_election_timeout)

    def _on_election_timeout(self):
        self._arm_election()
        if self.is_leader or not self.membership.has_voter(self.identity):
            return
        self._start_election(is_pre_vote=True)

    def _start_election(self, is_pre_vote):
        self.role = CANDIDATE
        self.leader = ""
        self.is_pre_vote = is_pre_vote
        self.votes = {self.identity}
        if is_pre_vote:
            self._request_votes(self.term + 1, is_pre_vote)
            return
        self.term += 1
        self.voted_for = self.identity
        term = self.term
        self._persist([self._hard_state()], lambda: self._on_own_vote_stored(term))

    def _on_own_vote_stored(self, term):
        if self.role == CANDIDATE and self.term == term and not self.is_pre_vote:
            self._request_votes(term, False)

    def _request_votes(self, term, is_pre_vote):
        is_leadership_transfer, self.is_leadership_transfer = self.is_leadership_transfer, False
        request = VoteRequest(
            term,
            self.identity,
            self.log.last_index,
            self.log.last_term,
            is_pre_vote,
            is_leadership_transfer,
        )
        for member in self.membership.voters:
            if member.identity != self.identity:
                self.outbox.send(member.address, request)
        self._count_votes()

    def _on_vote_request(self, request):
        member = self.membership.find(request.candidate)
        if member is None or not self.membership.has_voter(self.identity):
            return
        if self._has_recent_leader() and not request.is_leadership_transfer:
            return
        if request.is_pre_vote:
            granted = request.term > self.term and self._is_up_to_date(request)
            reply = VoteReply(request.term, self.identity, granted, True)
            self.outbox.send(member.address, reply)
            return
        if request.term > self.term:
            self._become_follower(request.term, "")
        granted = (
            request.term == self.term
            and self.voted_for in ("", request.candidate)
            and self._is_up_to_date(request)
        )
        if granted:
            self.voted_for = request.candidate
            self._arm_election()
        reply = VoteReply(self.term, self.identity, granted, False)
        self._persist([self._hard_state()], lambda: self.outbox.send(member.address, reply))

    def _has_recent_leader(self):
        """Return whether this voter leads or has recent contact with a leader."""
        if self.is_leader:
            return True
        return self.timers.now_s - self.leader_contact_s < ELECTION_TIMEOUT_MIN_S

    def _is_up_to_date(self, request):
        own_position = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= own_position

    def _on_vote_reply(self, reply):
        if not reply.is_pre_vote and reply.term > self.term:
            self._become_follower(reply.term, "")
            return
        expected = self.term + 1 if self.is_collecting_pre_votes() else self.term
        if (
            self.role != CANDIDATE
            or reply.term != expected
            or reply.is_pre_vote != self.is_pre_vote
        ):
            return
        if reply.granted and self.membership.has_voter(reply.voter):
            self.votes.add(reply.voter)
            self._count_votes()

    def is_collecting_pre_votes(self):
        """Return whether this voter is collecting pre-votes."""
        return self.role == CANDIDATE and self.is_pre_vote

    def _count_votes(self):
        if len(self.votes) < self.membership.quorum:
            return
        if self.is_pre_vote:
            self._start_election(is_pre_vote=False)
        else:
            self._become_leader()

    def _become_leader(self):
        self.role = LEADER
        self.leader = self.identity
        self.leader_since_s = self.timers.now_s
        self.progress = {}
        self._timer.cancel()
        self.outbox.log("leader-elected", term=self.term, voter=self.identity)
        self._append_new(Entry(self.log.last_index + 1, self.term, b""))
        self._on_heartbeat_due()
        self.on_leadership_change()

    def _become_follower(self, term, leader):
        was_leader = self.is_leader
        if term > self.term:
            self.term = term
            self.voted_for = ""
            if not self.has_failed:
                self._persist([self._hard_state()], lambda: None)
        self.role = FOLLOWER
        self.leader = leader
        if not self.has_failed:
            self._arm_election()
        if was_leader:
            self.outbox.log("leader-stepped-down", term=self.term, voter=self.identity)
            self.on_leadership_change()

    def _on_timeout_now(self, message):
        if message.target != self.identity or message.term != self.term or self.is_leader:
            return
        if self.membership.has_voter(self.identity):
            self.is_leadership_transfer = True
            self._start_election(is_pre_vote=False)

    # --- Leader --------------------------------------------------------------------

    def _on_heartbeat_due(self):
        if not self.is_leader:
            return
        if self._lost_quorum():
            self._become_follower(self.term, "")
            return
        self._replicate_to_all()
        self._timer = self.timers.subscribe(VOTER_HEARTBEAT_INTERVAL_S, self._on_heartbeat_due)

    def _lost_quorum(self):
        silence_limit_s = ELECTION_TIMEOUT_MAX_S
        since_s = max(self._quorum_contact_s(), self.leader_since_s)
        return self.timers.now_s - since_s > silence_limit_s

    def _quorum_contact_s(self):
        """Return the latest time such that a quorum replied to messages sent then or later."""
        contacts = [
            self.timers.now_s if m.identity == self.identity else self._progress_of(m).contact_s
            for m in self.membership.voters
        ]
        contacts.sort(reverse=True)
        return contacts[self.membership.quorum - 1] if contacts else 0.0

    def _progress_of(self, member):
        if member.identity not in self.progress:
            self.progress[member.identity] = Progress(self.log.last_index + 1)
        return self.progress[member.identity]

    def _replicate_to_all(self):
        for member in self.membership.members:
            if member.identity != self.identity:
                self._replicate_to(member)

    def _replicate_to(self, member):
        progress = self._progress_of(member)
        now_s = self.timers.now_s
        previous = progress.next_index - 1
        if previous < self.log.snapshot.index:
            if progress.should_send_snapshot(now_s):
                self.outbox.send(member.address, self._snapshot_request(member))
                return
            previous = self.log.snapshot.index
        entries = self.log.entries_after(previous, MAX_ENTRIES_PER_MESSAGE)
        request = AppendRequest(
            self.term,
            self.identity,
            previous,
            self.log.term_at(previous),
            entries,
            self.commit_index,
            now_s,
            member.identity,
        )
        self.outbox.send(member.address, request)

    def _snapshot_request(self, member):
        return SnapshotRequest(
            self.term, self.identity, self.log.snapshot, self.timers.now_s, member.identity
        )

    def _on_append_reply(self, reply):
        if reply.term > self.term:
            self._become_follower(reply.term, "")
            return
        member = self.membership.find(reply.voter)
        if not self.is_leader or reply.term != self.term or member is None:
            return
        progress = self._progress_of(member)
        progress.contact_s = max(progress.contact_s, reply.sent_s)
        if reply.success:
            progress.acknowledge(reply.match_index)
            self._advance_commit()
            if progress.next_index <= self.log.last_index:
                self._replicate_to(member)
        elif progress.lower_next_index(reply.hint_index):
            self._replicate_to(member)

    def _advance_commit(self):
        match_indexes = sorted(
            (
                self.stored_index
                if m.identity == self.identity
                else self._progress_of(m).match_index
                for m in self.membership.voters
            ),
            reverse=True,
        )
        quorum_index = match_indexes[self.membership.quorum - 1] if match_indexes else 0
        if quorum_index > self.commit_index and self.log.term_at(quorum_index) == self.term:
            self._commit_to(quorum_index)
            self._replicate_to_all()
            if not self.membership.has_voter(self.identity) and not self.has_pending_membership():
                self._become_follower(self.term, "")

    # --- Follower ------------------------------------------------------------------

    def _accept_leader(self, request):
        """Follow the sender as the leader; return False for an outdated or misdirected request."""
        if request.target != self.identity or request.term < self.term:
            return False
        if request.term > self.term or self.role != FOLLOWER:
            self._become_follower(request.term, request.leader)
        self.leader = request.leader
        self.leader_contact_s = self.timers.now_s
        self._arm_election()
        return True

    def _reply_to_leader(self, request, address, success, match_index, hint_index=0):
        reply = AppendReply(
            self.term, self.identity, success, match_index, hint_index, request.sent_s
        )
        self.outbox.send(address, reply)

    def _on_append_request(self, request, address):
        if not self._accept_leader(request):
            if request.target == self.identity:
                self._reply_to_leader(request, address, False, 0, 0)
            return
        if self.log.term_at(request.previous_index) != request.previous_term:
            if request.previous_index < self.log.snapshot.index:
                hint = self.log.snapshot.index + 1
            else:
                hint = min(request.previous_index, self.log.last_index + 1)
            self._reply_to_leader(request, address, False, 0, hint)
            return
        match_index = request.previous_index + len(request.entries)
        new_entries = self.log.append(request.entries)
        new_commit_index = min(request.commit_index, match_index)
        term = self.term
        if new_entries:
            self.stored_index = min(self.stored_index, new_entries[0].index - 1)
        elif match_index <= self.stored_index:
            self._on_follower_stored(term, request, address, match_index, new_commit_index)
            return
        # Entries already in the log may not be on disk yet; the empty write completes after
        # them.
        self._persist(
            [EntriesStored(new_entries)] if new_entries else [],
            lambda: self._on_follower_stored(
                term, request, address, match_index, new_commit_index
            ),
        )

    def _on_follower_stored(self, term, request, address, match_index, new_commit_index):
        if term != self.term:
            return
        self.stored_index = max(self.stored_index, match_index)
        self._reply_to_leader(request, address, True, match_index)
        if new_commit_index > self.commit_index:
            self._commit_to(new_commit_index)

    def _on_snapshot_request(self, request, address):
        if not self._accept_leader(request):
            return
        snapshot, term = request.snapshot, self.term
        records, match_index = [], self.commit_index
        if snapshot.index > self.commit_index:
            records, match_index = [SnapshotStored(snapshot)], snapshot.index
            if self.log.term_at(snapshot.index) != snapshot.term:
                # The entries that are stored beyond the commit index are dropped.
                self.stored_index = min(self.stored_index, self.commit_index)
            self.log.compact(snapshot)
            self.machine.load(snapshot.data)
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
        # An earlier request with the same snapshot may not be on disk yet; the empty write
        # completes after it.
        self._persist(
            records, lambda: self._on_follower_stored(term, request, address, match_index, 0)
        )

    # --- Commit --------------------------------------------------------------------

    def _commit_to(self, index):
        self.commit_index = index
        while self.applied_index < index:
            entry = self.log.entry_at(self.applied_index + 1)
            self.applied_index = entry.index
            if entry.payload:
                self.machine.apply(entry)
        self._compact_if_long()

    def _compact_if_long(self):
        if self.applied_index - self.log.snapshot.index < SNAPSHOT_AFTER_ENTRIES:
            return
        snapshot = Snapshot(
            self.applied_index,
            self.log.term_at(self.applied_index),
            self._membership_at(self.applied_index),
            self.machine.dump(),
        )
        self.log.compact(snapshot)
        self._persist([SnapshotStored(snapshot)], lambda: None)

    def _membership_at(self, index):
        for entry in reversed(self.log.entries):
            if entry.index <= index and entry.membership is not None:
                return entry.membership
        return self.log.snapshot.membership or Membership()
