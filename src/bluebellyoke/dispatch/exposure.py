"""Comparison of a run with others of its kind, by its exposure to other images.

What a run is compared with, and not its absolute speed, tells apart the causes of a
slow run: a slow worker slows the runs with and without a neighbour, a long task is long
before and after a neighbour comes, and neither yields a contrast of exposures.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["Baseline", "EndedRuns", "add_overlap"]

#: Number of ended runs of a worker that are kept for comparisons, which use those of
#: the last seconds.
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
            image: mean for image, mean in means.items() if abs(mean) >= MIN_EXPOSURE
        }


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
