"""Estimates of the lasting speed of workers from the run times on each of them.

All figures are logarithms of the time that the same work takes relative to the median
worker: above 0 is slow. How much the workers differ at all is estimated too, so that
differences that noise explains count as none.
"""

import math
import statistics
from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass, field

__all__ = ["LEVEL_STEP", "SpeedEstimate", "update_estimates"]

#: Maximum weight of what is known of a worker, in runs.
MAX_RUNS = 200.0

#: Deviations are clipped to this, so that one task of several times the usual length
#: does not make its worker slow.
MAX_DEVIATION = 1.2

#: Weight in runs from which a worker counts for the median and the spread.
MIN_RUNS = 3.0

#: Number of workers below which they are not compared with each other.
MIN_WORKERS = 4

#: Distance of the levels that are published. A finer scale would order workers by
#: noise, which spreads tasks over more workers than they need.
LEVEL_STEP = 0.15

#: Distance of an estimate from the published level that changes the level.
MIN_CHANGE = 0.12

#: Number of standard errors by which the spread of the workers has to exceed that of
#: noise, and by which the estimate of a single worker has to.
MIN_SPREAD_ERRORS = 3.0
MIN_WORKER_ERRORS = 5.0

#: Number of steps of which the ends on one worker are counted.
MAX_STEPS = 16

#: Number of workers with a label from which it tells the speed of another one, and the
#: share of the variance that it must explain.
MIN_LABELLED = 4
MIN_EXPLAINED = 0.7


@dataclass(slots=True)
class SpeedEstimate:
    """What is known of one incarnation of a worker.

    Attributes:
        runs: Weight of the runs.
        mean: Weighted mean of their deviations.
        level: Published logarithm of the factor.
        estimate: Estimate that the level follows.
        error: Standard error of the mean.
        steps: Number of ends of each of the latest steps.
    """

    incarnation: int
    labels: tuple[str, ...]
    runs: float = 0.0
    mean: float = 0.0
    level: float = 0.0
    estimate: float = 0.0
    error: float = math.inf
    steps: dict[tuple[str, int, int], int] = field(default_factory=dict)

    def record(
        self, step: tuple[str, int, int], deviation: float, weight: float
    ) -> None:
        """Add a run; further runs of a step count less, as its estimate may be wrong.

        Args:
            deviation: Logarithm of its run time relative to the expected one.
            weight: Confidence in the expected run time, from 0 to 1.
        """
        earlier = self.steps.pop(step, 0)
        self.steps[step] = earlier + 1
        if len(self.steps) > MAX_STEPS:
            del self.steps[next(iter(self.steps))]
        weight /= earlier + 1
        self.runs = min(self.runs + weight, MAX_RUNS)
        if self.runs > 0:
            bounded = min(max(deviation, -MAX_DEVIATION), MAX_DEVIATION)
            self.mean += weight / self.runs * (bounded - self.mean)

    def restart(self) -> None:
        """Forget the runs, since the worker has changed; keep the level until then."""
        self.runs = self.mean = 0.0

    def update_level(self) -> bool:
        """Follow the estimate; return whether the level has changed."""
        if abs(self.estimate - self.level) <= MIN_CHANGE:
            return False
        level = round(self.estimate / LEVEL_STEP) * LEVEL_STEP
        changed = level != self.level
        self.level = level
        return changed


def update_estimates(
    estimates: Collection[SpeedEstimate], noise: float
) -> dict[str, float]:
    """Compare workers with each other.

    Args:
        noise: Standard deviation of a single run.

    Returns:
        Estimate for a worker by label, where a label tells the speed.
    """
    known = [x for x in estimates if x.runs >= MIN_RUNS]
    if len(known) < MIN_WORKERS:
        return {}
    centre = statistics.median(x.mean for x in known)
    variance = _estimate_variance(known, centre, noise)
    by_label = _compare_labels(known, centre, variance)
    for item in estimates:
        item.error = noise / math.sqrt(item.runs) if item.runs else math.inf
        prior = max((by_label.get(x, 0.0) for x in item.labels), key=abs, default=0.0)
        deviation = item.mean - centre
        if item.runs >= MIN_RUNS and abs(deviation) > MIN_WORKER_ERRORS * item.error:
            item.estimate = deviation
            continue
        share = variance / (variance + item.error**2) if item.runs else 0.0
        item.estimate = prior + share * (deviation - prior)
    return by_label


def _estimate_variance(
    known: list[SpeedEstimate], centre: float, noise: float
) -> float:
    """Return the variance of the workers' speeds, or 0 if noise explains it."""
    explained = statistics.fmean(noise**2 / x.runs for x in known)
    observed = statistics.fmean((x.mean - centre) ** 2 for x in known)
    excess = observed - explained
    standard_error = explained * math.sqrt(2.0 / len(known))
    return excess if excess > MIN_SPREAD_ERRORS * standard_error else 0.0


def _compare_labels(
    known: list[SpeedEstimate], centre: float, variance: float
) -> dict[str, float]:
    """Return the mean of the workers with a label, for labels that tell the speed."""
    if not variance:
        return {}
    groups = defaultdict(list)
    for item in known:
        for label in item.labels:
            groups[label].append(item.estimate)
    return {
        label: statistics.fmean(items)
        for label, items in groups.items()
        if len(items) >= MIN_LABELLED
        and statistics.pvariance(items) < (1 - MIN_EXPLAINED) * variance
    }
