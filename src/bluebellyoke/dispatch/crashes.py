"""What a crash of a worker tells about the runs that it took."""

import logging
import math
from collections.abc import Collection

from bluebellyoke.dispatch.calls import POLL_TIMEOUT_SLACK_S, POLL_WAIT_MS
from bluebellyoke.dispatch.tracked_run import RunPhase, TrackedRun
from bluebellyoke.dispatch.workers import RemovalReason, TrackedWorker
from bluebellyoke.workflow.commands import CrashedRun, CrashEvidence

__all__ = [
    "SUSPECT_AGE_S",
    "find_evidence",
    "is_planned_end",
    "list_crashed_runs",
    "log_crash",
]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Age up to which a run is suspected of a crash, in seconds. Most programs that take
#: their host down do so as they start.
SUSPECT_AGE_S = 0.25

#: Longest time from a response to the end of the next poll, in seconds.
MAX_POLL_S = POLL_WAIT_MS / 1000 + POLL_TIMEOUT_SLACK_S

#: Phases of runs that the worker has.
_CONFIRMED_PHASES = (RunPhase.STARTED, RunPhase.STOPPING)

#: Number of suspects that a log line lists.
MAX_LOGGED_SUSPECTS = 20


def is_planned_end(worker: TrackedWorker) -> bool:
    """Return whether a worker has given notice of the end of its process."""
    return worker.is_leaving or worker.spec.draining


def find_evidence(worker: TrackedWorker, reason: RemovalReason) -> CrashEvidence:
    """Return what tells that the process of a removed worker has ended.

    A lease that has ended proves nothing: the worker may run behind a partition.
    """
    if reason is not RemovalReason.LEASE_EXPIRED:
        return CrashEvidence.NEXT_INCARNATION
    return CrashEvidence.REFUSALS if worker.is_refusing else CrashEvidence.NONE


def list_crashed_runs(
    worker: TrackedWorker, now: float, successor_start: float = math.inf
) -> tuple[CrashedRun, ...]:
    """Return the runs that a crash has ended; those sent after it are left out.

    Args:
        worker: Worker whose process has ended.
        now: Monotonic time, in seconds.
        successor_start: Time by which its next incarnation has started, if it has.
    """
    found = []
    latest_end = _find_latest_end(worker, now)
    for (task, number), run in worker.runs.items():
        if run.phase is RunPhase.BLOCKED or run.has_ended:
            continue
        if _was_sent_too_late(run, latest_end):
            continue
        if _was_sent_to_successor(run, successor_start):
            continue
        age_ms = None
        if run.sent_at is not None:
            age_ms = max(round((latest_end - run.sent_at) * 1000), 0)
        suspected = _is_suspect(worker, run)
        found.append(
            CrashedRun(
                task,
                number,
                age_ms,
                suspected,
                has_begun=_has_begun(run),
                is_uncertain=_is_uncertain(run),
            )
        )
    return tuple(found)


def _find_latest_end(worker: TrackedWorker, now: float) -> float:
    """Return the latest time at which the worker can have ended.

    If a poll failed at once, that is its failure. A worker that runs on would have
    responded to a poll that timed out.
    """
    if worker.lost_at > worker.last_response_at:
        return worker.lost_at
    return min(now, worker.last_response_at + MAX_POLL_S)


def _was_sent_too_late(run: TrackedRun, latest_end: float) -> bool:
    """Return whether a run cannot have begun before the crash."""
    if run.phase in _CONFIRMED_PHASES:
        return False
    if run.sent_at is None:
        return run.phase is RunPhase.STARTING
    return run.sent_at > latest_end


def _was_sent_to_successor(run: TrackedRun, successor_start: float) -> bool:
    """Return whether a run was sent when the next incarnation had started."""
    is_later = run.sent_at is not None and run.sent_at > successor_start
    return is_later and not run.is_confirmed


def _has_begun(run: TrackedRun) -> bool:
    """Return whether a run counts as begun.

    A worker that closes the connection of a start may have received it. One that does
    not respond may have ended before.
    """
    return run.phase in _CONFIRMED_PHASES or not run.has_start_timed_out


def _is_uncertain(run: TrackedRun) -> bool:
    """Return whether a run that counts as begun may not have begun.

    The network may have reset the connection of its start. What an earlier leader knew
    of a run is recorded, but it may have ended before it did.
    """
    if run.is_confirmed:
        return False
    if run.sent_at is None:
        return True
    return run.phase not in _CONFIRMED_PHASES and not run.was_start_closed


def _is_suspect(worker: TrackedWorker, run: TrackedRun) -> bool:
    """Return whether a run was on probation, or may have been young, at the crash."""
    if run.probation_s:
        return True
    if run.phase not in _CONFIRMED_PHASES and run.phase is not RunPhase.STARTING:
        return True
    # A run of an earlier leader began before this one learned of the worker.
    latest_start = worker.discovered_at if run.sent_at is None else run.sent_at
    is_young = latest_start > worker.lost_at - SUSPECT_AGE_S
    return is_young and not run.is_cleared


def log_crash(
    worker: TrackedWorker, evidence: CrashEvidence, runs: Collection[CrashedRun]
) -> None:
    """Log a crash, proved or not, with the runs that may have caused it."""
    is_proved = evidence is CrashEvidence.NEXT_INCARNATION
    suspects = [item for item in runs if item.is_suspect]
    logger.info(
        "dispatch: a worker crashed"
        if is_proved
        else "dispatch: a worker may have crashed",
        extra={
            "worker": worker.spec.id,
            "born": worker.spec.incarnation,
            "evidence": evidence.value,
            "runs": len(runs),
            "suspects": [_format_run(x) for x in suspects[:MAX_LOGGED_SUSPECTS]],
        },
    )


def _format_run(item: CrashedRun) -> list:
    """Return workflow, repetition, step, index, run and age of a run for the log."""
    name = item.task
    task = [name.workflow, name.repetition, name.step, name.index]
    return [*task, item.run, item.age_ms]
