"""The leader's replies to callers of queues and to announcements of workers."""

import logging
import re
from collections.abc import Callable

import msgspec

from bluebellyoke.cell.early_cancels import MAX_PENDING_S
from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.dispatcher import Dispatcher
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.access import (
    LOGGED_DIGITS,
    AccessDecision,
    authorize_request,
)
from bluebellyoke.workflow.configuration import find_queue, split_path
from bluebellyoke.workflow.specs import WORKFLOW_ID_LENGTH, QueueSpec, WorkflowSpec
from bluebellyoke.workflow.store import WorkflowStore
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["QueueRequestHandler"]

logger = logging.getLogger("bluebellyoke.dispatch")

_WORKFLOW_ID_PATTERN = re.compile(rf"[0-9a-fA-F]{{{WORKFLOW_ID_LENGTH}}}")

_ACCEPTED = wire.QueueReply("accepted")
_UNKNOWN_QUEUE = wire.QueueReply("unknown-queue", reason="no queue has this path")
_STORED_IN_REMOVED_QUEUE = wire.QueueReply(
    "unanswered", reason="the job was accepted; its queue has been removed since"
)
_TOO_OLD = wire.QueueReply("unavailable", reason="the request is too old; repeat it")
_CANCELLED_IN_REMOVED_QUEUE = wire.QueueReply(
    "unknown-job", reason="the job is cancelled, and its queue has been removed"
)


