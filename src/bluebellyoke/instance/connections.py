"""Idle HTTP connections to upstreams and workers.

A connection belongs to one request at a time. httpcore's own pool looks at every
connection it holds for each request, which costs a system call apiece.
"""

from collections.abc import Iterable

import httpcore

__all__ = ["ConnectionStore"]

#: Time for which an idle connection is kept, in seconds.
IDLE_S = 60.0


class ConnectionStore:
    """Idle connections by address.

    Args:
        idle_s: Time for which an idle connection is kept, in seconds.
    """

    def __init__(self, *, idle_s: float = IDLE_S) -> None:
        self._idle_s = idle_s
        self._idle: dict[tuple[str, int], list[httpcore.AsyncHTTPConnection]] = {}

    async def take(self, address: str, port: int) -> httpcore.AsyncHTTPConnection:
        """Return an idle live connection, or a new one."""
        row = self._idle.get((address, port), [])
        while row:
            connection = row.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await connection.aclose()
        origin = httpcore.Origin(b"http", address.encode(), port)
        return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=self._idle_s)

    def put(
        self, address: str, port: int, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        """Keep a connection for the next request to the same address."""
        self._idle.setdefault((address, port), []).append(connection)

    async def close(self, keep: Iterable[tuple[str, int]] = ()) -> None:
        """Close the idle connections to all addresses but some."""
        wanted = set(keep)
        for address in [x for x in self._idle if x not in wanted]:
            for connection in self._idle.pop(address):
                await connection.aclose()
