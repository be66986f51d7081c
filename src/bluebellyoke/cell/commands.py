"""Commands of the replicated log.

The leader sets the wall-clock time of each command, in seconds, so that all replicas
apply it identically. Commands hold data only; `bluebellyoke.cell.state` applies them.
"""

import enum

import msgspec

from bluebellyoke.cell.command import Command
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.result import ClaimStatus, Outcome, Result, refuse
from bluebellyoke.workflow.commands import WorkflowCommand

__all__ = [
    "AdvanceTime",
    "AdmitWorker",
    "AnnounceUpstream",
    "ApplyTicket",
    "AssignSlots",
    "CancelJob",
    "ClaimRequest",
    "ClaimStatus",
    "Command",
    "DropUpstream",
    "JobKind",
    "JobSpec",
    "LearnNeed",
    "LoseWorker",
    "Outcome",
    "PlaceTasks",
    "Placement",
    "PreemptTasks",
    "RecordOutcome",
    "refuse",
    "ReportTasks",
    "Result",
    "ServiceSpec",
    "SlotChange",
    "SubmitJob",
    "TaskOutcome",
    "TaskReport",
    "Ticket",
    "WorkspaceSpec",
    "decode_commands",
    "encode_commands",
]


class JobKind(enum.StrEnum):
    """Kind of a job.

    Attributes:
        SERVICE: Tasks run until they are cancelled and restart when they end.
        BATCH: Tasks run to completion, independently of each other.
        GANG: All tasks start and restart together.
    """

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class TaskOutcome(enum.StrEnum):
    """Outcome of one task start, as its worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never-started"


class WorkspaceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Complete state of a workspace, as a ticket declares it.

    Attributes:
        name: Unique name.
        share: Weight of the workspace when resources are contended.
        quota: Upper bound of the resources of its placed tasks; a zero amount is
            unlimited.
    """

    name: str
    share: float = 1.0
    quota: Resources = Resources()


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Complete state of a routed service, as a ticket declares it.

    Attributes:
        name: Unique name, under which upstreams register.
        deadline_s: Default deadline of a request, in seconds.
        idempotent_methods: HTTP methods whose requests may be retried.
        enabled: Whether requests are accepted.
    """

    name: str
    deadline_s: float = 10.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    enabled: bool = True


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """A change ticket: the complete new state of every object that it changes.

    Attributes:
        number: Position in the order of all tickets of the cell.
        workspaces: New state of workspaces.
        services: New state of services.
        removed_workspaces: Names of workspaces to remove.
        removed_services: Names of services to remove.
        drained_workers: Names of all workers that get no new tasks, or None to keep
            the current list.
    """

    number: int
    workspaces: tuple[WorkspaceSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    removed_workspaces: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    drained_workers: tuple[str, ...] | None = None


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A job as its caller declares it.

    Attributes:
        id: ID chosen by the caller; resubmitting the same job has no effect.
        workspace: Workspace that owns the job.
        kind: Kind of the job.
        tasks: Number of tasks.
        need: Resources that each task needs.
        payload: Opaque text passed to the worker.
        idempotent: Whether a task may run again after a failure or an unknown outcome.
        checkpoint: Whether a task can save its progress and resume on another worker.
        urgent: Whether the job may preempt other jobs.
        max_attempts: Number of failures after which a task is not retried.
        expected_s: Declared run time of a task, in seconds, or 0 if undeclared.
    """

    id: str
    workspace: str
    kind: JobKind = JobKind.BATCH
    tasks: int = 1
    need: Resources = Resources(1000, 256, 0)
    payload: str = ""
    idempotent: bool = False
    checkpoint: bool = False
    urgent: bool = False
    max_attempts: int = 3
    expected_s: float = 0.0


class ApplyTicket(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Apply a ticket; `digest` is the hash of its content."""

    ticket: Ticket
    digest: str


class SubmitJob(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Accept a job; `digest` is the hash of its content."""

    spec: JobSpec
    digest: str


class CancelJob(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Stop all tasks of a job and never start them again."""

    job_id: str


class AdmitWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Register a worker's session and end its earlier session."""

    worker: str
    session: str
    total: Resources
    rack: str
    data_centre: str


class LoseWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """End a worker's session whose lease has expired."""

    worker: str
    session: str


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Assignment of a task's next epoch to a worker's session."""

    job_id: str
    index: int
    epoch: int
    worker: str
    session: str


class PlaceTasks(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Start tasks on workers.

    Placements of one gang are adjacent and take effect only all together.
    """

    placements: tuple[Placement, ...]


class PreemptTasks(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Request workers to checkpoint and stop tasks, which then wait again.

    Attributes:
        tasks: Job ID, task index and epoch of each task.
    """

    tasks: tuple[tuple[str, int, int], ...]


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """A worker's report that an epoch of a task has ended.

    Attributes:
        used: Peak resource usage of the task.
        ran_s: Run time, in seconds.
    """

    job_id: str
    index: int
    epoch: int
    outcome: TaskOutcome
    used: Resources = Resources()
    ran_s: float = 0.0


class ReportTasks(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Record the tasks that ended in a worker's session."""

    worker: str
    session: str
    reports: tuple[TaskReport, ...]


class LearnNeed(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Raise the need of a job's tasks to the observed usage of one of them."""

    job_id: str
    used: Resources


class AnnounceUpstream(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Register an upstream or update its description.

    Attributes:
        leaving: Whether the upstream is leaving and gets no new slot assignments.
    """

    upstream: str
    incarnation: str
    service: str
    address: str
    port: int
    slots: int
    connections: int
    data_centre: str
    leaving: bool = False


class DropUpstream(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Remove an upstream that has left or is no longer announced."""

    upstream: str
    incarnation: str


class SlotChange(msgspec.Struct, frozen=True, array_like=True):
    """Change of the slots of an upstream that a holder has.

    Attributes:
        delta: Number of slots to assign, or if negative, to take back.
    """

    upstream: str
    incarnation: str
    holder: str
    delta: int


class AssignSlots(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Assign unassigned upstream slots to instances, or take slots back.

    A holder is one incarnation of an instance, written `name/incarnation`.
    """

    changes: tuple[SlotChange, ...]


class ClaimRequest(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Claim an idempotency key before its request is sent.

    Attributes:
        key: Workspace, service and the caller's idempotency key, joined.
        digest: Hash of method, path and body.
        holder: Instance, incarnation and number of the only request that may be sent.
        expires: Wall-clock time, in seconds, from which a missing outcome is unknown.
    """

    key: str
    digest: str
    holder: str
    expires: float


class RecordOutcome(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Record the outcome of a claimed request."""

    key: str
    holder: str
    outcome: Outcome


class AdvanceTime(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """End backoffs and claims that are due, and drop expired records."""


AnyCommand = (
    ApplyTicket
    | SubmitJob
    | CancelJob
    | AdmitWorker
    | LoseWorker
    | PlaceTasks
    | PreemptTasks
    | ReportTasks
    | LearnNeed
    | AnnounceUpstream
    | DropUpstream
    | AssignSlots
    | ClaimRequest
    | RecordOutcome
    | AdvanceTime
    | WorkflowCommand
)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[AnyCommand, ...])


def encode_commands(commands: tuple[Command, ...]) -> bytes:
    """Return the log entry payload that holds the commands."""
    return _encoder.encode(commands)


def decode_commands(payload: bytes) -> tuple[Command, ...]:
    """Return the commands that a log entry payload holds."""
    return _decoder.decode(payload)
