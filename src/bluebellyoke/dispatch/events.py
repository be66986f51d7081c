"""Results of calls to workers, on their way to the leader's decisions."""

from dataclasses import dataclass

from bluebellyoke.dispatch.ports import StartResult, StatusReport
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.workflow.store import RunKey

__all__ = ["PollFinished", "StartFinished", "StopFinished", "WorkerEvent"]


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEvent:
    """A call to one life of a worker has ended.

    Attributes:
        term: Term of the leader that called.
        fault: Why there is no answer, or None.
    """

    term: int
    worker: str
    incarnation: int
    error: BluebellyokeError | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PollFinished(WorkerEvent):
    """End of a hold; without report and fault, a higher fence is known there."""

    sent_at: float
    report: StatusReport | None = None
    is_probe: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StartFinished(WorkerEvent):
    """End of a start."""

    key: RunKey
    result: StartResult | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StopFinished(WorkerEvent):
    """End of a stop."""

    key: RunKey
    accepted: bool = False
