"""Making of a replica's data folder, the only way to create a cell."""

from pathlib import Path

import msgspec

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.storage import Identity, Storage, create_identity

__all__ = ["create_replica"]


def create_replica(
    *,
    folder: Path,
    cell: str,
    replica: str,
    name: str,
    address: str,
    port: int,
    data_centre: str,
    new_cell: bool,
) -> Identity:
    """Make a data folder; with `new_cell` also the first membership.

    The first replica alone is the first voter. The others join it as learners and
    vote once they have caught up. The cell serves when all its voters have joined.

    Raises:
        FolderInUseError: The folder already holds a replica.
        DiskError: The folder cannot be written.
    """
    identity = create_identity(folder, cell=cell, replica=replica)
    if not new_cell:
        return identity
    member = m.Member(replica, name, address, port, data_centre)
    membership = m.Membership({replica: member}, {})
    entry = m.Entry(1, 1, m.EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership))
    storage = Storage(folder)
    storage.recover()
    storage.write(hard_state=m.HardState(1, ""), truncate_from=None, entries=[entry])
    storage.close()
    return identity
