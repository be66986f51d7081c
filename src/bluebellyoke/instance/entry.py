"""Entry duties: callers' requests from arrival to their one final answer.

A request ends in one of three ways. `done` is the upstream's whole answer.
`not-run` means that nothing reached an upstream. `unknown` means that it may have
run.
"""

import itertools
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.cell import commands as c
from bluebellyoke.clock import Clock
from bluebellyoke.instance import wire as w
from bluebellyoke.instance.claims import ClaimKeeper
from bluebellyoke.instance.connections import ConnectionStore
from bluebellyoke.instance.exchange import Exchange, Fate
from bluebellyoke.instance.link import LeaderLink
from bluebellyoke.instance.requests import CallerRequest, FinalAnswer
from bluebellyoke.metrics import Metrics
from bluebellyoke.routing.decisions import Dispatch, Refusal, RefusalKind
from bluebellyoke.routing.queue import RouteRequest
from bluebellyoke.routing.router import Router

__all__ = ["Entry"]

logger = logging.getLogger("bluebellyoke.routing")

#: Time between two looks at the queues, in seconds.
ADVANCE_S = 0.02

#: Time after a request's deadline for which an abandoned exchange is drained.
DRAIN_S = 30.0

CALLER_LEFT = Refusal(
    kind=RefusalKind.CALLER_LEFT,
    reason="the caller closed its connection while its request waited",
    retry_after_s=0.0,
)


@dataclass(slots=True)
class Waiter:
    """A request that waits in the router's queue."""

    event: anyio.Event = field(default_factory=anyio.Event)
    dispatch: Dispatch | None = None
    refusal: Refusal | None = None


