"""Removal of the records of finished workflows."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.workflow import commands as workflow_commands

__all__ = ["RecordCleaner"]

#: Time for which the record of a finished workflow is kept, in seconds.
RECORD_RETENTION_S = 240.0

#: Time between two removals of old records, in seconds.
CLEANUP_INTERVAL_S = 5.0


class RecordCleaner:
    """Removes finished workflows from the replicated state after a retention time.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._cleanup_due = 0.0

    def activate(self, now: float) -> None:
        """Make the first removal due."""
        self._cleanup_due = now

    def tick(self, now: float, wall_time: float) -> None:
        """Propose the removal of old records if it is due."""
        if now < self._cleanup_due:
            return
        self._cleanup_due = now + CLEANUP_INTERVAL_S
        old = [
            name
            for name, workflow in self._context.store.workflows.items()
            if workflow.outcome
            and not workflow.placed
            and wall_time - workflow.finished_at > RECORD_RETENTION_S
        ]
        if old:
            self._context.proposals.add(
                workflow_commands.ForgetWorkflows(time=wall_time, workflows=tuple(old))
            )
