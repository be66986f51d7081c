"""Snapshots of a replica's state, written while it continues to append to its log."""

import logging

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.cell.snapshot import dump_state
from bluebellyoke.cell.state import CellState
from bluebellyoke.consensus import messages
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.consensus.storage import Storage

__all__ = ["SnapshotWriter"]

logger = logging.getLogger("bluebellyoke.replica")


class SnapshotWriter:
    """Writes snapshots of the state and compacts the log up to them.

    Args:
        raft: Raft node of the replica.
        storage: Log and snapshots on disk.
        threshold_bytes: Log size at which a snapshot is due.
    """

    def __init__(
        self, *, raft: RaftNode, storage: Storage, threshold_bytes: int
    ) -> None:
        self._raft = raft
        self._storage = storage
        self._threshold_bytes = threshold_bytes
        self._in_progress = False
        self._written: messages.SnapshotMeta | None = None

    def start_if_due(
        self, state: CellState, applied_index: int, tasks: TaskGroup
    ) -> None:
        """Encode the state and start a task that writes it, if a snapshot is due.

        Args:
            state: State to write.
            applied_index: Index of the last entry applied to the state.
            tasks: Task group in which the write runs.
        """
        log = self._raft.log
        if self._in_progress or applied_index <= log.base.index:
            return
        if self._storage.segment_bytes < self._threshold_bytes:
            return
        data = dump_state(state)
        membership = self._raft.find_membership_at(applied_index)
        meta = messages.SnapshotMeta(
            applied_index, log.find_term(applied_index), membership, len(data)
        )
        self._in_progress = True
        tasks.start_soon(self._write, meta, data)

    async def _write(self, meta: messages.SnapshotMeta, data: bytes) -> None:
        await anyio.to_thread.run_sync(self._storage.save_snapshot, meta, data)
        self._written = meta

    async def compact_if_written(self, hard_state: messages.HardState) -> None:
        """Compact the log once the pending snapshot is written."""
        meta, self._written = self._written, None
        if meta is None:
            return
        self._in_progress = False
        if meta.index <= self._raft.log.base.index:
            # A newer snapshot from the leader has been installed in the meantime.
            return
        self._storage.activate_snapshot(meta)
        self._raft.compact(meta)
        await anyio.to_thread.run_sync(
            self._storage.compact, self._raft.log, hard_state
        )
        logger.info(
            "replica: took a snapshot", extra={"index": meta.index, "bytes": meta.size}
        )
