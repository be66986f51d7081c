"""Stops of tasks that save their progress, for short jobs that would be late.

A stop takes up to `MAX_STOP_S`, in which many tasks end by themselves. So tasks are
stopped only if the room that comes free by then is not enough for the steps of the
highest priority that can still be on time.
"""

import logging
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from bluebellyoke.cell.lost_work import compute_lost_work
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import is_within_quota
from bluebellyoke.dispatch.admission import AdmissionControl
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.open_starts import keeps_place_after_end
from bluebellyoke.dispatch.planning_round import MAX_WORKER_SILENCE_S
from bluebellyoke.dispatch.pool_forecast import MAX_STOP_S, MAX_STOPPING_FRACTION
from bluebellyoke.dispatch.prediction import PREEMPTING_PRIORITY
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.tracked_run import RunPhase, TrackedRun
from bluebellyoke.dispatch.urgency import UrgencyOrder
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import TaskName
from bluebellyoke.workflow.store import RunKey

__all__ = ["Preemptor"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time between two searches, in seconds. One looks at all runs of a pool, which takes
#: a few milliseconds for 1,200 of them.
SEARCH_INTERVAL_S = 0.2

#: Time that a stopped task takes to resume, in seconds. A task that ends before it
#: could have been stopped and resumed is not stopped.
RESUME_S = 0.6

#: Maximum number of stops a second.
MAX_STOPS_PER_S = 40

#: Number of stopped tasks above which those of ended workflows are forgotten.
MAX_STOPPED = 1000


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A run that may be stopped, with the work that is lost, in core-seconds."""

    lost_work: float
    key: RunKey
    need: Resources


@dataclass(frozen=True, slots=True)
class _Victims:
    """Runs of one worker whose stop makes room for a task, and the work lost."""

    lost_work: float
    worker: TrackedWorker
    keys: tuple[RunKey, ...]


class Preemptor:
    """Stops tasks of lower priority for short jobs.

    Args:
        context: Shared state of the dispatcher.
        admission: Knows the free capacity, and which jobs exceed their share.
        urgency: Knows by when a step has to start.
        stopper: Sends stops of runs.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        admission: AdmissionControl,
        urgency: UrgencyOrder,
        stopper: RunStopper,
    ) -> None:
        self._context = context
        self._admission = admission
        self._urgency = urgency
        self._stopper = stopper
        self._search_due = 0.0
        # Run of each task that was stopped, and worker of each run that still stops.
        self._stopped: dict[TaskName, int] = {}
        self._stopping: dict[RunKey, str] = {}
        self._stop_times: deque[float] = deque()

    def clear(self) -> None:
        """Forget all stops; tasks that hold a checkpoint are still not stopped."""
        self._search_due = 0.0
        self._stopped.clear()
        self._stopping.clear()
        self._stop_times.clear()

    def check(
        self, waiting: Iterable[WaitingStep], now: float, wall_time: float
    ) -> None:
        """Stop tasks for steps that found no room, if they would be late otherwise."""
        if now < self._search_due:
            return
        pools: dict[str, list[tuple[float, WaitingStep]]] = {}
        for step in waiting:
            slack_s = self._find_slack(step, wall_time)
            if slack_s is not None:
                pool = self._context.store.find_pool(step.workflow)
                pools.setdefault(pool, []).append((slack_s, step))
        if not pools:
            return
        self._search_due = now + SEARCH_INTERVAL_S
        self._forget_ended()
        for pool, steps in pools.items():
            steps.sort(key=lambda item: (item[0], item[1].key))
            self._check_pool(pool, steps, now, wall_time)

    def _find_slack(self, step: WaitingStep, wall_time: float) -> float | None:
        """Return the time left to start a step, or None if it may not preempt."""
        queue = step.queue
        if queue is None or queue.priority != PREEMPTING_PRIORITY:
            return None
        if self._admission.is_excess(step.workflow.spec.id):
            return None
        latest = self._urgency.find_latest_start(step.key, step.workflow, queue)
        slack_s = latest - wall_time
        return slack_s if 0 <= slack_s < math.inf else None

    def _forget_ended(self) -> None:
        workers = self._context.workers
        self._stopping = {
            key: worker
            for key, worker in self._stopping.items()
            if worker in workers and key in workers[worker].runs
        }
        if len(self._stopped) > MAX_STOPPED:
            active = self._context.store.active
            self._stopped = {
                name: run
                for name, run in self._stopped.items()
                if name.workflow in active
            }

    def _check_pool(
        self,
        pool: str,
        steps: list[tuple[float, WaitingStep]],
        now: float,
        wall_time: float,
    ) -> None:
        forecast = self._admission.predictor.get_pool(pool)
        if forecast is None:
            return
        stopping = self._sum_stopping()
        limit = MAX_STOPPING_FRACTION * forecast.capacity
        victims: dict[str, list[_Candidate]] | None = None
        needed = 0.0
        for slack_s, step in steps:
            cores = step.spec.allocation.cpu_millis / 1000
            needed += cores * len(step.indexes)
            released = self._admission.predictor.sum_released(pool, slack_s)
            missing = needed - released - stopping
            if missing <= 0 or cores <= 0 or stopping >= limit:
                continue
            if not self._has_quota_left(step):
                continue
            if victims is None:
                victims = self._list_victims(pool, now, wall_time)
            tasks = min(math.ceil(missing / cores), len(step.indexes))
            stopping += self._stop_for(step, tasks, victims, now, missing, released)

    def _sum_stopping(self) -> float:
        workers = self._context.workers
        return sum(
            workers[worker].runs[key].need.cpu_millis / 1000
            for key, worker in self._stopping.items()
        )

    def _has_quota_left(self, step: WaitingStep) -> bool:
        """Return whether the quota of the step's workspace allows another task."""
        spec = step.workflow.spec
        workspace = self._admission.predictor.find_workspace(spec)
        if workspace is None or workspace.quota == Resources():
            return True
        used = Resources()
        workflows = self._context.store.workflows
        for worker in self._context.workers.values():
            for (name, _), run in worker.runs.items():
                workflow = workflows.get(name.workflow)
                if workflow is not None and workflow.spec.workspace == spec.workspace:
                    used = used + run.need
        return is_within_quota(used, workspace.quota, step.spec.allocation)

    # Victims.

    def _list_victims(
        self, pool: str, now: float, wall_time: float
    ) -> dict[str, list[_Candidate]]:
        """Return the runs that may be stopped, by worker, least lost work first."""
        found: dict[str, list[_Candidate]] = {}
        for worker in self._context.workers.values():
            if worker.spec.pool != pool:
                continue
            if not worker.can_accept_tasks(now, MAX_WORKER_SILENCE_S):
                continue
            items = [
                _Candidate(_compute_loss(run, now), key, run.need)
                for key, run in worker.runs.items()
                if self._may_stop(key, run, now, wall_time)
            ]
            if items:
                items.sort(key=lambda item: item.lost_work)
                found[worker.spec.id] = items
        return found

    def _may_stop(
        self, key: RunKey, run: TrackedRun, now: float, wall_time: float
    ) -> bool:
        """Return whether a run may be stopped.

        A task that resumed from a checkpoint has been stopped before, or has lost its
        worker, and is not stopped. A gang is not stopped, as all its members would lose
        the work since their last common checkpoint. The job of the task must be on time
        even if the task begins anew after the stop.
        """
        name = key[0]
        if run.phase is not RunPhase.STARTED or name in self._stopped:
            return False
        if keeps_place_after_end(run, now, wall_time):
            return False
        workflow = self._context.store.workflows.get(name.workflow)
        if workflow is None or workflow.outcome:
            return False
        queue = self._context.store.find_last_queue(workflow.spec.address)
        step = workflow.spec.steps[name.step]
        if queue is None or queue.priority <= PREEMPTING_PRIORITY:
            return False
        if not step.checkpoints or step.gang or step.long_running or step.backfill:
            return False
        if step.speculative or workflow.find_task(name).checkpoint:
            return False
        if run.expected_end_at - now <= MAX_STOP_S + RESUME_S:
            return False
        key_of_step = (name.workflow, name.repetition, name.step)
        latest = self._urgency.find_latest_start(key_of_step, workflow, queue)
        return latest - wall_time > MAX_STOP_S + RESUME_S

    def _find_cheapest(
        self, step: WaitingStep, victims: dict[str, list[_Candidate]]
    ) -> _Victims | None:
        """Return the runs of one worker that lose the least work for a task."""
        best: _Victims | None = None
        for name in self._list_allowed(step, victims):
            worker = self._context.workers[name]
            free, lost, keys = worker.free, 0.0, []
            for item in victims[name]:
                if step.spec.allocation.fits_in(free):
                    break
                keys.append(item.key)
                lost += item.lost_work
                free = free + item.need
            if not keys or not step.spec.allocation.fits_in(free):
                continue
            if best is None or lost < best.lost_work:
                best = _Victims(lost, worker, tuple(keys))
        return best

    def _list_allowed(
        self, step: WaitingStep, victims: dict[str, list[_Candidate]]
    ) -> list[str]:
        """Return the workers with victims on which a step may run."""
        label = step.spec.required_label
        workers = self._context.workers
        names = [x for x in victims if not label or label in workers[x].spec.labels]
        if step.queue.advisor is None:
            return names
        tickets = self._context.advice.get_step_advice(step.key).tickets
        return [name for name in names if workers[name].spec.key in tickets]

    def _stop_for(
        self,
        step: WaitingStep,
        tasks: int,
        victims: dict[str, list[_Candidate]],
        now: float,
        missing: float,
        released: float,
    ) -> float:
        """Stop runs to make room for tasks of a step; return the cores that come free.

        Args:
            tasks: Number of tasks that need room.
            victims: Runs that may be stopped, by worker; those of used workers are
                removed.
            missing: Cores that the waiting steps lack, for the log.
            released: Cores that come free by themselves in time, for the log.
        """
        cores, lost, stopped = 0.0, 0.0, 0
        for _ in range(tasks):
            chosen = self._find_cheapest(step, victims)
            if chosen is None or not self._may_stop_more(len(chosen.keys), now):
                break
            # Each worker is used for one task, since its free resources, of which the
            # task takes a part, count only once.
            del victims[chosen.worker.spec.id]
            for key in chosen.keys:
                cores += chosen.worker.runs[key].need.cpu_millis / 1000
                self._stop(chosen.worker, key, now)
            lost += chosen.lost_work
            stopped += len(chosen.keys)
        if stopped:
            self._context.metrics.record_preemption(stopped, lost)
            logger.info(
                "dispatch: stops runs for a short job",
                extra={
                    "job": step.key[0],
                    "tasks": len(step.indexes),
                    "stopped": stopped,
                    "lost_work": round(lost, 2),
                    "missing_cores": round(missing, 1),
                    "released_cores": round(released, 1),
                },
            )
        return cores

    def _may_stop_more(self, count: int, now: float) -> bool:
        times = self._stop_times
        while times and now - times[0] >= 1:
            times.popleft()
        return len(times) + count <= MAX_STOPS_PER_S

    def _stop(self, worker: TrackedWorker, key: RunKey, now: float) -> None:
        self._stop_times.append(now)
        self._stopped[key[0]] = key[1]
        self._stopping[key] = worker.spec.id
        self._stopper.stop_run(worker, key)


def _compute_loss(run: TrackedRun, now: float) -> float:
    """Return the work that a stop and the resumption cost, in core-seconds."""
    begun_at = run.phase_since if run.sent_at is None else run.sent_at
    resume = RESUME_S * run.need.cpu_millis / 1000
    return resume + compute_lost_work(now - begun_at, run.need, saves_progress=True)
