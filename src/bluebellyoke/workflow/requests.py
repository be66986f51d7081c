"""Decisions on submissions and cancels when their commands are applied."""

import msgspec

from bluebellyoke.cell.early_cancels import EarlyCancel, EarlyCancels
from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.access import (
    ANYONE,
    AccessDecision,
    authorize_request,
    list_owners,
)
from bluebellyoke.workflow.configuration_state import ConfigurationState
from bluebellyoke.workflow.quotas import describe_excess
from bluebellyoke.workflow.specs import NO_ADDRESS, QueueAddress, WorkflowSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["RequestPolicy"]


class RequestPolicy:
    """Decides by the configuration, the workflow's own record and earlier cancels.

    Args:
        state: Configuration and its queues.
        early_cancels: Cancels of workflows that were not known.
    """

    def __init__(
        self, state: ConfigurationState, early_cancels: tuple[EarlyCancel, ...] = ()
    ) -> None:
        self._state = state
        self.early_cancels = EarlyCancels(early_cancels)

    def add_address(self, spec: WorkflowSpec) -> WorkflowSpec:
        """Return a specification with the address of its queue."""
        address = self._find_address(spec.address, spec.queue)
        return msgspec.structs.replace(spec, address=address)

    def _find_address(self, address: QueueAddress, name: str) -> QueueAddress:
        """Return the address of a queue, which older records have the name of."""
        if address != NO_ADDRESS:
            return address
        return self._state.queues.find_address(name)

    def decide_submission(
        self, command: workflow_commands.SubmitWorkflow, known: Workflow | None
    ) -> Result | WorkflowSpec:
        """Decide on a submission.

        Args:
            command: The submission.
            known: Workflow that has its ID, in any queue, or None.

        Returns:
            What to accept, or the result if nothing is to be accepted.
        """
        spec = self.add_address(command.spec)
        decision = self._authorize(command, spec.address, known)
        if not decision.admitted:
            return refuse(decision.code, decision.reason)
        if known is not None and known.spec.address != spec.address:
            return refuse("id-taken", "another queue holds this id; choose another")
        if known is not None:
            return Result(accepted=True, code="known")
        queue = self._state.queues.find(spec.address)
        if queue is None:
            return refuse("unknown-queue", "no such queue is in force")
        spec = msgspec.structs.replace(spec, queue=queue.name)
        if command.credential is not None:
            spec = msgspec.structs.replace(spec, workspace=decision.workspace)
        refusal = self._find_earlier_cancel(command, spec, decision.workspace)
        if refusal is not None:
            return refusal
        workspace = self._state.find_workspace(spec.workspace)
        excess = describe_excess(workspace, spec) if workspace is not None else ""
        return refuse("malformed", excess) if excess else spec

    def _find_earlier_cancel(
        self,
        command: workflow_commands.SubmitWorkflow,
        spec: WorkflowSpec,
        workspace: str,
    ) -> Result | None:
        until = self.early_cancels.find_end(
            (spec.id, *spec.address),
            (ANYONE, *list_owners(workspace, command.credential)),
            command.time,
        )
        if until is None:
            return None
        return refuse(
            "cancelled",
            "the job was cancelled before it arrived; choose another id",
            retry_after_s=str(until - command.time),
        )

    def decide_cancel(
        self, command: workflow_commands.CancelWorkflow, workflow: Workflow | None
    ) -> Result:
        """Decide on a cancel, and remember one of a workflow that is not known.

        Args:
            command: The cancel.
            workflow: Workflow that has its ID, in any queue, or None.

        Returns:
            Whether the workflow is to be cancelled.
        """
        address = self._find_address(command.address, command.queue)
        decision = self._authorize(command, address, workflow)
        if not decision.admitted:
            return refuse(decision.code, decision.reason)
        if workflow is not None and workflow.spec.address == address:
            return Result(accepted=True)
        if command.address == NO_ADDRESS:
            return refuse("unknown-job", "no such workflow is known")
        return self._remember(command, decision.workspace)

    def _remember(
        self, command: workflow_commands.CancelWorkflow, workspace: str
    ) -> Result:
        """Remember a cancel whose submission may still arrive."""
        queue = self._state.queues.find(command.address)
        if queue is None:
            return refuse("unknown-queue", "no such queue is in force")
        owners = list_owners(workspace, command.credential)
        if not self._state.configuration.workspaces:
            owners = (ANYONE,)
        job = (command.workflow, *queue.address)
        if self.early_cancels.add(job, owners, command.time):
            return refuse("unknown-job", "no such workflow is known")
        return refuse("overloaded", "too many unknown jobs were cancelled; try later")

    def _authorize(
        self,
        command: workflow_commands.SubmitWorkflow | workflow_commands.CancelWorkflow,
        address: QueueAddress,
        workflow: Workflow | None,
    ) -> AccessDecision:
        if workflow is not None and workflow.spec.address != address:
            workflow = None
        return authorize_request(
            self._state.configuration,
            self._state.queues.find(address),
            command.credential,
            workflow,
            submits=isinstance(command, workflow_commands.SubmitWorkflow),
        )
