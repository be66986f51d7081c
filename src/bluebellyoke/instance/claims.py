"""Requests with an idempotency key: claimed, sent once, recorded.

The key is durable in the log before the request is sent. A resend through any instance
finds the claim and gets the recorded outcome, or learns that it is unknown.
"""

import itertools
import logging
from collections.abc import Awaitable, Callable

import anyio

from bluebellyoke.cell import commands as c
from bluebellyoke.clock import Clock
from bluebellyoke.errors import BluebellyokeError
from bluebellyoke.instance.exchange import Answer, Fate
from bluebellyoke.instance.link import LeaderLink
from bluebellyoke.instance.requests import CallerRequest, FinalAnswer
from bluebellyoke.routing.decisions import RefusalKind
from bluebellyoke.routing.router import Router

__all__ = ["ClaimKeeper"]

logger = logging.getLogger("bluebellyoke.routing")

#: Longest body that is recorded as the outcome of an idempotency key.
RECORDED_BODY_BYTES = 16 * 1024

#: Time between two looks at a claim that another request holds, in seconds.
CLAIM_POLL_S = 0.2

#: Time past a deadline at which a claim without an outcome becomes unknown.
CLAIM_MARGIN_S = 5.0

#: Longest time that recording an outcome may hold an answer up, in seconds.
RECORD_TIMEOUT_S = 2.0


class ClaimKeeper:
    """Claims keys and records outcomes for one instance.

    Args:
        router: Knows whether the instance has its lease.
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
        self._numbers = itertools.count(1)

    async def handle(
        self,
        request: CallerRequest,
        attempt: Callable[[CallerRequest], Awaitable[FinalAnswer]],
    ) -> FinalAnswer:
        """Return the final answer of a request with a key.

        Args:
            request: The request.
            attempt: Sends the request; called at most once, after the claim.
        """
        claim = self._build_claim(request)
        earlier = await self._claim(claim, request)
        if earlier is not None:
            return earlier
        answer = await attempt(request)
        await self._record(claim, _build_outcome(answer))
        return answer

    def _build_claim(self, request: CallerRequest) -> c.ClaimRequest:
        left = request.deadline - self._clock.monotonic()
        wall = self._clock.now().timestamp()
        return c.ClaimRequest(
            key="|".join((request.workspace, request.service, request.key)),
            digest=request.digest,
            holder=f"{self._holder}/{next(self._numbers)}",
            expires=wall + left + CLAIM_MARGIN_S,
        )

    async def _claim(
        self, claim: c.ClaimRequest, request: CallerRequest
    ) -> FinalAnswer | None:
        """Claim the key; return the answer if it is not this request's to send."""
        while True:
            try:
                result = await self._call(claim, request)
            except BluebellyokeError as error:
                return FinalAnswer(
                    Fate.NOT_RUN, RefusalKind.NO_LEASE, str(error), retry_after_s=1.0
                )
            if result.accepted:
                return None
            if result.code != "in-progress":
                return _build_answer(result)
            if self._clock.monotonic() + CLAIM_POLL_S > request.deadline:
                return FinalAnswer(
                    Fate.UNKNOWN,
                    "in-progress",
                    "an earlier request with this key has no outcome yet",
                    retry_after_s=1.0,
                )
            await anyio.sleep(CLAIM_POLL_S)

    async def _call(self, claim: c.ClaimRequest, request: CallerRequest) -> c.Result:
        now = self._clock.monotonic()
        if not self._router.has_lease(now):
            raise NoContactError()
        try:
            return await self._link.call(claim, max(request.deadline - now, 0.0))
        except BluebellyokeError:
            # The claim may have reached the log, and nothing will be sent for it.
            await self._record(claim, c.Outcome(c.ClaimStatus.NOT_RUN))
            raise

    async def _record(self, claim: c.ClaimRequest, outcome: c.Outcome) -> None:
        """Record an outcome before the caller sees it, if the leader is there."""
        command = c.RecordOutcome(key=claim.key, holder=claim.holder, outcome=outcome)
        try:
            await self._link.call(command, RECORD_TIMEOUT_S)
        except BluebellyokeError as error:
            logger.warning(
                "routing: could not record an outcome", extra={"error": str(error)}
            )


class NoContactError(BluebellyokeError):
    """The instance has no lease, so it claims nothing."""

    def __init__(self) -> None:
        super().__init__(
            "the instance has no contact with the leader", remedy="use another one"
        )


def _build_outcome(answer: FinalAnswer) -> c.Outcome:
    if answer.fate is Fate.NOT_RUN:
        return c.Outcome(c.ClaimStatus.NOT_RUN)
    body = answer.answer.body if answer.answer is not None else None
    if answer.fate is Fate.UNKNOWN or body is None or len(body) > RECORDED_BODY_BYTES:
        return c.Outcome(c.ClaimStatus.UNKNOWN)
    headers = tuple(
        (key.decode("latin-1"), value.decode("latin-1"))
        for key, value in answer.answer.headers
    )
    return c.Outcome(c.ClaimStatus.DONE, answer.answer.status, headers, body)


def _build_answer(result: c.Result) -> FinalAnswer:
    """Return the answer of a request whose key was claimed before."""
    outcome = result.outcome
    if outcome is None:
        return FinalAnswer(Fate.NOT_RUN, result.code, result.reason)
    if outcome.status is not c.ClaimStatus.DONE:
        return FinalAnswer(
            Fate.UNKNOWN,
            "outcome-unknown",
            "an earlier request with this key may have run",
            replayed=True,
        )
    headers = [
        (key.encode("latin-1"), value.encode("latin-1"))
        for key, value in outcome.headers
    ]
    answer = Answer(outcome.code, headers, outcome.body)
    return FinalAnswer(Fate.DONE, answer=answer, replayed=True)
