"""Tail latencies of serving tasks relative to those of the same image elsewhere.

The tasks of an image share their traffic, so that their tails rise and fall together.
Subtracting the mean of the peers, in the tail as in the exposure to other images,
leaves what concerns one task alone.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from bluebellyoke.dispatch.exposure import Baseline
from bluebellyoke.workflow.store import RunKey

__all__ = ["PeerMean", "ServingPeers", "TailSample"]


@dataclass(frozen=True, slots=True)
class PeerMean:
    """Mean of the latest reports of the other tasks of an image.

    Attributes:
        level: Logarithm of the inverse of the tail latency.
        exposures: Exposure to each image.
    """

    level: float
    exposures: Mapping[str, float]


@dataclass(slots=True)
class ServingPeers:
    """Latest reports of the serving tasks of an image."""

    reports: dict[RunKey, tuple[float, Mapping[str, float]]] = field(
        default_factory=dict
    )
    total_level: float = 0.0
    total_exposures: Counter[str] = field(default_factory=Counter)

    def update(
        self, key: RunKey, level: float, exposures: Mapping[str, float] | None
    ) -> PeerMean | None:
        """Set the report of a task and return the mean of the others, if any.

        Args:
            exposures: Exposures of the task, or None if they are unknown. Its tail then
                is no measure for the others either.
        """
        self.remove(key)
        others = len(self.reports)
        mean = None
        if others:
            shares = {x: y / others for x, y in self.total_exposures.items()}
            mean = PeerMean(self.total_level / others, shares)
        if exposures is not None:
            self.reports[key] = (level, exposures)
            self.total_level += level
            self.total_exposures.update(exposures)
        return mean

    def remove(self, key: RunKey) -> None:
        """Drop a task that has ended."""
        level, exposures = self.reports.pop(key, (0.0, {}))
        self.total_level -= level
        for image, exposure in exposures.items():
            self.total_exposures[image] -= exposure
            if self.total_exposures[image] < 1e-9:
                del self.total_exposures[image]


@dataclass(frozen=True, slots=True)
class TailSample:
    """Tail latency of a serving task in one report.

    Attributes:
        level: Logarithm of its inverse.
        peers: Mean of the other tasks of its image in their latest reports, if any.
        exposures: Exposure to each image, or None if it is unknown.
    """

    level: float
    peers: PeerMean | None
    exposures: Mapping[str, float] | None

    def compare_to_peers(
        self, later: PeerMean | None, baseline: Baseline
    ) -> tuple[float, dict[str, float]] | None:
        """Return level and exposures relative to the peers, or None without a measure.

        The reports of the peers come at other times: their mean at the time of the
        sample lies between those known at this report and at the next one. The one that
        explains the level best without any exposure is taken, so that a change that the
        peers share is no evidence.

        Args:
            later: Mean of the peers at the next report.
        """
        if self.exposures is None or (self.peers is None) is not (later is None):
            return None
        if self.peers is None:
            return self.level, dict(self.exposures)
        share = 0.5
        change = later.level - self.peers.level
        if baseline.weight and change:
            share = (self.level - baseline.level - self.peers.level) / change
            share = min(max(share, 0.0), 1.0)
        exposures = dict(self.exposures)
        for mean, weight in ((self.peers, 1 - share), (later, share)):
            for image, exposure in mean.exposures.items():
                exposures[image] = exposures.get(image, 0.0) - weight * exposure
        return self.level - self.peers.level - share * change, exposures
