"""In-memory part of the replicated log that follows the latest snapshot."""

from collections.abc import Sequence

from bluebellyoke.consensus.messages import Entry, SnapshotMeta

__all__ = ["EntryLog"]


class EntryLog:
    """Log entries after a snapshot, accessible by index.

    Args:
        base: Metadata of the snapshot that precedes the first entry.
        entries: Entries with consecutive indexes from the one after the snapshot.
    """

    def __init__(self, base: SnapshotMeta, entries: Sequence[Entry] = ()) -> None:
        self.base = base
        self._entries = list(entries)

    @property
    def first_index(self) -> int:
        """Index of the first retained entry."""
        return self.base.index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.base.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self._entries[-1].term if self._entries else self.base.term

    def find_term(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is not available."""
        if index == self.base.index:
            return self.base.term
        if index < self.first_index or index > self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def read(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return a batch of entries from `first`.

        Args:
            first: Index of the first entry.
            max_entries: Maximum number of entries.
            max_bytes: Maximum payload size, in bytes. The first entry is returned
                even if it is larger.
        """
        start = first - self.first_index
        batch: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.payload)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def read_range(self, first: int, last: int) -> list[Entry]:
        """Return the entries from `first` to `last`, inclusive."""
        start = first - self.first_index
        return self._entries[start : last - self.first_index + 1]

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one."""
        self._entries.append(entry)

    def truncate(self, first: int) -> None:
        """Remove the entry at `first` and all later ones."""
        del self._entries[first - self.first_index :]

    def compact(self, meta: SnapshotMeta) -> None:
        """Discard the entries that a snapshot covers."""
        del self._entries[: meta.index - self.base.index]
        self.base = meta

    def reset(self, meta: SnapshotMeta) -> None:
        """Discard all entries and continue after a snapshot."""
        self._entries.clear()
        self.base = meta
