"""Weighted dominant-resource fairness between workspaces, over time.

A workspace is ranked by its dominant share divided by its weight, plus a part of
the same value averaged over the last minutes. A workspace that took more than its
due while others were idle therefore yields first when they come back.
"""

import math

from bluebellyoke.cell.jobbook import JobBook
from bluebellyoke.cell.resources import Resources

__all__ = ["FairShares", "compute_due_shares"]

#: Time after which past usage counts half, in seconds.
HALF_LIFE_S = 300.0

#: Weight of the averaged share against the present one.
HISTORY_WEIGHT = 0.5


class FairShares:
    """Ranks of the workspaces in one planning round.

    The averages outlive the round; usage is read from the book and grows with what
    the round plans.
    """

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}
        self._averaged_at: float | None = None
        self._usage: dict[str, list[int]] = {}
        self._total = Resources()

    def begin_round(self, book: JobBook, now: float) -> None:
        """Read the present usage and age the averages."""
        self._total = book.total
        self._usage = {
            name: [item.cpu_millis, item.memory_mb, item.accelerators]
            for name, item in book.workspaces.items()
        }
        elapsed = 0.0 if self._averaged_at is None else now - self._averaged_at
        self._averaged_at = now
        keep = math.exp(-math.log(2) * max(elapsed, 0.0) / HALF_LIFE_S)
        self._averages = {
            name: self._averages.get(name, 0.0) * keep
            + self.compute_share(name) * (1 - keep)
            for name in self._usage
        }

    def add(self, workspace: str, need: Resources, count: int = 1) -> None:
        """Count planned tasks of a workspace."""
        usage = self._usage[workspace]
        usage[0] += need.cpu_millis * count
        usage[1] += need.memory_mb * count
        usage[2] += need.accelerators * count

    def compute_share(self, workspace: str) -> float:
        """Return the dominant share of a workspace."""
        cpu, memory, accelerators = self._usage[workspace]
        total = self._total
        return max(
            cpu / (total.cpu_millis or 1),
            memory / (total.memory_mb or 1),
            accelerators / (total.accelerators or 1),
        )

    def rank(self, workspace: str, weight: float) -> float:
        """Return the rank of a workspace; the least is served first."""
        share = self.compute_share(workspace)
        history = self._averages.get(workspace, 0.0)
        return (share + HISTORY_WEIGHT * history) / max(weight, 1e-9)

    def allows(self, workspace: str, quota: Resources, need: Resources) -> bool:
        """Return whether the quota leaves room beside what the round planned."""
        cpu, memory, accelerators = self._usage[workspace]
        return (
            (not quota.cpu_millis or cpu + need.cpu_millis <= quota.cpu_millis)
            and (not quota.memory_mb or memory + need.memory_mb <= quota.memory_mb)
            and (
                not quota.accelerators
                or accelerators + need.accelerators <= quota.accelerators
            )
        )


def compute_due_shares(weights: dict[str, float], wanted: dict[str, float]) -> dict:
    """Return the weighted max-min fair share of each workspace.

    Args:
        weights: Weight by workspace.
        wanted: Dominant share that each workspace could use, by workspace.
    """
    due = dict.fromkeys(wanted, 0.0)
    open_names = {name for name, value in wanted.items() if value > 0}
    left = 1.0
    while open_names and left > 1e-12:
        unit = left / sum(weights[name] for name in open_names)
        filled = {
            name
            for name in open_names
            if wanted[name] - due[name] <= unit * weights[name]
        }
        if not filled:
            for name in open_names:
                due[name] += unit * weights[name]
            break
        for name in filled:
            left -= wanted[name] - due[name]
            due[name] = wanted[name]
        open_names -= filled
    return due
