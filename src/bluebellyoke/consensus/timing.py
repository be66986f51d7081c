"""Durations of elections and leases, and the bound on clocks that they rest on."""

from dataclasses import dataclass

__all__ = ["CLOCK_DRIFT", "Timing"]

#: Largest relative difference in speed between two instances' clocks.
CLOCK_DRIFT = 0.05

#: Heartbeats within the shortest election timeout; some may be lost or late.
HEARTBEATS_PER_ELECTION = 6

#: Longest election timeout by the shortest one; the spread keeps candidates apart.
ELECTION_SPREAD = 1.8


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Durations of the election, in seconds."""

    heartbeat: float = 0.15
    election_min: float = 0.9
    election_max: float = 1.6

    @classmethod
    def scale_to(cls, election_min: float) -> "Timing":
        """Return the durations that fit a shortest election timeout."""
        return cls(
            heartbeat=election_min / HEARTBEATS_PER_ELECTION,
            election_min=election_min,
            election_max=election_min * ELECTION_SPREAD,
        )

    @property
    def lease(self) -> float:
        """Time for which a majority's answer makes a leader sure of its part."""
        return self.election_min * (1 - 2 * CLOCK_DRIFT)
