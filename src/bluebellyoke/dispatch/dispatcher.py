"""The leader's dispatch of workflows to the workers that run their tasks.

Rules:
    * A run's number and worker are committed before the worker is called.
    * An end is acknowledged to the worker only after it is committed.
    * A run of unknown outcome keeps its task and its resources until the worker lists
      it, or has accepted a stop for it and still does not list it, or the worker's
      lease has expired.
    * The next incarnation of a worker proves the end of those runs only that are known
      to have been on the former one. The others are of unknown outcome on the next one.
    * A worker gets no start before it has responded to a poll of this leader.
"""

import logging
from collections.abc import Callable, Mapping

from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.containment import CONTAINED_ERRORS, ErrorContainment
from bluebellyoke.dispatch import events
from bluebellyoke.dispatch.advice import AdviceManager, StepKey
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.confirmations import ConfirmationRecorder
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.dispatch.optional_parts import OptionalParts
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.dispatch.polls import WorkerPoller
from bluebellyoke.dispatch.probes import WorkerProber
from bluebellyoke.dispatch.record_cleanup import RecordCleaner
from bluebellyoke.dispatch.refusals import RefusalSender
from bluebellyoke.dispatch.registry import WorkerRegistry
from bluebellyoke.dispatch.run_ends import RunEndRecorder
from bluebellyoke.dispatch.starts import RunStarter
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.submissions import SubmissionHandler
from bluebellyoke.dispatch.unsettled_runs import UnsettledRunTracker
from bluebellyoke.dispatch.workers import LeaseTimes, TrackedWorker
from bluebellyoke.leader.sessions import ProposalQueue
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.configuration import validate_configuration
from bluebellyoke.workflow.specs import QueueAddress, WorkerSpec, WorkflowSpec
from bluebellyoke.workflow.store import WorkflowStore

