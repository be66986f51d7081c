"""HTTP clients of the platform's workers and of its advisor."""

from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from bluebellyoke.dispatch.ports import (
    Advisor,
    AdvisorBusyError,
    NoAnswerError,
    NotReachedError,
    OtherLifeError,
    PaceRequest,
    PaceResult,
    PollRequest,
    StartReply,
    StartRequest,
    StartResult,
    StatusReport,
    StopRequest,
    WorkerClient,
)
from bluebellyoke.instance.http_calls import HttpCaller, HttpResponse
from bluebellyoke.platform import bodies, status
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["PlatformAdvisor", "PlatformWorkerClient"]

_Result = TypeVar("_Result", StartResult, PaceResult)

#: Results by the `Reason` of a 409 response.
_CONFLICT_RESULTS = {
    "fence": StartResult.FENCED,
    "old": StartResult.OUTDATED,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.BAD_TICKET,
}

#: Results of a request to pace a run by the `Reason` of a 409 response.
_PACE_CONFLICT_RESULTS = {
    "fence": PaceResult.FENCED,
    "old": PaceResult.OUTDATED,
}


class AcceptedStart(msgspec.Struct):
    """Response of a worker to a start that it has accepted."""

    CurrentTimeMs: bodies.Integer


class PlatformWorkerClient(WorkerClient):
    """Client of the platform's workers."""

    def __init__(self) -> None:
        self._caller = HttpCaller()

    async def start(self, worker: WorkerSpec, request: StartRequest) -> StartReply:
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
            return StartReply(StartResult.STARTED, _read_clock(response))
        if response.status in (429, 503):
            return StartReply(StartResult.UNHEALTHY)
        if response.status == 409:
            result = _find_conflict_result(worker, response, _CONFLICT_RESULTS)
            return StartReply(result)
        if response.status == 400:
            return StartReply(StartResult.INVALID)
        # A proxy or a failing worker may respond after the run has begun.
        raise NoAnswerError(worker.address, f"status {response.status}")

    async def stop(self, worker: WorkerSpec, request: StopRequest) -> bool:
        """Stop or block a run; return whether the worker accepted the request."""
        value = {
            "Task": bodies.format_task(request.task),
            "RunId": request.run,
            "FencingToken": request.fence,
        }
        response = await self._call(worker, "/-/run-stop", value)
        return response.status == 200

    async def pace(self, worker: WorkerSpec, request: PaceRequest) -> PaceResult:
        """Limit the progress of a run."""
        value = {
            "Task": bodies.format_task(request.task),
            "RunId": request.run,
            "Percent": request.percent,
            "FencingToken": request.fence,
        }
        response = await self._call(worker, "/-/pace", value)
        if response.status == 200:
            return PaceResult.PACED
        if response.status == 409:
            return _find_conflict_result(worker, response, _PACE_CONFLICT_RESULTS)
        raise NoAnswerError(worker.address, f"status {response.status}")

    async def poll(
        self, worker: WorkerSpec, request: PollRequest
    ) -> StatusReport | None:
        """Renew the lease and return the status, or None for a stale fencing token."""
        value = {"FencingToken": request.fence, "SeenUpto": request.acknowledged_end}
        if request.deadline_ms is not None:
            value["DeadlineMs"] = request.deadline_ms
        if request.wait_ms:
            value["WaitMs"] = request.wait_ms
        response = await self._call(worker, "/-/hold", value, request.is_retry)
        if response.status == 409:
            return None
        if response.status != 200:
            raise NoAnswerError(worker.address, f"status {response.status}")
        try:
            return status.decode_status(response.content)
        except bodies.UnreadableBodyError as error:
            raise NoAnswerError(worker.address, str(error)) from error

    async def _call(
        self, worker: WorkerSpec, path: str, value: dict, is_retry: bool = False
    ) -> HttpResponse:
        headers = [("Expected-Instance", worker.id)]
        body = msgspec.json.encode(value)
        response = await self._caller.post(
            worker.address, path, body, headers, is_retry=is_retry
        )
        if response.status == 421:
            raise OtherLifeError(worker.address)
        return response

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()


class Advice(msgspec.Struct):
    """Response of the advisor."""

    # Rows of worker and ticket.
    Allowed: tuple[Any, ...]


class PlatformAdvisor(Advisor):
    """Client of the platform's advisor.

    Args:
        address: IP address and port of the advisor.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._caller = HttpCaller()

    async def request_tickets(
        self, step: tuple[str, int, int], workers: tuple[str, ...]
    ) -> dict[str, str]:
        """Return the advisor's ticket for each worker that is allowed to run a step."""
        value = {"Step": ".".join(map(str, step)), "Workers": workers}
        try:
            response = await self._caller.post(
                self._address, "/-/advise", msgspec.json.encode(value)
            )
        except (NotReachedError, NoAnswerError) as error:
            raise AdvisorBusyError(str(error)) from error
        if response.status != 200:
            raise AdvisorBusyError(f"status {response.status}")
        try:
            rows = msgspec.json.decode(response.content, type=Advice).Allowed
            return dict(row[:2] for row in rows if _is_ticket(row))
        except bodies.DECODE_ERRORS as error:
            raise AdvisorBusyError(f"invalid response: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()


def _is_ticket(row: object) -> bool:
    """Return whether a row of the advisor names a worker and its ticket."""
    return (
        isinstance(row, list)
        and len(row) >= 2
        and all(isinstance(item, str) for item in row[:2])
    )


def _find_conflict_result(
    worker: WorkerSpec, response: HttpResponse, results: Mapping[str, _Result]
) -> _Result:
    """Return the result for the reason of a 409 response."""
    reason = _decode_object(worker, response).get("Reason")
    if isinstance(reason, str) and reason in results:
        return results[reason]
    raise NoAnswerError(worker.address, f"status 409 with reason {reason!r}")


def _read_clock(response: HttpResponse) -> int | None:
    """Return the clock of the process that responded, or None if it is not readable.

    The start has been accepted, so the rest of the body does not matter.
    """
    try:
        return msgspec.json.decode(response.content, type=AcceptedStart).CurrentTimeMs
    except bodies.DECODE_ERRORS:
        return None


def _decode_object(worker: WorkerSpec, response: HttpResponse) -> dict:
    try:
        value = msgspec.json.decode(response.content)
    except bodies.DECODE_ERRORS as error:
        raise NoAnswerError(worker.address, str(error)) from error
    return value if isinstance(value, dict) else {}
