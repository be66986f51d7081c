"""Clock interface and the system clock.

Modules with decision logic receive the time as an argument. The I/O code that calls
them reads it from a `Clock`, so that tests can control the time.
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
        """Return the monotonic time since an arbitrary origin, in seconds."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the time since the machine booted, in seconds.

        It includes time spent in suspend, so that a lease also expires while the
        machine of its holder is suspended.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)
