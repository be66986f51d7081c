"""Commands of the replicated log on configurations, workflows and called workers."""

import enum

import msgspec

from bluebellyoke.cell.command import Command
from bluebellyoke.workflow.specs import Configuration, WorkerSpec, WorkflowSpec

__all__ = [
    "ApplyConfiguration",
    "AssignRuns",
    "CancelWorkflow",
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
    """Place of a task: workflow, repetition, step and number in the step."""

    workflow: str
    repetition: int
    step: int
    index: int


class RunOutcome(enum.StrEnum):
    """How a run of a task ended.

    `NEVER_STARTED`: it provably never began and never will. `LOST`: its worker's life
    has ended, or the worker's lease ran out.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    NEVER_STARTED = "never-started"
    LOST = "lost"


class RunStart(msgspec.Struct, frozen=True, array_like=True):
    """One run of a task on one life of a worker."""

    task: TaskName
    run: int
    worker: str
    incarnation: int = msgspec.field(name="born")


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a run, with the checkpoint that it left, if any."""

    task: TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


class ApplyConfiguration(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Put a configuration in force unless the one held has its version or a higher."""

    configuration: Configuration


class SubmitWorkflow(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Take over a workflow; the same identity again changes nothing."""

    spec: WorkflowSpec


class CancelWorkflow(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Stop all tasks of a workflow and start none again."""

    workflow: str
    queue: str


class EnrolWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Take in a life of a worker, or what has changed about it."""

    spec: WorkerSpec


class RemoveWorker(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Forget a life of a worker; its runs are lost."""

    worker: str
    incarnation: int = msgspec.field(name="born")


class AssignRuns(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Number runs of tasks and tie them to workers, before the workers are called.

    The starts of a gang stand next to each other and count only all together.
    """

    starts: tuple[RunStart, ...]


class RecordEnds(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Record how runs ended."""

    ends: tuple[RunEnd, ...]


class ForgetWorkflows(Command, frozen=True, kw_only=True, array_like=True, tag=True):
    """Drop the records of workflows that ended long ago."""

    workflows: tuple[str, ...]


WorkflowCommand = (
    ApplyConfiguration
    | SubmitWorkflow
    | CancelWorkflow
    | EnrolWorker
    | RemoveWorker
    | AssignRuns
    | RecordEnds
    | ForgetWorkflows
)
