"""Clock interface and the clock of the operating system.

Decision modules receive times as arguments. Shells read them from a `Clock`, so
that tests can move time by hand.
"""

import abc
import time
from datetime import UTC, datetime

__all__ = ["Clock", "SystemClock"]


class Clock(abc.ABC):
    """Source of wall-clock and monotonic time."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never run backwards, from an arbitrary origin."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the time since the start of the machine, in seconds.

        It counts the time for which the machine was suspended, so that a lease ends
        also while its holder sleeps.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)
