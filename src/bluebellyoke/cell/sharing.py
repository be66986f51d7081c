"""Rules by which workspaces share resources: quotas and fair shares."""

from collections.abc import Mapping

from bluebellyoke.cell.resources import Resources

__all__ = ["compute_fair_shares", "count_within_quota", "is_within_quota"]

#: Smallest weight, so that a workspace with a share of 0 gets what others leave.
MIN_WEIGHT = 1e-9


def is_within_quota(
    used: Resources, quota: Resources, need: Resources, count: int = 1
) -> bool:
    """Return whether a quota allows `count` more tasks; an amount of 0 is no limit."""
    cpu, memory, accelerators = quota.cpu_millis, quota.memory_mb, quota.accelerators
    return (
        (not cpu or used.cpu_millis + need.cpu_millis * count <= cpu)
        and (not memory or used.memory_mb + need.memory_mb * count <= memory)
        and (
            not accelerators
            or used.accelerators + need.accelerators * count <= accelerators
        )
    )


def count_within_quota(
    used: Resources, quota: Resources, need: Resources, limit: int
) -> int:
    """Return how many more tasks a quota allows, at most `limit`.

    None are allowed while any limited resource is exceeded, also one that the tasks do
    not need.
    """
    for bound, taken, wanted in (
        (quota.cpu_millis, used.cpu_millis, need.cpu_millis),
        (quota.memory_mb, used.memory_mb, need.memory_mb),
        (quota.accelerators, used.accelerators, need.accelerators),
    ):
        if not bound:
            continue
        if taken > bound:
            return 0
        if wanted > 0:
            limit = min(limit, (bound - taken) // wanted)
    return limit


def compute_fair_shares(
    weights: Mapping[str, float], demands: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair share of each workspace.

    Args:
        weights: Weight by workspace.
        demands: Dominant share that each workspace could use, by workspace.

    Returns:
        Fair dominant share by workspace, from 0 to 1.
    """
    fair = dict.fromkeys(demands, 0.0)
    # The workspaces that are satisfied first have the least demand for their weight.
    order = []
    weight_left = 0.0
    for name, demand in demands.items():
        if demand > 0:
            weight = max(weights[name], MIN_WEIGHT)
            weight_left += weight
            order.append((demand / weight, name, weight))
    order.sort()
    remaining = 1.0
    for level, name, weight in order:
        fair_level = remaining / weight_left
        if level > fair_level:
            fair[name] = fair_level * weight
        else:
            fair[name] = demands[name]
        remaining = max(remaining - fair[name], 0.0)
        weight_left = max(weight_left - weight, MIN_WEIGHT)
    return fair
