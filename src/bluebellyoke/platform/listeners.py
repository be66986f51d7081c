"""ASGI applications for the platform, its clients, workers and operators."""

import logging
from dataclasses import dataclass

from bluebellyoke.cell.result import Result
from bluebellyoke.instance import wire
from bluebellyoke.instance.asgi import (
    BodyTooLongError,
    CallerLeftError,
    Receive,
    Scope,
    Send,
    parse_digits,
    read_body,
    send_response,
)
from bluebellyoke.instance.gateway import GatewayContext
from bluebellyoke.instance.queues import LargeDocumentError
from bluebellyoke.platform import bodies
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["ControlApp", "QueueApp", "ReadinessApp"]

logger = logging.getLogger("bluebellyoke.platform")

#: Maximum size of a client's body, in bytes: four times the 256 KiB that the platform
#: lets its clients send, since a configuration may state more.
CLIENT_BODY_BYTES = 1024 * 1024

#: Maximum size of a configuration or a heartbeat, in bytes.
CONTROL_BODY_BYTES = 4 * 1024 * 1024

#: Maximum size of a readiness check's body, which has no meaning, in bytes.
READINESS_BODY_BYTES = 16 * 1024

#: Timeout for requests without a deadline, in seconds.
DEFAULT_TIMEOUT_S = 2.5

#: Time before the client's deadline that is reserved for the transfer of the
#: response, in seconds.
RESPONSE_MARGIN_S = 0.15

#: HTTP status codes by the code of a queue's reply.
_STATUS_BY_CODE = {
    "accepted": 200,
    "unauthenticated": 401,
    "forbidden": 403,
    "unknown-queue": 404,
    "unknown-job": 410,
    "bad-id": 400,
    "malformed": 400,
    "id-taken": 400,
    "overloaded": 429,
    "cancelled": 503,
    "unavailable": 503,
    "unanswered": 504,
}

_ACTIONS = {
    "POST": wire.QueueAction.SUBMIT,
    "GET": wire.QueueAction.READ,
    "DELETE": wire.QueueAction.CANCEL,
}

INSTANCES_PREFIX = "/-/instances/"

CONFIGURATION_PATH = "/-/config"


@dataclass(frozen=True, slots=True)
class Response:
    """Response to a request.

    Attributes:
        status: HTTP status code.
        value: Bytes to send unchanged, or a value to encode as JSON.
        retry_after_s: Time after which a refused client may retry, in seconds.
        location: URL that the caller has to call instead, or an empty text.
    """

    status: int
    value: object
    retry_after_s: float = 0.0
    location: str = ""


class _BaseApp:
    """Base class of the applications.

    Attributes:
        max_body_bytes: Maximum size of a request's body.
    """

    max_body_bytes: int

    def __init__(self, context: GatewayContext) -> None:
        self.context = context

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        self.context.queues.expect_body(_parse_length(scope))
        try:
            body = await read_body(receive, self.max_body_bytes)
            response = await self.handle(scope, body)
        except CallerLeftError:
            return
        except BodyTooLongError as error:
            response = Response(413, {"Error": str(error)})
        except bodies.UnreadableBodyError as error:
            logger.info(
                "platform: refused a body",
                extra={"path": scope["path"], "fault": str(error)},
            )
            response = Response(400, {"Error": str(error)})
        headers = [(b"connection", b"close")] if self.context.is_leaving() else []
        if response.location:
            headers.append((b"location", response.location.encode()))
        await send_response(
            send,
            response.status,
            response.value,
            headers=tuple(headers),
            retry_after_s=response.retry_after_s,
        )

    async def handle(self, scope: Scope, body: bytes) -> Response:
        """Return the response to a request."""
        raise NotImplementedError


class ReadinessApp(_BaseApp):
    """Readiness check for the platform."""

    max_body_bytes = READINESS_BODY_BYTES

    async def handle(self, scope: Scope, body: bytes) -> Response:
        """Return status 200 if the instance takes requests, and 503 if not."""
        return Response(200 if self.context.is_ready() else 503, {})


