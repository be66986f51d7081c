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
MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and whole body of a response."""

    status: int
    content: bytes


class _Connection(asyncio.Protocol):
    """Connection that carries one call at a time.

    Attributes:
        idle_since: Monotonic time of the event loop at which the last call ended.
        is_reusable: Whether the connection can carry another call.
    """

    def __init__(self) -> None:
        self.idle_since = 0.0
        self.is_reusable = True
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[HttpResponse] | None = None
        self._chunks: list[bytes] = []
        self._size = 0

    async def send(self, request: bytes) -> HttpResponse:
        """Send a request and wait for its response.

        Raises:
            ConnectionError: The connection failed before the response was complete.
        """
        if not self.is_reusable:
            raise ConnectionResetError("the connection is closed")
        self._response = asyncio.get_running_loop().create_future()
        self._chunks, self._size = [], 0
        self._transport.write(request)
        return await self._response

    def close(self) -> None:
        """Close the connection at once."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        self.is_reusable = False
        if self._response is not None and not self._response.done():
            self._response.set_exception(ConnectionResetError(reason))

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
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"invalid response: {error}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in flight."""
        self._fail(f"the connection was lost: {exc or 'closed by the peer'}")

    # Callbacks of the parser.

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._size += len(chunk)
        if self._size > MAX_BODY_BYTES:
            self._fail("the response is too large")
            self.close()
            return
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Finish the call."""
        if self._response.done():
            # A second response could be mistaken for that of the next call.
            self.close()
            return
        self.is_reusable = self.is_reusable and self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        self._response.set_result(HttpResponse(status, b"".join(self._chunks)))


class HttpCaller:
    """Makes calls, and keeps idle connections by address."""

    def __init__(self) -> None:
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
                _, connection = await loop.create_connection(_Connection, host, port)
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
