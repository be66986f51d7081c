"""Reports of steps that wait long, with the reason and the state that decided it."""

import logging
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from bluebellyoke.dispatch.advice import AdviceManager, StepKey
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.metrics import Metrics

__all__ = ["WaitReporter", "describe_wait"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time between two checks of the steps that wait, in seconds.
CHECK_INTERVAL_S = 0.5

#: Time without a start after which a step is reported, in seconds. It is reported again
#: each time that its wait has doubled.
FIRST_REPORT_S = 1.0


_DESCRIPTIONS = {
    WaitReason.NO_WORKER: "no worker that may run it accepts tasks",
    WaitReason.NO_ROOM: "its tasks fit on no worker that it may use",
    WaitReason.RESERVED: "gangs have reserved workers that it may use",
    WaitReason.NO_TICKET: "the ticket for a worker with room has expired",
    WaitReason.SUSPECT: "it may crash its worker and needs one of its own",
    WaitReason.REFUSED: "a worker has just refused it as malformed",
    WaitReason.QUOTA: "the quota of its workspace is used up or kept for a gang",
    WaitReason.MAX_STARTS: "a round starts a limited number of tasks",
    WaitReason.OPEN_RUNS: "other runs of its gang have not ended yet",
}


def describe_wait(reason: WaitReason) -> str:
    """Return a wait reason as a clause."""
    return _DESCRIPTIONS[reason]


@dataclass(slots=True)
class Wait:
    """A step for which no check has found a start since it began to wait.

    Attributes:
        since: Monotonic time of the first check, in seconds.
        next_report_s: Length of the wait at which it is reported next, in seconds.
    """

    since: float
    next_report_s: float = FIRST_REPORT_S


class WaitReporter:
    """Logs and counts the steps that wait long.

    Args:
        advice: Advice, whose state is reported with a step.
        metrics: Counters by reason.
    """

    def __init__(self, advice: AdviceManager, metrics: Metrics) -> None:
        self._advice = advice
        self._metrics = metrics
        self._waits: dict[StepKey, Wait] = {}
        self._check_due = 0.0

    def reset(self) -> None:
        """Forget all waits."""
        self._waits.clear()
        self._check_due = 0.0

    def check(self, reasons: Mapping[StepKey, WaitReason], now: float) -> None:
        """Report what has become due, at most once an interval.

        Args:
            reasons: Why each step waits for which the last round started nothing.
        """
        if now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        self._waits = {
            step: self._waits.get(step) or Wait(since=now) for step in reasons
        }
        overdue: Counter[str] = Counter()
        for step, wait in self._waits.items():
            if now - wait.since >= FIRST_REPORT_S:
                overdue[reasons[step].value] += 1
                self._report(step, wait, reasons[step], now)
        if overdue:
            self._report_total(overdue)

    def _report(
        self, step: StepKey, wait: Wait, reason: WaitReason, now: float
    ) -> None:
        waited_s = now - wait.since
        if waited_s < wait.next_report_s:
            return
        wait.next_report_s = 2 * waited_s
        advice = self._advice.get_step_advice(step)
        tickets = advice.tickets
        workflow, repetition, index = step
        logger.info(
            "dispatch: a step waits",
            extra={
                "job": workflow,
                "step": [repetition, index],
                "reason": reason.value,
                "waited_s": round(waited_s, 3),
                "evaluated": len(advice.evaluated),
                "tickets": len(tickets),
                "expired": sum(
                    advice.find_ticket(worker, now) is None for worker in tickets
                ),
                "asking": len(advice.pending),
            },
        )

    def _report_total(self, overdue: Counter[str]) -> None:
        for reason, count in overdue.items():
            self._metrics.record_overdue_steps(reason, count)
        logger.info(
            "dispatch: steps are overdue",
            extra={
                "steps": dict(overdue),
                "queued_calls": self._advice.queued_calls,
                "pending_calls": self._advice.pending_calls,
            },
        )
