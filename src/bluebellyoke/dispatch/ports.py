"""Interfaces to the workers and the advisor that the cell calls, and their answers.

Times of a worker are milliseconds of its own steady clock.
"""

import abc
import enum
from dataclasses import dataclass

from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.workflow.commands import RunOutcome, TaskName
from bluebellyoke.workflow.specs import WorkerSpec

__all__ = [
    "Advisor",
    "AdvisorBusyError",
    "EndedRun",
    "NoAnswerError",
    "NotReachedError",
    "NullWorkerClient",
    "OtherLifeError",
    "PollRequest",
    "RunningRun",
    "StartRequest",
    "StartResult",
    "StatusReport",
    "StopRequest",
    "WorkerClient",
]


class NotReachedError(BluebellyokeError):
    """No connection could be opened, so the call was not carried out.

    Attributes:
        refused: Whether the host answered that nothing listens at the address.
    """

    def __init__(self, address: str, *, refused: bool) -> None:
        super().__init__(
            f"no connection to {address}", remedy="call again, or wait for its lease"
        )
        self.refused = refused


class NoAnswerError(BluebellyokeError):
    """A call got no answer; it may have been carried out, or will be."""

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(
            f"no answer from {address}: {cause}",
            remedy="find out what was carried out before calling another worker",
        )


class OtherLifeError(BluebellyokeError):
    """Another life of the worker, or another worker, answers at the address."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"another worker answers at {address}",
            remedy="wait until the worker announces itself again",
        )


class AdvisorBusyError(BluebellyokeError):
    """The advisor has too many calls waiting or did not answer."""

    def __init__(self, cause: str) -> None:
        super().__init__(f"no advice: {cause}", remedy="ask again, or from elsewhere")


class StartResult(enum.Enum):
    """What a worker says to a start. All but `STARTED` mean that nothing ran."""

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRequest:
    """Order to start a run.

    Attributes:
        deadline_ms: End of the worker's lease.
        fence: Fencing token of the leader.
    """

    task: TaskName
    run: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRequest:
    """Order to stop a run, or to bar it if it is not there."""

    task: TaskName
    run: int
    fence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PollRequest:
    """Renewal of a worker's lease, and request for its lists.

    Attributes:
        seen: Number of the last end that is recorded.
        wait_ms: Time for which the answer may wait for an end.
        is_look: Whether it is sent beside a hold that may wait.
    """

    deadline_ms: int | None
    fence: int
    acknowledged_end: int
    wait_ms: int = 0
    is_probe: bool = False


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker lists as running.

    Attributes:
        percent: Part of its work that is done.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that a worker lists as ended.

    Attributes:
        number: Position in the worker's sequence of ends.
    """

    number: int
    task: TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Lists of a worker.

    Attributes:
        clock_ms: The worker's clock when it answered.
        born: Start of the worker's life, or 0 if it does not say.
        complete: Whether `ended` holds all ends, not only the first of them.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True


class WorkerClient(abc.ABC):
    """Calls to workers.

    All methods raise `NotReachedError`, `NoAnswerError` or `OtherLifeError`.
    """

    @abc.abstractmethod
    async def start(self, worker: WorkerSpec, request: StartRequest) -> StartResult:
        """Start a run."""

    @abc.abstractmethod
    async def stop(self, worker: WorkerSpec, request: StopRequest) -> bool:
        """Stop or bar a run; return whether the worker accepted the order."""

    @abc.abstractmethod
    async def poll(
        self, worker: WorkerSpec, request: PollRequest
    ) -> StatusReport | None:
        """Renew the lease and return the lists, or None if a higher fence is known."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class NullWorkerClient(WorkerClient):
    """Caller of a cell whose workers all call by themselves."""

    async def start(self, worker: WorkerSpec, request: StartRequest) -> StartResult:
        """Reach nobody."""
        raise NotReachedError(worker.address, refused=False)

    async def stop(self, worker: WorkerSpec, request: StopRequest) -> bool:
        """Reach nobody."""
        raise NotReachedError(worker.address, refused=False)

    async def poll(
        self, worker: WorkerSpec, request: PollRequest
    ) -> StatusReport | None:
        """Reach nobody."""
        raise NotReachedError(worker.address, refused=False)

    async def close(self) -> None:
        """Do nothing."""


class Advisor(abc.ABC):
    """Calls to the service that knows which workers may run a step."""

    @abc.abstractmethod
    async def ask(
        self, step: tuple[str, int, int], workers: tuple[str, ...]
    ) -> dict[str, str]:
        """Return a ticket for each worker that may run a step.

        Args:
            step: Workflow, repetition and number of the step.
            workers: Identities of the workers to ask about.

        Raises:
            AdvisorBusyError: There is no answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
