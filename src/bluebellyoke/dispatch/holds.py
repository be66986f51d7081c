"""Holds: renewal of workers' leases, and comparison of their lists with the book."""

import logging

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import HoldFinished
from bluebellyoke.dispatch.looks import Looks
from bluebellyoke.dispatch.members import Member, RunPhase
from bluebellyoke.dispatch.ports import (
    HoldOrder,
    HoldReport,
    NoAnswerError,
    NotReachedError,
    OtherLifeError,
)
from bluebellyoke.dispatch.records import Records
from bluebellyoke.dispatch.roster import Roster
from bluebellyoke.dispatch.stops import Stops
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.book import RunKey

__all__ = ["Holds"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time for which a worker may keep the answer to a hold, in milliseconds.
HOLD_WAIT_MS = 1000

#: Wait before a hold is repeated after a failure, in seconds.
HOLD_RETRY_S = 0.1
HOLD_RETRY_MAX_S = 0.5

#: Refused connections in a row after which a worker's process is known to be gone.
REFUSALS_OF_THE_DEAD = 2

#: Time after which a stop without effect is repeated, in seconds. It is shorter than
#: the time for its answer, so that the look after that repeats it.
STOP_REPEAT_S = 0.3


class Holds:
    """Keeps one hold under way at each worker.

    Args:
        context: State of the duties.
        stops: Stops of runs.
        records: Records of ends.
        roster: Members.
        looks: Requests for the workers' lists.
    """

    def __init__(
        self,
        context: DispatchContext,
        *,
        stops: Stops,
        records: Records,
        roster: Roster,
        looks: Looks,
    ) -> None:
        self._context = context
        self._stops = stops
        self._records = records
        self._roster = roster
        self._looks = looks

    def look_after(self, member: Member, now: float) -> None:
        """Send the next hold if it is due; give up a worker whose lease has ended."""
        if not member.is_holding and now >= member.hold_due:
            self._send_hold(member, now)
        elif now >= member.look_due:
            if member.is_overdue(now):
                self._looks.request(member)
            member.set_look_due(now)
        silent = now - member.heard_at > HOLD_WAIT_MS / 1000
        if silent and member.failures and member.has_lapsed(now, self._context.times):
            self._roster.remove(member, "its lease has ended without an answer")

    def _send_hold(self, member: Member, now: float) -> None:
        """Send a hold; one to a worker that did not answer the last renews nothing.

        Otherwise the leader could never be sure that the lease of a lost worker ends.
        """
        member.is_holding = True
        deadline_ms = None
        if not member.failures:
            deadline_ms = member.promise(now, self._context.times)
        waits = member.is_held and not any(
            run.phase in (RunPhase.UNSURE, RunPhase.BARRED)
            for run in member.runs.values()
        )
        order = HoldOrder(
            deadline_ms=deadline_ms,
            fence=self._context.fence,
            seen=member.seen,
            wait_ms=HOLD_WAIT_MS if waits else 0,
        )
        self._context.calls.hold(member.spec, order)

    def receive(
        self, member: Member, event: HoldFinished, now: float, wall: float
    ) -> None:
        """Compare a worker's lists with the book."""
        report = event.report
        if report is None:
            self._note_end(member, event)
            if not event.is_look:
                self._on_failed_hold(member, event, now)
            return
        if report.born and report.born != member.spec.born:
            self._roster.remove(member, "another life answers")
            return
        if member.failures or not member.is_held or member.is_doubted:
            logger.info(
                "dispatch: reached a worker",
                extra={"worker": member.spec.id, "failures": member.failures},
            )
            self._context.is_plan_wanted = True
        member.failures = 0
        member.is_held = True
        member.heard_at = now
        member.note_clock(report.clock_ms, now)
        self._compare_running(member, report, now)
        member.set_look_due(now)
        self._note_stall(member, report, now)
        ends = self._find_ends(member, report)
        if report.complete:
            ends += self._settle_absent(member, report, event.sent_at, now)
        last = max((end.number for end in report.ended), default=member.seen)
        self._record_ends(member, ends, last, event, wall)

    def _note_stall(self, member: Member, report: HoldReport, now: float) -> None:
        listed = {(item.task, item.run) for item in report.running}
        if not member.note_stall(listed, now):
            return
        self._context.is_plan_wanted = True
        logger.info(
            "dispatch: a worker stands still"
            if member.is_stalled
            else "dispatch: a worker goes on",
            extra={"worker": member.spec.id, "runs": len(member.runs)},
        )

    def _note_end(self, member: Member, event: HoldFinished) -> None:
        """Note that the next hold or look may be sent."""
        if event.is_look:
            member.is_looking = False
        else:
            member.is_holding = False
            member.hold_due = self._context.now
            self._context.woken.add(member.spec.id)

    def _on_failed_hold(self, member: Member, event: HoldFinished, now: float) -> None:
        if isinstance(event.fault, NoAnswerError) and member.heard_at > event.sent_at:
            # It answered a look meanwhile, so only this call was lost.
            return
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
            self._roster.remove(member, "another worker answers at its address")
        elif isinstance(fault, NotReachedError) and fault.refused:
            gone = member.failures >= REFUSALS_OF_THE_DEAD or member.has_left
            if gone:
                self._roster.remove(member, "its process is gone")

    def _compare_running(self, member: Member, report: HoldReport, now: float) -> None:
        """Take note of what runs, and stop what should not."""
        foreign: dict[RunKey, float] = {}
        for running in report.running:
            key = (running.task, running.run)
            run = member.runs.get(key)
            if run is None:
                foreign[key] = member.foreign.get(key, 0.0)
                continue
            run.note_progress(running.percent, now)
            if run.phase in (RunPhase.UNSURE, RunPhase.BARRED, RunPhase.BARRING):
                member.set_phase(key, RunPhase.STARTED, now)
                self._stops.stop_incomplete_gangs((running.task,))
            is_stuck = (
                run.phase is RunPhase.STOPPING and now - run.since > STOP_REPEAT_S
            )
            if is_stuck or (
                run.phase is RunPhase.STARTED and self._stops.is_over(running.task)
            ):
                self._stops.stop_run(member, key)
        member.foreign = foreign
        self._stop_foreign(member, now)

    def _stop_foreign(self, member: Member, now: float) -> None:
        """Stop runs that are not assigned to the worker, again after a while."""
        for key, asked_at in member.foreign.items():
            if now - asked_at <= STOP_REPEAT_S:
                continue
            member.foreign[key] = now
            logger.info(
                "dispatch: stops a run that is not assigned",
                extra={
                    "job": key[0].workflow,
                    "task": [key[0].repetition, key[0].step, key[0].index],
                    "run": key[1],
                    "worker": member.spec.id,
                },
            )
            self._stops.send_stop(member, key)

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
                self._stops.send_stop(member, key)
        return ends

    def _record_ends(
        self,
        member: Member,
        ends: list[wc.RunEnd],
        last: int,
        event: HoldFinished,
        wall: float,
    ) -> None:
        """Commit ends, and only then acknowledge them by the next hold."""

        def acknowledge() -> None:
            member.seen = max(member.seen, last)
            self._note_end(member, event)

        if ends:
            self._records.commit(member, ends, wall, acknowledge)
        else:
            acknowledge()
