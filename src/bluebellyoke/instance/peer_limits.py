"""Limits on the connections to the listener for other instances.

grpclib takes a message of any announced size and any number of connections. Clients may
reach the listener as well.
"""

import asyncio
import functools
from collections.abc import Callable

from grpclib.exceptions import ProtocolError
from grpclib.protocol import Buffer, H2Protocol, Stream
from grpclib.server import Server

from bluebellyoke.instance.connection_limits import Refusal
from bluebellyoke.instance.connection_table import ConnectionTable

__all__ = ["BoundedBuffer", "PeerBudget", "PeerConnection", "PeerServer"]

#: Maximum size of a message, in bytes. A batch has at most 64 messages of the replicas,
#: which carry at most 512 KiB of entries each.
MAX_MESSAGE_BYTES = 40 * 1024 * 1024

#: Maximum size of what a peer does not read, in bytes. Streams wait from 64 KiB on, so
#: the rest are acknowledgements of control frames.
MAX_UNSENT_BYTES = 1024 * 1024


class PeerConnection:
    """What the budget knows of a connection.

    Attributes:
        address: IP address of the peer.
        close: Closes the connection.
        held_bytes: Bytes of incomplete messages.
    """

    def __init__(self, address: str, close: Callable[[], None]) -> None:
        self.address = address
        self.close = close
        self.held_bytes = 0


class PeerBudget:
    """Connections of peers, and the bytes of their incomplete messages.

    Args:
        table: Connections of clients, which make room for those of peers.
        report: Called with each refusal and the address of its peer.
    """

    def __init__(
        self, table: ConnectionTable, report: Callable[[Refusal, str], None]
    ) -> None:
        self._table = table
        self._report = report
        self._connections: dict[PeerConnection, None] = {}
        self._unused: dict[PeerConnection, None] = {}
        self._held_bytes = 0

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def first_stream_timeout_s(self) -> float:
        """Time from the opening of a connection to its first stream, in seconds."""
        return self._table.limits.head_timeout_s

    def add(self, connection: PeerConnection, descriptor: int) -> bool:
        """Add a connection; return whether it may stay.

        The oldest connection without a stream makes room.
        """
        is_full = len(self._connections) >= self._table.limits.peer_connections
        if is_full and self._unused:
            self._close(next(iter(self._unused)), Refusal.CONNECTIONS)
            is_full = False
        if is_full or not self._table.make_room(descriptor):
            self._report(Refusal.CONNECTIONS, connection.address)
            return False
        self._connections[connection] = self._unused[connection] = None
        return True

    def set_used(self, connection: PeerConnection) -> None:
        """Note that a connection has a stream."""
        self._unused.pop(connection, None)

    def close_unused(self, connection: PeerConnection) -> None:
        """Close a connection unless it has a stream."""
        if connection in self._unused:
            self._close(connection, Refusal.HEAD_TIMEOUT)

    def close_unread(self, connection: PeerConnection) -> None:
        """Close a connection whose peer reads nothing."""
        self._close(connection, Refusal.UNREAD_REPLY)

    def remove(self, connection: PeerConnection) -> None:
        """Forget a connection."""
        if connection in self._connections:
            self.hold(connection, -connection.held_bytes)
            del self._connections[connection]
            self._unused.pop(connection, None)

    def hold(self, connection: PeerConnection, delta: int) -> None:
        """Change what a connection holds.

        If several connections hold too much together, the largest is closed. One alone
        may have a whole message, since its peer would send it again for ever.
        """
        if connection not in self._connections:
            return
        connection.held_bytes += delta
        self._held_bytes += delta
        while self._held_bytes > self._table.limits.held_bytes:
            holders = [item for item in self._connections if item.held_bytes]
            if len(holders) < 2:
                return
            largest = max(holders, key=lambda item: item.held_bytes)
            self._close(largest, Refusal.MEMORY)

    def _close(self, connection: PeerConnection, refusal: Refusal) -> None:
        self.remove(connection)
        self._report(refusal, connection.address)
        connection.close()


class BoundedBuffer(Buffer):
    """Buffer of a stream that counts its bytes and bounds its messages.

    Args:
        ack: Called with the number of bytes that have been read.
        hold: Called with each change of the number of bytes held.
    """

    def __init__(self, ack: Callable[[int], None], hold: Callable[[int], None]) -> None:
        super().__init__(ack)
        self._hold = hold
        self._held_bytes = 0

    def add(self, data: bytes, ack_size: int) -> None:
        """Add received bytes."""
        super().add(data, ack_size)
        self._change(len(data))

    async def read(self, size: int) -> bytes:
        """Return the next bytes of a message.

        Raises:
            ProtocolError: The message is too large.
        """
        if size > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a message of {size} bytes is too large")
        data = await super().read(size)
        self._change(-len(data))
        return data

    def unacked_size(self) -> int:
        """Drop all bytes at the end of the stream; return how many were unread."""
        self._change(-self._held_bytes)
        return super().unacked_size()

    def _change(self, delta: int) -> None:
        self._held_bytes += delta
        self._hold(delta)


class _PeerProtocol(H2Protocol):
    """Connection of a peer, within limits.

    Args:
        budget: Connections of all peers.
        **options: Arguments of grpclib's protocol.
    """

    def __init__(self, *, budget: PeerBudget, **options) -> None:
        super().__init__(**options)
        self._budget = budget
        self._record: PeerConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Admit the connection, or close it if there are too many."""
        super().connection_made(transport)
        self._transport = transport
        self._create_stream = self.connection.create_stream
        self.connection.create_stream = self._create_bounded_stream
        peer = transport.get_extra_info("peername") or ("",)
        self._record = PeerConnection(peer[0], transport.abort)
        descriptor = transport.get_extra_info("socket").fileno()
        if not self._budget.add(self._record, descriptor):
            transport.abort()
            return
        self._timer = asyncio.get_running_loop().call_later(
            self._budget.first_stream_timeout_s,
            self._budget.close_unused,
            self._record,
        )

    def data_received(self, data: bytes) -> None:
        """Process what was read."""
        if self._transport.is_closing():
            return
        super().data_received(data)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._budget.close_unread(self._record)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        super().connection_lost(exc)
        self._budget.remove(self._record)
        if self._timer is not None:
            self._timer.cancel()

    def _create_bounded_stream(self, **options) -> Stream:
        self._budget.set_used(self._record)
        stream = self._create_stream(**options)
        stream.buffer = BoundedBuffer(
            functools.partial(self.connection.ack, stream.id),
            lambda delta: self._budget.hold(self._record, delta),
        )
        return stream


class PeerServer(Server):
    """gRPC server whose connections are within limits.

    Args:
        handlers: Services.
        budget: Connections of all peers.
        **options: Further arguments of grpclib's server.
    """

    def __init__(self, handlers, *, budget: PeerBudget, **options) -> None:
        super().__init__(handlers, **options)
        self._budget = budget

    def _protocol_factory(self) -> H2Protocol:
        unlimited = super()._protocol_factory()
        return _PeerProtocol(
            budget=self._budget,
            handler=unlimited.handler,
            config=unlimited.config,
            h2_config=unlimited.h2_config,
        )
