"""HTTP interface of an instance, as an ASGI application.

docs/API.md describes every path, header and status code.
"""

import hashlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from returns.pipeline import is_successful

from bluebellyoke.cell import commands as c
from bluebellyoke.clock import Clock
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance import border
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.entry import CallerRequest, Entry, FinalAnswer
from bluebellyoke.instance.exchange import HOP_HEADERS, ExchangeRequest, Fate
from bluebellyoke.instance.link import Link
from bluebellyoke.metrics import Metrics
from bluebellyoke.routing.router import RefusalKind

__all__ = ["HttpInterface", "InstanceStatus"]

#: Longest body that is held in memory; longer ones are streamed and never retried.
HELD_BODY_BYTES = 1024 * 1024

#: Longest body of the project's own paths.
API_BODY_BYTES = 4 * 1024 * 1024

#: Deadline of a request to an unknown service, in seconds.
DEFAULT_DEADLINE_S = 10.0

#: Time within which the leader must answer an API call, in seconds.
CALL_TIMEOUT_S = 5.0

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

_RESULT_STATUS = {
    "malformed": 400,
    "number-taken": 409,
    "stale-number": 409,
    "id-taken": 409,
    "unknown-job": 404,
    "unknown-workspace": 404,
    "unknown-service": 404,
    "finished": 409,
    "can-never-run": 422,
    "too-many-tasks": 422,
    "cell-full": 503,
}

