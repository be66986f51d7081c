"""Bound on the number of log lines about decisions that may come in bursts."""

__all__ = ["LogLimit"]

#: Maximum number of lines of one kind in a second.
MAX_LINES_PER_S = 50


class LogLimit:
    """Counts the lines of one kind and those that were left out."""

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0
        self.skipped = 0

    def allow(self, now: float) -> bool:
        """Return whether another line may be written now; count it if not."""
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        if self._lines >= MAX_LINES_PER_S:
            self.skipped += 1
            return False
        self._lines += 1
        return True

    def pop_skipped(self) -> int:
        """Return how many lines were left out since the last call."""
        skipped, self.skipped = self.skipped, 0
        return skipped
