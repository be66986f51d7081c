"""Reading whole request bodies and sending whole responses over ASGI."""

import math
from collections.abc import Awaitable, Callable

import msgspec

from bluebellyoke.errors import BluebellyokeError

__all__ = [
    "BodyTooLongError",
    "CallerLeftError",
    "MAX_INTEGER",
    "Receive",
    "Scope",
    "Send",
    "parse_digits",
    "read_body",
    "send_response",
]

Scope = dict
Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]

#: Largest integer that the messages to the leader can carry.
MAX_INTEGER = 2**63 - 1

#: Maximum number of digits of an integer in a header.
MAX_DIGITS = len(str(MAX_INTEGER))

#: Status codes of responses with a Retry-After header.
_RETRY_AFTER_STATUSES = frozenset({429, 503})


class BodyTooLongError(BluebellyokeError):
    """The body of a request is longer than allowed."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"the body has more than {limit} bytes", remedy="split it")


class CallerLeftError(Exception):
    """The caller closed the connection before its request was complete."""


def parse_digits(text: bytes) -> int | None:
    """Return the number in a header, or None if it has no or too many digits."""
    if not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    number = int(text)
    return number if number <= MAX_INTEGER else None


async def read_body(receive: Receive, limit: int) -> bytes:
    """Return the body of a request.

    Args:
        limit: Longest allowed body, in bytes.

    Raises:
        BodyTooLongError: The body is longer than `limit`.
        CallerLeftError: The caller disconnected before the end of the body.
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


async def send_response(
    send: Send,
    status: int,
    value: object,
    *,
    headers: tuple[tuple[bytes, bytes], ...] = (),
    retry_after_s: float = 0.0,
) -> None:
    """Send a whole response.

    Args:
        value: A string is sent as plain text, bytes are sent unchanged as JSON, and any
            other value is encoded as JSON.
        headers: Headers besides Content-Type, Content-Length and Retry-After.
        retry_after_s: Time after which a refused caller may retry, in seconds; sent
            rounded up, with a minimum of one second.
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
    if status in _RETRY_AFTER_STATUSES:
        wait_s = max(math.ceil(retry_after_s), 1)
        all_headers.append((b"retry-after", str(wait_s).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": all_headers}
    )
    await send({"type": "http.response.body", "body": body})
