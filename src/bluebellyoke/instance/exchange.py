"""One request and its response on a connection to an upstream.

A connection carries one exchange at a time. It is reused only after a whole response
that belongs to its request; otherwise it is closed. An exchange whose caller has
disconnected continues until the upstream has finished, so that its slot is not given
to another request too early.
"""

import enum
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
import httpcore

from bluebellyoke.cell.state import UpstreamView
from bluebellyoke.instance.connections import ConnectionPool

__all__ = [
    "Exchange",
    "RequestOutcome",
    "UpstreamRequest",
    "UpstreamResponse",
]

#: Time to connect to an upstream, in seconds.
CONNECT_TIMEOUT_S = 1.0

#: Longest response body that is read whole before the caller gets any of it, in
#: bytes.
BUFFERED_RESPONSE_BYTES = 1024 * 1024

#: Chunks of a longer response that are buffered for the caller, at most.
MAX_BUFFERED_CHUNKS = 16

#: Response header in which an upstream may return the id of the request.
REQUEST_HEADER = b"bluebellyoke-request"

#: Response header in which an upstream may say that it did not run the request.
OUTCOME_HEADER = b"bluebellyoke-outcome"

#: Request and response headers that are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


class RequestOutcome(enum.Enum):
    """Whether a request was run, as far as its exchange shows."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class UpstreamRequest:
    """A request as it is sent to an upstream.

    Attributes:
        target: Path and query.
        body: Whole body, or None if `stream` yields it.
        content_length: Declared length of a streamed body in bytes, or None.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | None
    stream: AsyncIterator[bytes] | None = None
    content_length: int | None = None


@dataclass(slots=True)
class UpstreamResponse:
    """Head of an upstream's response, and its body if it was read whole."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None


@dataclass(slots=True)
class Exchange:
    """A request to an upstream and its response.

    Attributes:
        head_ready: Set when `response` holds the head, or when the exchange has failed.
        finished: Set when the upstream has finished with the request.
        outcome: Outcome of the request once `finished` is set.
        error: Reason of a failure, or an empty string.
        chunks: Stream of the body of a long response, or None.
    """

    upstream: UpstreamView
    request: UpstreamRequest
    request_id: bytes
    head_ready: anyio.Event = field(default_factory=anyio.Event)
    finished: anyio.Event = field(default_factory=anyio.Event)
    response: UpstreamResponse | None = None
    outcome: RequestOutcome = RequestOutcome.UNKNOWN
    error: str = ""
    chunks: anyio.abc.ObjectReceiveStream | None = None

    async def run(self, connections: ConnectionPool, timeout_s: float) -> None:
        """Send the request and receive its response.

        Args:
            connections: Pool that the connection comes from.
            timeout_s: Time after which the connection is closed, in seconds.
        """
        connection = None
        try:
            with anyio.fail_after(timeout_s):
                connection = await connections.acquire(
                    self.upstream.address, self.upstream.port
                )
                if await self._send_request(connection):
                    connections.release(
                        self.upstream.address, self.upstream.port, connection
                    )
                    connection = None
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            self._fail(RequestOutcome.NOT_RUN, f"no connection: {error}")
        except TimeoutError:
            self._fail(RequestOutcome.UNKNOWN, "the upstream did not answer in time")
        except Exception as error:
            # httpcore, h11 and the body stream raise many types of errors; after any of
            # them the request may have reached the upstream.
            self._fail(RequestOutcome.UNKNOWN, f"{type(error).__name__}: {error}")
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    await connection.aclose()
            self.head_ready.set()
            self.finished.set()

    def _fail(self, outcome: RequestOutcome, error: str) -> None:
        self.outcome = outcome
        self.error = error

    async def _send_request(self, connection: httpcore.AsyncHTTPConnection) -> bool:
        """Send the request; return whether the connection can be reused."""
        response = await connection.handle_async_request(self._build_request())
        headers = response.headers
        echoed_id = _find_header(headers, REQUEST_HEADER)
        if echoed_id is not None and echoed_id != self.request_id:
            self._fail(RequestOutcome.UNKNOWN, "the answer belongs to another request")
            return False
        length = _find_header(headers, b"content-length")
        if not self._is_framed(response.status, headers, length):
            self._fail(RequestOutcome.UNKNOWN, "the answer does not tell its length")
            return False
        kept = [item for item in headers if item[0].lower() not in HOP_BY_HOP_HEADERS]
        head = UpstreamResponse(response.status, kept, None)
        if length is not None and int(length) <= BUFFERED_RESPONSE_BYTES:
            head.body = await _read_all(response)
            self.response = head
        else:
            await self._stream_response(head, response)
        await response.aclose()
        self.outcome = RequestOutcome.DONE
        if response.status == 503:
            outcome = _find_header(headers, OUTCOME_HEADER)
            if outcome == b"not-run":
                self.outcome = RequestOutcome.NOT_RUN
                self.error = "the upstream refused the request"
        return connection.is_idle()

    def _build_request(self) -> httpcore.Request:
        body = self.request.body
        headers = self.request.headers
        if body is None:
            content = self.request.stream
            if self.request.content_length is not None:
                length = str(self.request.content_length).encode()
                headers = [*headers, (b"content-length", length)]
            else:
                headers = [*headers, (b"transfer-encoding", b"chunked")]
        else:
            content = body
            if body or self.request.method in (b"POST", b"PUT", b"PATCH"):
                length = str(len(body)).encode()
                headers = [*headers, (b"content-length", length)]
        return httpcore.Request(
            method=self.request.method,
            url=httpcore.URL(
                scheme=b"http",
                host=self.upstream.address.encode(),
                port=self.upstream.port,
                target=self.request.target,
            ),
            headers=headers,
            content=content,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
        )

    def _is_framed(
        self, status: int, headers: list[tuple[bytes, bytes]], length: bytes | None
    ) -> bool:
        """Return whether a truncated body would be noticed."""
        if length is not None or self.request.method == b"HEAD":
            return True
        if status in (204, 304):
            return True
        coding = _find_header(headers, b"transfer-encoding") or b""
        return b"chunked" in coding.lower()

    async def _stream_response(
        self, head: UpstreamResponse, response: httpcore.Response
    ) -> None:
        """Pass the chunks on while the caller reads them, and drain the rest."""
        send, self.chunks = anyio.create_memory_object_stream(MAX_BUFFERED_CHUNKS)
        self.response = head
        self.head_ready.set()
        is_reading = True
        with send:
            async for chunk in response.aiter_stream():
                if not is_reading:
                    continue
                try:
                    await send.send(chunk)
                except anyio.BrokenResourceError:
                    is_reading = False


async def _read_all(response: httpcore.Response) -> bytes:
    return b"".join([chunk async for chunk in response.aiter_stream()])


def _find_header(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
