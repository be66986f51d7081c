"""Times in which the process stood still, and requests may have waited unread."""

import anyio

from bluebellyoke.clock import Clock

__all__ = ["StallWatch"]

#: Interval at which the process notes that it runs, in seconds.
INTERVAL_S = 1.0

#: Time after a stall in which requests are read that arrived during it, in seconds.
BACKLOG_S = 5.0


class StallWatch:
    """Bounds the time for which bytes may have waited before they were read.

    A process that is frozen, or whose machine is suspended, reads what has arrived
    meanwhile as if it were new.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted_at = clock.monotonic()
        self._stall_s = 0.0
        self._stall_ended_at = -BACKLOG_S

    async def run(self) -> None:
        """Note at intervals that the process runs, until cancelled."""
        while True:
            self.note()
            await anyio.sleep(INTERVAL_S)

    def note(self) -> None:
        """Note that the process runs."""
        now = self._clock.monotonic()
        stall_s = now - self._noted_at
        if stall_s >= self.measure():
            self._stall_s = stall_s
            self._stall_ended_at = now
        self._noted_at = now

    def measure(self) -> float:
        """Return how long what is read now may have waited, at most, in seconds."""
        now = self._clock.monotonic()
        since_note_s = now - self._noted_at
        since_stall_s = now - self._stall_ended_at
        if since_stall_s > BACKLOG_S:
            return since_note_s
        return max(since_note_s, self._stall_s + since_stall_s)
