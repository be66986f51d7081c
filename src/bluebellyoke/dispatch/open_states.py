"""Workers whose reports leave the state of a run open for too long.

Nothing but the end of such a worker's lease tells that the run has ended, so the leader
stops renewing it.
"""

from bluebellyoke.dispatch.ports import StatusReport
from bluebellyoke.dispatch.reported_ends import find_contradictory_runs
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.store import RunKey

__all__ = ["find_open_state"]

#: Time after which a run that is in unreadable or contradictory rows only counts as
#: lost, in seconds.
MAX_UNREADABLE_S = 3.0

#: Time after which a run counts as lost that the worker neither lists nor lets be
#: blocked, in seconds. An unhealthy worker may refuse all calls for some seconds.
MAX_UNBLOCKED_S = 10.0


def find_open_state(worker: TrackedWorker, report: StatusReport, now: float) -> str:
    """Return why nothing has told for too long whether a run runs, or an empty text."""
    if _has_lost_run(worker, report, now):
        return "a run is in unreadable or contradictory rows only"
    if _has_unblocked_run(worker, report, now):
        return "no stop of a run that is not listed is accepted"
    return ""


def _has_lost_run(worker: TrackedWorker, report: StatusReport, now: float) -> bool:
    """Return whether a run has been unreadable or contradictory for too long.

    It is in unreadable rows only, or listed as running and as ended. The end of such a
    run is not acknowledged, nor are those after it, of which the worker lists a limited
    number.
    """
    is_contradictory = not find_contradictory_runs(report).isdisjoint(worker.runs)
    if not (is_contradictory or _has_unreadable_run(worker, report)):
        worker.unreadable_since = None
        return False
    if worker.unreadable_since is None:
        worker.unreadable_since = now
    return now - worker.unreadable_since > MAX_UNREADABLE_S


def _has_unreadable_run(worker: TrackedWorker, report: StatusReport) -> bool:
    """Return whether a run may be in rows that could not be read."""
    if report.complete or not report.unreadable_rows:
        return False
    listed = _list_runs(report)
    return any(
        key not in listed and run.phase is not RunPhase.STARTING
        for key, run in worker.runs.items()
    )


def _has_unblocked_run(worker: TrackedWorker, report: StatusReport, now: float) -> bool:
    """Return whether the worker has accepted no stop of a missing run for too long.

    The start may still be on its way. After the end of the lease it comes too late.
    """
    listed = _list_runs(report)
    return any(
        run.unblocked_since is not None
        and now - run.unblocked_since > MAX_UNBLOCKED_S
        and key not in listed
        for key, run in worker.runs.items()
    )


def _list_runs(report: StatusReport) -> set[RunKey]:
    return {(x.task, x.run) for x in (*report.running, *report.ended)}
