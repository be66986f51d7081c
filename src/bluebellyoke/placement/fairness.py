"""Weighted dominant-resource fairness between workspaces, with usage history.

The rank of a workspace is its dominant share plus a fraction of its average excess over
its fair share in the last minutes, divided by its weight.

The fair share depends on the current demand. A workspace without competitors has the
whole cell as its fair share, so its usage is not an excess. Once other workspaces have
waiting tasks, usage above the reduced fair share counts as excess.
"""

import math

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.scheduling import SchedulingState
from bluebellyoke.cell.sharing import compute_fair_shares, is_within_quota

__all__ = ["FairShares"]

#: Half-life of the average excess, in seconds.
USAGE_HALF_LIFE_S = 300.0

#: Weight of the average excess relative to the current share.
HISTORY_WEIGHT = 0.5

#: Minimum time between two updates of the averages, in seconds.
UPDATE_INTERVAL_S = 0.5


class FairShares:
    """Shares and ranks of the workspaces in a planning round.

    Usage is read from the scheduling state at the start of a round and includes what
    the round plans. The averages persist between rounds.
    """

    def __init__(self) -> None:
        self._excess: dict[str, float] = {}
        self._updated_at: float | None = None
        self._usage: dict[str, list[int]] = {}
        self._total = Resources()

    def begin_round(self, scheduling: SchedulingState, now: float) -> None:
        """Read the current usage and update the averages."""
        self._total = scheduling.total
        self._usage = {
            name: [item.cpu_millis, item.memory_mb, item.accelerators]
            for name, item in scheduling.workspaces.items()
        }
        if self._updated_at is None:
            self._updated_at = now
        elapsed = now - self._updated_at
        if elapsed >= UPDATE_INTERVAL_S:
            self._updated_at = now
            self._update_excess(scheduling, elapsed)

    def _update_excess(self, scheduling: SchedulingState, elapsed: float) -> None:
        decay = math.exp(-math.log(2) * elapsed / USAGE_HALF_LIFE_S)
        waiting = {workspace for workspace, _ in scheduling.queues}
        shares = {name: self.compute_share(name) for name in self._usage}
        demands = {
            name: 1.0 if name in waiting else share for name, share in shares.items()
        }
        weights = {
            name: item.spec.share for name, item in scheduling.workspaces.items()
        }
        fair = compute_fair_shares(weights, demands)
        self._excess = {
            name: self._excess.get(name, 0.0) * decay
            + (share - fair[name]) * (1 - decay)
            for name, share in shares.items()
        }

    def add(self, workspace: str, need: Resources, count: int = 1) -> None:
        """Add `count` planned tasks to the usage of a workspace."""
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

    def compute_rank(self, workspace: str, weight: float) -> float:
        """Return the rank of a workspace; the lowest rank is served first."""
        share = self.compute_share(workspace)
        excess = self._excess.get(workspace, 0.0)
        return (share + HISTORY_WEIGHT * excess) / max(weight, 1e-9)

    def is_within_quota(
        self, workspace: str, quota: Resources, need: Resources
    ) -> bool:
        """Return whether the current usage plus `need` is within the quota."""
        return is_within_quota(Resources(*self._usage[workspace]), quota, need)
