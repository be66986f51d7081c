"""Replies to queries about the cell: status, jobs, tickets and explanations."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from msgspec.structs import asdict

from bluebellyoke.cell.jobs import Job, Task, TaskState
from bluebellyoke.cell.state import CellState
from bluebellyoke.dispatch.advice import StepKey
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.dispatch.waits import describe_wait
from bluebellyoke.instance import wire
from bluebellyoke.leader.sessions import InstanceSession
from bluebellyoke.leader.slots import SlotManager
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.workspace_figures import list_workspace_figures

__all__ = ["QueryContext", "answer_query"]

#: Maximum number of tasks listed in one reply.
MAX_LISTED_TASKS = 100

#: Maximum number of digits of a ticket's number, which is at most 2**53.
MAX_NUMBER_DIGITS = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryContext:
    """Data that replies to queries are built from.

    Attributes:
        state: Replicated state of the cell.
        sessions: Streams of the instances, by number.
        slots: Slots and leases of the instances.
        waiting_reasons: Why jobs could not be placed in the last round, by job.
        step_waits: Why steps of workflows waited in the last round.
        metrics: Counters of refused workflows.
    """

    state: CellState
    sessions: Mapping[int, InstanceSession]
    slots: SlotManager
    waiting_reasons: Mapping[str, str]
    step_waits: Mapping[StepKey, WaitReason]
    metrics: Metrics


def answer_query(
    context: QueryContext, query: wire.Query, now: float, wall_time: float
) -> wire.QueryReply:
    """Return the reply to a query, with a JSON body."""
    if query.topic == "configuration":
        document = context.state.workflows.configuration.document
        if query.max_bytes and len(document) > query.max_bytes:
            return wire.QueryReply(True, b"", is_too_large=True)
        return wire.QueryReply(bool(document), document)
    build = _REPORT_BUILDERS.get(query.topic)
    report = build(context, query.subject, now, wall_time) if build else None
    if report is None:
        error = {"reason": f"nothing is known of {query.topic} {query.subject!r}"}
        return wire.QueryReply(False, msgspec.json.encode(error))
    return wire.QueryReply(True, msgspec.json.encode(report))


def report_status(
    context: QueryContext, subject: str, now: float, wall_time: float
) -> dict:
    """Return a summary of the cell, with the view version of each instance."""
    state = context.state
    scheduling = state.scheduling
    counts = [0] * len(TaskState)
    for job in scheduling.jobs.values():
        for task_state, count in enumerate(job.counts):
            counts[task_state] += count
    return {
        "ticket": state.tickets.last_number,
        "version": state.version,
        "instances": {
            session.instance: {
                "version": session.view_version,
                "in_force": session.view_version == state.version,
                "live": context.slots.is_live(session.holder, now),
                "draining": session.draining,
                "data_centre": session.data_centre,
            }
            for session in context.sessions.values()
        },
        "workers": {
            "live": sum(worker.alive for worker in scheduling.workers.values()),
            "set_aside": sorted(
                worker.name
                for worker in scheduling.workers.values()
                if worker.alive and worker.quarantined_until > wall_time
            ),
            "total": asdict(scheduling.total),
        },
        "tasks": {item.name.lower(): counts[item] for item in TaskState},
        "jobs": len(scheduling.jobs),
        "workspaces": {
            name: {"used": asdict(item.used), "unfinished_jobs": item.unfinished_jobs}
            for name, item in scheduling.workspaces.items()
        },
        "queue_workspaces": _describe_queue_workspaces(context),
        "upstreams": {
            item.name: {
                "service": item.service,
                "slots": item.slots,
                "held": item.held,
                "leaving": item.leaving,
            }
            for item in state.slots.upstreams.values()
        },
    }


def _describe_queue_workspaces(context: QueryContext) -> dict:
    """Return the busiest workspaces that submit to queues."""
    return {
        name: {
            "running": item.running,
            "waiting": item.waiting,
            "used": asdict(item.used),
            "quota": asdict(item.quota),
            "share": item.share,
            "refused": context.metrics.count_refused_workflows(name),
        }
        for name, item in list_workspace_figures(context.state.workflows).items()
    }


def report_job(
    context: QueryContext, subject: str, now: float, wall_time: float
) -> dict | None:
    """Return a job and its first tasks, or None for an unknown job."""
    job = context.state.scheduling.jobs.get(subject)
    if job is None:
        return None
    return {
        "id": job.spec.id,
        "workspace": job.spec.workspace,
        "kind": job.spec.kind,
        "state": job.summarize_state(),
        "tasks": {item.name.lower(): job.counts[item] for item in TaskState},
        "reason": job.reason,
        "submitted_at": job.submitted_at,
        "first_start_at": job.first_start_at,
        "finished_at": job.finished_at,
        "places": [_describe_task(task) for task in job.tasks[:MAX_LISTED_TASKS]],
    }


def _describe_task(task: Task) -> dict:
    return {
        "index": task.index,
        "state": task.state.name.lower(),
        "epoch": task.epoch,
        "worker": task.worker.name if task.worker is not None else "",
        "since": task.since,
    }


def report_explanation(
    context: QueryContext, subject: str, now: float, wall_time: float
) -> dict | None:
    """Return why the tasks of a job wait and where placed tasks run."""
    job = context.state.scheduling.jobs.get(subject)
    if job is None:
        return _explain_workflow(context, subject)
    return {
        "id": subject,
        "state": job.summarize_state(),
        "why": _explain(context, job, wall_time),
        "need": asdict(job.need),
        "declared_need": asdict(job.spec.need),
        "expected_s": job.expected_s,
        "failed_on": sorted(job.failed_on),
        "places": [_describe_task(task) for task in job.tasks[:MAX_LISTED_TASKS]],
    }


def _explain_workflow(context: QueryContext, subject: str) -> dict | None:
    """Return why the steps of a workflow wait, or None for an unknown workflow."""
    store = context.state.workflows
    workflow = store.workflows.get(subject)
    if workflow is None:
        return None
    queue = store.find_last_queue(workflow.spec.address)
    return {
        "id": subject,
        "queue": queue.name if queue is not None else workflow.spec.queue,
        "workspace": workflow.spec.workspace,
        "state": workflow.state,
        "reason": workflow.reason,
        "running": workflow.placed,
        "why": [
            f"step {step} of repetition {repetition} waits: {describe_wait(reason)}"
            for (name, repetition, step), reason in context.step_waits.items()
            if name == subject
        ],
    }


def _explain(context: QueryContext, job: Job, wall_time: float) -> str:
    if job.finished_at:
        return job.reason or f"it has finished: {job.summarize_state()}"
    if job.counts[TaskState.BACKOFF]:
        return "a task failed and waits before its next start"
    if not job.waiting:
        return "every task has a place"
    reason = context.waiting_reasons.get(job.spec.id)
    if reason:
        return f"waits: {reason}"
    if not context.state.scheduling.total.cpu_millis:
        return "waits: no worker is in the cell"
    return "waits for its turn by the fair order of the workspaces"


def report_ticket(
    context: QueryContext, subject: str, now: float, wall_time: float
) -> dict | None:
    """Return the outcome of a ticket; without a subject, the configuration in force."""
    state = context.state
    if subject:
        number = _parse_number(subject)
        record = state.tickets.records.get(number)
        if record is None:
            return None
        waiting = sorted(
            session.instance
            for session in context.sessions.values()
            if session.view_version < record.version
        )
        return {
            "number": number,
            "digest": record.digest,
            "accepted_at": record.accepted_at,
            "version": record.version,
            "in_force": not waiting,
            "waiting_for": waiting,
        }
    return {
        "last_number": state.tickets.last_number,
        "next_number": state.tickets.last_number + 1,
        "version": state.version,
        "services": list(state.services.values()),
        "workspaces": [
            {
                "name": item.spec.name,
                "share": item.spec.share,
                "quota": asdict(item.spec.quota),
            }
            for item in state.scheduling.workspaces.values()
        ],
        "drained_workers": state.drained_workers,
    }


def _parse_number(text: str) -> int | None:
    """Return the number of a ticket, or None if the text cannot be one."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else None


_REPORT_BUILDERS = {
    "status": report_status,
    "job": report_job,
    "explain": report_explanation,
    "ticket": report_ticket,
}
