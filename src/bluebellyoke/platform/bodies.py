"""JSON bodies of the platform and their translation into the project's types.

The structs keep the platform's field names; unclear ones have a comment.
"""

import hashlib
from typing import Annotated

import msgspec

from bluebellyoke.addresses import AddressError, split_address
from bluebellyoke.cell.resources import Resources
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.workflow.commands import TaskName
from bluebellyoke.workflow.specs import (
    AdvisorSpec,
    Configuration,
    PoolSpec,
    QueueSpec,
    StepSpec,
    WorkerSpec,
    WorkflowSpec,
    WorkspaceSpec,
)

__all__ = [
    "DECODE_ERRORS",
    "MAX_INTEGER",
    "MIN_INTEGER",
    "Integer",
    "UnreadableBodyError",
    "decode_announcement",
    "decode_configuration",
    "decode_job",
    "decode_body",
    "format_task",
    "hash_key",
]

#: Exceptions that msgspec raises for a body that it cannot decode. Values that are
#: nested too deeply cause a RecursionError.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

#: Range of the integers that the messages between instances can carry.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1

Integer = Annotated[int, msgspec.Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]

#: Values of `Announcement.State`.
READY = "ready"
DRAINING = "draining"


class UnreadableBodyError(BluebellyokeError):
    """A body does not have the documented format."""

    def __init__(self, cause: str) -> None:
        super().__init__(f"the body cannot be read: {cause}", remedy="correct it")


class JobStep(msgspec.Struct):
    """A step of a job; the platform omits fields that are zero, false or empty."""

    Count: Integer
    Cpu: Integer = 0  # millicores
    MemMb: Integer = 0
    Gpu: Integer = 0
    EstimateMs: float = 0.0
    DependsOn: tuple[Integer, ...] = ()
    SavesProgress: bool = False
    Gang: bool = False
    SameRack: bool = False
    RequiredLabel: str = ""
    DataRack: str = ""
    MaxPerServer: Integer = 0
    Speculative: bool = False
    LongRunning: bool = False
    Image: str = ""
    TargetMs: float = 0.0
    FillCount: bool | Integer = False  # whether to backfill, not a number of tasks
    MaxUnavailable: Integer | None = None


class Job(msgspec.Struct):
    """Body of a submission to a queue."""

    TaskSpec: str
    Steps: tuple[JobStep, ...]
    RepeatCount: Integer = 0
    StartAtMs: Integer = 0
    IntervalMs: Integer = 0


class RouteAdvisor(msgspec.Struct):
    """Latencies of the advisor, and validity of its tickets."""

    DecisionMs: float = 0.0
    PerWorkerMs: float = 0.0
    ValidityMs: float = 0.0


class Route(msgspec.Struct):
    """A queue in the configuration."""

    Name: str
    Host: str
    PathPrefix: str
    Service: str
    TimeoutMs: Integer
    TargetDurationMs: float = 0.0
    Priority: Integer = 0
    Attempts: Integer = 1
    SlackFactor: float = 1.0
    Advisor: RouteAdvisor | None = None
    Public: bool = False


class Service(msgspec.Struct):
    """A pool of workers in the configuration."""

    Name: str
    EnforceCapacity: bool = False
    Standby: bool = False


class Capacity(msgspec.Struct):
    """Resources of a worker, or the most that the runs of a workspace may take up."""

    Cpu: Integer = 0
    MemMb: Integer = 0
    Gpu: Integer = 0


class Tenant(msgspec.Struct):
    """A workspace in the configuration; its `Priority` is not used."""

    Name: str
    # A list that is empty may be sent as null.
    ApiKeys: tuple[str, ...] | None = None
    Weight: float = 1.0
    Cap: Capacity | None = None


class Config(msgspec.Struct):
    """Body of a configuration change."""

    Version: Integer
    Routes: tuple[Route, ...]
    Services: tuple[Service, ...]
    Tenants: tuple[Tenant, ...] | None = None


class Announcement(msgspec.Struct):
    """Body of a worker's heartbeat."""

    Service: str
    Address: str
    Zone: str
    State: str
    Seq: Integer
    Capacity: Capacity
    Labels: tuple[str, ...] = ()
    born: Integer = 0
    CurrentTimeMs: Integer = 0  # its monotonic clock, which starts with the process


