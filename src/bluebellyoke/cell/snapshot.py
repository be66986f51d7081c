"""Encoding of the complete cell state for snapshots.

References between tasks, jobs, workers and workspaces are stored as names. Derived
values, such as free resources, are recomputed from the stored placements.
"""

import heapq

import msgspec

from bluebellyoke.cell import commands
from bluebellyoke.cell.claims import Claim
from bluebellyoke.cell.crashes import CrashRecord
from bluebellyoke.cell.early_cancels import EarlyCancel, EarlyCancels
from bluebellyoke.cell.jobs import PLACED_STATES, Job, Task, TaskState
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import CellState
from bluebellyoke.cell.tickets import TicketRecord
from bluebellyoke.cell.upstreams import Upstream
from bluebellyoke.cell.workers import Worker
from bluebellyoke.cell.workspaces import Workspace
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["dump_state", "load_state"]


class TaskSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of a task."""

    state: int
    epoch: int
    failures: int
    worker: str
    since: float


class JobSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of a job."""

    spec: commands.JobSpec
    digest: str
    submitted_at: float
    need: Resources
    tasks: list[TaskSnapshot]
    counts: list[int]
    waiting: list[int]
    failed_on: list[str]
    cancelled: bool
    learned_s: float
    first_start_at: float
    finished_at: float
    reason: str
    crashes: dict[int, CrashRecord] = {}


class WorkerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of a worker."""

    name: str
    session: str
    total: Resources
    rack: str
    data_centre: str
    past_sessions: tuple[str, ...]
    alive: bool
    drained: bool
    failed_jobs: list[str]
    lost_at: float
    quarantined_until: float = msgspec.field(name="set_aside_until")
    quarantines: int = msgspec.field(name="pauses")


class StateSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of the cell state."""

    version: int
    time: float
    workspaces: list[commands.WorkspaceSpec]
    memory_ratios: list[float]
    services: list[commands.ServiceSpec]
    drained_workers: tuple[str, ...]
    last_ticket: int
    tickets: dict[int, TicketRecord]
    workers: list[WorkerSnapshot]
    lost_workers: list[str]
    jobs: list[JobSnapshot]
    queues: list[list[str]]
    finished: list[str]
    backoffs: list[tuple[float, str, int, int]]
    upstreams: list[Upstream]
    claims: dict[str, Claim]
    claim_expiries: list[tuple[float, str]]
    workflows: WorkflowSnapshot
    early_cancels: list[EarlyCancel] = []


def dump_state(state: CellState) -> bytes:
    """Return the encoded snapshot of a state."""
    scheduling = state.scheduling
    snapshot = StateSnapshot(
        version=state.version,
        time=state.time,
        workspaces=[item.spec for item in scheduling.workspaces.values()],
        memory_ratios=[item.memory_ratio for item in scheduling.workspaces.values()],
        services=list(state.services.values()),
        drained_workers=state.drained_workers,
        last_ticket=state.tickets.last_number,
        tickets=state.tickets.records,
        workers=[_dump_worker(worker) for worker in scheduling.workers.values()],
        lost_workers=list(scheduling.lost_workers),
        jobs=[_dump_job(job) for job in scheduling.jobs.values()],
        queues=[list(queue) for queue in scheduling.queues.values()],
        finished=list(scheduling.finished),
        backoffs=scheduling.backoffs,
        upstreams=list(state.slots.upstreams.values()),
        claims=state.claims.claims,
        claim_expiries=state.claims.expiries,
        workflows=state.workflows.dump(),
        early_cancels=scheduling.early_cancels.dump(),
    )
    return msgspec.msgpack.encode(snapshot)


def load_state(data: bytes) -> CellState:
    """Return the state that an encoded snapshot holds."""
    snapshot = msgspec.msgpack.decode(data, type=StateSnapshot)
    state = CellState(version=snapshot.version, time=snapshot.time)
    state.services = {item.name: item for item in snapshot.services}
    state.drained_workers = snapshot.drained_workers
    state.tickets.last_number = snapshot.last_ticket
    state.tickets.records = snapshot.tickets
    state.slots.upstreams = {item.name: item for item in snapshot.upstreams}
    state.claims.claims = snapshot.claims
    state.claims.expiries = snapshot.claim_expiries
    heapq.heapify(state.claims.expiries)
    state.claims.recorded_bytes = sum(
        len(claim.outcome.body) for claim in snapshot.claims.values()
    )
    state.workflows = WorkflowStore.load(snapshot.workflows)
    _load_scheduling(state, snapshot)
    return state


