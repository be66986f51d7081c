"""Workers on which tasks start that may crash them, apart from all other tasks.

A suspect starts where no other run is young, and its worker gets no other task until
the suspect has outlived its crashes. So a further crash has one possible cause. Only a
part of a pool is used for this at a time, so that crashes leave the rest to the others.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from bluebellyoke.dispatch.crashes import SUSPECT_AGE_S
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.crashes import TaskCrashes

__all__ = ["RecentCrashes", "Isolation", "compute_probation"]

#: Shares of a pool that may be used for suspects: always the first, and up to the
#: second if the rest has so many times the CPU time that is allocated.
MIN_SHARE = 0.25
MAX_SHARE = 0.75
SPARE_FACTOR = 2

#: Time for which a worker that a suspect has crashed counts as down, in seconds.
CRASH_RECOVERY_S = 3.5

#: Time for which a suspect has to run in addition to its age at its crashes, and the
#: maximum of both together, in seconds.
PROBATION_MARGIN_S = 0.25
MAX_PROBATION_S = 30.0


def compute_probation(crashes: TaskCrashes | None) -> float:
    """Return the time for which a suspect has to run to be cleared, in seconds.

    Without crashes it is 0.
    """
    if crashes is None:
        return 0.0
    return min(crashes.max_age_ms / 1000 + PROBATION_MARGIN_S, MAX_PROBATION_S)


class RecentCrashes:
    """Times of the crashes that suspects have caused, by pool."""

    def __init__(self) -> None:
        self._crashes: dict[str, deque[float]] = defaultdict(deque)

    def clear(self) -> None:
        """Forget all crashes."""
        self._crashes.clear()

    def record_crash(self, pool: str, now: float) -> None:
        """Record that a suspect has crashed a worker of a pool."""
        self._crashes[pool].append(now)

    def count(self, pool: str, now: float) -> int:
        """Return the number of workers of a pool that still count as used."""
        times = self._crashes[pool]
        while times and now - times[0] >= CRASH_RECOVERY_S:
            times.popleft()
        return len(times)


@dataclass(slots=True, kw_only=True)
class Isolation:
    """Workers that a round of planning sets apart for suspects.

    Attributes:
        workers: All workers, by ID.
        recent_crashes: Crashes that suspects have caused.
        previous: IDs of the workers that the last round set apart.
        chosen: IDs of the workers that this round sets apart.
        full_pools: Pools in which a suspect waits for another one's worker.
    """

    now: float
    workers: dict[str, TrackedWorker]
    recent_crashes: RecentCrashes
    previous: frozenset[str] = frozenset()
    chosen: dict[str, None] = field(default_factory=dict)
    full_pools: set[str] = field(default_factory=set)

    def order(self, workers: Iterable[TrackedWorker]) -> list[TrackedWorker]:
        """Return the workers that no suspect of this round uses, the best first.

        Those of the last round come first, then those that can be used at once, then
        those with the fewest runs.
        """
        free = [item for item in workers if item.spec.id not in self.chosen]
        return sorted(free, key=self._rank)

    def take(self, workers: list[TrackedWorker]) -> bool:
        """Set workers of one pool apart for a suspect, unless too many are in use."""
        if not self._may_use(workers):
            self.full_pools.add(workers[0].spec.pool)
            return False
        self.chosen.update(dict.fromkeys(worker.spec.id for worker in workers))
        return True

    def has_no_young_run(self, worker: TrackedWorker) -> bool:
        """Return whether a crash of a worker could not be due to its present runs."""
        return not worker.runs or self.now - worker.started_at >= SUSPECT_AGE_S

    def _rank(self, worker: TrackedWorker) -> tuple:
        name = worker.spec.id
        must_wait = not self.has_no_young_run(worker)
        return name not in self.previous, must_wait, len(worker.runs), name

    def _may_use(self, workers: list[TrackedWorker]) -> bool:
        """Return whether so many workers more may be used for suspects.

        A suspect that needs more of them than that has to be the only one.
        """
        pool = workers[0].spec.pool
        members = [x for x in self.workers.values() if x.spec.pool == pool]
        crashed = self.recent_crashes.count(pool, self.now)
        used = crashed + sum(
            bool(x.suspects) or x.spec.id in self.chosen for x in members
        )
        limit = _compute_limit(members, len(members) + crashed)
        return not used or used + len(workers) <= limit


def _compute_limit(members: list[TrackedWorker], size: int) -> int:
    """Return how many workers of a pool may be used for suspects.

    Args:
        members: Workers of the pool that are up.
        size: Number of workers, with those that suspects have crashed.
    """
    allocated = sum(x.allocated.cpu_millis for x in members)
    capacity = sum(x.spec.capacity.cpu_millis for x in members) or 1
    needed = SPARE_FACTOR * allocated / capacity * len(members)
    return int(max(min(size - needed, size * MAX_SHARE), size * MIN_SHARE))
