"""Raft as a deterministic state machine without I/O.

`RaftNode` takes messages and the current time and returns `Effects`. The caller
syncs the state in the effects before it sends the messages that depend on it.

Rules:
    * A leader is elected by a majority of the voters. A voter that has heard from a
      leader within the minimum election timeout grants no vote, unless that leader
      transferred its leadership. A replica treats its own start as contact with a
      leader, because it may have replied to one just before it stopped.
    * A candidate requests pre-votes first, so that a replica that returns from a
      network partition does not raise the term.
    * A leader that does not hear from a majority steps down. Its lease expires
      before another replica can be elected, if clocks stay within `CLOCK_DRIFT`.
    * An entry is committed once a majority of the voters has synced it and an entry
      of the leader's current term at the same or a higher index.
    * The current membership is the latest one in the log, committed or not. At most
      one membership change is uncommitted at a time. It adds or removes one voter.
"""

import enum
import math
import random

import msgspec

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.effects import Effects
from bluebellyoke.consensus.log import EntryLog
from bluebellyoke.consensus.membership_tracker import (
    MembershipTracker,
    decode_membership,
)
from bluebellyoke.consensus.replication import (
    FollowerProgress,
    LogReplicator,
    SnapshotSource,
)
from bluebellyoke.consensus.timing import ElectionTiming
from bluebellyoke.errors import BluebellyokeError

__all__ = ["MembershipBusyError", "RaftNode", "Role"]


class MembershipBusyError(BluebellyokeError):
    """Another membership change is not committed yet."""

    def __init__(self) -> None:
        super().__init__(
            "a membership change is in progress", remedy="wait until it is committed"
        )


