"""What an instance knows of the addresses of replicas.

Seeds may be instances without a disk, which know no membership. Replicas tell them
their peers, so that whoever asks a seed finds the cell.
"""

from collections.abc import Callable

from bluebellyoke.consensus import messages as m
from bluebellyoke.instance import wire as w

__all__ = ["ReplicaDirectory"]

#: Addresses that are kept, at most.
KNOWN_ADDRESSES = 16


class ReplicaDirectory:
    """Addresses of replicas, and answers for instances that hold no replica.

    Args:
        cell: Name of the cell; messages of other cells are dropped.
        send: Called with the address of a peer and an envelope for it.
    """

    def __init__(self, *, cell: str, send: Callable[[str, m.Envelope], None]) -> None:
        self._cell = cell
        self._send = send
        self._addresses: tuple[str, ...] = ()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of replicas, as the latest of them has told."""
        return self._addresses

    def note(self, addresses: tuple[str, ...]) -> None:
        """Keep the addresses that a replica tells."""
        if addresses:
            self._addresses = addresses[:KNOWN_ADDRESSES]

    def deliver(self, envelope: m.Envelope) -> bool:
        """Take an envelope in place of a replica."""
        if envelope.cell != self._cell:
            return False
        if isinstance(envelope.message, m.PeerList):
            self.note(envelope.message.addresses)
        elif isinstance(envelope.message, m.JoinRequest):
            for address in self._addresses:
                if address != envelope.origin:
                    self._send(address, envelope)
        return True

    def answer(self, send: Callable[[w.FromLeader | None], None]) -> None:
        """Send an instance that looks for the leader on to the replicas."""
        send(w.Redirect("", self._addresses))
        send(None)
