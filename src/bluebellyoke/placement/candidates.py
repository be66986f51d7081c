"""Index of workers by free capacity, which avoids a full scan for each decision.

Workers are kept in logarithmic buckets, four for each doubling of free capacity. The
free capacity is the lesser of the free CPU and the free memory, with memory converted
at the cell's ratio of CPU to memory. A worker in a bucket above that of a task has
enough CPU and memory for the task. A search visits a bounded number of workers of each
bucket, so its cost does not grow with the cell.
"""

import random
from collections.abc import Iterable, Iterator

from bluebellyoke.cell.jobs import Job, JobClass, Task
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.scheduling import SchedulingState
from bluebellyoke.cell.workers import Worker

__all__ = [
    "DEFAULT_RUN_TIME_S",
    "Candidate",
    "CandidateIndex",
    "estimate_task_end",
    "estimate_job_end",
]

#: Run time of a task without a declared or learned one, in seconds.
DEFAULT_RUN_TIME_S = 600.0

#: Number of buckets, enough for workers with a thousand cores.
BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 22 * BUCKETS_PER_DOUBLING

#: Maximum number of workers of one bucket that a search visits.
BUCKET_SCAN_LIMIT = 64


class Candidate:
    """A worker and its free resources, net of allocations of the current round.

    Attributes:
        bucket: Index of the bucket that contains the candidate, or -1.
        position: Index inside the bucket.
        reserved_for: ID of the job that the worker is reserved for, or "".
        idle_at: Wall-clock second by which the placed tasks are expected to end.
    """

    __slots__ = (
        "accelerators",
        "bucket",
        "cpu_millis",
        "idle_at",
        "memory_mb",
        "position",
        "reserved_for",
        "worker",
    )

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.bucket = -1
        self.position = 0
        self.reserved_for = ""
        self.idle_at = max(map(estimate_task_end, worker.tasks.values()), default=0.0)
        self.sync()

    def sync(self) -> None:
        """Copy the free resources of the worker."""
        self.cpu_millis = self.worker.free_cpu_millis
        self.memory_mb = self.worker.free_memory_mb
        self.accelerators = self.worker.free_accelerators
        if not self.worker.tasks:
            self.idle_at = 0.0

    def can_hold(self, need: Resources) -> bool:
        """Return whether the free resources cover `need`."""
        return (
            need.cpu_millis <= self.cpu_millis
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def allocate(self, need: Resources) -> None:
        """Allocate resources to a planned task."""
        self.cpu_millis -= need.cpu_millis
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def release(self, need: Resources) -> None:
        """Release the resources of a planned task."""
        self.cpu_millis += need.cpu_millis
        self.memory_mb += need.memory_mb
        self.accelerators += need.accelerators


class CandidateIndex:
    """Live workers in buckets by free capacity.

    Workers with accelerators are kept apart from those without.

    Args:
        random_source: Random source for sampling.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.candidates: dict[str, Candidate] = {}
        self._groups = _create_groups()
        self._random = random_source
        self._allocated: set[str] = set()
        self._overcommitted: set[str] = set()
        self._memory_ratio = 1.0

    def rebuild(self, scheduling: SchedulingState) -> None:
        """Rebuild the index from all workers."""
        self.candidates.clear()
        self._groups = _create_groups()
        self._allocated.clear()
        self._memory_ratio = scheduling.total.cpu_millis / (
            scheduling.total.memory_mb or 1
        )
        scheduling.workers_with_changed_capacity = set()
        self._refresh(scheduling, scheduling.workers)

    def refresh(self, scheduling: SchedulingState) -> None:
        """Update the workers that changed since the last round."""
        ratio = scheduling.total.cpu_millis / (scheduling.total.memory_mb or 1)
        if not 0.8 * self._memory_ratio <= ratio <= 1.25 * self._memory_ratio:
            self.rebuild(scheduling)
            return
        names = scheduling.workers_with_changed_capacity | self._allocated
        scheduling.workers_with_changed_capacity = set()
        self._allocated = set()
        self._refresh(scheduling, names)

    def _refresh(self, scheduling: SchedulingState, names: Iterable[str]) -> None:
        for name in names:
            worker = scheduling.workers.get(name)
            candidate = self.candidates.get(name)
            if candidate is not None and candidate.worker is not worker:
                self._remove(candidate)
                del self.candidates[name]
                candidate = None
            if worker is None or not worker.alive:
                if candidate is not None:
                    self._remove(candidate)
                    del self.candidates[name]
                continue
            if candidate is None:
                candidate = self.candidates[name] = Candidate(worker)
            candidate.sync()
            self._update_bucket(candidate)
            if candidate.cpu_millis < 0 or candidate.memory_mb < 0:
                self._overcommitted.add(name)

    def list_overcommitted(self) -> list[Candidate]:
        """Return the workers whose tasks need more resources than the worker has.

        Placements never overcommit a worker, but a need that is raised while tasks run
        can.
        """
        for name in list(self._overcommitted):
            candidate = self.candidates.get(name)
            if candidate is None or min(candidate.cpu_millis, candidate.memory_mb) >= 0:
                self._overcommitted.discard(name)
        return [self.candidates[name] for name in sorted(self._overcommitted)]

    def has_allocation(self, candidate: Candidate) -> bool:
        """Return whether the current round has allocated resources of a candidate."""
        return candidate.worker.name in self._allocated

    def allocate(self, candidate: Candidate, need: Resources) -> None:
        """Allocate resources of a candidate for the current round."""
        candidate.allocate(need)
        self._allocated.add(candidate.worker.name)
        self._update_bucket(candidate)

    def release(self, candidate: Candidate, need: Resources) -> None:
        """Release resources that were allocated in the current round."""
        candidate.release(need)
        self._update_bucket(candidate)

    def _update_bucket(self, candidate: Candidate) -> None:
        memory = candidate.memory_mb * self._memory_ratio
        bucket = find_bucket(min(candidate.cpu_millis, memory))
        if bucket == candidate.bucket:
            return
        self._remove(candidate)
        bucket_members = self._find_group(candidate)[bucket]
        candidate.bucket = bucket
        candidate.position = len(bucket_members)
        bucket_members.append(candidate)

    def _find_group(self, candidate: Candidate) -> list[list[Candidate]]:
        return self._groups[candidate.worker.total.accelerators > 0]

    def _remove(self, candidate: Candidate) -> None:
        if candidate.bucket < 0:
            return
        bucket_members = self._find_group(candidate)[candidate.bucket]
        last = bucket_members.pop()
        if last is not candidate:
            bucket_members[candidate.position] = last
            last.position = candidate.position
        candidate.bucket = -1

    def search(self, need: Resources, *, accelerated: bool) -> Iterator[Candidate]:
        """Yield workers whose free resources may cover `need`, the fullest first.

        Args:
            need: Resources of the task.
            accelerated: Whether to search the workers with accelerators.
        """
        memory = need.memory_mb * self._memory_ratio
        lowest = find_bucket(min(need.cpu_millis, memory))
        group = self._groups[accelerated]
        for bucket in range(lowest, BUCKET_COUNT):
            bucket_members = group[bucket]
            size = len(bucket_members)
            if not size:
                continue
            start = self._random.randrange(size)
            for step in range(min(size, BUCKET_SCAN_LIMIT)):
                yield bucket_members[(start + step) % size]

    def sample(self, count: int) -> list[Candidate]:
        """Return up to `count` random workers, regardless of their free resources."""
        candidates = list(self.candidates.values())
        if len(candidates) <= count:
            return candidates
        return self._random.sample(candidates, count)


def estimate_task_end(task: Task) -> float:
    """Return the wall-clock second at which a placed task is expected to end."""
    return estimate_job_end(task.job, task.since)


def estimate_job_end(job: Job, start: float) -> float:
    """Return the expected end of a task of `job` started at wall-clock `start`."""
    if job.job_class is JobClass.SERVICE:
        return float("inf")
    return start + (job.expected_s or DEFAULT_RUN_TIME_S)


def find_bucket(capacity: float) -> int:
    """Return the bucket index for an amount of free capacity."""
    amount = max(int(capacity), 0)
    doublings = amount.bit_length()
    if doublings < 3:
        return 0
    step = (amount >> (doublings - 3)) & (BUCKETS_PER_DOUBLING - 1)
    return min(doublings * BUCKETS_PER_DOUBLING + step, BUCKET_COUNT - 1)


def _create_groups() -> dict[bool, list[list[Candidate]]]:
    return {flag: [[] for _ in range(BUCKET_COUNT)] for flag in (False, True)}
