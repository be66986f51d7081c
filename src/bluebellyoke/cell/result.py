"""Results of commands and the recorded outcomes that they may carry."""

import enum

import msgspec

__all__ = ["ClaimStatus", "Outcome", "Result", "refuse"]


class ClaimStatus(enum.StrEnum):
    """State of a request with an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Recorded response to a request with an idempotency key.

    Attributes:
        code: HTTP status code.
    """

    status: ClaimStatus
    code: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Result(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Result of applying a command.

    Attributes:
        accepted: Whether the state reflects the command.
        code: Stable machine-readable code, such as `accepted` or `stale-number`.
        reason: Short explanation; for a refusal it includes a remedy.
        detail: Further values by name.
        outcome: Recorded outcome of the claimed request, if any.
    """

    accepted: bool
    code: str = "accepted"
    reason: str = ""
    detail: dict[str, str] = {}
    outcome: Outcome | None = None


def refuse(code: str, reason: str, **detail: str) -> Result:
    """Return the result of a refused command."""
    return Result(accepted=False, code=code, reason=reason, detail=detail)
