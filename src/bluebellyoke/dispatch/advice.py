"""Advice on which workers may run a step, requested from the advisor by instances.

The advisor is a separate service that evaluates workers for a step and returns a ticket
for each worker that may run it. It serves one call of an instance at a time, so the
leader spreads the calls over all instances. The set of workers that may run a step
never changes; only the tickets expire.
"""

import itertools
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass, field

from bluebellyoke.backoff import compute_pause
from bluebellyoke.instance import wire
from bluebellyoke.workflow.specs import AdvisorSpec

__all__ = ["AdviceManager", "StepAdvice", "StepKey", "WorkerKey"]

#: Workflow, repetition and index of a step.
StepKey = tuple[str, int, int]

#: ID and incarnation of a worker.
WorkerKey = tuple[str, int]

#: Maximum number of workers in one call.
MAX_WORKERS_PER_CALL = 100

#: Number of calls that may renew a step's tickets at the same time, beyond those that
#: all tickets take. It lets the others be renewed while one call takes long, and keeps
#: the tickets from being renewed by ever more calls about ever fewer workers.
EXTRA_RENEWAL_CALLS = 1

#: Bits of a call's ID that number the calls of a term.
CALL_NUMBER_BITS = 32

#: A call takes the advisor's time however few workers it names. So a step that has
#: tickets asks about new workers only if there is one for each so many evaluated ones,
#: or if its last such call was so many times the duration of a call ago.
NEW_WORKERS_DIVISOR = 4
ASK_INTERVAL_CALLS = 4

#: Time after the last call about new workers from which a step without any ticket asks
#: about all workers again, in seconds. A faulty reply would stand for ever otherwise.
#: It doubles each time, up to the maximum.
REASK_INTERVAL_S = 10.0
MAX_REASK_INTERVAL_S = 160.0

#: Time before its expiry from which a ticket is no longer used, in seconds.
TICKET_EXPIRY_MARGIN_S = 0.12

#: Time in addition to twice a call's expected duration after which the call counts as
#: lost, in seconds.
CALL_TIMEOUT_SLACK_S = 1.5

#: Expected duration above which a call counts as long, in seconds.
LONG_CALL_S = 0.2

#: One instance in this many is kept free of long calls, so that short ones need not
#: wait.
RESERVED_INSTANCE_DIVISOR = 4

#: Time for which an instance whose call failed gets no other call, in seconds. It
#: doubles with each further failure in a row, up to the maximum.
FAILURE_BACKOFF_S = 0.5
MAX_FAILURE_BACKOFF_S = 8.0


@dataclass(slots=True)
class StepAdvice:
    """Advice on one step.

    Attributes:
        tickets: Ticket of each allowed worker, with the monotonic time of its expiry.
        evaluated: Workers that the advisor has evaluated.
        pending: Workers that calls queued or in flight are about.
        renewal_calls: Number of these calls that renew tickets.
        asked_at: Monotonic time at which a call about new workers was last queued.
        repeated_questions: Number of times that the step has asked about all again.
    """

    tickets: dict[WorkerKey, tuple[str, float]] = field(default_factory=dict)
    evaluated: set[WorkerKey] = field(default_factory=set)
    pending: set[WorkerKey] = field(default_factory=set)
    renewal_calls: int = 0
    asked_at: float = -math.inf
    repeated_questions: int = 0

    @property
    def is_evaluating(self) -> bool:
        """Whether a call about workers not evaluated yet is queued or in flight."""
        return not self.pending <= self.evaluated

    def find_ticket(self, worker_key: WorkerKey, now: float) -> str | None:
        """Return the ticket of a worker, or None without a valid one."""
        ticket, expires_at = self.tickets.get(worker_key, ("", 0.0))
        return ticket if now < expires_at else None

    def is_ticket_valid(self, worker_key: WorkerKey, now: float) -> bool:
        """Return whether a worker has a ticket that is valid at a monotonic time."""
        return self.find_ticket(worker_key, now) is not None

    def list_expired(self, now: float) -> set[WorkerKey]:
        """Return the workers whose tickets are no longer valid at a monotonic time."""
        return {x for x, (_, expires_at) in self.tickets.items() if now >= expires_at}

    def expire_ticket(self, worker_key: WorkerKey) -> None:
        """Mark a ticket that a worker has refused as expired."""
        if worker_key in self.tickets:
            self.tickets[worker_key] = ("", 0.0)


@dataclass(slots=True)
class AdviceRequest:
    """A call that is queued or in flight.

    Attributes:
        rank: Sort key; requests with a lower rank are sent first.
        advice: Advice that the reply completes; it may have been dropped meanwhile.
        is_renewal: Whether the call renews tickets.
    """

    rank: tuple
    step: StepKey
    worker_keys: tuple[WorkerKey, ...]
    spec: AdvisorSpec
    advice: StepAdvice
    is_renewal: bool

    @property
    def duration_s(self) -> float:
        """Expected duration of the call, in seconds."""
        return _estimate_duration(self.spec, len(self.worker_keys))


