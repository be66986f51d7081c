"""Which workers of a large pool the advisor is asked about first."""

from collections.abc import Sequence
from zlib import crc32

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import StepKey, WorkerKey
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["order_by_room"]


def order_by_room(
    step: StepKey, allocation: Resources, workers: Sequence[TrackedWorker]
) -> list[WorkerKey]:
    """Return the keys of workers, those with room for a task first.

    Equal ones are in an order of the workflow's own, so that workflows do not all ask
    about the same part of a pool.

    Args:
        allocation: Resources that a task of the step takes up.
    """
    if not workers:
        return []
    first = crc32(step[0].encode()) % len(workers)
    rotated = [*workers[first:], *workers[:first]]
    rotated.sort(key=lambda worker: not allocation.fits_in(worker.free))
    return [worker.spec.key for worker in rotated]
