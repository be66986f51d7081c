"""Idempotency keys of callers' requests.

Rules:
    * A key is claimed before its request is sent; only one claim succeeds.
    * An outcome is recorded once, by the holder of the claim.
    * A claim whose holder recorded nothing by its expiry ends as unknown.
    * Only a request that provably did not run frees its key.
"""

import heapq
from dataclasses import dataclass, field

from bluebellyoke.cell.commands import (
    ClaimRequest,
    ClaimStatus,
    Outcome,
    RecordOutcome,
    Result,
    refuse,
)

__all__ = ["OUTCOME_RETENTION_S", "Claim", "ClaimRegistry"]

#: Time for which an outcome is kept after its claim, in seconds.
OUTCOME_RETENTION_S = 3600.0

#: Bytes of recorded bodies, at most; beyond it, outcomes are kept as unknown.
RECORDED_BYTES_LIMIT = 32 * 1024 * 1024

#: Claims kept at most; beyond it, new keys are refused as not run.
MAX_CLAIMS = 200_000


@dataclass(slots=True)
class Claim:
    """One claimed idempotency key."""

    digest: str
    holder: str
    expires: float
    outcome: Outcome


@dataclass(slots=True)
class ClaimRegistry:
    """Claims by key, with a heap of the times at which they expire.

    Attributes:
        recorded_bytes: Length of all recorded bodies.
    """

    claims: dict[str, Claim] = field(default_factory=dict)
    expiries: list[tuple[float, str]] = field(default_factory=list)
    recorded_bytes: int = 0

    def claim(self, command: ClaimRequest) -> Result:
        """Claim a key, or return what is known of its earlier claim."""
        known = self.claims.get(command.key)
        if known is not None and known.holder == command.holder:
            # The same request asks again after a lost reply.
            return Result(accepted=True, code="claimed", outcome=known.outcome)
        if known is not None:
            return self._answer_known(known, command)
        if len(self.claims) >= MAX_CLAIMS:
            return refuse(
                "too-many-claims", "too many idempotency keys are kept; retry later"
            )
        self.claims[command.key] = Claim(
            command.digest,
            command.holder,
            command.expires,
            Outcome(ClaimStatus.CLAIMED),
        )
        heapq.heappush(self.expiries, (command.expires, command.key))
        return Result(accepted=True, code="claimed")

    def _answer_known(self, known: Claim, command: ClaimRequest) -> Result:
        if known.digest != command.digest:
            return refuse(
                "key-reused",
                "the idempotency key belongs to another request; choose a new key",
            )
        status = known.outcome.status
        code = "in-progress" if status is ClaimStatus.CLAIMED else "recorded"
        return Result(accepted=False, code=code, outcome=known.outcome)

    def record(self, command: RecordOutcome) -> Result:
        """Store the outcome of a claim, or free the key if nothing ran."""
        known = self.claims.get(command.key)
        if known is None or known.holder != command.holder:
            return refuse("no-claim", "the claim has ended; the outcome stays unknown")
        if known.outcome.status is not ClaimStatus.CLAIMED:
            return refuse("already-recorded", "the claim already has an outcome")
        if command.outcome.status is ClaimStatus.NOT_RUN:
            del self.claims[command.key]
            return Result(accepted=True, code="released")
        size = len(command.outcome.body)
        if self.recorded_bytes + size > RECORDED_BYTES_LIMIT:
            known.outcome = Outcome(ClaimStatus.UNKNOWN)
            return Result(accepted=True, code="not-kept")
        self.recorded_bytes += size
        known.outcome = command.outcome
        return Result(accepted=True, code="recorded")

    def expire(self, now: float) -> None:
        """End overdue claims as unknown and drop outcomes past their retention."""
        while self.expiries and self.expiries[0][0] <= now:
            due, key = heapq.heappop(self.expiries)
            claim = self.claims.get(key)
            if claim is None or claim.expires > due:
                continue
            if due < claim.expires + OUTCOME_RETENTION_S and due == claim.expires:
                if claim.outcome.status is ClaimStatus.CLAIMED:
                    claim.outcome = Outcome(ClaimStatus.UNKNOWN)
                heapq.heappush(self.expiries, (due + OUTCOME_RETENTION_S, key))
                continue
            self.recorded_bytes -= len(claim.outcome.body)
            del self.claims[key]
