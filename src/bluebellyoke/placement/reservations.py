"""Reservations of workers for jobs that would otherwise starve.

A job that could not be placed for a while reserves the workers on which it can start
earliest. Other jobs may use these workers only if they are expected to end before the
reservation is due.
"""

from dataclasses import dataclass

from bluebellyoke.cell.jobs import Job, JobClass, Task, TaskState
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.scheduling import SchedulingState
from bluebellyoke.cell.workers import Worker
from bluebellyoke.placement.candidates import (
    Candidate,
    CandidateIndex,
    estimate_task_end,
)

__all__ = ["Reservations"]

#: Wait after which workers are reserved for a job, in seconds.
RESERVATION_WAIT_S = 20.0

#: Maximum number of concurrent reservations.
MAX_RESERVATIONS = 4

#: Minimum time between two searches for workers to reserve, in seconds.
SEARCH_INTERVAL_S = 1.0

#: Time past `ready_at` after which a reservation is cancelled, so that it is planned
#: again, in seconds.
OVERDUE_GRACE_S = 60.0


@dataclass(slots=True)
class Reservation:
    """Workers that are reserved for a job.

    Attributes:
        ready_at: Wall-clock second at which the job is expected to fit.
    """

    workers: list[Candidate]
    ready_at: float


class Reservations:
    """Current reservations, by job.

    Args:
        index: Workers to reserve.
    """

    def __init__(self, index: CandidateIndex) -> None:
        self._index = index
        self._by_job: dict[str, Reservation] = {}
        self._searched_at = float("-inf")

    def clear(self) -> None:
        """Remove all reservations."""
        self._by_job.clear()

    def refresh(self, scheduling: SchedulingState, now: float) -> None:
        """Cancel reservations that are overdue or whose job no longer waits."""
        for job_id, reservation in list(self._by_job.items()):
            job = scheduling.jobs.get(job_id)
            if (
                job is None
                or not job.waiting
                or now > reservation.ready_at + OVERDUE_GRACE_S
            ):
                self.cancel(job_id)

    def cancel(self, job_id: str) -> None:
        """Cancel the reservation of a job, if there is one."""
        reservation = self._by_job.pop(job_id, None)
        if reservation is None:
            return
        for candidate in reservation.workers:
            if candidate.reserved_for == job_id:
                candidate.reserved_for = ""

    def list_workers(self, job_id: str) -> list[Candidate]:
        """Return the live workers that are reserved for a job."""
        reservation = self._by_job.get(job_id)
        if reservation is None:
            return []
        return [item for item in reservation.workers if item.worker.alive]

    def allows(self, candidate: Candidate, job: Job, now: float) -> bool:
        """Return whether reservations allow a job to use a worker."""
        holder = candidate.reserved_for
        if not holder or holder == job.spec.id:
            return True
        reservation = self._by_job.get(holder)
        if reservation is None:
            return job.job_class is JobClass.URGENT
        return 0 < job.expected_s <= reservation.ready_at - now

    def reserve_if_starved(
        self, scheduling: SchedulingState, job: Job, now: float
    ) -> None:
        """Reserve workers for an unplaceable job that has waited long enough."""
        if job.spec.id in self._by_job or len(self._by_job) >= MAX_RESERVATIONS:
            return
        next_task = job.tasks[next(iter(job.waiting))]
        if now - next_task.since < RESERVATION_WAIT_S:
            return
        if now - self._searched_at < SEARCH_INTERVAL_S:
            return
        self._searched_at = now
        count = job.spec.tasks if job.is_gang else 1
        places = self._find_places(scheduling, job, count, now)
        if len(places) < count:
            return
        workers = list({id(item): item for _, item in places}.values())
        ready_at = max(at for at, _ in places)
        for candidate in workers:
            candidate.reserved_for = job.spec.id
        self._by_job[job.spec.id] = Reservation(workers, ready_at)

    def _find_places(
        self, scheduling: SchedulingState, job: Job, count: int, now: float
    ) -> list[tuple[float, Candidate]]:
        """Return the earliest places of `count` tasks, as (wall-clock time, worker)."""
        places: list[tuple[float, Candidate]] = []
        for candidate in self._index.candidates.values():
            worker = candidate.worker
            if candidate.reserved_for or worker.drained:
                continue
            if job.need.fits_in(worker.total):
                times = estimate_free_times(worker, job.need, count, now)
                places += ((at, candidate) for at in times)
        places.sort(key=lambda place: place[0])
        return places[:count]


def estimate_free_times(
    worker: Worker, need: Resources, count: int, now: float
) -> list[float]:
    """Return when a worker is expected to fit each of up to `count` tasks."""
    ends = sorted(
        (
            (_estimate_release(task, now), task.job.need)
            for task in worker.tasks.values()
            if task.job.job_class is not JobClass.SERVICE
        ),
        key=lambda item: item[0],
    )
    free = worker.free
    times: list[float] = []
    at = now
    while len(times) < count:
        if need.fits_in(free):
            free = free - need
            times.append(at)
        elif ends:
            at, freed = ends.pop(0)
            free = free + freed
        else:
            break
    return times


def _estimate_release(task: Task, now: float) -> float:
    """Return when a task is expected to end; `now` if it is already stopping."""
    if task.state is not TaskState.RUNNING:
        return now
    return max(estimate_task_end(task), now)
