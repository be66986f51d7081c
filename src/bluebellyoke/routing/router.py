"""Routing of callers' requests at one instance.

The router decides from what the instance holds: slots granted by the leader, a lease
that keeps them valid and the view in force. It does no I/O.

Rules:
    * A request is sent only on a free slot that the instance holds, under a live
      lease, to an upstream that is not leaving.
    * A request that cannot make its deadline is refused at once as not run, with the
      time after which another attempt makes sense.
    * A workspace's queue is bounded, and workspaces are served by weight.
    * A slot is free again when the upstream has finished with it, not when the
      caller has left.
"""

import math
from collections.abc import Iterator

from bluebellyoke.cell.state import UpstreamView, ViewUpdate
from bluebellyoke.instance import wire as w
from bluebellyoke.routing.decisions import (
    Dispatch,
    Refusal,
    RefusalKind,
    ServiceTimes,
    SlotUse,
)
from bluebellyoke.routing.queue import FairQueue, RouteRequest
from bluebellyoke.routing.view import LocalView

__all__ = ["Router"]

#: Requests of one workspace that wait for one service at one instance, at most.
QUEUE_PER_WORKSPACE = 256

#: Wait told to callers while the instance has no lease or no upstream, in seconds.
UNAVAILABLE_RETRY_S = 1.0

#: Longest wait for a first slot of a service of which the instance holds none.
FIRST_SLOT_WAIT_S = 2.0

#: Latency relative to the best upstream at which an upstream ranks behind.
SLOW_FACTOR = 3.0

#: Retries allowed for each request, and retries saved up at most.
RETRY_RATIO = 0.1
RETRY_SAVINGS = 20.0


