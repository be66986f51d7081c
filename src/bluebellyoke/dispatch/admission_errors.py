"""Measurement of wrong decisions on jobs: refused too early or accepted too late."""

from collections import deque
from dataclasses import dataclass

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.objectives import JobShape
from bluebellyoke.dispatch.prediction import JobPredictor
from bluebellyoke.workflow.specs import QueueSpec

__all__ = ["COMMIT_TIMEOUT_S", "AdmissionErrors"]

#: Maximum number of accepted jobs whose end is compared with its prediction.
MAX_EXPECTED = 20_000

#: Maximum number of refused jobs that are compared with the capacity that came free.
MAX_REFUSED = 500

#: Time for which an accepted job need not be in the store yet, in seconds.
COMMIT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class _Expectation:
    """Wall-clock times of an accepted job, in seconds."""

    accepted_at: float
    predicted_at: float
    due_at: float
    useless_at: float


@dataclass(frozen=True, slots=True)
class _Refusal:
    """A refused job.

    Attributes:
        until: Monotonic time until which a start would have been on time, in seconds.
    """

    queue: QueueSpec
    shape: JobShape
    until: float


class AdmissionErrors:
    """Compares decisions on jobs with what happened after them.

    Args:
        context: Shared state of the dispatcher.
        predictor: Summary of the free capacity.
    """

    def __init__(self, context: DispatchContext, predictor: JobPredictor) -> None:
        self._context = context
        self._predictor = predictor
        self._expected: dict[str, _Expectation] = {}
        self._refused: deque[_Refusal] = deque(maxlen=MAX_REFUSED)

    def clear(self) -> None:
        """Forget all decisions."""
        self._expected.clear()
        self._refused.clear()

    def expect(
        self,
        job: str,
        *,
        accepted_at: float,
        predicted_at: float,
        due_at: float,
        useless_at: float,
    ) -> None:
        """Record the times of an accepted job; all times are wall-clock times."""
        if len(self._expected) < MAX_EXPECTED:
            self._expected[job] = _Expectation(
                accepted_at, predicted_at, due_at, useless_at
            )

    def record_refusal(self, queue: QueueSpec, shape: JobShape, until: float) -> None:
        """Record a job that was refused for lack of capacity.

        Args:
            until: Monotonic time until which an end would have been on time.
        """
        start_until = until - shape.chain_s
        self._refused.append(_Refusal(queue, shape, start_until))

    def check(self, now: float, wall_time: float) -> None:
        """Count the errors that have become known."""
        self._check_expected(wall_time)
        self._check_refused(now)

    def _check_expected(self, wall_time: float) -> None:
        store = self._context.store
        ended = []
        for job, item in self._expected.items():
            if job in store.active:
                continue
            workflow = store.workflows.get(job)
            if workflow is None and wall_time - item.accepted_at < COMMIT_TIMEOUT_S:
                continue
            ended.append(job)
            if workflow is not None and workflow.outcome == "completed":
                self._record_end(item, workflow.finished_at)
        for job in ended:
            del self._expected[job]

    def _record_end(self, item: _Expectation, finished_at: float) -> None:
        metrics = self._context.metrics
        metrics.record_prediction_error(finished_at - item.predicted_at)
        if finished_at > item.useless_at:
            metrics.record_admission_error("accepted-useless")
        elif finished_at > item.due_at:
            metrics.record_admission_error("accepted-late")

    def _check_refused(self, now: float) -> None:
        kept: deque[_Refusal] = deque(maxlen=MAX_REFUSED)
        for item in self._refused:
            if now > item.until:
                continue
            if self._predictor.has_room(item.queue, item.shape, reserve=False):
                self._context.metrics.record_admission_error("refused-with-room")
            else:
                kept.append(item)
        self._refused = kept
