"""Choice of workers for the tasks of one step.

Pure functions on rooms, which are copies of the workers' free resources that a round
of planning uses up.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.specs import StepSpec

__all__ = ["Candidates", "Room", "count_fits", "place_gang"]

#: Tasks that need nothing still count as one in this many on a worker.
MOST_TASKS = 10_000


@dataclass(slots=True)
class Room:
    """Free resources of one worker in a round of planning.

    Attributes:
        taken_by_step: Tasks of the step in question that the worker has.
    """

    worker: str
    labels: tuple[str, ...]
    free: Resources
    capacity: Resources
    taken_by_step: int = 0


def count_fits(need: Resources, free: Resources) -> int:
    """Return how many tasks fit in an amount of resources."""
    most = MOST_TASKS
    for wanted, left in (
        (need.cpu_millis, free.cpu_millis),
        (need.memory_mb, free.memory_mb),
        (need.accelerators, free.accelerators),
    ):
        if wanted > 0:
            most = min(most, left // wanted)
    return max(most, 0)


def count_allowed(step: StepSpec, room: Room, free: Resources) -> int:
    """Return how many more tasks of a step a worker may take."""
    fits = MOST_TASKS if step.fills else count_fits(step.need, free)
    if step.per_worker:
        fits = min(fits, step.per_worker - room.taken_by_step)
    return max(fits, 0)


class Candidates:
    """Workers for the single tasks of a step: near its data, then the tightest fit.

    The order is worked out once for all tasks of the step and kept as they are placed.

    Args:
        rooms: Workers to choose from.
    """

    def __init__(self, step: StepSpec, rooms: Iterable[Room]) -> None:
        self._step = step
        # The rank ends with the worker's identity, so rooms are never compared.
        self._ranked = [
            (_rank_room(step, room), room) for room in rooms if _has_place(step, room)
        ]
        heapq.heapify(self._ranked)

    def take(self, avoid: str = "") -> Room | None:
        """Place one task and return its worker, or None if it fits nowhere.

        Args:
            avoid: Worker that is taken only if there is no other.
        """
        if not self._ranked:
            return None
        best = heapq.heappop(self._ranked)
        if best[1].worker == avoid and self._ranked:
            best = heapq.heapreplace(self._ranked, best)
        room = best[1]
        room.taken_by_step += 1
        if not self._step.fills:
            room.free = room.free - self._step.need
        if _has_place(self._step, room):
            heapq.heappush(self._ranked, (_rank_room(self._step, room), room))
        return room


def _has_place(step: StepSpec, room: Room) -> bool:
    if step.per_worker and room.taken_by_step >= step.per_worker:
        return False
    return step.fills or step.need.fits_in(room.free)


def _rank_room(step: StepSpec, room: Room) -> tuple:
    is_far = bool(step.data_rack) and step.data_rack not in room.labels
    left = room.free - step.need
    tightness = min(
        left.cpu_millis / (room.capacity.cpu_millis or 1),
        left.memory_mb / (room.capacity.memory_mb or 1),
    )
    return is_far, tightness, room.worker


def place_gang(step: StepSpec, rooms: Iterable[Room]) -> list[Room] | None:
    """Return a worker for each task of a gang, or None if it does not fit at once."""
    counted = [(count_allowed(step, room, room.free), room) for room in rooms]
    counted = [item for item in counted if item[0] > 0]
    if step.same_rack or step.data_rack:
        for group in _group_by_rack(step, counted):
            chosen = _fill(step.count, group)
            if chosen is not None:
                return chosen
    return _fill(step.count, counted)


def _group_by_rack(
    step: StepSpec, counted: list[tuple[int, Room]]
) -> list[list[tuple[int, Room]]]:
    """Return the rooms of each rack, the rack of the data first, then the fullest."""
    racks: dict[str, list[tuple[int, Room]]] = defaultdict(list)
    for item in counted:
        for label in item[1].labels:
            racks[label].append(item)
    sizes = {rack: sum(fits for fits, _ in items) for rack, items in racks.items()}
    order = sorted(racks, key=lambda rack: (rack != step.data_rack, sizes[rack], rack))
    return [racks[rack] for rack in order]


def _fill(count: int, counted: list[tuple[int, Room]]) -> list[Room] | None:
    """Take the workers with the most places first."""
    if sum(fits for fits, _ in counted) < count:
        return None
    chosen: list[Room] = []
    for fits, room in sorted(counted, key=lambda item: (-item[0], item[1].worker)):
        chosen += [room] * min(fits, count - len(chosen))
        if len(chosen) == count:
            break
    return chosen
