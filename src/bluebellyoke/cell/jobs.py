"""Jobs and their tasks.

Rules:
    * A task has at most one live epoch. A new epoch starts only after the worker
      reported the end of the last one or its lease ran out.
    * A task whose fate is unknown runs again only if the job is idempotent, can
      checkpoint or is a service.
    * A gang starts whole. When a member ends early, the others are stopped before
      any member starts again.
    * A cancelled task frees its resources only when its worker says that it stopped.
"""

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bluebellyoke.cell.commands import JobKind, JobSpec
from bluebellyoke.cell.resources import Resources

if TYPE_CHECKING:
    from bluebellyoke.cell.workers import Worker

__all__ = ["Job", "JobClass", "Task", "TaskState", "compute_backoff"]

#: First and longest wait before a failed task starts again, in seconds.
BACKOFF_FIRST_S = 1.0
BACKOFF_MAX_S = 300.0


class JobClass(enum.StrEnum):
    """Order in which the jobs of a workspace are considered."""

    URGENT = "urgent"
    SERVICE = "service"
    BATCH = "batch"


class TaskState(enum.IntEnum):
    """Life of a task."""

    WAITING = 0
    RUNNING = 1
    STOPPING = 2
    CANCELLING = 3
    BACKOFF = 4
    DONE = 5
    FAILED = 6
    UNKNOWN = 7
    CANCELLED = 8


#: States in which a task takes resources of its worker.
PLACED_STATES = frozenset({TaskState.RUNNING, TaskState.STOPPING, TaskState.CANCELLING})

#: States that a task does not leave by itself.
FINAL_STATES = frozenset(
    {TaskState.DONE, TaskState.FAILED, TaskState.UNKNOWN, TaskState.CANCELLED}
)


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
        epoch: Number of the latest start; zero before the first.
        failures: Ends of this task that count against `max_attempts`.
        since: Wall-clock second of the last change of state.
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
        """Job identity and index."""
        return (self.job.spec.id, self.index)


@dataclass(slots=True, eq=False)
class Job:
    """A job, its tasks and what was learned of them.

    Attributes:
        need: Declared or learned resources of a task, whichever is larger.
        counts: Number of tasks by state.
        waiting: Indexes of the tasks that may be placed, oldest first.
        failed_on: Workers on which a task of the job failed.
        tasks: Emptied when the job has finished.
        finished_at: Wall-clock second, or zero.
        reason: Why the job failed, if it did.
    """

    spec: JobSpec
    digest: str
    submitted_at: float
    need: Resources
    tasks: list[Task] = field(default_factory=list)
    counts: list[int] = field(default_factory=lambda: [0] * len(TaskState))
    waiting: dict[int, None] = field(default_factory=dict)
    failed_on: set[str] = field(default_factory=set)
    cancelled: bool = False
    learned_s: float = 0.0
    first_start_at: float = 0.0
    finished_at: float = 0.0
    reason: str = ""

    def create_tasks(self, now: float) -> None:
        """Create all tasks in the waiting state."""
        self.tasks = [Task(self, index, since=now) for index in range(self.spec.tasks)]
        self.waiting = dict.fromkeys(range(self.spec.tasks))
        self.counts[TaskState.WAITING] = self.spec.tasks

    def move(self, task: Task, state: TaskState, now: float) -> None:
        """Move a task to another state and keep the indexes of the job."""
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
        """Class of the job for placement."""
        if self.spec.urgent:
            return JobClass.URGENT
        if self.spec.kind is JobKind.SERVICE:
            return JobClass.SERVICE
        return JobClass.BATCH

    @property
    def queue_key(self) -> tuple[str, JobClass]:
        """Queue of the cell in which the job waits."""
        return (self.spec.workspace, self.job_class)

    @property
    def expected_s(self) -> float:
        """Learned or else declared run time of a task, in seconds."""
        return self.learned_s or self.spec.expected_s

    @property
    def is_gang(self) -> bool:
        """Whether all tasks must run at once."""
        return self.spec.kind is JobKind.GANG

    @property
    def is_restartable(self) -> bool:
        """Whether a task may run again after an unknown or failed end."""
        return (
            self.spec.idempotent
            or self.spec.checkpoint
            or self.spec.kind is JobKind.SERVICE
        )

    @property
    def has_placed_tasks(self) -> bool:
        """Whether any task takes resources of a worker."""
        return any(self.counts[state] for state in PLACED_STATES)

    @property
    def is_finished(self) -> bool:
        """Whether every task is in a final state."""
        return sum(self.counts[state] for state in FINAL_STATES) == self.spec.tasks

    def summarize_state(self) -> str:
        """Return the state of the whole job in one word."""
        if not self.is_finished:
            if self.cancelled:
                return "cancelling"
            return "running" if self.has_placed_tasks else "waiting"
        for state in (TaskState.UNKNOWN, TaskState.FAILED, TaskState.CANCELLED):
            if self.counts[state]:
                return state.name.lower()
        return "done"


def compute_backoff(failures: int) -> float:
    """Return the wait before the next start after `failures` ends, in seconds."""
    return min(BACKOFF_FIRST_S * 2 ** max(failures - 1, 0), BACKOFF_MAX_S)
