"""Leases as the leader counts them.

A holder renews a lease by a message and counts it from the time it sent the
message. The leader counts it from the time it received the message and adds a
margin for clocks of different speed, so the holder's end always comes first. A new
leader counts every lease as renewed at its own start.
"""

from bluebellyoke.consensus.timing import CLOCK_DRIFT

__all__ = ["LeaseTable"]


class LeaseTable:
    """Leases of one kind, by holder.

    Args:
        length_s: Length that the holder counts, in seconds.
        grace_s: Extra time before the leader acts, in seconds.
    """

    def __init__(self, *, length_s: float, grace_s: float = 0.0) -> None:
        self.length_s = length_s
        self._wait_s = length_s * (1 + 2 * CLOCK_DRIFT) + grace_s
        self._ends: dict[str, float] = {}

    def __contains__(self, holder: str) -> bool:
        return holder in self._ends

    def __len__(self) -> int:
        return len(self._ends)

    def clear(self) -> None:
        """Forget all leases."""
        self._ends.clear()

    def renew(self, holder: str, now: float) -> None:
        """Count a lease anew from `now`, the time of the holder's message."""
        self._ends[holder] = now + self._wait_s

    def drop(self, holder: str) -> None:
        """Forget a lease."""
        self._ends.pop(holder, None)

    def is_live(self, holder: str, now: float) -> bool:
        """Return whether the holder may still act on its lease."""
        return now < self._ends.get(holder, float("-inf"))

    def find_end(self, holder: str) -> float | None:
        """Return when the leader may act on the end of a lease."""
        return self._ends.get(holder)

    def take_expired(self, now: float) -> list[str]:
        """Return the holders whose lease has ended, and forget them."""
        expired = [holder for holder, end in self._ends.items() if end <= now]
        for holder in expired:
            del self._ends[holder]
        return expired
