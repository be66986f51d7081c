"""Commands of the replicated log and the results of applying them.

The leader stamps each command with the wall-clock time in seconds, so that every
replica applies it alike. A command is data only; `bluebellyoke.cell.state` applies it.
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
    """How the tasks of a job relate to each other and to time."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class TaskOutcome(enum.StrEnum):
    """What a worker says of a task that no longer runs there."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never-started"


class WorkspaceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Whole state of one workspace as a ticket declares it.

    Attributes:
        name: Unique name.
        share: Weight of the workspace when the cell is contended.
        quota: Upper bound of what its running tasks may take; zero is unlimited.
    """

    name: str
    share: float = 1.0
    quota: Resources = Resources()


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Whole state of one routed service as a ticket declares it.

    Attributes:
        name: Unique name; upstreams announce themselves under it.
        deadline_s: Deadline of a request that names none, in seconds.
        idempotent_methods: HTTP methods that may be sent twice.
        enabled: Whether callers' requests are accepted.
    """

    name: str
    deadline_s: float = 10.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    enabled: bool = True


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """A change ticket: the whole new state of every object that it touches.

    Attributes:
        number: Position in the cell-wide order of tickets.
        workspaces: New state of workspaces.
        services: New state of services.
        removed_workspaces: Names of workspaces to remove.
        removed_services: Names of services to remove.
        drained_workers: Whole new list of workers that get no new task, or None to
            leave the list as it is.
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
        id: Identity chosen by the caller; a resubmission under it runs nothing new.
        workspace: Owner.
        kind: Service, batch or gang.
        tasks: Number of tasks.
        need: Resources of each task.
        payload: Opaque text that the worker receives.
        idempotent: Whether a task may run again after an unknown fate.
        checkpoint: Whether a task can save its progress and go on elsewhere.
        urgent: Whether the job may preempt others.
        max_attempts: Starts of one task, at most.
        expected_s: Declared run time, in seconds; 0 is undeclared.
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
    """Put a ticket in force; `digest` identifies its content."""

    ticket: Ticket
    digest: str


class SubmitJob(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Take over a job; `digest` identifies its content."""

    spec: JobSpec
    digest: str


class CancelJob(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Stop all tasks of a job and start none again."""

    job_id: str


class AdmitWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Take a worker's session in; an earlier session of the worker ends."""

    worker: str
    session: str
    total: Resources
    rack: str
    data_centre: str


class LoseWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """End a worker's session whose lease has run out."""

    worker: str
    session: str


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """One task start: the task's next epoch on a worker's session."""

    job_id: str
    index: int
    epoch: int
    worker: str
    session: str


class PlaceTasks(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Start tasks on workers.

    Placements of one gang stand next to each other and count only all together.
    """

    placements: tuple[Placement, ...]


class PreemptTasks(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Ask workers to checkpoint and stop tasks, which then wait again."""

    tasks: tuple[tuple[str, int, int], ...]


class TaskReport(msgspec.Struct, frozen=True, array_like=True):
    """A worker's word that a task's epoch has ended.

    Attributes:
        used: Peak usage of the task.
        ran_s: Run time, in seconds.
    """

    job_id: str
    index: int
    epoch: int
    outcome: TaskOutcome
    used: Resources = Resources()
    ran_s: float = 0.0


class ReportTasks(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Record the ended tasks of a worker's session."""

    worker: str
    session: str
    reports: tuple[TaskReport, ...]


class LearnNeed(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Raise the need of a job's tasks to what one of them was seen to use."""

    job_id: str
    used: Resources


class AnnounceUpstream(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Take in or renew the description of an upstream."""

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
    """Forget an upstream that stopped renewing or has left."""

    upstream: str
    incarnation: str


class SlotChange(msgspec.Struct, frozen=True, array_like=True):
    """Slots of an upstream added to (or, negative, taken from) a holder."""

    upstream: str
    incarnation: str
    holder: str
    delta: int


class AssignSlots(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Move upstream slots between the pool and instances.

    A holder is an instance's incarnation, `name/incarnation`.
    """

    changes: tuple[SlotChange, ...]


class ClaimRequest(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Reserve an idempotency key before the request is sent.

    Attributes:
        key: Workspace, service and idempotency key of the caller, joined.
        digest: Identifies method, path and body.
        holder: The one request that may be sent: instance, incarnation and number.
        expires: Wall-clock second after which the fate of the request is unknown.
    """

    key: str
    digest: str
    holder: str
    expires: float


class RecordOutcome(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Store the outcome of a claimed request."""

    key: str
    holder: str
    outcome: Outcome


class AdvanceTime(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """End the backoffs and drop the records whose time has come."""


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
    """Return the log entry payload of some commands."""
    return _encoder.encode(commands)


def decode_commands(payload: bytes) -> tuple[Command, ...]:
    """Return the commands of a log entry payload."""
    return _decoder.decode(payload)
