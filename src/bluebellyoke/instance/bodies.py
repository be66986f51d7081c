"""Models that validate HTTP request bodies and build commands from them."""

import hashlib
from typing import Annotated, Any

import msgspec
import pydantic
from returns.result import Failure, Result, Success

from bluebellyoke.addresses import check_ip
from bluebellyoke.cell import commands
from bluebellyoke.cell.resources import Resources
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance import wire
from bluebellyoke.instance.asgi import MAX_INTEGER, parse_digits

__all__ = [
    "BadDeadlineError",
    "HeartbeatBody",
    "JobBody",
    "MalformedBodyError",
    "TicketBody",
    "UpstreamBody",
    "parse_body",
    "parse_deadline",
]

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._:-]{1,128}$")]
Amount = Annotated[int, pydantic.Field(ge=0, le=10**9)]

#: Smallest share of a workspace.
MIN_SHARE = 1e-6

#: Range of a run time other than 0, in seconds: from the precision of the clocks to
#: over 30 years.
MIN_TIME_S = 1e-6
MAX_TIME_S = 1e9


def _check_run_time(value: float) -> float:
    if 0 < value < MIN_TIME_S:
        raise ValueError(f"send at least {MIN_TIME_S} s, or 0 if it is unknown")
    return value


def _round_run_time(value: float) -> float:
    """Return a measured time; the report of a worker is not lost for it."""
    return min(value, MAX_TIME_S) if value >= MIN_TIME_S else 0.0


RunTime = Annotated[
    float,
    pydantic.Field(ge=0, le=MAX_TIME_S),
    pydantic.AfterValidator(_check_run_time),
]
MeasuredTime = Annotated[
    float, pydantic.Field(ge=0), pydantic.AfterValidator(_round_run_time)
]

#: Maximum number of characters of an invalid header that an error message shows.
MAX_SHOWN = 40

Number = Annotated[int, pydantic.Field(ge=0, le=MAX_INTEGER)]


class MalformedBodyError(BluebellyokeError):
    """A request body does not have the documented format.

    Attributes:
        errors: All errors, each preceded by its key.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors), remedy="see docs/API.md")
        self.errors = errors


class BadDeadlineError(BluebellyokeError):
    """A deadline header is not a positive whole number."""

    def __init__(self, text: bytes) -> None:
        super().__init__(
            f"Bluebellyoke-Deadline-Ms is {text[:MAX_SHOWN].decode('latin-1')!r}",
            remedy=f"send a whole number of milliseconds from 1 to {MAX_INTEGER}",
        )


class _Body(pydantic.BaseModel):
    # The leader's computations with an infinite duration have no numbers as results.
    model_config = pydantic.ConfigDict(
        extra="forbid", defer_build=True, allow_inf_nan=False
    )


class ResourcesBody(_Body):
    """Amounts of all resources."""

    cpu_millis: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0

    def build(self) -> Resources:
        """Return the amounts as the cell's type."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


class WorkspaceBody(_Body):
    """A workspace in a ticket."""

    name: Name
    share: Annotated[float, pydantic.Field(ge=MIN_SHARE, le=1e6)] = 1.0
    quota: ResourcesBody = ResourcesBody()

    def build(self) -> commands.WorkspaceSpec:
        """Return the complete specification of the workspace."""
        return commands.WorkspaceSpec(
            name=self.name, share=self.share, quota=self.quota.build()
        )


class ServiceBody(_Body):
    """A service in a ticket."""

    name: Name
    deadline_s: Annotated[float, pydantic.Field(ge=MIN_TIME_S, le=3600)] = 10.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    enabled: bool = True

    def build(self) -> commands.ServiceSpec:
        """Return the complete specification of the service."""
        return commands.ServiceSpec(
            name=self.name,
            deadline_s=self.deadline_s,
            idempotent_methods=tuple(x.upper() for x in self.idempotent_methods),
            enabled=self.enabled,
        )


class TicketBody(_Body):
    """Body of `POST /v1/tickets`."""

    number: Annotated[int, pydantic.Field(ge=1, le=2**53)]
    workspaces: tuple[WorkspaceBody, ...] = ()
    services: tuple[ServiceBody, ...] = ()
    removed_workspaces: tuple[Name, ...] = ()
    removed_services: tuple[Name, ...] = ()
    drained_workers: tuple[Name, ...] | None = None

    def build(self) -> commands.ApplyTicket:
        """Return the command that applies the ticket."""
        ticket = commands.Ticket(
            number=self.number,
            workspaces=tuple(item.build() for item in self.workspaces),
            services=tuple(item.build() for item in self.services),
            removed_workspaces=self.removed_workspaces,
            removed_services=self.removed_services,
            drained_workers=self.drained_workers,
        )
        return commands.ApplyTicket(ticket=ticket, digest=compute_digest(ticket))