__all__ = ["Dispatcher"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Minimum time between two rounds of planning, in seconds.
MIN_PLAN_INTERVAL_S = 0.01

#: Time after which planning runs even without a change that needs it, in seconds.
MAX_PLAN_INTERVAL_S = 0.1

#: Time between two checks of all workers for due polls, in seconds.
POLL_ROUND_INTERVAL_S = 0.02


class Dispatcher:
    """Plans runs, calls workers and records the ends of the runs.

    Args:
        proposals: Commands for the log.
        calls: Background calls to the workers.
        times: Durations of the workers' leases.
        features: Optional parts that are in use.
    """

    def __init__(
        self,
        *,
        proposals: ProposalQueue,
        calls: WorkerCalls,
        times: LeaseTimes | None = None,
        features: DispatchFeatures | None = None,
    ) -> None:
        context = DispatchContext(
            proposals,
            calls,
            times or LeaseTimes(),
            features=features or DispatchFeatures(),
        )
        self._context = context
        prober = WorkerProber(context)
        self._stopper = RunStopper(context, prober=prober)
        self._parts = OptionalParts(context, stopper=self._stopper, prober=prober)
        self._recorder = RunEndRecorder(context, self._stopper)
        self._unsettled_runs = UnsettledRunTracker(context, self._recorder)
        self._registry = WorkerRegistry(
            context, self._stopper, self._recorder, self._unsettled_runs
        )
        self._starter = RunStarter(
            context,
            stopper=self._stopper,
            recorder=self._recorder,
            prober=prober,
            orders=self._parts.orders,
            preemptor=self._parts.preemptor,
        )
        self._poller = WorkerPoller(
            context,
            stopper=self._stopper,
            recorder=self._recorder,
            registry=self._registry,
            prober=prober,
        )
        self._refusals = RefusalSender(context)
        self._submissions = SubmissionHandler(
            context, refusals=self._refusals, admission=self._parts.admission
        )
        self._confirmations = ConfirmationRecorder(context)
        self._record_cleaner = RecordCleaner(context)
        self._ticked_at = 0.0
        self._poll_round_due = 0.0
        self._plan_due = 0.0

    @property
    def advice(self) -> AdviceManager:
        """Advice on which workers may run a step."""
        return self._context.advice

    @property
    def wait_reasons(self) -> Mapping[StepKey, WaitReason]:
        """Why each step waits for which the last round started nothing."""
        return self._starter.wait_reasons

    @property
    def metrics(self) -> Metrics:
        """Histograms and counters."""
        return self._context.metrics

    @property
    def containment(self) -> ErrorContainment:
        """Contains unexpected errors, which it logs and counts."""
        return self._context.containment

    @property
    def workers(self) -> dict[str, TrackedWorker]:
        """Workers as this leader sees them, by ID."""
        return self._context.workers

    # Lifecycle.

    def activate(self, store: WorkflowStore, fence: int, now: float) -> None:
        """Start dispatching with the replicated state of a new leader.

        Args:
            store: Replicated state.
            fence: Fencing token, higher than that of any earlier leader.
            now: Monotonic time, in seconds.
        """
        self.deactivate()
        self._context.store = store
        self._context.fence = fence
        self._context.created_fences = 0
        self._context.calls.term = fence
        self.advice.activate(fence)
        self._ticked_at = self._context.now = now
        self._poll_round_due = self._plan_due = now
        self._confirmations.activate(now)
        self._record_cleaner.activate(now)
        self._registry.activate(now)
        self._parts.activate(now)

    def deactivate(self) -> None:
        """Stop dispatching and drop everything that is not in the replicated state."""
        self.advice.clear()
        self._registry.clear()
        for observer in self._context.observers:
            observer.clear()
        self._parts.clear()
        self._starter.reset()
        self._refusals.clear()
        self._submissions.clear()

    def tick(self, now: float, wall_time: float) -> None:
        """Poll workers, plan runs and drop old records as they become due."""
        self._context.metrics.record_tick_interval(now - self._ticked_at)
        self._ticked_at = self._context.now = now
        self._context.wall_time = wall_time
        contain = self._context.containment.contain
        self._poll_workers(now, wall_time)
        with contain("unsettled-runs"):
            self._unsettled_runs.tick(now, wall_time)
        with contain("confirmations"):
            self._confirmations.tick(now, wall_time)
        with contain("record-cleanup"):
            self._record_cleaner.tick(now, wall_time)
        self._parts.tick(now, wall_time)
        with contain("refusals"):
            self._refusals.send(wall_time)
        with contain("planning"):
            self._plan_if_due(now, wall_time)
        with contain("advice"):
            self.advice.tick(now)

    def _poll_workers(self, now: float, wall_time: float) -> None:
        """Send due polls: to all workers once a round, to due workers in each tick."""
        context = self._context
        names = tuple(context.due_workers)
        if now >= self._poll_round_due:
            self._poll_round_due = now + POLL_ROUND_INTERVAL_S
            names = tuple(context.workers)
        context.due_workers.clear()
        for name in names:
            worker = context.workers.get(name)
            if worker is None:
                continue
            try:
                self._poller.poll_if_due(worker, now, wall_time)
            except CONTAINED_ERRORS:
                context.containment.handle("poll", worker=name)

    def _plan_if_due(self, now: float, wall_time: float) -> None:
        due = self._plan_due
        if not self._context.needs_planning:
            due += MAX_PLAN_INTERVAL_S
        if now < due or self._starter.is_pending:
            return
        self._plan_due = now + MIN_PLAN_INTERVAL_S
        self._context.needs_planning = False
        self._starter.plan(now, wall_time)

    def request_planning(self) -> None:
        """Plan as soon as the minimum interval allows."""
        self._context.needs_planning = True

    def receive(self, event: events.WorkerEvent, now: float, wall_time: float) -> None:
        """Process the event of a call to a worker; ignore one of an earlier term."""
        self._context.now, self._context.wall_time = now, wall_time
        worker = self.workers.get(event.worker)
        if event.term != self._context.fence or worker is None:
            return
        if worker.spec.incarnation != event.incarnation:
            return
        try:
            self._process(worker, event, now, wall_time)
        except CONTAINED_ERRORS:
            kind = type(event).__name__
            self._context.containment.handle(kind, worker=event.worker)

    def _process(
        self,
        worker: TrackedWorker,
        event: events.WorkerEvent,
        now: float,
        wall_time: float,
    ) -> None:
        """Process an event; what an unexpected error leaves undone is repeated later.

        A poll, a start or a stop without an event counts as unanswered after a while.
        """
        if isinstance(event, events.PollFinished):
            self._poller.receive(worker, event, now, wall_time)
            self._starter.give_up_lost_starts(worker, now, wall_time)
        elif isinstance(event, events.StartFinished):
            self._starter.receive(worker, event, now, wall_time)
        elif isinstance(event, events.StopFinished):
            self._stopper.receive(worker, event, now)
        elif self._parts.interference is not None:
            self._parts.interference.receive(worker, event, now)

    # Workers' announcements.

    def register_worker(
        self, spec: WorkerSpec, wall_time: float, reply: Callable[[Result], None]
    ) -> None:
        """Register a worker or its new description; reply once it is committed."""
        self._registry.register(spec, wall_time, reply)

    def mark_leaving(self, worker_id: str) -> None:
        """Record that a worker has announced that it ends."""
        self._registry.mark_leaving(worker_id)

    # Callers and operators.

    def change_configuration(
        self,
        command: workflow_commands.ApplyConfiguration,
        wall_time: float,
        reply: Callable[[Result], None],
    ) -> None:
        """Apply a configuration, or refuse an invalid one."""
        errors = validate_configuration(command.configuration)
        version = command.configuration.version
        if errors:
            logger.info(
                "dispatch: refused a configuration",
                extra={"version": version, "faults": errors},
            )
            reply(refuse("malformed", "; ".join(errors)))
            return

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: handled a configuration",
                extra={"version": version, "code": result.code},
            )
            self._context.needs_planning = True
            reply(result)

        self._context.proposals.add(
            workflow_commands.ApplyConfiguration(
                time=wall_time, configuration=command.configuration
            ),
            finish,
        )

    def submit(
        self,
        command: workflow_commands.SubmitWorkflow,
        wall_time: float,
        reply: Callable[[Result], None],
    ) -> None:
        """Accept a workflow; advice on its first steps is requested meanwhile."""
        self._submissions.submit(command, wall_time, reply)

    def is_submitting(self, workflow_id: str) -> bool:
        """Return whether a submission of a workflow waits for its commit."""
        return self._submissions.is_submitting(workflow_id)

    def estimate_wait(self, spec: WorkflowSpec) -> float:
        """Return the time until a workflow's tasks can be accepted, in seconds."""
        return self._submissions.estimate_wait(spec)

    def cancel(
        self,
        command: workflow_commands.CancelWorkflow,
        wall_time: float,
        reply: Callable[[Result], None],
    ) -> None:
        """Cancel a workflow and stop its runs."""

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: cancels a workflow",
                extra={"job": command.workflow, "code": result.code},
            )
            if result.accepted:
                self.advice.drop_workflow(command.workflow)
                self._stopper.stop_workflow_runs(
                    self._context.store.workflows.get(command.workflow)
                )
            reply(result)

        self._context.proposals.add(
            workflow_commands.CancelWorkflow(
                time=wall_time,
                workflow=command.workflow,
                queue=command.queue,
                credential=command.credential,
                address=command.address,
            ),
            finish,
        )

    def count_waiting(self, address: QueueAddress) -> int:
        """Return the number of a queue's accepted workflows without a started task."""
        return sum(
            workflow.spec.address == address
            and not workflow.has_started
            and not workflow.outcome
            for workflow in self._context.store.active.values()
        )
