"""Records of how runs ended, and what follows from them."""

import logging
from collections.abc import Callable, Iterable

from bluebellyoke.cell.result import Result
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.members import Member, RunPhase
from bluebellyoke.dispatch.stops import Stops
from bluebellyoke.workflow import commands as wc
from bluebellyoke.workflow.book import RunKey
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["Records", "log_run_end"]

logger = logging.getLogger("bluebellyoke.dispatch")


class Records:
    """Commits ends of runs and follows the book after that.

    Args:
        context: State of the duties.
        stops: Stops of runs.
    """

    def __init__(self, context: DispatchContext, stops: Stops) -> None:
        self._context = context
        self._stops = stops

    def commit(
        self,
        member: Member,
        ends: list[wc.RunEnd],
        wall: float,
        on_commit: Callable[[], None] = lambda: None,
    ) -> None:
        """Commit ends of runs on a worker, then call `on_commit`."""

        def finish(result: Result) -> None:
            on_commit()
            self._context.backlog.note_ends(len(ends), self._context.now)
            self._after_ends(member, ends)

        for end in ends:
            self._context.metrics.note_run(end.outcome.value)
            log_run_end((end.task, end.run), member.spec.id, end.outcome.value)
        self._learn_from(member, ends)
        command = wc.RecordEnds(time=wall, ends=tuple(ends))
        self._context.proposals.add(command, finish)

    def _learn_from(self, member: Member, ends: list[wc.RunEnd]) -> None:
        for end in ends:
            if member.note_outcome(end.task.workflow, end.outcome, self._context.now):
                logger.info(
                    "dispatch: sets a worker aside",
                    extra={
                        "worker": member.spec.id,
                        "pauses": member.pauses,
                        "until_s": round(member.suspect_until - self._context.now, 3),
                        "failed": sorted(member.failed_workflows)[:5],
                    },
                )

    def _after_ends(self, member: Member, ends: Iterable[wc.RunEnd]) -> None:
        """Follow the book after ends of runs on a worker were recorded."""
        self._context.is_plan_wanted = True
        workflows: dict[str, Workflow] = {}
        for end in ends:
            workflow = self._context.book.workflows.get(end.task.workflow)
            if workflow is not None:
                workflows[end.task.workflow] = workflow
        present = self._context.book.runs.get(member.spec.key, {})
        for key in [x for x in member.runs if x not in present]:
            # A start that is planned but not committed keeps its room.
            if member.runs[key].phase is not RunPhase.CALLING:
                member.drop_run(key)
        for name, workflow in workflows.items():
            if workflow.outcome:
                self._context.advice.forget(name)
                self._log_outcome(workflow)
                self._stops.stop_over(workflow)
        self._stops.stop_incomplete_gangs(end.task for end in ends)

    def _log_outcome(self, workflow: Workflow) -> None:
        took = workflow.finished_at - workflow.submitted_at
        self._context.metrics.note_workflow(workflow.outcome, took)
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
    """Log that a run is over, however that became known."""
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
