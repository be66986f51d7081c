"""Which workers may run a step, asked of the advisor through the instances.

The advisor serves one call of an instance at a time, so the leader spreads the calls
over all instances. What it says of a step never changes; only its tickets expire.
"""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bluebellyoke.instance import wire as w
from bluebellyoke.workflow.specs import AdvisorSpec

__all__ = ["AdviceManager", "StepAdvice", "StepKey", "WorkerKey"]

#: Workflow, repetition and number of a step.
StepKey = tuple[str, int, int]

#: Identity and birth of a worker's life.
WorkerKey = tuple[str, int]

#: Workers that one call may name.
MAX_WORKERS_PER_CALL = 100

#: Time before its end at which a ticket is not used any more, in seconds.
TICKET_EXPIRY_MARGIN_S = 0.12

#: Time beyond a call's own length after which it counts as lost, in seconds.
CALL_TIMEOUT_SLACK_S = 1.5

#: Calls longer than this leave some instances free for shorter ones, in seconds.
LONG_CALL_S = 0.2
RESERVED_INSTANCE_DIVISOR = 4

#: Time for which an instance that could not reach the advisor is not asked.
FAILURE_BACKOFF_S = 0.5


@dataclass(slots=True)
class StepAdvice:
    """What is known of a step.

    Attributes:
        tickets: Ticket of each allowed life, with the monotonic time of its end.
        known: Lives that the advisor was asked about.
        is_asking: Whether a call is wanted or under way.
    """

    tickets: dict[WorkerKey, tuple[str, float]] = field(default_factory=dict)
    evaluated: set[WorkerKey] = field(default_factory=set)
    is_requested: bool = False

    def find_ticket(self, worker_key: WorkerKey, now: float) -> str | None:
        """Return a ticket that is still valid."""
        text, expires_at = self.tickets.get(worker_key, ("", 0.0))
        return text if now < expires_at else None

    def are_tickets_valid(self, now: float) -> bool:
        """Return whether all tickets are valid at some time."""
        return all(now < expires_at for _, expires_at in self.tickets.values())

    def expire_ticket(self, worker_key: WorkerKey) -> None:
        """Note that a worker refused a ticket."""
        if worker_key in self.tickets:
            self.tickets[worker_key] = ("", 0.0)


@dataclass(slots=True)
class AdviceRequest:
    """A call that is wanted."""

    rank: tuple
    step: StepKey
    worker_keys: tuple[WorkerKey, ...]
    spec: AdvisorSpec

    @property
    def length_s(self) -> float:
        """Length of the call, in seconds."""
        total = self.spec.decision_ms + self.spec.per_worker_ms * len(self.worker_keys)
        return total / 1000


@dataclass(slots=True)
class AdvisingInstance:
    """An instance that may call the advisor."""

    send: Callable[[w.FromLeader], None]
    call: int = 0
    request: AdviceRequest | None = None
    timeout_at: float = 0.0
    paused_until: float = 0.0


class AdviceManager:
    """Keeps what is known of the steps that wait, and asks for the rest."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, StepAdvice] = {}
        self._requests: list[AdviceRequest] = []
        self._instances: dict[int, AdvisingInstance] = {}
        self._call_ids = itertools.count(1)

    def clear(self) -> None:
        """Forget everything."""
        self._steps.clear()
        self._requests.clear()
        self._instances.clear()

    def open_session(self, session: int, send: Callable[[w.FromLeader], None]) -> None:
        """Use an instance for calls from now on."""
        self._instances[session] = AdvisingInstance(send)

    def close_session(self, session: int) -> None:
        """Give what an instance was asked to another."""
        instance = self._instances.pop(session, None)
        if instance is not None and instance.request is not None:
            self._requests.append(instance.request)

    def get_step_advice(self, step: StepKey) -> StepAdvice:
        """Return what is known of a step."""
        found = self._steps.get(step)
        if found is None:
            found = self._steps[step] = StepAdvice()
        return found

    def drop_workflow(self, workflow: str) -> None:
        """Drop the steps of a workflow that has ended."""
        for step in [x for x in self._steps if x[0] == workflow]:
            del self._steps[step]

    def request(
        self,
        step: StepKey,
        worker_keys: Iterable[WorkerKey],
        spec: AdvisorSpec,
        rank: tuple,
    ) -> None:
        """Want a call about some workers unless one about the step is wanted."""
        advice = self.get_step_advice(step)
        chosen = tuple(worker_keys)[:MAX_WORKERS_PER_CALL]
        if advice.is_requested or not chosen:
            return
        advice.is_requested = True
        self._requests.append(AdviceRequest(rank, step, chosen, spec))

    def receive(self, session: int, reply: w.AdviceReply, now: float) -> None:
        """Take the answer of an instance."""
        instance = self._instances.get(session)
        if instance is None or instance.call != reply.id or instance.request is None:
            return
        request, instance.request = instance.request, None
        if reply.tickets is None:
            instance.paused_until = now + FAILURE_BACKOFF_S
            self._requests.append(request)
            return
        advice = self._steps.get(request.step)
        if advice is None:
            return
        advice.is_requested = False
        expires_at = now + request.spec.validity_ms / 1000 - TICKET_EXPIRY_MARGIN_S
        for worker_key in request.worker_keys:
            advice.evaluated.add(worker_key)
            ticket = reply.tickets.get(worker_key[0])
            if ticket is not None:
                advice.tickets[worker_key] = (ticket, expires_at)
            else:
                advice.tickets.pop(worker_key, None)

    def tick(self, now: float) -> None:
        """Hand the wanted calls to instances that are free."""
        self._requeue_timed_out(now)
        if not self._requests:
            return
        idle = [
            instance
            for instance in self._instances.values()
            if instance.request is None and now >= instance.paused_until
        ]
        reserved = len(self._instances) // RESERVED_INSTANCE_DIVISOR
        self._requests.sort(key=lambda request: request.rank)
        remaining = []
        for request in self._requests:
            if request.step not in self._steps:
                continue
            if not idle or (request.length_s > LONG_CALL_S and len(idle) <= reserved):
                remaining.append(request)
                continue
            self._call(idle.pop(), request, now)
        self._requests = remaining

    def _requeue_timed_out(self, now: float) -> None:
        for instance in self._instances.values():
            if instance.request is not None and now >= instance.timeout_at:
                self._requests.append(instance.request)
                instance.request = None
                instance.paused_until = now + FAILURE_BACKOFF_S

    def _call(
        self, instance: AdvisingInstance, request: AdviceRequest, now: float
    ) -> None:
        instance.call = next(self._call_ids)
        instance.request = request
        instance.timeout_at = now + request.length_s * 2 + CALL_TIMEOUT_SLACK_S
        workers = tuple(worker_key[0] for worker_key in request.worker_keys)
        instance.send(w.AdviceCall(instance.call, request.step, workers))
