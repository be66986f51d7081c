"""The leader's replies to callers of queues and to announcements of workers."""

import logging
import re
from collections.abc import Callable

import msgspec

from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.dispatcher import Dispatcher
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.access import (
    LOGGED_DIGITS,
    AccessDecision,
    authorize_request,
)
from bluebellyoke.workflow.configuration import find_queue
from bluebellyoke.workflow.specs import QueueSpec, WorkflowSpec
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["QueueRequestHandler"]

logger = logging.getLogger("bluebellyoke.dispatch")

_WORKFLOW_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")


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
    ) -> None:
        """Handle a caller's request and reply once the outcome is committed."""
        queue = find_queue(store.configuration, body.host, body.path)
        if queue is None:
            reply(wire.QueueReply("unknown-queue", reason="no queue has this path"))
            return
        workflow_id = body.path[len(queue.prefix) :]
        decision = authorize_request(
            store.configuration,
            queue,
            body.credential,
            store.workflows.get(workflow_id),
            submits=body.action is wire.QueueAction.SUBMIT,
        )
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
            reply(_describe(store, queue, workflow_id))
        elif body.action is wire.QueueAction.CANCEL:
            command = workflow_commands.CancelWorkflow(
                workflow=workflow_id,
                queue=queue.name,
                credential=body.credential,
                address=queue.address,
            )
            self._dispatcher.cancel(command, wall_time, lambda x: reply(_convert(x)))
        else:
            spec = msgspec.structs.replace(
                body.draft,
                id=workflow_id,
                queue=queue.name,
                address=queue.address,
                workspace=decision.workspace,
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
        """Return the reply to a submission, with a retry time if it is overloaded."""
        if result.code != "overloaded":
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


def _describe(
    store: WorkflowStore, queue: QueueSpec, workflow_id: str
) -> wire.QueueReply:
    workflow = store.workflows.get(workflow_id)
    if workflow is None or workflow.spec.address != queue.address:
        return wire.QueueReply("unknown-job", reason="no such workflow is known")
    return wire.QueueReply("accepted", state=workflow.state)


def _convert(result: Result) -> wire.QueueReply:
    code = "accepted" if result.accepted else result.code
    return wire.QueueReply(code, reason=result.reason)