def decode_body(body: bytes, kind: type):
    """Return a body as a struct.

    Raises:
        UnreadableBodyError: The body does not have the documented format.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise UnreadableBodyError(str(error)) from error


def decode_job(body: bytes) -> WorkflowSpec:
    """Return the workflow of a job, with an empty ID and queue.

    Raises:
        UnreadableBodyError: The body does not have the documented format.
    """
    job = decode_body(body, Job)
    return WorkflowSpec(
        id="",
        queue="",
        payload=job.TaskSpec,
        steps=tuple(map(_translate_step, job.Steps)),
        repeats=job.RepeatCount,
        first_at_ms=job.StartAtMs,
        interval_ms=job.IntervalMs,
    )


def _translate_step(step: JobStep) -> StepSpec:
    return StepSpec(
        count=step.Count,
        need=Resources(step.Cpu, step.MemMb, step.Gpu),
        estimate_ms=step.EstimateMs,
        depends_on=step.DependsOn,
        gang=step.Gang,
        same_rack=step.SameRack,
        checkpoints=step.SavesProgress,
        required_label=step.RequiredLabel,
        data_rack=step.DataRack,
        max_per_worker=step.MaxPerServer,
        speculative=step.Speculative,
        long_running=step.LongRunning,
        image=step.Image,
        tail_target_ms=step.TargetMs,
        backfill=bool(step.FillCount),
        max_unavailable=-1 if step.MaxUnavailable is None else step.MaxUnavailable,
    )


def decode_configuration(body: bytes) -> Configuration:
    """Return a configuration, including the original body for reads.

    Raises:
        UnreadableBodyError: The body does not have the documented format.
    """
    config = decode_body(body, Config)
    return Configuration(
        version=config.Version,
        queues=tuple(map(_translate_route, config.Routes)),
        pools=tuple(
            PoolSpec(
                name=service.Name,
                enforces_capacity=service.EnforceCapacity,
                standby=service.Standby,
            )
            for service in config.Services
        ),
        workspaces=tuple(map(_translate_tenant, config.Tenants or ())),
        document=body,
    )


def _translate_tenant(tenant: Tenant) -> WorkspaceSpec:
    cap = tenant.Cap or Capacity()
    return WorkspaceSpec(
        name=tenant.Name,
        credentials=tuple(_hash_text(key) for key in tenant.ApiKeys or ()),
        share=tenant.Weight,
        quota=Resources(cap.Cpu, cap.MemMb, cap.Gpu),
    )


def _hash_text(key: str) -> str:
    """Return the digest of a configured key; validation refuses an empty key."""
    return hashlib.sha256(key.encode()).hexdigest()


def hash_key(key: bytes) -> str:
    """Return the SHA-256 digest of a caller's key, or an empty text without a key."""
    return hashlib.sha256(key).hexdigest() if key else ""


def _translate_route(route: Route) -> QueueSpec:
    advisor = None
    if route.Advisor is not None:
        advisor = AdvisorSpec(
            decision_ms=route.Advisor.DecisionMs,
            per_worker_ms=route.Advisor.PerWorkerMs,
            validity_ms=route.Advisor.ValidityMs,
        )
    return QueueSpec(
        name=route.Name,
        host=route.Host,
        prefix=route.PathPrefix,
        pool=route.Service,
        timeout_ms=route.TimeoutMs,
        target_ms=route.TargetDurationMs,
        slack_factor=route.SlackFactor,
        priority=route.Priority,
        attempts=route.Attempts,
        advisor=advisor,
        public=route.Public,
    )


def decode_announcement(worker: str, body: bytes) -> WorkerSpec:
    """Return the worker that a heartbeat describes.

    Raises:
        UnreadableBodyError: The body does not have the documented format.
    """
    announcement = decode_body(body, Announcement)
    if announcement.State not in (READY, DRAINING):
        raise UnreadableBodyError(f"State is neither {READY!r} nor {DRAINING!r}")
    try:
        split_address(announcement.Address)
    except AddressError as error:
        raise UnreadableBodyError(f"Address: {error.problem}") from error
    capacity = announcement.Capacity
    return WorkerSpec(
        id=worker,
        incarnation=announcement.born,
        pool=announcement.Service,
        address=announcement.Address,
        data_centre=announcement.Zone,
        capacity=Resources(capacity.Cpu, capacity.MemMb, capacity.Gpu),
        labels=announcement.Labels,
        draining=announcement.State == DRAINING,
        sequence=announcement.Seq,
        clock_ms=announcement.CurrentTimeMs,
    )


def format_task(name: TaskName) -> str:
    """Format a task name in the platform's format."""
    return f"{name.workflow}.{name.repetition}.{name.step}.{name.index}"
