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
from bluebellyoke.workflow.task_crashes import TaskCrashes

__all__ = [
    "RecentCrashes",
    "Isolation",
    "compute_probation",
    "compute_turn",
    "is_overdue",
]

#: Shares of a pool that may be used for suspects: always the first, and up to the
#: second if the rest has so many times the CPU time that is allocated. Overdue suspects
#: leave it less.
MIN_SHARE = 0.25
MAX_SHARE = 0.75
SPARE_FACTOR = 2
OVERDUE_SPARE_FACTOR = 1.5

#: Time for which a worker that a suspect has crashed counts as down, in seconds.
CRASH_RECOVERY_S = 3.5

#: Time for which a suspect has to run in addition to its age at its crashes, and the
#: maximum of both together, in seconds.
PROBATION_MARGIN_S = 0.25
MAX_PROBATION_S = 30.0

#: Time by which the suspicion puts a suspect behind those of later crashes at most, in
#: seconds. The least suspicious are done soonest and take no worker down.
MAX_DELAY_S = 4 * CRASH_RECOVERY_S

#: Time after its turn from which a suspect may also use the room that is spare, in
#: seconds: two others that crash at their start have used a place before it.
OVERDUE_S = 2 * (SUSPECT_AGE_S + PROBATION_MARGIN_S + CRASH_RECOVERY_S)


def compute_probation(crashes: TaskCrashes | None) -> float:
    """Return the time for which a suspect has to run to be cleared, in seconds.

    Without crashes it is 0.
    """
    if crashes is None:
        return 0.0
    return min(crashes.max_age_ms / 1000 + PROBATION_MARGIN_S, MAX_PROBATION_S)


def compute_turn(crashes: TaskCrashes) -> float:
    """Return the wall-clock time by which suspects are ordered, in seconds.

    The suspects of the first crash come first, so that each gets its turn.
    """
    first = min((crash.time for crash in crashes.unexplained), default=0.0)
    return first + crashes.suspicion * MAX_DELAY_S


def is_overdue(turn: float, wall_time: float) -> bool:
    """Return whether a suspect has waited for long; both are wall-clock times."""
    return wall_time - turn >= OVERDUE_S


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
        drained: IDs of the workers that are drained for suspects.
        chosen: IDs of the workers that this round sets apart.
        full_pools: Pools in which a suspect waits for another one's worker.
    """

    now: float
    workers: dict[str, TrackedWorker]
    recent_crashes: RecentCrashes
    previous: frozenset[str] = frozenset()
    drained: set[str] = field(default_factory=set)
    chosen: dict[str, None] = field(default_factory=dict)
    full_pools: set[str] = field(default_factory=set)

    def order(
        self, workers: Iterable[TrackedWorker], own: str = ""
    ) -> list[TrackedWorker]:
        """Return the workers that no other suspect uses, the best first.

        The one that is drained for the suspect comes first, then those of the last
        round, then those that can be used at once, then those with the fewest runs.

        Args:
            own: ID of the worker that is drained for the suspect, if any.
        """
        used = {*self.chosen, *self.drained} - {own}
        free = [item for item in workers if item.spec.id not in used]
        return sorted(free, key=lambda item: (item.spec.id != own, *self._rank(item)))

    def take(self, workers: list[TrackedWorker], *, is_overdue: bool = False) -> bool:
        """Set workers of one pool apart for a suspect, unless too many are in use."""
        if not self._may_use(workers, is_overdue):
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

    def _may_use(self, workers: list[TrackedWorker], is_overdue: bool) -> bool:
        """Return whether so many workers more may be used for suspects.

        A suspect that needs more of them than that has to be the only one.
        """
        pool = workers[0].spec.pool
        own = {x.spec.id for x in workers}
        used = self.recent_crashes.count(pool, self.now) + sum(
            x.spec.id not in own and (bool(x.suspects) or x.spec.id in self.chosen)
            for x in self._list_members(pool)
        )
        places = self.count_places(pool, is_overdue=is_overdue)
        return not used or used + len(workers) <= places

    def count_places(self, pool: str, *, is_overdue: bool = False) -> int:
        """Return how many workers of a pool may be used for suspects."""
        members = self._list_members(pool)
        crashed = self.recent_crashes.count(pool, self.now)
        spare_factor = OVERDUE_SPARE_FACTOR if is_overdue else SPARE_FACTOR
        return _compute_limit(members, len(members) + crashed, spare_factor)

    def _list_members(self, pool: str) -> list[TrackedWorker]:
        return [x for x in self.workers.values() if x.spec.pool == pool]


def _compute_limit(members: list[TrackedWorker], size: int, spare_factor: float) -> int:
    """Return how many workers of a pool may be used for suspects.

    Args:
        members: Workers of the pool that are up.
        size: Number of workers, with those that suspects have crashed.
        spare_factor: How many times the allocated CPU time the rest has to have.
    """
    allocated = sum(x.allocated.cpu_millis for x in members)
    capacity = sum(x.spec.capacity.cpu_millis for x in members) or 1
    needed = spare_factor * allocated / capacity * len(members)
    return int(max(min(size - needed, size * MAX_SHARE), size * MIN_SHARE))
