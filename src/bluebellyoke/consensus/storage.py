"""Durable storage of a replica's log, term, vote and snapshots.

Layout of the data folder:
    * `identity.json`: name of the cell and ID of the replica, written once by `init`.
    * `log-<number>.seg`: frames, one `LogRecord` per synced batch.
    * `snapshot-<index>.snap`: state of the cell after entry `index`.

A torn frame at the end of the last segment was never acknowledged and is removed at
the next start. Any other corruption stops the replica. A failed sync is never
retried, because the kernel may have discarded the data.
"""

import contextlib
import json
import os
import struct
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.frames import (
    FRAME_HEADER,
    is_torn,
    pack_header,
    read_frame,
    sync_folder,
    truncate_file,
    write_atomically,
)
from bluebellyoke.consensus.log import EntryLog
from bluebellyoke.errors import BluebellyokeError

__all__ = [
    "CellMismatchError",
    "CorruptFileError",
    "DiskError",
    "FolderInUseError",
    "FolderMissingError",
    "Identity",
    "Storage",
    "create_identity",
    "holds_replica",
    "read_identity",
]

FORMAT_VERSION = 1


class FolderMissingError(BluebellyokeError):
    """The data folder was never initialized."""

    def __init__(self, folder: Path) -> None:
        super().__init__(
            f"{folder} does not hold a replica",
            remedy="create it once with `bluebellyoke init`",
        )


class FolderInUseError(BluebellyokeError):
    """The data folder already holds a replica."""

    def __init__(self, folder: Path) -> None:
        super().__init__(
            f"{folder} already holds a replica", remedy="choose an empty folder"
        )


class CellMismatchError(BluebellyokeError):
    """The data folder belongs to another cell."""

    def __init__(self, folder: Path, found: str, expected: str) -> None:
        super().__init__(
            f"{folder} belongs to cell {found!r} but the settings name {expected!r}",
            remedy="correct `cell` in the settings or name another folder",
        )


class CorruptFileError(BluebellyokeError):
    """A file in the data folder is corrupt."""

    def __init__(self, path: Path, offset: int, problem: str) -> None:
        super().__init__(
            f"{path} is damaged at byte {offset}: {problem}",
            remedy="move the folder away, run `bluebellyoke init` and let the "
            "replica rejoin",
        )


class DiskError(BluebellyokeError):
    """A disk operation failed."""

    def __init__(self, path: Path, error: OSError) -> None:
        super().__init__(
            f"cannot write {path}: {error.strerror}",
            remedy="free space or replace the disk, then start the replica again",
        )


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of `identity.json`.

    Attributes:
        cell: Name of the cell.
        replica: ID of the replica.
        format: Version of the storage format.
    """

    cell: str
    replica: str
    format: int = FORMAT_VERSION


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One synced batch of changes to the log.

    Attributes:
        base: Metadata of the snapshot before the first entry, in the first record of
            a segment.
        hard_state: New term and vote, if they changed.
        truncate_from: Index of the first entry to remove before appending.
        entries: Entries to append.
    """

    base: messages.SnapshotMeta | None = None
    hard_state: messages.HardState | None = None
    truncate_from: int | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclass(slots=True)
class RecoveredState:
    """State read from a data folder.

    Attributes:
        log: Log entries after the latest snapshot.
        hard_state: Latest term and vote.
        state: State of the latest snapshot, or empty if there is none.
        torn_bytes: Bytes of a torn write removed from the log.
    """

    log: EntryLog
    hard_state: messages.HardState
    state: bytes
    torn_bytes: int


def create_identity(folder: Path, *, cell: str, replica: str) -> Identity:
    """Create a data folder with a new identity.

    Raises:
        FolderInUseError: The folder already holds a replica.
        DiskError: The folder cannot be written.
    """
    path = folder / "identity.json"
    if path.exists():
        raise FolderInUseError(folder)
    identity = Identity(cell=cell, replica=replica)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        write_atomically(path, json.dumps(msgspec.to_builtins(identity)).encode())
    except OSError as error:
        raise DiskError(path, error) from error
    return identity


