"""When a caller that was turned away for the backlog may come back."""

from bluebellyoke.workflow.store import MAX_OPEN_TASKS

__all__ = ["BacklogEstimator"]

#: Time over which the rate of ends is measured, in seconds.
RATE_WINDOW_S = 5.0

#: Shortest and longest time that a caller is sent away for, in seconds.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class BacklogEstimator:
    """Measures how fast tasks end, and works out how long their backlog lasts."""

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._ends = 0
        self._rate = 0.0

    def record_ended_tasks(self, count: int, now: float) -> None:
        """Count tasks that have ended."""
        if self._began_at is None:
            self._began_at = now
        self._ends += count
        length = now - self._began_at
        if length >= RATE_WINDOW_S:
            self._rate = self._ends / length
            self._began_at, self._ends = now, 0

    def estimate_wait(self, open_tasks: int, new_tasks: int) -> float:
        """Return the time until so many new tasks are taken, in seconds.

        Args:
            open_tasks: Tasks that have not ended.
        """
        excess = open_tasks + new_tasks - MAX_OPEN_TASKS
        if excess <= 0:
            return MIN_RETRY_AFTER_S
        if not self._rate:
            return MAX_RETRY_AFTER_S
        return min(max(excess / self._rate, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
