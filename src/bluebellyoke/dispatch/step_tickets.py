"""Requests for advice on the workers that may run one step."""

from collections.abc import Collection

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

__all__ = ["StepTickets", "have_tickets"]


class StepTickets:
    """Requests the tickets that steps need.

    Args:
        advice: Advice on which workers may run a step.
    """

    def __init__(self, advice: AdviceManager) -> None:
        self._advice = advice

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
        if planning.list_worker_keys(pool, label) <= advice.evaluated:
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

    def replace_expired(self, step: WaitingStep, now: float) -> None:
        """Request new tickets for a step that could start with them."""
        self._advice.renew(step.key, step.queue.advisor, step.rank, until=now)


def have_tickets(
    advice: StepAdvice | None, worker_keys: Collection[WorkerKey], now: float
) -> bool:
    """Return whether a step may start on workers; without advice it always may."""
    return advice is None or all(advice.is_ticket_valid(x, now) for x in worker_keys)
