"""What a leader knows of the other members, and what it sends them.

Entries are sent ahead of their acknowledgement, up to a bound. A follower that lacks
entries which the log no longer holds gets the latest snapshot in chunks, one at a time.
"""

from dataclasses import dataclass
from typing import Protocol

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.log import EntryLog

__all__ = ["LogReplicator", "FollowerProgress", "SnapshotSource"]

#: Entries and payload bytes of one message, and entries in flight to a follower.
MAX_ENTRIES_PER_MESSAGE = 256
MAX_BYTES_PER_MESSAGE = 512 * 1024
MAX_ENTRIES_IN_FLIGHT = 4096

#: Bytes of one chunk of a snapshot.
SNAPSHOT_CHUNK_BYTES = 256 * 1024

#: Time after which an unanswered chunk is sent again, in seconds.
CHUNK_RETRY_S = 0.9


class SnapshotSource(Protocol):
    """Access to the bytes of the latest snapshot."""

    def read_chunk(self, offset: int, size: int) -> bytes:
        """Return `size` bytes of the state from `offset`, fewer at the end."""


@dataclass(slots=True)
class FollowerProgress:
    """What the leader knows of a follower.

    Attributes:
        match_index: Last entry known to be synced there.
        next_index: Next entry to send.
        acknowledged_at: Leader's time at which the latest answered message was sent.
        tracked_at: Leader's time at which it began to send.
        heard_at: Leader's time of the latest answer.
        snapshot_index: Snapshot that is being sent, or zero.
        snapshot_offset: Bytes of it that the follower holds.
        chunk_sent_at: Leader's time of the latest chunk.
        resent_from: First entry of the latest resend after a mismatch.
        resent_at: Leader's time of that resend.
    """

    next_index: int
    tracked_at: float
    match_index: int = 0
    acknowledged_at: float = float("-inf")
    heard_at: float = float("-inf")
    snapshot_index: int = 0
    snapshot_offset: int = 0
    chunk_sent_at: float = float("-inf")
    resent_from: int = 0
    resent_at: float = float("-inf")

    def is_resent(self, reply: m.AppendReply) -> bool:
        """Return whether what a follower lacked has been sent since then.

        After a cut many messages that wait for the follower arrive at once, and each
        of them is answered so.
        """
        return reply.index + 1 == self.resent_from and reply.sent_at <= self.resent_at

    @property
    def present_at(self) -> float:
        """Leader's time up to which the follower counts as present."""
        return max(self.heard_at, self.tracked_at)


class LogReplicator:
    """Progress of each other member in one term of a leader.

    Args:
        replica: Identity of the leader.
        term: Term that it leads.
        log: Its log.
        snapshots: Access to its latest snapshot.
        send: Called with each message and its receiver.
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

    def track(self, membership: m.Membership, now: float) -> None:
        """Begin to follow new members and forget those that are gone."""
        members = membership.members
        for member in members:
            if member != self._replica and member not in self.progress:
                self.progress[member] = FollowerProgress(
                    next_index=self._log.last_index + 1, tracked_at=now
                )
        for gone in set(self.progress) - set(members):
            del self.progress[gone]

    # Answers.

    def note_append(self, source: str, reply: m.AppendReply, now: float) -> bool:
        """Take an answer to entries; return whether the follower is tracked."""
        progress = self.progress.get(source)
        if progress is None:
            return False
        self._note_answer(progress, reply.sent_at, now)
        if reply.matched:
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        elif not progress.is_resent(reply):
            backed = min(reply.index + 1, progress.next_index)
            progress.next_index = max(progress.match_index + 1, backed)
            progress.resent_from = reply.index + 1
            progress.resent_at = now
        return True

    def note_snapshot(
        self, source: str, reply: m.SnapshotReply, commit_index: int, now: float
    ) -> None:
        """Take an answer to a chunk and send what follows."""
        progress = self.progress.get(source)
        if progress is None:
            return
        self._note_answer(progress, reply.sent_at, now)
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

    def _note_answer(
        self, progress: FollowerProgress, sent_at: float, now: float
    ) -> None:
        progress.acknowledged_at = max(progress.acknowledged_at, sent_at)
        progress.heard_at = now

    # What follows from the answers.

    def find_acknowledged_at(self, membership: m.Membership, now: float) -> float:
        """Return the latest time at which a majority is known to have followed."""
        times = sorted(
            (
                now if voter == self._replica else self.progress[voter].acknowledged_at
                for voter in membership.voters
            ),
            reverse=True,
        )
        if len(times) < membership.quorum:
            return float("-inf")
        return times[membership.quorum - 1]

    def find_synced_index(self, membership: m.Membership, own_index: int) -> int:
        """Return the last entry that a majority of the voters has synced."""
        matches = sorted(
            (
                own_index
                if voter == self._replica
                else self.progress[voter].match_index
                for voter in membership.voters
            ),
            reverse=True,
        )
        return matches[membership.quorum - 1] if matches else 0

    def has_majority(
        self, membership: m.Membership, now: float, silence_s: float
    ) -> bool:
        """Return whether a majority of the voters was heard lately."""
        heard = sum(
            voter == self._replica or now - self.progress[voter].present_at < silence_s
            for voter in membership.voters
        )
        return heard >= membership.quorum

    # Sending.

    def send_to_all(self, commit_index: int, now: float, *, heartbeat: bool) -> None:
        """Send every follower what it lacks, or a heartbeat."""
        for target in self.progress:
            self.send_to(target, commit_index, now, heartbeat=heartbeat)

    def send_to(
        self, target: str, commit_index: int, now: float, *, heartbeat: bool
    ) -> None:
        """Send a follower what it lacks; with `heartbeat` a message in any case."""
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
        entries: tuple[m.Entry, ...],
        now: float,
    ) -> None:
        previous = progress.next_index - 1
        previous_term = self._log.find_term(previous)
        request = m.AppendRequest(
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
        elif not heartbeat or now - progress.chunk_sent_at < CHUNK_RETRY_S:
            return
        progress.chunk_sent_at = now
        offset = progress.snapshot_offset
        chunk = self._snapshots.read_chunk(offset, SNAPSHOT_CHUNK_BYTES)
        self._send(target, m.SnapshotRequest(self._term, meta, offset, chunk, now))
