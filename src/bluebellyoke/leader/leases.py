"""Leases as measured by the leader.

A holder renews its lease with a message and measures it from the time at which it sent
the message. The leader measures it from the time of receipt and adds a margin for clock
drift, so the lease always expires at the holder first. A new leader treats every lease
as renewed when it starts.
"""

from bluebellyoke.consensus.timing import CLOCK_DRIFT

__all__ = ["LeaseTable"]


class LeaseTable:
    """Leases of one kind, by holder.

    Args:
        duration_s: Duration as measured by the holder, in seconds.
        grace_s: Additional time before the leader treats a lease as expired, in
            seconds.
    """

    def __init__(self, *, duration_s: float, grace_s: float = 0.0) -> None:
        self.duration_s = duration_s
        self._timeout_s = duration_s * (1 + 2 * CLOCK_DRIFT) + grace_s
        self._expiries: dict[str, float] = {}

    def __contains__(self, holder: str) -> bool:
        return holder in self._expiries

    def __len__(self) -> int:
        return len(self._expiries)

    def clear(self) -> None:
        """Remove all leases."""
        self._expiries.clear()

    def renew(self, holder: str, now: float) -> None:
        """Restart a lease at `now`, the time at which a message was received.

        A message that is handled late does not shorten the lease.
        """
        expiry = self._expiries.get(holder, float("-inf"))
        self._expiries[holder] = max(expiry, now + self._timeout_s)

    def remove(self, holder: str) -> None:
        """Remove a lease, if there is one."""
        self._expiries.pop(holder, None)

    def is_live(self, holder: str, now: float) -> bool:
        """Return whether the holder may still act on its lease."""
        return now < self._expiries.get(holder, float("-inf"))

    def find_expiry(self, holder: str) -> float | None:
        """Return when the leader treats a lease as expired, or None without a lease."""
        return self._expiries.get(holder)

    def pop_expired(self, now: float) -> list[str]:
        """Remove the expired leases and return their holders."""
        expired = [holder for holder, end in self._expiries.items() if end <= now]
        for holder in expired:
            del self._expiries[holder]
        return expired
