"""Progress that runs had saved when they were lost with their worker."""

from collections.abc import Collection

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.store import RunKey

__all__ = ["list_progress"]


def list_progress(
    context: DispatchContext, worker: TrackedWorker, unsettled: Collection[RunKey]
) -> tuple[workflow_commands.RunEnd, ...]:
    """Return the ends of the lost runs of a worker that have saved progress.

    Gangs are left out: another of their runs may have saved more since.
    """
    return tuple(
        workflow_commands.RunEnd(
            *key, workflow_commands.RunOutcome.LOST, run.checkpoint
        )
        for key, run in worker.runs.items()
        if run.checkpoint and key not in unsettled and not context.find_step(key).gang
    )
