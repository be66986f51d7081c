"""Workers: capacity, sessions and the quarantine of failing workers.

Rules:
    * A placement never makes a worker's free resources negative.
    * A session ends permanently when its lease expires or a newer session of the
      worker begins.
    * A worker on which several different jobs fail in a row is quarantined: it gets no
      tasks for an exponentially growing time, and then a single task as a probe.
"""

from dataclasses import dataclass, field

from bluebellyoke.backoff import compute_pause
from bluebellyoke.cell import crashes
from bluebellyoke.cell.jobs import Task
from bluebellyoke.cell.resources import Resources

__all__ = ["Worker"]

#: Maximum number of ended sessions kept for a worker.
MAX_PAST_SESSIONS = 16

#: Number of different jobs that fail in a row before their worker is quarantined.
QUARANTINE_FAILED_JOBS = 4

#: Initial and maximum duration of a quarantine, in seconds.
QUARANTINE_INITIAL_S = 30.0
QUARANTINE_MAX_S = 1800.0


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and the tasks placed on its current session.

    Attributes:
        total: Resources of the worker.
        free_cpu_millis: CPU time that no placed task occupies, in thousandths of a
            core.
        free_memory_mb: Memory that no placed task occupies, in MiB.
        free_accelerators: Accelerators that no placed task occupies.
        past_sessions: Ended sessions, the latest last.
        alive: Whether the session is live.
        lost_at: Wall-clock time at which the session ended, in seconds, or zero.
        drained: Whether a ticket excludes the worker from new tasks.
        tasks: Tasks that occupy resources of the worker, by job ID and task index.
        failed_jobs: IDs of the jobs that failed on the worker since the last success.
        quarantined_until: Wall-clock time until which no task is placed, in seconds.
        quarantines: Number of quarantines since a task last succeeded.
    """

    name: str
    session: str
    total: Resources
    rack: str
    data_centre: str
    free_cpu_millis: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    past_sessions: tuple[str, ...] = ()
    alive: bool = True
    lost_at: float = 0.0
    drained: bool = False
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    failed_jobs: set[str] = field(default_factory=set)
    quarantined_until: float = 0.0
    quarantines: int = 0

    def __post_init__(self) -> None:
        self.free_cpu_millis = self.total.cpu_millis
        self.free_memory_mb = self.total.memory_mb
        self.free_accelerators = self.total.accelerators

    def build_session_history(self) -> tuple[str, ...]:
        """Return the latest sessions of this worker, including the current one."""
        return (*self.past_sessions, self.session)[-MAX_PAST_SESSIONS:]

    @property
    def free(self) -> Resources:
        """Resources that no placed task occupies."""
        return Resources(
            self.free_cpu_millis, self.free_memory_mb, self.free_accelerators
        )

    def can_hold(self, need: Resources) -> bool:
        """Return whether the free resources cover `need`."""
        return (
            need.cpu_millis <= self.free_cpu_millis
            and need.memory_mb <= self.free_memory_mb
            and need.accelerators <= self.free_accelerators
        )

    def is_schedulable(self, now: float) -> bool:
        """Return whether a new task may be placed at wall-clock time `now`, in seconds.

        A worker that was quarantined gets one task at a time until a task succeeds. One
        that runs a suspect of a crash gets no other task.
        """
        if not self.alive or self.drained or now < self.quarantined_until:
            return False
        if self.quarantines and self.tasks:
            return False
        return not crashes.find_suspects(self.tasks.values(), now)

    def allocate(self, need: Resources) -> None:
        """Reserve the resources of a task."""
        self.free_cpu_millis -= need.cpu_millis
        self.free_memory_mb -= need.memory_mb
        self.free_accelerators -= need.accelerators

    def release(self, need: Resources) -> None:
        """Release the resources of a task."""
        self.free_cpu_millis += need.cpu_millis
        self.free_memory_mb += need.memory_mb
        self.free_accelerators += need.accelerators

    def record_success(self) -> None:
        """Reset the failures and the number of quarantines."""
        self.failed_jobs.clear()
        self.quarantines = 0

    def record_failure(self, job_id: str, now: float) -> bool:
        """Record a failed task; return whether it quarantines the worker."""
        self.failed_jobs.add(job_id)
        threshold = 1 if self.quarantines else QUARANTINE_FAILED_JOBS
        if len(self.failed_jobs) < threshold:
            return False
        self.quarantined_until = now + compute_pause(
            QUARANTINE_INITIAL_S, self.quarantines, QUARANTINE_MAX_S
        )
        self.quarantines += 1
        self.failed_jobs.clear()
        return True