def read_identity(folder: Path, *, cell: str) -> Identity:
    """Return the identity of a data folder.

    Raises:
        FolderMissingError: The folder does not hold a replica.
        CellMismatchError: The folder belongs to another cell.
        CorruptFileError: The identity cannot be decoded.
    """
    path = folder / "identity.json"
    try:
        identity = msgspec.json.decode(path.read_bytes(), type=Identity)
    except FileNotFoundError:
        raise FolderMissingError(folder) from None
    except msgspec.DecodeError as error:
        raise CorruptFileError(path, 0, str(error)) from error
    if identity.cell != cell:
        raise CellMismatchError(folder, identity.cell, cell)
    return identity


def holds_replica(folder: Path) -> bool:
    """Return whether a data folder has an identity."""
    return (folder / "identity.json").exists()


class Storage:
    """Log segments and snapshots of one replica.

    Args:
        folder: Data folder with an identity.

    Attributes:
        segment_bytes: Size of the current log segment, in bytes.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._failed = False
        self._segment_file = None
        self._segment_number = 0
        self._snapshot_meta = messages.SnapshotMeta()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(LogRecord)
        self.segment_bytes = 0

    # Recovery.

    def recover(self) -> RecoveredState:
        """Read the snapshot and the log, and open the last segment for appending.

        Raises:
            CorruptFileError: A file is corrupt other than by a torn last write.
            DiskError: A file cannot be read or written.
        """
        try:
            return self._recover()
        except OSError as error:
            raise DiskError(self.folder, error) from error

    def _recover(self) -> RecoveredState:
        for path in self.folder.glob("*.tmp"):
            path.unlink()
        meta, state = self._read_latest_snapshot()
        self._snapshot_meta = meta
        log = EntryLog(messages.SnapshotMeta())
        hard_state = messages.HardState()
        torn_bytes = 0
        segments = self._list_segments()
        for path in segments:
            records, valid_bytes, size = self._read_segment(path, path == segments[-1])
            torn_bytes += size - valid_bytes
            if size > valid_bytes:
                truncate_file(path, valid_bytes)
            for record in records:
                hard_state = record.hard_state or hard_state
                _replay_record(log, record, path)
        if log.base.index < meta.index:
            _advance_base(log, meta)
        elif log.base.index > meta.index:
            raise CorruptFileError(
                self.folder, 0, "the snapshot that precedes the log is missing"
            )
        self._open_segment(segments, log, hard_state)
        return RecoveredState(log, hard_state, state, torn_bytes)

    def _list_segments(self) -> list[Path]:
        return sorted(self.folder.glob("log-*.seg"))

    def _open_segment(
        self, segments: list[Path], log: EntryLog, hard_state: messages.HardState
    ) -> None:
        if segments:
            self._segment_number = int(segments[-1].stem.split("-")[1])
            self._segment_file = open(segments[-1], "ab")  # noqa: SIM115
            self.segment_bytes = segments[-1].stat().st_size
            return
        self._start_segment(log, hard_state)

    def _read_segment(
        self, path: Path, is_last: bool
    ) -> tuple[list[LogRecord], int, int]:
        """Return the records, the size of all valid frames and the file size."""
        data = path.read_bytes()
        records: list[LogRecord] = []
        offset = 0
        while offset < len(data):
            body = read_frame(data, offset)
            if body is None and is_last and is_torn(data, offset):
                break
            if body is None:
                raise CorruptFileError(
                    path, offset, "invalid frame header or checksum mismatch"
                )
            try:
                records.append(self._decoder.decode(body))
            except msgspec.DecodeError as error:
                raise CorruptFileError(path, offset, str(error)) from error
            offset += FRAME_HEADER.size + len(body)
        return records, offset, len(data)

    # Writing.

    def write(
        self,
        *,
        hard_state: messages.HardState | None,
        truncate_from: int | None,
        entries: list[messages.Entry],
    ) -> None:
        """Append one batch and sync it.

        Raises:
            DiskError: The write failed. All later writes fail too.
        """
        record = LogRecord(None, hard_state, truncate_from, tuple(entries))
        self._append(record)

    def _append(self, record: LogRecord) -> None:
        if self._failed:
            error = OSError(5, "an earlier write failed")
            raise DiskError(self.folder, error)
        body = self._encoder.encode(record)
        frame = pack_header(body) + body
        try:
            self._segment_file.write(frame)
            self._segment_file.flush()
            os.fdatasync(self._segment_file.fileno())
        except OSError as error:
            self._failed = True
            raise DiskError(Path(self._segment_file.name), error) from error
        self.segment_bytes += len(frame)

    def _start_segment(self, log: EntryLog, hard_state: messages.HardState) -> None:
        """Start a segment that contains everything needed from the earlier ones."""
        if self._segment_file is not None:
            self._segment_file.close()
        self._segment_number += 1
        path = self.folder / f"log-{self._segment_number:012d}.seg"
        entries = tuple(log.read_range(log.first_index, log.last_index))
        body = self._encoder.encode(LogRecord(log.base, hard_state, None, entries))
        frame = pack_header(body) + body
        try:
            write_atomically(path, frame)
            self._segment_file = open(path, "ab")  # noqa: SIM115
        except OSError as error:
            self._failed = True
            raise DiskError(path, error) from error
        self.segment_bytes = len(frame)

    # Snapshots.

    def save_snapshot(self, meta: messages.SnapshotMeta, state: bytes) -> None:
        """Write a snapshot. The log may be appended to concurrently.

        Raises:
            DiskError: The write failed.
        """
        encoded_meta = self._encoder.encode(meta)
        body = struct.pack("<I", len(encoded_meta)) + encoded_meta + state
        path = self.folder / f"snapshot-{meta.index:020d}.snap"
        try:
            write_atomically(path, pack_header(body) + body)
        except OSError as error:
            self._failed = True
            raise DiskError(path, error) from error

    def activate_snapshot(self, meta: messages.SnapshotMeta) -> None:
        """Use a saved snapshot for `read_chunk` and `compact` from now on."""
        self._snapshot_meta = meta

    def compact(self, log: EntryLog, hard_state: messages.HardState) -> None:
        """Delete the segments and snapshots that the active snapshot supersedes.

        Args:
            log: Log after the active snapshot.
            hard_state: Current term and vote, which the new segment starts with.

        Raises:
            DiskError: A file cannot be written or deleted.
        """
        old_segments = self._list_segments()
        self._start_segment(log, hard_state)
        try:
            for path in old_segments:
                path.unlink()
            for path in self.folder.glob("snapshot-*.snap"):
                if path != self._snapshot_path():
                    path.unlink()
            sync_folder(self.folder)
        except OSError as error:
            raise DiskError(self.folder, error) from error

    def reset(
        self, meta: messages.SnapshotMeta, hard_state: messages.HardState
    ) -> None:
        """Replace the whole log by the active snapshot."""
        self.compact(EntryLog(meta), hard_state)

    def read_chunk(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of the active snapshot's state from `offset`."""
        with open(self._snapshot_path(), "rb") as file:
            file.seek(FRAME_HEADER.size)
            (meta_size,) = struct.unpack("<I", file.read(4))
            file.seek(FRAME_HEADER.size + 4 + meta_size + offset)
            return file.read(size)

    def _snapshot_path(self) -> Path:
        return self.folder / f"snapshot-{self._snapshot_meta.index:020d}.snap"

    def _read_latest_snapshot(self) -> tuple[messages.SnapshotMeta, bytes]:
        paths = sorted(self.folder.glob("snapshot-*.snap"))
        if not paths:
            return messages.SnapshotMeta(), b""
        path = paths[-1]
        data = path.read_bytes()
        body = read_frame(data, 0)
        if body is None:
            raise CorruptFileError(
                path, 0, "invalid snapshot header or checksum mismatch"
            )
        (meta_size,) = struct.unpack_from("<I", body)
        encoded_meta = body[4 : 4 + meta_size]
        meta = msgspec.msgpack.decode(encoded_meta, type=messages.SnapshotMeta)
        return meta, body[4 + meta_size :]

    def close(self) -> None:
        """Close the current segment."""
        if self._segment_file is None:
            return
        # After a failed write, closing flushes the buffered bytes and fails again.
        with contextlib.suppress(OSError):
            self._segment_file.close()
        self._segment_file = None


def _replay_record(log: EntryLog, record: LogRecord, path: Path) -> None:
    if record.base is not None:
        log.reset(record.base)
    if record.truncate_from is not None:
        log.truncate(record.truncate_from)
    for entry in record.entries:
        if entry.index != log.last_index + 1:
            raise CorruptFileError(
                path, 0, f"entry {entry.index} leaves a gap in the log"
            )
        log.append(entry)


def _advance_base(log: EntryLog, meta: messages.SnapshotMeta) -> None:
    """Advance the base of a log to a snapshot that is newer than its segment."""
    if log.find_term(meta.index) == meta.term:
        log.compact(meta)
    else:
        log.reset(meta)
