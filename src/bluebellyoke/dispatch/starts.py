"""Planned starts, from their commit to the worker's response."""

import logging
from collections.abc import Iterable, Mapping

from msgspec.structs import astuple

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.advice import StepKey
from bluebellyoke.dispatch.calls import CALL_TIMEOUT_S, MAX_EVENT_DELAY_S
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import StartFinished
from bluebellyoke.dispatch.fair_order import FairOrder
from bluebellyoke.dispatch.incarnations import is_clock_of, is_clock_of_successor
from bluebellyoke.dispatch.open_starts import find_open_end
from bluebellyoke.dispatch.ordering import StepOrder
from bluebellyoke.dispatch.planner import Planner
from bluebellyoke.dispatch.planning_round import PlannedStart, WaitReason
from bluebellyoke.dispatch.ports import (
    NoAnswerError,
    NotReachedError,
    OtherLifeError,
    StartRequest,
    StartResult,
)
from bluebellyoke.dispatch.preemption import Preemptor
from bluebellyoke.dispatch.probes import WorkerProber
from bluebellyoke.dispatch.quota_reports import QuotaReporter
from bluebellyoke.dispatch.run_ends import RunEndRecorder
from bluebellyoke.dispatch.run_replacement import replace_run
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.waits import WaitReporter
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.store import RunKey