Scope = dict
Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class InstanceStatus:
    """What an instance says of itself.

    Args:
        name: Name of the instance.
        incarnation: Identity of this run.
    """

    def __init__(self, *, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.leaving = False
        self.request_drain: Callable[[], None] = lambda: None
        self.describe_replica: Callable[[], dict | None] = lambda: None


class BodyTooLongError(BluebellyokeError):
    """A body of the project's own paths exceeds its bound."""

    def __init__(self) -> None:
        super().__init__(
            f"the body has more than {API_BODY_BYTES} bytes", remedy="split it"
        )


class CallerLeftError(Exception):
    """The caller closed the connection before its request was whole."""


class HttpInterface:
    """The ASGI application.

    Args:
        entry: Routing of callers' requests.
        link: Stream to the leader.
        clock: Source of time.
        status: What the instance says of itself.
        metrics: Histograms and counters.
        longest_deadline_s: Longest deadline that a caller may ask for.
    """

    def __init__(
        self,
        *,
        entry: Entry,
        link: Link,
        clock: Clock,
        status: InstanceStatus,
        metrics: Metrics,
        longest_deadline_s: float,
    ) -> None:
        self._entry = entry
        self._link = link
        self._clock = clock
        self._status = status
        self._metrics = metrics
        self._longest_deadline_s = longest_deadline_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        try:
            if path.startswith(SERVICE_PREFIX):
                await self._route(scope, receive, send)
            else:
                await self._serve_api(path, scope, receive, send)
        except CallerLeftError:
            return

    # Callers' requests.

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
            status = 502 if answer.code == "upstream-failed" else 504
        else:
            status = _FIXED_STATUS.get(answer.code, 503)
        headers = [(b"bluebellyoke-outcome", answer.fate.value.encode())]
        if status in (429, 503):
            wait = max(math.ceil(answer.retry_after_s), 1)
            headers.append((b"retry-after", str(wait).encode()))
        body = {
            "outcome": answer.fate.value,
            "code": answer.code,
            "reason": answer.reason,
        }
        await _send_json(send, status, body, headers)

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
            body = await _read_body(receive)
            status, value = await self._answer_api(method, parts, body)
        except BodyTooLongError as error:
            status, value = 413, {"code": "body-too-long", "reason": str(error)}
        except BluebellyokeError as error:
            status = 503
            value = {"code": "unavailable", "reason": str(error)}
        headers = [(b"retry-after", b"1")] if status == 503 else []
        if isinstance(value, bytes):
            await _send_bytes(send, status, value, headers)
        elif isinstance(value, str):
            await _send_bytes(send, status, value.encode(), headers, b"text/plain")
        else:
            await _send_json(send, status, value, headers)

    async def _answer_api(self, method: str, parts: tuple, body: bytes):
        """Return status code and value of an API request."""
        match (method, *parts):
            case ("GET", "healthz"):
                return self._answer_health()
            case ("GET", "metrics"):
                return 200, self._metrics.render()
            case ("GET", "v1", "instance"):
                return 200, self._describe_instance()
            case ("POST", "v1", "drain"):
                self._status.request_drain()
                return 202, {"code": "draining"}
            case ("POST", "v1", "jobs"):
                return await self._command(border.JobBody, body, created=202)
            case ("DELETE", "v1", "jobs", job_id):
                return await self._call_result(c.CancelJob(job_id=job_id))
            case ("GET", "v1", "jobs", job_id):
                return await self._query("job", job_id)
            case ("GET", "v1", "jobs", job_id, "explain"):
                return await self._query("explain", job_id)
            case ("POST", "v1", "tickets"):
                return await self._command(border.TicketBody, body)
            case ("GET", "v1", "tickets"):
                return await self._query("ticket", "")
            case ("GET", "v1", "tickets", number):
                return await self._query("ticket", number)
            case ("GET", "v1", "status"):
                return await self._query("status", "")
            case ("POST", "v1", "upstreams"):
                return await self._announce(body)
            case ("POST", "v1", "workers", "heartbeat"):
                return await self._heartbeat(body)
        return 404, {"code": "unknown-path", "reason": "see docs/API.md"}

    def _answer_health(self) -> tuple[int, dict]:
        """Tell the balancer whether to send callers here."""
        has_lease = self._entry.router.has_lease(self._clock.monotonic())
        if self._status.leaving or not has_lease:
            return 503, {"ready": False}
        return 200, {"ready": True}

    def _describe_instance(self) -> dict:
        router = self._entry.router
        return {
            "name": self._status.name,
            "incarnation": self._status.incarnation,
            "has_lease": router.has_lease(self._clock.monotonic()),
            "version": router.view.version,
            "ticket": router.view.ticket,
            "draining": self._status.leaving,
            "in_hand": router.in_hand,
            "open_requests": self._entry.open_requests,
            "replica": self._status.describe_replica(),
        }

    async def _command(self, model, body: bytes, *, created: int = 200):
        parsed = border.parse_body(model, body)
        if not is_successful(parsed):
            return _describe_faults(parsed.failure())
        return await self._call_result(parsed.unwrap().build(), created=created)

    async def _call_result(self, command: c.Command, *, created: int = 200):
        result = await self._link.call(command, CALL_TIMEOUT_S)
        status = created if result.accepted else _RESULT_STATUS.get(result.code, 409)
        value = {
            "accepted": result.accepted,
            "code": result.code,
            "reason": result.reason,
            **result.detail,
        }
        return status, value

    async def _query(self, topic: str, subject: str):
        reply = await self._link.call(w.Query(topic, subject), CALL_TIMEOUT_S)
        return (200 if reply.found else 404), reply.body

    async def _announce(self, body: bytes):
        """Take an upstream's announcement; a mere renewal joins the next poll."""
        parsed = border.parse_body(border.UpstreamBody, body)
        if not is_successful(parsed):
            return _describe_faults(parsed.failure())
        announced = parsed.unwrap()
        command = announced.build()
        renewal = w.Renewal(command.upstream, command.incarnation, announced.running)
        if self._entry.renew_upstream(command, renewal):
            return 200, {"accepted": True, "code": "renewed"}
        return await self._call_result(command)

    async def _heartbeat(self, body: bytes):
        parsed = border.parse_body(border.HeartbeatBody, body)
        if not is_successful(parsed):
            return _describe_faults(parsed.failure())
        heartbeat = parsed.unwrap().build()
        timeout_s = CALL_TIMEOUT_S + heartbeat.wait_s
        orders = await self._link.call(heartbeat, timeout_s)
        return 200, _describe_orders(orders)


def _describe_faults(error: border.MalformedBodyError) -> tuple[int, dict]:
    return 400, {"code": "malformed", "faults": error.faults}


class TruncatedAnswerError(Exception):
    """The upstream's answer broke off after its head was passed on."""


def _describe_orders(orders: w.WorkerOrders) -> dict:
    return {
        "status": orders.status,
        "lease_s": orders.lease_s,
        "run": [
            {
                "job": x.job_id,
                "task": x.index,
                "epoch": x.epoch,
                "need": {
                    "cpu_millis": x.need.cpu_millis,
                    "memory_mb": x.need.memory_mb,
                    "accelerators": x.need.accelerators,
                },
                "payload": x.payload,
            }
            for x in orders.run
        ],
        "stop": [
            {
                "job": x.job_id,
                "task": x.index,
                "epoch": x.epoch,
                "checkpoint": x.checkpoint,
            }
            for x in orders.stop
        ],
        "throttle": [_describe_key(*key) for key in orders.throttle],
        "acknowledged": [_describe_key(*key) for key in orders.acknowledged],
    }


def _describe_key(job_id: str, index: int, epoch: int) -> dict:
    return {"job": job_id, "task": index, "epoch": epoch}


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


async def _read_body(receive: Receive) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerLeftError()
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > API_BODY_BYTES:
            raise BodyTooLongError()
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def _send_json(
    send: Send, status: int, value, headers: list[tuple[bytes, bytes]]
) -> None:
    await _send_bytes(send, status, msgspec.json.encode(value), headers)


async def _send_bytes(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
    content_type: bytes = b"application/json",
) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", content_type),
                (b"content-length", str(len(body)).encode()),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})
