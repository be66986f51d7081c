"""Election timeouts, heartbeat intervals and the clock drift they tolerate."""

from dataclasses import dataclass

__all__ = ["CLOCK_DRIFT", "ElectionTiming"]

#: Largest relative difference between the clock rates of two instances.
CLOCK_DRIFT = 0.05

#: Heartbeats per minimum election timeout. Some of them may be lost or delayed.
HEARTBEATS_PER_ELECTION_TIMEOUT = 4

#: Ratio of the maximum to the minimum election timeout. The spread of the random
#: timeouts makes simultaneous candidacies unlikely.
ELECTION_TIMEOUT_RATIO = 1.8


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionTiming:
    """Intervals of elections and heartbeats.

    Attributes:
        heartbeat_s: Interval between heartbeats, in seconds.
        election_min_s: Minimum election timeout, in seconds.
        election_max_s: Maximum election timeout, in seconds.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 0.9
    election_max_s: float = 1.6

    @classmethod
    def from_min_timeout(cls, election_min_s: float) -> "ElectionTiming":
        """Derive all intervals from the minimum election timeout."""
        return cls(
            heartbeat_s=election_min_s / HEARTBEATS_PER_ELECTION_TIMEOUT,
            election_min_s=election_min_s,
            election_max_s=election_min_s * ELECTION_TIMEOUT_RATIO,
        )

    @property
    def lease_s(self) -> float:
        """Duration of the leader lease, in seconds.

        It starts when the leader sends a message that a quorum acknowledges.
        """
        return self.election_min_s * (1 - 2 * CLOCK_DRIFT)
