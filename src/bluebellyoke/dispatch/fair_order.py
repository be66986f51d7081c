"""Order of the waiting steps by the fair shares of their workspaces.

While the workspaces ask for more than the workers have, steps that begin within the
weighted max-min fair share of their workspace are planned first, then those that begin
within twice the share, then all others. A step beyond the share still starts if there
is room for it. Only workspaces with runs or with waiting steps are looked at.
"""

import math
from collections.abc import Sequence
from dataclasses import replace

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.sharing import compute_fair_shares
from bluebellyoke.dispatch.ordering import StepOrder
from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["FairOrder"]

#: Share of the workers' capacity that tasks can use, since they rarely fill a worker
#: exactly.
USABLE_SHARE = 0.84

#: Multiple of its fair share from which on a workspace is planned after those that are
#: only above theirs. A workspace whose average is its fair share reaches twice the
#: share while two of its gangs overlap.
FAR_ABOVE = 2.0

#: Dominant share from which on a step is divided where it crosses a bound. Narrower
#: steps exceed it by less, and a division would delay the last tasks of a job.
WIDE_STEP = 0.05

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
        sizes, asked = _measure_steps(waiting, total)
        used = {
            name: amount.compute_dominant_share(total)
            for name, amount in store.usage.iter_used()
        }
        if sum(used.values()) + sum(sizes) <= 1.0:
            return waiting
        fair = _compute_bounds(store, used, asked, total)
        if not fair:
            return waiting
        within, above, far_above = groups = ([], [], [])
        for step, size in zip(waiting, sizes, strict=True):
            name = step.workflow.spec.workspace
            share = used.get(name, 0.0)
            used[name] = share + size
            bound = fair[name]
            if share + size <= bound:
                within.append(step)
            elif share >= FAR_ABOVE * bound:
                far_above.append(step)
            else:
                _divide(groups, step, size, share, bound)
        return within + above + far_above


def _divide(
    groups: tuple[list[WaitingStep], list[WaitingStep], list[WaitingStep]],
    step: WaitingStep,
    size: float,
    share: float,
    fair: float,
) -> None:
    """Add a step that crosses a bound to the groups within, above and far above.

    A wide step is divided, unless its tasks belong together or are counted by worker.

    Args:
        groups: The three groups.
        step: Step to add.
        size: Dominant share that the step asks for.
        share: Dominant share of the workspace before the step.
        fair: Fair share of the workspace.
    """
    is_whole = step.spec.gang or step.spec.max_per_worker or size < WIDE_STEP
    for group, bound in zip(groups, (fair, FAR_ABOVE * fair), strict=False):
        if share >= bound:
            continue
        if is_whole or share + size <= bound:
            group.append(step)
            return
        count = math.ceil((bound - share) / size * len(step.indexes))
        if count >= len(step.indexes):
            group.append(step)
            return
        head, tail = step.indexes[:count], step.indexes[count:]
        group.append(replace(step, indexes=head, is_part=True))
        share += size * count / len(step.indexes)
        size *= len(tail) / len(step.indexes)
        step = replace(step, indexes=tail)
    groups[-1].append(step)


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


def _measure_steps(
    waiting: Sequence[WaitingStep], total: Resources
) -> tuple[list[float], dict[str, float]]:
    """Return the dominant share that each step asks for, and the sum by workspace."""
    per_cpu = 1 / (total.cpu_millis or 1)
    per_memory = 1 / (total.memory_mb or 1)
    per_accelerator = 1 / (total.accelerators or 1)
    sizes: list[float] = []
    asked: dict[str, float] = {}
    for step in waiting:
        allocation = step.spec.allocation
        size = len(step.indexes) * max(
            allocation.cpu_millis * per_cpu,
            allocation.memory_mb * per_memory,
            allocation.accelerators * per_accelerator,
        )
        sizes.append(size)
        name = step.workflow.spec.workspace
        asked[name] = asked.get(name, 0.0) + size
    return sizes, asked


def _compute_bounds(
    store: WorkflowStore,
    used: dict[str, float],
    asked: dict[str, float],
    total: Resources,
) -> dict[str, float]:
    """Return the fair share of each active workspace; nothing while capacity suffices.

    A workspace demands what it uses and asks for, at most its quota.
    """
    demands = dict(used)
    for name, size in asked.items():
        demands[name] = demands.get(name, 0.0) + size
    weights: dict[str, float] = {}
    for name, demand in demands.items():
        workspace = store.find_workspace(name)
        if workspace is not None:
            weights[name] = workspace.share
            demands[name] = _cap_demand(demand, workspace.quota, total)
    if len(demands) < 2 or sum(demands.values()) <= 1.0:
        return {}
    average = sum(weights.values()) / len(weights) if weights else DEFAULT_WEIGHT
    for name in demands.keys() - weights.keys():
        weights[name] = average
    return compute_fair_shares(weights, demands)


def _cap_demand(demand: float, quota: Resources, total: Resources) -> float:
    """Return a demand, at most the dominant share at which the quota is used up."""
    cpu, memory, accelerators = quota.cpu_millis, quota.memory_mb, quota.accelerators
    if cpu and cpu < demand * total.cpu_millis:
        demand = cpu / total.cpu_millis
    if memory and memory < demand * total.memory_mb:
        demand = memory / total.memory_mb
    if accelerators and accelerators < demand * total.accelerators:
        demand = accelerators / total.accelerators
    return demand
