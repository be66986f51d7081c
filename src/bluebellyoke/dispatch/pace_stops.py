"""Stops of paused backfill runs on a worker whose serving task stays over its target.

Runs that have not confirmed a pace of 0 may still do harm and are all stopped. Runs
that have confirmed it are stopped one at a time: the first in case that it has an
effect by its memory, later ones only if they save their progress and so can go on
elsewhere.
"""

import logging

from bluebellyoke.dispatch.pace_orders import PacedRun
from bluebellyoke.dispatch.pace_state import SETTLE_S, Tail, WorkerPacing
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.tracked_run import RunPhase

__all__ = ["PausedRunStops"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time for which a run may leave a pace of 0 unconfirmed, in seconds. Two orders in a
#: row that are lost take 0.85 s; the rest of the 4.5 s is left for detection and stop.
UNCONFIRMED_S = 1.1

#: Time between two stops on a worker of runs that have confirmed a pace of 0, in
#: seconds.
STOP_INTERVAL_S = 10.0


class PausedRunStops:
    """Stops paused runs.

    Args:
        stopper: Sends stops of runs.
    """

    def __init__(self, stopper: RunStopper) -> None:
        self._stopper = stopper

    def stop_paused(self, state: WorkerPacing, worst: Tail, now: float) -> None:
        """Stop runs of a worker on which a pace of 0 does not help.

        Args:
            worst: Tail latency that is over its target.
        """
        unconfirmed = [x for x in state.runs.values() if x.in_force != 0]
        if unconfirmed and now - state.changed_at >= UNCONFIRMED_S:
            for paced in unconfirmed:
                self._stop(state, paced, worst, "unconfirmed")
        if unconfirmed or not state.runs or now - state.stopped_at < STOP_INTERVAL_S:
            return
        confirmed_at = max(x.confirmed_at for x in state.runs.values())
        if now - confirmed_at < SETTLE_S:
            return
        movable = [
            x
            for x in state.runs.values()
            if _may_stop(state, x) and (x.step.checkpoints or not state.has_own_load)
        ]
        # After this stop, the load is taken to be the task's own.
        state.has_own_load = True
        if movable:
            paced = max(movable, key=lambda x: x.cpu_millis or x.step.need.cpu_millis)
            state.stopped_at = now
            self._stop(state, paced, worst, "no effect")

    def _stop(
        self, state: WorkerPacing, paced: PacedRun, worst: Tail, reason: str
    ) -> None:
        if not _may_stop(state, paced):
            return
        logger.info(
            "dispatch: stops a paced run",
            extra={"reason": reason, **state.describe(paced, worst)},
        )
        self._stopper.stop_run(state.worker, paced.key)


def _may_stop(state: WorkerPacing, paced: PacedRun) -> bool:
    """Return whether a run may be stopped without the other tasks of its step."""
    run = state.worker.runs.get(paced.key)
    is_single = not paced.step.gang and not paced.step.long_running
    return is_single and run is not None and run.phase is RunPhase.STARTED
