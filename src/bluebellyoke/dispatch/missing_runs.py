"""Assigned runs that a worker does not list: blocks, restarts in place, and ends."""

import logging

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.open_starts import find_open_end
from bluebellyoke.dispatch.ports import StatusReport
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.tracked_run import RunPhase, TrackedRun
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.commands import RunEnd, RunOutcome
from bluebellyoke.workflow.store import RunKey

__all__ = ["MissingRunResolver"]

logger = logging.getLogger("bluebellyoke.dispatch")


class MissingRunResolver:
    """Finds out what became of assigned runs that a complete report does not list.

    Args:
        context: Shared state of the dispatcher.
        stopper: Sends stops of runs.
    """

    def __init__(self, context: DispatchContext, *, stopper: RunStopper) -> None:
        self._context = context
        self._stopper = stopper

    def resolve(
        self,
        worker: TrackedWorker,
        report: StatusReport,
        *,
        sent_at: float,
        now: float,
        wall_time: float,
    ) -> list[RunEnd]:
        """Block runs, allow their restart in place, or end them.

        Args:
            sent_at: Monotonic time at which the poll was sent, in seconds.

        Returns:
            Ends of the runs that no incarnation of the worker can begin any more.
        """
        listed = {(x.task, x.run) for x in report.running}
        # A run whose end is committed may still be listed.
        listed |= {(x.task, x.run) for x in report.ended} - {
            key for key, run in worker.runs.items() if run.has_ended
        }
        busy = {x.task for x in report.running}
        ends = []
        for key, run in worker.runs.items():
            if key in listed or run.phase_since >= sent_at or run.is_restart_planned:
                continue
            if run.can_begin_later:
                self._block(worker, key, run, now)
            elif key[0] in busy:
                # An earlier start of the task was carried out late; it is stopped.
                run.is_restartable = False
            elif self._keeps_place(
                key, sent_at < find_open_end(worker, run, now, wall_time)
            ):
                self._allow_restart(worker, key, run)
            else:
                ends.append(RunEnd(*key, RunOutcome.NEVER_STARTED))
        return ends

    def _block(
        self, worker: TrackedWorker, key: RunKey, run: TrackedRun, now: float
    ) -> None:
        """Send a stop, which blocks the run in this incarnation of the worker."""
        if run.phase is RunPhase.STARTING:
            return
        run.phase = RunPhase.BLOCKING
        run.phase_since = now
        self._stopper.send_stop(worker, key)

    def _keeps_place(self, key: RunKey, is_open: bool) -> bool:
        """Return whether a task may not start elsewhere yet.

        Args:
            is_open: Whether a start of it may still be carried out by the worker.
        """
        return is_open and not self._stopper.has_workflow_ended(key[0])

    def _allow_restart(
        self, worker: TrackedWorker, key: RunKey, run: TrackedRun
    ) -> None:
        """Let the task of a run start again in its place."""
        if run.is_restartable:
            return
        run.is_restartable = True
        # It does not run, so the worker may get other tasks meanwhile.
        worker.suspects.discard(key)
        # The other tasks of its gang would wait for it until they time out.
        self._stopper.stop_incomplete_gangs((key[0],), is_state_unknown=True)
        self._context.restartable_runs[key] = worker.spec.id
        self._context.needs_planning = True
        logger.info(
            "dispatch: a task keeps its place",
            extra={
                "job": key[0].workflow,
                "task": [key[0].repetition, key[0].step, key[0].index],
                "run": key[1],
                "worker": worker.spec.id,
            },
        )
