"""What the core of the agreement asks its shell to do."""

from dataclasses import dataclass, field

from bluebellyoke.consensus import messages as m

__all__ = ["Effects"]


@dataclass(slots=True)
class Effects:
    """What the shell has to do, in the order of the fields.

    Attributes:
        snapshot: Snapshot received from the leader, to store and restore.
        hard_state: Term and vote to sync.
        truncate_from: First entry to remove from the stored log.
        entries: Entries to append and sync.
        early_messages: Messages that may be sent before the sync.
        messages: Messages to send after the sync.
        committed: Entries to apply.
    """

    snapshot: tuple[m.SnapshotMeta, bytes] | None = None
    hard_state: m.HardState | None = None
    truncate_from: int | None = None
    entries: list[m.Entry] = field(default_factory=list)
    early_messages: list[tuple[str, m.Message]] = field(default_factory=list)
    messages: list[tuple[str, m.Message]] = field(default_factory=list)
    committed: list[m.Entry] = field(default_factory=list)
