"""Commands of the replicated log on configurations, workflows and called workers."""

import enum

import msgspec

from bluebellyoke.cell.command import Command
from bluebellyoke.workflow.specs import (
    NO_ADDRESS,
    Configuration,
    QueueAddress,
    WorkerSpec,
    WorkflowSpec,
)

__all__ = [
    "ApplyConfiguration",
    "AssignRuns",
    "CancelWorkflow",
    "ConfirmRuns",
    "CrashEvidence",
    "CrashedRun",
    "EnrolWorker",
    "ForgetWorkflows",
    "RecordEnds",
    "RemoveWorker",
    "RunEnd",
    "RunOutcome",
    "RunStart",
    "SubmitWorkflow",
    "TaskName",
    "WorkflowCommand",
]


class TaskName(msgspec.Struct, frozen=True, array_like=True):
    """Name of a task: workflow, repetition, step and index in the step."""

    workflow: str
    repetition: int
    step: int
    index: int


class RunOutcome(enum.StrEnum):
    """How a run of a task ended.

    Attributes:
        LEASE_EXPIRED: The worker's lease expired, so the worker ended the run.
        GANG_BROKEN: The run ended because its gang was no longer complete.
        GANG_TIMED_OUT: The run timed out waiting for the other tasks of its gang.
        NEVER_STARTED: The run has never begun and can never begin.
        LOST: The worker's process has ended or its lease has expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_TIMED_OUT = "alone"
    NEVER_STARTED = "never-started"
    LOST = "lost"


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """One run of a task on one incarnation of a worker.

    Attributes:
        open_until: Wall-clock time until which an earlier start of the task may still
            be carried out by that worker, in seconds, or 0. Such a run takes the place
            of the earlier one, which it ends.
        has_ticket: Whether its start carries a ticket of the queue's advisor.
    """

    task: TaskName
    run: int
    worker: str
    incarnation: int = msgspec.field(name="born")
    open_until: float = 0.0
    has_ticket: bool = False


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a run.

    Attributes:
        checkpoint: Progress that the run has saved, or an empty text.
    """

    task: TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


class CrashEvidence(enum.StrEnum):
    """What tells that the process of a removed worker has ended.

    Attributes:
        NEXT_INCARNATION: Its next incarnation has responded or announced itself.
        REFUSALS: Its host refused connections until its lease had ended. The network
            may have done so, too.
        NONE: Nothing; its lease has ended.
    """

    NEXT_INCARNATION = "next-incarnation"
    REFUSALS = "refusals"
    NONE = "none"


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that the crash of its worker has ended.

    Attributes:
        age_ms: Upper bound of the time for which it ran, in milliseconds, or None if it
            is unknown.
        is_suspect: Whether it may have caused the crash, since it was young or had not
            outlived earlier crashes yet.
        has_begun: Whether it is known to have begun. A start that was sent to a silent
            worker may never have arrived.
        is_settled: Whether it cannot be on the next incarnation of the worker.
        is_uncertain: Whether it may not have begun all the same: its start got no
            response, or only an earlier leader may have known.
    """

    task: TaskName
    run: int
    age_ms: int | None
    is_suspect: bool
    has_begun: bool = True
    is_settled: bool = True
    is_uncertain: bool = False


class ApplyConfiguration(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Apply a configuration unless its version is at most that of the current one."""

    configuration: Configuration


class SubmitWorkflow(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Accept a workflow; resubmitting the same ID changes nothing.

    Attributes:
        credential: Digest of the caller's key or an empty text, by which access is
            decided again when the command is applied; None in older commands.
    """

    spec: WorkflowSpec
    credential: str | None = None


class CancelWorkflow(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Cancel a workflow: its runs are to be stopped and no further run starts.

    Attributes:
        queue: Name of its queue, by which older commands find it.
        credential: As in `SubmitWorkflow`.
        address: Address of its queue; older commands have none.
    """

    workflow: str
    queue: str
    credential: str | None = None
    address: QueueAddress = NO_ADDRESS


class EnrolWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Register a new incarnation of a worker or update the description of a worker."""

    spec: WorkerSpec


class RemoveWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Remove an incarnation of a worker; its runs end as lost, but for unsettled ones.

    Attributes:
        crashed_runs: Runs that its crash has ended, if it has crashed.
        evidence: What tells that it has.
        lost_runs: The same if it may have crashed. Replicas of an earlier version,
            which take each of `crashed_runs` for a run of a proved crash, ignore these.
        unsettled_runs: Tasks and numbers of runs that the next incarnation may have,
            which keep their place. Those that a crash may have ended are in one of the
            lists above as well.
        progress: Ends of the lost runs that have reported a checkpoint.
    """

    worker: str
    incarnation: int = msgspec.field(name="born")
    crashed_runs: tuple[CrashedRun, ...] = ()
    evidence: CrashEvidence = CrashEvidence.NEXT_INCARNATION
    lost_runs: tuple[CrashedRun, ...] = ()
    unsettled_runs: tuple[tuple[TaskName, int], ...] = ()
    progress: tuple[RunEnd, ...] = ()


class AssignRuns(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Assign runs to workers before the workers are called.

    The starts of a gang are next to each other and take effect all together or not at
    all.
    """

    starts: tuple[RunStart, ...]


class ConfirmRuns(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Record that incarnations of workers are known to have begun their runs.

    Such a run ends with its incarnation; the next one cannot have it.
    """

    starts: tuple[RunStart, ...]


class RecordEnds(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Record how runs ended."""

    ends: tuple[RunEnd, ...]


class ForgetWorkflows(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Drop the records of workflows that finished long ago."""

    workflows: tuple[str, ...]


WorkflowCommand = (
    ApplyConfiguration
    | SubmitWorkflow
    | CancelWorkflow
    | EnrolWorker
    | RemoveWorker
    | AssignRuns
    | ConfirmRuns
    | RecordEnds
    | ForgetWorkflows
)
