"""Starts without a response, which a worker may still carry out late.

A stop blocks such a start in one incarnation of the worker only. So until it can no
longer arrive, the task keeps its place, and its next run goes to the same worker: while
that incarnation lives, its block holds, and a crash ends the run. A start with a ticket
needs none of this, since the next incarnation refuses it.
"""

from bluebellyoke.dispatch.incarnations import is_refused_by_successors
from bluebellyoke.dispatch.tracked_run import TrackedRun
from bluebellyoke.dispatch.workers import MAX_CALL_DELAY_S, TrackedWorker

__all__ = [
    "MAX_WALL_CLOCK_ERROR_S",
    "compute_open_until",
    "find_open_end",
    "find_own_open_end",
    "keeps_place_after_end",
]

#: Maximum difference between the wall clocks of two leaders, in seconds. A later leader
#: waits for this time longer.
MAX_WALL_CLOCK_ERROR_S = 5.0


def find_open_end(
    worker: TrackedWorker, run: TrackedRun, now: float, wall_time: float
) -> float:
    """Return the monotonic time by which all starts of a run's task have arrived.

    Args:
        now: Monotonic time, in seconds.
        wall_time: Wall-clock time, in seconds.
    """
    inherited = now + run.open_until - wall_time if run.open_until else 0.0
    return max(find_own_open_end(worker, run), inherited)


def find_own_open_end(worker: TrackedWorker, run: TrackedRun) -> float:
    """Return the same for the starts that this leader has sent or may have found."""
    if run.is_confirmed or run.has_ended or run.was_refused:
        return run.open_by
    if is_refused_by_successors(worker, run):
        return run.open_by
    return max(run.open_by, run.sent_by + MAX_CALL_DELAY_S)


def keeps_place_after_end(run: TrackedRun, now: float, wall_time: float) -> bool:
    """Return whether the task of a run would keep its place if the run ended now."""
    return now < run.open_by or wall_time < run.open_until


def compute_open_until(
    worker: TrackedWorker, run: TrackedRun, now: float, wall_time: float
) -> float:
    """Return until when later leaders keep a task in its place, by the wall clock."""
    own = wall_time + find_own_open_end(worker, run) - now + MAX_WALL_CLOCK_ERROR_S
    return max(run.open_until, own)
