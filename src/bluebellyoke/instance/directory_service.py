"""Replies of an instance without a replica to peers that look for the cell.

A seed may be such an instance. Replicas send it the addresses of the members, and its
own link to the leader receives them too.
"""

from collections.abc import Callable

from bluebellyoke.consensus import messages
from bluebellyoke.instance import wire
from bluebellyoke.instance.directory import ReplicaDirectory

__all__ = ["DirectoryService"]


class DirectoryService:
    """Replies with the known addresses of replicas.

    Args:
        cell: Name of the cell; messages from other cells are dropped.
        own_address: Address of this instance's peer listener.
        directory: Known addresses of replicas.
        send: Called with the address of a peer and an envelope for it.
    """

    def __init__(
        self,
        *,
        cell: str,
        own_address: str,
        directory: ReplicaDirectory,
        send: Callable[[str, messages.Envelope], None],
    ) -> None:
        self._cell = cell
        self._own_address = own_address
        self._directory = directory
        self._send = send

    def receive(self, envelope: messages.Envelope) -> bool:
        """Process an envelope; return False if it belongs to another cell.

        The sender of a join request receives the known addresses and asks there
        itself. A request that instances forwarded could circulate among them.
        """
        if envelope.cell != self._cell:
            return False
        if isinstance(envelope.message, messages.PeerList):
            self._directory.record_peer_list(envelope.message.addresses)
        elif isinstance(envelope.message, messages.JoinRequest):
            self._send_addresses(envelope.origin)
        return True

    def redirect(
        self,
        hello: wire.FromInstance,
        send: Callable[[wire.FromLeader | None], None],
    ) -> None:
        """Redirect an instance that searches for the leader to the known replicas.

        An instance of another cell is not redirected.
        """
        if not isinstance(hello, wire.Hello) or hello.cell == self._cell:
            send(wire.Redirect("", self._directory.replicas))
        send(None)

    def _send_addresses(self, address: str) -> None:
        replicas = self._directory.replicas
        if replicas:
            reply = messages.PeerList(0, replicas)
            envelope = messages.Envelope(self._cell, "", self._own_address, "", reply)
            self._send(address, envelope)
