"""Pool of idle HTTP connections to upstreams and workers.

A connection serves one request at a time. httpcore's own pool checks all of its
connections on each request, at the cost of one system call per connection.
"""

from collections.abc import Iterable

import httpcore

__all__ = ["ConnectionPool"]

#: Time for which an idle connection is kept, in seconds.
IDLE_TIMEOUT_S = 60.0


class ConnectionPool:
    """Idle connections by address.

    Args:
        idle_timeout_s: Time for which an idle connection is kept, in seconds.
    """

    def __init__(self, *, idle_timeout_s: float = IDLE_TIMEOUT_S) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._idle: dict[tuple[str, int], list[httpcore.AsyncHTTPConnection]] = {}

    async def acquire(self, address: str, port: int) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection that is still open, or a new one."""
        connections = self._idle.get((address, port), [])
        while connections:
            connection = connections.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await connection.aclose()
        origin = httpcore.Origin(b"http", address.encode(), port)
        return httpcore.AsyncHTTPConnection(
            origin, keepalive_expiry=self._idle_timeout_s
        )

    def release(
        self, address: str, port: int, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        """Return a connection to the pool, for the next request to its address."""
        self._idle.setdefault((address, port), []).append(connection)

    async def close(self, keep: Iterable[tuple[str, int]] = ()) -> None:
        """Close the idle connections, except those to the addresses in `keep`."""
        kept = set(keep)
        for address in [x for x in self._idle if x not in kept]:
            for connection in self._idle.pop(address):
                await connection.aclose()
