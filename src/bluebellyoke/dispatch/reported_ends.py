"""Ends of runs in a worker's status that count, and how far they are acknowledged."""

from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.ports import EndedRun, StatusReport
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.store import RunKey

__all__ = [
    "collect_ends",
    "collect_late_ends",
    "find_contradictory_runs",
    "find_due_acknowledgement",
    "find_last_end",
]

#: Maximum difference between the numbers of two ends that a worker lists one after the
#: other. A row with a higher one is not acknowledged.
MAX_END_NUMBER_JUMP = 10**6

#: Phases of runs that the worker is not known to have.
_MISSING_PHASES = (RunPhase.UNKNOWN, RunPhase.BLOCKING, RunPhase.BLOCKED)


def collect_ends(
    worker: TrackedWorker, report: StatusReport
) -> list[workflow_commands.RunEnd]:
    """Return the ends of the worker's tracked runs."""
    return [
        workflow_commands.RunEnd(end.task, end.run, end.outcome, end.checkpoint)
        for end in _list_credible_ends(report)
        if (end.task, end.run) in worker.runs
    ]


def collect_late_ends(
    context: DispatchContext, worker: TrackedWorker, report: StatusReport
) -> list[workflow_commands.RunEnd]:
    """Return the ends of tasks that an earlier start has done, carried out late.

    Each is reported as that of the tracked run, which has not begun.
    """
    done = {
        end.task: end
        for end in _list_credible_ends(report)
        if end.outcome is workflow_commands.RunOutcome.DONE
    }
    found = []
    for (task, number), run in worker.runs.items():
        end = done.get(task)
        if end is None or end.run >= number or run.phase not in _MISSING_PHASES:
            continue
        if not context.find_step((task, number)).long_running:
            found.append(
                workflow_commands.RunEnd(task, number, end.outcome, end.checkpoint)
            )
    return found


def _list_credible_ends(report: StatusReport) -> list[EndedRun]:
    """Return the ends of the runs that the same status does not list as running."""
    contradictory = find_contradictory_runs(report)
    return [end for end in report.ended if (end.task, end.run) not in contradictory]


def find_contradictory_runs(report: StatusReport) -> set[RunKey]:
    """Return the runs that a status lists as running and as ended."""
    running = {(item.task, item.run) for item in report.running}
    return running & {(end.task, end.run) for end in report.ended}


def find_last_end(worker: TrackedWorker, report: StatusReport) -> int:
    """Return the number of the last end that may be acknowledged once it is committed.

    A number far above the others is no worker's. If it were acknowledged, the worker
    would forget its next ends before they are read. An end of a run that is listed as
    running is not acknowledged either, nor are those after it.
    """
    credible = {end.number for end in _list_credible_ends(report)}
    last_end = worker.acknowledged_end
    for number in sorted(end.number for end in report.ended):
        is_far_ahead = last_end and number - last_end > MAX_END_NUMBER_JUMP
        if is_far_ahead or number not in credible:
            break
        last_end = max(last_end, number)
    if report.acknowledgeable_end is not None:
        last_end = min(last_end, report.acknowledgeable_end)
    return last_end


def find_due_acknowledgement(worker: TrackedWorker) -> int:
    """Return the number of the last end that the next poll acknowledges, or 0.

    The poll may reach the next incarnation, which counts its ends from 1 again and
    forgets those up to this number. So an acknowledgement is sent only while the worker
    lists ends and responds, and while the next one has no start to carry out.
    """
    is_due = worker.has_listed_ends and not worker.failures
    has_open_start = any(
        run.phase in (RunPhase.UNKNOWN, RunPhase.BLOCKING)
        for run in worker.runs.values()
    )
    return worker.acknowledged_end if is_due and not has_open_start else 0
