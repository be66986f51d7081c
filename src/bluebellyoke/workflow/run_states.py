"""What the replicated state tells of single runs."""

from collections.abc import Mapping

from bluebellyoke.workflow.commands import TaskName
from bluebellyoke.workflow.workflow import TaskProgress, Workflow

__all__ = ["RunKey", "RunStates"]

#: Name of the task and number of the run.
RunKey = tuple[TaskName, int]


class RunStates:
    """Looks up runs in the workflows of a store.

    Args:
        workflows: Accepted workflows, by ID.
    """

    def __init__(self, workflows: Mapping[str, Workflow]) -> None:
        self._workflows = workflows

    def is_open(self, key: RunKey, time: float) -> bool:
        """Return whether an earlier start of a run's task may still be carried out.

        Args:
            time: Wall-clock time, in seconds.
        """
        return time < self.find_open_until(key)

    def find_open_until(self, key: RunKey) -> float:
        """Return the wall-clock time until which a run's task keeps its place, or 0."""
        workflow = self._workflows.get(key[0].workflow)
        task = self._find_current_task(key)
        return task.open_until if task is not None and not workflow.outcome else 0.0

    def has_ended(self, key: RunKey) -> bool:
        """Return whether a run has ended whose task keeps its place."""
        task = self._find_current_task(key)
        return task is not None and task.has_ended

    def find_kept_since(self, key: RunKey) -> float:
        """Return the wall-clock time of the removal that a run outlasted, or 0."""
        task = self._find_current_task(key)
        return task.kept_since if task is not None else 0.0

    def has_ticket(self, key: RunKey) -> bool:
        """Return whether the start of a run carries a ticket of the queue's advisor."""
        task = self._find_current_task(key)
        return task is not None and task.has_ticket

    def _find_current_task(self, key: RunKey) -> TaskProgress | None:
        """Return the task of a run if it is its latest one, else None."""
        name, run = key
        workflow = self._workflows.get(name.workflow)
        task = workflow.find_task(name) if workflow is not None else None
        return task if task is not None and task.run == run else None

    def is_placed(self, key: RunKey) -> bool:
        """Return whether a run may take up resources."""
        task = self._find_current_task(key)
        return task is not None and task.placed

    def is_confirmed(self, key: RunKey) -> bool:
        """Return whether the incarnation that a run is assigned to has begun it."""
        task = self._find_current_task(key)
        return task is not None and task.confirmed
