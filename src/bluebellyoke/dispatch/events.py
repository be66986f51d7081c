"""Events that report the results of calls to workers to the dispatcher."""

from dataclasses import dataclass

from bluebellyoke.dispatch.ports import PaceResult, StartResult, StatusReport
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.workflow.store import RunKey

__all__ = [
    "PaceFinished",
    "PollFinished",
    "StartFinished",
    "StopFinished",
    "WorkerEvent",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEvent:
    """A call to one incarnation of a worker has ended.

    Attributes:
        term: Term of the leader that made the call.
        error: Reason why there is no response, or None.
    """

    term: int
    worker: str
    incarnation: int
    error: BluebellyokeError | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PollFinished(WorkerEvent):
    """A poll or a probe has ended.

    Attributes:
        sent_at: Monotonic time at which the call was sent.
        report: Status of the worker. If both it and `error` are None, the worker knows
            a higher fencing token.
        is_late: Whether the report arrived after the timeout of the call, which an
            earlier event has reported as unanswered.
    """

    sent_at: float
    report: StatusReport | None = None
    is_probe: bool = False
    is_late: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StartFinished(WorkerEvent):
    """A start has ended.

    Attributes:
        clock_ms: Clock of the incarnation that responded, or None if it is not known.
        sent_at: Monotonic time at which the call was sent.
    """

    key: RunKey
    result: StartResult | None = None
    clock_ms: int | None = None
    sent_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StopFinished(WorkerEvent):
    """A stop has ended.

    Attributes:
        accepted: Whether the worker accepted the stop.
    """

    key: RunKey
    accepted: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceFinished(WorkerEvent):
    """A request to pace a run has ended.

    Attributes:
        percent: Limit that was requested, in percent.
    """

    key: RunKey
    percent: int
    result: PaceResult | None = None
