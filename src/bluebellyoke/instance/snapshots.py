"""Snapshots of a replica's state, taken while its log goes on."""

import logging

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.cell.snapshot import dump_state
from bluebellyoke.cell.state import CellState
from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.raft import RaftNode
from bluebellyoke.consensus.storage import Storage

__all__ = ["SnapshotWriter"]

logger = logging.getLogger("bluebellyoke.replica")


class SnapshotWriter:
    """Copies the state, writes it beside the log, and drops the log behind it.

    Args:
        raft: The replica's part in the agreement.
        storage: Log and snapshots on disk.
        limit_bytes: Size of the log after which a snapshot is taken.
    """

    def __init__(self, *, raft: RaftNode, storage: Storage, limit_bytes: int) -> None:
        self._raft = raft
        self._storage = storage
        self._limit_bytes = limit_bytes
        self._is_under_way = False
        self._saved: m.SnapshotMeta | None = None

    def begin_if_due(self, state: CellState, applied: int, tasks: TaskGroup) -> None:
        """Copy the state and have it written by a task, if the log is long.

        Args:
            applied: Index of the last entry that the state holds.
        """
        log = self._raft.log
        if self._is_under_way or applied <= log.base.index:
            return
        if self._storage.segment_bytes < self._limit_bytes:
            return
        data = dump_state(state)
        membership = self._raft.find_membership_at(applied)
        meta = m.SnapshotMeta(applied, log.find_term(applied), membership, len(data))
        self._is_under_way = True
        tasks.start_soon(self._save, meta, data)

    async def _save(self, meta: m.SnapshotMeta, data: bytes) -> None:
        await anyio.to_thread.run_sync(self._storage.save_snapshot, meta, data)
        self._saved = meta

    async def finish(self, hard_state: m.HardState) -> None:
        """Drop the log behind a snapshot that has been written."""
        meta, self._saved = self._saved, None
        if meta is None:
            return
        self._is_under_way = False
        if meta.index <= self._raft.log.base.index:
            # A snapshot of the leader was installed meanwhile.
            return
        self._storage.activate_snapshot(meta)
        self._raft.compact(meta)
        await anyio.to_thread.run_sync(
            self._storage.compact, self._raft.log, hard_state
        )
        logger.info(
            "replica: took a snapshot", extra={"index": meta.index, "bytes": meta.size}
        )
