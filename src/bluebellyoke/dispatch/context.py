"""What the parts of the leader's duties share."""

from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.backlog import BacklogEstimator
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.workers import LeaseTimes, TrackedWorker
from bluebellyoke.leader.sessions import Proposals
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import RunKey, WorkflowStore

__all__ = ["DispatchContext"]


@dataclass(slots=True)
class DispatchContext:
    """State of one leader's duties.

    Attributes:
        book: Replicated state.
        members: Workers as this leader sees them, by identity.
        fence: Fencing token of this leader.
        now: Monotonic time of the present turn, in seconds.
        is_plan_wanted: Whether something has changed that planning depends on.
        woken: Workers that are due for another call, besides those whose time comes.
    """

    proposals: Proposals
    calls: WorkerCalls
    times: LeaseTimes
    advice: AdviceManager = field(default_factory=AdviceManager)
    backlog: BacklogEstimator = field(default_factory=BacklogEstimator)
    store: WorkflowStore = field(default_factory=WorkflowStore)
    workers: dict[str, TrackedWorker] = field(default_factory=dict)
    fence: int = 0
    now: float = 0.0
    needs_planning: bool = True
    due_workers: set[str] = field(default_factory=set)

    @property
    def metrics(self) -> Metrics:
        """Histograms and counters."""
        return self.calls.metrics

    def find_need(self, key: RunKey) -> Resources:
        """Return the room that a run takes."""
        step = self._find_step(key)
        return Resources() if step.backfill else step.need

    def find_estimate(self, key: RunKey) -> float:
        """Return the expected length of a run in seconds, or 0 if it is unknown.

        That of a run which resumes from a checkpoint is.
        """
        task = self.store.workflows[key[0].workflow].find_task(key[0])
        return 0.0 if task.checkpoint else self._find_step(key).estimate_ms / 1000

    def _find_step(self, key: RunKey) -> StepSpec:
        name = key[0]
        return self.store.workflows[name.workflow].spec.steps[name.step]
