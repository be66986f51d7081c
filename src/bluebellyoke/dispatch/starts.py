"""Planned starts, from their commit to the worker's answer."""

import logging

from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import StartFinished
from bluebellyoke.dispatch.looks import Looks
from bluebellyoke.dispatch.members import Member, RunPhase
from bluebellyoke.dispatch.planner import PlannedStart, Planner
from bluebellyoke.dispatch.ports import (
    NotReachedError,
    OtherLifeError,
    StartAnswer,
    StartOrder,
)
from bluebellyoke.dispatch.records import Records
from bluebellyoke.dispatch.stops import Stops
from bluebellyoke.workflow import commands as wc

__all__ = ["Starts"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time for which a worker that was unhealthy gets no new task, in seconds.
SUSPECT_S = 0.7

#: Answers to a start that make the worker suspect.
_SUSPICIOUS = {StartAnswer.UNHEALTHY, StartAnswer.NO_ROOM, StartAnswer.LATE}


class Starts:
    """Commits planned runs, then calls the workers.

    Args:
        context: State of the duties.
        stops: Stops of runs.
        records: Records of ends.
        looks: Requests for the workers' lists.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        stops: Stops,
        records: Records,
        looks: Looks,
    ) -> None:
        self._context = context
        self._stops = stops
        self._records = records
        self._looks = looks
        self._planner = Planner(context.advice)
        self.is_pending = False

    def plan(self, now: float, wall: float) -> None:
        """Plan a round and commit its runs."""
        self._planner.ask_ahead(self._context.book, self._context.members, now)
        planned = self._planner.plan(
            self._context.book, self._context.members, now, wall
        )
        if not planned:
            return
        self.is_pending = True
        for item in planned:
            start = item.start
            key = (start.task, start.run)
            member = self._context.members[start.worker]
            member.add_run(
                key,
                self._context.find_need(key),
                RunPhase.CALLING,
                now,
                self._context.find_estimate(key),
            )
        starts = tuple(item.start for item in planned)
        self._context.proposals.add(
            wc.AssignRuns(time=wall, starts=starts),
            lambda result: self._after_assignment(planned, result, wall),
        )

    def _after_assignment(
        self, planned: list[PlannedStart], result: Result, wall: float
    ) -> None:
        self.is_pending = False
        for item, done in zip(planned, result.detail["done"], strict=True):
            start = item.start
            member = self._context.members.get(start.worker)
            if member is None or member.spec.born != start.born:
                continue
            if done == "1":
                self._measure_wait(start, wall)
                self._send_start(member, item)
            else:
                member.drop_run((start.task, start.run))
                self._context.is_plan_wanted = True

    def _measure_wait(self, start: wc.RunStart, wall: float) -> None:
        """Measure how long a workflow waited for its first start."""
        name = start.task
        is_first = start.run == 1 and not (name.repetition or name.step or name.index)
        workflow = self._context.book.workflows[name.workflow]
        if is_first and not workflow.spec.repeats:
            self._context.metrics.note_first_start(wall - workflow.submitted_at)

    def _send_start(self, member: Member, item: PlannedStart) -> None:
        start = item.start
        workflow = self._context.book.workflows[start.task.workflow]
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
            deadline_ms=member.promise(self._context.now, self._context.times) or 0,
            fence=self._context.fence,
            checkpoint=task.checkpoint,
            ticket=item.ticket,
        )
        self._context.calls.start(member.spec, order)

    def receive(
        self, member: Member, event: StartFinished, now: float, wall: float
    ) -> None:
        """Act on the worker's answer, or on the lack of one."""
        key = event.key
        if key not in member.runs:
            return
        if event.answer is StartAnswer.STARTED:
            member.set_phase(key, RunPhase.STARTED, now)
            if self._stops.is_over(key[0]):
                self._stops.stop_run(member, key)
            self._stops.stop_incomplete_gangs((key[0],))
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
        if event.fault is not None:
            member.doubted_at = now
            self._looks.request(member)
        if event.answer in _SUSPICIOUS:
            member.suspect_until = max(member.suspect_until, now + SUSPECT_S)
        if event.answer is StartAnswer.BAD_TICKET:
            step = (key[0].workflow, key[0].repetition, key[0].step)
            self._context.advice.find(step).expire(member.spec.key)
        member.set_phase(key, RunPhase.UNSURE, now)
        if not never_ran:
            # The other members of its gang would wait for it in vain.
            self._stops.stop_incomplete_gangs((key[0],), is_lost=True)
        else:
            end = wc.RunEnd(*key, wc.RunOutcome.NEVER_STARTED)
            self._records.commit(member, [end], wall)