class Entry:
    """Routes callers' requests of one instance.

    Args:
        router: Decisions.
        link: Stream to the leader.
        clock: Source of time.
        holder: Name and incarnation of the instance.
        metrics: Histograms and counters.
    """

    def __init__(
        self,
        *,
        router: Router,
        link: LeaderLink,
        clock: Clock,
        holder: str,
        metrics: Metrics,
    ) -> None:
        self.router = router
        self._link = link
        self._clock = clock
        self._holder = holder
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._waiters: dict[int, Waiter] = {}
        self._connections = ConnectionStore()
        self._claims = ClaimKeeper(router=router, link=link, clock=clock, holder=holder)
        self._tasks: TaskGroup | None = None
        self._renewals: dict[str, w.Renewal] = {}
        self.open_requests = 0

    async def run(self) -> None:
        """Look after the queues until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                while True:
                    await anyio.sleep(ADVANCE_S)
                    self.advance()
            finally:
                with anyio.CancelScope(shield=True):
                    await self._connections.close()

    def advance(self) -> None:
        """Send and refuse waiting requests by the present state."""
        for dispatch in self.router.advance(self._clock.monotonic()):
            waiter = self._waiters.get(dispatch.request.id)
            if waiter is None:
                self.router.release(dispatch.slot)
                continue
            waiter.dispatch = dispatch
            waiter.event.set()
        refused, self.router.refused = self.router.refused, []
        for request, refusal in refused:
            waiter = self._waiters.get(request.id)
            if waiter is not None:
                waiter.refusal = refusal
                waiter.event.set()

    def on_leader_message(self, message: w.FromLeader) -> None:
        """Take a message of the leader and act on what it changes."""
        self.router.receive(message)
        if isinstance(message, w.Recall):
            # Others wait for the slots that this gives back.
            self._link.request_poll()
        self.advance()

    def build_poll(self) -> w.Poll:
        """Return the next poll, with the renewals since the last one."""
        renewals = tuple(self._renewals.values())
        self._renewals.clear()
        return self.router.build_poll(self._clock.monotonic(), renewals)

    def renew_upstream(
        self, announcement: c.AnnounceUpstream, renewal: w.Renewal
    ) -> bool:
        """Keep a renewal for the next poll if the announcement changes nothing.

        An instance without a lease keeps none, so that the upstream asks elsewhere.
        """
        known = self.router.view.upstreams.get(announcement.upstream)
        if known is None or not self.router.has_lease(self._clock.monotonic()):
            return False
        if (known.incarnation, known.slots, known.connections, known.leaving) != (
            announcement.incarnation,
            announcement.slots,
            announcement.connections,
            announcement.leaving,
        ):
            return False
        self._renewals[announcement.upstream] = renewal
        return True

    # One request.

    async def handle(self, request: CallerRequest) -> FinalAnswer:
        """Return the final answer of a request."""
        self.open_requests += 1
        try:
            if request.key:
                answer = await self._claims.handle(request, self._attempt)
            else:
                answer = await self._attempt(request)
        finally:
            self.open_requests -= 1
        self._metrics.note_request(
            answer.fate.value, self._clock.monotonic() - request.arrived
        )
        return answer

    async def _attempt(self, request: CallerRequest) -> FinalAnswer:
        """Send a request, and again while that is safe and allowed.

        Once an attempt may have run, a later refusal does not make the request "not
        run" any more.
        """
        avoid: frozenset[str] = frozenset()
        unknown: FinalAnswer | None = None
        while True:
            dispatch = await self._find_slot(request, avoid)
            if isinstance(dispatch, Refusal):
                self._log_refusal(request, dispatch)
                return unknown or FinalAnswer(
                    Fate.NOT_RUN,
                    dispatch.kind,
                    dispatch.reason,
                    retry_after_s=dispatch.retry_after_s,
                )
            self._log_dispatch(request, dispatch)
            answer = await self._exchange(request, dispatch)
            if answer.fate is Fate.UNKNOWN:
                unknown = answer
            if not self._may_retry(request, answer):
                return answer if answer.fate is Fate.DONE else unknown or answer
            avoid |= {dispatch.target.name}

    def _may_retry(self, request: CallerRequest, answer: FinalAnswer) -> bool:
        if answer.fate is Fate.DONE or not request.replayable:
            return False
        if answer.fate is Fate.UNKNOWN and not self._is_idempotent(request):
            return False
        if self._clock.monotonic() >= request.deadline:
            return False
        return self.router.take_retry()

    def _is_idempotent(self, request: CallerRequest) -> bool:
        service = self.router.view.services.get(request.service)
        return service is not None and request.method in service.idempotent_methods

    async def _find_slot(
        self, request: CallerRequest, avoid: frozenset[str]
    ) -> Dispatch | Refusal:
        now = self._clock.monotonic()
        routed = RouteRequest(
            next(self._numbers),
            request.service,
            request.workspace,
            now,
            request.deadline,
            avoid,
        )
        decision = self.router.submit(routed, now)
        if decision is not None:
            return decision
        waiter = self._waiters[routed.id] = Waiter()
        self._link.request_poll()
        try:
            await self._wait_for_turn(request, waiter)
        except BaseException:
            if waiter.dispatch is not None:
                self.router.release(waiter.dispatch.slot)
            raise
        finally:
            self.router.cancel(routed)
            del self._waiters[routed.id]
        return waiter.dispatch or waiter.refusal or CALLER_LEFT

    async def _wait_for_turn(self, request: CallerRequest, waiter: Waiter) -> None:
        """Wait until the router has decided or the caller has left."""
        async with anyio.create_task_group() as tasks:
            if request.wait_gone is not None:
                tasks.start_soon(_set_when_gone, request.wait_gone, waiter.event)
            await waiter.event.wait()
            tasks.cancel_scope.cancel()

    async def _exchange(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> FinalAnswer:
        number = f"{self._holder}/{dispatch.request.id}".encode()
        left = request.deadline - self._clock.monotonic()
        request.exchange.headers = _replace_headers(
            request.exchange.headers, self._holder, number, left
        )
        exchange = Exchange(dispatch.target, request.exchange, number)
        self._tasks.start_soon(self._run_exchange, exchange, dispatch, left + DRAIN_S)
        with anyio.move_on_after(max(left, 0.0)):
            await exchange.head.wait()
        if exchange.answer is not None and exchange.chunks is not None:
            return FinalAnswer(Fate.DONE, answer=exchange.answer, exchange=exchange)
        if not exchange.finished.is_set():
            return FinalAnswer(
                Fate.UNKNOWN, "timeout", "the upstream did not answer in time"
            )
        if exchange.fate is Fate.DONE:
            return FinalAnswer(Fate.DONE, answer=exchange.answer)
        return FinalAnswer(
            exchange.fate, "upstream-failed", exchange.error, retry_after_s=1.0
        )

    async def _run_exchange(
        self, exchange: Exchange, dispatch: Dispatch, limit_s: float
    ) -> None:
        """Run an exchange to its end and free the slot."""
        sent = self._clock.monotonic()
        try:
            await exchange.run(self._connections, limit_s)
        finally:
            now = self._clock.monotonic()
            self.router.release(dispatch.slot)
            answered = exchange.fate is Fate.DONE
            if answered and exchange.answer.status < 500:
                self.router.note_answer(dispatch, sent, now)
            elif self.router.note_failure(dispatch, now, answered=answered):
                logger.warning(
                    "routing: shuts out an upstream",
                    extra={"upstream": dispatch.target.name, "error": exchange.error},
                )
            self.advance()

    # Logs.

    def _log_dispatch(self, request: CallerRequest, dispatch: Dispatch) -> None:
        now = self._clock.monotonic()
        self._metrics.note_wait(now - request.arrived)
        logger.info(
            "routing: sends a request",
            extra={
                "service": request.service,
                "workspace": request.workspace,
                "upstream": dispatch.target.name,
                "reason": dispatch.reason,
                "waited_s": round(now - request.arrived, 4),
            },
        )

    def _log_refusal(self, request: CallerRequest, refusal: Refusal) -> None:
        logger.info(
            "routing: refuses a request",
            extra={
                "service": request.service,
                "workspace": request.workspace,
                "kind": refusal.kind,
                "reason": refusal.reason,
                "retry_after_s": round(refusal.retry_after_s, 3),
            },
        )


async def _set_when_gone(
    wait_gone: Callable[[], Awaitable[None]], event: anyio.Event
) -> None:
    await wait_gone()
    event.set()


def _replace_headers(
    headers: list[tuple[bytes, bytes]], holder: str, number: bytes, left_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the headers with the ones that each attempt sets anew."""
    own = {
        b"bluebellyoke-instance": holder.encode(),
        b"bluebellyoke-request": number,
        b"bluebellyoke-deadline-ms": str(max(int(left_s * 1000), 0)).encode(),
    }
    kept = [item for item in headers if item[0].lower() not in own]
    return kept + list(own.items())
