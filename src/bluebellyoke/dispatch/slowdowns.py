"""Temporary slowdowns of workers, from rates of progress that change during runs.

A run is compared with itself, so that neither the length of tasks nor wrong estimates
matter: on a worker that is always slow, or in a long task, the rate is steady.
"""

import statistics
from collections import deque
from dataclasses import dataclass, field

__all__ = ["MIN_RATIO", "Slowdown"]

#: Rate relative to the usual one below which a worker counts as slowed down, and from
#: which it counts as recovered.
SLOW_RATIO = 0.55
RECOVERED_RATIO = 0.75

#: Smallest ratio that is recorded; the percentage may not change at all in a window.
MIN_RATIO = 0.05

#: Number of windows that show a slowdown, and the time that they may cover, in seconds.
#: One window may be that of a task that waits for something.
MIN_WINDOWS = 2
MAX_WINDOW_AGE_S = 1.5
MAX_WINDOWS = 12

#: Time without evidence after which a slowdown counts as over, in seconds, and its
#: minimum duration unless runs show that it is over. A worker whose runs have
#: been moved away gives no evidence.
EXPIRY_S = 3.0
MIN_DURATION_S = 7.0

#: Duration from which a slowdown counts as the worker's normal speed, in seconds.
MAX_DURATION_S = 15.0


@dataclass(slots=True)
class Slowdown:
    """Current speed of one worker relative to its usual one. Times are monotonic.

    Attributes:
        ratio: Current speed relative to the usual one; 1 unless it is slowed down.
        began_at: Time at which the slowdown was noticed.
        ended_at: Time at which the last slowdown ended; runs that began before it do
            not tell the worker's usual speed.
        seen_at: Time of the latest evidence.
        rebased_at: Time at which a slowdown was last accepted as the normal speed;
            rates from before do not tell the usual speed.
    """

    ratio: float = 1.0
    began_at: float = 0.0
    ended_at: float = 0.0
    seen_at: float = 0.0
    rebased_at: float = 0.0
    _windows: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_WINDOWS)
    )

    @property
    def is_slow(self) -> bool:
        """Whether the worker is slowed down."""
        return self.ratio < 1.0

    def record(self, ratio: float, now: float) -> bool:
        """Add the rate of a run relative to its usual one; return whether it matters.

        Returns:
            Whether the worker has slowed down or recovered by it.
        """
        self._windows.append((now, max(ratio, MIN_RATIO)))
        if ratio >= SLOW_RATIO and not self.is_slow:
            return False
        recent = [x for at, x in self._windows if now - at <= MAX_WINDOW_AGE_S]
        if len(recent) < MIN_WINDOWS:
            return False
        median = statistics.median(recent)
        if median < SLOW_RATIO:
            was_slow = self.is_slow
            if not was_slow:
                self.began_at = now
            self.ratio, self.seen_at = median, now
            return not was_slow
        if self.is_slow and median >= RECOVERED_RATIO:
            self.end(now)
            return True
        return False

    def end(self, now: float) -> None:
        """End the slowdown."""
        self.ratio, self.ended_at = 1.0, now
        self._windows.clear()

    def accept(self, now: float) -> None:
        """Take the current speed for the usual one."""
        self.end(now)
        self.rebased_at = now

    def has_expired(self, now: float) -> bool:
        """Return whether there has been no evidence of the slowdown for long."""
        return (
            self.is_slow
            and now - self.seen_at > EXPIRY_S
            and now - self.began_at > MIN_DURATION_S
        )

    def is_permanent(self, now: float) -> bool:
        """Return whether it lasts for so long that it is the worker's normal speed."""
        return self.is_slow and now - self.began_at > MAX_DURATION_S
