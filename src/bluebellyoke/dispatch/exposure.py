"""Comparison of a run with others of its kind, by its exposure to other images.

What a run is compared with, and not its absolute speed, tells apart the causes of a
slow run: a slow worker slows the runs with and without a neighbour, a long task is long
before and after a neighbour comes, and neither yields a contrast of exposures.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bluebellyoke.workflow.store import RunKey

__all__ = ["Baseline", "EndedRuns", "ServingPeers", "TailSample", "add_overlap"]

#: Number of ended runs of a worker that are kept for comparisons. Those of the last
#: seconds are needed, and some 10 short runs a second end on a worker.
MAX_ENDED_RUNS = 64

#: Smallest exposure that a baseline remembers.
MIN_EXPOSURE = 0.01

#: Largest change of a baseline's level by one observation, as a logarithm.
MAX_LEVEL_CHANGE = 0.5


@dataclass(slots=True)
class Baseline:
    """Mean of the speed and the exposure of runs that are alike.

    Attributes:
        noise: Smallest variance of the logarithm of the speed.
        max_weight: Number of observations after which older ones fade.
        weight: Number of observations.
        level: Mean of the logarithm of the speed.
        spread: Variance of that logarithm.
        exposures: Mean exposure to each image.
    """

    noise: float
    max_weight: int
    weight: int = 0
    level: float = 0.0
    spread: float = 0.0
    exposures: dict[str, float] = field(default_factory=dict)

    def compare(self, exposures: Mapping[str, float]) -> dict[str, float]:
        """Return by how much exposures differ from the mean."""
        contrasts = dict(exposures)
        for image, exposure in self.exposures.items():
            contrasts[image] = contrasts.get(image, 0.0) - exposure
        return contrasts

    def estimate_noise(self) -> float:
        """Return the variance of the difference of an observation from the mean."""
        return max(self.noise, self.spread) * (1 + 1 / self.weight)

    def add(self, level: float, exposures: Mapping[str, float]) -> None:
        """Add an observation."""
        if not self.weight:
            self.weight, self.level, self.exposures = 1, level, dict(exposures)
            return
        change = min(max(level - self.level, -MAX_LEVEL_CHANGE), MAX_LEVEL_CHANGE)
        self.weight = min(self.weight + 1, self.max_weight)
        gain = 1 / self.weight
        self.level += gain * change
        self.spread += gain * (change * change - self.spread)
        means = {image: (1 - gain) * x for image, x in self.exposures.items()}
        for image, exposure in exposures.items():
            means[image] = means.get(image, 0.0) + gain * exposure
        self.exposures = {
            image: mean for image, mean in means.items() if mean >= MIN_EXPOSURE
        }


@dataclass(slots=True)
class ServingPeers:
    """Latest levels of the tail latencies of the serving tasks of an image."""

    levels: dict[RunKey, float] = field(default_factory=dict)
    total: float = 0.0

    def update(self, key: RunKey, level: float) -> float:
        """Set the level of a task and return the mean of the others, or 0."""
        self.total += level - self.levels.get(key, 0.0)
        self.levels[key] = level
        others = len(self.levels) - 1
        return (self.total - level) / others if others else 0.0

    def remove(self, key: RunKey) -> None:
        """Drop a task that has ended."""
        self.total -= self.levels.pop(key, 0.0)


@dataclass(frozen=True, slots=True)
class TailSample:
    """Tail latency of a serving task in one report.

    Attributes:
        level: Logarithm of its inverse.
        peers: Mean level of the other tasks of its image in their latest reports.
        exposures: Exposure to each image, or None if it is no evidence.
    """

    level: float
    peers: float
    exposures: dict[str, float] | None

    def compare_to_peers(self, later_peers: float, baseline: Baseline) -> float:
        """Return the level relative to the peers, whose reports come at other times.

        The mean of the peers at the time of the sample lies between those known at the
        task's report and at its next one. Of the possible levels, the one that is next
        to the baseline is taken, so that a change that the peers share is no evidence.
        """
        low, high = sorted((self.peers, later_peers))
        if not baseline.weight:
            return self.level - (low + high) / 2
        return min(max(baseline.level, self.level - high), self.level - low)


class EndedRuns:
    """Images of the runs that have ended on a worker, with their times."""

    def __init__(self) -> None:
        self._runs: deque[tuple[str, float, float]] = deque(maxlen=MAX_ENDED_RUNS)

    def add(self, image: str, begun_at: float, ended_at: float) -> None:
        """Add a run."""
        self._runs.append((image, begun_at, ended_at))

    def iter_since(self, time: float) -> Iterable[tuple[str, float, float]]:
        """Yield image, begin and end of the runs that ended after a time."""
        for item in reversed(self._runs):
            if item[2] <= time:
                return
            yield item


def add_overlap(
    exposures: dict[str, float],
    image: str,
    overlap_s: float,
    duration_s: float,
) -> None:
    """Add a neighbour to the exposures of a run; several of an image count as one."""
    if overlap_s > 0:
        exposure = exposures.get(image, 0.0) + overlap_s / duration_s
        exposures[image] = min(exposure, 1.0)
