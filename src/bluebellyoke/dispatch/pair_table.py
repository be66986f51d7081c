"""Estimates of how much one image slows another, by pair of images.

Each estimate is the logarithm of a slowdown with its variance. Evidence on several
neighbours at once is divided among them by their variances, as a Kalman filter with a
diagonal covariance does. Estimates decay towards neutral when no evidence arrives.
"""

import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from bluebellyoke.metrics import Metrics

__all__ = ["PairEstimate", "PairTable"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Maximum number of pairs, which bounds memory and the time of a check to 1 ms.
MAX_PAIRS = 1024

#: Share of the pairs that is dropped when the table is full.
DROPPED_SHARE = 0.25

#: Variance of the logarithm of an unknown slowdown: one standard deviation is a factor
#: of 1.35.
PRIOR_VARIANCE = 0.09

#: Largest deviation that one piece of evidence counts for, as a multiple of its
#: standard deviation and as a logarithm. A few tasks run many times as long as usual,
#: whatever runs beside them.
MAX_RESIDUAL_SIGMAS = 1.5
MAX_RESIDUAL = 0.5

#: Time in which an estimate without evidence halves, and time in which its variance
#: returns to that of an unknown one, in seconds.
HALF_LIFE_S = 300.0
VARIANCE_RECOVERY_S = 600.0

#: A pair is known once its slowdown exceeds the first logarithm by so many standard
#: deviations, and until it no longer exceeds the second one by one.
KNOWN_LOG = 0.1
KNOWN_SIGMAS = 2.5
DROPPED_LOG = 0.05
DROPPED_SIGMAS = 1.0

#: Evidence that a pair needs to become known: the sum of the squared differences of
#: exposure, and the number of workers, since one worker may have slowed down by itself.
MIN_EVIDENCE = 2.0
MIN_WORKERS = 2

#: Number of workers that an estimate remembers.
MAX_WORKERS = 8

#: Smallest difference of exposure that counts.
MIN_CONTRAST = 0.1

#: Time between two checks for estimates that have aged, in seconds.
CHECK_INTERVAL_S = 5.0


@dataclass(slots=True)
class PairEstimate:
    """Slowdown of one image by another.

    Attributes:
        mean, variance: Logarithm of the slowdown and its variance.
        updated_at: Monotonic time at which they hold.
        evidence: Sum of the squared differences of exposure.
        workers: IDs and incarnations of workers that the evidence is from.
        is_known: Whether the slowdown counts in decisions.
    """

    updated_at: float
    mean: float = 0.0
    variance: float = PRIOR_VARIANCE
    evidence: float = 0.0
    workers: set[tuple[str, int]] = field(default_factory=set)
    is_known: bool = False

    @property
    def factor(self) -> float:
        """Run time as a multiple of that without the other image."""
        return math.exp(self.mean)

    def age(self, now: float) -> None:
        """Let the estimate decay towards neutral."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        self.updated_at = now
        decay = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.mean *= decay
        self.evidence *= decay
        recovered = PRIOR_VARIANCE * elapsed_s / VARIANCE_RECOVERY_S
        self.variance = min(self.variance + recovered, PRIOR_VARIANCE)

    def should_be_known(self) -> bool:
        """Return whether the slowdown is certain enough to count."""
        sigma = math.sqrt(self.variance)
        if self.is_known:
            is_certain = self.mean - DROPPED_SIGMAS * sigma > DROPPED_LOG
            return is_certain and bool(self.workers)
        return (
            self.mean - KNOWN_SIGMAS * sigma > KNOWN_LOG
            and self.evidence >= MIN_EVIDENCE
            and len(self.workers) >= MIN_WORKERS
        )


class PairTable:
    """Slowdowns by pair of images; unknown pairs are neutral.

    Args:
        metrics: Receives the number of known pairs.

    Attributes:
        partners: Slowdowns of each image by the others and of the others by it, as a
            share of the run time, summed by pair. Holds known pairs only.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._pairs: dict[tuple[str, str], PairEstimate] = {}
        self._check_due = 0.0
        self.partners: dict[str, dict[str, float]] = {}

    def clear(self) -> None:
        """Forget all pairs."""
        self._pairs.clear()
        self.partners.clear()
        self._check_due = 0.0
        self._metrics.set_interfering_pairs(0)

    def get(self, victim: str, other: str) -> PairEstimate | None:
        """Return what is estimated of a pair, or None without any evidence."""
        return self._pairs.get((victim, other))

    def estimate_slowdown(self, victim: str, other: str) -> float:
        """Return the additional run time of an image beside another one, as a share.

        It is 0 if the pair is not known.
        """
        pair = self._pairs.get((victim, other))
        if pair is None or not pair.is_known:
            return 0.0
        return max(pair.factor - 1, 0.0)

    def add_evidence(
        self,
        victim: str,
        contrasts: Mapping[str, float],
        slowdown: float,
        noise: float,
        worker: tuple[str, int],
        now: float,
    ) -> None:
        """Update the pairs of an image by one observation.

        Args:
            contrasts: Exposure of the victim to other images, from 0 to 1, less its
                exposure in the observations that it is compared with.
            slowdown: Logarithm of its run time relative to that in these observations.
            noise: Variance of this logarithm without any interference.
            worker: ID and incarnation of the worker.
        """
        items = [
            (contrast, other, self._get_pair(victim, other, now))
            for other, contrast in contrasts.items()
            if abs(contrast) >= MIN_CONTRAST
        ]
        if not items:
            return
        variance = noise + sum(x * x * pair.variance for x, _, pair in items)
        limit = min(MAX_RESIDUAL_SIGMAS * math.sqrt(variance), MAX_RESIDUAL)
        residual = slowdown - sum(x * pair.mean for x, _, pair in items)
        residual = min(max(residual, -limit), limit)
        for contrast, other, pair in items:
            gain = contrast * pair.variance / variance
            pair.mean += gain * residual
            pair.variance -= gain * contrast * pair.variance
            pair.evidence += contrast * contrast
            if len(pair.workers) < MAX_WORKERS:
                pair.workers.add(worker)
            self._update_known(victim, other, pair)

    def _get_pair(self, victim: str, other: str, now: float) -> PairEstimate:
        pair = self._pairs.get((victim, other))
        if pair is None:
            if len(self._pairs) >= MAX_PAIRS:
                self._drop_oldest()
            pair = self._pairs[(victim, other)] = PairEstimate(now)
        else:
            pair.age(now)
        return pair

    def _drop_oldest(self) -> None:
        """Drop the pairs without recent evidence, those that are not known first."""
        ranked = sorted(
            self._pairs,
            key=lambda x: (self._pairs[x].is_known, self._pairs[x].updated_at),
        )
        for names in ranked[: int(MAX_PAIRS * DROPPED_SHARE)]:
            pair = self._pairs.pop(names)
            if pair.is_known:
                self._toggle_known(*names, pair)

    def forget_worker(self, worker: tuple[str, int]) -> None:
        """Drop an incarnation of a worker as a source of evidence."""
        for (victim, other), pair in self._pairs.items():
            if worker in pair.workers:
                pair.workers.discard(worker)
                self._update_known(victim, other, pair)

    def check(self, now: float) -> None:
        """Let all estimates age, at most once an interval."""
        if now < self._check_due or not self._pairs:
            return
        self._check_due = now + CHECK_INTERVAL_S
        for (victim, other), pair in self._pairs.items():
            pair.age(now)
            self._update_known(victim, other, pair)

    def _update_known(self, victim: str, other: str, pair: PairEstimate) -> None:
        if pair.should_be_known() is not pair.is_known:
            self._toggle_known(victim, other, pair)
        elif pair.is_known:
            self._publish(victim, other)

    def _toggle_known(self, victim: str, other: str, pair: PairEstimate) -> None:
        pair.is_known = not pair.is_known
        self._publish(victim, other)
        sigma = math.sqrt(pair.variance)
        logger.info(
            "dispatch: learned an interference"
            if pair.is_known
            else "dispatch: dropped an interference",
            extra={
                "image": victim,
                "by": other,
                "factor": round(pair.factor, 2),
                "low": round(math.exp(pair.mean - 2 * sigma), 2),
                "high": round(math.exp(pair.mean + 2 * sigma), 2),
                "evidence": round(pair.evidence, 1),
                "workers": len(pair.workers),
            },
        )
        known = sum(x.is_known for x in self._pairs.values())
        self._metrics.set_interfering_pairs(known)

    def _publish(self, victim: str, other: str) -> None:
        """Update what decisions use of a pair, in both directions."""
        total = self.estimate_slowdown(victim, other)
        if victim != other:
            total += self.estimate_slowdown(other, victim)
        for first, second in ((victim, other), (other, victim)):
            if total:
                self.partners.setdefault(first, {})[second] = total
                continue
            partners = self.partners.get(first, {})
            partners.pop(second, None)
            if not partners:
                self.partners.pop(first, None)
