"""Estimate of when a caller may retry after a refusal due to the backlog."""

from bluebellyoke.workflow.store import MAX_OPEN_TASKS

__all__ = ["BacklogEstimator"]

#: Time over which the rate of ended tasks is measured, in seconds.
RATE_WINDOW_S = 5.0

#: Minimum and maximum time after which a refused caller may retry, in seconds.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class BacklogEstimator:
    """Measures the rate at which tasks end and estimates the wait for a free place."""

    def __init__(self) -> None:
        self._window_began_at: float | None = None
        self._ended_tasks = 0
        self._rate = 0.0

    def record_ended_tasks(self, count: int, now: float) -> None:
        """Count tasks that have ended."""
        if self._window_began_at is None:
            self._window_began_at = now
        self._ended_tasks += count
        elapsed_s = now - self._window_began_at
        if elapsed_s >= RATE_WINDOW_S:
            self._rate = self._ended_tasks / elapsed_s
            self._window_began_at, self._ended_tasks = now, 0

    def estimate_wait(self, open_tasks: int, new_tasks: int) -> float:
        """Return the time until new tasks can be accepted, in seconds.

        Args:
            open_tasks: Number of tasks of workflows that have not ended.
            new_tasks: Number of tasks to accept.
        """
        excess = open_tasks + new_tasks - MAX_OPEN_TASKS
        if excess <= 0:
            return MIN_RETRY_AFTER_S
        if not self._rate:
            return MAX_RETRY_AFTER_S
        return min(max(excess / self._rate, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
