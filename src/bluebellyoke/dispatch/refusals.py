"""Refusals of jobs, which are sent only if this leader still leads.

A leader that has been replaced must not refuse a job that its successor has accepted.
So refusals are confirmed by an entry of the log that is proposed after the decision,
one for all refusals of a tick.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import WorkflowSpec

__all__ = ["RefusalSender"]


@dataclass(frozen=True, slots=True)
class _Refusal:
    spec: WorkflowSpec
    result: Result
    reply: Callable[[Result], None]


class RefusalSender:
    """Sends refusals once the log has confirmed them.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._refusals: list[_Refusal] = []

    def clear(self) -> None:
        """Drop the refusals that have not been proposed."""
        self._refusals = []

    def add(
        self, spec: WorkflowSpec, result: Result, reply: Callable[[Result], None]
    ) -> None:
        """Refuse a job once the entry that the next tick proposes is committed."""
        self._refusals.append(_Refusal(spec, result, reply))

    def send(self, wall_time: float) -> None:
        """Propose the entry that confirms the refusals so far."""
        if not self._refusals:
            return
        refusals, self._refusals = self._refusals, []
        # A command without workflows changes nothing.
        self._context.proposals.add(
            workflow_commands.ForgetWorkflows(time=wall_time, workflows=()),
            lambda _: self._reply(refusals),
        )

    def _reply(self, refusals: list[_Refusal]) -> None:
        for item in refusals:
            known = self._context.store.workflows.get(item.spec.id)
            # Another attempt of the same job may have been accepted meanwhile.
            if known is not None and known.spec.address == item.spec.address:
                item.reply(Result(accepted=True, code="known"))
            else:
                item.reply(item.result)
