"""Durations of the workers' leases and calls, and why a worker is removed."""

import enum
from dataclasses import dataclass

__all__ = ["MAX_CALL_DELAY_S", "MAX_CLOCK_LAG", "LeaseTimes", "RemovalReason"]

#: Maximum relative lag of a worker's clock.
MAX_CLOCK_LAG = 0.02

#: Longest time after which a worker carries out a call without a response, in seconds.
MAX_CALL_DELAY_S = 12.0


class RemovalReason(enum.Enum):
    """Why the leader removes an incarnation of a worker.

    Attributes:
        LEASE_EXPIRED: It did not respond until its lease had expired, so it has ended
            its runs. Its process may still run behind a partition.
        REPLACED: Its next incarnation has responded or announced itself.
        ADDRESS_TAKEN: A worker with another ID that started later has its address, and
            refuses the calls for it.
    """

    LEASE_EXPIRED = "its lease expired without a response"
    REPLACED = "another incarnation has replaced it"
    ADDRESS_TAKEN = "another worker has its address"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimes:
    """Durations of a worker's lease, in seconds.

    Attributes:
        lease_s: Lease that each poll and start requests.
        leaving_lease_s: The same for a worker that is about to end its process, which
            ends its runs without a report. It outlasts a poll and its repetition.
        max_lease_s: Longest lease that a worker grants to any leader.
    """

    lease_s: float = 5.0
    leaving_lease_s: float = 2.5
    max_lease_s: float = 6.0
