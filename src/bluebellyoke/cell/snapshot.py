"""Encoding of the whole cell state for snapshots.

References between tasks, jobs, workers and workspaces are stored by name. Derived
values, such as free resources and queues, are rebuilt by replaying the places.
"""

import heapq

import msgspec

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.jobs import PLACED_STATES, Job, Task, TaskState
from bluebellyoke.cell.requests import Claim
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import CellState
from bluebellyoke.cell.tickets import TicketRecord
from bluebellyoke.cell.upstreams import Upstream
from bluebellyoke.cell.workers import Worker
from bluebellyoke.cell.workspaces import Workspace
from bluebellyoke.workflow.store import WorkflowSnapshot, WorkflowStore

__all__ = ["dump_state", "load_state"]


class TaskImage(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a task."""

    state: int
    epoch: int
    failures: int
    worker: str
    since: float


class JobImage(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a job."""

    spec: c.JobSpec
    digest: str
    submitted_at: float
    need: Resources
    tasks: list[TaskImage]
    counts: list[int]
    waiting: list[int]
    failed_on: list[str]
    cancelled: bool
    learned_s: float
    first_start_at: float
    finished_at: float
    reason: str


class WorkerImage(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a worker."""

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
    set_aside_until: float
    pauses: int


class StateImage(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of the cell state."""

    version: int
    time: float
    workspaces: list[c.WorkspaceSpec]
    memory_ratios: list[float]
    services: list[c.ServiceSpec]
    drained_workers: tuple[str, ...]
    last_ticket: int
    tickets: dict[int, TicketRecord]
    workers: list[WorkerImage]
    lost_workers: list[str]
    jobs: list[JobImage]
    queues: list[list[str]]
    finished: list[str]
    backoffs: list[tuple[float, str, int, int]]
    upstreams: list[Upstream]
    claims: dict[str, Claim]
    claim_expiries: list[tuple[float, str]]
    workflows: WorkflowSnapshot


def dump_state(state: CellState) -> bytes:
    """Return the stored form of a state."""
    book = state.book
    image = StateImage(
        version=state.version,
        time=state.time,
        workspaces=[item.spec for item in book.workspaces.values()],
        memory_ratios=[item.memory_ratio for item in book.workspaces.values()],
        services=list(state.services.values()),
        drained_workers=state.drained_workers,
        last_ticket=state.tickets.last_number,
        tickets=state.tickets.records,
        workers=[_dump_worker(worker) for worker in book.workers.values()],
        lost_workers=list(book.lost_workers),
        jobs=[_dump_job(job) for job in book.jobs.values()],
        queues=[list(queue) for queue in book.queues.values()],
        finished=list(book.finished),
        backoffs=book.backoffs,
        upstreams=list(state.slots.upstreams.values()),
        claims=state.claims.claims,
        claim_expiries=state.claims.expiries,
        workflows=state.workflows.dump(),
    )
    return msgspec.msgpack.encode(image)


def load_state(data: bytes) -> CellState:
    """Return the state of a stored form."""
    image = msgspec.msgpack.decode(data, type=StateImage)
    state = CellState(version=image.version, time=image.time)
    state.services = {item.name: item for item in image.services}
    state.drained_workers = image.drained_workers
    state.tickets.last_number = image.last_ticket
    state.tickets.records = image.tickets
    state.slots.upstreams = {item.name: item for item in image.upstreams}
    state.claims.claims = image.claims
    state.claims.expiries = image.claim_expiries
    heapq.heapify(state.claims.expiries)
    state.claims.recorded_bytes = sum(
        len(claim.outcome.body) for claim in image.claims.values()
    )
    state.workflows = WorkflowStore.load(image.workflows)
    _load_book(state, image)
    return state


def _load_book(state: CellState, image: StateImage) -> None:
    book = state.book
    book.workspaces = {item.name: Workspace(item) for item in image.workspaces}
    for workspace, ratio in zip(
        book.workspaces.values(), image.memory_ratios, strict=True
    ):
        workspace.memory_ratio = ratio
    for stored in image.workers:
        worker = _load_worker(stored)
        book.workers[worker.name] = worker
        if worker.alive:
            book.total = book.total + worker.total
    book.lost_workers = dict.fromkeys(image.lost_workers)
    for stored_job in image.jobs:
        _load_job(state, stored_job)
    for job_ids in image.queues:
        for job_id in job_ids:
            job = book.jobs[job_id]
            book.queues.setdefault(job.queue_key, {})[job_id] = job
    book.finished = dict.fromkeys(image.finished)
    book.backoffs = image.backoffs
    heapq.heapify(book.backoffs)


def _dump_worker(worker: Worker) -> WorkerImage:
    return WorkerImage(
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
        worker.set_aside_until,
        worker.pauses,
    )


def _load_worker(image: WorkerImage) -> Worker:
    return Worker(
        image.name,
        image.session,
        image.total,
        image.rack,
        image.data_centre,
        past_sessions=image.past_sessions,
        alive=image.alive,
        drained=image.drained,
        failed_jobs=set(image.failed_jobs),
        lost_at=image.lost_at,
        set_aside_until=image.set_aside_until,
        pauses=image.pauses,
    )


def _dump_job(job: Job) -> JobImage:
    return JobImage(
        job.spec,
        job.digest,
        job.submitted_at,
        job.need,
        [
            TaskImage(
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
    )


def _load_job(state: CellState, image: JobImage) -> None:
    book = state.book
    job = Job(
        image.spec,
        image.digest,
        image.submitted_at,
        image.need,
        counts=image.counts,
        waiting=dict.fromkeys(image.waiting),
        failed_on=set(image.failed_on),
        cancelled=image.cancelled,
        learned_s=image.learned_s,
        first_start_at=image.first_start_at,
        finished_at=image.finished_at,
        reason=image.reason,
    )
    for index, stored in enumerate(image.tasks):
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
            worker = book.workers[stored.worker]
            task.worker = worker
            worker.tasks[task.key] = task
            worker.take(job.need)
            book.workspaces[image.spec.workspace].take(job.need)
    book.jobs[image.spec.id] = job
    if not job.finished_at:
        book.payload_bytes += len(image.spec.payload)
        book.workspaces[image.spec.workspace].unfinished_jobs += 1
        book.unfinished_tasks += sum(
            job.counts[state] for state in TaskState if state < TaskState.DONE
        )
