"""Cancels that arrived before their jobs, which are remembered for some time.

A submission can arrive after its cancel: an instance that stood still has read it late,
or sends it again. The caller was told that no such job exists, so none may run.

A submission is proposed within `MAX_UNREAD_S` and `MAX_PENDING_S` of its arrival, or
not at all, so a cancel is remembered for longer than both.
"""

import math
import sys
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

__all__ = ["MAX_PENDING_S", "MAX_UNREAD_S", "EarlyCancel", "EarlyCancels"]

#: Maximum time for which a submission may have waited at an instance before that has
#: read it, in seconds. An older one is refused.
MAX_UNREAD_S = 60.0

#: Maximum time from the reading of a submission to its proposal, in seconds.
MAX_PENDING_S = 60.0

#: Time for which a cancel is remembered, in seconds: the maximum age of a submission,
#: and as much again for differences between the clocks of leaders.
KEPT_S = 2 * (MAX_UNREAD_S + MAX_PENDING_S)

#: Maximum number of remembered cancels. One takes about 300 bytes.
MAX_EARLY_CANCELS = 30_000


class EarlyCancel(msgspec.Struct, frozen=True, array_like=True):
    """A remembered cancel.

    Attributes:
        job: ID of the job and what else names it.
        owner: Whose submissions it concerns.
        time: Wall-clock time of the cancel, in seconds.
    """

    job: tuple[str, ...]
    owner: str
    time: float


class EarlyCancels:
    """Remembered cancels of jobs that were not known; part of the replicated state.

    Args:
        cancels: Remembered cancels, oldest first.
    """

    def __init__(self, cancels: Iterable[EarlyCancel] = ()) -> None:
        self._times: OrderedDict[tuple[tuple[str, ...], str], float] = OrderedDict(
            ((item.job, sys.intern(item.owner)), item.time) for item in cancels
        )

    def __len__(self) -> int:
        return len(self._times)

    def dump(self) -> list[EarlyCancel]:
        """Return the state for a snapshot."""
        return [
            EarlyCancel(job, owner, time) for (job, owner), time in self._times.items()
        ]

    def add(self, job: tuple[str, ...], owners: Iterable[str], time: float) -> bool:
        """Remember a cancel, and forget old ones.

        Args:
            job: ID of the job and what else names it.
            owners: Whose submissions it concerns.
            time: Wall-clock time, in seconds.

        Returns:
            Whether there was room for it. If not, it must not be acknowledged.
        """
        self._drop_old(time)
        keys = [(job, sys.intern(owner)) for owner in owners]
        new = sum(key not in self._times for key in keys)
        if len(self._times) + new > MAX_EARLY_CANCELS:
            return False
        for key in keys:
            self._times[key] = time
            self._times.move_to_end(key)
        return True

    def find_end(
        self, job: tuple[str, ...], owners: Iterable[str], time: float
    ) -> float | None:
        """Return the time until which submissions of a job are refused.

        Args:
            job: ID of the job and what else names it.
            owners: Who submits it.
            time: Wall-clock time, in seconds.

        Returns:
            Wall-clock time in seconds, or None if nothing refuses them.
        """
        times = [self._times.get((job, owner), -math.inf) for owner in owners]
        end = max(times, default=-math.inf) + KEPT_S
        return end if time <= end else None

    def _drop_old(self, time: float) -> None:
        while self._times:
            oldest = next(iter(self._times.values()))
            if time - oldest <= KEPT_S:
                return
            self._times.popitem(last=False)
