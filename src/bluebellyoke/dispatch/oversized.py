"""Failure of accepted workflows that a lowered quota no longer lets run."""

from collections.abc import Mapping

from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.advice import StepKey
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.dispatch.run_ends import RunEndRecorder
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.quotas import describe_step_excess

__all__ = ["OversizedWorkflows"]

#: Time for which a step must exceed its quota alone before its workflow fails, in
#: seconds. Two operators who race may lower a quota for a moment.
GRACE_S = 2.5

#: Time between two checks, in seconds.
CHECK_INTERVAL_S = 0.5


class OversizedWorkflows:
    """Fails workflows of which a step exceeds the quota of its workspace alone.

    A workflow with placed runs goes on until these have ended, since no run is stopped
    because a quota was lowered.

    Args:
        context: Shared state of the dispatcher.
        recorder: Ends the workflows that have failed.
    """

    def __init__(self, context: DispatchContext, recorder: RunEndRecorder) -> None:
        self._context = context
        self._recorder = recorder
        self._since: dict[StepKey, float] = {}
        self._check_due = 0.0

    def reset(self) -> None:
        """Forget since when steps have exceeded their quota."""
        self._since.clear()
        self._check_due = 0.0

    def check(
        self, reasons: Mapping[StepKey, WaitReason], now: float, wall_time: float
    ) -> None:
        """Propose the failure of the workflows that have become due.

        Args:
            reasons: Why each step waits for which the last round started nothing.
        """
        if now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        self._since = {
            step: self._since.get(step, now)
            for step, reason in reasons.items()
            if reason is WaitReason.QUOTA and self._is_oversized(step)
        }
        due = [
            step
            for step, since in self._since.items()
            if now - since >= GRACE_S
            and not self._context.store.workflows[step[0]].placed
        ]
        if due:
            names = tuple((workflow, index) for workflow, _, index in due)
            self._context.proposals.add(
                workflow_commands.FailOversized(time=wall_time, steps=names),
                self._finish,
            )

    def _is_oversized(self, step: StepKey) -> bool:
        store = self._context.store
        workflow = store.workflows.get(step[0])
        if workflow is None:
            return False
        workspace = store.find_workspace(workflow.spec.workspace)
        return workspace is not None and bool(
            describe_step_excess(workspace, workflow.spec, step[2])
        )

    def _finish(self, result: Result) -> None:
        for name in result.detail["failed"].split():
            self._recorder.finish_workflow(self._context.store.workflows[name])
