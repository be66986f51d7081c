"""Making of a replica's data folder, the only way to create a cell."""

import uuid
from pathlib import Path

import msgspec

from bluebellyoke.consensus import messages as m
from bluebellyoke.consensus.storage import Identity, Storage, create_identity

__all__ = ["create_replica", "create_founding_replica", "create_joining_replica"]


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
    _write_first_entry(folder, membership)
    return identity


def create_founding_replica(
    *, folder: Path, cell: str, own_address: str, founder_addresses: tuple[str, ...]
) -> None:
    """Make the data folder of one of several founders, all of which vote at once.

    Every founder writes the same first entry, so any majority of them can elect a
    leader. It must be called only while the cell has never run: a founder that lost
    its folder has to join like any other replica.

    Args:
        own_address: Address of this founder's peer listener, one of
            `founder_addresses`.
        founder_addresses: Addresses of all of them, in any order.
    """
    create_identity(folder, cell=cell, replica=_name_founder(own_address))
    members = {}
    for address in sorted(founder_addresses):
        host, _, port = address.rpartition(":")
        replica = _name_founder(address)
        members[replica] = m.Member(replica, replica, host, int(port), "")
    _write_first_entry(folder, m.Membership(members, {}))


def create_joining_replica(*, folder: Path, cell: str, name: str) -> None:
    """Make the data folder of a replica that joins under a new identity."""
    create_identity(folder, cell=cell, replica=f"{name}-{uuid.uuid4().hex[:8]}")


def _name_founder(address: str) -> str:
    return f"founder-{address}"


def _write_first_entry(folder: Path, membership: m.Membership) -> None:
    entry = m.Entry(1, 1, m.EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership))
    storage = Storage(folder)
    storage.recover()
    storage.write(hard_state=m.HardState(1, ""), truncate_from=None, entries=[entry])
    storage.close()
