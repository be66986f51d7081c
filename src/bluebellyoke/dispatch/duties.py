"""The leader's duties towards workflows and the workers that run them.

Rules:
    * A run's number and worker are committed before the worker is called.
    * An end is acknowledged to the worker only after it is committed.
    * A run of unknown fate keeps its task and its room until the worker lists it, has
      accepted a stop for it and still does not list it, or its lease has ended.
    * A worker gets nothing before it has answered a hold of this leader.
"""

import logging
from collections.abc import Callable

from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.dispatch import events as e
from bluebellyoke.dispatch.advice import AdviceDuties
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.holds import Holds
from bluebellyoke.dispatch.looks import Looks
from bluebellyoke.dispatch.members import LeaseTimes, Member
from bluebellyoke.dispatch.records import Records
from bluebellyoke.dispatch.roster import Roster
from bluebellyoke.dispatch.starts import Starts
from bluebellyoke.dispatch.stops import Stops
from bluebellyoke.leader.sessions import ProposalQueue
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.book import WorkflowBook
from bluebellyoke.workflow.configuration import find_faults
from bluebellyoke.workflow.specs import WorkerSpec, WorkflowSpec

__all__ = ["DispatchDuties"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Shortest time between two rounds of planning, in seconds.
PLAN_INTERVAL_S = 0.01

#: Longest time between two rounds of planning, in seconds.
PLAN_EVERY_S = 0.1

#: Time between two rounds through all workers, in seconds.
ROUND_EVERY_S = 0.02

#: Time for which the record of an ended workflow is kept, in seconds.
RECORD_S = 240.0

#: Time between two sweeps of old records, in seconds.
SWEEP_S = 5.0


class DispatchDuties:
    """Plans runs, calls workers and records what becomes of the runs.

    Args:
        proposals: Commands for the log.
        calls: Tasks that call the workers.
        times: Durations of the workers' leases.
    """

    def __init__(
        self,
        *,
        proposals: ProposalQueue,
        calls: WorkerCalls,
        times: LeaseTimes | None = None,
    ) -> None:
        context = DispatchContext(proposals, calls, times or LeaseTimes())
        self._context = context
        looks = Looks(context)
        self._stops = Stops(context, looks=looks)
        self._records = Records(context, self._stops)
        self._roster = Roster(context, self._stops)
        self._starts = Starts(
            context, stops=self._stops, records=self._records, looks=looks
        )
        self._holds = Holds(
            context,
            stops=self._stops,
            records=self._records,
            roster=self._roster,
            looks=looks,
        )
        self._rounds_due = 0.0
        self._plan_due = 0.0
        self._sweep_due = 0.0

    @property
    def advice(self) -> AdviceDuties:
        """What is known and wanted of the advisor."""
        return self._context.advice

    @property
    def members(self) -> dict[str, Member]:
        """Workers as this leader sees them."""
        return self._context.members

    # Life cycle.

    def begin(self, book: WorkflowBook, fence: int, now: float) -> None:
        """Start to act with the state of a new leader.

        Args:
            fence: Fencing token, higher than that of any earlier leader.
        """
        self.end()
        self._context.book = book
        self._context.fence = fence
        self._context.calls.term = fence
        self._context.now = now
        self._rounds_due = self._plan_due = self._sweep_due = now
        self._roster.follow_book(now)

    def end(self) -> None:
        """Stop to act and forget everything that is not in the state."""
        self.advice.clear()
        self._roster.clear()
        self._starts.is_pending = False

    def tick(self, now: float, wall: float) -> None:
        """Act on the passing of time."""
        self._context.now = now
        self._look_after_members(now)
        if now >= self._sweep_due:
            self._sweep_due = now + SWEEP_S
            self._forget_old(wall)
        self._plan_if_due(now, wall)
        self.advice.tick(now)

    def _look_after_members(self, now: float) -> None:
        """Send what is due: to all workers now and then, to some in each turn."""
        context = self._context
        names = tuple(context.woken)
        if now >= self._rounds_due:
            self._rounds_due = now + ROUND_EVERY_S
            names = tuple(context.members)
        context.woken.clear()
        for name in names:
            member = context.members.get(name)
            if member is not None:
                self._holds.look_after(member, now)

    def _plan_if_due(self, now: float, wall: float) -> None:
        due = self._plan_due
        if not self._context.is_plan_wanted:
            due += PLAN_EVERY_S
        if now < due or self._starts.is_pending:
            return
        self._plan_due = now + PLAN_INTERVAL_S
        self._context.is_plan_wanted = False
        self._starts.plan(now, wall)

    def plan_soon(self) -> None:
        """Plan in the next turn, since something that planning needs has come."""
        self._context.is_plan_wanted = True

    def receive(self, event: e.WorkerEvent, now: float, wall: float) -> None:
        """Act on the end of a call to a worker."""
        self._context.now = now
        member = self.members.get(event.worker)
        if event.term != self._context.fence or member is None:
            return
        if member.spec.born != event.born:
            return
        if isinstance(event, e.HoldFinished):
            self._holds.receive(member, event, now, wall)
        elif isinstance(event, e.StartFinished):
            self._starts.receive(member, event, now, wall)
        elif isinstance(event, e.StopFinished):
            self._stops.receive(member, event, now)

    # Workers' announcements.

    def announce(
        self, spec: WorkerSpec, wall: float, answer: Callable[[Result], None]
    ) -> None:
        """Take a worker's description; answer once it is known to all replicas."""
        self._roster.announce(spec, wall, answer)

    def take_leave(self, worker: str) -> None:
        """Note that a worker says that it ends now."""
        self._roster.take_leave(worker)

    # Callers and operators.

    def _forget_old(self, wall: float) -> None:
        old = [
            name
            for name, workflow in self._context.book.workflows.items()
            if workflow.outcome
            and not workflow.placed
            and wall - workflow.finished_at > RECORD_S
        ]
        if old:
            self._context.proposals.add(
                wc.ForgetWorkflows(time=wall, workflows=tuple(old))
            )

    def change_configuration(
        self,
        command: wc.ApplyConfiguration,
        wall: float,
        answer: Callable[[Result], None],
    ) -> None:
        """Put a configuration in force, or refuse an invalid one."""
        faults = find_faults(command.configuration)
        version = command.configuration.version
        if faults:
            logger.info(
                "dispatch: refuses a configuration",
                extra={"version": version, "faults": faults},
            )
            answer(refuse("malformed", "; ".join(faults)))
            return

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: took a configuration",
                extra={"version": version, "code": result.code},
            )
            self._context.is_plan_wanted = True
            answer(result)

        self._context.proposals.add(
            wc.ApplyConfiguration(time=wall, configuration=command.configuration),
            finish,
        )

    def submit(
        self,
        command: wc.SubmitWorkflow,
        wall: float,
        answer: Callable[[Result], None],
    ) -> None:
        """Take a workflow over; advice on its first steps is asked for meanwhile."""
        spec = command.spec
        if spec.id not in self._context.book.workflows:
            self._ask_early(spec, wall)

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: took a workflow",
                extra={
                    "job": spec.id,
                    "queue": spec.queue,
                    "code": result.code,
                    "tasks": [step.count for step in spec.steps],
                },
            )
            if not result.accepted:
                self.advice.forget(spec.id)
            self._context.is_plan_wanted = True
            answer(result)

        self._context.proposals.add(wc.SubmitWorkflow(time=wall, spec=spec), finish)

    def estimate_wait(self, spec: WorkflowSpec) -> float:
        """Return the time until there is room for a workflow's tasks, in seconds."""
        open_tasks = self._context.book.open_tasks
        return self._context.backlog.estimate_wait(open_tasks, spec.count_tasks())

    def _ask_early(self, spec: WorkflowSpec, wall: float) -> None:
        queue = self._context.book.find_queue_named(spec.queue)
        if queue is None or queue.advisor is None:
            return
        lives = [
            member.spec.key
            for member in self.members.values()
            if member.spec.pool == queue.pool and not member.spec.draining
        ]
        rank = (queue.priority, wall, spec.id)
        for index, step in enumerate(spec.steps):
            if not step.depends_on and not spec.repeats:
                self.advice.ask((spec.id, 0, index), lives, queue.advisor, rank)

    def cancel(
        self,
        command: wc.CancelWorkflow,
        wall: float,
        answer: Callable[[Result], None],
    ) -> None:
        """Cancel a workflow and stop its runs."""

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: cancels a workflow",
                extra={"job": command.workflow, "code": result.code},
            )
            self._stops.stop_over(self._context.book.workflows.get(command.workflow))
            answer(result)

        self._context.proposals.add(
            wc.CancelWorkflow(
                time=wall, workflow=command.workflow, queue=command.queue
            ),
            finish,
        )

    def count_waiting(self, queue: str) -> int:
        """Return the accepted workflows of a queue of which no task has started."""
        return sum(
            workflow.spec.queue == queue
            and not workflow.has_started
            and not workflow.outcome
            for workflow in self._context.book.active.values()
        )
