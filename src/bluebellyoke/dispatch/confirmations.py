"""Records for later leaders which runs the workers are known to have begun.

Without the record, a new leader would have to take every run of a worker that it does
not reach for one that the next incarnation of the worker may have.
"""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.workflow import commands as workflow_commands

__all__ = ["ConfirmationRecorder"]

#: Time between two records, in seconds. Most short runs have ended before the next one.
RECORD_INTERVAL_S = 0.5


class ConfirmationRecorder:
    """Commits the confirmations of runs.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._record_due = 0.0

    def activate(self, now: float) -> None:
        """Make the first record due."""
        self._record_due = now

    def tick(self, now: float, wall_time: float) -> None:
        """Propose a record of the runs that have been confirmed since the last one."""
        if now < self._record_due:
            return
        self._record_due = now + RECORD_INTERVAL_S
        starts = []
        for worker in self._context.workers.values():
            for (task, number), run in worker.runs.items():
                if run.is_confirmed and not run.is_confirmation_proposed:
                    run.is_confirmation_proposed = True
                    starts.append(
                        workflow_commands.RunStart(task, number, *worker.spec.key)
                    )
        if starts:
            self._context.proposals.add(
                workflow_commands.ConfirmRuns(time=wall_time, starts=tuple(starts))
            )
