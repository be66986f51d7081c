"""Requests with an idempotency key.

The claim of a key is committed to the log before the request is sent. A resend through
any instance finds the claim and gets the recorded outcome, or the result that the
outcome is unknown.
"""

import itertools
import logging
from collections.abc import Awaitable, Callable

import anyio

from bluebellyoke.cell import commands
from bluebellyoke.clock import Clock
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance.exchange import RequestOutcome, UpstreamResponse
from bluebellyoke.instance.link import LeaderLink
from bluebellyoke.instance.requests import CallerRequest, RequestResult
from bluebellyoke.routing.decisions import RefusalKind
from bluebellyoke.routing.router import Router

__all__ = ["ClaimHandler"]

logger = logging.getLogger("bluebellyoke.routing")

#: Longest body that is recorded as the outcome of an idempotency key, in bytes.
RECORDED_BODY_BYTES = 16 * 1024

#: Interval between two checks of a claim that another request holds, in seconds.
CLAIM_POLL_INTERVAL_S = 0.2

#: Time past a deadline after which the outcome of a claim becomes unknown if none is
#: recorded, in seconds.
CLAIM_MARGIN_S = 5.0

#: Longest time that recording an outcome may delay a response, in seconds.
RECORD_TIMEOUT_S = 2.0


class ClaimHandler:
    """Claims keys and records outcomes for one instance.

    Args:
        router: Router of the instance, which knows whether there is a lease.
        link: Stream to the leader.
        clock: Source of time.
        holder: Name and incarnation of the instance.
    """

    def __init__(
        self, *, router: Router, link: LeaderLink, clock: Clock, holder: str
    ) -> None:
        self._router = router
        self._link = link
        self._clock = clock
        self._holder = holder
        self._claim_ids = itertools.count(1)

    async def handle(
        self,
        request: CallerRequest,
        attempt: Callable[[CallerRequest], Awaitable[RequestResult]],
    ) -> RequestResult:
        """Return the final result of a request with a key.

        Args:
            request: The request.
            attempt: Sends the request; called at most once, after the key is claimed.
        """
        claim = self._build_claim(request)
        earlier = await self._claim(claim, request)
        if earlier is not None:
            return earlier
        result = await attempt(request)
        await self._record(claim, _build_outcome(result))
        return result

    def _build_claim(self, request: CallerRequest) -> commands.ClaimRequest:
        remaining_s = request.deadline - self._clock.monotonic()
        wall_time = self._clock.now().timestamp()
        return commands.ClaimRequest(
            key="|".join((request.workspace, request.service, request.key)),
            digest=request.digest,
            holder=f"{self._holder}/{next(self._claim_ids)}",
            expires=wall_time + remaining_s + CLAIM_MARGIN_S,
        )

    async def _claim(
        self, claim: commands.ClaimRequest, request: CallerRequest
    ) -> RequestResult | None:
        """Claim the key; return a result if this request must not be sent."""
        is_in_progress = False
        while True:
            try:
                result = await self._call(claim, request)
            except BluebellyokeError as error:
                if is_in_progress:
                    logger.info(
                        "routing: lost the leader during the wait for an outcome",
                        extra={"error": str(error)},
                    )
                    return _build_unfinished_result()
                return RequestResult(
                    RequestOutcome.NOT_RUN,
                    RefusalKind.NO_LEASE,
                    str(error),
                    retry_after_s=1.0,
                )
            if result.accepted:
                return None
            if result.code != "in-progress":
                return _build_earlier_result(result)
            is_in_progress = True
            if self._clock.monotonic() + CLAIM_POLL_INTERVAL_S > request.deadline:
                return _build_unfinished_result()
            await anyio.sleep(CLAIM_POLL_INTERVAL_S)

    async def _call(
        self, claim: commands.ClaimRequest, request: CallerRequest
    ) -> commands.Result:
        now = self._clock.monotonic()
        if not self._router.has_lease(now):
            raise NoLeaseError()
        try:
            return await self._link.call(claim, max(request.deadline - now, 0.0))
        except BluebellyokeError:
            # The claim may have reached the log although nothing will be sent for it.
            await self._record(claim, commands.Outcome(commands.ClaimStatus.NOT_RUN))
            raise

    async def _record(
        self, claim: commands.ClaimRequest, outcome: commands.Outcome
    ) -> None:
        """Record an outcome before the caller gets it, if the leader is reachable."""
        command = commands.RecordOutcome(
            key=claim.key, holder=claim.holder, outcome=outcome
        )
        try:
            await self._link.call(command, RECORD_TIMEOUT_S)
        except BluebellyokeError as error:
            logger.warning(
                "routing: could not record an outcome", extra={"error": str(error)}
            )


class NoLeaseError(BluebellyokeError):
    """The instance has no lease, so it may not claim keys."""

    def __init__(self) -> None:
        super().__init__(
            "the instance has no contact with the leader", remedy="use another one"
        )


def _build_outcome(result: RequestResult) -> commands.Outcome:
    if result.outcome is RequestOutcome.NOT_RUN:
        return commands.Outcome(commands.ClaimStatus.NOT_RUN)
    body = result.response.body if result.response is not None else None
    if (
        result.outcome is RequestOutcome.UNKNOWN
        or body is None
        or len(body) > RECORDED_BODY_BYTES
    ):
        return commands.Outcome(commands.ClaimStatus.UNKNOWN)
    headers = tuple(
        (key.decode("latin-1"), value.decode("latin-1"))
        for key, value in result.response.headers
    )
    return commands.Outcome(
        commands.ClaimStatus.DONE, result.response.status, headers, body
    )


def _build_unfinished_result() -> RequestResult:
    """Return the result if an earlier request with the key is still in progress."""
    return RequestResult(
        RequestOutcome.UNKNOWN,
        "in-progress",
        "an earlier request with this key has no outcome yet",
        retry_after_s=1.0,
    )


def _build_earlier_result(result: commands.Result) -> RequestResult:
    """Return the result of a request whose key was claimed before."""
    outcome = result.outcome
    if outcome is None:
        return RequestResult(RequestOutcome.NOT_RUN, result.code, result.reason)
    if outcome.status is not commands.ClaimStatus.DONE:
        return RequestResult(
            RequestOutcome.UNKNOWN,
            "outcome-unknown",
            "an earlier request with this key may have run",
            replayed=True,
        )
    headers = [
        (key.encode("latin-1"), value.encode("latin-1"))
        for key, value in outcome.headers
    ]
    response = UpstreamResponse(outcome.code, headers, outcome.body)
    return RequestResult(RequestOutcome.DONE, response=response, replayed=True)
