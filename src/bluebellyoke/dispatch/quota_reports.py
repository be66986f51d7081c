"""Log lines and metrics of the quotas of workspaces."""

import logging
from collections import Counter
from collections.abc import Mapping

from msgspec.structs import asdict

from bluebellyoke.dispatch.advice import StepKey
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.workflow.workspace_figures import list_workspace_figures

__all__ = ["QuotaReporter"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time between two checks, in seconds.
CHECK_INTERVAL_S = 0.5

#: Minimum time between two log lines about one workspace, in seconds.
LOG_INTERVAL_S = 10.0

#: Maximum number of log lines of one check.
MAX_LINES = 10


class QuotaReporter:
    """Logs which workspaces reach their quota, and updates the metrics.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._logged_at: dict[str, float] = {}
        self._check_due = 0.0

    def reset(self) -> None:
        """Forget what has been logged, and drop the figures of the workspaces."""
        self._logged_at.clear()
        self._check_due = 0.0
        self._context.metrics.set_workspaces({})

    def check(self, reasons: Mapping[StepKey, WaitReason], now: float) -> None:
        """Report what has become due, at most once an interval.

        Args:
            reasons: Why each step waits for which the last round started nothing.
        """
        if now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        self._context.metrics.set_workspaces(
            list_workspace_figures(self._context.store)
        )
        self._logged_at = {
            name: logged_at
            for name, logged_at in self._logged_at.items()
            if now - logged_at < LOG_INTERVAL_S
        }
        waiting = self._count_waiting(reasons)
        due = [name for name in waiting if name not in self._logged_at]
        for name in sorted(due, key=lambda x: (-waiting[x], x))[:MAX_LINES]:
            self._logged_at[name] = now
            self._log(name, waiting[name])

    def _count_waiting(self, reasons: Mapping[StepKey, WaitReason]) -> Counter[str]:
        """Return the number of steps that wait for their quota, by workspace."""
        workflows = self._context.store.workflows
        return Counter(
            workflows[step[0]].spec.workspace
            for step, reason in reasons.items()
            if reason is WaitReason.QUOTA and step[0] in workflows
        )

    def _log(self, name: str, steps: int) -> None:
        store = self._context.store
        workspace = store.find_workspace(name)
        if workspace is None:
            return
        logger.info(
            "dispatch: a workspace reaches its quota",
            extra={
                "workspace": name,
                "waiting_steps": steps,
                "running": store.usage.count_runs(name),
                "used": asdict(store.usage.get_used(name)),
                "quota": asdict(workspace.quota),
            },
        )