@dataclass(slots=True)
class AdvisingInstance:
    """An instance that may call the advisor. All times are monotonic.

    Attributes:
        send: Sends a message to the instance.
        call: ID of the latest call.
        request: Request that is in flight, if any.
        timeout_at: Time at which the call in flight counts as lost.
        paused_until: Time before which the instance gets no call.
        failures: Calls that have failed in a row.
    """

    send: Callable[[wire.FromLeader], None]
    call: int = 0
    request: AdviceRequest | None = None
    timeout_at: float = 0.0
    paused_until: float = 0.0
    failures: int = 0

    def record_failure(self, now: float) -> None:
        """Pause the instance after a call that failed at a monotonic time."""
        self.paused_until = now + compute_pause(
            FAILURE_BACKOFF_S, self.failures, MAX_FAILURE_BACKOFF_S
        )
        self.failures += 1


class AdviceManager:
    """Caches advice on steps and schedules the calls that request it."""

    def __init__(self) -> None:
        self._steps: dict[StepKey, StepAdvice] = {}
        self._requests: list[AdviceRequest] = []
        self._instances: dict[int, AdvisingInstance] = {}
        self._call_ids = itertools.count(1)
        self._now = 0.0

    def activate(self, term: int) -> None:
        """Number the calls so that none has the number of one of another term.

        An instance also sends the replies to calls of former leaders.
        """
        self._call_ids = itertools.count((term << CALL_NUMBER_BITS) + 1)

    def clear(self) -> None:
        """Drop all advice, requests and instances."""
        self._steps.clear()
        self._requests.clear()
        self._instances.clear()

    def open_session(
        self, session: int, send: Callable[[wire.FromLeader], None]
    ) -> None:
        """Add an instance that may be used for calls."""
        self._instances[session] = AdvisingInstance(send)

    def close_session(self, session: int) -> None:
        """Remove an instance and queue its request again."""
        instance = self._instances.pop(session, None)
        if instance is not None and instance.request is not None:
            self._requests.append(instance.request)

    @property
    def queued_calls(self) -> int:
        """Number of calls that wait for an idle instance."""
        return len(self._requests)

    @property
    def pending_calls(self) -> int:
        """Number of calls in flight."""
        return sum(x.request is not None for x in self._instances.values())

    def get_step_advice(self, step: StepKey) -> StepAdvice:
        """Return the advice on a step, which is empty at first."""
        found = self._steps.get(step)
        if found is None:
            found = self._steps[step] = StepAdvice()
        return found

    def drop_workflow(self, workflow: str) -> None:
        """Drop the advice on all steps of a workflow."""
        for step in [x for x in self._steps if x[0] == workflow]:
            del self._steps[step]

    def evaluate(
        self,
        step: StepKey,
        worker_keys: Iterable[WorkerKey],
        spec: AdvisorSpec,
        rank: tuple,
    ) -> None:
        """Queue a call about workers not evaluated yet, unless one is pending.

        A step that has tickets does not ask about each new worker by itself.

        Args:
            worker_keys: Workers, the most useful first. Those beyond the limit of a
                call are left to the next one, if the step still waits then.
            rank: Sort key; calls with a lower rank are sent first.
        """
        advice = self.get_step_advice(step)
        if advice.is_evaluating:
            return
        selected = tuple(itertools.islice(worker_keys, MAX_WORKERS_PER_CALL))
        is_due = self._now >= advice.asked_at + ASK_INTERVAL_CALLS * (
            _estimate_duration(spec, len(selected))
        )
        are_many = len(selected) * NEW_WORKERS_DIVISOR >= len(advice.evaluated)
        if is_due or are_many or not advice.tickets:
            advice.asked_at = self._now
            self._queue(step, selected, spec, rank, is_renewal=False)

    def forget_refusals(self, step: StepKey, workers: Collection[WorkerKey]) -> None:
        """Forget after a while that the advisor has allowed none of some workers."""
        advice = self.get_step_advice(step)
        pause_s = compute_pause(
            REASK_INTERVAL_S, advice.repeated_questions, MAX_REASK_INTERVAL_S
        )
        if self._now < advice.asked_at + pause_s or advice.pending:
            return
        if advice.evaluated and advice.tickets.keys().isdisjoint(workers):
            advice.evaluated.clear()
            advice.repeated_questions += 1

    def renew(
        self,
        step: StepKey,
        spec: AdvisorSpec,
        rank: tuple,
        *,
        until: float,
        workers: Collection[WorkerKey] = (),
    ) -> None:
        """Queue calls for new tickets if one expires before a monotonic time.

        These calls are also about those of the given workers that are new. Tickets that
        calls are pending for are left to these calls. The others wait for one of these
        calls if too many are pending, so that they are renewed together.
        """
        advice = self.get_step_advice(step)
        worker_keys = [x for x in advice.tickets if x not in advice.pending]
        if all(advice.is_ticket_valid(x, until) for x in worker_keys):
            return
        known = advice.evaluated | advice.pending
        worker_keys += sorted(x for x in workers if x not in known)
        max_calls = _count_calls(len(advice.tickets)) + EXTRA_RENEWAL_CALLS
        if advice.renewal_calls + _count_calls(len(worker_keys)) <= max_calls:
            self._queue(step, worker_keys, spec, rank, is_renewal=True)

    def withdraw(self, step: StepKey) -> None:
        """Drop the queued calls about a step that no longer waits."""
        advice = self._steps.get(step)
        if advice is None or not advice.pending:
            return
        for request in [x for x in self._requests if x.step == step]:
            self._requests.remove(request)
            advice.renewal_calls -= request.is_renewal
            advice.pending.difference_update(request.worker_keys)

    def _queue(
        self,
        step: StepKey,
        worker_keys: Collection[WorkerKey],
        spec: AdvisorSpec,
        rank: tuple,
        *,
        is_renewal: bool,
    ) -> None:
        advice = self.get_step_advice(step)
        advice.pending.update(worker_keys)
        for batch in _split_evenly(tuple(worker_keys)):
            advice.renewal_calls += is_renewal
            self._requests.append(
                AdviceRequest(rank, step, batch, spec, advice, is_renewal)
            )

    def receive(self, session: int, reply: wire.AdviceReply, now: float) -> None:
        """Process an instance's reply to its latest call."""
        instance = self._instances.get(session)
        if instance is None or instance.call != reply.id or instance.request is None:
            return
        request, instance.request = instance.request, None
        if reply.tickets is None:
            instance.record_failure(now)
            self._requests.append(request)
            return
        instance.failures = 0
        advice = request.advice
        advice.renewal_calls -= request.is_renewal
        advice.pending.difference_update(request.worker_keys)
        expires_at = now + request.spec.validity_ms / 1000 - TICKET_EXPIRY_MARGIN_S
        for worker_key in request.worker_keys:
            advice.evaluated.add(worker_key)
            ticket = reply.tickets.get(worker_key[0])
            if ticket is not None:
                advice.tickets[worker_key] = (ticket, expires_at)
            elif advice.tickets.pop(worker_key, None) is not None:
                # The allowed workers never change, so the reply may be wrong.
                advice.evaluated.discard(worker_key)

    def tick(self, now: float) -> None:
        """Send queued calls to idle instances."""
        self._now = now
        self._requeue_timed_out(now)
        if not self._requests:
            return
        idle = [
            instance
            for instance in self._instances.values()
            if instance.request is None and now >= instance.paused_until
        ]
        # The last ones are used first.
        idle.sort(key=lambda instance: -instance.failures)
        reserved = len(self._instances) // RESERVED_INSTANCE_DIVISOR
        self._requests.sort(key=lambda request: request.rank)
        remaining = []
        for request in self._requests:
            if self._steps.get(request.step) is not request.advice:
                continue
            if not idle or (request.duration_s > LONG_CALL_S and len(idle) <= reserved):
                remaining.append(request)
                continue
            self._call(idle.pop(), request, now)
        self._requests = remaining

    def _requeue_timed_out(self, now: float) -> None:
        for instance in self._instances.values():
            if instance.request is not None and now >= instance.timeout_at:
                self._requests.append(instance.request)
                instance.request = None
                instance.record_failure(now)

    def _call(
        self, instance: AdvisingInstance, request: AdviceRequest, now: float
    ) -> None:
        instance.call = next(self._call_ids)
        instance.request = request
        instance.timeout_at = now + request.duration_s * 2 + CALL_TIMEOUT_SLACK_S
        workers = tuple(worker_key[0] for worker_key in request.worker_keys)
        instance.send(wire.AdviceCall(instance.call, request.step, workers))


def _estimate_duration(spec: AdvisorSpec, workers: int) -> float:
    """Return the expected duration of a call about a number of workers, in seconds."""
    return (spec.decision_ms + spec.per_worker_ms * workers) / 1000


def _count_calls(workers: int) -> int:
    """Return the number of calls that ask about a number of workers."""
    return math.ceil(workers / MAX_WORKERS_PER_CALL)


def _split_evenly(
    worker_keys: tuple[WorkerKey, ...],
) -> Iterator[tuple[WorkerKey, ...]]:
    """Yield the workers in as few batches as possible, which differ by one at most."""
    count = _count_calls(len(worker_keys))
    for number in range(count):
        yield worker_keys[number::count]
