"""Routing of callers' requests at one instance.

The router bases its decisions on what the instance holds: slots granted by the leader,
the lease that keeps them valid and the current view. It does no I/O.

Rules:
    * A request is sent only on a free slot that the instance holds, under a live
      lease, to an upstream that is not leaving.
    * A request that cannot meet its deadline is refused at once as not run, with the
      time after which the caller may retry.
    * A workspace's queue is bounded, and workspaces are served by weight.
    * A slot is free again when the upstream has finished with the request, not when
      the caller has disconnected.
"""

import math
from collections.abc import Iterator

from bluebellyoke.cell.state import UpstreamView, ViewUpdate
from bluebellyoke.instance import wire
from bluebellyoke.routing.decisions import (
    Dispatch,
    LatencyEstimate,
    Refusal,
    RefusalKind,
    UpstreamSlots,
)
from bluebellyoke.routing.queue import FairQueue, RouteRequest
from bluebellyoke.routing.view import LocalView

__all__ = ["Router"]

#: Maximum number of waiting requests of one workspace for one service at one instance.
MAX_QUEUED_PER_WORKSPACE = 256

#: Retry-After time while the instance has no lease or no upstream, in seconds.
UNAVAILABLE_RETRY_S = 1.0

#: Longest wait for a slot of a service of which the instance holds none, in seconds.
MAX_FIRST_SLOT_WAIT_S = 2.0

#: Latency relative to the fastest upstream above which an upstream ranks behind.
SLOW_LATENCY_RATIO = 3.0

#: Retry tokens earned by each whole response, and the maximum number kept. Each retry
#: costs one token.
RETRY_TOKENS_PER_RESPONSE = 0.1
MAX_RETRY_TOKENS = 20.0


