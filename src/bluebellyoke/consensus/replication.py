"""Log replication from the leader to the other members.

Entries are pipelined: they are sent before earlier ones are acknowledged, up to
`MAX_ENTRIES_IN_FLIGHT`. A follower that needs entries which are no longer in the log
receives the latest snapshot, one chunk at a time.
"""

from dataclasses import dataclass
from typing import Protocol

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.log import EntryLog

__all__ = ["FollowerProgress", "LogReplicator", "SnapshotSource"]

#: Limits on the entries and payload bytes of one message.
MAX_ENTRIES_PER_MESSAGE = 256
MAX_BYTES_PER_MESSAGE = 512 * 1024

#: Unacknowledged entries per follower above which no more are sent.
MAX_ENTRIES_IN_FLIGHT = 4096

SNAPSHOT_CHUNK_BYTES = 256 * 1024

#: Time after which an unacknowledged snapshot chunk is resent, in seconds.
SNAPSHOT_CHUNK_RETRY_S = 0.9


class SnapshotSource(Protocol):
    """Access to the bytes of the latest snapshot."""

    def read_chunk(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of the state, starting at `offset`."""


@dataclass(slots=True)
class FollowerProgress:
    """Replication state of one follower, as the leader knows it.

    All times are the leader's monotonic time, in seconds.

    Attributes:
        next_index: Index of the next entry to send.
        tracked_since: Time at which the leader began to replicate to the follower.
        match_index: Index of the last entry known to be synced on the follower.
        acknowledged_sent_at: Time at which the latest acknowledged message was sent.
        last_reply_at: Time at which the latest reply was received.
        snapshot_index: Index of the snapshot being sent, or zero.
        snapshot_offset: Bytes of that snapshot that the follower has received.
        chunk_sent_at: Time at which the latest snapshot chunk was sent.
        resent_from: Index of the first entry of the latest resend after a mismatch.
        resent_at: Time of that resend.
    """

    next_index: int
    tracked_since: float
    match_index: int = 0
    acknowledged_sent_at: float = float("-inf")
    last_reply_at: float = float("-inf")
    snapshot_index: int = 0
    snapshot_offset: int = 0
    chunk_sent_at: float = float("-inf")
    resent_from: int = 0
    resent_at: float = float("-inf")

    def is_already_resent(self, reply: messages.AppendReply) -> bool:
        """Return whether the entries that a mismatch asks for were already resent.

        After a network partition, many queued messages reach the follower at once and
        it rejects each of them. Only the first rejection must cause a resend.
        """
        return reply.index + 1 == self.resent_from and reply.sent_at <= self.resent_at

    @property
    def last_seen_at(self) -> float:
        """Time at which the follower was last considered reachable.

        A new follower counts as reachable from the start, so it has time to reply.
        """
        return max(self.last_reply_at, self.tracked_since)


class LogReplicator:
    """Replicates the leader's log to the other members during one term.

    Args:
        replica: ID of the leader.
        term: Term of the leader.
        log: Log of the leader.
        snapshots: Access to the leader's latest snapshot.
        send: Called with the target's ID and the message.

    Attributes:
        progress: Replication progress by member ID.
    """

    def __init__(
        self, *, replica: str, term: int, log: EntryLog, snapshots: SnapshotSource, send
    ) -> None:
        self.progress: dict[str, FollowerProgress] = {}
        self._replica = replica
        self._term = term
        self._log = log
        self._snapshots = snapshots
        self._send = send

    def track(self, membership: messages.Membership, now: float) -> None:
        """Start tracking new members and stop tracking removed ones."""
        members = membership.members
        for member in members:
            if member != self._replica and member not in self.progress:
                self.progress[member] = FollowerProgress(
                    next_index=self._log.last_index + 1, tracked_since=now
                )
        for removed in set(self.progress) - set(members):
            del self.progress[removed]

    # Replies.

    def handle_append_reply(
        self, source: str, reply: messages.AppendReply, now: float
    ) -> bool:
        """Update a follower's progress; return whether the follower is tracked."""
        progress = self.progress.get(source)
        if progress is None:
            return False
        self._record_reply(progress, reply.sent_at, now)
        if reply.matched:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        elif not progress.is_already_resent(reply):
            backtracked = min(reply.index + 1, progress.next_index)
            progress.next_index = max(progress.match_index + 1, backtracked)
            progress.resent_from = reply.index + 1
            progress.resent_at = now
        return True

    def handle_snapshot_reply(
        self, source: str, reply: messages.SnapshotReply, commit_index: int, now: float
    ) -> None:
        """Update a follower's snapshot transfer and send the next chunk or entries."""
        progress = self.progress.get(source)
        if progress is None:
            return
        self._record_reply(progress, reply.sent_at, now)
        if reply.index != progress.snapshot_index:
            return
        if reply.received >= self._log.base.size:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = progress.match_index + 1
            progress.snapshot_index = 0
        else:
            progress.snapshot_offset = reply.received
            progress.chunk_sent_at = float("-inf")
        self.send_to(source, commit_index, now, heartbeat=True)

    def _record_reply(
        self, progress: FollowerProgress, sent_at: float, now: float
    ) -> None:
        progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, sent_at)
        progress.last_reply_at = now

    # Quorum.

    def find_quorum_acknowledged_at(
        self, membership: messages.Membership, now: float
    ) -> float:
        """Return the latest time since which a quorum is known to follow the leader.

        Each voter counts with the send time of the latest message it acknowledged.
        """
        times = sorted(
            (
                now
                if voter == self._replica
                else self.progress[voter].acknowledged_sent_at
                for voter in membership.voters
            ),
            reverse=True,
        )
        if len(times) < membership.quorum:
            return float("-inf")
        return times[membership.quorum - 1]

    def find_quorum_index(
        self, membership: messages.Membership, own_synced_index: int
    ) -> int:
        """Return the index of the last entry synced by a majority of the voters."""
        matches = sorted(
            (
                own_synced_index
                if voter == self._replica
                else self.progress[voter].match_index
                for voter in membership.voters
            ),
            reverse=True,
        )
        return matches[membership.quorum - 1] if matches else 0

    def has_quorum(
        self, membership: messages.Membership, now: float, timeout_s: float
    ) -> bool:
        """Return whether a majority of the voters was reachable within `timeout_s`."""
        reachable = sum(
            voter == self._replica
            or now - self.progress[voter].last_seen_at < timeout_s
            for voter in membership.voters
        )
        return reachable >= membership.quorum

    # Sending.

    def send_to_all(self, commit_index: int, now: float, *, heartbeat: bool) -> None:
        """Send missing entries, or a heartbeat if requested, to all followers."""
        for target in self.progress:
            self.send_to(target, commit_index, now, heartbeat=heartbeat)

    def send_to(
        self, target: str, commit_index: int, now: float, *, heartbeat: bool
    ) -> None:
        """Send a follower the entries or the snapshot chunk that it needs next.

        Args:
            target: ID of the follower.
            commit_index: Commit index of the leader.
            now: Monotonic time, in seconds.
            heartbeat: Whether to send a message without entries if none are missing,
                and to resend an unacknowledged snapshot chunk.
        """
        progress = self.progress[target]
        if self._log.find_term(progress.next_index - 1) is None:
            self._send_chunk(target, progress, now, heartbeat=heartbeat)
            return
        progress.snapshot_index = 0
        sent = False
        while progress.next_index <= self._log.last_index:
            if progress.next_index - progress.match_index > MAX_ENTRIES_IN_FLIGHT:
                break
            entries = self._log.read(
                progress.next_index, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE
            )
            self._send_entries(target, progress, commit_index, entries, now)
            progress.next_index += len(entries)
            sent = True
        if heartbeat and not sent:
            self._send_entries(target, progress, commit_index, (), now)

    def _send_entries(
        self,
        target: str,
        progress: FollowerProgress,
        commit_index: int,
        entries: tuple[messages.Entry, ...],
        now: float,
    ) -> None:
        previous = progress.next_index - 1
        previous_term = self._log.find_term(previous)
        request = messages.AppendRequest(
            self._term, previous, previous_term, commit_index, now, entries
        )
        self._send(target, request)

    def _send_chunk(
        self, target: str, progress: FollowerProgress, now: float, *, heartbeat: bool
    ) -> None:
        meta = self._log.base
        if progress.snapshot_index != meta.index:
            progress.snapshot_index = meta.index
            progress.snapshot_offset = 0
        elif not heartbeat or now - progress.chunk_sent_at < SNAPSHOT_CHUNK_RETRY_S:
            return
        progress.chunk_sent_at = now
        offset = progress.snapshot_offset
        chunk = self._snapshots.read_chunk(offset, SNAPSHOT_CHUNK_BYTES)
        self._send(
            target, messages.SnapshotRequest(self._term, meta, offset, chunk, now)
        )
