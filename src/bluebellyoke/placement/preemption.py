"""Selection of tasks to preempt.

Only restartable tasks are preempted. The cost of a preemption is the work that is lost:
the time since the start of the task, of which a task with checkpoints loses a small
fraction. Services cost more. A gang is preempted as a whole and costs the sum of its
members.
"""

from dataclasses import dataclass

from bluebellyoke.cell.jobs import Job, JobClass, Task, TaskState
from bluebellyoke.cell.lost_work import compute_lost_work
from bluebellyoke.cell.scheduling import SchedulingState
from bluebellyoke.placement.candidates import Candidate, CandidateIndex
from bluebellyoke.placement.fairness import FairShares

__all__ = ["PreemptionPlanner"]

#: Number of workers sampled in one search for victims.
PREEMPTION_SAMPLE_SIZE = 64

#: Duration of the reservation of a freed worker for an urgent job, in seconds.
URGENT_RESERVATION_S = 1.5

#: Wait after which a workspace below its fair share may preempt others, in seconds.
FAIRNESS_WAIT_S = 5.0

#: Minimum time between two searches for the same workspace, in seconds.
FAIRNESS_INTERVAL_S = 0.5

#: Additional cost of a service in core seconds.
SERVICE_COST = 1000.0


@dataclass(slots=True)
class UrgentReservation:
    """A worker that is reserved for an urgent job after a preemption.

    Attributes:
        until: Wall-clock second at which the reservation ends.
    """

    candidate: Candidate
    job_id: str
    until: float


class PreemptionPlanner:
    """Selects victims of preemption.

    Tasks are preempted for urgent jobs, for workspaces below their fair share and to
    relieve overcommitted workers.

    Args:
        index: Workers of the cell.
        shares: Shares of the workspaces in the round.
    """

    def __init__(self, index: CandidateIndex, shares: FairShares) -> None:
        self._index = index
        self._shares = shares
        self._urgent_reservations: list[UrgentReservation] = []
        self._stopping: set[tuple[str, int]] = set()
        self._fairness_searched_at: dict[str, float] = {}

    def clear(self) -> None:
        """Discard the data of earlier rounds."""
        self._urgent_reservations.clear()
        self._fairness_searched_at.clear()

    def refresh(self, scheduling: SchedulingState, now: float) -> None:
        """Begin a round and end the reservations that have expired."""
        self._stopping.clear()
        active = []
        for reservation in self._urgent_reservations:
            job = scheduling.jobs.get(reservation.job_id)
            if now < reservation.until and job is not None and job.waiting:
                active.append(reservation)
            elif reservation.candidate.reserved_for == reservation.job_id:
                reservation.candidate.reserved_for = ""
        self._urgent_reservations = active

    def plan_for_urgent(
        self, scheduling: SchedulingState, job: Job, now: float
    ) -> list[Task]:
        """Return the cheapest victims on one worker for a task of an urgent job."""
        reserved = sum(
            reservation.job_id == job.spec.id
            for reservation in self._urgent_reservations
        )
        if reserved >= len(job.waiting):
            return []
        best: list[Task] = []
        best_cost, best_candidate = float("inf"), None
        for candidate in self._index.sample(PREEMPTION_SAMPLE_SIZE):
            if candidate.reserved_for or not candidate.worker.is_schedulable(now):
                continue
            victims, cost = self._find_victims(candidate, job, now)
            if victims and cost < best_cost:
                best, best_cost, best_candidate = victims, cost, candidate
        if best_candidate is None:
            return []
        best_candidate.reserved_for = job.spec.id
        self._urgent_reservations.append(
            UrgentReservation(best_candidate, job.spec.id, now + URGENT_RESERVATION_S)
        )
        return self._mark_stopping(best)

    def _find_victims(
        self, candidate: Candidate, job: Job, now: float
    ) -> tuple[list[Task], float]:
        """Return the cheapest victims on one worker and their cost in core seconds."""
        worker = candidate.worker
        if not job.need.fits_in(worker.total):
            return [], 0.0
        free = worker.free
        victims: list[Task] = []
        cost = 0.0
        for task in sorted(self._list_preemptible(worker), key=_make_cost_key(now)):
            if job.need.fits_in(free):
                break
            victims.append(task)
            cost += compute_cost(task, now)
            free = free + task.job.need
        if not job.need.fits_in(free):
            return [], 0.0
        return victims, cost

    def _list_preemptible(self, worker) -> list[Task]:
        return [
            task
            for task in worker.tasks.values()
            if task.state is TaskState.RUNNING
            and task.job.is_restartable
            and task.job.job_class is not JobClass.URGENT
            and task.key not in self._stopping
        ]

    def plan_for_overcommit(self, candidate: Candidate, now: float) -> list[Task]:
        """Return the cheapest victims that end the overcommitment of a worker."""
        worker = candidate.worker
        free = worker.free
        for task in worker.tasks.values():
            if task.state is not TaskState.RUNNING:
                free = free + task.job.need
        victims: list[Task] = []
        for task in sorted(self._list_preemptible(worker), key=_make_cost_key(now)):
            if free.cpu_millis >= 0 and free.memory_mb >= 0:
                break
            victims.append(task)
            free = free + task.job.need
        return self._mark_stopping(victims)

    def plan_for_fairness(
        self, scheduling: SchedulingState, job: Job, now: float
    ) -> list[Task]:
        """Return a victim for a job whose workspace is below its fair share.

        After the change the donor workspace is still at or above the recipient, so
        capacity does not move back and forth between them.
        """
        recipient = job.spec.workspace
        next_task = job.tasks[next(iter(job.waiting))]
        if now - next_task.since < FAIRNESS_WAIT_S or job.is_gang:
            return []
        if (
            now - self._fairness_searched_at.get(recipient, float("-inf"))
            < FAIRNESS_INTERVAL_S
        ):
            return []
        self._fairness_searched_at[recipient] = now
        donor = self._find_donor(scheduling, job)
        if donor is None:
            return []
        for candidate in self._index.sample(PREEMPTION_SAMPLE_SIZE):
            if candidate.reserved_for or not candidate.worker.is_schedulable(now):
                continue
            for task in self._list_preemptible(candidate.worker):
                fits = job.need.fits_in(candidate.worker.free + task.job.need)
                if task.job.spec.workspace == donor and fits:
                    return self._mark_stopping([task])
        return []

    def _find_donor(self, scheduling: SchedulingState, job: Job) -> str | None:
        recipient = scheduling.workspaces[job.spec.workspace]
        share = job.need.compute_dominant_share(scheduling.total)
        weight = recipient.spec.share or 1e-9
        recipient_level = (
            self._shares.compute_share(recipient.spec.name) / weight + share / weight
        )
        best, best_level = None, recipient_level
        for name, workspace in scheduling.workspaces.items():
            other_weight = workspace.spec.share or 1e-9
            level = (self._shares.compute_share(name) - share) / other_weight
            if name != recipient.spec.name and level > best_level:
                best, best_level = name, level
        return best

    def _mark_stopping(self, victims: list[Task]) -> list[Task]:
        self._stopping.update(task.key for task in victims)
        return victims


def compute_cost(task: Task, now: float) -> float:
    """Return the work that is lost by preempting a task, in core seconds."""
    job = task.job
    cost = compute_lost_work(
        now - task.since, job.need, saves_progress=bool(job.spec.checkpoint)
    )
    if job.job_class is JobClass.SERVICE:
        cost += SERVICE_COST
    if job.is_gang:
        cost *= job.spec.tasks
    return cost


def _make_cost_key(now: float):
    return lambda task: compute_cost(task, now)
