"""HTTP/1.1 calls with short bodies, on connections that are kept open.

A call is one write, and its response usually one read. The calls to workers are the
leader's largest cost, and a general client spends most of it on streams of body chunks
and on locks that these calls do not need. httptools parses the responses.
"""

import asyncio
import errno
from collections.abc import Iterable
from dataclasses import dataclass

import httptools

from bluebellyoke.addresses import AddressError, split_address
from bluebellyoke.dispatch.ports import NoAnswerError, NotReachedError

__all__ = ["HttpCaller", "HttpResponse"]

#: Timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 0.6

#: Time for which an idle connection is kept, in seconds.
IDLE_TIMEOUT_S = 20.0

#: Maximum size of a response body, in bytes.
MAX_BODY_BYTES = 4 * 1024 * 1024

#: Maximum size of a response's head, and of everything else that is no body, in bytes.
MAX_HEAD_BYTES = 64 * 1024

#: Framing that is allowed for each byte of a chunked body: a chunk of one byte has five
#: more.
FRAMING_PER_BYTE = 8

#: Bytes of incomplete response bodies that all calls of a caller may hold together.
MAX_HELD_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and whole body of a response."""

    status: int
    content: bytes


class _ResponseBudget:
    """Bytes of incomplete response bodies on all connections of a caller.

    Args:
        max_bytes: Maximum number of bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held: dict[_Connection, int] = {}
        self._total = 0

    def hold(self, connection: "_Connection", size: int) -> None:
        """Set what a connection holds; fail the largest response if it is too much."""
        self._total += size - self._held.pop(connection, 0)
        if size:
            self._held[connection] = size
        while self._total > self._max_bytes and self._held:
            largest = max(self._held, key=self._held.__getitem__)
            self._total -= self._held.pop(largest)
            largest.fail("the responses of all calls are too large")


class _Connection(asyncio.Protocol):
    """Connection that carries one call at a time.

    Args:
        budget: Bytes that the responses of all connections may hold.

    Attributes:
        idle_since: Monotonic time of the event loop at which the last call ended.
        is_reusable: Whether the connection can carry another call.
    """

    def __init__(self, budget: _ResponseBudget) -> None:
        self.idle_since = 0.0
        self._budget = budget
        self.is_reusable = True
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[HttpResponse] | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._framing_bytes = 0

    async def send(self, request: bytes) -> HttpResponse:
        """Send a request and wait for its response.

        Raises:
            EOFError: The peer closed the connection before the response was complete.
            ConnectionError: The connection failed before that.
        """
        if not self.is_reusable:
            raise ConnectionResetError("the connection is closed")
        self._response = asyncio.get_running_loop().create_future()
        self._chunks, self._size, self._framing_bytes = [], 0, 0
        self._transport.write(request)
        return await self._response

    def close(self) -> None:
        """Close the connection at once."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str) -> None:
        """Fail the call in flight and close the connection."""
        self._fail(ConnectionResetError(reason))
        self.close()

    def _fail(self, error: Exception) -> None:
        self.is_reusable = False
        self._release()
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)

    def _release(self) -> None:
        self._chunks = []
        self._budget.hold(self, 0)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self._response is None or self._response.done():
            # Nothing was requested, so the next response could be mistaken.
            self.close()
            return
        size_before = self._size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"invalid response: {error}")
            return
        if self._response.done():
            return
        self._framing_bytes += len(data) - (self._size - size_before)
        if self._framing_bytes > MAX_HEAD_BYTES + FRAMING_PER_BYTE * self._size:
            self.fail("the head or the framing of the response is too large")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight."""
        if exc is None:
            self._fail(EOFError("the connection was lost: closed by the peer"))
        else:
            self._fail(ConnectionResetError(f"the connection was lost: {exc}"))

    # Callbacks of the parser.

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._size += len(chunk)
        if self._response.done():
            return
        if self._size > MAX_BODY_BYTES:
            self.fail("the response is too large")
            return
        self._chunks.append(chunk)
        self._budget.hold(self, self._size)

    def on_message_complete(self) -> None:
        """Finish the call."""
        if self._response.done():
            # A second response could be mistaken for that of the next call.
            self.close()
            return
        self.is_reusable = self.is_reusable and self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        self._response.set_result(HttpResponse(status, b"".join(self._chunks)))
        self._release()


class HttpCaller:
    """Makes calls, and keeps idle connections by address.

    Args:
        max_held_bytes: Bytes of incomplete response bodies that all calls may hold
            together; beyond it the largest response fails.
    """

    def __init__(self, *, max_held_bytes: int = MAX_HELD_BYTES) -> None:
        self._budget = _ResponseBudget(max_held_bytes)
        self._idle: dict[str, list[_Connection]] = {}

    async def post(
        self,
        address: str,
        path: str,
        body: bytes,
        headers: Iterable[tuple[str, str]] = (),
        *,
        is_retry: bool = False,
    ) -> HttpResponse:
        """Send a POST request with a JSON body and return the whole response.

        A cancelled call closes its connection, since the response may still arrive, and
        all idle ones to the address: kept connections may go silent together, without
        an error.

        Args:
            address: IP address and port of the peer, `IP:PORT`.
            is_retry: Whether the call follows one that got no response, so that it
                needs a new connection.

        Raises:
            NotReachedError: No connection could be opened, or a header has a line
                break, so nothing was sent.
            NoAnswerError: The connection failed before the response was complete.
        """
        request = _format_request(address, path, body, headers)
        if is_retry:
            self._close_idle(address)
        connection = self._take_idle(address) or await self._connect(address)
        try:
            response = await connection.send(request)
        except EOFError as error:
            raise NoAnswerError(address, str(error), closed_by_peer=True) from error
        except OSError as error:
            raise NoAnswerError(address, str(error)) from error
        except BaseException:
            connection.close()
            self._close_idle(address)
            raise
        self._release(address, connection)
        return response

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self._close_idle(address)

    def _close_idle(self, address: str) -> None:
        for connection in self._idle.pop(address, ()):
            connection.close()

    async def _connect(self, address: str) -> _Connection:
        try:
            host, port = split_address(address)
        except AddressError as error:
            raise NotReachedError(address, refused=False) from error
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._budget), host, port
                )
        except TimeoutError as error:
            raise NotReachedError(address, refused=False) from error
        except OSError as error:
            refused = error.errno == errno.ECONNREFUSED
            raise NotReachedError(address, refused=refused) from error
        return connection

    def _take_idle(self, address: str) -> _Connection | None:
        """Return the connection used last, and close those that are idle for long."""
        connections = self._idle.get(address)
        if not connections:
            return None
        now = asyncio.get_running_loop().time()
        while connections and now - connections[0].idle_since > IDLE_TIMEOUT_S:
            connections.pop(0).close()
        while connections:
            connection = connections.pop()
            if connection.is_reusable:
                return connection
        return None

    def _release(self, address: str, connection: _Connection) -> None:
        if not connection.is_reusable:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(address, []).append(connection)


def _format_request(
    address: str, path: str, body: bytes, headers: Iterable[tuple[str, str]]
) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {address}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if any("\r" in line or "\n" in line for line in lines):
        raise NotReachedError(address, refused=False)
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
