"""Free cores of a pool over the near future and the work that waits for them."""

import bisect
import itertools
import math
from collections import defaultdict
from dataclasses import dataclass, field

__all__ = [
    "LAST_SLOT",
    "MAX_STOPPING_FRACTION",
    "MAX_STOP_S",
    "SLOT_S",
    "PoolForecast",
]

#: Fraction of the capacity that work gets at least in the model. It keeps predictions
#: finite while higher priorities are expected to take up all cores.
MIN_RATE_FRACTION = 0.01

#: Length of a time slot, in seconds, and number of the last slot, 10 s from now. Runs
#: that end later count as ending in it. The number bounds the cost of a prediction.
SLOT_S = 0.1
LAST_SLOT = 100

#: Longest duration of a stop, in seconds, and maximum fraction of a pool's cores on
#: which stops for short jobs are in progress.
MAX_STOP_S = 0.9
MAX_STOPPING_FRACTION = 0.05


@dataclass(slots=True)
class PoolForecast:
    """Free cores of a pool over the near future, and the work that waits for them.

    Attributes:
        capacity: Cores of the workers that are not about to leave.
        free: Cores that are free now.
        releases: Times in seconds from now at which cores are released, ascending.
        cores: Cores that are free from each of these times if nothing starts.
        stoppable: Cores of the runs that may be stopped for short jobs.
        stopped_releases, stopped_cores: As `releases` and `cores`, if runs are stopped.
        punctual: Waiting work of jobs that can still be on time, by priority, in
            core-seconds.
        late: Waiting work of jobs that are late but useful, by priority.
        waiting_cores: Cores that the first steps of the waiting jobs take up, by
            priority.
    """

    capacity: float = 0.0
    free: float = 0.0
    releases: list[float] = field(default_factory=list)
    cores: list[float] = field(default_factory=list)
    stoppable: float = 0.0
    stopped_releases: list[float] = field(default_factory=list)
    stopped_cores: list[float] = field(default_factory=list)
    punctual: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    late: dict[int, float] = field(default_factory=lambda: defaultdict(float))
    waiting_cores: dict[int, float] = field(default_factory=lambda: defaultdict(float))

    def set_releases(self, slots: dict[int, float]) -> None:
        """Set the cores that running tasks release, by the number of a time slot.

        `free`, `capacity` and `stoppable` must have been set before.
        """
        numbers = sorted(slots)
        self.releases = [number * SLOT_S for number in numbers]
        released = itertools.accumulate(slots[number] for number in numbers)
        self.cores = [min(self.free + x, self.capacity) for x in released]
        stopped = min(self.stoppable, MAX_STOPPING_FRACTION * self.capacity)
        index = bisect.bisect_left(self.releases, MAX_STOP_S)
        before = self.cores[index - 1] if index else self.free
        later = (min(x + stopped, self.capacity) for x in self.cores[index:])
        self.stopped_releases = [
            *self.releases[:index],
            MAX_STOP_S,
            *self.releases[index:],
        ]
        self.stopped_cores = [*self.cores[:index], before + stopped, *later]

    def find_release(self, cores: float) -> float:
        """Return when so many cores are free if nothing starts, or infinity."""
        if cores <= self.free:
            return 0.0
        index = bisect.bisect_left(self.cores, cores)
        return self.releases[index] if index < len(self.cores) else math.inf

    def count_cores(self, at_s: float) -> float:
        """Return the cores that are free at some time if nothing starts."""
        index = bisect.bisect_right(self.releases, at_s)
        return self.cores[index - 1] if index else self.free

    def find_time(
        self, work: float, reserved: float, *, with_stops: bool = False
    ) -> float:
        """Return when free cores have done some work, in seconds from now.

        Args:
            work: Work in core-seconds.
            reserved: Cores that work of higher priority takes up.
            with_stops: Whether runs of lower priority are stopped for the work.
        """
        if work <= 0:
            return 0.0
        floor = MIN_RATE_FRACTION * self.capacity
        since_s, cores = 0.0, max(self.free - reserved, floor)
        releases = self.stopped_releases if with_stops else self.releases
        free_cores = self.stopped_cores if with_stops else self.cores
        for at_s, free in zip(releases, free_cores, strict=True):
            done = (at_s - since_s) * cores
            if done >= work:
                break
            work -= done
            since_s, cores = at_s, max(free - reserved, floor)
        return since_s + work / cores if cores > 0 else math.inf

    def sum_ahead(self, priority: int, *, with_late: bool) -> float:
        """Return the waiting work of equal or higher priority, in core-seconds."""
        groups = (self.punctual, self.late) if with_late else (self.punctual,)
        return sum(
            work
            for group in groups
            for other, work in group.items()
            if other <= priority
        )
