"""What the parts of the leader's duties share."""

from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice import AdviceDuties
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.members import LeaseTimes, Member
from bluebellyoke.leader.sessions import Proposals
from bluebellyoke.workflow.book import RunKey, WorkflowBook

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
    """

    proposals: Proposals
    calls: WorkerCalls
    times: LeaseTimes
    advice: AdviceDuties = field(default_factory=AdviceDuties)
    book: WorkflowBook = field(default_factory=WorkflowBook)
    members: dict[str, Member] = field(default_factory=dict)
    fence: int = 0
    now: float = 0.0
    is_plan_wanted: bool = True

    def find_need(self, key: RunKey) -> Resources:
        """Return the room that a run takes."""
        name = key[0]
        step = self.book.workflows[name.workflow].spec.steps[name.step]
        return Resources() if step.fills else step.need
