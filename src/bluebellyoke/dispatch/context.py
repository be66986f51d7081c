"""State that the parts of the dispatcher share."""

from dataclasses import dataclass, field

from bluebellyoke.cell.resources import Resources
from bluebellyoke.containment import ErrorContainment
from bluebellyoke.dispatch.advice import AdviceManager
from bluebellyoke.dispatch.backlog import BacklogEstimator
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.costs import PlacementCost
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.dispatch.isolation import RecentCrashes, compute_probation
from bluebellyoke.dispatch.observers import RunObserver
from bluebellyoke.dispatch.workers import LeaseTimes, TrackedWorker
from bluebellyoke.leader.sessions import ProposalQueue
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.specs import QueueAddress, QueueSpec, StepSpec
from bluebellyoke.workflow.store import RunKey, WorkflowStore

__all__ = ["FENCES_PER_TERM", "DispatchContext"]

#: Number of fencing tokens that a leader may create in its term.
FENCES_PER_TERM = 2**20


@dataclass(slots=True)
class DispatchContext:
    """Shared state of one leader's dispatcher.

    Attributes:
        proposals: Commands for the log.
        calls: Background calls to the workers.
        times: Durations of the workers' leases.
        advice: Advice on which workers may run a step.
        recent_crashes: Crashes that suspects have caused.
        backlog: Estimate of when refused callers may retry.
        features: Optional parts that are in use.
        observers: Parts that learn from what workers report about their runs.
        costs: Costs by which the planner prefers some workers to others.
        store: Replicated state.
        workers: Workers as this leader sees them, by ID.
        fence: Fencing token of this leader.
        containment: Contains unexpected errors.
        created_fences: Number of fencing tokens that it has created for its calls.
        now: Monotonic time of the current tick or event, in seconds.
        wall_time: Wall-clock time of the same, in seconds.
        needs_planning: Whether a change that affects planning has occurred.
        due_workers: Workers to poll in the next tick, before the next round through all
            workers, in the order in which they became due.
        restartable_runs: Runs whose tasks may start again in their place, with the IDs
            of their workers. Some of them may have ended meanwhile.
    """

    proposals: ProposalQueue
    calls: WorkerCalls
    times: LeaseTimes
    advice: AdviceManager = field(default_factory=AdviceManager)
    recent_crashes: RecentCrashes = field(default_factory=RecentCrashes)
    backlog: BacklogEstimator = field(default_factory=BacklogEstimator)
    features: DispatchFeatures = field(default_factory=DispatchFeatures)
    observers: list[RunObserver] = field(default_factory=list)
    costs: list[PlacementCost] = field(default_factory=list)
    store: WorkflowStore = field(default_factory=WorkflowStore)
    workers: dict[str, TrackedWorker] = field(default_factory=dict)
    fence: int = 0
    created_fences: int = 0
    containment: ErrorContainment = field(init=False)
    now: float = 0.0
    wall_time: float = 0.0
    needs_planning: bool = True
    due_workers: dict[str, None] = field(default_factory=dict)
    restartable_runs: dict[RunKey, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.containment = ErrorContainment(
            lambda: self.now, self.metrics.record_contained_error
        )

    def create_fence(self) -> int:
        """Return a fencing token for further calls to a worker.

        Each incarnation of a worker gets one, and each run that takes the place of an
        unanswered start. A process that has seen it refuses the calls before, which
        name the same worker and may arrive late.
        """
        self.created_fences = min(self.created_fences + 1, FENCES_PER_TERM - 1)
        return self.fence * FENCES_PER_TERM + self.created_fences

    @property
    def metrics(self) -> Metrics:
        """Histograms and counters."""
        return self.calls.metrics

    def find_allocation(self, key: RunKey) -> Resources:
        """Return the resources that a run takes up on its worker."""
        return self.find_step(key).allocation

    def find_probation(self, key: RunKey) -> float:
        """Return the time for which a suspect has to run, in seconds, else 0."""
        return compute_probation(self.store.crashes.find_suspect(key[0]))

    def find_estimate(self, key: RunKey) -> float:
        """Return the expected duration of a run in seconds, or 0 if it is unknown.

        It is unknown for a run that resumes from a checkpoint.
        """
        task = self.store.workflows[key[0].workflow].find_task(key[0])
        return 0.0 if task.checkpoint else self.find_step(key).estimate_ms / 1000

    def find_queue(self, address: QueueAddress) -> QueueSpec | None:
        """Return a queue as it is configured, or was before its removal."""
        return self.store.find_last_queue(address)

    def find_run(self, key: RunKey) -> tuple[QueueAddress, StepSpec, bool] | None:
        """Return the address of a run's queue, its step, and whether it began afresh.

        Returns:
            None if the task is unknown.
        """
        name = key[0]
        workflow = self.store.workflows.get(name.workflow)
        task = workflow.find_task(name) if workflow is not None else None
        if task is None:
            return None
        step = workflow.spec.steps[name.step]
        return workflow.spec.address, step, not task.checkpoint

    def find_step(self, key: RunKey) -> StepSpec:
        """Return the step of a run whose workflow is known."""
        name = key[0]
        return self.store.workflows[name.workflow].spec.steps[name.step]
