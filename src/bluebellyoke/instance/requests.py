"""A caller's request and its one final answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bluebellyoke.instance.exchange import Answer, Exchange, ExchangeRequest, Fate

__all__ = ["CallerRequest", "FinalAnswer"]


@dataclass(slots=True)
class CallerRequest:
    """A caller's request.

    Attributes:
        deadline: Monotonic time by which the caller wants the answer, in seconds.
        key: Idempotency key, or an empty text.
        digest: Identifies method, path and body; empty without a key.
        replayable: Whether the body is held and can be sent again.
        wait_gone: Returns when the caller has closed its connection.
    """

    service: str
    workspace: str
    method: str
    exchange: ExchangeRequest
    arrived: float
    deadline: float
    key: str = ""
    digest: str = ""
    replayable: bool = True
    wait_gone: Callable[[], Awaitable[None]] | None = None


@dataclass(slots=True)
class FinalAnswer:
    """The one answer of a request.

    Attributes:
        fate: What is known of the request.
        answer: Upstream's answer, if `fate` is done.
        exchange: Exchange that still yields chunks of the answer, or None.
        retry_after_s: Time after which another attempt makes sense.
    """

    fate: Fate
    code: str = ""
    reason: str = ""
    answer: Answer | None = None
    exchange: Exchange | None = None
    retry_after_s: float = 0.0
    replayed: bool = False
