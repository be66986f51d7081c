"""Whole bodies over ASGI: reading a request's and sending an answer's."""

import math
from collections.abc import Awaitable, Callable

import msgspec

from bluebellyoke.errors import BluebellyokeError

__all__ = [
    "BodyTooLongError",
    "CallerLeftError",
    "Receive",
    "Scope",
    "Send",
    "read_body",
    "send_answer",
]

Scope = dict
Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

#: Status codes that tell a caller to come back later.
_COME_BACK = frozenset({429, 503})


class BodyTooLongError(BluebellyokeError):
    """A request's body exceeds its bound."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the body has more than {limit} bytes", remedy="split it")


class CallerLeftError(Exception):
    """The caller closed the connection before its request was whole."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return the body of a request.

    Args:
        limit: Longest body, in bytes.

    Raises:
        BodyTooLongError: It is longer.
        CallerLeftError: The caller left before its end.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeftError()
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            raise BodyTooLongError(limit)
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def send_answer(
    send: Send,
    status: int,
    value: object,
    *,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    retry_after_s: float = 0.0,
) -> None:
    """Send a whole answer: bytes and other values as JSON, a string as plain text.

    Args:
        headers: Headers besides type, length and time of return.
        retry_after_s: Time after which a caller that is turned away may come back;
            it is sent as whole seconds, one at least.
    """
    content_type = b"text/plain" if isinstance(value, str) else b"application/json"
    if isinstance(value, str):
        body = value.encode()
    else:
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
    all_headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
        *headers,
    ]
    if status in _COME_BACK:
        wait = max(math.ceil(retry_after_s), 1)
        all_headers.append((b"retry-after", str(wait).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": all_headers}
    )
    await send({"type": "http.response.body", "body": body})
