"""Addresses of replicas that an instance has received from replicas.

A seed may be an instance that has no replica and thus does not know the membership.
Replicas send it the addresses of the members, so that an instance that connects to
the seed finds the cell.
"""

from collections.abc import Callable

from bluebellyoke.consensus import messages
from bluebellyoke.instance import wire

__all__ = ["ReplicaDirectory"]

#: Maximum number of addresses kept.
MAX_ADDRESSES = 16


class ReplicaDirectory:
    """Stores addresses of replicas and answers peers if there is no local replica.

    Args:
        cell: Name of the cell; messages from other cells are dropped.
        send: Called with the address of a peer and an envelope for it.
    """

    def __init__(
        self, *, cell: str, send: Callable[[str, messages.Envelope], None]
    ) -> None:
        self._cell = cell
        self._send = send
        self._addresses: tuple[str, ...] = ()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of replicas from the latest update."""
        return self._addresses

    def update(self, addresses: tuple[str, ...]) -> None:
        """Replace the stored addresses, unless the new list is empty."""
        if addresses:
            self._addresses = addresses[:MAX_ADDRESSES]

    def receive(self, envelope: messages.Envelope) -> bool:
        """Process an envelope; return False if it belongs to another cell.

        A join request is forwarded to all known replicas except its sender.
        """
        if envelope.cell != self._cell:
            return False
        if isinstance(envelope.message, messages.PeerList):
            self.update(envelope.message.addresses)
        elif isinstance(envelope.message, messages.JoinRequest):
            for address in self._addresses:
                if address != envelope.origin:
                    self._send(address, envelope)
        return True

    def redirect(self, send: Callable[[wire.FromLeader | None], None]) -> None:
        """Redirect an instance that searches for the leader to the known replicas."""
        send(wire.Redirect("", self._addresses))
        send(None)
