"""Ratio of actual to declared run times, by queue."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.observers import RunObserver
from bluebellyoke.dispatch.tracked_run import TrackedRun
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunOutcome
from bluebellyoke.workflow.specs import QueueAddress
from bluebellyoke.workflow.store import RunKey

__all__ = ["RunRatios"]

#: Weight of a new run in the mean. It averages about 50 runs, so that the error of a
#: single estimate changes it little.
SAMPLE_WEIGHT = 0.02

#: Fraction of the runs that are below the high ratio, and the amount by which a run
#: changes the high ratio: a run above it adds `HIGH_FRACTION` of the step, and a run
#: below it subtracts the rest. A job of several tasks takes as long as the slowest of
#: them.
HIGH_FRACTION = 0.8
HIGH_STEP = 0.05

#: Bounds of the ratio of a single run, which limit the effect of outliers.
MIN_RATIO = 0.2
MAX_RATIO = 5.0


class RunRatios(RunObserver):
    """Learns by which factor the estimates of a queue are off on average.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._ratios: dict[QueueAddress, float] = {}
        self._high_ratios: dict[QueueAddress, float] = {}

    def get_ratio(self, queue: QueueAddress) -> float:
        """Return the mean ratio of a queue, 1 if nothing is known."""
        return self._ratios.get(queue, 1.0)

    def get_high_ratio(self, queue: QueueAddress) -> float:
        """Return the ratio that most runs of a queue are below, 1 if unknown."""
        return self._high_ratios.get(queue, 1.0)

    def record_end(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        """Take the run time of a run that is done and began without a checkpoint."""
        if outcome is not RunOutcome.DONE or run.sent_at is None:
            return
        workflow = self._context.store.workflows.get(key[0].workflow)
        task = workflow.find_task(key[0]) if workflow is not None else None
        if task is None or task.checkpoint:
            return
        estimate_s = workflow.spec.steps[key[0].step].estimate_ms / 1000
        if not estimate_s:
            return
        ratio = min(max((now - run.sent_at) / estimate_s, MIN_RATIO), MAX_RATIO)
        queue = workflow.spec.address
        old = self._ratios.get(queue, 1.0)
        self._ratios[queue] = old + SAMPLE_WEIGHT * (ratio - old)
        high = self._high_ratios.get(queue, 1.0)
        is_above = ratio > high
        change = HIGH_FRACTION if is_above else HIGH_FRACTION - 1
        high = min(max(high + HIGH_STEP * change, MIN_RATIO), MAX_RATIO)
        self._high_ratios[queue] = high

    def clear(self) -> None:
        """Forget all ratios."""
        self._ratios.clear()
        self._high_ratios.clear()
