"""TCP proxy that delays, stalls or resets connections between instances.

Each instance is reached through a port of the proxy. The proxy identifies the source
instance by the process that owns the other end of a connection, so faults can be
injected per pair of instances and per direction.
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
    """Proxy that runs in its own thread until `close` is called.

    Args:
        find_owner: Returns the instance that owns a local port, or None.
    """

    def __init__(self, find_owner: Callable[[int], str | None]) -> None:
        self._find_owner = find_owner
        self._blocked_pairs: set[tuple[str, str]] = set()
        self._delays: dict[tuple[str, str], float] = {}
        self._reset_targets: set[str] = set()
        self._writers: dict[str, set] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add_route(self, name: str, port: int) -> int:
        """Listen on behalf of the instance at `port` and return the proxy's port."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))

        async def serve(reader, writer):
            await self._serve(name, port, reader, writer)

        async def start():
            await asyncio.start_server(serve, sock=listener)

        asyncio.run_coroutine_threadsafe(start(), self._loop).result(5)
        return listener.getsockname()[1]

    # Faults.

    def partition(self, name: str, *, others: list[str] | None = None) -> None:
        """Silently stall all traffic to and from an instance.

        Args:
            name: Instance to partition.
            others: Peers that it is partitioned from; by default all.
        """
        for other in others or ["*"]:
            self._blocked_pairs |= {(name, other), (other, name)}

    def partition_one_way(self, source: str, target: str) -> None:
        """Silently stall all traffic from one instance to another."""
        self._blocked_pairs.add((source, target))

    def delay(self, source: str, target: str, seconds: float) -> None:
        """Delay every chunk from one instance to another."""
        self._delays[source, target] = seconds

    def reset_mid_chunk(self, name: str) -> None:
        """Reset the next connections to an instance in the middle of a chunk."""
        self._reset_targets.add(name)

    def heal(self) -> None:
        """End all faults; stalled data is delivered."""
        self._blocked_pairs = set()
        self._delays = {}
        self._reset_targets = set()

    def _is_blocked(self, source: str, target: str) -> bool:
        pairs = {(source, target), (source, "*"), ("*", target)}
        return bool(pairs & self._blocked_pairs)

    # Connections.

    async def _serve(self, target: str, port: int, reader, writer) -> None:
        source = await asyncio.to_thread(
            self._find_owner, writer.get_extra_info("peername")[1]
        )
        source = source or "outside"
        # A partition also stalls new connections.
        while self._is_blocked(source, target) or self._is_blocked(target, source):
            await asyncio.sleep(POLL_S)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(source, target, reader, target_writer),
            self._forward(target, source, target_reader, writer),
        )

    async def _forward(self, source: str, target: str, reader, writer) -> None:
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                if not chunk:
                    break
                delay = self._delays.get((source, target), 0.0)
                if delay:
                    await asyncio.sleep(delay)
                while self._is_blocked(source, target):
                    await asyncio.sleep(POLL_S)
                if target in self._reset_targets and len(chunk) > 1:
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
        """Stop the thread of the proxy."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


def find_socket_inode(port: int) -> str | None:
    """Return the inode of the connected socket with a local loopback port, or None."""
    expected = f"0100007F:{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == expected and fields[3] != "0A":
            return fields[9]
    return None


def owns_socket(pid: int, inode: str | None) -> bool:
    """Return whether a process holds a socket."""
    expected = f"socket:[{inode}]"
    try:
        descriptors = os.listdir(f"/proc/{pid}/fd")
    except OSError:
        return False
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            if os.readlink(f"/proc/{pid}/fd/{descriptor}") == expected:
                return True
    return False
