"""HTTP clients of the platform's workers and of its advisor."""

import errno

import anyio
import httpcore
import msgspec

from bluebellyoke.dispatch.ports import (
    Advisor,
    AdvisorBusyError,
    NoAnswerError,
    NotReachedError,
    OtherLifeError,
    PollRequest,
    StartRequest,
    StartResult,
    StatusReport,
    StopRequest,
    WorkerClient,
)
from bluebellyoke.instance.connections import ConnectionPool
from bluebellyoke.platform import bodies
from bluebellyoke.platform.settings import split_endpoint
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["PlatformAdvisor", "PlatformWorkerClient"]

CONNECT_TIMEOUT_S = 0.6

IDLE_TIMEOUT_S = 20.0

#: Timeout for closing a connection after a failed call.
CLOSE_TIMEOUT_S = 0.5

#: Results by the `Reason` of a 409 response.
_CONFLICT_RESULTS = {
    "fence": StartResult.FENCED,
    "old": StartResult.OUTDATED,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.BAD_TICKET,
}


class _JsonClient:
    """Client for HTTP calls with JSON bodies."""

    def __init__(self) -> None:
        self._connections = ConnectionPool(idle_timeout_s=IDLE_TIMEOUT_S)

    async def post(
        self, address: str, path: str, value: dict, headers: list
    ) -> httpcore.Response:
        """Send a call and return the response with its whole body.

        Raises:
            NotReachedError: No connection could be opened.
            NoAnswerError: The connection failed before the response was complete.
        """
        request = _build_request(address, path, msgspec.json.encode(value), headers)
        host, port = split_endpoint(address)
        connection = await self._connections.acquire(host, port)
        try:
            response = await connection.handle_async_request(request)
            await response.aread()
            await response.aclose()
            if connection.is_idle():
                self._connections.release(host, port, connection)
                connection = None
            return response
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise NotReachedError(address, refused=_is_refused(error)) from error
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            raise NoAnswerError(address, f"{type(error).__name__} {error}") from error
        finally:
            if connection is not None:
                with (
                    anyio.CancelScope(shield=True),
                    anyio.move_on_after(CLOSE_TIMEOUT_S),
                ):
                    await connection.aclose()

    async def close(self) -> None:
        """Close all connections."""
        await self._connections.close()


def _build_request(
    address: str, path: str, body: bytes, headers: list
) -> httpcore.Request:
    host, port = split_endpoint(address)
    return httpcore.Request(
        method=b"POST",
        url=httpcore.URL(
            scheme=b"http", host=host.encode(), port=port, target=path.encode()
        ),
        headers=[
            (b"Host", address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(body)).encode()),
            *headers,
        ],
        content=body,
        extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
    )


def _is_refused(error: BaseException) -> bool:
    """Return whether the host refused the connection, so that no process listens."""
    current: BaseException | None = error
    while current is not None:
        if isinstance(current, ConnectionRefusedError):
            return True
        if isinstance(current, OSError) and current.errno == errno.ECONNREFUSED:
            return True
        if isinstance(current, BaseExceptionGroup):
            return all(_is_refused(item) for item in current.exceptions)
        current = current.__cause__ or current.__context__
    return False


class PlatformWorkerClient(WorkerClient):
    """Client of the platform's workers."""

    def __init__(self) -> None:
        self._client = _JsonClient()

    async def start(self, worker: WorkerSpec, request: StartRequest) -> StartResult:
        """Start a run."""
        value = {
            "Task": bodies.format_task(request.task),
            "RunId": request.run,
            "TaskSpec": request.payload,
            "DeadlineMs": request.deadline_ms,
            "FencingToken": request.fence,
        }
        if request.checkpoint:
            value["Checkpoint"] = request.checkpoint
        if request.ticket:
            value["Ticket"] = request.ticket
        response = await self._call(worker, "/-/run-start", value)
        if response.status == 200:
            return StartResult.STARTED
        if response.status in (429, 503):
            return StartResult.UNHEALTHY
        if response.status == 409:
            reason = _decode_object(worker, response).get("Reason")
            return _CONFLICT_RESULTS.get(reason, StartResult.INVALID)
        return StartResult.INVALID

    async def stop(self, worker: WorkerSpec, request: StopRequest) -> bool:
        """Stop or block a run; return whether the worker accepted the request."""
        value = {
            "Task": bodies.format_task(request.task),
            "RunId": request.run,
            "FencingToken": request.fence,
        }
        response = await self._call(worker, "/-/run-stop", value)
        return response.status == 200

    async def poll(
        self, worker: WorkerSpec, request: PollRequest
    ) -> StatusReport | None:
        """Renew the lease and return the status, or None for a stale fencing token."""
        value = {"FencingToken": request.fence, "SeenUpto": request.acknowledged_end}
        if request.deadline_ms is not None:
            value["DeadlineMs"] = request.deadline_ms
        if request.wait_ms:
            value["WaitMs"] = request.wait_ms
        response = await self._call(worker, "/-/hold", value)
        if response.status == 409:
            return None
        if response.status != 200:
            raise NoAnswerError(worker.address, f"status {response.status}")
        try:
            return bodies.decode_status(response.content)
        except bodies.UnreadableBodyError as error:
            raise NoAnswerError(worker.address, str(error)) from error

    async def _call(
        self, worker: WorkerSpec, path: str, value: dict
    ) -> httpcore.Response:
        headers = [(b"Expected-Instance", worker.id.encode())]
        response = await self._client.post(worker.address, path, value, headers)
        if response.status == 421:
            raise OtherLifeError(worker.address)
        return response

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


class PlatformAdvisor(Advisor):
    """Client of the platform's advisor.

    Args:
        address: IP address and port of the advisor.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = _JsonClient()

    async def ask(
        self, step: tuple[str, int, int], workers: tuple[str, ...]
    ) -> dict[str, str]:
        """Return the advisor's ticket for each worker that is allowed to run a step."""
        value = {"Step": ".".join(map(str, step)), "Workers": workers}
        try:
            response = await self._client.post(self._address, "/-/advise", value, [])
        except (NotReachedError, NoAnswerError) as error:
            raise AdvisorBusyError(str(error)) from error
        if response.status != 200:
            raise AdvisorBusyError(f"status {response.status}")
        try:
            rows = msgspec.json.decode(response.content)["Allowed"]
            return {str(row[0]): str(row[1]) for row in rows}
        except (msgspec.DecodeError, KeyError, IndexError, TypeError) as error:
            raise AdvisorBusyError(f"invalid response: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()


def _decode_object(worker: WorkerSpec, response: httpcore.Response) -> dict:
    try:
        value = msgspec.json.decode(response.content)
    except msgspec.DecodeError as error:
        raise NoAnswerError(worker.address, str(error)) from error
    return value if isinstance(value, dict) else {}
