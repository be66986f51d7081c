"""Jobs and their tasks.

Rules:
    * A task has at most one live epoch. A new epoch starts only after the worker has
      reported the end of the previous one or the worker's lease has expired.
    * A task with an unknown outcome runs again only if its job is idempotent, can
      checkpoint or is a service.
    * All tasks of a gang start together. When a member ends early, the others are
      stopped before any member starts again.
    * A cancelled task releases its resources only when its worker has reported that
      it stopped, or when the worker's lease has expired.
"""

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bluebellyoke.backoff import compute_pause
from bluebellyoke.cell.commands import JobKind, JobSpec
from bluebellyoke.cell.resources import Resources

if TYPE_CHECKING:
    from bluebellyoke.cell.crashes import CrashRecord
    from bluebellyoke.cell.workers import Worker

__all__ = ["Job", "JobClass", "Task", "TaskState", "compute_backoff"]

#: Initial and maximum delay before a failed task starts again, in seconds.
BACKOFF_INITIAL_S = 1.0
BACKOFF_MAX_S = 300.0


class JobClass(enum.StrEnum):
    """Scheduling class; the jobs of a workspace are considered class by class."""

    URGENT = "urgent"
    SERVICE = "service"
    BATCH = "batch"


class TaskState(enum.IntEnum):
    """Lifecycle state of a task.

    Attributes:
        WAITING: To be placed.
        RUNNING: Placed on a worker.
        STOPPING: Placed; its worker is to stop it, and then it waits again.
        CANCELLING: Placed; its worker is to stop it, and then it is cancelled.
        BACKOFF: Ended and waits for its next start.
        UNKNOWN: Its worker was lost or stopped it, and it must not run twice.
    """

    WAITING = 0
    RUNNING = 1
    STOPPING = 2
    CANCELLING = 3
    BACKOFF = 4
    DONE = 5
    FAILED = 6
    UNKNOWN = 7
    CANCELLED = 8


#: States in which a task occupies resources of its worker.
PLACED_STATES = frozenset({TaskState.RUNNING, TaskState.STOPPING, TaskState.CANCELLING})

#: Final states; only a late report of an unknown task or the restart of a gang
#: moves a task out of them.
FINAL_STATES = frozenset(
    {TaskState.DONE, TaskState.FAILED, TaskState.UNKNOWN, TaskState.CANCELLED}
)


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
        epoch: Number of the latest start, or zero before the first.
        failures: Number of failures that count against `max_attempts`.
        worker: Worker on which the task is placed, or None.
        since: Wall-clock time of the last state change, in seconds.
    """

    job: "Job"
    index: int
    state: TaskState = TaskState.WAITING
    epoch: int = 0
    failures: int = 0
    worker: "Worker | None" = None
    since: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Job ID and task index."""
        return (self.job.spec.id, self.index)


@dataclass(slots=True, eq=False)
class Job:
    """A job, its tasks and the values learned from running them.

    Attributes:
        digest: Hash of the job's spec.
        submitted_at: Wall-clock time of the submission, in seconds.
        need: Resources of a task: the larger of the declared and the learned amounts.
        tasks: All tasks by index; cleared when the job has finished and no task is
            unknown.
        counts: Number of tasks in each state, indexed by state.
        waiting: Indexes of the waiting tasks, oldest first.
        failed_on: Names of the workers on which a task of the job failed.
        crashes: Crashes of workers that the job may have caused, by index of the task;
            those of a gang have the index 0.
        learned_s: Moving average of the run time of a task, in seconds, or zero.
        first_start_at: Wall-clock time of the first start, in seconds, or zero.
        finished_at: Wall-clock time at which the job finished, in seconds, or zero.
        reason: Why the job failed, or an empty string.
    """

    spec: JobSpec
    digest: str
    submitted_at: float
    need: Resources
    tasks: list[Task] = field(default_factory=list)
    counts: list[int] = field(default_factory=lambda: [0] * len(TaskState))
    waiting: dict[int, None] = field(default_factory=dict)
    failed_on: set[str] = field(default_factory=set)
    crashes: "dict[int, CrashRecord]" = field(default_factory=dict)
    cancelled: bool = False
    learned_s: float = 0.0
    first_start_at: float = 0.0
    finished_at: float = 0.0
    reason: str = ""

    def create_tasks(self, now: float) -> None:
        """Create all tasks of the job in the waiting state."""
        self.tasks = [Task(self, index, since=now) for index in range(self.spec.tasks)]
        self.waiting = dict.fromkeys(range(self.spec.tasks))
        self.counts[TaskState.WAITING] = self.spec.tasks

    def set_task_state(self, task: Task, state: TaskState, now: float) -> None:
        """Set the state of a task and update the job's counts and waiting tasks."""
        self.counts[task.state] -= 1
        self.counts[state] += 1
        if task.state is TaskState.WAITING:
            del self.waiting[task.index]
        if state is TaskState.WAITING:
            self.waiting[task.index] = None
        task.state = state
        task.since = now

    @property
    def job_class(self) -> JobClass:
        """Scheduling class of the job."""
        if self.spec.urgent:
            return JobClass.URGENT
        if self.spec.kind is JobKind.SERVICE:
            return JobClass.SERVICE
        return JobClass.BATCH

    @property
    def queue_key(self) -> tuple[str, JobClass]:
        """Key of the queue in which the job waits."""
        return (self.spec.workspace, self.job_class)

    @property
    def expected_s(self) -> float:
        """Learned run time of a task in seconds, or the declared one if none."""
        return self.learned_s or self.spec.expected_s

    @property
    def is_gang(self) -> bool:
        """Whether all tasks must run at the same time."""
        return self.spec.kind is JobKind.GANG

    @property
    def is_restartable(self) -> bool:
        """Whether a task may run again after a failure or an unknown outcome."""
        return (
            self.spec.idempotent
            or self.spec.checkpoint
            or self.spec.kind is JobKind.SERVICE
        )

    @property
    def has_placed_tasks(self) -> bool:
        """Whether any task occupies resources of a worker."""
        return any(self.counts[state] for state in PLACED_STATES)

    @property
    def is_finished(self) -> bool:
        """Whether every task is in a final state."""
        return sum(self.counts[state] for state in FINAL_STATES) == self.spec.tasks

    def summarize_state(self) -> str:
        """Return the state of the whole job as a single word."""
        if not self.is_finished:
            if self.cancelled:
                return "cancelling"
            return "running" if self.has_placed_tasks else "waiting"
        for state in (TaskState.UNKNOWN, TaskState.FAILED, TaskState.CANCELLED):
            if self.counts[state]:
                return state.name.lower()
        return "done"


def compute_backoff(failures: int) -> float:
    """Return the delay before the next start after `failures` failures, in seconds."""
    return compute_pause(BACKOFF_INITIAL_S, max(failures - 1, 0), BACKOFF_MAX_S)
