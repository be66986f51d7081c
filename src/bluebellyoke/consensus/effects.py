"""Actions that a `RaftNode` requests from its caller."""

from dataclasses import dataclass, field

from bluebellyoke.consensus import messages as raft_messages

__all__ = ["Effects"]


@dataclass(slots=True)
class Effects:
    """State to persist, messages to send and entries to apply.

    The caller handles the fields in this order. Only `early_messages` may be sent
    before the fields that precede them are handled.

    Attributes:
        snapshot: Snapshot received from the leader, to store and restore.
        hard_state: Term and vote to sync.
        truncate_from: Index of the first entry to remove from the stored log.
        entries: Entries to append and sync.
        early_messages: Messages that may be sent before the sync.
        messages: Messages to send after the sync.
        committed: Committed entries to apply to the state machine.
    """

    snapshot: tuple[raft_messages.SnapshotMeta, bytes] | None = None
    hard_state: raft_messages.HardState | None = None
    truncate_from: int | None = None
    entries: list[raft_messages.Entry] = field(default_factory=list)
    early_messages: list[tuple[str, raft_messages.Message]] = field(
        default_factory=list
    )
    messages: list[tuple[str, raft_messages.Message]] = field(default_factory=list)
    committed: list[raft_messages.Entry] = field(default_factory=list)
