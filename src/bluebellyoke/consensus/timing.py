"""Durations of elections and leases, and the bound on clocks that they rest on."""

from dataclasses import dataclass

__all__ = ["CLOCK_DRIFT", "ElectionTiming"]

#: Largest relative difference in speed between two instances' clocks.
CLOCK_DRIFT = 0.05

#: Heartbeats within the shortest election timeout; some may be lost or late.
HEARTBEATS_PER_ELECTION = 6

#: Longest election timeout by the shortest one; the spread keeps candidates apart.
ELECTION_SPREAD = 1.8


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionTiming:
    """Durations of the election, in seconds."""

    heartbeat_s: float = 0.15
    election_min_s: float = 0.9
    election_max_s: float = 1.6

    @classmethod
    def from_min_timeout(cls, election_min_s: float) -> "ElectionTiming":
        """Return the durations that fit a shortest election timeout."""
        return cls(
            heartbeat_s=election_min_s / HEARTBEATS_PER_ELECTION,
            election_min_s=election_min_s,
            election_max_s=election_min_s * ELECTION_SPREAD,
        )

    @property
    def lease_s(self) -> float:
        """Time for which a majority's answer makes a leader sure of its part."""
        return self.election_min_s * (1 - 2 * CLOCK_DRIFT)
