"""Selection of the workers that the advisor is asked about for a step.

A call takes longer for each worker that it names, and the advisor allows only a share
of them. A step therefore asks about the workers on which its tasks fit best, and only
about as many as it is likely to need. It asks about others once those that are allowed
do not suffice.
"""

import math
import random
from collections.abc import Collection

from bluebellyoke.dispatch.placement import count_fitting_tasks
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.specs import AdvisorSpec, StepSpec

__all__ = ["AllowedShares", "select_workers"]

#: Largest probability that none of the selected workers is allowed.
MAX_NONE_ALLOWED = 0.01

#: Room on the workers that are expected to be allowed, relative to the step's need.
#: Steps that ask at the same time compete for it.
ROOM_FACTOR = 2.0

#: Part of a worker's capacity that counts as room although it is taken, because it may
#: come free while the step waits.
FREED_SOON = 0.2

#: Maximum number of workers that are compared for one step.
MAX_COMPARED_WORKERS = 256

#: Share that is expected of an advisor before its first reply.
INITIAL_SHARE = 0.25

#: Bounds of the expected share, so that a run of equal replies does not freeze it.
MIN_SHARE = 0.05
MAX_SHARE = 0.9

#: Weight of one more reply in the expected share.
SHARE_WEIGHT = 0.05


class AllowedShares:
    """Share of the evaluated workers that each queue's advisor has allowed lately."""

    def __init__(self) -> None:
        self._shares: dict[AdvisorSpec, float] = {}

    def record(self, spec: AdvisorSpec, *, evaluated: int, allowed: int) -> None:
        """Take a reply into account."""
        if not evaluated:
            return
        share = self.get(spec)
        share += SHARE_WEIGHT * (allowed / evaluated - share)
        self._shares[spec] = min(max(share, MIN_SHARE), MAX_SHARE)

    def get(self, spec: AdvisorSpec) -> float:
        """Return the share to expect, from 0 to 1."""
        return self._shares.get(spec, INITIAL_SHARE)


def select_workers(
    step: StepSpec,
    workers: Collection[TrackedWorker],
    *,
    share: float,
    seed: str,
    limit: int,
) -> list[TrackedWorker]:
    """Return the workers to ask about, those that suit the step best first.

    Args:
        workers: Workers that may be asked about.
        share: Expected share of the workers that are allowed.
        seed: Seed of the choice between equal workers. Steps with different seeds
            choose different ones, so they do not all compete for the same room.
        limit: Maximum number of workers of one call.
    """
    random_source = random.Random(seed)
    compared = list(workers)
    if len(compared) > MAX_COMPARED_WORKERS:
        compared = random_source.sample(compared, MAX_COMPARED_WORKERS)
    random_source.shuffle(compared)
    fits = {worker.spec.id: _count_fits(step, worker) for worker in compared}
    rack_room = _sum_by_rack(compared, fits) if step.same_rack else {}

    def rank(worker: TrackedWorker) -> tuple:
        labels = worker.spec.labels
        is_far = bool(step.data_rack) and step.data_rack not in labels
        return is_far, -rack_room.get(labels, 0), -fits[worker.spec.id]

    selected: list[TrackedWorker] = []
    expected_room = 0.0
    min_workers = math.ceil(math.log(MAX_NONE_ALLOWED) / math.log(1 - share))
    for worker in sorted(compared, key=rank)[:limit]:
        is_enough = expected_room >= step.count * ROOM_FACTOR
        if is_enough and len(selected) >= min_workers:
            break
        selected.append(worker)
        expected_room += share * fits[worker.spec.id]
    return selected


def _count_fits(step: StepSpec, worker: TrackedWorker) -> float:
    """Return how many tasks of a step a worker can probably take, up to all of them."""
    most = min(step.count, step.max_per_worker or step.count)
    if step.backfill:
        return most
    now = count_fitting_tasks(step.need, worker.free)
    ever = count_fitting_tasks(step.need, worker.spec.capacity)
    return max(min(now, most), FREED_SOON * min(ever, most))


def _sum_by_rack(
    workers: Collection[TrackedWorker], fits: dict[str, float]
) -> dict[tuple[str, ...], float]:
    """Return the room by the labels of the workers, which include their rack."""
    room: dict[tuple[str, ...], float] = {}
    for worker in workers:
        labels = worker.spec.labels
        room[labels] = room.get(labels, 0) + fits[worker.spec.id]
    return room
