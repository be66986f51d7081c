"""Calls to workers, each in a task of its own that posts the result as an event."""

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

#: Timeout of a start, a stop or a probe, in seconds. A worker answers them within
#: milliseconds; after a timeout, another call finds out the outcome.
CALL_TIMEOUT_S = 0.35

#: Timeout of a poll in addition to the wait that it allows the worker, in seconds.
POLL_TIMEOUT_SLACK_S = 0.35


class WorkerCalls:
    """Runs each call in a task of its own.

    Args:
        client: Interface to the workers.
        clock: Source of time.
        metrics: Histograms and counters.

    Attributes:
        term: Term of the leader, which is copied to the events of its calls.
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
        """Run the calls until cancelled; `post` receives their events."""
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
        """Start a run in the background."""
        self._spawn(self._start, worker, request, self.term)

    def stop(self, worker: WorkerSpec, request: StopRequest) -> None:
        """Stop a run in the background."""
        self._spawn(self._stop, worker, request, self.term)

    def poll(self, worker: WorkerSpec, request: PollRequest) -> None:
        """Poll or probe a worker in the background."""
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
        """Make a call, record its metrics and return its result and error."""
        started_at = self._clock.monotonic()
        value, error = await _attempt(call, worker, timeout_s)
        outcome = "answered" if error is None else type(error).__name__
        elapsed_s = self._clock.monotonic() - started_at
        self.metrics.record_worker_call(kind, outcome, elapsed_s)
        return value, error


async def _attempt(call: Awaitable, worker: WorkerSpec, timeout_s: float) -> tuple:
    """Return the result of a call and None, or None and the error."""
    try:
        with anyio.fail_after(timeout_s):
            return await call, None
    except TimeoutError:
        return None, NoAnswerError(worker.address, f"none within {timeout_s:g} s")
    except BluebellyokeError as error:
        return None, error
    except Exception as error:
        # No response of a worker may end the leader's task group.
        logger.exception(
            "dispatch: a call to a worker raised an unexpected error",
            extra={"worker": worker.id},
        )
        return None, NoAnswerError(worker.address, f"{type(error).__name__} {error}")