class JobBody(_Body):
    """Body of `POST /v1/jobs`."""

    id: Name
    workspace: Name
    kind: commands.JobKind = commands.JobKind.BATCH
    tasks: Annotated[int, pydantic.Field(ge=1, le=20_000)] = 1
    need: ResourcesBody = ResourcesBody(cpu_millis=1000, memory_mb=256)
    payload: Annotated[str, pydantic.Field(max_length=16_384)] = ""
    idempotent: bool = False
    checkpoint: bool = False
    urgent: bool = False
    max_attempts: Annotated[int, pydantic.Field(ge=1, le=100)] = 3
    expected_s: RunTime = 0.0

    def build(self) -> commands.SubmitJob:
        """Return the command that submits the job."""
        fields = self.model_dump(exclude={"need"})
        spec = commands.JobSpec(need=self.need.build(), **fields)
        return commands.SubmitJob(spec=spec, digest=compute_digest(spec))


class UpstreamBody(_Body):
    """Body of `POST /v1/upstreams`."""

    name: Name
    incarnation: Name
    service: Name
    address: str
    port: Annotated[int, pydantic.Field(ge=1, le=65535)]
    slots: Annotated[int, pydantic.Field(ge=0, le=10_000)]
    connections: Annotated[int, pydantic.Field(ge=0, le=100_000)] = 60
    data_centre: str = ""
    leaving: bool = False
    running: dict[str, Number] | None = None

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        return check_ip(value)

    def build(self) -> commands.AnnounceUpstream:
        """Return the command that announces the upstream."""
        return commands.AnnounceUpstream(
            upstream=self.name,
            incarnation=self.incarnation,
            service=self.service,
            address=self.address,
            port=self.port,
            slots=self.slots,
            connections=self.connections,
            data_centre=self.data_centre,
            leaving=self.leaving,
        )


class RunningBody(_Body):
    """A running task in a heartbeat."""

    job: Name
    task: Number
    epoch: Annotated[int, pydantic.Field(ge=1, le=MAX_INTEGER)]
    used: ResourcesBody = ResourcesBody()


class EndedBody(RunningBody):
    """An ended task in a heartbeat."""

    outcome: commands.TaskOutcome
    ran_s: MeasuredTime = 0.0


class HeartbeatBody(_Body):
    """Body of `POST /v1/workers/heartbeat`."""

    worker: Name
    session: Name
    sequence: Number
    total: ResourcesBody
    rack: str = ""
    data_centre: str = ""
    running: tuple[RunningBody, ...] = ()
    ended: tuple[EndedBody, ...] = ()
    wait_s: Annotated[float, pydantic.Field(ge=0, le=5)] = 0.0

    def build(self) -> wire.WorkerHeartbeat:
        """Return the heartbeat as a message to the leader."""
        return wire.WorkerHeartbeat(
            worker=self.worker,
            session=self.session,
            sequence=self.sequence,
            total=self.total.build(),
            rack=self.rack,
            data_centre=self.data_centre,
            running=tuple(
                wire.RunningTask(x.job, x.task, x.epoch, x.used.build())
                for x in self.running
            ),
            ended=tuple(
                commands.TaskReport(
                    x.job, x.task, x.epoch, x.outcome, x.used.build(), x.ran_s
                )
                for x in self.ended
            ),
            wait_s=self.wait_s,
        )


def compute_digest(value: Any) -> str:
    """Return a digest of a command's content."""
    return hashlib.sha256(msgspec.msgpack.encode(value)).hexdigest()[:32]


def parse_body(model: type[_Body], data: bytes) -> Result[Any, MalformedBodyError]:
    """Return the validated body, or an error that lists all of its errors."""
    try:
        return Success(model.model_validate_json(data))
    except pydantic.ValidationError as error:
        errors = [
            f"{'.'.join(map(str, item['loc'])) or 'body'}: {item['msg']}"
            for item in error.errors()
        ]
        return Failure(MalformedBodyError(errors))


def parse_deadline(
    text: bytes | None, default_s: float, longest_s: float
) -> Result[float, BadDeadlineError]:
    """Return the time until a caller's deadline, in seconds.

    Args:
        text: Value of the header, in milliseconds, or None if it is missing.
        default_s: Time if the header is missing.
        longest_s: Longest time that the cell allows.
    """
    if text is None:
        return Success(min(default_s, longest_s))
    deadline_ms = parse_digits(text)
    if not deadline_ms:
        return Failure(BadDeadlineError(text))
    return Success(min(deadline_ms / 1000, longest_s))