class Router:
    """Routes the requests of one instance.

    Args:
        data_centre: Data centre of the instance, whose upstreams are preferred.

    Attributes:
        view: Configuration and upstreams as known to the instance.
        lease_expiry: Monotonic time at which the lease ends, in seconds.
        draining: Whether to refuse new requests and release idle slots.
        refused: Queued requests that were refused, for the caller to collect.
    """

    def __init__(self, *, data_centre: str) -> None:
        self.view = LocalView()
        self.lease_expiry = float("-inf")
        self.draining = False
        self.refused: list[tuple[RouteRequest, Refusal]] = []
        self._data_centre = data_centre
        self._slots: dict[tuple[str, str], UpstreamSlots] = {}
        self._queues: dict[str, FairQueue] = {}
        self._latencies: dict[str, LatencyEstimate] = {}
        self._last_grant = 0
        self._retry_tokens = MAX_RETRY_TOKENS

    # Messages from the leader.

    def reset_last_grant(self) -> None:
        """Reset the number of the last grant, as each new stream numbers its own."""
        self._last_grant = 0

    def receive(self, message: wire.FromLeader) -> None:
        """Handle a poll reply, a new view, a grant or a recall."""
        if isinstance(message, wire.PollReply):
            self._handle_poll_reply(message)
        elif isinstance(message, ViewUpdate):
            self.view.update(message)
            self._release_stale_slots()
        elif isinstance(message, wire.Grant):
            self._last_grant = message.number
            self._get_slots(message.upstream, message.incarnation).grant(message.slots)
        elif isinstance(message, wire.Recall):
            slots = self._get_slots(message.upstream, message.incarnation)
            slots.keep = message.keep
            slots.release_excess()

    def _handle_poll_reply(self, reply: wire.PollReply) -> None:
        if reply.view is not None:
            self.view.update(reply.view)
        for limit in reply.limits:
            slots = self._get_slots(limit.upstream, limit.incarnation)
            slots.held = min(slots.held, limit.held)
        self.lease_expiry = max(self.lease_expiry, reply.sent_at + reply.lease_s)
        self._release_stale_slots()

    def _get_slots(self, upstream: str, incarnation: str) -> UpstreamSlots:
        key = (upstream, incarnation)
        slots = self._slots.get(key)
        if slots is None:
            slots = self._slots[key] = UpstreamSlots(upstream, incarnation)
        return slots

    def _release_stale_slots(self) -> None:
        """Release the slots of upstreams that are leaving or gone."""
        for key, slots in list(self._slots.items()):
            known = self.view.upstreams.get(slots.upstream)
            is_gone = known is None or known.incarnation != slots.incarnation
            if is_gone or known.leaving:
                slots.keep = 0
                slots.release_excess()
            if is_gone and not slots.held and not slots.in_use:
                del self._slots[key]

    def build_poll(
        self, now: float, renewals: tuple[wire.Renewal, ...] = ()
    ) -> wire.Poll:
        """Return the poll that reports the instance's holdings and demands."""
        if self.draining:
            self._release_all_slots()
        return wire.Poll(
            sent_at=now,
            view_version=self.view.version,
            last_grant=self._last_grant,
            holdings=tuple(
                wire.Holding(
                    slots.upstream, slots.incarnation, slots.held, slots.in_use
                )
                for slots in self._slots.values()
            ),
            demands=tuple(
                wire.Demand(service, len(queue))
                for service, queue in self._queues.items()
                if len(queue)
            ),
            renewals=renewals,
            draining=self.draining,
        )

    def _release_all_slots(self) -> None:
        for slots in self._slots.values():
            slots.keep = 0
            slots.release_excess()

    @property
    def active_requests(self) -> int:
        """Number of requests that occupy a slot or wait for one."""
        return sum(slots.in_use for slots in self._slots.values()) + sum(
            len(queue) for queue in self._queues.values()
        )

    def has_lease(self, now: float) -> bool:
        """Return whether the instance may use the slots that it holds."""
        return now < self.lease_expiry

    # Requests.

    def submit(self, request: RouteRequest, now: float) -> Dispatch | Refusal | None:
        """Dispatch, refuse or queue a request; None means that it is queued."""
        refusal = self._check_admission(request, now)
        if refusal is not None:
            return refusal
        queue = self._queues.setdefault(request.service, FairQueue())
        if not len(queue):
            dispatch = self._dispatch(request, now)
            if dispatch is not None:
                return dispatch
        refusal = self._check_queue(request, queue, now)
        if refusal is not None:
            return refusal
        # A queued retry accepts any upstream; otherwise it would block the requests
        # behind it.
        request.excluded = frozenset()
        queue.push(request, self._get_weight(request.workspace))
        return None

    def _check_admission(self, request: RouteRequest, now: float) -> Refusal | None:
        if self.draining:
            return Refusal(
                kind=RefusalKind.DRAINING,
                reason="the instance is about to stop; use another one",
                retry_after_s=UNAVAILABLE_RETRY_S,
            )
        if not self.has_lease(now):
            return Refusal(
                kind=RefusalKind.NO_LEASE,
                reason="the instance has no contact with the leader; use another one",
                retry_after_s=UNAVAILABLE_RETRY_S,
            )
        service = self.view.services.get(request.service)
        if service is None:
            return Refusal(
                kind=RefusalKind.UNKNOWN_SERVICE,
                reason=f"no ticket declares service {request.service!r}",
                retry_after_s=0.0,
            )
        if request.workspace not in self.view.workspaces:
            return Refusal(
                kind=RefusalKind.UNKNOWN_WORKSPACE,
                reason=f"no ticket declares workspace {request.workspace!r}",
                retry_after_s=0.0,
            )
        if not service.enabled:
            return Refusal(
                kind=RefusalKind.SERVICE_DISABLED,
                reason="the service is switched off by a ticket",
                retry_after_s=0.0,
            )
        if not any(self._list_upstreams(request.service)):
            return Refusal(
                kind=RefusalKind.NO_UPSTREAM,
                reason="no upstream of the service is known",
                retry_after_s=UNAVAILABLE_RETRY_S,
            )
        return None

    def _list_upstreams(self, service: str) -> Iterator[UpstreamView]:
        for upstream in self.view.upstreams.values():
            if upstream.service == service and not upstream.leaving:
                yield upstream

    def _get_weight(self, workspace: str) -> float:
        spec = self.view.workspaces.get(workspace)
        return max(spec.share, 1e-6) if spec is not None else 1.0

    def _check_queue(
        self, request: RouteRequest, queue: FairQueue, now: float
    ) -> Refusal | None:
        """Return a refusal if the queue is full or the wait would be too long."""
        if queue.count(request.workspace) >= MAX_QUEUED_PER_WORKSPACE:
            wait_s = self._estimate_wait(request, queue)
            return Refusal(
                kind=RefusalKind.QUEUE_FULL,
                reason="the workspace already has its full queue",
                retry_after_s=wait_s,
            )
        wait_s = self._estimate_wait(request, queue)
        needed_s = wait_s + self._get_latency(request.service).upper_bound
        if now + needed_s > request.deadline:
            return Refusal(
                kind=RefusalKind.DEADLINE,
                reason="the answer would come after the deadline",
                retry_after_s=wait_s,
            )
        return None

    def _estimate_wait(self, request: RouteRequest, queue: FairQueue) -> float:
        """Return the expected wait for a slot, in seconds."""
        held = sum(slots.limit for _, slots in self._list_slots(request.service))
        if held <= 0:
            return 0.0
        weight = self._get_weight(request.workspace)
        ahead = queue.count_ahead(request.workspace, weight) + 1
        return ahead * self._get_latency(request.service).mean / held

    def _get_latency(self, service: str) -> LatencyEstimate:
        latency = self._latencies.get(service)
        if latency is None:
            latency = self._latencies[service] = LatencyEstimate()
        return latency

    def _list_slots(self, service: str) -> Iterator[tuple[UpstreamView, UpstreamSlots]]:
        for upstream in self._list_upstreams(service):
            slots = self._slots.get((upstream.name, upstream.incarnation))
            if slots is not None:
                yield upstream, slots

    def _dispatch(self, request: RouteRequest, now: float) -> Dispatch | None:
        """Assign the best free slot to a request, or return None."""
        if not self.has_lease(now):
            return None
        usable = [
            (upstream, slots)
            for upstream, slots in self._list_slots(request.service)
            if slots.idle > 0
            and slots.breaker.allows(now)
            and upstream.name not in request.excluded
        ]
        if not usable:
            return None
        best_latency_s = min(slots.breaker.latency_s or math.inf for _, slots in usable)
        upstream, slots = min(
            usable,
            key=lambda item: (
                item[1].breaker.latency_s > SLOW_LATENCY_RATIO * best_latency_s,
                item[0].data_centre != self._data_centre,
                item[1].in_use / item[1].limit,
                item[0].name,
            ),
        )
        slots.in_use += 1
        slots.breaker.record_sent(now)
        reason = (
            "a held slot is free" if request.arrived_at == now else "a slot came free"
        )
        return Dispatch(request, slots, upstream, reason)

    def cancel(self, request: RouteRequest) -> bool:
        """Remove a request from its queue; return whether it was queued."""
        queue = self._queues.get(request.service)
        return queue is not None and queue.remove(request)

    # Slots.

    def release_slot(self, slots: UpstreamSlots) -> None:
        """Release a slot after the upstream has finished with its request."""
        slots.in_use -= 1
        slots.release_excess()

    def record_response(self, dispatch: Dispatch, sent_at: float, now: float) -> None:
        """Record a whole response."""
        dispatch.slots.breaker.record_success(now - sent_at)
        self._get_latency(dispatch.request.service).record(now - sent_at)
        self._retry_tokens = min(
            self._retry_tokens + RETRY_TOKENS_PER_RESPONSE, MAX_RETRY_TOKENS
        )

    def record_failure(
        self, dispatch: Dispatch, now: float, *, has_response: bool
    ) -> bool:
        """Record a failed request; return whether the breaker opened.

        Error responses open the breakers of at most half of a service's upstreams. If
        all of them return errors, the request is at fault, and the service must stay
        available to others.

        Args:
            has_response: Whether the upstream sent a whole response with an error.
        """
        if has_response and self._would_exclude_majority(dispatch.request.service, now):
            dispatch.slots.breaker.abandon_probe()
            return False
        return dispatch.slots.breaker.record_failure(now)

    def _would_exclude_majority(self, service: str, now: float) -> bool:
        """Return whether one more open breaker would exclude more than half."""
        total = sum(1 for _ in self._list_upstreams(service))
        excluded_count = sum(
            not slots.breaker.allows(now) for _, slots in self._list_slots(service)
        )
        return (excluded_count + 1) * 2 > total

    def take_retry_token(self) -> bool:
        """Take one retry token; return whether there was one."""
        if self._retry_tokens < 1.0:
            return False
        self._retry_tokens -= 1.0
        return True

    def process_queues(self, now: float) -> list[Dispatch]:
        """Dispatch queued requests to free slots and refuse those that are too late.

        Refused requests are added to `refused`.
        """
        dispatches: list[Dispatch] = []
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            if not self.has_lease(now):
                self._refuse_all(queue)
                continue
            self._refuse_overdue(service, queue, now)
            self._dispatch_queue(queue, now, dispatches)
        return dispatches

    def _dispatch_queue(
        self, queue: FairQueue, now: float, dispatches: list[Dispatch]
    ) -> None:
        while len(queue):
            dispatch = self._dispatch(queue.peek(), now)
            if dispatch is None:
                return
            queue.pop()
            dispatches.append(dispatch)

    def _refuse_all(self, queue: FairQueue) -> None:
        refusal = Refusal(
            kind=RefusalKind.NO_LEASE,
            reason="the instance lost contact with the leader; use another one",
            retry_after_s=UNAVAILABLE_RETRY_S,
        )
        for request in list(queue):
            queue.remove(request)
            self.refused.append((request, refusal))

    def _refuse_overdue(self, service: str, queue: FairQueue, now: float) -> None:
        max_latency_s = self._get_latency(service).upper_bound
        has_slots = any(slots.limit > 0 for _, slots in self._list_slots(service))
        for request in list(queue):
            is_too_late = now + max_latency_s > request.deadline
            has_no_slot = (
                not has_slots and now - request.arrived_at > MAX_FIRST_SLOT_WAIT_S
            )
            if is_too_late or has_no_slot:
                queue.remove(request)
                wait_s = self._estimate_wait(request, queue)
                refusal = Refusal(
                    kind=RefusalKind.DEADLINE
                    if is_too_late
                    else RefusalKind.NO_UPSTREAM,
                    reason="no slot came free in time",
                    retry_after_s=max(wait_s, UNAVAILABLE_RETRY_S),
                )
                self.refused.append((request, refusal))
