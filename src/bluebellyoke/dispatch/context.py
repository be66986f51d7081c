"""What the parts of the leader's duties share."""

from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceDuties
from bluebellyoke.dispatch.backlog import Backlog
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.members import LeaseTimes, Member
from bluebellyoke.leader.sessions import ProposalQueue
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.book import RunKey, WorkflowBook
from bluebellyoke.workflow.specs import StepSpec

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

    proposals: ProposalQueue
    calls: WorkerCalls
    times: LeaseTimes
    advice: AdviceDuties = field(default_factory=AdviceDuties)
    backlog: Backlog = field(default_factory=Backlog)
    book: WorkflowBook = field(default_factory=WorkflowBook)
    members: dict[str, Member] = field(default_factory=dict)
    fence: int = 0
    now: float = 0.0
    is_plan_wanted: bool = True
    woken: set[str] = field(default_factory=set)

    @property
    def metrics(self) -> Metrics:
        """Histograms and counters."""
        return self.calls.metrics

    def find_need(self, key: RunKey) -> Resources:
        """Return the room that a run takes."""
        step = self._find_step(key)
        return Resources() if step.fills else step.need

    def find_estimate(self, key: RunKey) -> float:
        """Return the expected length of a run in seconds, or 0 if it is unknown.

        That of a run which resumes from a checkpoint is.
        """
        task = self.book.workflows[key[0].workflow].find_task(key[0])
        return 0.0 if task.checkpoint else self._find_step(key).estimate_ms / 1000

    def _find_step(self, key: RunKey) -> StepSpec:
        name = key[0]
        return self.book.workflows[name.workflow].spec.steps[name.step]
