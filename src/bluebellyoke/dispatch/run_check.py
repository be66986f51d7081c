"""Comparison of the tracked runs of a worker with the replicated state.

The dispatcher keeps them equal. If a fault made them differ, the end of a run that is
not tracked would be acknowledged without a commit, and its task would wait for ever.
"""

import logging
from collections.abc import Iterable

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.store import RunKey

__all__ = ["format_runs", "repair_runs"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Maximum number of runs that a log line lists.
MAX_LOGGED_RUNS = 20


def repair_runs(context: DispatchContext, worker: TrackedWorker, now: float) -> None:
    """Make the tracked runs of a worker those of the replicated state.

    A run that is added is of unknown state, which the worker's reports resolve.
    """
    present = context.store.runs.get(worker.spec.key, {})
    restarting = {key[0] for key, run in worker.runs.items() if run.is_restart_planned}
    missing = [
        key for key in present if key not in worker.runs and key[0] not in restarting
    ]
    surplus = [
        key
        for key, run in worker.runs.items()
        if key not in present and not run.is_planned and key[0] not in restarting
    ]
    if not missing and not surplus:
        return
    logger.warning(
        "dispatch: repaired the tracked runs of a worker",
        extra={
            "worker": worker.spec.id,
            "born": worker.spec.incarnation,
            "missing": format_runs(missing),
            "surplus": format_runs(surplus),
        },
    )
    context.needs_planning = True
    for key in surplus:
        worker.drop_run(key)
    for key in missing:
        worker.add_run(
            key,
            context.find_allocation(key),
            RunPhase.UNKNOWN,
            now,
            probation_s=context.find_probation(key),
            is_confirmed=context.store.run_states.is_confirmed(key),
            open_until=context.store.run_states.find_open_until(key),
            has_ended=context.store.run_states.has_ended(key),
            has_ticket=context.store.run_states.has_ticket(key),
        )


def format_runs(keys: Iterable[RunKey]) -> list[list]:
    """Return workflow, repetition, step, index and run of some runs for the log."""
    return [
        [name.workflow, name.repetition, name.step, name.index, run]
        for name, run in list(keys)[:MAX_LOGGED_RUNS]
    ]
