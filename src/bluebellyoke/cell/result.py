"""Results of commands, and the recorded answers that they may carry."""

import enum

import msgspec

__all__ = ["ClaimStatus", "Outcome", "Result", "refuse"]


class ClaimStatus(enum.StrEnum):
    """State of a caller's request that carries an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Recorded answer of a request with an idempotency key."""

    status: ClaimStatus
    code: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Result(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """What applying a command gave.

    Attributes:
        accepted: Whether the state now holds what the command asked for.
        reason: Short explanation; names the remedy of a refusal.
        code: Stable word for programs, such as `accepted` or `stale-number`.
        detail: Further facts by name.
    """

    accepted: bool
    code: str = "accepted"
    reason: str = ""
    detail: dict[str, str] = {}
    outcome: Outcome | None = None


def refuse(code: str, reason: str, **detail: str) -> Result:
    """Return a refusal with a stable code and a reason."""
    return Result(accepted=False, code=code, reason=reason, detail=detail)