__all__ = ["RunStarter"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time for which a suspect worker gets no new task, in seconds.
SUSPECT_S = 0.7

#: Time after which a start without an event counts as unanswered, in seconds.
LOST_START_S = CALL_TIMEOUT_S + MAX_EVENT_DELAY_S

#: Results of a start that make the worker suspect.
_SUSPECT_RESULTS = {StartResult.UNHEALTHY, StartResult.NO_ROOM, StartResult.LATE}

#: Results by which the worker itself says that the run has not begun. The others are no
#: proof: a proxy may send 400, 421, 429 or 503 after the worker has begun the run, and
#: a worker refuses the repetition of a start as outdated once the run has ended. After
#: these, a status that does not list the run is the proof.
_NEVER_STARTED_RESULTS = {
    StartResult.LATE,
    StartResult.NO_ROOM,
    StartResult.BAD_TICKET,
}


class RunStarter:
    """Commits planned runs, then calls the workers.

    Args:
        context: Shared state of the dispatcher.
        stopper: Sends stops of runs.
        recorder: Commits ends of runs.
        prober: Sends probes.
        orders: Orders of the waiting steps.
        preemptor: Stops runs for steps that find no room, or None.

    Attributes:
        is_pending: Whether planned runs are waiting for their commit.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        stopper: RunStopper,
        recorder: RunEndRecorder,
        prober: WorkerProber,
        orders: Iterable[StepOrder] = (),
        preemptor: Preemptor | None = None,
    ) -> None:
        self._context = context
        self._stopper = stopper
        self._recorder = recorder
        self._prober = prober
        self._planner = Planner(
            context.advice,
            context.recent_crashes,
            costs=context.costs,
            orders=(*orders, FairOrder()),
            containment=context.containment,
        )
        self._preemptor = preemptor
        self._waits = WaitReporter(context.advice, context.metrics)
        self._quota_reports = QuotaReporter(context)
        self.is_pending = False

    def reset(self) -> None:
        """Forget planned runs and what is known of the store."""
        self.is_pending = False
        self._planner.reset()
        self._waits.reset()
        self._quota_reports.reset()
        self._context.restartable_runs.clear()
        if self._preemptor is not None:
            self._preemptor.clear()

    @property
    def wait_reasons(self) -> Mapping[StepKey, WaitReason]:
        """Why each step waits for which the last round started nothing."""
        return self._planner.wait_reasons

    def plan(self, now: float, wall_time: float) -> None:
        """Plan a round of starts and propose the assignment of its runs."""
        planned = self._planner.plan(
            self._context.store,
            self._context.workers,
            now,
            wall_time,
            self._context.restartable_runs,
        )
        reasons = self._planner.wait_reasons
        self._waits.check(reasons, now)
        self._quota_reports.check(reasons, now)
        if self._preemptor is not None:
            lacking = self._planner.list_lacking_room()
            self._preemptor.check(lacking, now, wall_time)
        if not planned:
            return
        self.is_pending = True
        starts = tuple(item.start for item in planned)
        for cost in self._context.costs:
            cost.record_starts(starts)
        for item in planned:
            start = item.start
            key = (start.task, start.run)
            worker = self._context.workers[start.worker]
            if item.replaced:
                worker.runs[(start.task, item.replaced)].is_restart_planned = True
                continue
            worker.add_run(
                key,
                self._context.find_allocation(key),
                RunPhase.STARTING,
                now,
                self._context.find_estimate(key),
                self._context.find_probation(key),
                has_ticket=start.has_ticket,
            )
        self._context.proposals.add(
            workflow_commands.AssignRuns(time=wall_time, starts=starts),
            lambda result: self._handle_assignment(planned, result, now, wall_time),
        )

    def _handle_assignment(
        self,
        planned: list[PlannedStart],
        result: Result,
        planned_at: float,
        wall_time: float,
    ) -> None:
        self.is_pending = False
        # After an unexpected error in its application, nothing is done.
        done_flags = result.detail.get("done", "0" * len(planned))
        for item, done in zip(planned, done_flags, strict=True):
            start = item.start
            worker = self._context.workers.get(start.worker)
            if worker is None or worker.spec.incarnation != start.incarnation:
                continue
            if item.replaced:
                replace_run(self._context, worker, item, is_done=done == "1")
            if done != "1" or not self._is_assigned(start):
                worker.drop_run((start.task, start.run))
                self._finish_if_failed(start.task.workflow)
                self._context.needs_planning = True
            elif worker.is_being_removed:
                # The removal ends the run. A start would extend the worker's lease.
                continue
            elif (start.task, start.run) not in worker.runs:
                # The check of the tracked runs adds it at the worker's next report.
                continue
            elif self._has_shrunk(worker, start) or self._is_too_late(planned_at):
                self._give_back(worker, start, wall_time)
            else:
                self._record_start_wait(start, wall_time)
                self._send_start(worker, item, planned_at)

    def _finish_if_failed(self, workflow_id: str) -> None:
        """Finish a workflow that a replaced run has shown to crash its workers."""
        workflow = self._context.store.workflows.get(workflow_id)
        if workflow is not None and workflow.outcome:
            self._recorder.finish_workflow(workflow)

    def _is_assigned(self, start: workflow_commands.RunStart) -> bool:
        """Return whether a run that was assigned has not been ended since.

        A later command of the same log entry may have removed its worker.
        """
        worker_key = (start.worker, start.incarnation)
        return (start.task, start.run) in self._context.store.runs.get(worker_key, {})

    def _has_shrunk(
        self, worker: TrackedWorker, start: workflow_commands.RunStart
    ) -> bool:
        """Return whether a planned run no longer fits on its worker."""
        allocation = self._context.find_allocation((start.task, start.run))
        is_overcommitted = not worker.allocated.fits_in(worker.spec.capacity)
        return is_overcommitted and allocation != Resources()

    def _is_too_late(self, planned_at: float) -> bool:
        """Return whether this leader may have been replaced since it planned a start.

        The lease that the start would request from then on has expired.
        """
        return self._context.now - planned_at >= self._context.times.lease_s

    def _give_back(
        self, worker: TrackedWorker, start: workflow_commands.RunStart, wall_time: float
    ) -> None:
        """End an assigned run that is not sent to its worker."""
        key = (start.task, start.run)
        now = self._context.now
        worker.set_phase(key, RunPhase.UNKNOWN, now)
        worker.runs[key].was_refused = True
        if now < find_open_end(worker, worker.runs[key], now, wall_time):
            return
        end = workflow_commands.RunEnd(*key, workflow_commands.RunOutcome.NEVER_STARTED)
        self._recorder.commit(worker, [end], wall_time)

    def _record_start_wait(
        self, start: workflow_commands.RunStart, wall_time: float
    ) -> None:
        """Record how long a workflow has waited if this is its first start."""
        name = start.task
        is_first = start.run == 1 and not (name.repetition or name.step or name.index)
        workflow = self._context.store.workflows[name.workflow]
        if is_first and not workflow.spec.repeats:
            self._context.metrics.record_workflow_start_wait(
                wall_time - workflow.submitted_at
            )

    def _send_start(
        self, worker: TrackedWorker, item: PlannedStart, planned_at: float
    ) -> None:
        """Send a start, with a lease from the time of its plan on.

        This leader certainly led then. Since, it may have been replaced, and the next
        leader waits for no lease that begins later.
        """
        start = item.start
        workflow = self._context.store.workflows[start.task.workflow]
        task = workflow.find_task(start.task)
        logger.info(
            "dispatch: starts a run",
            extra={
                "job": start.task.workflow,
                "task": [start.task.repetition, start.task.step, start.task.index],
                "run": start.run,
                "worker": start.worker,
                "takes": astuple(worker.runs[(start.task, start.run)].need),
                "free": astuple(worker.free),
            },
        )
        request = StartRequest(
            task=start.task,
            run=start.run,
            payload=workflow.spec.payload,
            deadline_ms=worker.extend_lease(planned_at, self._context.times) or 0,
            fence=worker.fence,
            checkpoint=task.checkpoint,
            ticket=item.ticket,
        )
        self._record_sending(worker, (start.task, start.run), self._context.now)
        self._context.calls.start(worker.spec, request)

    def _record_sending(self, worker: TrackedWorker, key: RunKey, now: float) -> None:
        """Record when a start was sent, which may be later than was known before."""
        run = worker.runs[key]
        run.sent_at = run.sent_by = max(run.sent_at or 0.0, now)
        worker.lease_requested_at = max(worker.lease_requested_at, now)

    def _check_incarnation(
        self, worker: TrackedWorker, event: StartFinished, now: float
    ) -> None:
        """Find out whether the worker or its next incarnation has begun a run."""
        run = worker.runs[event.key]
        if run.sent_at is None:
            return
        run.is_confirmed |= is_clock_of(worker, event.clock_ms, run.sent_at, now)
        if is_clock_of_successor(worker, event.clock_ms, run.sent_at, now):
            logger.info(
                "dispatch: the next incarnation of a worker may have begun a run",
                extra={
                    "job": event.key[0].workflow,
                    "run": event.key[1],
                    "worker": worker.spec.id,
                    "clock_ms": event.clock_ms,
                    "last_clock_ms": worker.clock_ms,
                },
            )
            worker.unanswered_start_at = now
            self._prober.request(worker)

    def give_up_lost_starts(
        self, worker: TrackedWorker, now: float, wall_time: float
    ) -> None:
        """Treat the starts on a worker whose events have been lost as unanswered."""
        lost = [
            key
            for key, run in worker.runs.items()
            if run.phase is RunPhase.STARTING
            and run.sent_at is not None
            and now - run.sent_at > LOST_START_S
        ]
        for key in lost:
            event = StartFinished(
                term=self._context.fence,
                worker=worker.spec.id,
                incarnation=worker.spec.incarnation,
                error=NoAnswerError(worker.spec.address, "event lost", timed_out=True),
                key=key,
                sent_at=now,
            )
            self.receive(worker, event, now, wall_time)

    def receive(
        self, worker: TrackedWorker, event: StartFinished, now: float, wall_time: float
    ) -> None:
        """Process the result of a start."""
        key = event.key
        if key not in worker.runs:
            return
        self._record_sending(worker, key, event.sent_at)
        if event.result is StartResult.STARTED:
            worker.set_phase(key, RunPhase.STARTED, now)
            self._check_incarnation(worker, event, now)
            if self._stopper.has_workflow_ended(key[0]):
                self._stopper.stop_run(worker, key)
            self._stopper.stop_incomplete_gangs((key[0],))
            return
        logger.info(
            "dispatch: a start failed",
            extra={
                "job": key[0].workflow,
                "task": [key[0].repetition, key[0].step, key[0].index],
                "run": key[1],
                "worker": worker.spec.id,
                "answer": event.result.value if event.result else None,
                "fault": str(event.error) if event.error else None,
            },
        )
        run = worker.runs[key]
        if event.error is not None:
            run.has_start_timed_out = getattr(event.error, "timed_out", False)
            run.was_start_closed = getattr(event.error, "closed_by_peer", False)
            worker.unanswered_start_at = now
        run.was_refused = event.result is not None or isinstance(
            event.error, (NotReachedError, OtherLifeError)
        )
        # An earlier start of the task may still be carried out.
        is_open = now < find_open_end(worker, run, now, wall_time)
        never_ran = not is_open and (
            event.result in _NEVER_STARTED_RESULTS
            or isinstance(event.error, NotReachedError)
        )
        if event.error is not None or not never_ran:
            self._prober.request(worker)
        if event.result in _SUSPECT_RESULTS:
            worker.suspect_until = max(worker.suspect_until, now + SUSPECT_S)
        step = (key[0].workflow, key[0].repetition, key[0].step)
        if event.result is StartResult.INVALID:
            self._planner.pause(step, now)
        if event.result is StartResult.BAD_TICKET:
            self._context.advice.get_step_advice(step).expire_ticket(worker.spec.key)
        worker.set_phase(key, RunPhase.UNKNOWN, now)
        if not never_ran:
            # The other tasks of its gang would wait for it until they time out.
            self._stopper.stop_incomplete_gangs((key[0],), is_state_unknown=True)
        else:
            end = workflow_commands.RunEnd(
                *key, workflow_commands.RunOutcome.NEVER_STARTED
            )
            self._recorder.commit(worker, [end], wall_time)
