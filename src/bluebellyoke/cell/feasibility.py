"""Whether a job can ever run in the cell as it is."""

from collections.abc import Iterable

from bluebellyoke.cell.commands import JobKind, JobSpec
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.workers import Worker

__all__ = ["find_obstacle"]

#: Places counted on one worker, for tasks that need nothing.
PLACES_LIMIT = 20_000


def find_obstacle(spec: JobSpec, quota: Resources, workers: Iterable[Worker]) -> str:
    """Return why a job can never run, or an empty text.

    A cell without workers is waiting for them and refuses nothing.

    Args:
        spec: The job.
        quota: Quota of its workspace; zero amounts are no bound.
        workers: All workers, also those whose session has just ended.
    """
    count = spec.tasks if spec.kind is JobKind.GANG else 1
    for name in ("cpu_millis", "memory_mb", "accelerators"):
        limit = getattr(quota, name)
        if limit and getattr(spec.need, name) * count > limit:
            return f"it needs more {name} than the workspace's quota; lower the need"
    room, known = 0, False
    for worker in workers:
        known = True
        room += count_places(worker.total, spec.need)
        if room >= count:
            return ""
    if not known:
        return ""
    if room == 0:
        return "a task needs more than the largest worker has; lower the need"
    return f"the gang needs {count} places and the cell has {room}; use fewer tasks"


def count_places(total: Resources, need: Resources) -> int:
    """Return how many tasks of `need` an empty worker holds."""
    pairs = (
        (total.cpu_millis, need.cpu_millis),
        (total.memory_mb, need.memory_mb),
        (total.accelerators, need.accelerators),
    )
    return min((have // want for have, want in pairs if want), default=PLACES_LIMIT)
