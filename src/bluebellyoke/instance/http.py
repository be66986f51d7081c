"""HTTP interface of an instance, as an ASGI application.

docs/API.md describes every path, header and status code.
"""

import hashlib
import logging
from collections.abc import AsyncIterator, Awaitable, Callable

from returns.pipeline import is_successful

from bluebellyoke.clock import Clock
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance import bodies
from bluebellyoke.instance.api import Api
from bluebellyoke.instance.asgi import (
    BodyTooLongError,
    CallerLeftError,
    Receive,
    Scope,
    Send,
    read_body,
    send_response,
)
from bluebellyoke.instance.connection_limits import BodyLimits, ListenerLimits
from bluebellyoke.instance.exchange import (
    HOP_BY_HOP_HEADERS,
    RequestOutcome,
    UpstreamRequest,
)
from bluebellyoke.instance.proxy import RequestProxy
from bluebellyoke.instance.requests import CallerRequest, RequestResult
from bluebellyoke.routing.decisions import RefusalKind

__all__ = ["BODY_LIMITS", "HttpInterface"]

logger = logging.getLogger("bluebellyoke.http")

#: Longest request body that is buffered, in bytes; longer ones are streamed and never
#: retried.
BUFFERED_BODY_BYTES = 1024 * 1024

#: Longest request body on the API paths, in bytes.
API_BODY_BYTES = 4 * 1024 * 1024

#: Deadline of a request to an unknown service, in seconds.
DEFAULT_DEADLINE_S = 10.0

SERVICE_PREFIX = "/services/"

#: Limits on the bodies of both kinds of paths.
BODY_LIMITS = ListenerLimits(
    BodyLimits(API_BODY_BYTES, API_BODY_BYTES),
    by_prefix=((SERVICE_PREFIX.encode(), BodyLimits(None, BUFFERED_BODY_BYTES)),),
)

#: Status codes of refusals that do not depend on the instance; all others get 503.
_REFUSAL_STATUS = {
    RefusalKind.UNKNOWN_SERVICE: 404,
    RefusalKind.UNKNOWN_WORKSPACE: 403,
    RefusalKind.QUEUE_FULL: 429,
    "key-reused": 422,
    "body-too-long": 413,
    "bad-deadline": 400,
}

#: Codes of unknown outcomes that are reported as a gateway timeout.
_TIMEOUT_CODES = frozenset({"timeout", "in-progress", "outcome-unknown"})


