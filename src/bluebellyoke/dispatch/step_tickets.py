"""Requests for advice on the workers that may run one step."""

from collections.abc import Collection
from dataclasses import dataclass

from bluebellyoke.dispatch.advice import (
    MAX_WORKERS_PER_CALL,
    AdviceManager,
    StepAdvice,
    StepKey,
    WorkerKey,
)
from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.selection import order_by_room
from bluebellyoke.dispatch.waiting import NextStep, WaitingStep
from bluebellyoke.dispatch.workers import TrackedWorker

__all__ = [
    "TICKET_WAIT_S",
    "StepTickets",
    "find_expired_workers",
    "have_tickets",
]

#: Time for which room is kept for a step whose tickets are renewed, in seconds. A call
#: to the advisor rarely takes longer, and the advisor may be down.
TICKET_WAIT_S = 3.0

#: Time after which a step that lacked tickets is taken not to lack them any more, in
#: seconds. A round looks at each step several times a second.
TICKET_LACK_GAP_S = 1.0


@dataclass(slots=True)
class _Lack:
    """Monotonic times at which a step was first and last found to lack tickets."""

    since: float
    latest: float


class StepTickets:
    """Requests the tickets that steps need.

    Args:
        advice: Advice on which workers may run a step.
    """

    def __init__(self, advice: AdviceManager) -> None:
        self._advice = advice
        self._lacks: dict[StepKey, _Lack] = {}

    def start_round(self, now: float) -> None:
        """Forget the steps that have not lacked tickets for a while."""
        self._lacks = {
            step: lack
            for step, lack in self._lacks.items()
            if now - lack.latest < TICKET_LACK_GAP_S
        }

    def get_step_advice(self, key: StepKey) -> StepAdvice:
        """Return the advice on a step."""
        return self._advice.get_step_advice(key)

    def withdraw(self, key: StepKey) -> None:
        """Withdraw the open requests of a step that waits no longer."""
        self._advice.withdraw(key)

    def request_missing(
        self, step: WaitingStep | NextStep, pool: str, planning: PlanningRound
    ) -> None:
        """Request advice on workers that the advisor has not evaluated yet."""
        advice = self._advice.get_step_advice(step.key)
        label = step.spec.required_label
        if advice.is_evaluating:
            return
        worker_keys = planning.list_worker_keys(pool, label)
        self._advice.forget_refusals(step.key, worker_keys)
        if worker_keys <= advice.evaluated:
            return
        unknown = [
            worker
            for worker in planning.list_workers(pool, label)
            if worker.spec.key not in advice.evaluated
        ]
        worker_keys = order_by_room(step.key, step.spec.allocation, unknown)
        self._advice.evaluate(step.key, worker_keys, step.queue.advisor, step.rank)

    def renew(
        self, step: WaitingStep, advice: StepAdvice, pool: str, planning: PlanningRound
    ) -> None:
        """Request new tickets for a waiting step before its tickets expire."""
        spec = step.queue.advisor
        call_size = min(len(advice.tickets), MAX_WORKERS_PER_CALL)
        duration_s = (spec.decision_ms + spec.per_worker_ms * call_size) / 1000
        self._advice.renew(
            step.key,
            spec,
            step.rank,
            until=planning.now + duration_s,
            workers=planning.list_worker_keys(pool, step.spec.required_label),
        )

    def replace_expired(self, step: WaitingStep, now: float) -> bool:
        """Request new tickets for a step that could start with them.

        Returns:
            Whether its room may be kept until they arrive.
        """
        self._advice.renew(step.key, step.queue.advisor, step.rank, until=now)
        lack = self._lacks.setdefault(step.key, _Lack(now, now))
        lack.latest = now
        return now - lack.since < TICKET_WAIT_S


def have_tickets(
    advice: StepAdvice | None, worker_keys: Collection[WorkerKey], now: float
) -> bool:
    """Return whether a step may start on workers; without advice it always may."""
    return advice is None or all(advice.is_ticket_valid(x, now) for x in worker_keys)


def find_expired_workers(
    workers: list[TrackedWorker], advice: StepAdvice | None, now: float
) -> set[str]:
    """Return the IDs of the workers whose tickets have expired while others are valid.

    If all are valid or all have expired, there is nothing to prefer.
    """
    expired = advice.list_expired(now) if advice is not None else set()
    if not expired or len(expired) == len(advice.tickets):
        return set()
    return {x.spec.id for x in workers if x.spec.key in expired}