def _load_scheduling(state: CellState, snapshot: StateSnapshot) -> None:
    scheduling = state.scheduling
    scheduling.early_cancels = EarlyCancels(snapshot.early_cancels)
    scheduling.workspaces = {item.name: Workspace(item) for item in snapshot.workspaces}
    for workspace, ratio in zip(
        scheduling.workspaces.values(), snapshot.memory_ratios, strict=True
    ):
        workspace.memory_ratio = ratio
    for stored in snapshot.workers:
        worker = _load_worker(stored)
        scheduling.workers[worker.name] = worker
        if worker.alive:
            scheduling.total = scheduling.total + worker.total
    scheduling.lost_workers = dict.fromkeys(snapshot.lost_workers)
    for stored_job in snapshot.jobs:
        _load_job(state, stored_job)
    for job_ids in snapshot.queues:
        for job_id in job_ids:
            job = scheduling.jobs[job_id]
            scheduling.queues.setdefault(job.queue_key, {})[job_id] = job
    scheduling.finished = dict.fromkeys(snapshot.finished)
    scheduling.backoffs = snapshot.backoffs
    heapq.heapify(scheduling.backoffs)


def _dump_worker(worker: Worker) -> WorkerSnapshot:
    return WorkerSnapshot(
        worker.name,
        worker.session,
        worker.total,
        worker.rack,
        worker.data_centre,
        worker.past_sessions,
        worker.alive,
        worker.drained,
        sorted(worker.failed_jobs),
        worker.lost_at,
        worker.quarantined_until,
        worker.quarantines,
    )


def _load_worker(snapshot: WorkerSnapshot) -> Worker:
    return Worker(
        snapshot.name,
        snapshot.session,
        snapshot.total,
        snapshot.rack,
        snapshot.data_centre,
        past_sessions=snapshot.past_sessions,
        alive=snapshot.alive,
        drained=snapshot.drained,
        failed_jobs=set(snapshot.failed_jobs),
        lost_at=snapshot.lost_at,
        quarantined_until=snapshot.quarantined_until,
        quarantines=snapshot.quarantines,
    )


def _dump_job(job: Job) -> JobSnapshot:
    return JobSnapshot(
        job.spec,
        job.digest,
        job.submitted_at,
        job.need,
        [
            TaskSnapshot(
                int(task.state),
                task.epoch,
                task.failures,
                task.worker.name if task.worker is not None else "",
                task.since,
            )
            for task in job.tasks
        ],
        job.counts,
        list(job.waiting),
        sorted(job.failed_on),
        job.cancelled,
        job.learned_s,
        job.first_start_at,
        job.finished_at,
        job.reason,
        job.crashes,
    )


def _load_job(state: CellState, snapshot: JobSnapshot) -> None:
    scheduling = state.scheduling
    job = Job(
        snapshot.spec,
        snapshot.digest,
        snapshot.submitted_at,
        snapshot.need,
        counts=snapshot.counts,
        waiting=dict.fromkeys(snapshot.waiting),
        failed_on=set(snapshot.failed_on),
        cancelled=snapshot.cancelled,
        learned_s=snapshot.learned_s,
        first_start_at=snapshot.first_start_at,
        finished_at=snapshot.finished_at,
        reason=snapshot.reason,
        crashes=dict(snapshot.crashes),
    )
    for index, stored in enumerate(snapshot.tasks):
        task = Task(
            job,
            index,
            TaskState(stored.state),
            stored.epoch,
            stored.failures,
            since=stored.since,
        )
        job.tasks.append(task)
        if task.state in PLACED_STATES:
            worker = scheduling.workers[stored.worker]
            task.worker = worker
            worker.tasks[task.key] = task
            worker.allocate(job.need)
            scheduling.workspaces[snapshot.spec.workspace].allocate(job.need)
    scheduling.jobs[snapshot.spec.id] = job
    if not job.finished_at:
        scheduling.payload_chars += len(snapshot.spec.payload)
        scheduling.workspaces[snapshot.spec.workspace].unfinished_jobs += 1
        scheduling.unfinished_tasks += sum(
            job.counts[state] for state in TaskState if state < TaskState.DONE
        )
