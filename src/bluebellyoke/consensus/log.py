"""The part of the replicated log that follows the latest snapshot, in memory."""

from collections.abc import Sequence

from bluebellyoke.consensus.messages import Entry, SnapshotMeta

__all__ = ["EntryLog"]


class EntryLog:
    """Entries after a snapshot, by index.

    Args:
        base: Position of the snapshot that precedes the first entry.
        entries: Entries that follow it without a gap.
    """

    def __init__(self, base: SnapshotMeta, entries: Sequence[Entry] = ()) -> None:
        self.base = base
        self._entries = list(entries)

    @property
    def first_index(self) -> int:
        """Index of the first entry that is kept."""
        return self.base.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base.term

    def find_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if the entry is not kept."""
        if index == self.base.index:
            return self.base.term
        if index < self.first_index or index > self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def read(self, first: int, limit: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first`, bounded by number and payload bytes."""
        start = first - self.first_index
        chosen: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + limit]:
            size += len(entry.payload)
            if chosen and size > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def read_range(self, first: int, last: int) -> list[Entry]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.first_index
        return self._entries[start : last - self.first_index + 1]

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        self._entries.append(entry)

    def truncate(self, first: int) -> None:
        """Remove the entry at `first` and all that follow."""
        del self._entries[first - self.first_index :]

    def compact(self, meta: SnapshotMeta) -> None:
        """Drop the entries that a snapshot covers."""
        del self._entries[: meta.index - self.base.index]
        self.base = meta

    def reset(self, meta: SnapshotMeta) -> None:
        """Replace everything by a snapshot."""
        self._entries.clear()
        self.base = meta
