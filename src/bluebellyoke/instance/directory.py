"""Addresses at which replicas of the cell may be found.

An instance hears of replicas from several sides: from its settings, the membership in
its own log, the leader's replies to polls, lists that other instances send, and
messages of replicas. No side is enough alone. A seed may be an instance without a
replica, a follower or down, and a replica that has lost its data folder has no log.
`ReplicaDirectory` is the only place that stores the addresses, and every search for a
replica reads them there.
"""

from collections.abc import Callable, Iterable

from bluebellyoke.addresses import is_address

__all__ = ["ReplicaDirectory"]

#: Maximum number of addresses kept from one list.
MAX_ADDRESSES = 16


class ReplicaDirectory:
    """Stores the addresses of replicas by where they were heard of.

    Args:
        seeds: Configured addresses of instances, which may have no replica.
    """

    def __init__(self, *, seeds: Iterable[str] = ()) -> None:
        self._seeds = tuple(seeds)
        self._from_leader: tuple[str, ...] = ()
        self._from_peers: tuple[str, ...] = ()
        self._list_members: Callable[[], Iterable[str]] = tuple

    @property
    def seeds(self) -> tuple[str, ...]:
        """Configured addresses of instances."""
        return self._seeds

    @property
    def replicas(self) -> tuple[str, ...]:
        """Addresses of replicas, those that the leader has sent first.

        Some may be out of date. They may include the address of this instance.
        """
        return tuple(
            dict.fromkeys(
                (*self._from_leader, *self._from_peers, *self._list_members())
            )
        )

    @property
    def addresses(self) -> tuple[str, ...]:
        """All addresses to try in a search for a replica, the seeds last."""
        return tuple(dict.fromkeys((*self.replicas, *self._seeds)))

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the configured addresses."""
        self._seeds = tuple(seeds)

    def set_member_source(self, list_members: Callable[[], Iterable[str]]) -> None:
        """Read the addresses of the members in the log of the local replica, too."""
        self._list_members = list_members

    def record_leader_list(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses that the leader has sent, unless none is usable."""
        self._from_leader = _select_usable(addresses) or self._from_leader

    def record_peer_list(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses that other peers have sent, unless none is usable."""
        self._from_peers = _select_usable(addresses) or self._from_peers

    def record_sender(self, address: str) -> None:
        """Store the address of a replica that has sent a message to this instance."""
        if is_address(address) and address not in self.replicas:
            self._from_peers = (address, *self._from_peers)[:MAX_ADDRESSES]


def _select_usable(addresses: Iterable[str]) -> tuple[str, ...]:
    """Return the first addresses of a list, without those that cannot be dialled."""
    return tuple(filter(is_address, addresses))[:MAX_ADDRESSES]