class Role(enum.Enum):
    """Raft role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftNode:
    """Raft state of one replica.

    Args:
        replica: ID of this replica.
        log: Log recovered from storage.
        hard_state: Term and vote recovered from storage.
        timing: Election and heartbeat intervals.
        snapshots: Access to the latest snapshot.
        random_source: Random numbers for the election timeouts.
        now: Monotonic time, in seconds.

    Attributes:
        leader: ID of the current leader, or an empty string if unknown.
        leader_contact_at: Monotonic time of the latest message from a leader, in
            seconds; at first the time of the start.
        commit_index: Index of the last committed entry.
    """

    def __init__(
        self,
        *,
        replica: str,
        log: EntryLog,
        hard_state: messages.HardState,
        timing: ElectionTiming,
        snapshots: SnapshotSource,
        random_source: random.Random,
        now: float,
    ) -> None:
        self.replica = replica
        self.log = log
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = log.base.index
        self._replicator: LogReplicator | None = None
        self._snapshots = snapshots
        self._random = random_source
        self._effects = Effects()
        self._synced_index = log.last_index
        self._votes: set[str] = set()
        self._last_input_at = now
        self.leader_contact_at = now
        self._transfer_target = ""
        self._transfer_deadline = now
        self._term_start_index = 0
        self._heartbeat_due = now
        self._incoming_snapshot: tuple[messages.SnapshotMeta, bytearray] | None = None
        self._membership_tracker = MembershipTracker(log)
        self._reset_election_timer(now)

    # Queries.

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads the current term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self.replica in self.membership.voters

    def is_lease_valid(self, now: float) -> bool:
        """Return whether this replica holds the leader lease at `now`.

        While it does, no other replica can have been elected. This also requires a
        committed entry of the current term, so that the applied state includes
        everything that earlier leaders acknowledged.
        """
        if self.role is not Role.LEADER or self.commit_index < self._term_start_index:
            return False
        if self._transfer_target:
            return False
        return now < self.compute_lease_end(now)

    @property
    def progress(self) -> dict[str, FollowerProgress]:
        """Replication progress by member; empty unless this replica leads."""
        return self._replicator.progress if self._replicator is not None else {}

    def compute_lease_end(self, now: float) -> float:
        """Return the monotonic time at which the leader lease expires."""
        return (
            self._replicator.find_quorum_acknowledged_at(self.membership, now)
            + self.timing.lease_s
        )

    @property
    def can_change_membership(self) -> bool:
        """Whether a new membership change may be proposed."""
        return (
            self.role is Role.LEADER
            and self.commit_index >= self._term_start_index
            and self.commit_index >= self._membership_tracker.index
        )

    @property
    def next_tick_at(self) -> float:
        """Monotonic time at which the next tick is due, in seconds."""
        if self.role is Role.LEADER:
            return self._heartbeat_due
        return self._election_due if self.is_voter else math.inf

    def take_effects(self) -> Effects:
        """Return the pending effects and clear them."""
        effects = self._effects
        self._effects = Effects()
        if effects.hard_state is not None:
            # Messages of a new term must not be sent before the term is synced.
            effects.messages = effects.early_messages + effects.messages
            effects.early_messages = []
        return effects

    # Inputs.

    def tick(self, now: float) -> None:
        """Start an election, send heartbeats or step down if due at `now`."""
        self._last_input_at = now
        if self.role is Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_due and self.is_voter:
            self._campaign(now, pre=True)

    def propose(self, payload: bytes, now: float) -> int:
        """Append a command entry to the leader's log and return its index."""
        entry = self._append_entry(messages.EntryKind.COMMANDS, payload)
        self._send_entries(now)
        return entry.index

    def propose_membership(self, membership: messages.Membership, now: float) -> int:
        """Append a membership entry to the leader's log and return its index.

        Raises:
            MembershipBusyError: Another change is not committed yet.
            ValueError: More than one voter is added or removed.
        """
        if not self.can_change_membership:
            raise MembershipBusyError()
        changed = set(membership.voters) ^ set(self.membership.voters)
        if len(changed) > 1:
            raise ValueError("a membership change may add or remove at most one voter")
        payload = msgspec.msgpack.encode(membership)
        entry = self._append_entry(messages.EntryKind.MEMBERSHIP, payload)
        self._set_membership(membership, entry.index)
        self._send_entries(now)
        self._commit_replicated()
        return entry.index

    def transfer_leadership(self, target: str, now: float) -> bool:
        """Ask an up-to-date voter to take over the leadership.

        Returns:
            Whether the transfer was started.
        """
        progress = self.progress.get(target)
        if self.role is not Role.LEADER or progress is None:
            return False
        if (
            target not in self.membership.voters
            or progress.match_index < self.log.last_index
        ):
            return False
        self._transfer_target = target
        self._transfer_deadline = now + self.timing.election_max_s
        self._effects.messages.append((target, messages.TransferRequest(self.term)))
        return True

    def acknowledge_sync(self, index: int) -> None:
        """Record that this replica's log is synced up to `index`."""
        self._synced_index = max(self._synced_index, min(index, self.log.last_index))
        if self.role is Role.LEADER:
            self._commit_replicated()

    def compact(self, meta: messages.SnapshotMeta) -> None:
        """Discard the entries that a stored snapshot covers."""
        self.log.compact(meta)

    def receive(self, source: str, message: messages.Message, now: float) -> None:
        """Process a message from another replica."""
        self._last_input_at = now
        if isinstance(message, messages.VoteRequest):
            self._handle_vote_request(source, message, now)
            return
        if message.term > self.term and not _is_pre_vote_grant(message):
            self._become_follower(message.term, "", now)
        if message.term < self.term:
            self._reject_stale_request(source, message)
            return
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, source, message, now)

    def _reject_stale_request(self, source: str, message: messages.Message) -> None:
        """Reply to a leader of an earlier term with the current term."""
        if isinstance(message, messages.AppendRequest | messages.SnapshotRequest):
            reply = messages.AppendReply(self.term, False, self.log.last_index, -1.0)
            self._effects.messages.append((source, reply))

    # Elections.

    def _reset_election_timer(self, now: float) -> None:
        timeout_range = self.timing.election_max_s - self.timing.election_min_s
        timeout = self.timing.election_min_s + timeout_range * self._random.random()
        self._election_due = now + timeout

    def _set_term(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for
        self._effects.hard_state = messages.HardState(term, voted_for)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self._set_term(term, "")
        if self.role is not Role.FOLLOWER:
            self._reset_election_timer(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._replicator = None
        self._transfer_target = ""

    def _campaign(self, now: float, *, pre: bool, transfer: bool = False) -> None:
        self._reset_election_timer(now)
        self.leader = ""
        self._votes = {self.replica}
        if pre:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self._set_term(self.term + 1, self.replica)
        term = self.term + 1 if pre else self.term
        request = messages.VoteRequest(
            term, self.log.last_index, self.log.last_term, pre, transfer
        )
        for voter in self.membership.voters:
            if voter != self.replica:
                self._effects.messages.append((voter, request))
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        votes = self._votes & set(self.membership.voters)
        if len(votes) < self.membership.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _handle_vote_request(
        self, source: str, request: messages.VoteRequest, now: float
    ) -> None:
        if self._has_live_leader(now) and not request.transfer:
            return
        if request.term > self.term and not request.pre:
            self._become_follower(request.term, "", now)
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.pre:
            granted = up_to_date and request.term > self.term
            term = request.term if granted else self.term
            reply = messages.VoteReply(term, granted, True)
            self._effects.messages.append((source, reply))
            return
        can_vote = self.voted_for in ("", source)
        granted = up_to_date and request.term == self.term and can_vote
        if granted:
            if not self.voted_for:
                self._set_term(self.term, source)
            self._reset_election_timer(now)
        reply = messages.VoteReply(self.term, granted, False)
        self._effects.messages.append((source, reply))

    def _has_live_leader(self, now: float) -> bool:
        """Return whether a leader was in contact too recently to vote for another."""
        if self.role is Role.LEADER:
            return now < self.compute_lease_end(now)
        return now - self.leader_contact_at < self.timing.election_min_s

    def _handle_vote_reply(
        self, source: str, reply: messages.VoteReply, now: float
    ) -> None:
        expected_role = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        if self.role is not expected_role or not reply.granted:
            return
        if reply.pre and reply.term != self.term + 1:
            return
        self._votes.add(source)
        self._count_votes(now)

    def _handle_transfer_request(
        self, source: str, request: messages.Message, now: float
    ) -> None:
        if self.is_voter and source == self.leader:
            self._campaign(now, pre=False, transfer=True)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.replica
        self._transfer_target = ""
        self._replicator = LogReplicator(
            replica=self.replica,
            term=self.term,
            log=self.log,
            snapshots=self._snapshots,
            send=self._send_early,
        )
        self._replicator.track(self.membership, now)
        self._membership_tracker.index = self.log.last_index
        self._term_start_index = self._append_entry(messages.EntryKind.NOOP, b"").index
        self._send_entries(now, heartbeat=True)

    # Leader.

    def _tick_leader(self, now: float) -> None:
        if not self._replicator.has_quorum(
            self.membership, now, self.timing.election_max_s
        ):
            self._become_follower(self.term, "", now)
            return
        if self._transfer_target and now >= self._transfer_deadline:
            # The transfer request may still arrive, so the leader must not use its
            # lease again in this term.
            self._become_follower(self.term, "", now)
            return
        if now >= self._heartbeat_due:
            self._send_entries(now, heartbeat=True)

    def _append_entry(self, kind: messages.EntryKind, payload: bytes) -> messages.Entry:
        entry = messages.Entry(self.log.last_index + 1, self.term, kind, payload)
        self.log.append(entry)
        self._effects.entries.append(entry)
        return entry

    def _send_entries(self, now: float, *, heartbeat: bool = False) -> None:
        if heartbeat:
            self._heartbeat_due = now + self.timing.heartbeat_s
        self._replicator.send_to_all(self.commit_index, now, heartbeat=heartbeat)

    def _send_early(self, target: str, message: messages.Message) -> None:
        self._effects.early_messages.append((target, message))

    def _handle_append_reply(
        self, source: str, reply: messages.AppendReply, now: float
    ) -> None:
        if self.role is not Role.LEADER:
            return
        if not self._replicator.handle_append_reply(source, reply, now):
            return
        if reply.matched:
            self._commit_replicated()
        if self.role is Role.LEADER:
            self._replicator.send_to(source, self.commit_index, now, heartbeat=False)

    def _handle_snapshot_reply(
        self, source: str, reply: messages.SnapshotReply, now: float
    ) -> None:
        if self.role is Role.LEADER:
            self._replicator.handle_snapshot_reply(
                source, reply, self.commit_index, now
            )

    def _commit_replicated(self) -> None:
        index = self._replicator.find_quorum_index(self.membership, self._synced_index)
        if index > self.commit_index and self.log.find_term(index) == self.term:
            self._set_commit_index(index)
            self._step_down_if_removed()

    def _step_down_if_removed(self) -> None:
        is_committed = self.commit_index >= self._membership_tracker.index
        if self.role is Role.LEADER and is_committed and not self.is_voter:
            self.role = Role.FOLLOWER
            self.leader = ""
            self._replicator = None

    def _set_commit_index(self, index: int) -> None:
        self._effects.committed += self.log.read_range(self.commit_index + 1, index)
        self.commit_index = index

    # Follower.

    def _follow_leader(self, source: str, term: int, now: float) -> None:
        if self.role is not Role.FOLLOWER or self.leader != source:
            self._become_follower(term, source, now)
        self.leader_contact_at = now
        self._reset_election_timer(now)

    def _handle_append_request(
        self, source: str, request: messages.AppendRequest, now: float
    ) -> None:
        self._follow_leader(source, request.term, now)
        previous = request.previous_index
        if previous < self.log.base.index:
            # Entries covered by the local snapshot are committed and therefore match.
            matched, index = self._store_uncovered(request)
        elif self.log.find_term(previous) != request.previous_term:
            matched, index = False, self._find_match_hint(previous)
        else:
            matched, index = True, self._store_entries(request.entries, previous)
        if matched:
            self._commit_through(min(request.commit, index))
        reply = messages.AppendReply(self.term, matched, index, request.sent_at)
        self._effects.messages.append((source, reply))

    def _store_uncovered(self, request: messages.AppendRequest) -> tuple[bool, int]:
        """Store the entries that follow the local snapshot."""
        base = self.log.base.index
        uncovered = tuple(entry for entry in request.entries if entry.index > base)
        if not uncovered:
            return True, base
        return True, self._store_entries(uncovered, base)

    def _find_match_hint(self, previous: int) -> int:
        """Return the last index at which the log may match the leader's.

        Skips all uncommitted entries of the conflicting term at once.
        """
        if previous > self.log.last_index:
            return self.log.last_index
        term = self.log.find_term(previous)
        index = previous
        while index > self.commit_index and self.log.find_term(index) == term:
            index -= 1
        return index

    def _store_entries(self, entries: tuple[messages.Entry, ...], previous: int) -> int:
        """Append missing entries, replace conflicting ones; return the last index."""
        index = previous
        for entry in entries:
            index = entry.index
            if self.log.find_term(index) == entry.term:
                continue
            if index <= self.log.last_index:
                self._truncate_log(index)
            self.log.append(entry)
            self._effects.entries.append(entry)
            if entry.kind is messages.EntryKind.MEMBERSHIP:
                self._set_membership(decode_membership(entry), index)
        return index

    def _truncate_log(self, first: int) -> None:
        if first <= self.commit_index:
            raise AssertionError(f"cannot truncate committed entry {first}")
        self.log.truncate(first)
        self._synced_index = min(self._synced_index, first - 1)
        self._effects.entries = [x for x in self._effects.entries if x.index < first]
        pending = self._effects.truncate_from
        self._effects.truncate_from = min(first, pending or first)
        self._membership_tracker.handle_truncation(first)

    def _commit_through(self, index: int) -> None:
        if index > self.commit_index:
            self._set_commit_index(index)

    def _handle_snapshot_request(
        self, source: str, request: messages.SnapshotRequest, now: float
    ) -> None:
        self._follow_leader(source, request.term, now)
        meta = request.meta
        if meta.index <= self.commit_index:
            received = meta.size
        else:
            received = self._store_chunk(request)
        reply = messages.SnapshotReply(self.term, meta.index, received, request.sent_at)
        self._effects.messages.append((source, reply))

    def _store_chunk(self, request: messages.SnapshotRequest) -> int:
        if (
            self._incoming_snapshot is None
            or self._incoming_snapshot[0].index != request.meta.index
        ):
            self._incoming_snapshot = (request.meta, bytearray())
        meta, data = self._incoming_snapshot
        if request.offset == len(data):
            data += request.chunk
        if len(data) < meta.size:
            return len(data)
        self._incoming_snapshot = None
        self._install_snapshot(meta, bytes(data))
        return meta.size

    def _install_snapshot(self, meta: messages.SnapshotMeta, data: bytes) -> None:
        self._effects.snapshot = (meta, data)
        self._effects.entries = []
        self._effects.truncate_from = None
        self._effects.committed = []
        self.log.reset(meta)
        self.commit_index = meta.index
        self._synced_index = meta.index
        self._set_membership(meta.membership, meta.index)

    # Membership.

    @property
    def membership(self) -> messages.Membership:
        """Latest membership in the log, committed or not."""
        return self._membership_tracker.current

    def _set_membership(self, membership: messages.Membership, index: int) -> None:
        self._membership_tracker.set_current(membership, index)
        if self.role is Role.LEADER:
            self._replicator.track(membership, self._last_input_at)

    def find_membership_at(self, index: int) -> messages.Membership:
        """Return the membership in effect at `index`."""
        return self._membership_tracker.find_at(index)


def _is_pre_vote_grant(message: messages.Message) -> bool:
    return isinstance(message, messages.VoteReply) and message.pre and message.granted


_HANDLERS = {
    messages.VoteReply: RaftNode._handle_vote_reply,
    messages.TransferRequest: RaftNode._handle_transfer_request,
    messages.AppendRequest: RaftNode._handle_append_request,
    messages.AppendReply: RaftNode._handle_append_reply,
    messages.SnapshotRequest: RaftNode._handle_snapshot_request,
    messages.SnapshotReply: RaftNode._handle_snapshot_reply,
}
