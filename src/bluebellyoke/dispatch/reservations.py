"""Reservations of workers for gangs that do not fit yet.

A reserved worker gets only short tasks, so that smaller tasks do not delay the start of
a gang forever.
"""

from bluebellyoke.dispatch.placement import count_allowed
from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["MAX_RESERVING_GANGS", "reserve_workers"]

#: Maximum number of gangs that reserve workers at the same time.
MAX_RESERVING_GANGS = 2


def reserve_workers(
    step: WaitingStep, workers: list[TrackedWorker], planning: PlanningRound
) -> None:
    """Reserve the workers with the most free CPU for a waiting gang."""
    if planning.reserving >= MAX_RESERVING_GANGS:
        return
    places = {
        worker.spec.id: count_allowed(
            step.spec, planning.find_candidate(worker), planning.find_usable(worker)
        )
        for worker in workers
    }
    if sum(places.values()) < step.spec.count:
        # It would not fit even if only long-running tasks were on these workers.
        return
    planning.reserving += 1
    missing = step.spec.count
    order = sorted(
        workers,
        key=lambda x: (-planning.find_candidate(x).free.cpu_millis, x.spec.id),
    )
    for worker in order:
        name = worker.spec.id
        if missing <= 0:
            return
        if name in planning.reserved or not places[name]:
            continue
        missing -= places[name]
        planning.reserved.add(name)
