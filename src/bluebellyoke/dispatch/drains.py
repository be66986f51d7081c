"""Workers that are drained for suspects that fit on none.

A drained worker gets no new task until its suspect fits on it. It is not at risk until
then, so it takes no place of a suspect that can start.
"""

from collections.abc import Iterable, Sequence

from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.waiting import Suspect, SuspectKey
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["DRAINS_DIVISOR", "Drains"]

#: One worker is drained at a time for so many places of a pool, and one at least.
DRAINS_DIVISOR = 2


class Drains:
    """Keeps which worker is drained for which suspect."""

    def __init__(self) -> None:
        self._workers: dict[SuspectKey, str] = {}

    def reset(self) -> None:
        """Forget all drains."""
        self._workers.clear()

    def start_round(self, suspects: Iterable[Suspect], planning: PlanningRound) -> None:
        """End the drains of suspects that no longer wait, and of lost workers."""
        if not self._workers:
            return
        waiting = {suspect.key for suspect in suspects}
        self._workers = {
            key: name
            for key, name in self._workers.items()
            if key in waiting and _accepts_tasks(name, planning)
        }

    def list_workers(self) -> set[str]:
        """Return the IDs of the workers that are drained."""
        return set(self._workers.values())

    def find(self, suspect: Suspect) -> str:
        """Return the ID of the worker that is drained for a suspect, if any."""
        return self._workers.get(suspect.key, "")

    def end(self, suspect: Suspect) -> None:
        """End the drain of a suspect."""
        self._workers.pop(suspect.key, None)

    def drain(
        self,
        suspect: Suspect,
        ordered: Sequence[TrackedWorker],
        planning: PlanningRound,
        places: int,
    ) -> None:
        """Drain a worker that has room for a suspect once its runs have ended.

        Long-running tasks do not end, so the suspect has to fit beside them. A drain
        goes on with the same worker.

        Args:
            ordered: Workers of one pool that the suspect may use, the best first.
            places: Number of places for suspects in the pool.
        """
        need = suspect.step.spec.allocation
        names = [
            worker.spec.id
            for worker in ordered
            if need.fits_in(planning.find_usable(worker))
            and not need.fits_in(worker.free)
        ]
        previous = self._workers.pop(suspect.key, None)
        if not names:
            return
        max_drains = max(places // DRAINS_DIVISOR, 1)
        drains = self._count(ordered[0].spec.pool, planning)
        if previous == names[0] or drains < max_drains:
            self._workers[suspect.key] = names[0]

    def _count(self, pool: str, planning: PlanningRound) -> int:
        workers = planning.workers
        return sum(workers[name].spec.pool == pool for name in self._workers.values())


def _accepts_tasks(name: str, planning: PlanningRound) -> bool:
    worker = planning.workers.get(name)
    return worker is not None and planning.find_candidate(worker) is not None
