"""The leader's duties towards workflows and the workers that run them.

Rules:
    * A run's number and worker are committed before the worker is called.
    * An end is acknowledged to the worker only after it is committed.
    * A run of unknown fate keeps its task and its room until the worker lists it, has
      accepted a stop for it and still does not list it, or its lease has ended.
    * A worker gets nothing before it has answered a hold of this leader.
"""

import logging
from collections.abc import Callable, Iterable

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.result import Result, refuse
from bluebellyoke.dispatch import events as e
from bluebellyoke.dispatch.advice import AdviceDuties
from bluebellyoke.dispatch.calls import WorkerCalls
from bluebellyoke.dispatch.members import LeaseTimes, Member, RunPhase
from bluebellyoke.dispatch.planner import PlannedStart, Planner
from bluebellyoke.dispatch.ports import (
    HoldOrder,
    HoldReport,
    NotReachedError,
    OtherLifeError,
    StartAnswer,
    StartOrder,
    StopOrder,
)
from bluebellyoke.leader.sessions import Proposals
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.book import RunKey, WorkflowBook
from bluebellyoke.workflow.configuration import find_faults
from bluebellyoke.workflow.specs import WorkerSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["DispatchDuties"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time for which a worker may keep the answer to a hold, in milliseconds.
HOLD_WAIT_MS = 1000

#: Wait before a hold is repeated after a failure, in seconds.
HOLD_RETRY_S = 0.1
HOLD_RETRY_MAX_S = 0.5

#: Refused connections in a row after which a worker's process is known to be gone.
REFUSALS_OF_THE_DEAD = 2

#: Time for which a worker that was unhealthy or not reached gets no new task.
SUSPECT_S = 0.7

#: Time after which a stop without effect is repeated, in seconds.
STOP_REPEAT_S = 0.4

#: Shortest time between two rounds of planning, in seconds.
PLAN_INTERVAL_S = 0.01

#: Longest time between two rounds of planning, in seconds.
PLAN_EVERY_S = 0.1

#: Time for which the record of an ended workflow is kept, in seconds.
RECORD_S = 240.0

#: Time between two sweeps of old records, in seconds.
SWEEP_S = 5.0

#: Answers to a start that make the worker suspect.
_SUSPICIOUS = {StartAnswer.UNHEALTHY, StartAnswer.NO_ROOM, StartAnswer.LATE}


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
        proposals: Proposals,
        calls: WorkerCalls,
        times: LeaseTimes | None = None,
    ) -> None:
        self.advice = AdviceDuties()
        self.members: dict[str, Member] = {}
        self._book = WorkflowBook()
        self._proposals = proposals
        self._calls = calls
        self._times = times or LeaseTimes()
        self._planner = Planner(self.advice)
        self._fence = 0
        self._plan_due = 0.0
        self._plan_wanted = True
        self._plan_pending = False
        self._sweep_due = 0.0
        self._removing: set[tuple[str, int]] = set()
        self._now = 0.0

    # Life cycle.

    def begin(self, book: WorkflowBook, fence: int, now: float) -> None:
        """Start to act with the state of a new leader.

        Args:
            fence: Fencing token, higher than that of any earlier leader.
        """
        self.end()
        self._book = book
        self._fence = fence
        self._calls.term = fence
        self._now = now
        self._plan_due = self._sweep_due = now
        self._sync_members(now)

    def end(self) -> None:
        """Stop to act and forget everything that is not in the state."""
        self.advice.clear()
        self.members.clear()
        self._removing.clear()
        self._plan_pending = False

    def tick(self, now: float, wall: float) -> None:
        """Act on the passing of time."""
        self._now = now
        for member in list(self.members.values()):
            self._look_after(member, now)
        if now >= self._sweep_due:
            self._sweep_due = now + SWEEP_S
            self._forget_old(wall)
        due = self._plan_due if self._plan_wanted else self._plan_due + PLAN_EVERY_S
        if now >= due and not self._plan_pending:
            self._plan_due = now + PLAN_INTERVAL_S
            self._plan_wanted = False
            self._plan(now, wall)
        self.advice.tick(now)

    def plan_soon(self) -> None:
        """Plan in the next turn, since something that planning needs has come."""
        self._plan_wanted = True

    def _forget_old(self, wall: float) -> None:
        old = [
            name
            for name, workflow in self._book.workflows.items()
            if workflow.outcome
            and not workflow.placed
            and wall - workflow.finished_at > RECORD_S
        ]
        if old:
            self._proposals.add(wc.ForgetWorkflows(time=wall, workflows=tuple(old)))

    # Callers.

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
            self._plan_wanted = True
            answer(result)

        self._proposals.add(
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
        if spec.id not in self._book.workflows:
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
            self._plan_wanted = True
            answer(result)

        self._proposals.add(wc.SubmitWorkflow(time=wall, spec=spec), finish)

    def _ask_early(self, spec, wall: float) -> None:
        queue = self._book.find_queue_named(spec.queue)
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
            self._stop_over(self._book.workflows.get(command.workflow))
            answer(result)

        self._proposals.add(
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
            for workflow in self._book.active.values()
        )

    # Workers' announcements.

    def announce(
        self, spec: WorkerSpec, wall: float, answer: Callable[[Result], None]
    ) -> None:
        """Take a worker's description; answer once it is known to all replicas."""
        known = self._book.workers.get(spec.id)
        if known is not None and known.born > spec.born:
            answer(Result(accepted=True, code="overtaken"))
            return
        if known == spec or (
            known is not None and known.born == spec.born and known.draining
        ):
            answer(Result(accepted=True, code="known"))
            return

        def finish(result: Result) -> None:
            logger.info(
                "dispatch: took in a worker",
                extra={
                    "worker": spec.id,
                    "born": spec.born,
                    "draining": spec.draining,
                    "code": result.code,
                },
            )
            self._sync_members(self._now)
            answer(result)

        self._proposals.add(wc.EnrolWorker(time=wall, spec=spec), finish)

    def take_leave(self, worker: str) -> None:
        """Note that a worker says that it ends now."""
        member = self.members.get(worker)
        if member is not None:
            member.has_left = True
            member.hold_due = self._now

    def _sync_members(self, now: float) -> None:
        """Follow the workers of the book."""
        self._plan_wanted = True
        for name in [x for x in self.members if x not in self._book.workers]:
            del self.members[name]
        for name, spec in self._book.workers.items():
            member = self.members.get(name)
            if member is not None and member.spec.born == spec.born:
                member.spec = spec
                continue
            member = self.members[name] = Member(spec, now, heard_at=now)
            for key in self._book.runs.get(spec.key, ()):
                member.add_run(key, self._find_need(key), RunPhase.UNSURE, now)

    def _find_need(self, key: RunKey) -> Resources:
        name = key[0]
        step = self._book.workflows[name.workflow].spec.steps[name.step]
        return Resources() if step.fills else step.need

    def _remove(self, member: Member, reason: str) -> None:
        """Record that a worker's life has ended."""
        life = member.spec.key
        if life in self._removing:
            return
        self._removing.add(life)
        logger.info(
            "dispatch: gives up a worker",
            extra={
                "worker": life[0],
                "born": life[1],
                "reason": reason,
                "runs": len(member.runs),
                "silent_s": round(self._now - member.heard_at, 3),
            },
        )

        def finish(result: Result) -> None:
            self._removing.discard(life)
            self._sync_members(self._now)
            self._stop_incomplete_gangs(name for name, _ in member.runs)

        self._proposals.add(wc.RemoveWorker(worker=life[0], born=life[1]), finish)

    # Holds.

    def _look_after(self, member: Member, now: float) -> None:
        if not member.is_holding and now >= member.hold_due:
            self._send_hold(member, now)
        silent = now - member.heard_at > HOLD_WAIT_MS / 1000
        if silent and member.failures and member.has_lapsed(now, self._times):
            self._remove(member, "its lease has ended without an answer")

    def _send_hold(self, member: Member, now: float) -> None:
        member.is_holding = True
        waits = member.is_held and not any(
            run.phase in (RunPhase.UNSURE, RunPhase.BARRED)
            for run in member.runs.values()
        )
        order = HoldOrder(
            deadline_ms=member.promise(now, self._times),
            fence=self._fence,
            seen=member.seen,
            wait_ms=HOLD_WAIT_MS if waits else 0,
        )
        self._calls.hold(member.spec, order)

    def receive(self, event: e.WorkerEvent, now: float, wall: float) -> None:
        """Act on the end of a call to a worker."""
        self._now = now
        member = self.members.get(event.worker)
        if event.term != self._fence or member is None:
            return
        if member.spec.born != event.born:
            return
        if isinstance(event, e.HoldFinished):
            self._on_hold(member, event, now, wall)
        elif isinstance(event, e.StartFinished):
            self._on_start(member, event, now, wall)
        elif isinstance(event, e.StopFinished):
            self._on_stop(member, event, now)

    def _on_hold(
        self, member: Member, event: e.HoldFinished, now: float, wall: float
    ) -> None:
        report = event.report
        if report is None:
            member.is_holding = False
            self._on_failed_hold(member, event, now)
            return
        if report.born and report.born != member.spec.born:
            self._remove(member, "another life answers")
            return
        if member.failures or not member.is_held:
            logger.info(
                "dispatch: reached a worker",
                extra={"worker": member.spec.id, "failures": member.failures},
            )
            self._plan_wanted = True
        member.failures = 0
        member.is_held = True
        member.heard_at = now
        member.note_clock(report.clock_ms, now)
        self._compare_running(member, report, now)
        ends = self._find_ends(member, report)
        if report.complete:
            ends += self._settle_absent(member, report, event.sent_at, now)
        last = max((end.number for end in report.ended), default=member.seen)
        self._record_ends(member, ends, last, wall)

    def _on_failed_hold(
        self, member: Member, event: e.HoldFinished, now: float
    ) -> None:
        member.failures += 1
        if member.failures == 1:
            logger.info(
                "dispatch: lost a worker's answer",
                extra={"worker": member.spec.id, "fault": str(event.fault)},
            )
        pause = min(HOLD_RETRY_S * member.failures, HOLD_RETRY_MAX_S)
        member.hold_due = now + pause
        fault = event.fault
        if isinstance(fault, OtherLifeError):
            self._remove(member, "another worker answers at its address")
        elif isinstance(fault, NotReachedError) and fault.refused:
            gone = member.failures >= REFUSALS_OF_THE_DEAD or member.has_left
            if gone:
                self._remove(member, "its process is gone")

    def _compare_running(self, member: Member, report: HoldReport, now: float) -> None:
        """Take note of what runs, and stop what should not."""
        foreign: dict[RunKey, float] = {}
        for running in report.running:
            key = (running.task, running.run)
            run = member.runs.get(key)
            if run is None:
                foreign[key] = member.foreign.get(key, 0.0)
                continue
            if run.phase in (RunPhase.UNSURE, RunPhase.BARRED, RunPhase.BARRING):
                member.set_phase(key, RunPhase.STARTED, now)
                self._stop_incomplete_gangs((running.task,))
            is_stuck = (
                run.phase is RunPhase.STOPPING and now - run.since > STOP_REPEAT_S
            )
            if is_stuck or (
                run.phase is RunPhase.STARTED and self._should_stop(running.task)
            ):
                self._stop_run(member, key)
        member.foreign = foreign
        for key, asked_at in foreign.items():
            if now - asked_at > STOP_REPEAT_S:
                foreign[key] = now
                logger.info(
                    "dispatch: stops a run that is not assigned",
                    extra={
                        "job": key[0].workflow,
                        "task": [key[0].repetition, key[0].step, key[0].index],
                        "run": key[1],
                        "worker": member.spec.id,
                    },
                )
                self._send_stop(member, key)

    def _find_ends(self, member: Member, report: HoldReport) -> list[wc.RunEnd]:
        return [
            wc.RunEnd(end.task, end.run, end.outcome, end.checkpoint)
            for end in report.ended
            if (end.task, end.run) in member.runs
        ]

    def _settle_absent(
        self, member: Member, report: HoldReport, sent_at: float, now: float
    ) -> list[wc.RunEnd]:
        """Act on runs that the worker neither runs nor lists as ended."""
        listed = {(x.task, x.run) for x in report.running}
        listed |= {(x.task, x.run) for x in report.ended}
        ends = []
        for key, run in member.runs.items():
            if key in listed or run.since >= sent_at:
                continue
            if run.phase is RunPhase.BARRED:
                ends.append(wc.RunEnd(*key, wc.RunOutcome.NEVER_STARTED))
            elif run.phase is not RunPhase.CALLING:
                run.phase = RunPhase.BARRING
                run.since = now
                self._send_stop(member, key)
        return ends

    def _record_ends(
        self, member: Member, ends: list[wc.RunEnd], last: int, wall: float
    ) -> None:
        """Commit ends, and only then acknowledge them by the next hold."""
        if not ends:
            member.seen = max(member.seen, last)
            member.is_holding = False
            member.hold_due = self._now
            return

        def finish(result: Result) -> None:
            member.seen = max(member.seen, last)
            member.is_holding = False
            member.hold_due = self._now
            self._after_ends(ends)

        self._log_ends(member, ends)
        self._learn_from(member, ends)
        self._proposals.add(wc.RecordEnds(time=wall, ends=tuple(ends)), finish)

    def _learn_from(self, member: Member, ends: list[wc.RunEnd]) -> None:
        for end in ends:
            if member.note_outcome(end.task.workflow, end.outcome, self._now):
                logger.info(
                    "dispatch: sets a worker aside",
                    extra={
                        "worker": member.spec.id,
                        "pauses": member.pauses,
                        "until_s": round(member.suspect_until - self._now, 3),
                        "failed": sorted(member.failed_workflows)[:5],
                    },
                )

    def _log_ends(self, member: Member, ends: list[wc.RunEnd]) -> None:
        for end in ends:
            name = end.task
            logger.info(
                "dispatch: a run ended",
                extra={
                    "job": name.workflow,
                    "task": [name.repetition, name.step, name.index],
                    "run": end.run,
                    "worker": member.spec.id,
                    "outcome": end.outcome.value,
                },
            )

    def _after_ends(self, ends: Iterable[wc.RunEnd]) -> None:
        """Follow the book after ends were recorded."""
        self._plan_wanted = True
        workflows: dict[str, Workflow] = {}
        for end in ends:
            workflow = self._book.workflows.get(end.task.workflow)
            if workflow is not None:
                workflows[end.task.workflow] = workflow
        for member in self.members.values():
            present = self._book.runs.get(member.spec.key, {})
            for key in [x for x in member.runs if x not in present]:
                # A start that is planned but not committed keeps its room.
                if member.runs[key].phase is not RunPhase.CALLING:
                    member.drop_run(key)
        for name, workflow in workflows.items():
            if workflow.outcome:
                self.advice.forget(name)
                self._log_outcome(workflow)
                self._stop_over(workflow)
        self._stop_incomplete_gangs(end.task for end in ends)

    def _log_outcome(self, workflow: Workflow) -> None:
        logger.info(
            "dispatch: a workflow ended",
            extra={
                "job": workflow.spec.id,
                "outcome": workflow.outcome,
                "reason": workflow.reason,
                "took_s": round(workflow.finished_at - workflow.submitted_at, 3),
            },
        )

    # Planning and starts.

    def _plan(self, now: float, wall: float) -> None:
        self._planner.ask_ahead(self._book, self.members, now)
        planned = self._planner.plan(self._book, self.members, now, wall)
        if not planned:
            return
        self._plan_pending = True
        for item in planned:
            start = item.start
            key = (start.task, start.run)
            member = self.members[start.worker]
            member.add_run(key, self._find_need(key), RunPhase.CALLING, now)
        starts = tuple(item.start for item in planned)
        self._proposals.add(
            wc.AssignRuns(time=wall, starts=starts),
            lambda result: self._after_assignment(planned, result),
        )

    def _after_assignment(self, planned: list[PlannedStart], result: Result) -> None:
        self._plan_pending = False
        for item, done in zip(planned, result.detail["done"], strict=True):
            start = item.start
            member = self.members.get(start.worker)
            if member is None or member.spec.born != start.born:
                continue
            if done == "1":
                self._send_start(member, item)
            else:
                member.drop_run((start.task, start.run))
                self._plan_wanted = True

    def _send_start(self, member: Member, item: PlannedStart) -> None:
        start = item.start
        workflow = self._book.workflows[start.task.workflow]
        task = workflow.find_task(start.task)
        logger.info(
            "dispatch: starts a run",
            extra={
                "job": start.task.workflow,
                "task": [start.task.repetition, start.task.step, start.task.index],
                "run": start.run,
                "worker": start.worker,
            },
        )
        order = StartOrder(
            task=start.task,
            run=start.run,
            payload=workflow.spec.payload,
            deadline_ms=member.promise(self._now, self._times) or 0,
            fence=self._fence,
            checkpoint=task.checkpoint,
            ticket=item.ticket,
        )
        self._calls.start(member.spec, order)

    def _on_start(
        self, member: Member, event: e.StartFinished, now: float, wall: float
    ) -> None:
        key = event.key
        if key not in member.runs:
            return
        if event.answer is StartAnswer.STARTED:
            member.set_phase(key, RunPhase.STARTED, now)
            if self._should_stop(key[0]):
                self._stop_run(member, key)
            self._stop_incomplete_gangs((key[0],))
            return
        logger.info(
            "dispatch: a start failed",
            extra={
                "job": key[0].workflow,
                "task": [key[0].repetition, key[0].step, key[0].index],
                "run": key[1],
                "worker": member.spec.id,
                "answer": event.answer.value if event.answer else None,
                "fault": str(event.fault) if event.fault else None,
            },
        )
        never_ran = event.answer not in (None, StartAnswer.FENCED) or isinstance(
            event.fault, (NotReachedError, OtherLifeError)
        )
        if event.fault is not None or event.answer in _SUSPICIOUS:
            member.suspect_until = now + SUSPECT_S
        if event.answer is StartAnswer.BAD_TICKET:
            step = (key[0].workflow, key[0].repetition, key[0].step)
            self.advice.find(step).expire(member.spec.key)
        member.set_phase(key, RunPhase.UNSURE, now)
        if not never_ran:
            # The other members of its gang would wait for it in vain.
            self._stop_incomplete_gangs((key[0],), is_lost=True)
        else:
            end = wc.RunEnd(*key, wc.RunOutcome.NEVER_STARTED)
            self._proposals.add(
                wc.RecordEnds(time=wall, ends=(end,)),
                lambda result: self._after_ends((end,)),
            )

    # Stops.

    def _should_stop(self, name: wc.TaskName) -> bool:
        workflow = self._book.workflows.get(name.workflow)
        return workflow is None or bool(workflow.outcome)

    def _stop_over(self, workflow: Workflow | None) -> None:
        """Stop the runs of a workflow that has ended."""
        if workflow is None or not workflow.placed:
            return
        for name, task in workflow.iterate_placed():
            self._stop_if_started(name, task)

    def _stop_incomplete_gangs(
        self, names: Iterable[wc.TaskName], *, is_lost: bool = False
    ) -> None:
        """Stop the members of gangs of which one has ended without being done.

        Args:
            is_lost: Whether the fate of the named members is unknown, which ends
                their gangs too.
        """
        steps = {(x.workflow, x.repetition, x.step) for x in names}
        for workflow_id, repetition, step in steps:
            workflow = self._book.workflows.get(workflow_id)
            if workflow is None or not workflow.spec.steps[step].gang:
                continue
            progress = workflow.repetitions[repetition].steps[step]
            placed = [task.placed for task in progress.tasks]
            is_whole = all(placed) and not is_lost
            if progress.is_done or is_whole or not any(placed):
                continue
            for index, task in enumerate(progress.tasks):
                if task.placed:
                    name = wc.TaskName(workflow_id, repetition, step, index)
                    self._stop_if_started(name, task)

    def _stop_if_started(self, name: wc.TaskName, task) -> None:
        member = self.members.get(task.worker)
        if member is None or member.spec.born != task.born:
            return
        run = member.runs.get((name, task.run))
        if run is not None and run.phase is RunPhase.STARTED:
            self._stop_run(member, (name, task.run))

    def _stop_run(self, member: Member, key: RunKey) -> None:
        member.set_phase(key, RunPhase.STOPPING, self._now)
        self._send_stop(member, key)

    def _send_stop(self, member: Member, key: RunKey) -> None:
        order = StopOrder(task=key[0], run=key[1], fence=self._fence)
        self._calls.stop(member.spec, order)

    def _on_stop(self, member: Member, event: e.StopFinished, now: float) -> None:
        run = member.runs.get(event.key)
        if run is None or run.phase is not RunPhase.BARRING:
            return
        phase = RunPhase.BARRED if event.accepted else RunPhase.UNSURE
        member.set_phase(event.key, phase, now)
