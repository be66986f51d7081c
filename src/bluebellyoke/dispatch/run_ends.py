"""Commits of ends of runs and the actions that follow."""

import logging
from collections.abc import Callable, Iterable

from bluebellyoke.cell.result import Result
from bluebellyoke.containment import CONTAINED_ERRORS
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.stops import RunStopper
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.store import RunKey
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["RunEndRecorder", "log_run_end"]

logger = logging.getLogger("bluebellyoke.dispatch")


class RunEndRecorder:
    """Commits ends of runs and updates the dispatcher after that.

    Args:
        context: Shared state of the dispatcher.
        stopper: Sends stops of runs.
    """

    def __init__(self, context: DispatchContext, stopper: RunStopper) -> None:
        self._context = context
        self._stopper = stopper

    def commit(
        self,
        worker: TrackedWorker,
        ends: list[workflow_commands.RunEnd],
        wall_time: float,
        on_commit: Callable[[Result], None] = lambda result: None,
    ) -> None:
        """Commit ends of runs on a worker, then call `on_commit` with the result."""

        def finish(result: Result) -> None:
            on_commit(result)
            self._context.backlog.record_ended_tasks(len(ends), self._context.now)
            self._handle_committed_ends(worker, ends)

        for end in ends:
            self._context.metrics.record_run(end.outcome.value)
            log_run_end((end.task, end.run), worker.spec.id, end.outcome.value)
            self._notify_observers(worker, end)
        self._update_health(worker, ends)
        command = workflow_commands.RecordEnds(time=wall_time, ends=tuple(ends))
        self._context.proposals.add(command, finish)

    def commit_lost(
        self,
        worker_key: tuple[str, int],
        runs: Iterable[RunKey],
        wall_time: float,
        on_commit: Callable[[], None],
    ) -> None:
        """Commit the loss of runs whose worker is not enrolled, call `on_commit`."""
        ends = tuple(
            workflow_commands.RunEnd(*key, workflow_commands.RunOutcome.LOST)
            for key in runs
        )

        def finish(result: Result) -> None:
            on_commit()
            self._handle_ended_tasks(ends)

        for end in ends:
            self._context.metrics.record_run(end.outcome.value)
            log_run_end((end.task, end.run), worker_key[0], end.outcome.value)
        command = workflow_commands.RecordEnds(time=wall_time, ends=ends)
        self._context.proposals.add(command, finish)

    def _notify_observers(
        self, worker: TrackedWorker, end: workflow_commands.RunEnd
    ) -> None:
        run = worker.runs.get((end.task, end.run))
        if run is None:
            return
        now = self._context.now
        for observer in self._context.observers:
            try:
                observer.record_end(worker, (end.task, end.run), run, end.outcome, now)
            except CONTAINED_ERRORS:
                self._context.containment.handle("end", job=end.task.workflow)

    def _update_health(
        self, worker: TrackedWorker, ends: list[workflow_commands.RunEnd]
    ) -> None:
        for end in ends:
            if worker.record_outcome(end.task.workflow, end.outcome, self._context.now):
                logger.info(
                    "dispatch: sets a worker aside",
                    extra={
                        "worker": worker.spec.id,
                        "pauses": worker.quarantines,
                        "until_s": round(worker.suspect_until - self._context.now, 3),
                        "failed": sorted(worker.failed_workflows)[:5],
                    },
                )

    def _handle_committed_ends(
        self, worker: TrackedWorker, ends: Iterable[workflow_commands.RunEnd]
    ) -> None:
        """Update the worker and the workflows after ends have been committed."""
        present = self._context.store.runs.get(worker.spec.key, {})
        for key in [x for x in worker.runs if x not in present]:
            # A start that is planned but not committed keeps its resources.
            run = worker.runs[key]
            if not (run.is_planned or run.is_restart_planned):
                worker.drop_run(key)
        for end in ends:
            run = worker.runs.get((end.task, end.run))
            if run is not None:
                run.has_ended = self._context.store.run_states.has_ended(
                    (end.task, end.run)
                )
        self._handle_ended_tasks(ends)

    def _handle_ended_tasks(self, ends: Iterable[workflow_commands.RunEnd]) -> None:
        """Update the workflows of tasks whose runs have ended."""
        self._context.needs_planning = True
        workflows: dict[str, Workflow] = {}
        for end in ends:
            workflow = self._context.store.workflows.get(end.task.workflow)
            if workflow is not None:
                workflows[end.task.workflow] = workflow
        for workflow in workflows.values():
            if workflow.outcome:
                self.finish_workflow(workflow)
        self._stopper.stop_incomplete_gangs(end.task for end in ends)

    def finish_workflow(self, workflow: Workflow) -> None:
        """Log the end of a workflow, drop its advice and stop its other runs."""
        self._context.advice.drop_workflow(workflow.spec.id)
        self._log_outcome(workflow)
        self._stopper.stop_workflow_runs(workflow)

    def _log_outcome(self, workflow: Workflow) -> None:
        took = workflow.finished_at - workflow.submitted_at
        self._context.metrics.record_workflow(workflow.outcome, took)
        logger.info(
            "dispatch: a workflow ended",
            extra={
                "job": workflow.spec.id,
                "outcome": workflow.outcome,
                "reason": workflow.reason,
                "took_s": round(took, 3),
            },
        )


def log_run_end(key: RunKey, worker: str, outcome: str) -> None:
    """Log the end of a run, whether a worker reported it or the leader inferred it."""
    name, run = key
    logger.info(
        "dispatch: a run ended",
        extra={
            "job": name.workflow,
            "task": [name.repetition, name.step, name.index],
            "run": run,
            "worker": worker,
            "outcome": outcome,
        },
    )