class Router:
    """Routes the requests of one instance.

    Args:
        data_centre: Data centre of the instance; near upstreams come first.
    """

    def __init__(self, *, data_centre: str) -> None:
        self.view = LocalView()
        self.lease_until = float("-inf")
        self.draining = False
        self.refused: list[tuple[RouteRequest, Refusal]] = []
        self._data_centre = data_centre
        self._slots: dict[tuple[str, str], SlotUse] = {}
        self._queues: dict[str, FairQueue] = {}
        self._times: dict[str, ServiceTimes] = {}
        self._last_grant = 0
        self._retry_savings = RETRY_SAVINGS

    # Messages of the leader.

    def begin_stream(self) -> None:
        """Note that a new stream begins, whose grants are numbered anew."""
        self._last_grant = 0

    def receive(self, message: w.FromLeader) -> None:
        """Act on a poll reply, a new view, a grant or a recall."""
        if isinstance(message, w.PollReply):
            self._on_poll_reply(message)
        elif isinstance(message, ViewUpdate):
            self.view.update(message)
            self._forget_gone_upstreams()
        elif isinstance(message, w.Grant):
            self._last_grant = message.number
            self._find_slot(message.upstream, message.incarnation).grant(message.slots)
        elif isinstance(message, w.Recall):
            slot = self._find_slot(message.upstream, message.incarnation)
            slot.keep = message.keep
            slot.give_back()

    def _on_poll_reply(self, reply: w.PollReply) -> None:
        if reply.view is not None:
            self.view.update(reply.view)
        for limit in reply.limits:
            slot = self._find_slot(limit.upstream, limit.incarnation)
            slot.held = min(slot.held, limit.held)
        self.lease_until = max(self.lease_until, reply.sent_at + reply.lease_s)
        self._forget_gone_upstreams()

    def _find_slot(self, upstream: str, incarnation: str) -> SlotUse:
        key = (upstream, incarnation)
        slot = self._slots.get(key)
        if slot is None:
            slot = self._slots[key] = SlotUse(upstream, incarnation)
        return slot

    def _forget_gone_upstreams(self) -> None:
        """Give back the slots of upstreams that are leaving or gone."""
        for key, slot in list(self._slots.items()):
            known = self.view.upstreams.get(slot.upstream)
            gone = known is None or known.incarnation != slot.incarnation
            if gone or known.leaving:
                slot.keep = 0
                slot.give_back()
            if gone and not slot.held and not slot.in_use:
                del self._slots[key]

    def build_poll(self, now: float, renewals: tuple[w.Renewal, ...] = ()) -> w.Poll:
        """Return the poll that tells the leader what is held and needed."""
        if self.draining:
            self._give_back_all()
        return w.Poll(
            sent_at=now,
            view_version=self.view.version,
            last_grant=self._last_grant,
            holdings=tuple(
                w.Holding(slot.upstream, slot.incarnation, slot.held, slot.in_use)
                for slot in self._slots.values()
            ),
            demands=tuple(
                w.Demand(service, len(queue))
                for service, queue in self._queues.items()
                if len(queue)
            ),
            renewals=renewals,
            draining=self.draining,
        )

    def _give_back_all(self) -> None:
        for slot in self._slots.values():
            slot.keep = 0
            slot.give_back()

    @property
    def in_hand(self) -> int:
        """Requests that occupy slots or wait for one."""
        return sum(slot.in_use for slot in self._slots.values()) + sum(
            len(queue) for queue in self._queues.values()
        )

    def has_lease(self, now: float) -> bool:
        """Return whether the instance may act on what it holds."""
        return now < self.lease_until

    # Requests.

    def submit(self, request: RouteRequest, now: float) -> Dispatch | Refusal | None:
        """Send, refuse or queue a request; None means that it waits."""
        refusal = self._find_refusal(request, now)
        if refusal is not None:
            return refusal
        queue = self._queues.setdefault(request.service, FairQueue())
        if not len(queue):
            dispatch = self._dispatch(request, now)
            if dispatch is not None:
                return dispatch
        refusal = self._shed(request, queue, now)
        if refusal is not None:
            return refusal
        # A waiting retry takes any slot, or it would hold up those behind it.
        request.avoid = frozenset()
        queue.push(request, self._find_weight(request.workspace))
        return None

    def _find_refusal(self, request: RouteRequest, now: float) -> Refusal | None:
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

    def _find_weight(self, workspace: str) -> float:
        spec = self.view.workspaces.get(workspace)
        return max(spec.share, 1e-6) if spec is not None else 1.0

    def _shed(
        self, request: RouteRequest, queue: FairQueue, now: float
    ) -> Refusal | None:
        """Return a refusal if the request would wait in vain."""
        if queue.count(request.workspace) >= QUEUE_PER_WORKSPACE:
            wait = self._estimate_wait(request, queue)
            return Refusal(
                kind=RefusalKind.QUEUE_FULL,
                reason="the workspace already has its full queue",
                retry_after_s=wait,
            )
        wait = self._estimate_wait(request, queue)
        needed = wait + self._find_times(request.service).safe
        if now + needed > request.deadline:
            return Refusal(
                kind=RefusalKind.DEADLINE,
                reason="the answer would come after the deadline",
                retry_after_s=wait,
            )
        return None

    def _estimate_wait(self, request: RouteRequest, queue: FairQueue) -> float:
        """Return the expected wait for a slot, in seconds."""
        held = sum(slot.limit for _, slot in self._list_slots(request.service))
        if held <= 0:
            return 0.0
        weight = self._find_weight(request.workspace)
        ahead = queue.count_ahead(request.workspace, weight) + 1
        return ahead * self._find_times(request.service).mean / held

    def _find_times(self, service: str) -> ServiceTimes:
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = ServiceTimes()
        return times

    def _list_slots(self, service: str) -> Iterator[tuple[UpstreamView, SlotUse]]:
        for upstream in self._list_upstreams(service):
            slot = self._slots.get((upstream.name, upstream.incarnation))
            if slot is not None:
                yield upstream, slot

    def _dispatch(self, request: RouteRequest, now: float) -> Dispatch | None:
        """Take the best free slot for a request, or return None."""
        if not self.has_lease(now):
            return None
        usable = [
            (upstream, slot)
            for upstream, slot in self._list_slots(request.service)
            if slot.idle > 0
            and slot.breaker.allows(now)
            and upstream.name not in request.avoid
        ]
        if not usable:
            return None
        best = min(slot.breaker.latency_s or math.inf for _, slot in usable)
        upstream, slot = min(
            usable,
            key=lambda item: (
                item[1].breaker.latency_s > SLOW_FACTOR * best,
                item[0].data_centre != self._data_centre,
                item[1].in_use / item[1].limit,
                item[0].name,
            ),
        )
        slot.in_use += 1
        slot.breaker.note_sent(now)
        reason = "a held slot is free" if request.arrived == now else "a slot came free"
        return Dispatch(request, slot, upstream, reason)

    def cancel(self, request: RouteRequest) -> bool:
        """Take a waiting request out of its queue; return whether it waited."""
        queue = self._queues.get(request.service)
        return queue is not None and queue.remove(request)

    # Slots.

    def release(self, slot: SlotUse) -> None:
        """Free a slot whose request the upstream has finished with."""
        slot.in_use -= 1
        slot.give_back()

    def note_answer(self, dispatch: Dispatch, sent: float, now: float) -> None:
        """Count a whole answer."""
        dispatch.slot.breaker.note_success(now - sent)
        self._find_times(dispatch.request.service).note(now - sent)
        self._retry_savings = min(self._retry_savings + RETRY_RATIO, RETRY_SAVINGS)

    def note_failure(self, dispatch: Dispatch, now: float, *, answered: bool) -> bool:
        """Count a failed request; return whether the breaker opened.

        Error answers shut out half of a service's upstreams at most: where all of
        them answer so, the request is at fault, and others still want the service.
        """
        if answered and self._is_half_shut_out(dispatch.request.service, now):
            dispatch.slot.breaker.note_abandoned()
            return False
        return dispatch.slot.breaker.note_failure(now)

    def _is_half_shut_out(self, service: str, now: float) -> bool:
        """Return whether one more open breaker would shut out more than half."""
        total = sum(1 for _ in self._list_upstreams(service))
        shut_out = sum(
            not slot.breaker.allows(now) for _, slot in self._list_slots(service)
        )
        return (shut_out + 1) * 2 > total

    def take_retry(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if self._retry_savings < 1.0:
            return False
        self._retry_savings -= 1.0
        return True

    def advance(self, now: float) -> list[Dispatch]:
        """Send waiting requests on free slots and refuse the hopeless ones.

        The refused requests are added to `refused`.
        """
        dispatches: list[Dispatch] = []
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            if not self.has_lease(now):
                self._refuse_all(queue)
                continue
            self._refuse_late(service, queue, now)
            self._drain_queue(queue, now, dispatches)
        return dispatches

    def _drain_queue(
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

    def _refuse_late(self, service: str, queue: FairQueue, now: float) -> None:
        safe = self._find_times(service).safe
        has_slots = any(slot.limit > 0 for _, slot in self._list_slots(service))
        for request in list(queue):
            hopeless = now + safe > request.deadline
            slotless = not has_slots and now - request.arrived > FIRST_SLOT_WAIT_S
            if hopeless or slotless:
                queue.remove(request)
                wait = self._estimate_wait(request, queue)
                refusal = Refusal(
                    kind=RefusalKind.DEADLINE if hopeless else RefusalKind.NO_UPSTREAM,
                    reason="no slot came free in time",
                    retry_after_s=max(wait, UNAVAILABLE_RETRY_S),
                )
                self.refused.append((request, refusal))
