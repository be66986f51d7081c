"""Replacement of a tracked run by the next run of its task in the same place."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.open_starts import find_own_open_end
from bluebellyoke.dispatch.planning_round import PlannedStart
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = ["replace_run"]


def replace_run(
    context: DispatchContext,
    worker: TrackedWorker,
    item: PlannedStart,
    *,
    is_done: bool,
) -> None:
    """Let a run take the place of the one before it, if that was committed."""
    start, now = item.start, context.now
    former_key = (start.task, item.replaced)
    former = worker.runs.get(former_key)
    if former is None:
        return
    former.is_restart_planned = False
    if not is_done and context.store.run_states.is_placed(former_key):
        worker.set_phase(former_key, RunPhase.UNKNOWN, now)
        return
    worker.drop_run(former_key)
    if not is_done:
        return
    # Whichever incarnation gets the next start refuses the one before from then on.
    worker.fence = context.create_fence()
    key = (start.task, start.run)
    worker.add_run(
        key,
        context.find_allocation(key),
        RunPhase.STARTING,
        now,
        context.find_estimate(key),
        context.find_probation(key),
        open_by=find_own_open_end(worker, former),
        open_until=former.open_until,
        has_ticket=start.has_ticket,
    )
