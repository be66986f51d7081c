"""A caller's request and its final result."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bluebellyoke.instance.exchange import (
    Exchange,
    RequestOutcome,
    UpstreamRequest,
    UpstreamResponse,
)

__all__ = ["CallerRequest", "RequestResult"]


@dataclass(slots=True)
class CallerRequest:
    """A caller's request.

    Attributes:
        upstream_request: Request to send to an upstream.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which the caller wants the response, in seconds.
        key: Idempotency key, or an empty string.
        digest: Digest of method, path and body; empty without a key.
        replayable: Whether the body is buffered and can be sent again.
        wait_closed: Returns when the caller has closed its connection.
    """

    service: str
    workspace: str
    method: str
    upstream_request: UpstreamRequest
    arrived_at: float
    deadline: float
    key: str = ""
    digest: str = ""
    replayable: bool = True
    wait_closed: Callable[[], Awaitable[None]] | None = None


@dataclass(slots=True)
class RequestResult:
    """The final result of a request; each request gets exactly one.

    Attributes:
        outcome: Whether the request was run, as far as is known.
        code: Code of a refusal or failure, or an empty string.
        reason: Explanation of the code for the caller.
        response: Upstream's response, if `outcome` is done.
        exchange: Exchange that still yields chunks of the response, or None.
        retry_after_s: Time after which the caller may retry, in seconds.
        replayed: Whether the result is that of an earlier request with the same key.
    """

    outcome: RequestOutcome
    code: str = ""
    reason: str = ""
    response: UpstreamResponse | None = None
    exchange: Exchange | None = None
    retry_after_s: float = 0.0
    replayed: bool = False
