"""Run times by queue and image, learned from ended runs.

The declared estimate is the prior. What is learned is how far the run times of a group
of tasks are off their estimates, and how much the estimates tell at all. All of it is
in logarithms, as errors of estimates are ratios. The table is bounded and ages.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from bluebellyoke.workflow.bounds import MAX_DURATION_MS, MIN_DURATION_MS
from bluebellyoke.workflow.specs import QueueAddress, StepSpec

__all__ = ["Prediction", "RunTimes"]

#: Queue, image or an empty text for all, whether the tasks have an estimate, and
#: whether they are those of gangs, which all end with the slowest one.
_GroupKey = tuple[QueueAddress, str, bool, bool]

#: Maximum number of groups; the one that was used least recently is dropped.
MAX_GROUPS = 512

#: Weight of the prior, in runs.
PRIOR_RUNS = 4.0

#: Maximum weight of what is known, in runs, so that recent runs count more.
MAX_RUNS = 100.0

#: Time in which the weight of what is known halves, in seconds.
HALF_LIFE_S = 120.0

#: Standard deviation of the logarithm of a run time before any run is known.
INITIAL_SPREAD = 0.6
MIN_SPREAD = 0.15
MAX_SPREAD = 1.5

#: Deviations beyond this multiple of the spread are clipped. It keeps the runs that are
#: several times as long as the others from shifting the mean.
CLIP_SPREADS = 2.0

#: Ratio of the variance of a normal distribution to its variance after such clipping.
CLIP_CORRECTION = 1.09

#: Number of runs from which deviations are clipped. The first ones may be far off,
#: since estimates of a whole queue may be wrong.
MIN_CLIPPED_RUNS = 8.0

#: Variance of the logarithm of the estimates, and its weight in runs, that stand for
#: estimates that are right.
PRIOR_VARIANCE = 0.05
PRIOR_VARIANCE_RUNS = 10.0


#: Range of the logarithms of run times in seconds. Estimates far from all that are
#: known would be extrapolated beyond what has an exponential.
MIN_LOG = math.log(MIN_DURATION_MS / 1000)
MAX_LOG = math.log(MAX_DURATION_MS / 1000)


def _take_logarithm(duration_s: float) -> float:
    """Return the logarithm of a duration, which may be any number."""
    if not duration_s >= MIN_DURATION_MS / 1000:
        return MIN_LOG
    return min(math.log(duration_s), MAX_LOG)


@dataclass(frozen=True, slots=True)
class Prediction:
    """Expected run time of a task on a worker of median speed.

    Attributes:
        log_s: Logarithm of the run time in seconds.
        spread: Standard deviation of that logarithm.
        runs: Weight of the runs that it is based on; 0 if it is the declared estimate.
    """

    log_s: float
    spread: float
    runs: float

    @property
    def seconds(self) -> float:
        """Expected run time in seconds."""
        return math.exp(self.log_s)


@dataclass(slots=True)
class _Group:
    """Statistics of the runs of one group of tasks, all of logarithms.

    Attributes:
        duration: Mean of the run times.
        estimate, variance: Mean and variance of the declared estimates.
        covariance: Covariance of both.
        noise: Variance of the run times around their predictions.
    """

    updated_at: float
    runs: float = 0.0
    duration: float = 0.0
    estimate: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    noise: float = INITIAL_SPREAD**2

    @property
    def spread(self) -> float:
        return min(max(math.sqrt(self.noise), MIN_SPREAD), MAX_SPREAD)

    def predict(self, estimate: float) -> float:
        """Return the logarithm of the run time for that of a declared estimate."""
        prior = PRIOR_VARIANCE_RUNS * PRIOR_VARIANCE
        total = self.runs * self.variance + prior
        slope = (self.runs * self.covariance + prior) / total
        return self.duration + slope * (estimate - self.estimate)

    def record(self, duration: float, estimate: float, predicted: float) -> None:
        """Add a run; `predicted` is the logarithm of the run time expected so far."""
        deviation = duration - predicted
        if self.runs >= MIN_CLIPPED_RUNS:
            bound = CLIP_SPREADS * self.spread
            deviation = min(max(deviation, -bound), bound)
            self.noise += (CLIP_CORRECTION * deviation**2 - self.noise) / self.runs
        duration = predicted + deviation
        self.runs = min(self.runs + 1.0, MAX_RUNS)
        share = 1.0 / self.runs
        from_estimate = estimate - self.estimate
        from_duration = duration - self.duration
        self.estimate += share * from_estimate
        self.duration += share * from_duration
        self.variance = (1 - share) * (self.variance + share * from_estimate**2)
        self.covariance = (1 - share) * (
            self.covariance + share * from_estimate * from_duration
        )

    def age(self, now: float) -> None:
        """Reduce the weight of what is known by the time that has passed."""
        self.runs *= 0.5 ** (max(now - self.updated_at, 0.0) / HALF_LIFE_S)
        self.updated_at = now


class RunTimes:
    """Learns run times by queue and image, for workers of median speed."""

    def __init__(self) -> None:
        self._groups: OrderedDict[_GroupKey, _Group] = OrderedDict()

    def clear(self) -> None:
        """Drop everything."""
        self._groups.clear()

    def predict(self, queue: QueueAddress, step: StepSpec) -> Prediction | None:
        """Return the expected run time of a task, or None if nothing is known."""
        has_estimate = step.estimate_ms > 0
        estimate = _take_logarithm(step.estimate_ms / 1000) if has_estimate else 0.0
        result, spread, runs = estimate, INITIAL_SPREAD, 0.0
        for key in _list_keys(queue, step):
            group = self._groups.get(key)
            if group is None or not group.runs:
                continue
            weight = group.runs / (group.runs + PRIOR_RUNS)
            if not has_estimate and not runs:
                weight = 1.0
            result += weight * (group.predict(estimate) - result)
            spread += weight * (group.spread - spread)
            runs = group.runs
        if not has_estimate and not runs:
            return None
        return Prediction(min(max(result, MIN_LOG), MAX_LOG), spread, runs)

    def record(
        self, queue: QueueAddress, step: StepSpec, duration_s: float, now: float
    ) -> Prediction | None:
        """Add a run and return what was predicted for it.

        Args:
            duration_s: Run time on a worker of median speed, in seconds.
        """
        prediction = self.predict(queue, step)
        duration = _take_logarithm(duration_s)
        has_estimate = step.estimate_ms > 0
        estimate = _take_logarithm(step.estimate_ms / 1000) if has_estimate else 0.0
        for key in _list_keys(queue, step):
            group = self._find_or_add(key, now)
            group.age(now)
            predicted = group.predict(estimate) if group.runs else duration
            group.record(duration, estimate, predicted)
        return prediction

    def _find_or_add(self, key: _GroupKey, now: float) -> _Group:
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group(now)
            if len(self._groups) > MAX_GROUPS:
                self._groups.popitem(last=False)
        else:
            self._groups.move_to_end(key)
        return group


def _list_keys(queue: QueueAddress, step: StepSpec) -> list[_GroupKey]:
    """Return the keys of a step's groups, the general one first."""
    has_estimate = step.estimate_ms > 0
    keys = [(queue, "", has_estimate, step.gang)]
    if step.image:
        keys.append((queue, step.image, has_estimate, step.gang))
    return keys
