"""Proxy of callers' requests: from their arrival to their final result.

A request has one of three outcomes. `done` carries the upstream's whole response.
`not-run` means that nothing reached an upstream. `unknown` means that it may have
run.
"""

import itertools
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from bluebellyoke.cell import commands
from bluebellyoke.clock import Clock
from bluebellyoke.instance import wire
from bluebellyoke.instance.claims import ClaimHandler
from bluebellyoke.instance.connections import ConnectionPool
from bluebellyoke.instance.exchange import Exchange, RequestOutcome
from bluebellyoke.instance.link import LeaderLink
from bluebellyoke.instance.requests import CallerRequest, RequestResult
from bluebellyoke.metrics import Metrics
from bluebellyoke.routing.decisions import Dispatch, Refusal, RefusalKind
from bluebellyoke.routing.queue import RouteRequest
from bluebellyoke.routing.router import Router

__all__ = ["RequestProxy"]

logger = logging.getLogger("bluebellyoke.routing")

#: Interval between two passes over the queues, in seconds.
QUEUE_INTERVAL_S = 0.02

#: Time after a request's deadline for which an abandoned exchange is drained, in
#: seconds.
DRAIN_TIMEOUT_S = 30.0

CALLER_LEFT = Refusal(
    kind=RefusalKind.CALLER_LEFT,
    reason="the caller closed its connection while its request waited",
    retry_after_s=0.0,
)


@dataclass(slots=True)
class Waiter:
    """A request in the router's queue, and the router's decision on it."""

    event: anyio.Event = field(default_factory=anyio.Event)
    dispatch: Dispatch | None = None
    refusal: Refusal | None = None


