"""What the platform, its clients, workers and operators call, as ASGI applications."""

import logging
from dataclasses import dataclass

from bluebellyoke.instance import wire as w
from bluebellyoke.instance.asgi import (
    BodyTooLongError,
    CallerLeftError,
    Receive,
    Scope,
    Send,
    read_body,
    send_answer,
)
from bluebellyoke.instance.gateway import GatewayContext
from bluebellyoke.platform import bodies
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["ControlApp", "FrontApp", "ReadyApp"]

logger = logging.getLogger("bluebellyoke.platform")

#: Longest body that is read, in bytes.
BODY_BYTES = 8 * 1024 * 1024

#: Time in which a client gets an answer if it names none, in seconds.
DEFAULT_TIMEOUT_S = 2.5

#: Part of a client's time that is kept for the way back, in seconds.
RETURN_S = 0.15

#: Status codes of the answers to clients.
_FRONT_STATUS = {
    "accepted": 200,
    "unknown-queue": 404,
    "unknown-job": 410,
    "bad-id": 400,
    "malformed": 400,
    "id-taken": 400,
    "overloaded": 429,
    "unavailable": 503,
    "unanswered": 504,
}

_ACTIONS = {
    "POST": w.QueueAction.SUBMIT,
    "GET": w.QueueAction.READ,
    "DELETE": w.QueueAction.CANCEL,
}

INSTANCES = "/-/instances/"


@dataclass(frozen=True, slots=True)
class Answer:
    """What a request is answered.

    Attributes:
        value: Bytes as they are, or what to encode as JSON.
        retry_after_s: Time after which a caller that is turned away may come back.
    """

    status: int
    value: object
    retry_after_s: float = 0.0


class _App:
    """Common parts of the applications."""

    def __init__(self, parts: GatewayContext) -> None:
        self.parts = parts

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            body = await read_body(receive, BODY_BYTES)
            answer = await self.answer(scope, body)
        except CallerLeftError:
            return
        except BodyTooLongError as error:
            answer = Answer(413, {"Error": str(error)})
        except bodies.UnreadableBodyError as error:
            logger.info(
                "platform: refuses a body",
                extra={"path": scope["path"], "fault": str(error)},
            )
            answer = Answer(400, {"Error": str(error)})
        leaving = ((b"connection", b"close"),) if self.parts.is_leaving() else ()
        await send_answer(
            send,
            answer.status,
            answer.value,
            headers=leaving,
            retry_after_s=answer.retry_after_s,
        )

    async def answer(self, scope: Scope, body: bytes) -> Answer:
        """Return what to answer."""
        raise NotImplementedError


class ReadyApp(_App):
    """The platform's readiness check."""

    async def answer(self, scope: Scope, body: bytes) -> Answer:
        """Tell whether clients may be sent here."""
        return Answer(200 if self.parts.is_ready() else 503, {})


class FrontApp(_App):
    """Clients' requests to queues."""

    async def answer(self, scope: Scope, body: bytes) -> Answer:
        """Pass a request on and translate what comes back."""
        action = _ACTIONS.get(scope["method"])
        if action is None:
            return Answer(405, {"Error": "use POST, GET or DELETE"})
        headers = dict(scope["headers"])
        draft = bodies.decode_job(body) if action is w.QueueAction.SUBMIT else None
        reply = await self.parts.queues.request(
            action,
            headers.get(b"host", b"").decode("latin-1"),
            scope["path"],
            timeout_s=_find_timeout(headers),
            draft=draft,
        )
        status = _FRONT_STATUS.get(reply.code, 400)
        if status != 200:
            return Answer(status, {"Error": reply.reason}, reply.retry_after_s)
        if reply.waiting >= 0:
            return Answer(200, {"Waiting": reply.waiting})
        return Answer(200, {"State": reply.state} if reply.state else {})


class ControlApp(_App):
    """Workers' heartbeats and the operator's calls."""

    async def answer(self, scope: Scope, body: bytes) -> Answer:
        """Pass a call on and translate what comes back."""
        method, path = scope["method"], scope["path"]
        if path == "/-/config":
            if method == "PUT":
                return await self._put_configuration(body)
            if method == "GET":
                return await self._get_configuration()
        if path == "/-/metrics" and method == "GET":
            return Answer(200, self.parts.metrics.render().encode())
        if path.startswith(INSTANCES):
            worker = path[len(INSTANCES) :]
            if method == "PUT":
                return await self._announce(
                    worker, bodies.decode_announcement(worker, body)
                )
            if method == "DELETE":
                return await self._announce(worker, None)
        return Answer(404, {"Error": "unknown path"})

    async def _put_configuration(self, body: bytes) -> Answer:
        configuration = bodies.decode_configuration(body)
        result = await self.parts.queues.change_configuration(configuration)
        if result.accepted:
            return Answer(200, {})
        status = 400 if result.code == "malformed" else 503
        return Answer(status, {"Error": result.reason})

    async def _get_configuration(self) -> Answer:
        document = await self.parts.queues.read_configuration()
        if document is None:
            return Answer(503, {"Error": "the newest configuration is not known here"})
        return Answer(200, document)

    async def _announce(self, worker: str, spec: WorkerSpec | None) -> Answer:
        announcement = w.WorkerAnnouncement(worker, spec, leaving=spec is None)
        result = await self.parts.queues.announce(announcement)
        if result.accepted:
            return Answer(200, {})
        return Answer(503, {"Error": result.reason})


def _find_timeout(headers: dict[bytes, bytes]) -> float:
    text = headers.get(b"deadline-ms", b"")
    if not text.isdigit():
        return DEFAULT_TIMEOUT_S
    return max(int(text) / 1000 - RETURN_S, 0.1)
