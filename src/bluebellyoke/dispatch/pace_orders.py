"""Orders that set the pace of runs, from their sending to the worker's response.

An order without an answer may take effect late, even after a later order. The limit is
therefore sent again until it is confirmed, and once more when no late order can be
under way any longer.
"""

import math
from dataclasses import dataclass

from bluebellyoke.backoff import compute_pause
from bluebellyoke.dispatch.calls import CALL_TIMEOUT_S, MAX_EVENT_DELAY_S
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.events import PaceFinished
from bluebellyoke.dispatch.ports import NotReachedError, PaceRequest, PaceResult
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.specs import StepSpec
from bluebellyoke.workflow.store import RunKey

__all__ = ["FULL_PACE", "PaceOrders", "PacedRun"]

#: Pace of a run that is not limited, in percent.
FULL_PACE = 100

#: Time after which an order takes effect, in seconds.
EFFECT_S = 0.1

#: Delay before an unanswered order is repeated, in seconds: the first and the longest.
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 1.0

#: Delay after an order that the worker has refused, in seconds. The next report shows
#: whether the run still exists.
REFUSED_RETRY_S = 1.0

#: Time after a timeout within which the worker may still carry out the order, in
#: seconds.
LATE_ORDER_S = 2.0

#: Time after which an order without an event counts as unanswered, in seconds.
LOST_ORDER_S = CALL_TIMEOUT_S + MAX_EVENT_DELAY_S


@dataclass(slots=True)
class PacedRun:
    """Limit of one backfill run.

    Attributes:
        percent: Limit that the run is meant to have, or None before the first decision.
        in_force: Limit that the worker has confirmed, or None if it is unknown.
        full_since: Time since which the run has not been limited, if it is not now.
        confirmed_at: Time of the latest confirmation.
        cpu_millis: Most processor time that the run has been seen to use.
        sent_at: Time at which the order in flight was sent, or None.
        retry_at: Time before which no order is sent.
        failures: Orders in a row that got no answer.
        confirm_at: Time at which the limit is sent again although it is confirmed.
    """

    key: RunKey
    step: StepSpec
    percent: int | None
    in_force: int | None
    full_since: float = -math.inf
    confirmed_at: float = -math.inf
    cpu_millis: int = 0
    sent_at: float | None = None
    retry_at: float = 0.0
    failures: int = 0
    confirm_at: float = math.inf

    @property
    def is_limited(self) -> bool:
        """Whether the run is meant to be slower than it can be."""
        return self.percent is not None and self.percent < FULL_PACE

    @property
    def is_settled(self) -> bool:
        """Whether no order has to be sent or awaited."""
        return self.in_force == self.percent and self.confirm_at == math.inf


class PaceOrders:
    """Sends limits to workers until they are confirmed.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context

    def send_if_due(self, worker: TrackedWorker, paced: PacedRun, now: float) -> None:
        """Send the limit of a run unless it is in force or an order is in flight."""
        if paced.sent_at is not None and now - paced.sent_at > LOST_ORDER_S:
            paced.sent_at = paced.in_force = None
            paced.confirm_at = now + LATE_ORDER_S
        if paced.percent is None or paced.sent_at is not None or now < paced.retry_at:
            return
        if paced.in_force == paced.percent and now < paced.confirm_at:
            return
        run = worker.runs.get(paced.key)
        if run is None or run.phase is not RunPhase.STARTED:
            return
        if now >= paced.confirm_at:
            paced.confirm_at = math.inf
        paced.sent_at = now
        task, number = paced.key
        request = PaceRequest(
            task=task, run=number, percent=paced.percent, fence=worker.fence
        )
        self._context.calls.pace(worker.spec, request)

    def receive(
        self, worker: TrackedWorker, paced: PacedRun, event: PaceFinished, now: float
    ) -> None:
        """Process the result of an order and send the next one if there is any."""
        paced.sent_at = None
        if event.result is PaceResult.PACED:
            if paced.in_force != event.percent:
                paced.full_since = now + EFFECT_S
            paced.in_force, paced.failures = event.percent, 0
            paced.confirmed_at = now
        else:
            paced.in_force = None
            self._schedule_retry(paced, event, now)
        self.send_if_due(worker, paced, now)

    def _schedule_retry(self, paced: PacedRun, event: PaceFinished, now: float) -> None:
        if event.error is None:
            paced.retry_at = now + REFUSED_RETRY_S
            return
        delay_s = compute_pause(FIRST_RETRY_S, paced.failures, MAX_RETRY_S)
        paced.failures += 1
        paced.retry_at = now + delay_s
        if not isinstance(event.error, NotReachedError):
            paced.confirm_at = now + LATE_ORDER_S
