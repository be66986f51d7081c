"""Interfaces to the workers and the advisor, with the requests and responses.

Times of a worker are in milliseconds of its own monotonic clock.
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
    "PaceRequest",
    "PaceResult",
    "PollRequest",
    "RunningRun",
    "StartReply",
    "StartRequest",
    "StartResult",
    "StatusReport",
    "StopRequest",
    "WorkerClient",
]


class NotReachedError(BluebellyokeError):
    """No connection could be opened, so the call was not carried out.

    Attributes:
        refused: Whether the connection was refused. A network, or a proxy on the way,
            may do so while the process runs on.
    """

    def __init__(self, address: str, *, refused: bool) -> None:
        super().__init__(
            f"no connection to {address}",
            remedy="call again, or wait until its lease expires",
        )
        self.refused = refused


class NoAnswerError(BluebellyokeError):
    """A call got no usable response; it may have been carried out or still will be.

    Attributes:
        timed_out: Whether the connection stayed open, but nothing arrived in time.
        closed_by_peer: Whether the peer closed the connection in order, as the end of
            its process does. The network can only reset it.
    """

    def __init__(
        self,
        address: str,
        cause: str,
        *,
        timed_out: bool = False,
        closed_by_peer: bool = False,
    ) -> None:
        super().__init__(
            f"no answer from {address}: {cause}",
            remedy="check whether the call was carried out before using another worker",
        )
        self.timed_out = timed_out
        self.closed_by_peer = closed_by_peer


class OtherLifeError(BluebellyokeError):
    """Another incarnation of the worker, or another worker, responds at the address."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"another worker responds at {address}",
            remedy="wait until the worker announces itself again",
        )


class AdvisorBusyError(BluebellyokeError):
    """The advisor is overloaded or did not respond."""

    def __init__(self, cause: str) -> None:
        super().__init__(f"no advice: {cause}", remedy="retry, or use another instance")