class RequestProxy:
    """Sends the callers' requests of one instance to upstreams.

    Args:
        router: Decides where requests go.
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
        self._request_ids = itertools.count(1)
        self._waiters: dict[int, Waiter] = {}
        self._has_waiters = anyio.Event()
        self._connections = ConnectionPool()
        self._claims = ClaimHandler(
            router=router, link=link, clock=clock, holder=holder
        )
        self._tasks: TaskGroup | None = None
        self._renewals: dict[str, wire.Renewal] = {}
        self.open_requests = 0

    async def run(self) -> None:
        """Process the queues until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                while True:
                    if not self._waiters:
                        self._has_waiters = anyio.Event()
                        await self._has_waiters.wait()
                    await anyio.sleep(QUEUE_INTERVAL_S)
                    self.process_queues()
            finally:
                with anyio.CancelScope(shield=True):
                    await self._connections.close()

    def process_queues(self) -> None:
        """Send or refuse the waiting requests that the router decides on now."""
        for dispatch in self.router.process_queues(self._clock.monotonic()):
            waiter = self._waiters.get(dispatch.request.id)
            if waiter is None:
                self.router.release_slot(dispatch.slots)
                continue
            waiter.dispatch = dispatch
            waiter.event.set()
        refused, self.router.refused = self.router.refused, []
        for request, refusal in refused:
            waiter = self._waiters.get(request.id)
            if waiter is not None:
                waiter.refusal = refusal
                waiter.event.set()

    def handle_leader_message(self, message: wire.FromLeader) -> None:
        """Pass a message of the leader to the router and process the queues."""
        self.router.receive(message)
        if isinstance(message, wire.Recall):
            # Other instances wait for the slots that this one releases.
            self._link.request_poll()
        self.process_queues()

    def build_poll(self) -> wire.Poll:
        """Return the next poll, with the renewals since the last one."""
        renewals = tuple(self._renewals.values())
        self._renewals.clear()
        return self.router.build_poll(self._clock.monotonic(), renewals)

    def queue_renewal(
        self, announcement: commands.AnnounceUpstream, renewal: wire.Renewal
    ) -> bool:
        """Keep a renewal for the next poll if the announcement changes nothing.

        An instance without a lease keeps none, so that the upstream tries another
        instance.

        Returns:
            Whether the renewal was kept.
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

    async def handle(self, request: CallerRequest) -> RequestResult:
        """Return the final result of a request."""
        self.open_requests += 1
        try:
            if request.key:
                result = await self._claims.handle(request, self._send_with_retries)
            else:
                result = await self._send_with_retries(request)
        finally:
            self.open_requests -= 1
        self._metrics.record_request(
            result.outcome.value, self._clock.monotonic() - request.arrived_at
        )
        return result

    async def _send_with_retries(self, request: CallerRequest) -> RequestResult:
        """Send a request, and retry it while that is safe and allowed.

        Once an attempt may have run, the outcome is unknown rather than "not run", even
        if a later attempt is refused.
        """
        excluded: frozenset[str] = frozenset()
        unknown: RequestResult | None = None
        while True:
            dispatch = await self._acquire_slot(request, excluded)
            if isinstance(dispatch, Refusal):
                self._log_refusal(request, dispatch)
                return unknown or RequestResult(
                    RequestOutcome.NOT_RUN,
                    dispatch.kind,
                    dispatch.reason,
                    retry_after_s=dispatch.retry_after_s,
                )
            self._log_dispatch(request, dispatch)
            result = await self._send(request, dispatch)
            if result.outcome is RequestOutcome.UNKNOWN:
                unknown = result
            if not self._may_retry(request, result):
                return (
                    result
                    if result.outcome is RequestOutcome.DONE
                    else unknown or result
                )
            excluded |= {dispatch.upstream.name}

    def _may_retry(self, request: CallerRequest, result: RequestResult) -> bool:
        if result.outcome is RequestOutcome.DONE or not request.can_resend:
            return False
        if result.outcome is RequestOutcome.UNKNOWN and not self._can_repeat(request):
            return False
        if self._clock.monotonic() >= request.deadline:
            return False
        return self.router.take_retry_token()

    def _can_repeat(self, request: CallerRequest) -> bool:
        """Return whether the request is idempotent, so that it may run twice."""
        service = self.router.view.services.get(request.service)
        return service is not None and request.method in service.idempotent_methods

    async def _acquire_slot(
        self, request: CallerRequest, excluded: frozenset[str]
    ) -> Dispatch | Refusal:
        """Wait until the router assigns a slot to the request or refuses it."""
        now = self._clock.monotonic()
        routed = RouteRequest(
            next(self._request_ids),
            request.service,
            request.workspace,
            now,
            request.deadline,
            excluded,
        )
        decision = self.router.submit(routed, now)
        if decision is not None:
            return decision
        waiter = self._waiters[routed.id] = Waiter()
        self._has_waiters.set()
        self._link.request_poll()
        try:
            await self._wait_for_decision(request, waiter)
        except BaseException:
            if waiter.dispatch is not None:
                self.router.release_slot(waiter.dispatch.slots)
            raise
        finally:
            self.router.cancel(routed)
            del self._waiters[routed.id]
        return waiter.dispatch or waiter.refusal or CALLER_LEFT

    async def _wait_for_decision(self, request: CallerRequest, waiter: Waiter) -> None:
        """Wait until the router has decided or the caller has disconnected."""
        async with anyio.create_task_group() as tasks:
            if request.wait_closed is not None:
                tasks.start_soon(_set_when_closed, request.wait_closed, waiter.event)
            await waiter.event.wait()
            tasks.cancel_scope.cancel()

    async def _send(self, request: CallerRequest, dispatch: Dispatch) -> RequestResult:
        """Send one attempt and wait for its response until the deadline."""
        request_id = f"{self._holder}/{dispatch.request.id}".encode()
        remaining_s = request.deadline - self._clock.monotonic()
        request.upstream_request.headers = _replace_attempt_headers(
            request.upstream_request.headers, self._holder, request_id, remaining_s
        )
        exchange = Exchange(dispatch.upstream, request.upstream_request, request_id)
        self._tasks.start_soon(
            self._run_exchange, exchange, dispatch, remaining_s + DRAIN_TIMEOUT_S
        )
        with anyio.move_on_after(max(remaining_s, 0.0)):
            await exchange.head_ready.wait()
        if exchange.response is not None and exchange.chunks is not None:
            return RequestResult(
                RequestOutcome.DONE, response=exchange.response, exchange=exchange
            )
        if not exchange.finished.is_set():
            return RequestResult(
                RequestOutcome.UNKNOWN,
                "timeout",
                "the upstream did not answer in time",
            )
        if exchange.outcome is RequestOutcome.DONE:
            return RequestResult(RequestOutcome.DONE, response=exchange.response)
        return RequestResult(
            exchange.outcome, "upstream-failed", exchange.error, retry_after_s=1.0
        )

    async def _run_exchange(
        self, exchange: Exchange, dispatch: Dispatch, timeout_s: float
    ) -> None:
        """Run an exchange to its end and release its slot."""
        sent_at = self._clock.monotonic()
        try:
            await exchange.run(self._connections, timeout_s)
        finally:
            now = self._clock.monotonic()
            self.router.release_slot(dispatch.slots)
            has_response = exchange.outcome is RequestOutcome.DONE
            if has_response and exchange.response.status < 500:
                self.router.record_response(dispatch, sent_at, now)
            elif self.router.record_failure(dispatch, now, has_response=has_response):
                logger.warning(
                    "routing: opened an upstream's circuit breaker",
                    extra={
                        "upstream": dispatch.upstream.name,
                        "error": exchange.error,
                    },
                )
            self.process_queues()

    # Logs.

    def _log_dispatch(self, request: CallerRequest, dispatch: Dispatch) -> None:
        now = self._clock.monotonic()
        self._metrics.record_request_wait(now - request.arrived_at)
        logger.info(
            "routing: sends a request",
            extra={
                "service": request.service,
                "workspace": request.workspace,
                "upstream": dispatch.upstream.name,
                "reason": dispatch.reason,
                "waited_s": round(now - request.arrived_at, 4),
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


async def _set_when_closed(
    wait_closed: Callable[[], Awaitable[None]], event: anyio.Event
) -> None:
    await wait_closed()
    event.set()


def _replace_attempt_headers(
    headers: list[tuple[bytes, bytes]],
    holder: str,
    request_id: bytes,
    remaining_s: float,
) -> list[tuple[bytes, bytes]]:
    """Return the headers with new values for those that differ by attempt."""
    replaced = {
        b"bluebellyoke-instance": holder.encode(),
        b"bluebellyoke-request": request_id,
        b"bluebellyoke-deadline-ms": str(max(int(remaining_s * 1000), 0)).encode(),
    }
    kept = [item for item in headers if item[0].lower() not in replaced]
    return kept + list(replaced.items())
