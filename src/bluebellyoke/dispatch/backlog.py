"""When a caller that was turned away for the backlog may come back."""

from bluebellyoke.workflow.book import MAX_OPEN_TASKS

__all__ = ["Backlog"]

#: Time over which the rate of ends is measured, in seconds.
WINDOW_S = 5.0

#: Shortest and longest time that a caller is sent away for, in seconds.
SHORTEST_S = 1.0
LONGEST_S = 60.0


class Backlog:
    """Measures how fast tasks end, and works out how long their backlog lasts."""

    def __init__(self) -> None:
        self._began_at: float | None = None
        self._ends = 0
        self._rate = 0.0

    def note_ends(self, count: int, now: float) -> None:
        """Count tasks that have ended."""
        if self._began_at is None:
            self._began_at = now
        self._ends += count
        length = now - self._began_at
        if length >= WINDOW_S:
            self._rate = self._ends / length
            self._began_at, self._ends = now, 0

    def estimate_wait(self, open_tasks: int, new_tasks: int) -> float:
        """Return the time until so many new tasks are taken, in seconds.

        Args:
            open_tasks: Tasks that have not ended.
        """
        excess = open_tasks + new_tasks - MAX_OPEN_TASKS
        if excess <= 0:
            return SHORTEST_S
        if not self._rate:
            return LONGEST_S
        return min(max(excess / self._rate, SHORTEST_S), LONGEST_S)
