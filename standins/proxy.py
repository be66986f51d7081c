"""A TCP proxy that delays, stalls or resets what passes between instances.

Each instance is reached through a port of the proxy. The proxy learns the sending
instance from the process that owns the other end of a connection, so a fault can be
set for a pair and for one direction.
"""

import asyncio
import contextlib
import os
import socket
import threading
from collections.abc import Callable
from pathlib import Path

CHUNK_BYTES = 64 * 1024
POLL_S = 0.02


class FaultProxy:
    """Runs in a thread of its own until `close`.

    Args:
        find_owner: Returns the instance that owns a local port, or None.
    """

    def __init__(self, find_owner: Callable[[int], str | None]) -> None:
        self._find_owner = find_owner
        self._stalled: set[tuple[str, str]] = set()
        self._delays: dict[tuple[str, str], float] = {}
        self._halved: set[str] = set()
        self._writers: dict[str, set] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add_route(self, name: str, port: int) -> int:
        """Listen on behalf of an instance and return the port."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))

        async def serve(reader, writer):
            await self._serve(name, port, reader, writer)

        async def start():
            await asyncio.start_server(serve, sock=listener)

        asyncio.run_coroutine_threadsafe(start(), self._loop).result(5)
        return listener.getsockname()[1]

    # Faults.

    def cut(self, name: str, *, others: list[str] | None = None) -> None:
        """Silently stall everything to and from an instance."""
        for other in others or ["*"]:
            self._stalled |= {(name, other), (other, name)}

    def cut_one_way(self, source: str, target: str) -> None:
        """Silently stall everything from one instance to another."""
        self._stalled.add((source, target))

    def delay(self, source: str, target: str, seconds: float) -> None:
        """Delay every chunk from one instance to another."""
        self._delays[source, target] = seconds

    def break_in_half(self, name: str) -> None:
        """Reset the next connections to an instance in the middle of a chunk."""
        self._halved.add(name)

    def heal(self) -> None:
        """End all faults; what was stalled arrives late."""
        self._stalled = set()
        self._delays = {}
        self._halved = set()

    def _is_stalled(self, source: str, target: str) -> bool:
        pairs = {(source, target), (source, "*"), ("*", target)}
        return bool(pairs & self._stalled)

    # Connections.

    async def _serve(self, target: str, port: int, reader, writer) -> None:
        source = await asyncio.to_thread(
            self._find_owner, writer.get_extra_info("peername")[1]
        )
        source = source or "outside"
        # A cut also holds back new connections.
        while self._is_stalled(source, target) or self._is_stalled(target, source):
            await asyncio.sleep(POLL_S)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(source, target, reader, far_writer),
            self._pump(target, source, far_reader, writer),
        )

    async def _pump(self, source: str, target: str, reader, writer) -> None:
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                if not chunk:
                    break
                delay = self._delays.get((source, target), 0.0)
                if delay:
                    await asyncio.sleep(delay)
                while self._is_stalled(source, target):
                    await asyncio.sleep(POLL_S)
                if target in self._halved and len(chunk) > 1:
                    writer.write(chunk[: len(chunk) // 2])
                    await writer.drain()
                    writer.transport.abort()
                    break
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def close(self) -> None:
        """Stop the proxy."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


def find_socket_inode(port: int) -> str | None:
    """Return the inode of the socket that has a local port on loopback."""
    wanted = f"0100007F:{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == wanted and fields[3] != "0A":
            return fields[9]
    return None


def owns_socket(pid: int, inode: str | None) -> bool:
    """Return whether a process holds a socket."""
    wanted = f"socket:[{inode}]"
    try:
        names = os.listdir(f"/proc/{pid}/fd")
    except OSError:
        return False
    for name in names:
        with contextlib.suppress(OSError):
            if os.readlink(f"/proc/{pid}/fd/{name}") == wanted:
                return True
    return False
