"""Workers: capacity, sessions and the exclusion of failing workers.

Rules:
    * A placement never makes a worker's free resources negative.
    * A session ends permanently when its lease expires or a newer session of the
      worker begins.
    * A worker on which several different jobs fail in a row is set aside: it gets no
      tasks for an exponentially growing pause, and then a single task as a probe.
"""

from dataclasses import dataclass, field

from bluebellyoke.cell.jobs import Task
from bluebellyoke.cell.resources import Resources

__all__ = ["Worker"]

#: Maximum number of ended sessions kept for a worker.
MAX_PAST_SESSIONS = 16

#: Number of different jobs that fail in a row before their worker is set aside.
SET_ASIDE_FAILURES = 4

#: Initial and maximum pause of a worker that is set aside, in seconds.
SET_ASIDE_INITIAL_S = 30.0
SET_ASIDE_MAX_S = 1800.0


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
        set_aside_until: Wall-clock time until which no task is placed, in seconds.
        pauses: Number of times in a row that the worker was set aside.
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
    set_aside_until: float = 0.0
    pauses: int = 0

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

        A worker that was set aside gets one task at a time until a task succeeds.
        """
        if not self.alive or self.drained or now < self.set_aside_until:
            return False
        return not self.pauses or not self.tasks

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
        """Reset the failures and the number of pauses."""
        self.failed_jobs.clear()
        self.pauses = 0

    def record_failure(self, job_id: str, now: float) -> bool:
        """Record a failed task; return whether the worker is set aside for it."""
        self.failed_jobs.add(job_id)
        threshold = 1 if self.pauses else SET_ASIDE_FAILURES
        if len(self.failed_jobs) < threshold:
            return False
        pause = SET_ASIDE_INITIAL_S * 2**self.pauses
        self.set_aside_until = now + min(pause, SET_ASIDE_MAX_S)
        self.pauses += 1
        self.failed_jobs.clear()
        return True
