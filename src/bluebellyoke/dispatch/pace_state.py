"""State of one worker whose backfill runs may have to be slowed down."""

from dataclasses import dataclass, field

from bluebellyoke.dispatch.pace_orders import PacedRun
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.store import RunKey

__all__ = ["RAISE_INTERVAL_S", "SETTLE_S", "PROBE_RATIO", "Tail", "WorkerPacing"]

#: Tail latency as a share of its target from which the worker is probed more often.
PROBE_RATIO = 0.8

#: Time between two increases on a worker, in seconds. It doubles if an increase is soon
#: followed by a reduction.
RAISE_INTERVAL_S = 1.0

#: Time after an order from which a report shows its effect, in seconds: the order takes
#: effect after 0.1 s, and a report covers the last 0.5 s.
SETTLE_S = 0.65


@dataclass(frozen=True, slots=True)
class Tail:
    """Tail latency of a long-running task.

    Attributes:
        tail_ms: Reported latency, in milliseconds.
        target_ms: Target of the latency, in milliseconds.
        image: Image of the task.
    """

    tail_ms: int
    target_ms: float
    image: str

    @property
    def ratio(self) -> float:
        """Latency as a share of the target."""
        return self.tail_ms / self.target_ms


@dataclass(slots=True)
class WorkerPacing:
    """Tails and limits on one incarnation of a worker. All times are monotonic.

    Attributes:
        tails: Latest tail latency of each long-running task that has a target.
        runs: Backfill runs.
        has_report: Whether a report has arrived that no decision has used yet.
        ratio: Worst tail latency in the latest report, as a share of its target.
        over_since: Time of the first report over a target, or None while there is none.
        changed_at: Time of the latest change of a limit.
        raised_at: Time of the latest increase.
        raise_due: Time from which the next increase is allowed.
        raise_interval_s: Time between two increases.
        stopped_at: Time of the latest stop of a run that had confirmed a pace of 0.
        has_own_load: Whether a task is over its target with all backfill runs paused.
        accounted_at: Time up to which the work not done has been counted.
    """

    worker: TrackedWorker
    tails: dict[RunKey, Tail] = field(default_factory=dict)
    runs: dict[RunKey, PacedRun] = field(default_factory=dict)
    has_report: bool = False
    ratio: float = 0.0
    over_since: float | None = None
    changed_at: float = float("-inf")
    raised_at: float = float("-inf")
    raise_due: float = 0.0
    raise_interval_s: float = RAISE_INTERVAL_S
    stopped_at: float = float("-inf")
    has_own_load: bool = False
    accounted_at: float = 0.0

    @property
    def needs_checks(self) -> bool:
        """Whether it has to be checked between two reports."""
        return any(not x.is_settled or x.is_limited for x in self.runs.values()) or (
            bool(self.runs) and self.ratio >= PROBE_RATIO
        )

    def find_worst(self) -> Tail | None:
        """Return the latency that is highest as a share of its target, if any."""
        return max(self.tails.values(), key=lambda x: x.ratio, default=None)

    def drop_ended_runs(self) -> None:
        """Forget the runs that the worker does not have any longer."""
        for items in (self.tails, self.runs):
            for key in [x for x in items if x not in self.worker.runs]:
                del items[key]

    def describe(self, paced: PacedRun, worst: Tail | None) -> dict:
        """Return the fields of a log line on a run, with the decision's evidence."""
        task, number = paced.key
        fields = {
            "job": task.workflow,
            "task": [task.repetition, task.step, task.index],
            "run": number,
            "worker": self.worker.spec.id,
        }
        if worst is not None:
            fields |= {
                "image": worst.image,
                "tail_ms": worst.tail_ms,
                "target_ms": worst.target_ms,
            }
        return fields
