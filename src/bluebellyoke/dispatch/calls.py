"""Background calls to workers, whose results are posted as events."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.clock import Clock
from bluebellyoke.dispatch.events import (
    PaceFinished,
    PollFinished,
    StartFinished,
    StopFinished,
    WorkerEvent,
)
from bluebellyoke.dispatch.log_limits import LogLimit
from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    PaceRequest,
    PollRequest,
    StartRequest,
    StatusReport,
    StopRequest,
    WorkerClient,
)
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = [
    "CALL_TIMEOUT_S",
    "MAX_EVENT_DELAY_S",
    "POLL_TIMEOUT_SLACK_S",
    "POLL_WAIT_MS",
    "WorkerCalls",
]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Timeout of a start, a stop, a pace request or a probe, in seconds. A worker responds
#: within milliseconds; after a timeout, another call finds out the outcome.
CALL_TIMEOUT_S = 0.35

#: Time for which a worker may delay its response to a poll, in milliseconds.
POLL_WAIT_MS = 1000

#: Timeout of a poll in addition to the wait that it allows the worker, in seconds.
POLL_TIMEOUT_SLACK_S = 0.35

#: Time after its timeout for which the response to a poll or a probe is still accepted,
#: in seconds. A worker that is only slow would otherwise lose its lease and its runs.
LATE_RESPONSE_S = 2.0


#: Time after the timeout of a call after which it counts as unanswered even if no event
#: has arrived, in seconds. The queue of the leader's inputs drops events while it is
#: full. A poll, its timeout and this time together are shorter than a worker's lease,
#: so a worker keeps its runs although one event was lost.
MAX_EVENT_DELAY_S = 2.0


class WorkerCalls:
    """Runs each call in a background task.

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
        self._post: Callable[[WorkerEvent], bool | None] = lambda event: None
        self._drop_log_limit = LogLimit()
        self.term = 0

    async def run(self, post: Callable[[WorkerEvent], bool | None]) -> None:
        """Run the calls until cancelled.

        Args:
            post: Receives their events; it returns False if it has dropped one.
        """
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

    def pace(self, worker: WorkerSpec, request: PaceRequest) -> None:
        """Limit the progress of a run in the background."""
        self._spawn(self._pace, worker, request, self.term)

    def poll(self, worker: WorkerSpec, request: PollRequest) -> None:
        """Poll or probe a worker in the background."""
        self._spawn(self._poll, worker, request, self.term)

    def _spawn(self, function: Callable, *args) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    def _post_event(self, event: WorkerEvent) -> None:
        """Pass on an event; log one that is dropped, which counts as unanswered."""
        is_dropped = self._post(event) is False
        if is_dropped and self._drop_log_limit.allow(self._clock.monotonic()):
            logger.warning(
                "dispatch: dropped the event of a call",
                extra={
                    "worker": event.worker,
                    "kind": type(event).__name__,
                    "skipped": self._drop_log_limit.pop_skipped(),
                },
            )

    async def _start(
        self, worker: WorkerSpec, request: StartRequest, term: int
    ) -> None:
        sent_at = self._clock.monotonic()
        reply, error = await self._make_call(
            "start", self._client.start(worker, request), worker, CALL_TIMEOUT_S
        )
        self._post_event(
            StartFinished(
                term=term,
                worker=worker.id,
                incarnation=worker.incarnation,
                error=error,
                key=(request.task, request.run),
                result=reply.result if reply is not None else None,
                clock_ms=reply.clock_ms if reply is not None else None,
                sent_at=sent_at,
            )
        )

    async def _stop(self, worker: WorkerSpec, request: StopRequest, term: int) -> None:
        accepted, error = await self._make_call(
            "stop", self._client.stop(worker, request), worker, CALL_TIMEOUT_S
        )
        self._post_event(
            StopFinished(
                term=term,
                worker=worker.id,
                incarnation=worker.incarnation,
                error=error,
                key=(request.task, request.run),
                accepted=bool(accepted),
            )
        )

    async def _pace(self, worker: WorkerSpec, request: PaceRequest, term: int) -> None:
        result, error = await self._make_call(
            "pace", self._client.pace(worker, request), worker, CALL_TIMEOUT_S
        )
        self._post_event(
            PaceFinished(
                term=term,
                worker=worker.id,
                incarnation=worker.incarnation,
                error=error,
                key=(request.task, request.run),
                percent=request.percent,
                result=result,
            )
        )

    async def _poll(self, worker: WorkerSpec, request: PollRequest, term: int) -> None:
        """Poll a worker; post the timeout when it occurs, and a later response too."""
        sent_at = self._clock.monotonic()
        timeout_s = request.wait_ms / 1000 + POLL_TIMEOUT_SLACK_S
        if request.is_probe:
            timeout_s = CALL_TIMEOUT_S
        # Metric labels of a probe and of a poll.
        kind = "look" if request.is_probe else "hold"
        has_timed_out = False

        def post(report: StatusReport | None, error: BluebellyokeError | None) -> None:
            self._post_event(
                PollFinished(
                    term=term,
                    worker=worker.id,
                    incarnation=worker.incarnation,
                    error=error,
                    sent_at=sent_at,
                    report=report,
                    is_probe=request.is_probe,
                    is_late=has_timed_out and report is not None,
                )
            )

        def post_timeout() -> None:
            nonlocal has_timed_out
            has_timed_out = True
            error = _create_timeout_error(worker, timeout_s)
            self._record_call(kind, error, sent_at)
            post(None, error)

        timer = asyncio.get_running_loop().call_later(timeout_s, post_timeout)
        try:
            report, error = await _await_result(
                self._client.poll(worker, request), worker, timeout_s + LATE_RESPONSE_S
            )
        finally:
            timer.cancel()
        if not has_timed_out:
            self._record_call(kind, error, sent_at)
            post(report, error)
        elif report is not None:
            post(report, None)

    async def _make_call(
        self, kind: str, call: Awaitable, worker: WorkerSpec, timeout_s: float
    ) -> tuple:
        """Make a call, record its metrics and return its result and error."""
        started_at = self._clock.monotonic()
        value, error = await _await_result(call, worker, timeout_s)
        self._record_call(kind, error, started_at)
        return value, error

    def _record_call(
        self, kind: str, error: BluebellyokeError | None, started_at: float
    ) -> None:
        outcome = "answered" if error is None else type(error).__name__
        elapsed_s = self._clock.monotonic() - started_at
        self.metrics.record_worker_call(kind, outcome, elapsed_s)


def _create_timeout_error(worker: WorkerSpec, timeout_s: float) -> NoAnswerError:
    cause = f"none within {timeout_s:g} s"
    return NoAnswerError(worker.address, cause, timed_out=True)


async def _await_result(call: Awaitable, worker: WorkerSpec, timeout_s: float) -> tuple:
    """Return the result of a call and None, or None and the error."""
    try:
        with anyio.fail_after(timeout_s):
            return await call, None
    except TimeoutError:
        return None, _create_timeout_error(worker, timeout_s)
    except BluebellyokeError as error:
        return None, error
    except Exception as error:
        # No response of a worker may end the leader's task group.
        logger.exception(
            "dispatch: a call to a worker raised an unexpected error",
            extra={"worker": worker.id},
        )
        return None, NoAnswerError(worker.address, f"{type(error).__name__} {error}")
