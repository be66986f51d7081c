"""Tasks that call workers and post what came of it."""

import logging
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.clock import Clock
from bluebellyoke.dispatch.events import (
    HoldFinished,
    StartFinished,
    StopFinished,
    WorkerEvent,
)
from bluebellyoke.dispatch.ports import (
    HoldOrder,
    NoAnswerError,
    StartOrder,
    StopOrder,
    WorkerCaller,
)
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = ["WorkerCalls"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time for the answer of a start, a stop or a look, in seconds. A worker answers them
#: in milliseconds; what is late is settled by another call.
ORDER_TIMEOUT_S = 0.35

#: Time for the answer of a hold beyond its own wait, in seconds.
HOLD_SLACK_S = 0.35


class WorkerCalls:
    """Runs each call in a task of its own.

    Args:
        caller: Interface to the workers.
        clock: Source of time.
        metrics: Histograms and counters.
    """

    def __init__(
        self, *, caller: WorkerCaller, clock: Clock, metrics: Metrics | None = None
    ) -> None:
        self.metrics = metrics or Metrics()
        self._caller = caller
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
                    await self._caller.close()

    def start(self, worker: WorkerSpec, order: StartOrder) -> None:
        """Begin to start a run."""
        self._spawn(self._start, worker, order, self.term)

    def stop(self, worker: WorkerSpec, order: StopOrder) -> None:
        """Begin to stop a run."""
        self._spawn(self._stop, worker, order, self.term)

    def hold(self, worker: WorkerSpec, order: HoldOrder) -> None:
        """Begin to renew a lease."""
        self._spawn(self._hold, worker, order, self.term)

    def _spawn(self, function: Callable, *args) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    async def _start(self, worker: WorkerSpec, order: StartOrder, term: int) -> None:
        answer, fault = await self._attempt(
            "start", self._caller.start(worker, order), worker, ORDER_TIMEOUT_S
        )
        self._post(
            StartFinished(
                term=term,
                worker=worker.id,
                born=worker.born,
                fault=fault,
                key=(order.task, order.run),
                answer=answer,
            )
        )

    async def _stop(self, worker: WorkerSpec, order: StopOrder, term: int) -> None:
        accepted, fault = await self._attempt(
            "stop", self._caller.stop(worker, order), worker, ORDER_TIMEOUT_S
        )
        self._post(
            StopFinished(
                term=term,
                worker=worker.id,
                born=worker.born,
                fault=fault,
                key=(order.task, order.run),
                accepted=bool(accepted),
            )
        )

    async def _hold(self, worker: WorkerSpec, order: HoldOrder, term: int) -> None:
        sent_at = self._clock.monotonic()
        timeout_s = order.wait_ms / 1000 + HOLD_SLACK_S
        report, fault = await self._attempt(
            "look" if order.is_look else "hold",
            self._caller.hold(worker, order),
            worker,
            ORDER_TIMEOUT_S if order.is_look else timeout_s,
        )
        self._post(
            HoldFinished(
                term=term,
                worker=worker.id,
                born=worker.born,
                fault=fault,
                sent_at=sent_at,
                report=report,
                is_look=order.is_look,
            )
        )

    async def _attempt(
        self, kind: str, call: Awaitable, worker: WorkerSpec, timeout_s: float
    ) -> tuple:
        """Return the value of a call and None, or None and the fault."""
        begun = self._clock.monotonic()
        value, fault = await _attempt(call, worker, timeout_s)
        outcome = "answered" if fault is None else type(fault).__name__
        took = self._clock.monotonic() - begun
        self.metrics.note_worker_call(kind, outcome, took)
        return value, fault


async def _attempt(call: Awaitable, worker: WorkerSpec, timeout_s: float) -> tuple:
    """Return the value of a call and None, or None and the fault."""
    try:
        with anyio.fail_after(timeout_s):
            return await call, None
    except TimeoutError:
        return None, NoAnswerError(worker.address, f"none within {timeout_s:g} s")
    except BluebellyokeError as fault:
        return None, fault
    except Exception as error:
        # Whatever a worker sends must not end the leader.
        logger.exception("dispatch: a call broke", extra={"worker": worker.id})
        return None, NoAnswerError(worker.address, f"{type(error).__name__} {error}")
