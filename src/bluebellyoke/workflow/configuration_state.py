"""The configuration in force, and the queues that it has or has removed."""

from collections.abc import Iterable

from bluebellyoke.workflow.queues import QueueTable
from bluebellyoke.workflow.specs import Configuration, WorkspaceSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["ConfigurationState"]


class ConfigurationState:
    """Configuration with its queues and workspaces; part of the replicated state.

    Args:
        configuration: Configuration in force.
        queues: Its queues and those that were removed, or None without any.

    Attributes:
        configuration: Configuration in force.
        queues: Its queues and those that were removed.
    """

    def __init__(
        self, configuration: Configuration, queues: QueueTable | None = None
    ) -> None:
        self.configuration = configuration
        self.queues = queues or QueueTable()
        self._workspaces = {item.name: item for item in configuration.workspaces}

    def find_workspace(self, name: str) -> WorkspaceSpec | None:
        """Return a workspace, or None."""
        return self._workspaces.get(name)

    def configure(
        self,
        configuration: Configuration,
        *,
        active: Iterable[Workflow],
        known: Iterable[Workflow],
        time: float,
    ) -> None:
        """Put a configuration in force.

        Args:
            configuration: The configuration.
            active: Workflows that have not ended.
            known: All workflows.
            time: Wall-clock time, in seconds.
        """
        self.configuration = configuration
        self._workspaces = {item.name: item for item in configuration.workspaces}
        self.queues.configure(
            configuration.queues,
            used={workflow.spec.address for workflow in active},
            known={workflow.spec.address for workflow in known},
            time=time,
        )
