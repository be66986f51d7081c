"""Choice of the tasks that are stopped so that others can start.

Only tasks that may run again are stopped. Their cost is the work that is lost:
little for a task that saves its progress, the time since its start otherwise, and
more for a service. A gang is stopped whole and costs the sum of its members.
"""

from dataclasses import dataclass

from bluebellyoke.cell.jobs import Job, JobClass, Task, TaskState
from bluebellyoke.cell.scheduling import SchedulingState
from bluebellyoke.placement.candidates import Candidate, CandidateIndex
from bluebellyoke.placement.fairness import FairShares

__all__ = ["PreemptionPlanner"]

#: Workers compared for one urgent task.
COMPARED_WORKERS = 64

#: Time for which the freed worker is kept for the urgent job, in seconds.
KEPT_FOR_S = 1.5

#: Wait after which a workspace below its due gets room back, in seconds.
GIVE_BACK_AFTER_S = 5.0

#: Shortest time between two searches on behalf of one workspace, in seconds.
GIVE_BACK_PAUSE_S = 0.5

#: Cost of a stopped task: share of its run time if it saves progress, and the
#: addition for a service, in core seconds.
CHECKPOINT_COST = 0.1
SERVICE_COST = 1000.0


@dataclass(slots=True)
class Kept:
    """A worker that was freed for an urgent job, until a wall-clock second."""

    candidate: Candidate
    job_id: str
    until: float


class PreemptionPlanner:
    """Finds victims for urgent jobs and for workspaces below their due.

    Args:
        index: Workers of the cell.
        shares: Fair ranks of the round.
    """

    def __init__(self, index: CandidateIndex, shares: FairShares) -> None:
        self._index = index
        self._shares = shares
        self._kept: list[Kept] = []
        self._stopping: set[tuple[str, int]] = set()
        self._gave_back_at: dict[str, float] = {}

    def clear(self) -> None:
        """Forget what was decided before."""
        self._kept.clear()
        self._gave_back_at.clear()

    def refresh(self, book: SchedulingState, now: float) -> None:
        """Begin a round and end the claims on freed workers that are over."""
        self._stopping.clear()
        still = []
        for kept in self._kept:
            job = book.jobs.get(kept.job_id)
            if now < kept.until and job is not None and job.waiting:
                still.append(kept)
            elif kept.candidate.reserved_for == kept.job_id:
                kept.candidate.reserved_for = ""
        self._kept = still

    def plan_urgent(self, book: SchedulingState, job: Job, now: float) -> list[Task]:
        """Return the cheapest tasks of one worker that make room for a task."""
        under_way = sum(kept.job_id == job.spec.id for kept in self._kept)
        if under_way >= len(job.waiting):
            return []
        best: list[Task] = []
        best_cost, best_candidate = float("inf"), None
        for candidate in self._index.sample(COMPARED_WORKERS):
            if candidate.reserved_for or not candidate.worker.is_schedulable(now):
                continue
            victims, cost = self._find_victims(candidate, job, now)
            if victims and cost < best_cost:
                best, best_cost, best_candidate = victims, cost, candidate
        if best_candidate is None:
            return []
        best_candidate.reserved_for = job.spec.id
        self._kept.append(Kept(best_candidate, job.spec.id, now + KEPT_FOR_S))
        return self._mark(best)

    def _find_victims(
        self, candidate: Candidate, job: Job, now: float
    ) -> tuple[list[Task], float]:
        """Return the cheapest victims on one worker and what they cost."""
        worker = candidate.worker
        if not job.need.fits_in(worker.total):
            return [], 0.0
        free = worker.free
        victims: list[Task] = []
        cost = 0.0
        for task in sorted(self._list_victims(worker), key=_rank_by_cost(now)):
            if job.need.fits_in(free):
                break
            victims.append(task)
            cost += compute_cost(task, now)
            free = free + task.job.need
        if not job.need.fits_in(free):
            return [], 0.0
        return victims, cost

    def _list_victims(self, worker) -> list[Task]:
        return [
            task
            for task in worker.tasks.values()
            if task.state is TaskState.RUNNING
            and task.job.is_restartable
            and task.job.job_class is not JobClass.URGENT
            and task.key not in self._stopping
        ]

    def plan_relief(self, candidate: Candidate, now: float) -> list[Task]:
        """Return the cheapest tasks whose end makes a worker large enough again."""
        worker = candidate.worker
        free = worker.free
        for task in worker.tasks.values():
            if task.state is not TaskState.RUNNING:
                free = free + task.job.need
        victims: list[Task] = []
        for task in sorted(self._list_victims(worker), key=_rank_by_cost(now)):
            if free.cpu_millis >= 0 and free.memory_mb >= 0:
                break
            victims.append(task)
            free = free + task.job.need
        return self._mark(victims)

    def plan_give_back(self, book: SchedulingState, job: Job, now: float) -> list[Task]:
        """Return tasks to stop so that a workspace below its due gets room.

        The workspace that gives stays at or above the one that gets, so that room
        never moves back and forth.
        """
        getter = job.spec.workspace
        first = job.tasks[next(iter(job.waiting))]
        if now - first.since < GIVE_BACK_AFTER_S or job.is_gang:
            return []
        if now - self._gave_back_at.get(getter, float("-inf")) < GIVE_BACK_PAUSE_S:
            return []
        self._gave_back_at[getter] = now
        giver = self._find_giver(book, job)
        if giver is None:
            return []
        for candidate in self._index.sample(COMPARED_WORKERS):
            if candidate.reserved_for or not candidate.worker.is_schedulable(now):
                continue
            for task in self._list_victims(candidate.worker):
                same_size = job.need.fits_in(candidate.worker.free + task.job.need)
                if task.job.spec.workspace == giver and same_size:
                    return self._mark([task])
        return []

    def _find_giver(self, book: SchedulingState, job: Job) -> str | None:
        getter = book.workspaces[job.spec.workspace]
        share = job.need.compute_dominant_share(book.total)
        weight = getter.spec.share or 1e-9
        after = self._shares.compute_share(getter.spec.name) / weight + share / weight
        best, best_level = None, after
        for name, workspace in book.workspaces.items():
            other = workspace.spec.share or 1e-9
            level = (self._shares.compute_share(name) - share) / other
            if name != getter.spec.name and level > best_level:
                best, best_level = name, level
        return best

    def _mark(self, victims: list[Task]) -> list[Task]:
        self._stopping.update(task.key for task in victims)
        return victims


def compute_cost(task: Task, now: float) -> float:
    """Return the work that is lost by stopping a task, in core seconds."""
    job = task.job
    cost = max(now - task.since, 0.0) * job.need.cpu_millis / 1000
    if job.spec.checkpoint:
        cost *= CHECKPOINT_COST
    if job.job_class is JobClass.SERVICE:
        cost += SERVICE_COST
    if job.is_gang:
        cost *= job.spec.tasks
    return cost


def _rank_by_cost(now: float):
    return lambda task: compute_cost(task, now)
