"""Choice of workers for the tasks of one step.

Pure functions on rooms, which are copies of the workers' free resources that a round
of planning uses up.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.specs import StepSpec

__all__ = ["Room", "count_fits", "place_gang", "place_single"]

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


def place_single(step: StepSpec, rooms: Iterable[Room]) -> Room | None:
    """Return the worker for one task: near its data, then the tightest fit."""
    fitting = [room for room in rooms if count_allowed(step, room, room.free) > 0]
    if not fitting:
        return None
    return min(fitting, key=lambda room: _rank_room(step, room))


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
