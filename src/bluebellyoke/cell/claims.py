"""Claims of idempotency keys and the recorded outcomes of their requests.

Rules:
    * A key is claimed before its request is sent; only one claim succeeds.
    * An outcome is recorded once, by the holder of the claim.
    * A claim that expires without a recorded outcome becomes unknown.
    * A key is released early only if its request provably did not run.
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

#: Retention of an outcome after its claim expires, in seconds.
OUTCOME_RETENTION_S = 3600.0

#: Maximum total size of recorded bodies, in bytes; above it, outcomes are recorded
#: as unknown.
MAX_RECORDED_BYTES = 32 * 1024 * 1024

#: Maximum number of claims kept; above it, new keys are refused and their requests
#: do not run.
MAX_CLAIMS = 200_000


@dataclass(slots=True)
class Claim:
    """A claimed idempotency key.

    Attributes:
        digest: Hash of the request's method, path and body.
        holder: Instance, incarnation and number of the claiming request.
        expires: Wall-clock time at which the claim expires, in seconds.
    """

    digest: str
    holder: str
    expires: float
    outcome: Outcome


@dataclass(slots=True)
class ClaimRegistry:
    """All claims of the cell.

    Attributes:
        claims: Claims by key.
        expiries: Heap of (wall-clock second, key) at which a claim or its outcome
            expires.
        recorded_bytes: Total size of the recorded bodies, in bytes.
    """

    claims: dict[str, Claim] = field(default_factory=dict)
    expiries: list[tuple[float, str]] = field(default_factory=list)
    recorded_bytes: int = 0

    def claim(self, command: ClaimRequest) -> Result:
        """Claim a key, or return the status of its existing claim."""
        existing = self.claims.get(command.key)
        if existing is not None and existing.holder == command.holder:
            # The same request is retried after a lost reply.
            return Result(accepted=True, code="claimed", outcome=existing.outcome)
        if existing is not None:
            return self._handle_existing_claim(existing, command)
        if len(self.claims) >= MAX_CLAIMS:
            return refuse(
                "too-many-claims", "too many idempotency keys are kept; retry later"
            )
        # The instance tells `expires` by its own clock, which may be far behind.
        expires = max(command.expires, command.time)
        self.claims[command.key] = Claim(
            command.digest, command.holder, expires, Outcome(ClaimStatus.CLAIMED)
        )
        heapq.heappush(self.expiries, (expires, command.key))
        return Result(accepted=True, code="claimed")

    def _handle_existing_claim(self, existing: Claim, command: ClaimRequest) -> Result:
        if existing.digest != command.digest:
            return refuse(
                "key-reused",
                "the idempotency key belongs to another request; choose a new key",
            )
        status = existing.outcome.status
        code = "in-progress" if status is ClaimStatus.CLAIMED else "recorded"
        return Result(accepted=False, code=code, outcome=existing.outcome)

    def record_outcome(self, command: RecordOutcome) -> Result:
        """Record the outcome of a claim; release its key if the request did not run."""
        existing = self.claims.get(command.key)
        if existing is None or existing.holder != command.holder:
            return refuse("no-claim", "the claim has ended; the outcome stays unknown")
        if existing.outcome.status is not ClaimStatus.CLAIMED:
            return refuse("already-recorded", "the claim already has an outcome")
        if command.outcome.status is ClaimStatus.NOT_RUN:
            del self.claims[command.key]
            return Result(accepted=True, code="released")
        size = len(command.outcome.body)
        if self.recorded_bytes + size > MAX_RECORDED_BYTES:
            existing.outcome = Outcome(ClaimStatus.UNKNOWN)
            return Result(accepted=True, code="not-kept")
        self.recorded_bytes += size
        existing.outcome = command.outcome
        return Result(accepted=True, code="recorded")

    def expire(self, now: float) -> None:
        """Mark expired claims as unknown and drop outcomes after their retention."""
        while self.expiries and self.expiries[0][0] <= now:
            due, key = heapq.heappop(self.expiries)
            claim = self.claims.get(key)
            if claim is None:
                continue
            if due == claim.expires:
                if claim.outcome.status is ClaimStatus.CLAIMED:
                    claim.outcome = Outcome(ClaimStatus.UNKNOWN)
                heapq.heappush(self.expiries, (due + OUTCOME_RETENTION_S, key))
            elif due >= claim.expires + OUTCOME_RETENTION_S:
                self.recorded_bytes -= len(claim.outcome.body)
                del self.claims[key]
            # Any other time is that of an earlier claim of the key, which was released.
