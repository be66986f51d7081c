"""Reservations of workers for gangs that do not fit yet.

A reserved worker gets only short tasks that end before the gang needs their room, so
that smaller tasks do not delay the start of a gang forever.
"""

import math
from dataclasses import dataclass

from bluebellyoke.dispatch.advice import StepKey
from bluebellyoke.dispatch.placement import count_allowed
from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.waiting import SHORT_TASK_MS, WaitingStep
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["MAX_RESERVING_GANGS", "SHORT_TASKS_S", "Reservations"]

#: Maximum number of gangs that reserve workers at the same time.
MAX_RESERVING_GANGS = 2


#: Time from the first reservation of a gang until which short tasks may end on its
#: workers, in seconds: three of the longest of them, one after the other. Later they
#: have to end before the runs that were there at the first reservation.
SHORT_TASKS_S = 3 * SHORT_TASK_MS / 1000

#: Time after which a gang that has reserved no workers is taken to begin anew, in
#: seconds. It may have lacked tickets in between.
RESERVATION_GAP_S = 1.0


@dataclass(slots=True)
class _Reservation:
    """Monotonic times at which a gang first and last reserved workers."""

    since: float
    latest: float


class Reservations:
    """Reserves workers, and keeps since when each gang does."""

    def __init__(self) -> None:
        self._gangs: dict[StepKey, _Reservation] = {}

    def reset(self) -> None:
        """Forget all gangs."""
        self._gangs.clear()

    def start_round(self, now: float) -> None:
        """Forget the gangs that have not reserved workers for a while."""
        self._gangs = {
            step: gang
            for step, gang in self._gangs.items()
            if now - gang.latest < RESERVATION_GAP_S
        }

    def reserve_workers(
        self, step: WaitingStep, workers: list[TrackedWorker], planning: PlanningRound
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
        now = planning.now
        gang = self._gangs.setdefault(step.key, _Reservation(now, now))
        gang.latest = now
        missing = step.spec.count
        chosen = []
        order = sorted(
            workers,
            key=lambda x: (-planning.find_candidate(x).free.cpu_millis, x.spec.id),
        )
        for worker in order:
            name = worker.spec.id
            if missing <= 0:
                break
            if name in planning.reserved or not places[name]:
                continue
            missing -= places[name]
            chosen.append(worker)
        needed_at = _find_needed_at(chosen, gang.since)
        planning.reserved.update((worker.spec.id, needed_at) for worker in chosen)


def _find_needed_at(workers: list[TrackedWorker], since: float) -> float:
    """Return the time at which a gang needs the room of its reserved workers.

    Runs that began after the first reservation do not count: a stream of short tasks
    would put the time off without an end.
    """
    earlier = [
        run.expected_end_at
        for worker in workers
        for run in worker.runs.values()
        if run.begun_at < since and run.expected_end_at < math.inf
    ]
    return max([since + SHORT_TASKS_S, *earlier])