class HttpInterface:
    """The ASGI application.

    Args:
        proxy: Sends callers' requests to upstreams.
        api: Handles the API paths.
        clock: Source of time.
        longest_deadline_s: Longest deadline that a caller may set, in seconds.
    """

    def __init__(
        self,
        *,
        proxy: RequestProxy,
        api: Api,
        clock: Clock,
        longest_deadline_s: float,
    ) -> None:
        self._proxy = proxy
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
                await self._route_or_report_failure(scope, receive, send)
            else:
                await self._handle_api(path, scope, receive, send)
        except CallerLeftError:
            return

    # Callers' requests.

    async def _route_or_report_failure(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Route a request; report an unknown outcome if the instance itself fails."""
        has_begun = False

        async def send_and_track(message: dict) -> None:
            nonlocal has_begun
            has_begun = True
            await send(message)

        try:
            await self._route(scope, receive, send_and_track)
        except CallerLeftError:
            raise
        except Exception:
            logger.exception("http: failed to route a request")
            if has_begun:
                raise
            result = RequestResult(
                RequestOutcome.UNKNOWN, "internal", "the instance failed"
            )
            await self._send_result(result, send)

    async def _route(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = dict(scope["headers"])
        service, _, rest = scope["path"][len(SERVICE_PREFIX) :].partition("/")
        arrived_at = self._clock.monotonic()
        deadline = bodies.parse_deadline(
            headers.get(b"bluebellyoke-deadline-ms"),
            self._find_default_deadline(service),
            self._longest_deadline_s,
        )
        if not is_successful(deadline):
            reason = str(deadline.failure())
            result = RequestResult(RequestOutcome.NOT_RUN, "bad-deadline", reason)
            await self._send_result(result, send)
            return
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        body, stream = await self._read_body(headers, receive)
        if body is None and key:
            result = RequestResult(
                RequestOutcome.NOT_RUN,
                "body-too-long",
                f"with Idempotency-Key a body has at most {BUFFERED_BODY_BYTES} bytes",
            )
            await self._send_result(result, send)
            return
        length = headers.get(b"content-length")
        target = _build_target(scope, service, rest)
        request = CallerRequest(
            service=service,
            workspace=headers.get(b"bluebellyoke-workspace", b"").decode("latin-1"),
            method=scope["method"],
            upstream_request=UpstreamRequest(
                method=scope["method"].encode(),
                target=target,
                headers=_select_end_to_end_headers(scope["headers"]),
                body=body,
                stream=stream,
                content_length=int(length) if length else None,
            ),
            arrived_at=arrived_at,
            deadline=arrived_at + deadline.unwrap(),
            key=key,
            digest=_compute_digest(scope["method"], target, body) if key else "",
            can_resend=body is not None,
            wait_closed=_watch_connection(receive) if body is not None else None,
        )
        result = await self._proxy.handle(request)
        await self._send_result(result, send, is_head=scope["method"] == "HEAD")

    def _find_default_deadline(self, service: str) -> float:
        spec = self._proxy.router.view.services.get(service)
        return spec.deadline_s if spec is not None else DEFAULT_DEADLINE_S

    async def _read_body(
        self, headers: dict[bytes, bytes], receive: Receive
    ) -> tuple[bytes | None, AsyncIterator[bytes] | None]:
        """Return the whole body, or a stream of a body that is too long to buffer."""
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
            if size > BUFFERED_BODY_BYTES:
                return None, _stream_body(chunks, receive)

    async def _send_result(
        self, result: RequestResult, send: Send, *, is_head: bool = False
    ) -> None:
        if result.outcome is RequestOutcome.DONE:
            await self._send_upstream_response(result, send, is_head=is_head)
            return
        if result.outcome is RequestOutcome.UNKNOWN:
            status = 504 if result.code in _TIMEOUT_CODES else 502
        else:
            status = _REFUSAL_STATUS.get(result.code, 503)
        body = {
            "outcome": result.outcome.value,
            "code": result.code,
            "reason": result.reason,
        }
        await send_response(
            send,
            status,
            body,
            headers=((b"bluebellyoke-outcome", result.outcome.value.encode()),),
            retry_after_s=result.retry_after_s,
        )

    async def _send_upstream_response(
        self, result: RequestResult, send: Send, *, is_head: bool
    ) -> None:
        response = result.response
        headers = [*response.headers, (b"bluebellyoke-outcome", b"done")]
        if result.replayed:
            headers.append((b"bluebellyoke-replayed", b"true"))
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        if result.exchange is None:
            body = b"" if is_head else response.body or b""
            await send({"type": "http.response.body", "body": body})
            return
        exchange = result.exchange
        async with exchange.chunks as chunks:
            async for chunk in chunks:
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": True}
                )
        await exchange.finished.wait()
        if exchange.outcome is not RequestOutcome.DONE:
            # Without the last chunk the caller notices that the response is truncated.
            raise TruncatedResponseError()
        await send({"type": "http.response.body", "body": b""})

    # API.

    async def _handle_api(
        self, path: str, scope: Scope, receive: Receive, send: Send
    ) -> None:
        method = scope["method"]
        parts = tuple(part for part in path.split("/") if part)
        try:
            body = await read_body(receive, API_BODY_BYTES)
            status, value = await self._api.handle(method, parts, body)
        except BodyTooLongError as error:
            status, value = 413, {"code": "body-too-long", "reason": str(error)}
        except BluebellyokeError as error:
            status = 503
            value = {"code": "unavailable", "reason": str(error)}
        await send_response(send, status, value)


class TruncatedResponseError(Exception):
    """The upstream's response ended early, after its head was forwarded."""


def _watch_connection(receive: Receive) -> Callable[[], Awaitable[None]]:
    """Return a function that waits until the caller has closed its connection."""

    async def wait_closed() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    return wait_closed


def _build_target(scope: Scope, service: str, rest: str) -> bytes:
    """Return the path and query that are sent to the upstream."""
    raw = scope.get("raw_path") or scope["path"].encode()
    path = raw.split(b"?", 1)[0]
    prefix_length = len(SERVICE_PREFIX) + len(service.encode())
    target = path[prefix_length:] or b"/"
    query = scope.get("query_string", b"")
    return target + (b"?" + query if query else b"")


def _select_end_to_end_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers, without Content-Length."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options | {b"content-length"}
    return [item for item in headers if item[0].lower() not in dropped]


def _compute_digest(method: str, target: bytes, body: bytes | None) -> str:
    digest = hashlib.sha256(method.encode())
    digest.update(b"\0" + target + b"\0" + (body or b""))
    return digest.hexdigest()[:32]


async def _stream_body(chunks: list[bytes], receive: Receive) -> AsyncIterator[bytes]:
    """Yield the chunks that were already read, then the rest of the body."""
    for chunk in chunks:
        yield chunk
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeftError()
        yield message.get("body", b"")
        if not message.get("more_body"):
            return
