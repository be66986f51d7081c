"""Moves of runs that are far over their expected time because of their worker.

A run is stopped with a checkpoint and starts again elsewhere from it; its next run
begins only after its end is known, so there are never two. A run that is only long has
the usual rate for its worker, so a move would not gain anything.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterator

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.open_starts import keeps_place_after_end
from bluebellyoke.dispatch.placement import count_fitting_tasks
from bluebellyoke.dispatch.planning_round import MAX_WORKER_SILENCE_S
from bluebellyoke.dispatch.run_times import RunTimes
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.tracked_run import COMPLETE_PERCENT, RunPhase, TrackedRun
from bluebellyoke.dispatch.worker_speeds import WorkerSpeeds
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import TaskName
from bluebellyoke.workflow.specs import QueueAddress, StepSpec
from bluebellyoke.workflow.store import RunKey

__all__ = ["StragglerMover"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time between two searches for runs to move, in seconds.
CHECK_INTERVAL_S = 0.5

#: Age from which a run may be moved, in seconds, and its minimum progress in percent. A
#: younger run loses little by ending late, and may have nothing to resume from.
MIN_AGE_S = 1.5
MIN_PERCENT = 5

#: Multiple of its expected run time that a run has to exceed, by its age and the time
#: that is left. It leaves room for the usual variation of run times.
LATE_FACTOR = 2.0

#: Share of the objective of its job that it has to exceed as well. The rest is for
#: other steps and for waits.
OBJECTIVE_SHARE = 0.6

#: Longest time of a stop, of a start from a checkpoint and of the wait in between, in
#: seconds.
MOVE_S = 0.9 + 0.6 + 0.3

#: Time that a move has to gain, in seconds.
MIN_GAIN_S = 1.5

#: Assumed duration of a slowdown, and of its rest once it has lasted for longer, in
#: seconds.
SLOWDOWN_S = 6.0
MIN_SLOWDOWN_LEFT_S = 2.0

#: Time without progress after which a run of a stalled worker is moved, in seconds.
#: A shorter pause takes about as long as a move.
STALL_S = 3.0

#: Factor of a worker from which its runs are considered.
MIN_FACTOR = 1.3

#: Runs that may be moved a second, and at once.
MOVES_PER_S = 4.0
MAX_MOVES = 8.0

#: Share of the CPU time of the unimpaired workers that has to be free. With less, other
#: tasks would start in the place of the moved one, on the same worker.
MIN_FREE_SHARE = 0.25

#: Number of tasks that are remembered as moved.
MAX_MOVED = 2000


class StragglerMover:
    """Stops runs on slow, stalled or failing workers that end earlier elsewhere.

    Args:
        context: Shared state of the dispatcher.
        stopper: Sends stops of runs.
        speeds: Speed of the workers.
        run_times: Expected run times.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        stopper: RunStopper,
        speeds: WorkerSpeeds,
        run_times: RunTimes,
    ) -> None:
        self._context = context
        self._stopper = stopper
        self._speeds = speeds
        self._run_times = run_times
        self._moved: OrderedDict[TaskName, int] = OrderedDict()
        self._check_due = 0.0
        self._checked_at = 0.0
        self._allowance = 0.0

    def clear(self) -> None:
        """Forget which tasks have been moved."""
        self._moved.clear()
        self._check_due = self._checked_at = self._allowance = 0.0

    def tick(self, now: float) -> None:
        """Move runs, at a bounded rate."""
        if now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        earned = MOVES_PER_S * (now - self._checked_at)
        self._allowance = min(self._allowance + earned, MAX_MOVES)
        self._checked_at = now
        for worker, reason in self._list_impaired_workers():
            for key, run in list(worker.runs.items()):
                if self._allowance < 1.0:
                    return
                if self._should_move(worker, key, run, reason, now):
                    self._move(worker, key, reason)

    def _list_impaired_workers(self) -> list[tuple[TrackedWorker, str]]:
        """Return the workers that may make runs late, with the reason."""
        found = []
        for worker in self._context.workers.values():
            if not worker.runs:
                continue
            if worker.is_stalled:
                found.append((worker, "stalled"))
            elif self._speeds.get_slowdown(worker) > 1.0:
                found.append((worker, "slowed"))
            elif worker.quarantines:
                found.append((worker, "failing"))
            elif self._speeds.get_factor(worker) >= MIN_FACTOR:
                found.append((worker, "slow"))
        return found

    # Decision.

    def _should_move(
        self,
        worker: TrackedWorker,
        key: RunKey,
        run: TrackedRun,
        reason: str,
        now: float,
    ) -> bool:
        mark = run.mark
        if mark is None or run.phase is not RunPhase.STARTED:
            return False
        if keeps_place_after_end(run, now, self._context.wall_time):
            return False
        begun_at = mark.first_at if run.sent_at is None else run.sent_at
        if now - begun_at < MIN_AGE_S or not run.percent >= MIN_PERCENT:
            return False
        found = self._context.find_run(key)
        if found is None or run.percent >= COMPLETE_PERCENT:
            return False
        queue, step, is_fresh = found
        # A run that resumes from a checkpoint was stopped or lost before. This holds
        # for the moves of an earlier leader too.
        if not is_fresh or not step.checkpoints or step.long_running:
            return False
        if self._moved.get(key[0], -1) >= key[1] - 1:
            return False
        predicted = self._run_times.predict(queue, step)
        if predicted is None:
            return False
        rate = mark.rate / mark.rate_scale
        if step.gang:
            # Its tasks end together, so their rates tell nothing of the worker.
            factor = self._speeds.get_factor(worker)
            rate = COMPLETE_PERCENT / (predicted.seconds * factor)
        if not rate:
            return False
        work_s = (COMPLETE_PERCENT - run.percent) / rate
        gain_s, left_s = self._estimate_gain(worker, run, reason, work_s, now)
        total_s = now - begun_at + left_s
        return (
            gain_s >= MIN_GAIN_S
            and total_s > self._compute_limit(queue, predicted.seconds)
            and self._has_room_elsewhere(worker, step, key)
        )

    def _compute_limit(self, queue: QueueAddress, expected_s: float) -> float:
        """Return the run time from which a run is far over its expected time."""
        limit_s = LATE_FACTOR * expected_s
        spec = self._context.find_queue(queue)
        if spec is not None:
            objective_s = spec.slack_factor * expected_s + spec.target_ms / 1000
            limit_s = max(limit_s, OBJECTIVE_SHARE * objective_s)
        return limit_s

    def _estimate_gain(
        self,
        worker: TrackedWorker,
        run: TrackedRun,
        reason: str,
        work_s: float,
        now: float,
    ) -> tuple[float, float]:
        """Return the time that a move gains, and the time that is left without it.

        Args:
            work_s: Time that is left at the worker's usual speed, in seconds.
        """
        elsewhere_s = MOVE_S + work_s / self._speeds.get_factor(worker)
        left_s = work_s
        if reason == "stalled":
            is_long = now - run.progressed_at >= STALL_S
            left_s = work_s + (SLOWDOWN_S if is_long else 0.0)
        elif reason == "slowed":
            ratio = 1.0 / self._speeds.get_slowdown(worker)
            age_s = now - self._speeds.get_slowdown_start(worker)
            slow_s = max(SLOWDOWN_S - age_s, MIN_SLOWDOWN_LEFT_S)
            left_s = min(work_s / ratio, slow_s + work_s - slow_s * ratio)
        return left_s - elsewhere_s, left_s

    def _has_room_elsewhere(
        self, worker: TrackedWorker, step: StepSpec, key: RunKey
    ) -> bool:
        """Return whether other workers have room for the tasks that are to be moved."""
        free = capacity = 0
        missing = sum(x is worker for x, _ in self._list_members(key, step)) or 1
        for other in self._context.workers.values():
            if (
                other is worker
                or other.spec.pool != worker.spec.pool
                or (
                    step.required_label and step.required_label not in other.spec.labels
                )
                or not other.can_accept_tasks(self._context.now, MAX_WORKER_SILENCE_S)
                or self._speeds.get_slowdown(other) > 1.0
                or self._speeds.get_factor(other) >= MIN_FACTOR
            ):
                continue
            missing -= count_fitting_tasks(step.allocation, other.free)
            free += other.free.cpu_millis
            capacity += other.spec.capacity.cpu_millis
        return missing <= 0 and free >= MIN_FREE_SHARE * capacity

    # Moves.

    def _list_members(
        self, key: RunKey, step: StepSpec
    ) -> Iterator[tuple[TrackedWorker, RunKey]]:
        """Yield the runs that are stopped together: one, or all of a gang."""
        workflow = self._context.store.workflows[key[0].workflow]
        progress = workflow.repetitions[key[0].repetition].steps[key[0].step]
        indexes = range(step.count) if step.gang else (key[0].index,)
        for index in indexes:
            task = progress.tasks[index]
            name = TaskName(key[0].workflow, key[0].repetition, key[0].step, index)
            worker = self._context.workers.get(task.worker)
            if worker is not None and (name, task.run) in worker.runs:
                yield worker, (name, task.run)

    def _move(self, worker: TrackedWorker, key: RunKey, reason: str) -> None:
        """Stop a run, or all runs of its gang, to be started again elsewhere."""
        step = self._context.find_run(key)[1]
        members = list(self._list_members(key, step))
        if any(x.runs[k].phase is not RunPhase.STARTED for x, k in members):
            return
        for other, member in members:
            self._allowance -= 1.0
            self._moved[member[0]] = member[1]
            self._moved.move_to_end(member[0])
            self._stopper.stop_run(other, member)
        while len(self._moved) > MAX_MOVED:
            self._moved.popitem(last=False)
        self._context.metrics.record_moved_runs(reason, len(members))
        logger.info(
            "dispatch: moves a run to another worker",
            extra={
                "job": key[0].workflow,
                "task": [key[0].repetition, key[0].step, key[0].index],
                "run": key[1],
                "worker": worker.spec.id,
                "reason": reason,
                "percent": worker.runs[key].percent,
                "runs": len(members),
            },
        )
