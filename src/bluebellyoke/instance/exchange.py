"""One request and its answer on a connection to an upstream.

A connection belongs to one slot use at a time. It is used again only after a whole
answer that belongs to its own request; otherwise it is closed. An exchange whose
caller has left goes on until the upstream has finished, so that the slot is not
given to another request too early.
"""

import enum
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
import httpcore

from bluebellyoke.cell.state import UpstreamView
from bluebellyoke.instance.connections import ConnectionStore

__all__ = [
    "Answer",
    "Exchange",
    "ExchangeRequest",
    "Fate",
]

#: Time to connect to an upstream, in seconds.
CONNECT_TIMEOUT_S = 1.0

#: Longest answer that is checked as a whole before the caller sees any of it.
WHOLE_ANSWER_BYTES = 1024 * 1024

#: Chunks of a longer answer that wait for the caller.
STREAMED_CHUNKS = 16

#: Header in which an upstream may return the number of the request it answers.
REQUEST_HEADER = b"bluebellyoke-request"

#: Header in which an upstream may say that it did not run a request.
OUTCOME_HEADER = b"bluebellyoke-outcome"

HOP_HEADERS = frozenset(
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


class Fate(enum.Enum):
    """What is known of a request after its exchange."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class ExchangeRequest:
    """A request as it goes to an upstream.

    Attributes:
        body: Whole body, or None if `stream` yields it.
        content_length: Announced length of a streamed body, or None.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes | None
    stream: AsyncIterator[bytes] | None = None
    content_length: int | None = None


@dataclass(slots=True)
class Answer:
    """Head of an upstream's answer, and its body if it was collected."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None


@dataclass(slots=True)
class Exchange:
    """A request that is being sent and answered.

    Attributes:
        head: Set when `answer` holds the head, or when the exchange has failed.
        finished: Set when the upstream has finished with the request.
        fate: What is known of the request once `finished` is set.
    """

    target: UpstreamView
    request: ExchangeRequest
    number: bytes
    head: anyio.Event = field(default_factory=anyio.Event)
    finished: anyio.Event = field(default_factory=anyio.Event)
    answer: Answer | None = None
    fate: Fate = Fate.UNKNOWN
    error: str = ""
    chunks: anyio.abc.ObjectReceiveStream | None = None

    async def run(self, connections: ConnectionStore, limit_s: float) -> None:
        """Send the request and take its answer.

        Args:
            connections: Source of the connection.
            limit_s: Time after which the connection is closed, in seconds.
        """
        connection = None
        try:
            with anyio.fail_after(limit_s):
                connection = await connections.take(
                    self.target.address, self.target.port
                )
                if await self._converse(connection):
                    connections.put(self.target.address, self.target.port, connection)
                    connection = None
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            self._fail(Fate.NOT_RUN, f"no connection: {error}")
        except TimeoutError:
            self._fail(Fate.UNKNOWN, "the upstream did not answer in time")
        except Exception as error:
            # httpcore, h11 and the body stream raise many kinds; whichever it was,
            # the request may have reached the upstream.
            self._fail(Fate.UNKNOWN, f"{type(error).__name__}: {error}")
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    await connection.aclose()
            self.head.set()
            self.finished.set()

    def _fail(self, fate: Fate, error: str) -> None:
        self.fate = fate
        self.error = error

    async def _converse(self, connection: httpcore.AsyncHTTPConnection) -> bool:
        """Exchange one request and answer; return whether to keep the connection."""
        response = await connection.handle_async_request(self._build_request())
        headers = response.headers
        named = _find_header(headers, REQUEST_HEADER)
        if named is not None and named != self.number:
            self._fail(Fate.UNKNOWN, "the answer belongs to another request")
            return False
        length = _find_header(headers, b"content-length")
        if not self._is_framed(response.status, headers, length):
            self._fail(Fate.UNKNOWN, "the answer does not tell its length")
            return False
        kept = [item for item in headers if item[0].lower() not in HOP_HEADERS]
        answer = Answer(response.status, kept, None)
        if length is not None and int(length) <= WHOLE_ANSWER_BYTES:
            answer.body = await _read_all(response)
            self.answer = answer
        else:
            await self._pass_on(answer, response)
        await response.aclose()
        self.fate = Fate.DONE
        if response.status == 503:
            outcome = _find_header(headers, OUTCOME_HEADER)
            if outcome == b"not-run":
                self.fate = Fate.NOT_RUN
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
                host=self.target.address.encode(),
                port=self.target.port,
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

    async def _pass_on(self, answer: Answer, response: httpcore.Response) -> None:
        """Hand the chunks to the caller while it listens, and drain the rest."""
        send, self.chunks = anyio.create_memory_object_stream(STREAMED_CHUNKS)
        self.answer = answer
        self.head.set()
        listening = True
        with send:
            async for chunk in response.aiter_stream():
                if not listening:
                    continue
                try:
                    await send.send(chunk)
                except anyio.BrokenResourceError:
                    listening = False


async def _read_all(response: httpcore.Response) -> bytes:
    return b"".join([chunk async for chunk in response.aiter_stream()])


def _find_header(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
