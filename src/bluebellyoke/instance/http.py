"""HTTP interface of an instance, as an ASGI application.

docs/API.md describes every path, header and status code.
"""

import hashlib
import logging
from collections.abc import AsyncIterator, Awaitable, Callable

from returns.pipeline import is_successful

from bluebellyoke.clock import Clock
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance import border
from bluebellyoke.instance.api import Api
from bluebellyoke.instance.asgi import (
    BodyTooLongError,
    CallerLeftError,
    Receive,
    Scope,
    Send,
    read_body,
    send_answer,
)
from bluebellyoke.instance.entry import Entry
from bluebellyoke.instance.exchange import HOP_HEADERS, ExchangeRequest, Fate
from bluebellyoke.instance.requests import CallerRequest, FinalAnswer
from bluebellyoke.routing.decisions import RefusalKind

__all__ = ["HttpInterface"]

logger = logging.getLogger("bluebellyoke.http")

#: Longest body that is held in memory; longer ones are streamed and never retried.
HELD_BODY_BYTES = 1024 * 1024

#: Longest body of the project's own paths.
API_BODY_BYTES = 4 * 1024 * 1024

#: Deadline of a request to an unknown service, in seconds.
DEFAULT_DEADLINE_S = 10.0

SERVICE_PREFIX = "/services/"

#: Status codes of refusals that no other instance would answer differently.
_FIXED_STATUS = {
    RefusalKind.UNKNOWN_SERVICE: 404,
    RefusalKind.UNKNOWN_WORKSPACE: 403,
    RefusalKind.QUEUE_FULL: 429,
    "key-reused": 422,
    "body-too-long": 413,
    "bad-deadline": 400,
}

#: Codes of unknown outcomes that only time has run out for.
_TIMEOUT_CODES = frozenset({"timeout", "in-progress", "outcome-unknown"})


