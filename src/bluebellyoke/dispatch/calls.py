"""Tasks that call workers and post what came of it."""

import logging
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.clock import Clock
from bluebellyoke.dispatch.events import (
    PollFinished,
    StartFinished,
    StopFinished,
    WorkerEvent,
)
from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    PollRequest,
    StartRequest,
    StopRequest,
    WorkerClient,
)
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["WorkerCalls"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time for the answer of a start, a stop or a look, in seconds. A worker answers them
#: in milliseconds; what is late is settled by another call.
CALL_TIMEOUT_S = 0.35

#: Time for the answer of a hold beyond its own wait, in seconds.
POLL_TIMEOUT_SLACK_S = 0.35


class WorkerCalls:
    """Runs each call in a task of its own.

    Args:
        caller: Interface to the workers.
        clock: Source of time.
        metrics: Histograms and counters.
    """

    def __init__(
        self, *, client: WorkerClient, clock: Clock, metrics: Metrics | None = None
    ) -> None:
        self.metrics = metrics or Metrics()
        self._client = client
        self._clock = clock
        self._tasks: TaskGroup | None = None
        self._post: Callable[[WorkerEvent], object] = lambda event: None
        self.term = 0

    async def run(self, post: Callable[[WorkerEvent], object]) -> None:
        """Own the calls until cancelled; `post` takes what comes of them."""
        self._post = post
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    await self._client.close()

    def start(self, worker: WorkerSpec, request: StartRequest) -> None:
        """Begin to start a run."""
        self._spawn(self._start, worker, request, self.term)

    def stop(self, worker: WorkerSpec, request: StopRequest) -> None:
        """Begin to stop a run."""
        self._spawn(self._stop, worker, request, self.term)

    def poll(self, worker: WorkerSpec, request: PollRequest) -> None:
        """Begin to renew a lease."""
        self._spawn(self._poll, worker, request, self.term)

    def _spawn(self, function: Callable, *args) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    async def _start(
        self, worker: WorkerSpec, request: StartRequest, term: int
    ) -> None:
        result, error = await self._attempt(
            "start", self._client.start(worker, request), worker, CALL_TIMEOUT_S
        )
        self._post(
            StartFinished(
                term=term,
                worker=worker.id,
                incarnation=worker.incarnation,
                error=error,
                key=(request.task, request.run),
                result=result,
            )
        )

    async def _stop(self, worker: WorkerSpec, request: StopRequest, term: int) -> None:
        accepted, error = await self._attempt(
            "stop", self._client.stop(worker, request), worker, CALL_TIMEOUT_S
        )
        self._post(
            StopFinished(
                term=term,
                worker=worker.id,
                incarnation=worker.incarnation,
                error=error,
                key=(request.task, request.run),
                accepted=bool(accepted),
            )
        )

    async def _poll(self, worker: WorkerSpec, request: PollRequest, term: int) -> None:
        sent_at = self._clock.monotonic()
        timeout_s = request.wait_ms / 1000 + POLL_TIMEOUT_SLACK_S
        report, error = await self._attempt(
            "look" if request.is_probe else "hold",
            self._client.poll(worker, request),
            worker,
            CALL_TIMEOUT_S if request.is_probe else timeout_s,
        )
        self._post(
            PollFinished(
                term=term,
                worker=worker.id,
                incarnation=worker.incarnation,
                error=error,
                sent_at=sent_at,
                report=report,
                is_probe=request.is_probe,
            )
        )

    async def _attempt(
        self, kind: str, call: Awaitable, worker: WorkerSpec, timeout_s: float
    ) -> tuple:
        """Return the value of a call and None, or None and the fault."""
        started_at = self._clock.monotonic()
        value, error = await _attempt(call, worker, timeout_s)
        outcome = "answered" if error is None else type(error).__name__
        elapsed_s = self._clock.monotonic() - started_at
        self.metrics.note_worker_call(kind, outcome, elapsed_s)
        return value, error


async def _attempt(call: Awaitable, worker: WorkerSpec, timeout_s: float) -> tuple:
    """Return the value of a call and None, or None and the fault."""
    try:
        with anyio.fail_after(timeout_s):
            return await call, None
    except TimeoutError:
        return None, NoAnswerError(worker.address, f"none within {timeout_s:g} s")
    except BluebellyokeError as error:
        return None, error
    except Exception as error:
        # Whatever a worker sends must not end the leader.
        logger.exception("dispatch: a call broke", extra={"worker": worker.id})
        return None, NoAnswerError(worker.address, f"{type(error).__name__} {error}")
