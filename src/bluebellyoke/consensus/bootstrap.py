"""Creation of a replica's data folder, the only way to bootstrap a cell."""

import uuid
from pathlib import Path

import msgspec

from bluebellyoke.consensus import messages
from bluebellyoke.consensus.storage import Identity, Storage, create_identity

__all__ = ["create_founding_replica", "create_joining_replica", "create_replica"]


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
    """Create a data folder, and the initial membership if `new_cell` is set.

    The first replica is the only initial voter. The others join it as learners and
    become voters once they have caught up. The cell starts serving when it has the
    configured number of voters.

    Args:
        folder: Data folder to create.
        cell: Name of the cell.
        replica: ID of the replica.
        name: Name of the instance.
        address: IP address of the instance's peer listener.
        port: TCP port of the instance's peer listener.
        data_centre: Data centre of the instance.
        new_cell: Whether the replica is the first one of a new cell.

    Raises:
        FolderInUseError: The folder already holds a replica.
        DiskError: The folder cannot be written.
    """
    identity = create_identity(folder, cell=cell, replica=replica)
    if not new_cell:
        return identity
    member = messages.Member(replica, name, address, port, data_centre)
    membership = messages.Membership({replica: member}, {})
    _write_first_entry(folder, membership)
    return identity


def create_founding_replica(
    *, folder: Path, cell: str, own_address: str, founder_addresses: tuple[str, ...]
) -> None:
    """Create the data folder of one of several founders, which are all voters.

    Every founder writes the same first entry, so any majority of them can elect a
    leader. Call this only if the cell has never run: a founder that has lost its data
    folder must join like any other replica.

    Args:
        folder: Data folder to create.
        cell: Name of the cell.
        own_address: Address of this founder's peer listener, one of
            `founder_addresses`.
        founder_addresses: Peer listener addresses of all founders, in any order.
    """
    create_identity(folder, cell=cell, replica=_build_founder_id(own_address))
    members = {}
    for address in sorted(founder_addresses):
        host, _, port = address.rpartition(":")
        replica = _build_founder_id(address)
        members[replica] = messages.Member(replica, replica, host, int(port), "")
    _write_first_entry(folder, messages.Membership(members, {}))


def create_joining_replica(*, folder: Path, cell: str, name: str) -> None:
    """Create the data folder of a replica that joins under a new ID."""
    create_identity(folder, cell=cell, replica=f"{name}-{uuid.uuid4().hex[:8]}")


def _build_founder_id(address: str) -> str:
    return f"founder-{address}"


def _write_first_entry(folder: Path, membership: messages.Membership) -> None:
    entry = messages.Entry(
        1, 1, messages.EntryKind.MEMBERSHIP, msgspec.msgpack.encode(membership)
    )
    storage = Storage(folder)
    storage.recover()
    storage.write(
        hard_state=messages.HardState(1, ""), truncate_from=None, entries=[entry]
    )
    storage.close()