class HttpInterface:
    """The ASGI application.

    Args:
        entry: Routing of callers' requests.
        api: The project's own paths.
        clock: Source of time.
        longest_deadline_s: Longest deadline that a caller may ask for.
    """

    def __init__(
        self,
        *,
        entry: Entry,
        api: Api,
        clock: Clock,
        longest_deadline_s: float,
    ) -> None:
        self._entry = entry
        self._api = api
        self._clock = clock
        self._longest_deadline_s = longest_deadline_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        try:
            if path.startswith(SERVICE_PREFIX):
                await self._route_safely(scope, receive, send)
            else:
                await self._serve_api(path, scope, receive, send)
        except CallerLeftError:
            return

    # Callers' requests.

    async def _route_safely(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Route a request; if the instance itself fails, say that it may have run."""
        has_begun = False

        async def send_noting(message: dict) -> None:
            nonlocal has_begun
            has_begun = True
            await send(message)

        try:
            await self._route(scope, receive, send_noting)
        except CallerLeftError:
            raise
        except Exception:
            logger.exception("http: failed to route a request")
            if has_begun:
                raise
            answer = FinalAnswer(Fate.UNKNOWN, "internal", "the instance failed")
            await self._send_final(answer, send)

    async def _route(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = dict(scope["headers"])
        service, _, rest = scope["path"][len(SERVICE_PREFIX) :].partition("/")
        arrived = self._clock.monotonic()
        deadline = border.parse_deadline(
            headers.get(b"bluebellyoke-deadline-ms"),
            self._find_default_deadline(service),
            self._longest_deadline_s,
        )
        if not is_successful(deadline):
            reason = str(deadline.failure())
            answer = FinalAnswer(Fate.NOT_RUN, "bad-deadline", reason)
            await self._send_final(answer, send)
            return
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        body, stream = await self._take_body(headers, receive)
        if body is None and key:
            answer = FinalAnswer(
                Fate.NOT_RUN,
                "body-too-long",
                f"with Idempotency-Key a body has at most {HELD_BODY_BYTES} bytes",
            )
            await self._send_final(answer, send)
            return
        length = headers.get(b"content-length")
        target = _build_target(scope, service, rest)
        request = CallerRequest(
            service=service,
            workspace=headers.get(b"bluebellyoke-workspace", b"").decode("latin-1"),
            method=scope["method"],
            exchange=ExchangeRequest(
                method=scope["method"].encode(),
                target=target,
                headers=_forward_headers(scope["headers"]),
                body=body,
                stream=stream,
                content_length=int(length) if length else None,
            ),
            arrived=arrived,
            deadline=arrived + deadline.unwrap(),
            key=key,
            digest=_digest_request(scope["method"], target, body) if key else "",
            replayable=body is not None,
            wait_gone=_watch_caller(receive) if body is not None else None,
        )
        answer = await self._entry.handle(request)
        await self._send_final(answer, send, is_head=scope["method"] == "HEAD")

    def _find_default_deadline(self, service: str) -> float:
        spec = self._entry.router.view.services.get(service)
        return spec.deadline_s if spec is not None else DEFAULT_DEADLINE_S

    async def _take_body(
        self, headers: dict[bytes, bytes], receive: Receive
    ) -> tuple[bytes | None, AsyncIterator[bytes] | None]:
        """Return the whole body, or a stream of a long one."""
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerLeftError()
            chunk = message.get("body", b"")
            chunks.append(chunk)
            size += len(chunk)
            if not message.get("more_body"):
                return b"".join(chunks), None
            if size > HELD_BODY_BYTES:
                return None, _stream_body(chunks, receive)

    async def _send_final(
        self, answer: FinalAnswer, send: Send, *, is_head: bool = False
    ) -> None:
        if answer.fate is Fate.DONE:
            await self._send_done(answer, send, is_head=is_head)
            return
        if answer.fate is Fate.UNKNOWN:
            status = 504 if answer.code in _TIMEOUT_CODES else 502
        else:
            status = _FIXED_STATUS.get(answer.code, 503)
        body = {
            "outcome": answer.fate.value,
            "code": answer.code,
            "reason": answer.reason,
        }
        await send_answer(
            send,
            status,
            body,
            headers=((b"bluebellyoke-outcome", answer.fate.value.encode()),),
            retry_after_s=answer.retry_after_s,
        )

    async def _send_done(
        self, answer: FinalAnswer, send: Send, *, is_head: bool
    ) -> None:
        head = answer.answer
        headers = [*head.headers, (b"bluebellyoke-outcome", b"done")]
        if answer.replayed:
            headers.append((b"bluebellyoke-replayed", b"true"))
        await send(
            {"type": "http.response.start", "status": head.status, "headers": headers}
        )
        if answer.exchange is None:
            body = b"" if is_head else head.body or b""
            await send({"type": "http.response.body", "body": body})
            return
        exchange = answer.exchange
        async with exchange.chunks as chunks:
            async for chunk in chunks:
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
        await exchange.finished.wait()
        if exchange.fate is not Fate.DONE:
            # Ending without the last chunk shows the caller that the answer is cut.
            raise TruncatedAnswerError()
        await send({"type": "http.response.body", "body": b""})

    # The project's own paths.

    async def _serve_api(
        self, path: str, scope: Scope, receive: Receive, send: Send
    ) -> None:
        method = scope["method"]
        parts = tuple(part for part in path.split("/") if part)
        try:
            body = await read_body(receive, API_BODY_BYTES)
            status, value = await self._api.answer(method, parts, body)
        except BodyTooLongError as error:
            status, value = 413, {"code": "body-too-long", "reason": str(error)}
        except BluebellyokeError as error:
            status = 503
            value = {"code": "unavailable", "reason": str(error)}
        await send_answer(send, status, value)


class TruncatedAnswerError(Exception):
    """The upstream's answer broke off after its head was passed on."""


def _watch_caller(receive: Receive) -> Callable[[], Awaitable[None]]:
    """Return a function that waits until the caller has closed its connection."""

    async def wait_gone() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    return wait_gone


def _build_target(scope: Scope, service: str, rest: str) -> bytes:
    """Return path and query as the upstream sees them."""
    raw = scope.get("raw_path") or scope["path"].encode()
    path = raw.split(b"?", 1)[0]
    prefix = len(SERVICE_PREFIX) + len(service.encode())
    target = path[prefix:] or b"/"
    query = scope.get("query_string", b"")
    return target + (b"?" + query if query else b"")


def _forward_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers without the body's length."""
    listed = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_HEADERS | listed | {b"content-length"}
    return [item for item in headers if item[0].lower() not in dropped]


def _digest_request(method: str, target: bytes, body: bytes | None) -> str:
    digest = hashlib.sha256(method.encode())
    digest.update(b"\0" + target + b"\0" + (body or b""))
    return digest.hexdigest()[:32]


async def _stream_body(chunks: list[bytes], receive: Receive) -> AsyncIterator[bytes]:
    """Yield the chunks that were read and then the rest of the body."""
    for chunk in chunks:
        yield chunk
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeftError()
        yield message.get("body", b"")
        if not message.get("more_body"):
            return