class QueueRequestHandler:
    """Handles the calls of instances that concern workflows.

    Args:
        dispatcher: Dispatch of workflows.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def handle(
        self,
        store: WorkflowStore,
        body: wire.QueueRequest,
        wall_time: float,
        reply: Callable[[wire.QueueReply], None],
        *,
        age_s: float = 0.0,
    ) -> None:
        """Handle a caller's request and reply once the outcome is committed.

        A workflow that is known answers by its own record, whatever the configuration
        says by now; all other requests are answered by the configuration.

        Args:
            store: Replicated state.
            body: The request.
            wall_time: Wall-clock time, in seconds.
            reply: Takes the reply.
            age_s: Time since the request arrived at an instance, in seconds.
        """
        workflow = store.find_workflow(body.host, body.path)
        is_new = workflow is None and body.action is wire.QueueAction.SUBMIT
        if is_new and self._is_submitting(body):
            # The log decides, since it may accept the submission before this one.
            self._submit(body, "", "", wall_time, reply)
            return
        if is_new and age_s > MAX_PENDING_S:
            reply(_TOO_OLD)
            return
        if workflow is None:
            queue = find_queue(store.configuration, body.host, body.path)
        else:
            queue = store.find_queue(workflow.spec.address)
        if queue is not None:
            self._handle_configured(
                store, queue, workflow, body, wall_time, reply, age_s=age_s
            )
        elif workflow is not None:
            self._handle_removed(store, workflow, body, wall_time, reply, age_s=age_s)
        else:
            reply(_UNKNOWN_QUEUE)

    def _is_submitting(self, body: wire.QueueRequest) -> bool:
        """Return whether a submission repeats one that waits for its commit."""
        _, workflow_id = split_path(body.host, body.path)
        return self._dispatcher.is_submitting(workflow_id)

    def _handle_configured(
        self,
        store: WorkflowStore,
        queue: QueueSpec,
        workflow: Workflow | None,
        body: wire.QueueRequest,
        wall_time: float,
        reply: Callable[[wire.QueueReply], None],
        *,
        age_s: float,
    ) -> None:
        """Handle a request to a queue of the configuration."""
        workflow_id = body.path[len(queue.prefix) :]
        decision = self._authorize(store, queue, workflow, body)
        if not decision.admitted:
            _log_refusal(queue, workflow_id, body, decision)
            reply(wire.QueueReply(decision.code, reason=decision.reason))
            return
        if not workflow_id and body.action is wire.QueueAction.READ:
            waiting = self._dispatcher.count_waiting(queue.address)
            reply(wire.QueueReply("accepted", waiting=waiting))
            return
        if not _WORKFLOW_ID_PATTERN.fullmatch(workflow_id):
            reason = f"{workflow_id!r} is no identity; send 16 hexadecimal digits"
            reply(wire.QueueReply("bad-id", reason=reason))
            return
        if body.action is wire.QueueAction.READ:
            reply(_describe(workflow))
        elif body.action is wire.QueueAction.CANCEL:
            self._cancel(store, body, queue.name, wall_time, reply, age_s=age_s)
        else:
            self._submit(body, queue.name, decision.workspace, wall_time, reply)

    def _handle_removed(
        self,
        store: WorkflowStore,
        workflow: Workflow,
        body: wire.QueueRequest,
        wall_time: float,
        reply: Callable[[wire.QueueReply], None],
        *,
        age_s: float,
    ) -> None:
        """Handle a request for a workflow whose queue has been removed.

        A request that arrived before the removal is answered as before. Later, no
        success may be reported for a queue that is not there, and no refusal for a
        workflow that is stored: a repeated submission gets no clear answer, and a
        cancel ends the workflow, which callers cannot see any more.
        """
        address = workflow.spec.address
        decision = self._authorize(store, None, workflow, body)
        is_earlier = wall_time - age_s < store.get_removal_time(address)
        logger.info(
            "dispatch: handles a request to a removed queue",
            extra={
                "action": body.action.value,
                "job": workflow.spec.id,
                "queue": workflow.spec.queue,
                "code": decision.code,
                "earlier": is_earlier,
                "age_s": round(age_s, 3),
            },
        )
        if decision.code == "unanswered":
            reply(wire.QueueReply(decision.code, reason=decision.reason))
        elif not decision.admitted:
            reply(_UNKNOWN_QUEUE)
        elif body.action is wire.QueueAction.CANCEL:
            name = workflow.spec.queue
            self._cancel(store, body, name, wall_time, reply, age_s=age_s)
        elif body.action is wire.QueueAction.SUBMIT:
            reply(_ACCEPTED if is_earlier else _STORED_IN_REMOVED_QUEUE)
        else:
            reply(_describe(workflow) if is_earlier else _UNKNOWN_QUEUE)

    def _authorize(
        self,
        store: WorkflowStore,
        queue: QueueSpec | None,
        workflow: Workflow | None,
        body: wire.QueueRequest,
    ) -> AccessDecision:
        return authorize_request(
            store.configuration,
            queue,
            body.credential,
            workflow,
            submits=body.action is wire.QueueAction.SUBMIT,
        )

    def _cancel(
        self,
        store: WorkflowStore,
        body: wire.QueueRequest,
        queue_name: str,
        wall_time: float,
        reply: Callable[[wire.QueueReply], None],
        *,
        age_s: float,
    ) -> None:
        address, workflow_id = split_path(body.host, body.path)
        command = workflow_commands.CancelWorkflow(
            workflow=workflow_id,
            queue=queue_name,
            credential=body.credential,
            address=address,
        )

        def finish(result: Result) -> None:
            is_earlier = wall_time - age_s < store.get_removal_time(address)
            if result.accepted and not is_earlier:
                reply(_CANCELLED_IN_REMOVED_QUEUE)
            else:
                reply(_convert(result))

        self._dispatcher.cancel(command, wall_time, finish)

    def _submit(
        self,
        body: wire.QueueRequest,
        queue_name: str,
        workspace: str,
        wall_time: float,
        reply: Callable[[wire.QueueReply], None],
    ) -> None:
        address, workflow_id = split_path(body.host, body.path)
        spec = msgspec.structs.replace(
            body.draft,
            id=workflow_id,
            queue=queue_name,
            address=address,
            workspace=workspace,
        )
        command = workflow_commands.SubmitWorkflow(
            spec=spec, credential=body.credential
        )
        self._dispatcher.submit(
            command, wall_time, lambda x: reply(self._convert_submission(x, spec))
        )

    def _convert_submission(
        self, result: Result, spec: WorkflowSpec
    ) -> wire.QueueReply:
        """Return the reply to a submission, with a retry time if it is refused."""
        if result.code not in ("overloaded", "cancelled"):
            return _convert(result)
        # Admission gives the time with the refusal; the limit of open tasks does not.
        wait_s = float(result.detail.get("retry_after_s", 0))
        wait_s = wait_s or self._dispatcher.estimate_wait(spec)
        return wire.QueueReply(result.code, reason=result.reason, retry_after_s=wait_s)

    def handle_announcement(
        self,
        body: wire.WorkerAnnouncement,
        wall_time: float,
        reply: Callable[[Result], None],
    ) -> None:
        """Handle the heartbeat of a worker or the announcement that it ends."""
        if body.leaving:
            self._dispatcher.mark_leaving(body.worker)
            reply(Result(accepted=True))
        elif body.spec is not None:
            self._dispatcher.register_worker(body.spec, wall_time, reply)


def _log_refusal(
    queue: QueueSpec,
    workflow_id: str,
    body: wire.QueueRequest,
    decision: AccessDecision,
) -> None:
    logger.info(
        "dispatch: refused a caller",
        extra={
            "action": body.action.value,
            "queue": queue.name,
            "job": workflow_id,
            "code": decision.code,
            "reason": decision.reason,
            "workspace": decision.workspace,
            "credential": body.credential[:LOGGED_DIGITS],
        },
    )


def _describe(workflow: Workflow | None) -> wire.QueueReply:
    if workflow is None:
        return wire.QueueReply("unknown-job", reason="no such workflow is known")
    return wire.QueueReply("accepted", state=workflow.state)


def _convert(result: Result) -> wire.QueueReply:
    code = "accepted" if result.accepted else result.code
    return wire.QueueReply(code, reason=result.reason)
