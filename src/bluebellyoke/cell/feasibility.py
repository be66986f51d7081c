"""Check whether a job can ever run on the workers of the cell."""

from collections.abc import Iterable

from bluebellyoke.cell.commands import JobKind, JobSpec
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.workers import Worker

__all__ = ["find_infeasibility"]

#: Tasks counted for one worker if they need no resources.
MAX_TASKS_PER_WORKER = 20_000


def find_infeasibility(
    spec: JobSpec, quota: Resources, workers: Iterable[Worker]
) -> str:
    """Return why a job can never run, or an empty string if it can.

    Without any workers only the quota is checked, as workers may still join.

    Args:
        spec: The job.
        quota: Quota of its workspace; zero amounts are unlimited.
        workers: All workers, including those whose session has ended.
    """
    count = spec.tasks if spec.kind is JobKind.GANG else 1
    for name in ("cpu_millis", "memory_mb", "accelerators"):
        limit = getattr(quota, name)
        if limit and getattr(spec.need, name) * count > limit:
            return f"it needs more {name} than the workspace's quota; lower the need"
    capacity, has_workers = 0, False
    for worker in workers:
        has_workers = True
        capacity += count_fitting_tasks(worker.total, spec.need)
        if capacity >= count:
            return ""
    if not has_workers:
        return ""
    if capacity == 0:
        return "a task needs more than the largest worker has; lower the need"
    return f"the gang needs {count} places and the cell has {capacity}; use fewer tasks"


def count_fitting_tasks(total: Resources, need: Resources) -> int:
    """Return how many tasks of `need` fit on a worker with `total` resources."""
    pairs = (
        (total.cpu_millis, need.cpu_millis),
        (total.memory_mb, need.memory_mb),
        (total.accelerators, need.accelerators),
    )
    return min(
        (available // required for available, required in pairs if required),
        default=MAX_TASKS_PER_WORKER,
    )
