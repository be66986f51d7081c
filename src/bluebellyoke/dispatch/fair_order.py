"""Order of the waiting steps by the fair shares of their workspaces.

While the workspaces ask for more than the workers have, steps that begin within the
weighted max-min fair share of their workspace are planned first, then all others. A
step beyond the share still starts if there is room for it. Only workspaces with runs or
with waiting steps are looked at.
"""

from collections.abc import Sequence

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import compute_fair_shares
from bluebellyoke.dispatch.ordering import StepOrder
from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.workflow.specs import WorkspaceSpec
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["FairOrder"]

#: Share of the workers' capacity that tasks can use, since they rarely fill a worker
#: exactly.
USABLE_SHARE = 0.84

#: Weight of a workspace while none that is active is in the configuration.
DEFAULT_WEIGHT = 1.0


class FairOrder(StepOrder):
    """Puts steps of workspaces beyond their fair share last.

    Steps without a workspace count as those of one workspace. It weighs as much as the
    average of the active ones, as does a workspace that has been removed.
    """

    def arrange(
        self, waiting: Sequence[WaitingStep], planning: PlanningRound
    ) -> Sequence[WaitingStep]:
        """Return the steps within a fair share, then all others."""
        store = planning.quotas.store
        if len(waiting) < 2 or not store.configuration.workspaces:
            return waiting
        total = _sum_capacity(store, waiting, planning)
        sizes = _measure_steps(waiting, total)
        used = {
            name: amount.compute_dominant_share(total)
            for name, amount in store.usage.iter_used()
        }
        demands = _sum_demands(store, waiting, sizes, used, total)
        if len(demands) < 2 or sum(demands.values()) <= 1.0:
            return waiting
        fair = compute_fair_shares(_find_weights(store, demands), demands)
        within, beyond = [], []
        for step, size in zip(waiting, sizes, strict=True):
            name = step.workflow.spec.workspace
            share = used.get(name, 0.0)
            (within if share < fair[name] else beyond).append(step)
            used[name] = share + size
        return within + beyond if beyond else waiting


def _sum_capacity(
    store: WorkflowStore, waiting: Sequence[WaitingStep], planning: PlanningRound
) -> Resources:
    """Return the usable capacity of the pools that the steps wait for."""
    cpu = memory = accelerators = 0
    for pool in {store.find_pool(step.workflow) for step in waiting}:
        for worker in planning.list_workers(pool, ""):
            capacity = worker.spec.capacity
            cpu += capacity.cpu_millis
            memory += capacity.memory_mb
            accelerators += capacity.accelerators
    return Resources(int(cpu * USABLE_SHARE), int(memory * USABLE_SHARE), accelerators)


def _measure_steps(waiting: Sequence[WaitingStep], total: Resources) -> list[float]:
    """Return the dominant share of the waiting tasks of each step."""
    return [
        0.0
        if step.spec.backfill
        else len(step.indexes) * step.spec.need.compute_dominant_share(total)
        for step in waiting
    ]


def _sum_demands(
    store: WorkflowStore,
    waiting: Sequence[WaitingStep],
    sizes: Sequence[float],
    used: dict[str, float],
    total: Resources,
) -> dict[str, float]:
    """Return what each active workspace could use, at most its quota."""
    demands = dict(used)
    for step, size in zip(waiting, sizes, strict=True):
        name = step.workflow.spec.workspace
        demands[name] = demands.get(name, 0.0) + size
    return {
        name: _limit(demand, store.find_workspace(name), total)
        for name, demand in demands.items()
    }


def _limit(demand: float, workspace: WorkspaceSpec | None, total: Resources) -> float:
    """Return a demand, at most the dominant share at which the quota is used up."""
    if workspace is None:
        return demand
    quota = workspace.quota
    for bound, available in (
        (quota.cpu_millis, total.cpu_millis),
        (quota.memory_mb, total.memory_mb),
        (quota.accelerators, total.accelerators),
    ):
        if bound and available:
            demand = min(demand, bound / available)
    return demand


def _find_weights(store: WorkflowStore, demands: dict[str, float]) -> dict[str, float]:
    found = {name: store.find_workspace(name) for name in demands}
    shares = [item.share for item in found.values() if item is not None]
    average = sum(shares) / len(shares) if shares else DEFAULT_WEIGHT
    return {
        name: item.share if item is not None else average
        for name, item in found.items()
    }
