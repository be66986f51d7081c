"""Figures of the workspaces for metrics and the status of the cell."""

import heapq
from collections import Counter
from dataclasses import dataclass

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["MAX_LISTED_WORKSPACES", "WorkspaceFigures", "list_workspace_figures"]

#: Maximum number of workspaces that are listed, which bounds labels and replies.
MAX_LISTED_WORKSPACES = 64


@dataclass(frozen=True, slots=True)
class WorkspaceFigures:
    """Figures of one workspace.

    Attributes:
        running: Number of placed runs.
        waiting: Number of accepted jobs that have not ended and have no placed run.
        used: Resources that the placed runs take up.
        quota, share: Current limits, 0 for a workspace without any.
    """

    running: int
    waiting: int
    used: Resources
    quota: Resources
    share: float


def list_workspace_figures(store: WorkflowStore) -> dict[str, WorkspaceFigures]:
    """Return the figures of the busiest workspaces, by name.

    Workspaces that have been removed are listed while they have jobs. There are none
    if the configuration has no workspaces.
    """
    configured = {item.name: item for item in store.configuration.workspaces}
    if not configured:
        return {}
    waiting = Counter(
        workflow.spec.workspace
        for workflow in store.active.values()
        if not workflow.outcome and not workflow.placed
    )
    names = {*configured, *waiting, *(name for name, _ in store.usage.iter_used())}
    names.discard("")
    listed = heapq.nsmallest(
        MAX_LISTED_WORKSPACES,
        names,
        key=lambda x: (-store.usage.count_runs(x), -waiting[x], x),
    )
    figures = {}
    for name in listed:
        spec = configured.get(name)
        figures[name] = WorkspaceFigures(
            running=store.usage.count_runs(name),
            waiting=waiting[name],
            used=store.usage.get_used(name),
            quota=spec.quota if spec is not None else Resources(),
            share=spec.share if spec is not None else 0.0,
        )
    return figures
