"""Jobs, workers and workspaces of the cell, and the state changes of tasks.

`SchedulingState` is the consistency boundary of placement: a task is assigned to a
worker and removed from it only by `_place_task` and `_release_resources`, which keep
the resource totals of workers and workspaces consistent.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from bluebellyoke.cell import crashes
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
from bluebellyoke.cell.early_cancels import EarlyCancels
from bluebellyoke.cell.feasibility import find_infeasibility
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

#: Retention of finished jobs, in seconds, and the maximum number kept.
FINISHED_JOB_RETENTION_S = 6 * 3600.0
MAX_FINISHED_JOBS = 20_000

#: Retention of workers without a live session, in seconds.
LOST_WORKER_RETENTION_S = 6 * 3600.0

#: Maximum number of tasks of one job, and of unfinished tasks in the cell.
MAX_TASKS_PER_JOB = 20_000
MAX_UNFINISHED_TASKS = 400_000

#: Maximum total length of the payloads of unfinished jobs, in characters.
MAX_PAYLOAD_CHARS = 64 * 1024 * 1024

#: Owner of a remembered cancel: any submission of the job is refused.
ANY_OWNER = ("",)

#: Weight of the newest sample in the moving average of a job's run time.
RUN_TIME_EWMA_WEIGHT = 0.2


@dataclass(slots=True)
class SchedulingState:
    """Jobs, workers and workspaces of the cell.

    Attributes:
        jobs: Unfinished and retained finished jobs, by ID.
        workers: Workers with a live session and retained lost workers, by name.
        workspaces: Declared workspaces, by name.
        queues: Jobs with waiting tasks, by workspace and class, oldest first.
        finished: IDs of finished jobs, oldest first.
        backoffs: Heap of (due wall-clock second, job ID, task index, epoch).
        unfinished_tasks: Number of tasks that are in no final state.
        payload_chars: Total length of the payloads of unfinished jobs, in characters.
        lost_workers: Names of workers whose session ended, oldest first.
        total: Resources of all workers with a live session.
        early_cancels: Cancels of jobs that were not known.
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
    payload_chars: int = 0
    lost_workers: dict[str, None] = field(default_factory=dict)
    total: Resources = field(default_factory=Resources)
    early_cancels: EarlyCancels = field(default_factory=EarlyCancels)
    workers_with_changed_orders: set[str] = field(default_factory=set)
    workers_with_changed_capacity: set[str] = field(default_factory=set)

    # Jobs.

    def submit_job(self, command: SubmitJob) -> Result:
        """Accept a job; a resubmission of the same job changes nothing."""
        spec = command.spec
        existing = self.jobs.get(spec.id)
        if existing is not None:
            if existing.digest == command.digest:
                return Result(accepted=True, code="known", reason="submitted before")
            return refuse(
                "id-taken",
                f"another job has the identity {spec.id!r}; choose a new one",
            )
        if self.early_cancels.find_end((spec.id,), ANY_OWNER, command.time):
            return refuse(
                "cancelled",
                f"job {spec.id!r} was cancelled before it arrived; choose another id",
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
        if self.payload_chars + len(spec.payload) > MAX_PAYLOAD_CHARS:
            return refuse("cell-full", "the payloads are too long; submit later")
        quota = self.workspaces[spec.workspace].spec.quota
        reason = find_infeasibility(spec, quota, self.workers.values())
        if reason:
            return refuse("can-never-run", reason)
        workspace = self.workspaces[spec.workspace]
        largest_mb = max(
            (
                worker.total.memory_mb
                for worker in self.workers.values()
                if worker.alive
            ),
            default=0,
        )
        need = workspace.adjust_need(spec.need, largest_mb)
        job = Job(spec, command.digest, command.time, need)
        job.create_tasks(command.time)
        self.jobs[spec.id] = job
        self.unfinished_tasks += spec.tasks
        self.payload_chars += len(spec.payload)
        workspace.unfinished_jobs += 1
        self._enqueue(job)
        return Result(accepted=True, detail={"job": spec.id})

    def cancel_job(self, job_id: str, now: float) -> Result:
        """Cancel a job; its running tasks keep their resources until they stop."""
        job = self.jobs.get(job_id)
        if job is None and not self.early_cancels.add((job_id,), ANY_OWNER, now):
            return refuse(
                "cell-full", "too many unknown jobs were cancelled; cancel it later"
            )
        if job is None:
            return refuse("unknown-job", f"no job {job_id!r}; look at the job list")
        if job.finished_at and job.cancelled:
            return Result(accepted=True, code="known", reason="cancelled before")
        if job.finished_at:
            return refuse("finished", f"job {job_id!r} has already finished")
        job.cancelled = True
        self._cancel_all_tasks(job, now)
        return Result(accepted=True, detail={"job": job_id})

    def _cancel_all_tasks(self, job: Job, now: float) -> None:
        """Cancel all unfinished tasks; workers are asked to stop the placed ones."""
        for task in job.tasks:
            self._cancel_task(task, now)
        self._update_completion(job, now)

    def _cancel_task(self, task: Task, now: float) -> None:
        if task.state in (TaskState.RUNNING, TaskState.STOPPING):
            self._request_stop(task, TaskState.CANCELLING, now)
        elif task.state in (TaskState.WAITING, TaskState.BACKOFF):
            self._finish_task(task, TaskState.CANCELLED, now)

    def _request_stop(self, task: Task, state: TaskState, now: float) -> None:
        """Mark a placed task for its worker to stop, and set its state."""
        task.job.set_task_state(task, state, now)
        self.workers_with_changed_orders.add(task.worker.name)

    # Placement.

    def place_tasks(self, placements: tuple[Placement, ...], now: float) -> int:
        """Start tasks; return how many started.

        A placement is skipped if it no longer fits the current state.
        """
        started = 0
        for group in _group_by_gang(placements, self.jobs):
            is_gang = self.jobs[group[0].job_id].is_gang if group else False
            if is_gang and not self._is_complete_gang(group):
                continue
            placed: list[Task] = []
            for placement in group:
                task = self._find_waiting_task(placement)
                worker = self.workers.get(placement.worker)
                if not self._can_place(task, worker, placement, placed):
                    continue
                self._place_task(task, worker, now)
                placed.append(task)
            if is_gang and len(placed) < len(group):
                self._roll_back_placements(placed, now)
                continue
            started += len(placed)
        return started

    def _find_waiting_task(self, placement: Placement) -> Task | None:
        job = self.jobs.get(placement.job_id)
        if job is None or placement.index not in job.waiting:
            return None
        task = job.tasks[placement.index]
        return task if task.epoch + 1 == placement.epoch else None

    def _can_place(
        self,
        task: Task | None,
        worker: Worker | None,
        placement: Placement,
        gang: list[Task],
    ) -> bool:
        if task is None or worker is None or not worker.alive:
            return False
        if worker.session != placement.session or worker.drained:
            return False
        if crashes.is_suspect(task.job, task.index) and any(
            other not in gang for other in worker.tasks.values()
        ):
            return False
        need = task.job.need
        workspace = self.workspaces[task.job.spec.workspace]
        return worker.can_hold(need) and workspace.has_quota_for(need)

    def _is_complete_gang(self, group: list[Placement]) -> bool:
        job = self.jobs[group[0].job_id]
        return len(group) == len(job.waiting) == job.spec.tasks

    def _roll_back_placements(self, tasks: list[Task], now: float) -> None:
        """Return the members of a gang that could not start completely to the queue."""
        for task in tasks:
            self._release_resources(task)
            task.epoch -= 1
            task.job.set_task_state(task, TaskState.WAITING, now)
            self._enqueue(task.job)

    def _place_task(self, task: Task, worker: Worker, now: float) -> None:
        job = task.job
        worker.allocate(job.need)
        self.workspaces[job.spec.workspace].allocate(job.need)
        worker.tasks[task.key] = task
        self.workers_with_changed_orders.add(worker.name)
        self.workers_with_changed_capacity.add(worker.name)
        task.worker = worker
        task.epoch += 1
        job.set_task_state(task, TaskState.RUNNING, now)
        if not job.first_start_at:
            job.first_start_at = now
        if not job.waiting:
            self._dequeue(job)

    def _release_resources(self, task: Task) -> None:
        job, worker = task.job, task.worker
        if worker is None:
            return
        del worker.tasks[task.key]
        worker.release(job.need)
        self.workers_with_changed_capacity.add(worker.name)
        self.workspaces[job.spec.workspace].release(job.need)
        task.worker = None

    def preempt_tasks(self, keys: Iterable[tuple[str, int, int]], now: float) -> int:
        """Request running tasks to stop and wait again; return how many.

        The other members of a gang stop with it. Tasks of jobs that are not
        restartable keep running.
        """
        requested = 0
        for job_id, index, epoch in keys:
            task = self.find_task(job_id, index)
            if task is None or task.epoch != epoch:
                continue
            if task.state is not TaskState.RUNNING or not task.job.is_restartable:
                continue
            for member in task.job.tasks if task.job.is_gang else (task,):
                if member.state is TaskState.RUNNING:
                    self._request_stop(member, TaskState.STOPPING, now)
                    requested += 1
        return requested

    # Task reports.

    def record_reports(
        self, worker_name: str, session: str, reports: Iterable[TaskReport], now: float
    ) -> int:
        """Record ended tasks; return how many reports changed the state.

        Reports of another epoch are ignored, as are reports of a placed task from
        another worker or session.
        """
        changed = 0
        for report in reports:
            task = self.find_task(report.job_id, report.index)
            if task is None or task.epoch != report.epoch:
                continue
            if task.state in PLACED_STATES:
                worker = task.worker
                if worker.name != worker_name or worker.session != session:
                    continue
                self._release_resources(task)
                crashes.clear(task)
                self._apply_report(task, worker, report, now)
                changed += 1
            elif task.state is TaskState.UNKNOWN:
                changed += self._resolve_unknown_task(task, report, now)
        return changed

    def _apply_report(
        self, task: Task, worker: Worker, report: TaskReport, now: float
    ) -> None:
        job = task.job
        if report.outcome is TaskOutcome.DONE:
            workspace = self.workspaces[job.spec.workspace]
            workspace.update_memory_ratio(
                job.spec.need.memory_mb, report.used.memory_mb
            )
        if report.ran_s and report.outcome is TaskOutcome.DONE:
            self._update_run_time(job, report.ran_s)
        if report.outcome is TaskOutcome.DONE:
            worker.record_success()
            if job.is_gang and task.state is TaskState.STOPPING:
                # The other members did not finish, so the whole gang runs again.
                self._requeue(task, now)
            else:
                self._handle_success(task, now)
        elif report.outcome is TaskOutcome.FAILED:
            job.failed_on.add(worker.name)
            # Failures on several workers are attributed to the job, not to them.
            if len(job.failed_on) <= 1:
                worker.record_failure(job.spec.id, now)
            self._handle_failure(task, now)
        elif task.state is TaskState.CANCELLING:
            self._finish_task(task, TaskState.CANCELLED, now)
        elif report.outcome is TaskOutcome.NEVER_STARTED or job.is_restartable:
            self._requeue(task, now)
        else:
            # The task may have taken effect and must not run twice.
            self._finish_task(task, TaskState.UNKNOWN, now)
        self._update_completion(job, now)

    def _handle_success(self, task: Task, now: float) -> None:
        if task.job.spec.kind is JobKind.SERVICE and not task.job.cancelled:
            self._start_backoff(task, now)
            return
        self._finish_task(task, TaskState.DONE, now)

    def _handle_failure(self, task: Task, now: float) -> None:
        job = task.job
        if task.state is TaskState.CANCELLING:
            self._finish_task(task, TaskState.CANCELLED, now)
            return
        task.failures += 1
        is_service = job.spec.kind is JobKind.SERVICE
        may_retry = job.is_restartable and (
            is_service or task.failures < job.spec.max_attempts
        )
        if may_retry:
            self._start_backoff(task, now)
        else:
            job.reason = job.reason or f"task {task.index} failed"
            self._finish_task(task, TaskState.FAILED, now)
        if job.is_gang:
            self._stop_other_members(job, task, restart=may_retry, now=now)

    def _stop_other_members(
        self, job: Job, ended: Task, *, restart: bool, now: float
    ) -> None:
        """Stop the other members of a gang.

        With `restart` they wait to start again together, else they are cancelled.
        """
        for task in job.tasks:
            if task is ended:
                continue
            if restart:
                if task.state is TaskState.RUNNING:
                    self._request_stop(task, TaskState.STOPPING, now)
                elif task.state is TaskState.DONE:
                    # A gang restarts completely, so finished members run again.
                    self.unfinished_tasks += 1
                    job.set_task_state(task, TaskState.WAITING, now)
                    self._enqueue(job)
            else:
                self._cancel_task(task, now)

    def _resolve_unknown_task(self, task: Task, report: TaskReport, now: float) -> int:
        """Apply a late report of an unknown task; return 1 if it changed its state."""
        job = task.job
        if report.outcome is TaskOutcome.DONE:
            job.set_task_state(task, TaskState.DONE, now)
        elif report.outcome is TaskOutcome.FAILED:
            job.set_task_state(task, TaskState.FAILED, now)
        else:
            return 0
        if job.finished_at and not job.counts[TaskState.UNKNOWN]:
            job.tasks = []
        return 1

    def _requeue(self, task: Task, now: float) -> None:
        task.job.set_task_state(task, TaskState.WAITING, now)
        self._enqueue(task.job)

    def _start_backoff(self, task: Task, now: float) -> None:
        due = now + compute_backoff(task.failures)
        task.job.set_task_state(task, TaskState.BACKOFF, now)
        heapq.heappush(self.backoffs, (due, *task.key, task.epoch))

    def _finish_task(self, task: Task, state: TaskState, now: float) -> None:
        task.job.set_task_state(task, state, now)
        self.unfinished_tasks -= 1

    def _update_completion(self, job: Job, now: float) -> None:
        """Dequeue a job without waiting tasks; finish it if all tasks are final."""
        if not job.waiting:
            self._dequeue(job)
        if not job.is_finished or job.finished_at:
            return
        job.finished_at = now
        self.finished[job.spec.id] = None
        self.payload_chars -= len(job.spec.payload)
        job.spec = msgspec.structs.replace(job.spec, payload="")
        self.workspaces[job.spec.workspace].unfinished_jobs -= 1
        if not job.counts[TaskState.UNKNOWN]:
            job.tasks = []

    def _update_run_time(self, job: Job, ran_s: float) -> None:
        if not job.learned_s:
            job.learned_s = ran_s
            return
        job.learned_s += RUN_TIME_EWMA_WEIGHT * (ran_s - job.learned_s)

    def learn_need(self, job_id: str, used: Resources) -> bool:
        """Raise the need of a job's tasks to `used`; return whether it grew."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        workspace = self.workspaces[job.spec.workspace]
        workspace.update_memory_ratio(job.spec.need.memory_mb, used.memory_mb)
        need = job.need.max_with(used)
        if need == job.need:
            return False
        growth = need - job.need
        for task in job.tasks:
            if task.worker is not None:
                task.worker.allocate(growth)
                self.workers_with_changed_capacity.add(task.worker.name)
                workspace.allocate(growth)
        job.need = need
        return True

    # Workers.

    def admit_worker(self, command: AdmitWorker) -> Result:
        """Register a worker's session; its earlier session ends first."""
        existing = self.workers.get(command.worker)
        if existing is not None and existing.session == command.session:
            if not existing.alive:
                return refuse(
                    "session-ended", "the session's lease ran out; start a new session"
                )
            return Result(accepted=True, code="known")
        if existing is not None and command.session in existing.past_sessions:
            return refuse(
                "session-ended", "a newer session has begun; start a new session"
            )
        if existing is not None:
            if existing.alive:
                crashes.record_crash(existing.tasks.values(), command.time)
            self.lose_worker(command.worker, existing.session, command.time)
        worker = Worker(
            command.worker,
            command.session,
            command.total,
            command.rack,
            command.data_centre,
        )
        if existing is not None:
            worker.past_sessions = existing.build_session_history()
            worker.drained = existing.drained
            worker.quarantines, worker.quarantined_until = (
                existing.quarantines,
                existing.quarantined_until,
            )
        self.workers[command.worker] = worker
        self.lost_workers.pop(command.worker, None)
        self.workers_with_changed_capacity.add(worker.name)
        self.total = self.total + command.total
        return Result(accepted=True)

    def lose_worker(self, name: str, session: str, now: float) -> int:
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
            self._release_resources(task)
            self._handle_lost_task(task, now)
        return len(lost)

    def _handle_lost_task(self, task: Task, now: float) -> None:
        job = task.job
        if task.state is TaskState.CANCELLING:
            self._finish_task(task, TaskState.CANCELLED, now)
        elif crashes.is_given_up(task):
            job.reason = job.reason or f"workers crashed under task {task.index}"
            self._finish_task(task, TaskState.FAILED, now)
            if job.is_gang:
                self._stop_other_members(job, task, restart=False, now=now)
        elif job.is_restartable:
            self._requeue(task, now)
            if job.is_gang:
                self._stop_other_members(job, task, restart=True, now=now)
        else:
            job.reason = job.reason or f"the fate of task {task.index} is unknown"
            self._finish_task(task, TaskState.UNKNOWN, now)
            if job.is_gang:
                self._stop_other_members(job, task, restart=False, now=now)
        self._update_completion(job, now)

    # Time.

    def has_expired_records(self, now: float) -> bool:
        """Return whether `advance_time` would drop any job or worker."""
        if self.finished:
            if len(self.finished) > MAX_FINISHED_JOBS:
                return True
            oldest = self.jobs[next(iter(self.finished))]
            if now - oldest.finished_at > FINISHED_JOB_RETENTION_S:
                return True
        if not self.lost_workers:
            return False
        worker = self.workers[next(iter(self.lost_workers))]
        return now - worker.lost_at > LOST_WORKER_RETENTION_S

    def advance_time(self, now: float) -> None:
        """Requeue tasks whose backoff is over and drop expired records."""
        while self.backoffs and self.backoffs[0][0] <= now:
            _, job_id, index, epoch = heapq.heappop(self.backoffs)
            task = self.find_task(job_id, index)
            if task is None or task.epoch != epoch:
                continue
            if task.state is TaskState.BACKOFF:
                self._requeue(task, now)
        while self.finished:
            job_id = next(iter(self.finished))
            is_expired = now - self.jobs[job_id].finished_at > FINISHED_JOB_RETENTION_S
            if not is_expired and len(self.finished) <= MAX_FINISHED_JOBS:
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
        """Return a task, or None if it is unknown or no longer kept."""
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
    """Yield placements one by one, but those of one gang as one group."""
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
