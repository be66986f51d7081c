"""What tells the incarnations of a worker apart.

A call names the ID of its worker, which the next incarnation keeps, so a call that was
meant for one incarnation may be carried out by the next one. Reports name the
incarnation. A response to a start does not, but its clock may show it, since the clock
of each incarnation starts anew.
"""

from bluebellyoke.dispatch.tracked_run import TrackedRun
from bluebellyoke.dispatch.workers import (
    MAX_CALL_DELAY_S,
    MAX_CLOCK_LAG,
    LeaseTimes,
    TrackedWorker,
)
from bluebellyoke.workflow.store import RunKey

__all__ = [
    "compute_longest_lease",
    "find_successor_lease_end",
    "find_successor_start",
    "is_refused_by_successors",
    "is_clock_of",
    "is_clock_of_successor",
    "list_unsettled_runs",
]

#: Largest value with which the clock of an incarnation may start, in milliseconds.
MAX_INITIAL_CLOCK_MS = 1000

#: Precision of a worker's clock, in milliseconds.
CLOCK_PRECISION_MS = 1


def is_clock_of(
    worker: TrackedWorker, clock_ms: int | None, sent_at: float, now: float
) -> bool:
    """Return whether a clock reading can only be one of this incarnation.

    Args:
        clock_ms: The reading, in a response to a call.
        sent_at: Monotonic time at which the call was sent, in seconds.
        now: Monotonic time at which the response has arrived, in seconds.
    """
    if clock_ms is None or not worker.clock_at:
        return False
    earliest_ms, latest_ms = _predict_clock(worker, sent_at, now)
    # The next incarnation began after the latest reading was requested.
    elapsed_ms = (now - worker.clock_requested_at) * 1000
    successor_ms = MAX_INITIAL_CLOCK_MS + elapsed_ms * (1 + MAX_CLOCK_LAG)
    return earliest_ms <= clock_ms <= latest_ms and clock_ms > successor_ms


def is_clock_of_successor(
    worker: TrackedWorker, clock_ms: int | None, sent_at: float, now: float
) -> bool:
    """Return whether a clock reading cannot be one of this incarnation.

    The arguments are those of `is_clock_of`.
    """
    if clock_ms is None or not worker.clock_at:
        return False
    earliest_ms, _ = _predict_clock(worker, sent_at, now)
    return clock_ms < earliest_ms


def _predict_clock(
    worker: TrackedWorker, sent_at: float, now: float
) -> tuple[float, float]:
    """Return the lowest and the highest reading of the worker's clock in a response."""
    # The latest reading may be younger than the one in this response.
    shortest_ms = (sent_at - worker.clock_at) * 1000
    longest_ms = (now - worker.clock_requested_at) * 1000
    lag = MAX_CLOCK_LAG if shortest_ms > 0 else -MAX_CLOCK_LAG
    return (
        worker.clock_ms + shortest_ms * (1 - lag) - CLOCK_PRECISION_MS,
        worker.clock_ms + longest_ms * (1 + MAX_CLOCK_LAG) + CLOCK_PRECISION_MS,
    )


def list_unsettled_runs(worker: TrackedWorker) -> list[RunKey]:
    """Return the runs of a worker that its next incarnation may have begun."""
    return [key for key, run in worker.runs.items() if _is_unsettled(worker, run)]


def _is_unsettled(worker: TrackedWorker, run: TrackedRun) -> bool:
    if run.is_confirmed or run.is_planned or run.has_ended:
        return False
    if is_refused_by_successors(worker, run):
        return False
    # An incarnation that runs once no call for the start can arrive any more is the
    # last one that may have begun the run.
    return worker.identified_at < run.sent_by + MAX_CALL_DELAY_S


def is_refused_by_successors(worker: TrackedWorker, run: TrackedRun) -> bool:
    """Return whether all later incarnations of a worker refuse the start of a run.

    A ticket is valid for one incarnation. This one has responded since the ticket was
    issued, so the ticket is not one for a later one.
    """
    return run.has_ticket and worker.identified_at >= run.sent_by


def find_successor_start(clock_ms: int, now: float) -> float:
    """Return the latest time at which the next incarnation of a worker has started.

    The former one has ended by then.

    Args:
        clock_ms: Clock of the next incarnation, which began with its process.
        now: Monotonic time at which a report with this reading has arrived, in seconds.
    """
    return now - clock_ms / 1000 / (1 + MAX_CLOCK_LAG)


def compute_longest_lease(times: LeaseTimes) -> float:
    """Return how long after a call runs of the next incarnation may go on, in seconds.

    A deadline on the clock of one incarnation is far ahead on that of the next one. A
    call without a response may be carried out late, and gives the longest lease then.
    """
    return MAX_CALL_DELAY_S + times.max_lease_s / (1 - MAX_CLOCK_LAG)


def find_successor_lease_end(worker: TrackedWorker, times: LeaseTimes) -> float:
    """Return the time by which a next incarnation of a worker has ended its runs.

    It is counted from the latest call that requested a lease, or from the change of
    leader. A next incarnation that has been enrolled has a lease of its own.
    """
    return worker.lease_requested_at + compute_longest_lease(times)
