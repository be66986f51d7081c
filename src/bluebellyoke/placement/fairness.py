"""Weighted dominant-resource fairness between workspaces, over time.

A workspace is ranked by its dominant share, plus a part of its average excess over
its due share in the last minutes, divided by its weight. The due share follows from
who wants room: a workspace that is alone is due the whole cell, so what it borrows
then is no excess; it yields once the others want their part again, and what it still
holds by then counts against it.
"""

import math

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.scheduling import SchedulingState

__all__ = ["FairShares", "compute_due_shares"]

#: Time after which past usage counts half, in seconds.
HALF_LIFE_S = 300.0

#: Weight of the average excess against the present share.
HISTORY_WEIGHT = 0.5

#: Time between two updates of the averages, in seconds.
UPDATE_S = 0.5


class FairShares:
    """Ranks of the workspaces in one planning round.

    The averages outlive the round; usage is read from the scheduling state and
    grows with what the round plans.
    """

    def __init__(self) -> None:
        self._excess: dict[str, float] = {}
        self._averaged_at: float | None = None
        self._usage: dict[str, list[int]] = {}
        self._total = Resources()

    def begin_round(self, book: SchedulingState, now: float) -> None:
        """Read the present usage and update the averages."""
        self._total = book.total
        self._usage = {
            name: [item.cpu_millis, item.memory_mb, item.accelerators]
            for name, item in book.workspaces.items()
        }
        if self._averaged_at is None:
            self._averaged_at = now
        elapsed = now - self._averaged_at
        if elapsed >= UPDATE_S:
            self._averaged_at = now
            self._update_excess(book, elapsed)

    def _update_excess(self, book: SchedulingState, elapsed: float) -> None:
        keep = math.exp(-math.log(2) * elapsed / HALF_LIFE_S)
        waiting = {workspace for workspace, _ in book.queues}
        shares = {name: self.compute_share(name) for name in self._usage}
        wanted = {
            name: 1.0 if name in waiting else share for name, share in shares.items()
        }
        weights = {name: item.spec.share for name, item in book.workspaces.items()}
        due = compute_due_shares(weights, wanted)
        self._excess = {
            name: self._excess.get(name, 0.0) * keep + (share - due[name]) * (1 - keep)
            for name, share in shares.items()
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
        excess = self._excess.get(workspace, 0.0)
        return (share + HISTORY_WEIGHT * excess) / max(weight, 1e-9)

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


def compute_due_shares(
    weights: dict[str, float], wanted: dict[str, float]
) -> dict[str, float]:
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
