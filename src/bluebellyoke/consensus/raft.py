"""Agreement on the replicated log, as a deterministic core without I/O.

The core takes messages and times and returns `Effects`. The shell syncs what the
effects hold before it sends the messages that rely on it.

Rules:
    * A leader is elected by a majority of the voters. A voter that heard from a
      leader within the shortest election timeout gives no vote, unless the leader
      itself handed over. A replica counts its own start as such a contact, since it
      may have answered a leader just before.
    * A candidate asks first whether it would win, so that a replica that returns
      from a cut does not raise the term.
    * A leader that hears from no majority steps down. Its lease ends before any
      other replica can be elected, by the bound `CLOCK_DRIFT`.
    * An entry is committed when a majority of the voters has synced it and an
      entry of the leader's own term is among the committed ones.
    * The membership in force is the latest in the log, committed or not. One change
      is in the log uncommitted at a time and adds or removes one voter.
"""

import enum
import random

import msgspec

from bluebellyoke.consensus import messages as m
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

__all__ = ["RaftNode", "MembershipBusyError", "Role"]


class MembershipBusyError(BluebellyokeError):
    """Another membership change is not committed yet."""

    def __init__(self) -> None:
        super().__init__(
            "a membership change is under way", remedy="wait until it is committed"
        )


class Role(enum.Enum):
    """Part that a replica plays in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftNode:
    """One replica's part in the agreement.

    Args:
        replica: Identity of this replica.
        log: Stored log.
        hard_state: Stored term and vote.
        timing: Durations of the election.
        snapshots: Access to the latest snapshot.
        random_source: Source of the election timeouts.
        now: Monotonic time, in seconds.
    """

    def __init__(
        self,
        *,
        replica: str,
        log: EntryLog,
        hard_state: m.HardState,
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
        self._followers: LogReplicator | None = None
        self._snapshots = snapshots
        self._random = random_source
        self._effects = Effects()
        self._synced = log.last_index
        self._votes: set[str] = set()
        self._time = now
        self._leader_heard_at = now
        self._transfer_to = ""
        self._transfer_due = now
        self._lead_index = 0
        self._heartbeat_due = now
        self._incoming: tuple[m.SnapshotMeta, bytearray] | None = None
        self._memberships = MembershipTracker(log)
        self._reset_election_timer(now)

    # What others ask.

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads the current term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.replica in self.membership.voters

    def is_lease_valid(self, now: float) -> bool:
        """Return whether no other replica can have been elected at `now`.

        It also asks for a committed entry of the own term, so that the applied state
        holds everything that earlier leaders acknowledged.
        """
        if self.role is not Role.LEADER or self.commit_index < self._lead_index:
            return False
        if self._transfer_to:
            return False
        return now < self.compute_lease_end(now)

    @property
    def progress(self) -> dict[str, FollowerProgress]:
        """FollowerProgress of the other members, if this replica leads."""
        return self._followers.progress if self._followers is not None else {}

    def compute_lease_end(self, now: float) -> float:
        """Return the monotonic time until which the leader's lease holds."""
        return (
            self._followers.find_acknowledged_at(self.membership, now)
            + self.timing.lease_s
        )

    @property
    def can_change_membership(self) -> bool:
        """Whether a new membership change may be proposed."""
        return (
            self.role is Role.LEADER
            and self.commit_index >= self._lead_index
            and self.commit_index >= self._memberships.index
        )

    def take_effects(self) -> Effects:
        """Return what has to be done and forget it."""
        effects = self._effects
        self._effects = Effects()
        if effects.hard_state is not None:
            # No message of a new term may leave before the term is synced.
            effects.messages = effects.early_messages + effects.messages
            effects.early_messages = []
        return effects

    # Inputs.

    def tick(self, now: float) -> None:
        """Act on the passing of time."""
        self._time = now
        if self.role is Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_due and self.is_voter:
            self._campaign(now, pre=True)

    def propose(self, payload: bytes, now: float) -> int:
        """Append commands to the leader's log and return their index."""
        entry = self._append_own(m.EntryKind.COMMANDS, payload)
        self._send_entries(now)
        return entry.index

    def propose_membership(self, membership: m.Membership, now: float) -> int:
        """Append a membership that differs by one member.

        Raises:
            MembershipBusyError: Another change is not committed yet.
        """
        if not self.can_change_membership:
            raise MembershipBusyError()
        changed = set(membership.voters) ^ set(self.membership.voters)
        if len(changed) > 1:
            raise ValueError("a change adds or removes at most one voter")
        payload = msgspec.msgpack.encode(membership)
        entry = self._append_own(m.EntryKind.MEMBERSHIP, payload)
        self._adopt_membership(membership, entry.index)
        self._send_entries(now)
        self._advance_commit()
        return entry.index

    def transfer_leadership(self, target: str, now: float) -> bool:
        """Hand the lead to a follower that is up to date; return whether it began."""
        progress = self.progress.get(target)
        if self.role is not Role.LEADER or progress is None:
            return False
        if (
            target not in self.membership.voters
            or progress.match_index < self.log.last_index
        ):
            return False
        self._transfer_to = target
        self._transfer_due = now + self.timing.election_max_s
        self._effects.messages.append((target, m.TransferRequest(self.term)))
        return True

    def acknowledge_sync(self, index: int) -> None:
        """Note that the own log is synced up to `index`."""
        self._synced = max(self._synced, min(index, self.log.last_index))
        if self.role is Role.LEADER:
            self._advance_commit()

    def compact(self, meta: m.SnapshotMeta) -> None:
        """Drop the entries that a stored snapshot covers."""
        self.log.compact(meta)

    def receive(self, source: str, message: m.Message, now: float) -> None:
        """Act on a message from another replica."""
        self._time = now
        if isinstance(message, m.VoteRequest):
            self._on_vote_request(source, message, now)
            return
        if message.term > self.term and not _is_pre_vote_grant(message):
            self._become_follower(message.term, "", now)
        if message.term < self.term:
            self._answer_stale(source, message)
            return
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, source, message, now)

    def _answer_stale(self, source: str, message: m.Message) -> None:
        """Tell a deposed leader the newer term."""
        if isinstance(message, m.AppendRequest | m.SnapshotRequest):
            reply = m.AppendReply(self.term, False, self.log.last_index, -1.0)
            self._effects.messages.append((source, reply))

    # Elections.

    def _reset_election_timer(self, now: float) -> None:
        span = self.timing.election_max_s - self.timing.election_min_s
        wait = self.timing.election_min_s + span * self._random.random()
        self._election_due = now + wait

    def _set_term(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for
        self._effects.hard_state = m.HardState(term, voted_for)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self._set_term(term, "")
        if self.role is not Role.FOLLOWER:
            self._reset_election_timer(now)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._followers = None
        self._transfer_to = ""

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
        request = m.VoteRequest(
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

    def _on_vote_request(self, source: str, request: m.VoteRequest, now: float) -> None:
        if self._is_loyal(now) and not request.transfer:
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
            reply = m.VoteReply(term, granted, True)
            self._effects.messages.append((source, reply))
            return
        free_to_vote = self.voted_for in ("", source)
        granted = up_to_date and request.term == self.term and free_to_vote
        if granted:
            if not self.voted_for:
                self._set_term(self.term, source)
            self._reset_election_timer(now)
        reply = m.VoteReply(self.term, granted, False)
        self._effects.messages.append((source, reply))

    def _is_loyal(self, now: float) -> bool:
        """Return whether a leader was heard too recently to vote for another."""
        if self.role is Role.LEADER:
            return now < self.compute_lease_end(now)
        return now - self._leader_heard_at < self.timing.election_min_s

    def _on_vote_reply(self, source: str, reply: m.VoteReply, now: float) -> None:
        awaited = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        if self.role is not awaited or not reply.granted:
            return
        if reply.pre and reply.term != self.term + 1:
            return
        self._votes.add(source)
        self._count_votes(now)

    def _on_transfer(self, source: str, request: m.Message, now: float) -> None:
        if self.is_voter and source == self.leader:
            self._campaign(now, pre=False, transfer=True)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.replica
        self._transfer_to = ""
        self._followers = LogReplicator(
            replica=self.replica,
            term=self.term,
            log=self.log,
            snapshots=self._snapshots,
            send=self._send_early,
        )
        self._followers.track(self.membership, now)
        self._memberships.index = self.log.last_index
        self._lead_index = self._append_own(m.EntryKind.NOOP, b"").index
        self._send_entries(now, heartbeat=True)

    # Leading.

    def _tick_leader(self, now: float) -> None:
        if not self._followers.has_majority(
            self.membership, now, self.timing.election_max_s
        ):
            self._become_follower(self.term, "", now)
            return
        if self._transfer_to and now >= self._transfer_due:
            # The request may still arrive, so the lease of this term stays unused.
            self._become_follower(self.term, "", now)
            return
        if now >= self._heartbeat_due:
            self._send_entries(now, heartbeat=True)

    def _append_own(self, kind: m.EntryKind, payload: bytes) -> m.Entry:
        entry = m.Entry(self.log.last_index + 1, self.term, kind, payload)
        self.log.append(entry)
        self._effects.entries.append(entry)
        return entry

    def _send_entries(self, now: float, *, heartbeat: bool = False) -> None:
        if heartbeat:
            self._heartbeat_due = now + self.timing.heartbeat_s
        self._followers.send_to_all(self.commit_index, now, heartbeat=heartbeat)

    def _send_early(self, target: str, message: m.Message) -> None:
        self._effects.early_messages.append((target, message))

    def _on_append_reply(self, source: str, reply: m.AppendReply, now: float) -> None:
        if self.role is not Role.LEADER:
            return
        if not self._followers.note_append(source, reply, now):
            return
        if reply.matched:
            self._advance_commit()
        if self.role is Role.LEADER:
            self._followers.send_to(source, self.commit_index, now, heartbeat=False)

    def _on_snapshot_reply(
        self, source: str, reply: m.SnapshotReply, now: float
    ) -> None:
        if self.role is Role.LEADER:
            self._followers.note_snapshot(source, reply, self.commit_index, now)

    def _advance_commit(self) -> None:
        index = self._followers.find_synced_index(self.membership, self._synced)
        if index > self.commit_index and self.log.find_term(index) == self.term:
            self._commit_to(index)
            self._step_down_if_removed()

    def _step_down_if_removed(self) -> None:
        settled = self.commit_index >= self._memberships.index
        if self.role is Role.LEADER and settled and not self.is_voter:
            self.role = Role.FOLLOWER
            self.leader = ""
            self._followers = None

    def _commit_to(self, index: int) -> None:
        self._effects.committed += self.log.read_range(self.commit_index + 1, index)
        self.commit_index = index

    # Following.

    def _follow(self, source: str, term: int, now: float) -> None:
        if self.role is not Role.FOLLOWER or self.leader != source:
            self._become_follower(term, source, now)
        self._leader_heard_at = now
        self._reset_election_timer(now)

    def _on_append(self, source: str, request: m.AppendRequest, now: float) -> None:
        self._follow(source, request.term, now)
        previous = request.previous_index
        if previous < self.log.base.index:
            # All entries up to the own snapshot are committed and so match.
            matched, index = self._skip_covered(request)
        elif self.log.find_term(previous) != request.previous_term:
            matched, index = False, self._find_mismatch(previous)
        else:
            matched, index = True, self._store(request.entries, previous)
        if matched:
            self._commit_up_to(min(request.commit, index))
        reply = m.AppendReply(self.term, matched, index, request.sent_at)
        self._effects.messages.append((source, reply))

    def _skip_covered(self, request: m.AppendRequest) -> tuple[bool, int]:
        base = self.log.base.index
        rest = tuple(entry for entry in request.entries if entry.index > base)
        if not rest:
            return True, base
        return True, self._store(rest, base)

    def _find_mismatch(self, previous: int) -> int:
        """Return the last index that may match the leader's log."""
        if previous > self.log.last_index:
            return self.log.last_index
        term = self.log.find_term(previous)
        index = previous
        while index > self.commit_index and self.log.find_term(index) == term:
            index -= 1
        return index

    def _store(self, entries: tuple[m.Entry, ...], previous: int) -> int:
        """Add the entries that are missing and return the last matching index."""
        index = previous
        for entry in entries:
            index = entry.index
            if self.log.find_term(index) == entry.term:
                continue
            if index <= self.log.last_index:
                self._truncate(index)
            self.log.append(entry)
            self._effects.entries.append(entry)
            if entry.kind is m.EntryKind.MEMBERSHIP:
                self._adopt_membership(decode_membership(entry), index)
        return index

    def _truncate(self, first: int) -> None:
        if first <= self.commit_index:
            raise AssertionError(f"committed entry {first} must not be replaced")
        self.log.truncate(first)
        self._synced = min(self._synced, first - 1)
        self._effects.entries = [x for x in self._effects.entries if x.index < first]
        earlier = self._effects.truncate_from
        self._effects.truncate_from = min(first, earlier or first)
        self._memberships.note_truncation(first)

    def _commit_up_to(self, index: int) -> None:
        if index > self.commit_index:
            self._commit_to(index)

    def _on_snapshot(self, source: str, request: m.SnapshotRequest, now: float) -> None:
        self._follow(source, request.term, now)
        meta = request.meta
        if meta.index <= self.commit_index:
            received = meta.size
        else:
            received = self._collect_chunk(request)
        reply = m.SnapshotReply(self.term, meta.index, received, request.sent_at)
        self._effects.messages.append((source, reply))

    def _collect_chunk(self, request: m.SnapshotRequest) -> int:
        if self._incoming is None or self._incoming[0].index != request.meta.index:
            self._incoming = (request.meta, bytearray())
        meta, data = self._incoming
        if request.offset == len(data):
            data += request.chunk
        if len(data) < meta.size:
            return len(data)
        self._incoming = None
        self._install(meta, bytes(data))
        return meta.size

    def _install(self, meta: m.SnapshotMeta, data: bytes) -> None:
        self._effects.snapshot = (meta, data)
        self._effects.entries = []
        self._effects.truncate_from = None
        self._effects.committed = []
        self.log.reset(meta)
        self.commit_index = meta.index
        self._synced = meta.index
        self._adopt_membership(meta.membership, meta.index)

    # Membership.

    @property
    def membership(self) -> m.Membership:
        """Latest membership in the log, committed or not."""
        return self._memberships.current

    def _adopt_membership(self, membership: m.Membership, index: int) -> None:
        self._memberships.adopt(membership, index)
        if self.role is Role.LEADER:
            self._followers.track(membership, self._time)

    def find_membership_at(self, last: int) -> m.Membership:
        """Return the membership that was in the log at entry `last`."""
        return self._memberships.find_at(last)


def _is_pre_vote_grant(message: m.Message) -> bool:
    return isinstance(message, m.VoteReply) and message.pre and message.granted


_HANDLERS = {
    m.VoteReply: RaftNode._on_vote_reply,
    m.TransferRequest: RaftNode._on_transfer,
    m.AppendRequest: RaftNode._on_append,
    m.AppendReply: RaftNode._on_append_reply,
    m.SnapshotRequest: RaftNode._on_snapshot,
    m.SnapshotReply: RaftNode._on_snapshot_reply,
}
