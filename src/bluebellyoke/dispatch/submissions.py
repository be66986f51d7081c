"""Submissions of workflows: admission, advice ahead of their starts, and refusals."""

import logging
from collections.abc import Callable

from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.dispatch.admission import AdmissionControl, AdmissionDecision
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.refusals import RefusalSender
from bluebellyoke.dispatch.selection import order_by_room
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.access import LOGGED_DIGITS
from bluebellyoke.workflow.specs import WorkflowSpec

__all__ = ["SubmissionHandler"]

logger = logging.getLogger("bluebellyoke.dispatch")


class SubmissionHandler:
    """Accepts or refuses submissions of workflows.

    Args:
        context: Shared state of the dispatcher.
        refusals: Sends refusals.
        admission: Decides on new workflows, or None if all are accepted.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        refusals: RefusalSender,
        admission: AdmissionControl | None,
    ) -> None:
        self._context = context
        self._refusals = refusals
        self._admission = admission
        self._submitting: set[str] = set()

    def clear(self) -> None:
        """Forget the submissions that wait for their commit."""
        self._submitting.clear()

    def submit(
        self,
        command: workflow_commands.SubmitWorkflow,
        wall_time: float,
        reply: Callable[[Result], None],
    ) -> None:
        """Accept a workflow; advice on its first steps is requested meanwhile."""
        spec = command.spec
        is_known = spec.id in self._context.store.workflows
        if not is_known and not self._admit(spec, wall_time, reply):
            return
        if not is_known:
            self._prefetch_advice(spec, wall_time)

        def finish(result: Result) -> None:
            self._submitting.discard(spec.id)
            logger.info(
                "dispatch: took a workflow",
                extra={
                    "job": spec.id,
                    "queue": spec.queue,
                    "workspace": spec.workspace,
                    "credential": (command.credential or "")[:LOGGED_DIGITS],
                    "code": result.code,
                    "tasks": [step.count for step in spec.steps],
                },
            )
            # A refused submission may have the ID of a workflow that runs.
            if not result.accepted and spec.id not in self._context.store.workflows:
                self._context.advice.drop_workflow(spec.id)
                self._record_refusal(spec, result)
            self._context.needs_planning = True
            reply(result)

        self._submitting.add(spec.id)
        self._context.proposals.add(
            workflow_commands.SubmitWorkflow(
                time=wall_time, spec=spec, credential=command.credential
            ),
            finish,
        )

    def is_submitting(self, workflow_id: str) -> bool:
        """Return whether a submission of a workflow waits for its commit."""
        return workflow_id in self._submitting

    def _admit(
        self, spec: WorkflowSpec, wall_time: float, reply: Callable[[Result], None]
    ) -> bool:
        """Return whether a new workflow is accepted; refuse it if not."""
        admission = self._admission
        if admission is None or spec.id in self._submitting:
            return True
        decision = None
        with self._context.containment.contain("admission", job=spec.id):
            decision = admission.decide(spec, self._context.now, wall_time)
        if decision is None:
            # Nothing is refused for a fault of the forecast.
            return True
        if not decision.is_accepted:
            self._refusals.add(spec, _describe_refusal(decision), reply)
        return decision.is_accepted

    def _record_refusal(self, spec: WorkflowSpec, result: Result) -> None:
        # A name that is not configured may be any text, so it gets no label.
        if self._context.store.find_workspace(spec.workspace) is not None:
            self._context.metrics.record_refused_workflow(spec.workspace, result.code)

    def estimate_wait(self, spec: WorkflowSpec) -> float:
        """Return the time until a workflow's tasks can be accepted, in seconds."""
        open_tasks = self._context.store.open_tasks
        return self._context.backlog.estimate_wait(open_tasks, spec.count_tasks())

    def _prefetch_advice(self, spec: WorkflowSpec, wall_time: float) -> None:
        queue = self._context.store.find_queue(spec.address)
        if queue is None or queue.advisor is None:
            return
        workers = [
            worker
            for worker in self._context.workers.values()
            if worker.spec.pool == queue.pool and not worker.spec.draining
        ]
        rank = (queue.priority, wall_time, spec.id)
        for index, step in enumerate(spec.steps):
            if not step.depends_on and not spec.repeats:
                key = (spec.id, 0, index)
                worker_keys = order_by_room(key, step.allocation, workers)
                self._context.advice.evaluate(key, worker_keys, queue.advisor, rank)


def _describe_refusal(decision: AdmissionDecision) -> Result:
    retry_after_s = str(decision.retry_after_s)
    return refuse("overloaded", decision.reason, retry_after_s=retry_after_s)