class QueueApp(_BaseApp):
    """Requests of clients to queues."""

    max_body_bytes = CLIENT_BODY_BYTES

    async def handle(self, scope: Scope, body: bytes) -> Response:
        """Forward a request to the queues and translate the reply."""
        action = _ACTIONS.get(scope["method"])
        if action is None:
            return Response(405, {"Error": "use POST, GET or DELETE"})
        headers = dict(scope["headers"])
        draft = bodies.decode_job(body) if action is wire.QueueAction.SUBMIT else None
        reply = await self.context.queues.request(
            action,
            headers.get(b"host", b"").decode("latin-1"),
            scope["path"],
            timeout_s=_parse_timeout(headers),
            draft=draft,
            credential=bodies.hash_key(headers.get(b"api-key", b"")),
        )
        status = _STATUS_BY_CODE.get(reply.code, 400)
        if status != 200:
            return Response(status, {"Error": reply.reason}, reply.retry_after_s)
        if reply.waiting >= 0:
            return Response(200, {"Waiting": reply.waiting})
        return Response(200, {"State": reply.state} if reply.state else {})


class ControlApp(_BaseApp):
    """Heartbeats of workers and calls of operators.

    Args:
        context: Interfaces of the instance.
        port: Port of this listener, which all instances of a deployment share.
    """

    max_body_bytes = CONTROL_BODY_BYTES

    def __init__(self, context: GatewayContext, *, port: int) -> None:
        super().__init__(context)
        self._port = port

    async def handle(self, scope: Scope, body: bytes) -> Response:
        """Forward a call to the queues and translate the result."""
        method, path = scope["method"], scope["path"]
        if path == CONFIGURATION_PATH:
            return await self._handle_configuration(method, body)
        if path == "/-/metrics" and method == "GET":
            return Response(200, self.context.metrics.render().encode())
        if path.startswith(INSTANCES_PREFIX):
            worker = path[len(INSTANCES_PREFIX) :]
            if method == "PUT":
                return await self._announce(
                    worker, bodies.decode_announcement(worker, body)
                )
            if method == "DELETE":
                return await self._announce(worker, None)
        return Response(404, {"Error": "unknown path"})

    async def _handle_configuration(self, method: str, body: bytes) -> Response:
        try:
            if method == "PUT":
                return await self._put_configuration(body)
            if method == "GET":
                return await self._get_configuration()
        except LargeDocumentError as error:
            url = f"http://{error.leader_host}:{self._port}{CONFIGURATION_PATH}"
            return Response(307, {"Error": str(error)}, location=url)
        return Response(404, {"Error": "unknown path"})

    async def _put_configuration(self, body: bytes) -> Response:
        await self.context.queues.check_size(len(body))
        configuration = bodies.decode_configuration(body)
        result = await self.context.queues.change_configuration(configuration)
        return _create_response(result)

    async def _get_configuration(self) -> Response:
        document = await self.context.queues.read_configuration()
        if document is None:
            return Response(
                503, {"Error": "the newest configuration is not known here"}
            )
        return Response(200, document)

    async def _announce(self, worker: str, spec: WorkerSpec | None) -> Response:
        announcement = wire.WorkerAnnouncement(worker, spec, leaving=spec is None)
        result = await self.context.queues.announce(announcement)
        return _create_response(result)


def _create_response(result: Result) -> Response:
    """Return the response to a heartbeat or a configuration change."""
    if result.accepted:
        return Response(200, {})
    status = 400 if result.code == "malformed" else 503
    return Response(status, {"Error": result.reason})


def _parse_length(scope: Scope) -> int:
    """Return the declared length of a request's body, in bytes, or 0."""
    return parse_digits(dict(scope["headers"]).get(b"content-length", b"")) or 0


def _parse_timeout(headers: dict[bytes, bytes]) -> float:
    deadline_ms = parse_digits(headers.get(b"deadline-ms", b""))
    if deadline_ms is None:
        return DEFAULT_TIMEOUT_S
    return max(deadline_ms / 1000 - RESPONSE_MARGIN_S, 0.1)
