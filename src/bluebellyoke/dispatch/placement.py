"""Selection of workers for the tasks of one step.

It works on candidates, which are copies of the workers' free resources that a round of
planning uses up.
"""

import heapq
from collections import defaultdict
from collections.abc import Container, Iterable
from dataclasses import dataclass

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.specs import StepSpec

__all__ = ["Candidate", "CandidateQueue", "count_fitting_tasks", "select_gang_workers"]

#: Maximum number of tasks that fit on a worker, which bounds tasks without a need.
MAX_TASKS_PER_WORKER = 10_000


@dataclass(slots=True)
class Candidate:
    """Free resources of one worker in a round of planning.

    Attributes:
        worker: ID of the worker.
        labels: Kind of the worker and its rack.
        free: Resources that are still free in this round.
        capacity: All resources of the worker.
        step_runs: Runs of the current step on the worker; those of earlier rounds count
            only if the step bounds its tasks per worker.
        cost: Additional cost of a task of the current step on the worker.
    """

    worker: str
    labels: tuple[str, ...]
    free: Resources
    capacity: Resources
    step_runs: int = 0
    cost: float = 0.0


def count_fitting_tasks(need: Resources, free: Resources) -> int:
    """Return how many tasks fit in an amount of resources.

    None do if any resource is overcommitted, also one that the tasks do not need.
    """
    max_fits = MAX_TASKS_PER_WORKER
    for wanted, remaining in (
        (need.cpu_millis, free.cpu_millis),
        (need.memory_mb, free.memory_mb),
        (need.accelerators, free.accelerators),
    ):
        if wanted > 0 or remaining < 0:
            max_fits = min(max_fits, remaining // max(wanted, 1))
    return max(max_fits, 0)


def count_allowed(step: StepSpec, candidate: Candidate, free: Resources) -> int:
    """Return how many more tasks of a step a worker may take."""
    fits = count_fitting_tasks(step.allocation, free)
    if step.max_per_worker:
        fits = min(fits, step.max_per_worker - candidate.step_runs)
    return max(fits, 0)


class CandidateQueue:
    """Priority queue of the workers for the tasks of a step that is not a gang.

    Workers in the rack of the step's data come first, then those that are not deferred,
    then those with the lowest cost, then those with the tightest fit.
    The queue is built once for all tasks of the step and updated as they are placed.

    Args:
        step: Step whose tasks are placed.
        candidates: Workers to choose from.
        deferred: IDs of workers that the step cannot use yet.
    """

    def __init__(
        self,
        step: StepSpec,
        candidates: Iterable[Candidate],
        deferred: Container[str] = (),
    ) -> None:
        self._step = step
        self._allocation = step.allocation
        self._deferred = deferred
        # The rank ends with the worker's ID, so candidates are never compared.
        ranked = [
            (self._rank(candidate), candidate)
            for candidate in candidates
            if self._has_capacity(candidate)
        ]
        # No more workers are used than there are tasks, and one may be avoided. A
        # sorted list is a heap.
        self._ranked = heapq.nsmallest(step.count + 1, ranked)

    def take(self, avoid: str = "") -> Candidate | None:
        """Place one task and return its worker, or None if it fits nowhere.

        Args:
            avoid: ID of a worker that is used only if there is no other.
        """
        if not self._ranked:
            return None
        best = heapq.heappop(self._ranked)
        if best[1].worker == avoid and self._ranked:
            best = heapq.heapreplace(self._ranked, best)
        candidate = best[1]
        candidate.step_runs += 1
        candidate.free = candidate.free - self._allocation
        if self._has_capacity(candidate):
            heapq.heappush(self._ranked, (self._rank(candidate), candidate))
        return candidate

    def _rank(self, candidate: Candidate) -> tuple:
        step = self._step
        is_far = bool(step.data_rack) and step.data_rack not in candidate.labels
        is_deferred = candidate.worker in self._deferred
        free, taken, capacity = candidate.free, self._allocation, candidate.capacity
        cpu = (free.cpu_millis - taken.cpu_millis) / (capacity.cpu_millis or 1)
        memory = (free.memory_mb - taken.memory_mb) / (capacity.memory_mb or 1)
        tightness = min(cpu, memory)
        return is_far, is_deferred, candidate.cost, tightness, candidate.worker

    def _has_capacity(self, candidate: Candidate) -> bool:
        max_runs = self._step.max_per_worker
        if max_runs and candidate.step_runs >= max_runs:
            return False
        return self._allocation.fits_in(candidate.free)


def select_gang_workers(
    step: StepSpec, candidates: Iterable[Candidate], count: int | None = None
) -> list[Candidate] | None:
    """Return a worker for each task of a gang, or None if they do not all fit now.

    Args:
        count: Number of its tasks that need one, or None for all.
    """
    count = step.count if count is None else count
    counted = [
        (count_allowed(step, candidate, candidate.free), candidate)
        for candidate in candidates
    ]
    counted = [item for item in counted if item[0] > 0]
    if step.same_rack or step.data_rack:
        for group in _group_by_rack(step, counted):
            chosen = _fill_largest_first(count, group)
            if chosen is not None:
                return chosen
    return _fill_largest_first(count, counted)


def _group_by_rack(
    step: StepSpec, counted: list[tuple[int, Candidate]]
) -> list[list[tuple[int, Candidate]]]:
    """Return the candidates of each rack.

    The rack of the step's data comes first, then the racks in which the fewest tasks
    fit.
    """
    racks: dict[str, list[tuple[int, Candidate]]] = defaultdict(list)
    for item in counted:
        for label in item[1].labels:
            racks[label].append(item)
    sizes = {rack: sum(fits for fits, _ in items) for rack, items in racks.items()}
    order = sorted(racks, key=lambda rack: (rack != step.data_rack, sizes[rack], rack))
    return [racks[rack] for rack in order]


def _rank_for_gang(item: tuple[int, Candidate]) -> tuple:
    fits, candidate = item
    return candidate.cost, -fits, candidate.worker


def _fill_largest_first(
    count: int, counted: list[tuple[int, Candidate]]
) -> list[Candidate] | None:
    """Choose the workers with the lowest cost and the most places.

    Returns:
        A worker for each task, or None if the tasks do not all fit.
    """
    if sum(fits for fits, _ in counted) < count:
        return None
    chosen: list[Candidate] = []
    for fits, candidate in heapq.nsmallest(count, counted, key=_rank_for_gang):
        chosen += [candidate] * min(fits, count - len(chosen))
        if len(chosen) == count:
            break
    return chosen
