"""All jobs, workers and workspaces, and the moves of tasks between them.

The book is the consistency boundary of placement: every change of a task's place
goes through `_place` and `_release`, which keep the totals of workers and
workspaces.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from bluebellyoke.cell.commands import (
    AdmitWorker,
    JobKind,
    Placement,
    Result,
    SubmitJob,
    TaskOutcome,
    TaskReport,
    refuse,
)
from bluebellyoke.cell.feasibility import find_obstacle
from bluebellyoke.cell.jobs import (
    PLACED_STATES,
    Job,
    JobClass,
    Task,
    TaskState,
    compute_backoff,
)
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.workers import Worker
from bluebellyoke.cell.workspaces import Workspace

__all__ = ["SchedulingState"]

#: Time for which a finished job is kept, in seconds, and how many at most.
FINISHED_RETENTION_S = 6 * 3600.0
FINISHED_RETENTION_JOBS = 20_000

#: Time for which a worker without a session is kept, in seconds.
LOST_WORKER_RETENTION_S = 6 * 3600.0

#: Tasks of one job, and unfinished tasks of the cell, at most.
MAX_TASKS_PER_JOB = 20_000
MAX_UNFINISHED_TASKS = 400_000

#: Characters of the payloads of unfinished jobs, at most.
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024

#: Smoothing of the learned run time: weight of the newest sample.
LEARNING_WEIGHT = 0.2


@dataclass(slots=True)
class SchedulingState:
    """Jobs, workers and workspaces of the cell.

    Attributes:
        queues: Jobs with waiting tasks, by workspace and class, oldest first.
        finished: Finished jobs, oldest first.
        lost_workers: Workers whose session ended, oldest first.
        backoffs: Heap of (due second, job, task index, epoch).
        unfinished_tasks: Tasks in no final state.
        payload_bytes: Characters of the payloads of unfinished jobs.
        workers_with_changed_orders: Names of workers whose orders changed; the leader
            clears the set.
        workers_with_changed_capacity: Names of workers whose free resources changed;
            placement replaces the set each round.
    """

    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    queues: dict[tuple[str, JobClass], dict[str, Job]] = field(default_factory=dict)
    finished: dict[str, None] = field(default_factory=dict)
    backoffs: list[tuple[float, str, int, int]] = field(default_factory=list)
    unfinished_tasks: int = 0
    payload_bytes: int = 0
    lost_workers: dict[str, None] = field(default_factory=dict)
    total: Resources = field(default_factory=Resources)
    workers_with_changed_orders: set[str] = field(default_factory=set)
    workers_with_changed_capacity: set[str] = field(default_factory=set)

    # Jobs.

    def submit(self, command: SubmitJob) -> Result:
        """Take over a job, or return the outcome of its first submission."""
        spec = command.spec
        known = self.jobs.get(spec.id)
        if known is not None:
            if known.digest == command.digest:
                return Result(accepted=True, code="known", reason="submitted before")
            return refuse(
                "id-taken",
                f"another job has the identity {spec.id!r}; choose a new one",
            )
        if spec.workspace not in self.workspaces:
            return refuse(
                "unknown-workspace",
                f"workspace {spec.workspace!r} does not exist; declare it by a ticket",
            )
        if spec.tasks > MAX_TASKS_PER_JOB:
            return refuse(
                "too-many-tasks",
                f"a job has at most {MAX_TASKS_PER_JOB} tasks; split it",
            )
        if self.unfinished_tasks + spec.tasks > MAX_UNFINISHED_TASKS:
            return refuse("cell-full", "the cell keeps too many tasks; submit later")
        if self.payload_bytes + len(spec.payload) > MAX_PAYLOAD_BYTES:
            return refuse("cell-full", "the payloads are too long; submit later")
        quota = self.workspaces[spec.workspace].spec.quota
        reason = find_obstacle(spec, quota, self.workers.values())
        if reason:
            return refuse("can-never-run", reason)
        workspace = self.workspaces[spec.workspace]
        largest_mb = max(
            (x.total.memory_mb for x in self.workers.values() if x.alive), default=0
        )
        need = workspace.correct_need(spec.need, largest_mb)
        job = Job(spec, command.digest, command.time, need)
        job.create_tasks(command.time)
        self.jobs[spec.id] = job
        self.unfinished_tasks += spec.tasks
        self.payload_bytes += len(spec.payload)
        workspace.unfinished_jobs += 1
        self._enqueue(job)
        return Result(accepted=True, detail={"job": spec.id})

    def cancel(self, job_id: str, now: float) -> Result:
        """Cancel a job; running tasks keep their resources until they have stopped."""
        job = self.jobs.get(job_id)
        if job is None:
            return refuse("unknown-job", f"no job {job_id!r}; look at the job list")
        if job.finished_at:
            return refuse("finished", f"job {job_id!r} has already finished")
        job.cancelled = True
        self._stop_all(job, now)
        return Result(accepted=True, detail={"job": job_id})

    def _stop_all(self, job: Job, now: float) -> None:
        """Cancel every task that is not final; placed ones stop at their worker."""
        for task in job.tasks:
            self._cancel_task(task, now)
        self._settle(job, now)

    def _cancel_task(self, task: Task, now: float) -> None:
        if task.state in (TaskState.RUNNING, TaskState.STOPPING):
            self._order_stop(task, TaskState.CANCELLING, now)
        elif task.state in (TaskState.WAITING, TaskState.BACKOFF):
            self._finish(task, TaskState.CANCELLED, now)

    def _order_stop(self, task: Task, state: TaskState, now: float) -> None:
        """Have the worker stop a task that it runs."""
        task.job.move(task, state, now)
        self.workers_with_changed_orders.add(task.worker.name)

    # Placement.

    def place(self, placements: tuple[Placement, ...], now: float) -> int:
        """Start tasks; return how many placements were still possible."""
        started = 0
        for group in _group_by_gang(placements, self.jobs):
            gang = self.jobs[group[0].job_id].is_gang if group else False
            if gang and not self._is_whole_gang(group):
                continue
            done: list[Task] = []
            for placement in group:
                task = self._find_waiting(placement)
                worker = self.workers.get(placement.worker)
                if not self._may_place(task, worker, placement):
                    continue
                self._place(task, worker, now)
                done.append(task)
            if gang and len(done) < len(group):
                self._undo_start(done, now)
                continue
            started += len(done)
        return started

    def _find_waiting(self, placement: Placement) -> Task | None:
        job = self.jobs.get(placement.job_id)
        if job is None or placement.index not in job.waiting:
            return None
        task = job.tasks[placement.index]
        return task if task.epoch + 1 == placement.epoch else None

    def _may_place(
        self, task: Task | None, worker: Worker | None, placement: Placement
    ) -> bool:
        if task is None or worker is None or not worker.alive:
            return False
        if worker.session != placement.session or worker.drained:
            return False
        need = task.job.need
        workspace = self.workspaces[task.job.spec.workspace]
        return worker.can_hold(need) and workspace.has_quota_for(need)

    def _is_whole_gang(self, group: list[Placement]) -> bool:
        job = self.jobs[group[0].job_id]
        return len(group) == len(job.waiting) == job.spec.tasks

    def _undo_start(self, tasks: list[Task], now: float) -> None:
        """Return members of a gang that could not start whole to the queue."""
        for task in tasks:
            self._release(task)
            task.epoch -= 1
            task.job.move(task, TaskState.WAITING, now)
            self._enqueue(task.job)

    def _place(self, task: Task, worker: Worker, now: float) -> None:
        job = task.job
        worker.take(job.need)
        self.workspaces[job.spec.workspace].take(job.need)
        worker.tasks[task.key] = task
        self.workers_with_changed_orders.add(worker.name)
        self.workers_with_changed_capacity.add(worker.name)
        task.worker = worker
        task.epoch += 1
        job.move(task, TaskState.RUNNING, now)
        if not job.first_start_at:
            job.first_start_at = now
        if not job.waiting:
            self._dequeue(job)

    def _release(self, task: Task) -> None:
        job, worker = task.job, task.worker
        if worker is None:
            return
        del worker.tasks[task.key]
        worker.give_back(job.need)
        self.workers_with_changed_capacity.add(worker.name)
        self.workspaces[job.spec.workspace].give_back(job.need)
        task.worker = None

    def preempt(self, keys: Iterable[tuple[str, int, int]], now: float) -> int:
        """Ask running tasks to stop and wait again; return how many were running."""
        asked = 0
        for job_id, index, epoch in keys:
            task = self.find_task(job_id, index)
            if task is None or task.epoch != epoch:
                continue
            if task.state is not TaskState.RUNNING or not task.job.is_restartable:
                continue
            for member in task.job.tasks if task.job.is_gang else (task,):
                if member.state is TaskState.RUNNING:
                    self._order_stop(member, TaskState.STOPPING, now)
                    asked += 1
        return asked

    # Ends of tasks.

    def report(
        self, worker_name: str, session: str, reports: Iterable[TaskReport], now: float
    ) -> int:
        """Record ended tasks; return how many reports changed anything."""
        changed = 0
        for item in reports:
            task = self.find_task(item.job_id, item.index)
            if task is None or task.epoch != item.epoch:
                continue
            if task.state in PLACED_STATES:
                worker = task.worker
                if worker.name != worker_name or worker.session != session:
                    continue
                self._release(task)
                self._end(task, worker, item, now)
                changed += 1
            elif task.state is TaskState.UNKNOWN:
                changed += self._resolve_unknown(task, item, now)
        return changed

    def _end(self, task: Task, worker: Worker, item: TaskReport, now: float) -> None:
        job = task.job
        if item.outcome is TaskOutcome.DONE:
            workspace = self.workspaces[job.spec.workspace]
            workspace.learn_memory(job.spec.need.memory_mb, item.used.memory_mb)
        if item.ran_s and item.outcome is TaskOutcome.DONE:
            self._learn_run_time(job, item.ran_s)
        if item.outcome is TaskOutcome.DONE:
            worker.note_success()
            if job.is_gang and task.state is TaskState.STOPPING:
                # The others have not ended, so the gang starts whole again.
                self._requeue(task, now)
            else:
                self._end_done(task, now)
        elif item.outcome is TaskOutcome.FAILED:
            job.failed_on.add(worker.name)
            # A job that fails on several workers is itself at fault.
            if len(job.failed_on) <= 1:
                worker.note_failure(job.spec.id, now)
            self._end_failed(task, now)
        elif task.state is TaskState.CANCELLING:
            self._finish(task, TaskState.CANCELLED, now)
        elif item.outcome is TaskOutcome.NEVER_STARTED or job.is_restartable:
            self._requeue(task, now)
        else:
            # It ran for a while and must not run twice.
            self._finish(task, TaskState.UNKNOWN, now)
        self._settle(job, now)

    def _end_done(self, task: Task, now: float) -> None:
        if task.job.spec.kind is JobKind.SERVICE and not task.job.cancelled:
            self._back_off(task, now)
            return
        self._finish(task, TaskState.DONE, now)

    def _end_failed(self, task: Task, now: float) -> None:
        job = task.job
        if task.state is TaskState.CANCELLING:
            self._finish(task, TaskState.CANCELLED, now)
            return
        task.failures += 1
        is_service = job.spec.kind is JobKind.SERVICE
        may_retry = job.is_restartable and (
            is_service or task.failures < job.spec.max_attempts
        )
        if may_retry:
            self._back_off(task, now)
        else:
            job.reason = job.reason or f"task {task.index} failed"
            self._finish(task, TaskState.FAILED, now)
        if job.is_gang:
            self._stop_rest_of_gang(job, task, restart=may_retry, now=now)

    def _stop_rest_of_gang(
        self, job: Job, ended: Task, *, restart: bool, now: float
    ) -> None:
        """Stop the other members, to start again together or never."""
        for task in job.tasks:
            if task is ended:
                continue
            if restart:
                if task.state is TaskState.RUNNING:
                    self._order_stop(task, TaskState.STOPPING, now)
                elif task.state is TaskState.DONE:
                    # A gang restarts whole, so finished members run again.
                    self.unfinished_tasks += 1
                    job.move(task, TaskState.WAITING, now)
                    self._enqueue(job)
            else:
                self._cancel_task(task, now)

    def _resolve_unknown(self, task: Task, item: TaskReport, now: float) -> int:
        """Take a late report of a task whose fate was unknown."""
        job = task.job
        if item.outcome is TaskOutcome.DONE:
            job.move(task, TaskState.DONE, now)
        elif item.outcome is TaskOutcome.FAILED:
            job.move(task, TaskState.FAILED, now)
        else:
            return 0
        if job.finished_at and not job.counts[TaskState.UNKNOWN]:
            job.tasks = []
        return 1

    def _requeue(self, task: Task, now: float) -> None:
        task.job.move(task, TaskState.WAITING, now)
        self._enqueue(task.job)

    def _back_off(self, task: Task, now: float) -> None:
        due = now + compute_backoff(task.failures)
        task.job.move(task, TaskState.BACKOFF, now)
        heapq.heappush(self.backoffs, (due, *task.key, task.epoch))

    def _finish(self, task: Task, state: TaskState, now: float) -> None:
        task.job.move(task, state, now)
        self.unfinished_tasks -= 1

    def _settle(self, job: Job, now: float) -> None:
        """Keep the queue right and close the job if all its tasks have ended."""
        if not job.waiting:
            self._dequeue(job)
        if not job.is_finished or job.finished_at:
            return
        job.finished_at = now
        self.finished[job.spec.id] = None
        self.payload_bytes -= len(job.spec.payload)
        job.spec = msgspec.structs.replace(job.spec, payload="")
        self.workspaces[job.spec.workspace].unfinished_jobs -= 1
        if not job.counts[TaskState.UNKNOWN]:
            job.tasks = []

    def _learn_run_time(self, job: Job, ran_s: float) -> None:
        if not job.learned_s:
            job.learned_s = ran_s
            return
        job.learned_s += LEARNING_WEIGHT * (ran_s - job.learned_s)

    def learn_need(self, job_id: str, used: Resources) -> bool:
        """Raise the need of a job's tasks; return whether it grew."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        workspace = self.workspaces[job.spec.workspace]
        workspace.learn_memory(job.spec.need.memory_mb, used.memory_mb)
        need = job.need.enlarge_to(used)
        if need == job.need:
            return False
        growth = need - job.need
        for task in job.tasks:
            if task.worker is not None:
                task.worker.take(growth)
                self.workers_with_changed_capacity.add(task.worker.name)
                workspace.take(growth)
        job.need = need
        return True

    # Workers.

    def admit(self, command: AdmitWorker) -> Result:
        """Take in a worker's session; an earlier session ends first."""
        known = self.workers.get(command.worker)
        if known is not None and known.session == command.session:
            if not known.alive:
                return refuse(
                    "session-ended", "the session's lease ran out; start a new session"
                )
            return Result(accepted=True, code="known")
        if known is not None and command.session in known.past_sessions:
            return refuse(
                "session-ended", "a newer session has begun; start a new session"
            )
        if known is not None:
            self.lose(command.worker, known.session, command.time)
        worker = Worker(
            command.worker,
            command.session,
            command.total,
            command.rack,
            command.data_centre,
        )
        if known is not None:
            worker.past_sessions = known.list_past_sessions()
            worker.drained = known.drained
            worker.pauses, worker.set_aside_until = known.pauses, known.set_aside_until
        self.workers[command.worker] = worker
        self.lost_workers.pop(command.worker, None)
        self.workers_with_changed_capacity.add(worker.name)
        self.total = self.total + command.total
        return Result(accepted=True)

    def lose(self, name: str, session: str, now: float) -> int:
        """End a worker's session; return how many tasks it held."""
        worker = self.workers.get(name)
        if worker is None or worker.session != session or not worker.alive:
            return 0
        worker.alive = False
        worker.lost_at = now
        self.lost_workers[name] = None
        self.workers_with_changed_capacity.add(name)
        self.total = self.total - worker.total
        lost = list(worker.tasks.values())
        for task in lost:
            self._release(task)
            self._end_lost(task, now)
        return len(lost)

    def _end_lost(self, task: Task, now: float) -> None:
        job = task.job
        if task.state is TaskState.CANCELLING:
            self._finish(task, TaskState.CANCELLED, now)
        elif job.is_restartable:
            self._requeue(task, now)
            if job.is_gang:
                self._stop_rest_of_gang(job, task, restart=True, now=now)
        else:
            job.reason = job.reason or f"the fate of task {task.index} is unknown"
            self._finish(task, TaskState.UNKNOWN, now)
            if job.is_gang:
                self._stop_rest_of_gang(job, task, restart=False, now=now)
        self._settle(job, now)

    # Time.

    def has_expired_records(self, now: float) -> bool:
        """Return whether `advance` would drop anything."""
        if self.finished:
            if len(self.finished) > FINISHED_RETENTION_JOBS:
                return True
            oldest = self.jobs[next(iter(self.finished))]
            if now - oldest.finished_at > FINISHED_RETENTION_S:
                return True
        if not self.lost_workers:
            return False
        worker = self.workers[next(iter(self.lost_workers))]
        return now - worker.lost_at > LOST_WORKER_RETENTION_S

    def advance(self, now: float) -> None:
        """End the backoffs that are due and drop old finished jobs."""
        while self.backoffs and self.backoffs[0][0] <= now:
            _, job_id, index, epoch = heapq.heappop(self.backoffs)
            task = self.find_task(job_id, index)
            if task is None or task.epoch != epoch:
                continue
            if task.state is TaskState.BACKOFF:
                self._requeue(task, now)
        while self.finished:
            job_id = next(iter(self.finished))
            old = now - self.jobs[job_id].finished_at > FINISHED_RETENTION_S
            if not old and len(self.finished) <= FINISHED_RETENTION_JOBS:
                break
            del self.finished[job_id]
            del self.jobs[job_id]
        while self.lost_workers:
            name = next(iter(self.lost_workers))
            if now - self.workers[name].lost_at <= LOST_WORKER_RETENTION_S:
                break
            del self.lost_workers[name]
            del self.workers[name]

    def find_task(self, job_id: str, index: int) -> Task | None:
        """Return a task that is still kept, or None."""
        job = self.jobs.get(job_id)
        if job is None or index >= len(job.tasks):
            return None
        return job.tasks[index]

    def _enqueue(self, job: Job) -> None:
        self.queues.setdefault(job.queue_key, {})[job.spec.id] = job

    def _dequeue(self, job: Job) -> None:
        queue = self.queues.get(job.queue_key)
        if queue is not None and queue.pop(job.spec.id, None) and not queue:
            del self.queues[job.queue_key]


def _group_by_gang(
    placements: tuple[Placement, ...], jobs: dict[str, Job]
) -> Iterable[list[Placement]]:
    """Yield single placements, and the placements of one gang together."""
    gangs: dict[str, list[Placement]] = {}
    for placement in placements:
        job = jobs.get(placement.job_id)
        if job is None:
            continue
        if job.is_gang:
            gangs.setdefault(placement.job_id, []).append(placement)
        else:
            yield [placement]
    yield from gangs.values()
