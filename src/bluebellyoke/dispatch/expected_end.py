"""Placement by the expected end of tasks on workers of different speed."""

import math
from collections.abc import Callable, Hashable

from bluebellyoke.dispatch.costs import PlacementCost
from bluebellyoke.dispatch.run_times import RunTimes
from bluebellyoke.dispatch.worker_speeds import WorkerSpeeds
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.specs import QueueAddress, QueueSpec, StepSpec

__all__ = ["ExpectedEndCost"]

#: Time within which a task is on time, as a multiple of its run time, at which its
#: worker's speed makes no difference. Steps with less prefer fast workers.
NEUTRAL_SLACK = 3.2

#: Difference from it at which the whole additional run time counts.
SLACK_RANGE = 1.2

#: Lowest sensitivity: steps with much slack leave fast workers to the others.
MIN_SENSITIVITY = -0.25
MAX_SENSITIVITY = 1.0

#: Sensitivities are rounded down to this, so that many steps share a table of costs.
SENSITIVITY_STEP = 0.25

#: Least sensitivity to a temporary slowdown. It makes tasks several times as long, and
#: no step has slack for that.
MIN_SLOWDOWN_SENSITIVITY = 0.5


class ExpectedEndCost(PlacementCost):
    """Makes steps with little slack prefer fast workers, and the others slow ones.

    All tasks of a gang rank workers in the same order, so a gang gets workers of
    similar speed. While no worker differs from the others, the cost is 0.

    Args:
        speeds: Speed of the workers.
        run_times: Expected run times.
        find_queue: Finds a queue by its address, also one that has been removed.
    """

    is_lasting = True

    def __init__(
        self,
        speeds: WorkerSpeeds,
        run_times: RunTimes,
        find_queue: Callable[[QueueAddress], QueueSpec | None],
    ) -> None:
        self._speeds = speeds
        self._run_times = run_times
        self._find_queue = find_queue
        self._latest: tuple[StepSpec, str, float] | None = None

    def classify(self, step: StepSpec, queue: QueueAddress) -> Hashable | None:
        """Return the sensitivity of a step and the version of the known speeds.

        It is None while the workers are equal.
        """
        if not self._speeds.is_uneven or step.long_running or step.backfill:
            return None
        sensitivity = self._compute_sensitivity(step, queue)
        self._latest = (step, queue, sensitivity)
        return sensitivity, self._speeds.version

    def estimate(
        self, step: StepSpec, queue: QueueAddress, worker: TrackedWorker
    ) -> float:
        """Return the additional run time on a worker, weighted by the lack of slack."""
        latest = self._latest
        if latest is None or latest[0] is not step or latest[1] != queue:
            if self.classify(step, queue) is None:
                return 0.0
            latest = self._latest
        sensitivity = latest[2]
        factor = self._speeds.get_factor(worker)
        cost = sensitivity * (factor - 1.0)
        slowdown = self._speeds.get_slowdown(worker)
        if slowdown > 1.0:
            weight = max(sensitivity, MIN_SLOWDOWN_SENSITIVITY)
            cost += weight * factor * (slowdown - 1.0)
        return cost

    def _compute_sensitivity(self, step: StepSpec, queue: QueueAddress) -> float:
        """Return how much of the additional run time of a slow worker counts."""
        spec = self._find_queue(queue)
        if spec is None:
            return 0.0
        slack = spec.slack_factor
        predicted = self._run_times.predict(queue, step)
        if predicted is not None and spec.target_ms:
            slack += spec.target_ms / 1000 / predicted.seconds
        sensitivity = (NEUTRAL_SLACK - slack) / SLACK_RANGE
        bounded = min(max(sensitivity, MIN_SENSITIVITY), MAX_SENSITIVITY)
        return math.floor(bounded / SENSITIVITY_STEP) * SENSITIVITY_STEP