class StartResult(enum.Enum):
    """A response to a start.

    Only `LATE`, `NO_ROOM` and `BAD_TICKET` prove that the run has not begun.

    Attributes:
        FENCED: The worker knows a higher fencing token.
        OUTDATED: The worker knows this run or a later one of the task as ended or
            blocked. It may have ended as done, after the first of two equal starts.
        LATE: The requested lease deadline has passed.
        NO_ROOM: The worker has too few free resources.
        BAD_TICKET: The worker does not accept the advisor's ticket.
        UNHEALTHY: The worker cannot start runs at present, or a proxy has responded.
        INVALID: The worker or a proxy refused the request as malformed.
    """

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StartReply:
    """A worker's response to a start.

    Attributes:
        clock_ms: The worker's clock when it responded, or None if it is not reported.
            The response does not name the incarnation, but its clock may show it.
    """

    result: StartResult
    clock_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRequest:
    """Request to start a run.

    Attributes:
        payload: Opaque text for the task.
        deadline_ms: End of the worker's lease.
        fence: Fencing token of the leader.
        checkpoint: Saved progress to resume from, or an empty text.
        ticket: Ticket of the advisor, or an empty text.
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
    """Request to stop a run, or to block its start if the worker does not have it."""

    task: TaskName
    run: int
    fence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceRequest:
    """Request to limit the progress of a run and the interference that it causes.

    Attributes:
        percent: Limit from 0 to 100, in percent; a run starts with 100.
        fence: Fencing token of the leader.
    """

    task: TaskName
    run: int
    percent: int
    fence: int


class PaceResult(enum.Enum):
    """A worker's response to a request to pace a run.

    Attributes:
        PACED: The limit is in force shortly after the response.
        FENCED: The worker knows a higher fencing token.
        OUTDATED: The worker knows the run as ended or knows a later run of the task.
    """

    PACED = "paced"
    FENCED = "fenced"
    OUTDATED = "outdated"


@dataclass(frozen=True, slots=True, kw_only=True)
class PollRequest:
    """Request to renew a worker's lease and to report its runs.

    Attributes:
        deadline_ms: End of the lease, or None to leave the lease as it is.
        fence: Fencing token of the leader.
        acknowledged_end: Sequence number of the last end that is committed.
        wait_ms: Time for which the worker may delay its response until a run ends.
        is_probe: Whether it is sent in addition to a poll that may be in flight.
        is_retry: Whether the last poll got no response.
    """

    deadline_ms: int | None
    fence: int
    acknowledged_end: int
    wait_ms: int = 0
    is_probe: bool = False
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker lists as running.

    Attributes:
        checkpoint: Latest saved progress, or an empty text.
        percent: Share of its work that is done, in percent.
        load: Tail latency of a long-running task in milliseconds, or the CPU time in
            use of any other in thousandths of a core; 0 if it is not reported.
    """

    task: TaskName
    run: int
    checkpoint: str
    percent: int = 0
    load: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that a worker lists as ended.

    Attributes:
        number: Sequence number among the worker's ends.
    """

    number: int
    task: TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Status of a worker.

    Attributes:
        clock_ms: The worker's clock when it responded.
        incarnation: Incarnation of the worker, or 0 if it does not report one.
        running: Runs that are running.
        ended: Ends that are not acknowledged yet, oldest first.
        complete: Whether `running` and `ended` hold all runs of the worker and all of
            these ends, not only the first of them.
        unreadable_rows: Number of runs and ends that could not be read.
        acknowledgeable_end: Highest number of an end that may be acknowledged, or None
            if all may be.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    complete: bool = True
    unreadable_rows: int = 0
    acknowledgeable_end: int | None = None


class WorkerClient(abc.ABC):
    """Client of the workers.

    Raises:
        NotReachedError: By all calls, if no connection could be opened.
        NoAnswerError: By all calls, if there was no response or an undocumented one.
        OtherLifeError: By all calls, if another worker or incarnation responded.
    """

    @abc.abstractmethod
    async def start(self, worker: WorkerSpec, request: StartRequest) -> StartReply:
        """Start a run."""

    @abc.abstractmethod
    async def stop(self, worker: WorkerSpec, request: StopRequest) -> bool:
        """Stop or block a run; return whether the worker accepted the request."""

    @abc.abstractmethod
    async def pace(self, worker: WorkerSpec, request: PaceRequest) -> PaceResult:
        """Limit the progress of a run."""

    @abc.abstractmethod
    async def poll(
        self, worker: WorkerSpec, request: PollRequest
    ) -> StatusReport | None:
        """Renew the lease and return the worker's status.

        Returns:
            The status, or None if the worker knows a higher fencing token.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class NullWorkerClient(WorkerClient):
    """Client for a cell without workers that the leader calls; every call fails."""

    async def start(self, worker: WorkerSpec, request: StartRequest) -> StartReply:
        """Raise `NotReachedError`."""
        raise NotReachedError(worker.address, refused=False)

    async def stop(self, worker: WorkerSpec, request: StopRequest) -> bool:
        """Raise `NotReachedError`."""
        raise NotReachedError(worker.address, refused=False)

    async def pace(self, worker: WorkerSpec, request: PaceRequest) -> PaceResult:
        """Raise `NotReachedError`."""
        raise NotReachedError(worker.address, refused=False)

    async def poll(
        self, worker: WorkerSpec, request: PollRequest
    ) -> StatusReport | None:
        """Raise `NotReachedError`."""
        raise NotReachedError(worker.address, refused=False)

    async def close(self) -> None:
        """Do nothing."""


class Advisor(abc.ABC):
    """Client of the service that decides which workers may run a step."""

    @abc.abstractmethod
    async def request_tickets(
        self, step: tuple[str, int, int], workers: tuple[str, ...]
    ) -> dict[str, str]:
        """Return a ticket for each worker that may run a step.

        Args:
            step: Workflow, repetition and index of the step.
            workers: IDs of the workers to evaluate.

        Raises:
            AdvisorBusyError: The advisor is overloaded or did not respond.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
