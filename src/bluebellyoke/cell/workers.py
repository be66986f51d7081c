"""Workers: capacity, sessions and set-aside.

Rules:
    * A worker's free resources never fall below zero by a placement.
    * A session ends for good: by its lease, or by a newer session of the worker.
    * A worker on which several different jobs fail in a row is set aside; after a
      growing pause it gets a single task as a probe.
"""

from dataclasses import dataclass, field

from bluebellyoke.cell.jobs import Task
from bluebellyoke.cell.resources import Resources

__all__ = ["Worker"]

#: Ended sessions of a worker that are remembered.
PAST_SESSIONS = 16

#: Different jobs that must fail in a row before a worker is set aside.
SET_ASIDE_FAILURES = 4

#: First and longest pause of a worker that is set aside, in seconds.
SET_ASIDE_PAUSE_S = 30.0
SET_ASIDE_PAUSE_MAX_S = 1800.0


@dataclass(slots=True, eq=False)
class Worker:
    """One worker and the tasks placed on its current session.

    Attributes:
        tasks: Tasks that take resources here, by job and index.
        failed_jobs: Jobs that failed here since the last success.
        past_sessions: Ended sessions, the latest last.
        lost_at: Wall-clock second at which the session ended, or zero.
        set_aside_until: Wall-clock second until which no task is placed.
        pauses: How often the worker was set aside in a row.
    """

    name: str
    session: str
    total: Resources
    rack: str
    data_centre: str
    free_cpu: int = 0
    free_memory: int = 0
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
        self.free_cpu = self.total.cpu_millis
        self.free_memory = self.total.memory_mb
        self.free_accelerators = self.total.accelerators

    def list_past_sessions(self) -> tuple[str, ...]:
        """Return the sessions that a new session of this worker follows."""
        return (*self.past_sessions, self.session)[-PAST_SESSIONS:]

    @property
    def free(self) -> Resources:
        """Resources that no placed task takes."""
        return Resources(self.free_cpu, self.free_memory, self.free_accelerators)

    def can_hold(self, need: Resources) -> bool:
        """Return whether the free resources cover `need`."""
        return (
            need.cpu_millis <= self.free_cpu
            and need.memory_mb <= self.free_memory
            and need.accelerators <= self.free_accelerators
        )

    def is_schedulable(self, now: float) -> bool:
        """Return whether new tasks may be placed here at wall-clock second `now`."""
        if not self.alive or self.drained or now < self.set_aside_until:
            return False
        return not self.pauses or not self.tasks

    def take(self, need: Resources) -> None:
        """Take resources for a task."""
        self.free_cpu -= need.cpu_millis
        self.free_memory -= need.memory_mb
        self.free_accelerators -= need.accelerators

    def give_back(self, need: Resources) -> None:
        """Return the resources of a task."""
        self.free_cpu += need.cpu_millis
        self.free_memory += need.memory_mb
        self.free_accelerators += need.accelerators

    def note_success(self) -> None:
        """Forget earlier failures."""
        self.failed_jobs.clear()
        self.pauses = 0

    def note_failure(self, job_id: str, now: float) -> bool:
        """Count a failed task; return whether the worker is now set aside."""
        self.failed_jobs.add(job_id)
        needed = 1 if self.pauses else SET_ASIDE_FAILURES
        if len(self.failed_jobs) < needed:
            return False
        pause = SET_ASIDE_PAUSE_S * 2**self.pauses
        self.set_aside_until = now + min(pause, SET_ASIDE_PAUSE_MAX_S)
        self.pauses += 1
        self.failed_jobs.clear()
        return True
