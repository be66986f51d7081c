"""TCP forwarder in front of a worker, which can lose connections that the worker keeps.

It stands for anything between a scheduler and a worker that closes, refuses or stalls
connections while the worker itself runs on.
"""

import asyncio
import contextlib
import socket
import struct
import threading

from standins.cell import find_ports

__all__ = ["Forwarder"]

CHUNK_BYTES = 64 * 1024
COMMAND_TIMEOUT_S = 5.0

#: Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Forwarder:
    """Forwarder that runs in its own thread until `close` is called.

    Attributes:
        address: IP address and port at which it listens.
        target: IP address and port to which new connections are forwarded.
    """

    def __init__(self) -> None:
        self._port = find_ports(1)[0]
        self.address = f"127.0.0.1:{self._port}"
        self.target = ""
        self._server: asyncio.Server | None = None
        self._clients: set[asyncio.StreamWriter] = set()
        self._is_forwarding = asyncio.Event()
        self._is_forwarding.set()
        self._is_delivering = asyncio.Event()
        self._is_delivering.set()
        self._cut_off: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def accept(self) -> None:
        """Accept connections, from now on or again."""
        self._run(self._listen())

    def refuse(self, *, reset: bool = False) -> int:
        """Refuse new connections and close the open ones.

        Args:
            reset: Whether they are reset instead of being closed in order.

        Returns:
            Number of connections that were open.
        """
        return self._run(self._stop_listening(reset))

    def stall(self) -> None:
        """Keep all connections and accept new ones, but forward nothing."""
        self._loop.call_soon_threadsafe(self._is_forwarding.clear)

    def resume(self) -> None:
        """Forward again, beginning with what has arrived meanwhile."""
        self._loop.call_soon_threadsafe(self._is_forwarding.set)

    def cut_off(self) -> None:
        """Lose what the open connections send from now on, and accept new ones.

        Nothing that is sent meanwhile arrives later, in either direction, and nobody
        is told that a connection has ended.
        """
        self._run(self._cut_off_clients())

    def reconnect(self) -> None:
        """Close the connections that were cut off, and forward new ones."""
        self._run(self._close_cut_off())

    def redirect(self, target: str) -> None:
        """Close all connections in order and forward new ones to another address."""
        self.target = target
        self._run(self._close_clients(reset=False))

    def close(self) -> None:
        """Close all connections and stop the thread."""
        self.refuse()
        self._run(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(COMMAND_TIMEOUT_S)

    def _run(self, command):
        future = asyncio.run_coroutine_threadsafe(command, self._loop)
        return future.result(COMMAND_TIMEOUT_S)

    async def _listen(self) -> None:
        if self._server is None:
            self._server = await asyncio.start_server(
                self._serve, "127.0.0.1", self._port
            )

    async def _stop_listening(self, reset: bool) -> int:
        if self._server is not None:
            self._server.close()
            self._server = None
        return await self._close_clients(reset)

    async def _close_clients(self, reset: bool) -> int:
        clients, self._clients = self._clients, set()
        for writer in clients:
            if reset:
                connection = writer.get_extra_info("socket")
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                writer.transport.abort()
            else:
                writer.close()
        return len(clients)

    async def _cut_off_clients(self) -> None:
        self._is_delivering.clear()
        self._cut_off |= self._clients
        self._clients = set()

    async def _close_cut_off(self) -> None:
        for writer in self._cut_off:
            writer.close()
        self._is_delivering.set()

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        if not self._is_delivering.is_set():
            self._cut_off.add(writer)
            await self._is_delivering.wait()
            self._cut_off.discard(writer)
            return
        self._clients.add(writer)
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, port)
        except OSError:
            self._clients.discard(writer)
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, target_writer, writer),
            self._forward(target_reader, writer, writer),
        )
        self._clients.discard(writer)
        self._cut_off.discard(writer)

    async def _forward(self, reader, writer, client) -> None:
        """Forward one direction of the connection with a client."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._is_forwarding.wait()
                if client in self._cut_off:
                    continue
                writer.write(chunk)
                await writer.drain()
        # A connection that ends during a stall or while it is cut off is kept open on
        # the other side.
        await self._is_forwarding.wait()
        await self._is_delivering.wait()
        writer.close()
