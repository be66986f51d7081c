"""Admission of workflows while capacity is short.

A job is refused only if the backlog keeps it from being useful to its caller, or if it
exceeds the share of its workspace while capacity is scarce. If nothing is known, or if
room is free, it is accepted. Without the setting `dispatch.admission` nothing is
refused; jobs are judged all the same, since their order depends on it.
"""

import enum
import logging
import math
from dataclasses import dataclass

from bluebellyoke.dispatch.admission_errors import COMMIT_TIMEOUT_S, AdmissionErrors
from bluebellyoke.dispatch.context import DispatchContext
from bluebellyoke.dispatch.log_limits import LogLimit
from bluebellyoke.dispatch.objectives import JobShape, describe_job
from bluebellyoke.dispatch.prediction import JobPredictor, Prediction
from bluebellyoke.dispatch.returns import FirstAttempts, ReturnSchedule
from bluebellyoke.dispatch.run_ratios import RunRatios
from bluebellyoke.dispatch.token_buckets import TokenBucket
from bluebellyoke.workflow.specs import QueueSpec, WorkflowSpec

__all__ = ["AdmissionControl", "AdmissionDecision", "Cause"]

logger = logging.getLogger("bluebellyoke.dispatch")

#: Time after the start of a leader in which it accepts all jobs, in seconds. All
#: workers have reported the progress of their runs by then.
WARM_UP_S = 2.0


class Cause(enum.StrEnum):
    """Why a job is accepted or refused.

    Attributes:
        UNKNOWN: It has no objective, or too little is known.
        ROOM: There is room for it at once.
        IN_TIME: It is expected to end on time.
        USEFUL: It is expected to end late but to be useful.
        TOO_LATE: It is refused, as it would end too late to be useful.
        OVER_SHARE: It is refused, as its workspace exceeds its share.
        NOT_REFUSED: It would be refused if the settings allowed it.
    """

    UNKNOWN = "unknown"
    ROOM = "room"
    IN_TIME = "in-time"
    USEFUL = "useful"
    TOO_LATE = "too-late"
    OVER_SHARE = "over-share"
    NOT_REFUSED = "not-refused"


#: Causes of refusals.
_REFUSALS = {
    Cause.TOO_LATE: "too much work is ahead of it",
    Cause.OVER_SHARE: "its workspace exceeds its share",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionDecision:
    """Whether a job is accepted.

    Attributes:
        retry_after_s: Time after which a refused caller may return, in seconds.
    """

    cause: Cause
    retry_after_s: int = 0

    @property
    def is_accepted(self) -> bool:
        """Whether the job is accepted."""
        return self.cause not in _REFUSALS

    @property
    def reason(self) -> str:
        """Explanation of a refusal for the caller."""
        return f"{_REFUSALS[self.cause]}; submit it after {self.retry_after_s} s"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Request:
    """A job that is decided on.

    Attributes:
        age_s: Time since its first attempt, in seconds.
        bucket: Tokens of its workspace, or None if it has none.
        is_excess: Whether it exceeds the share of its workspace.
    """

    spec: WorkflowSpec
    queue: QueueSpec
    shape: JobShape
    age_s: float
    bucket: TokenBucket | None
    is_excess: bool


@dataclass(frozen=True, slots=True)
class _Accepted:
    """An accepted job that was refused before or exceeds the share of its workspace.

    Attributes:
        delay_s: Time from its first attempt to its acceptance, in seconds.
    """

    accepted_at: float
    delay_s: float
    is_excess: bool


class AdmissionControl:
    """Judges new jobs, and refuses some of them if the settings allow it.

    Args:
        context: Shared state of the dispatcher.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self.ratios = RunRatios(context)
        self.predictor = JobPredictor(context, self.ratios)
        self._returns = ReturnSchedule()
        self._first_attempts = FirstAttempts()
        self._errors = AdmissionErrors(context, self.predictor)
        self._buckets: dict[str, TokenBucket] = {}
        self._accepted: dict[str, _Accepted] = {}
        self._activated_at = -math.inf
        self._accept_log, self._refuse_log = LogLimit(), LogLimit()

    def activate(self, now: float) -> None:
        """Start with full buckets and without data of an earlier leader."""
        self.predictor.clear()
        self._returns.clear()
        self._first_attempts.clear()
        self._errors.clear()
        self._buckets.clear()
        self._accepted.clear()
        self._activated_at = now

    def tick(self, now: float, wall_time: float) -> None:
        """Renew the summary and compare earlier decisions with what happened."""
        if not self.predictor.refresh(now, wall_time):
            return
        self._returns.expire(now)
        self._errors.check(now, wall_time)
        active = self._context.store.active
        self._accepted = {
            job: item
            for job, item in self._accepted.items()
            if job in active or now - item.accepted_at < COMMIT_TIMEOUT_S
        }

    def is_excess(self, job: str) -> bool:
        """Return whether an accepted job exceeded the share of its workspace."""
        item = self._accepted.get(job)
        return item is not None and item.is_excess

    def get_delay(self, job: str) -> float:
        """Return the time from a job's first attempt to its acceptance, in seconds."""
        item = self._accepted.get(job)
        return item.delay_s if item is not None else 0.0

    # Decisions.

    def decide(
        self, spec: WorkflowSpec, now: float, wall_time: float
    ) -> AdmissionDecision:
        """Decide on a job that has not been accepted before."""
        queue = self._context.store.find_queue(spec.address)
        shape = describe_job(spec, queue)
        if shape is None or now - self._activated_at < WARM_UP_S:
            return AdmissionDecision(cause=Cause.UNKNOWN)
        self.tick(now, wall_time)
        bucket = self._find_bucket(spec, now)
        request = _Request(
            spec=spec,
            queue=queue,
            shape=shape,
            age_s=now - self._first_attempts.find(spec.id, now),
            bucket=bucket,
            is_excess=bucket is not None and not bucket.has_token(),
        )
        prediction = self.predictor.predict(spec, queue, shape)
        cause = self._find_cause(request, prediction)
        if cause in _REFUSALS and not self._context.features.admission:
            cause = Cause.NOT_REFUSED
        if cause in _REFUSALS:
            decision = self._refuse(request, prediction, cause, now)
        else:
            decision = AdmissionDecision(cause=cause)
            self._accept(request, prediction, now, wall_time)
        self._log(request, prediction, decision, now)
        return decision

    def _find_cause(self, request: _Request, prediction: Prediction | None) -> Cause:
        if prediction is None:
            return Cause.UNKNOWN
        queue, shape = request.queue, request.shape
        if self.predictor.has_room(queue, shape, reserve=request.is_excess):
            return Cause.ROOM
        if request.is_excess and request.bucket.is_exhausted():
            return Cause.OVER_SHARE
        if request.age_s + prediction.end_s <= shape.objective_s:
            return Cause.IN_TIME
        if request.is_excess:
            return Cause.OVER_SHARE
        if request.age_s + prediction.late_end_s <= shape.useful_s:
            return Cause.USEFUL
        return Cause.TOO_LATE

    def _accept(
        self,
        request: _Request,
        prediction: Prediction | None,
        now: float,
        wall_time: float,
    ) -> None:
        job = request.spec.id
        self.predictor.add_job(request.spec, request.queue, request.shape, now)
        if request.is_excess or request.age_s > 0:
            self._accepted[job] = _Accepted(now, request.age_s, request.is_excess)
        if request.bucket is not None:
            request.bucket.take()
        is_useful = prediction is not None and (
            request.age_s + prediction.end_s <= request.shape.useful_s
        )
        if is_useful and not request.is_excess:
            first_at = wall_time - request.age_s
            self._errors.expect(
                job,
                accepted_at=wall_time,
                predicted_at=wall_time + prediction.end_s,
                due_at=first_at + request.shape.objective_s,
                useless_at=first_at + request.shape.useful_s,
            )

    def _refuse(
        self,
        request: _Request,
        prediction: Prediction,
        cause: Cause,
        now: float,
    ) -> AdmissionDecision:
        spec, shape = request.spec, request.shape
        if cause is Cause.OVER_SHARE:
            waits_for = f"share/{spec.workspace}"
            opens_in_s, rate = request.bucket.compute_wait(), request.bucket.rate
        else:
            waits_for = f"pool/{request.queue.pool}/{request.queue.priority}"
            opens_in_s = prediction.late_end_s - max(shape.useful_s - request.age_s, 0)
            rate = prediction.capacity / shape.work if shape.work else 1.0
        retry_after_s = self._returns.assign(
            spec.id,
            cause=waits_for,
            now=now,
            age_s=request.age_s,
            opens_in_s=opens_in_s,
            rate=rate,
        )
        self._first_attempts.record(spec.id, now)
        self._context.metrics.record_refusal(cause.value)
        if cause is Cause.TOO_LATE:
            self._errors.record_refusal(
                request.queue, shape, until=now + shape.objective_s - request.age_s
            )
        return AdmissionDecision(cause=cause, retry_after_s=retry_after_s)

    def _find_bucket(self, spec: WorkflowSpec, now: float) -> TokenBucket | None:
        workspace = self.predictor.find_workspace(spec)
        if workspace is None:
            return None
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = TokenBucket.create(workspace.share, now)
            self._buckets[workspace.name] = bucket
        bucket.update(workspace.share, now)
        return bucket

    def _log(
        self,
        request: _Request,
        prediction: Prediction | None,
        decision: AdmissionDecision,
        now: float,
    ) -> None:
        limit = self._accept_log if decision.is_accepted else self._refuse_log
        if not limit.allow(now):
            return
        extra = {
            "job": request.spec.id,
            "queue": request.queue.name,
            "cause": decision.cause.value,
            "age_s": round(request.age_s, 3),
            "objective_s": round(request.shape.objective_s, 3),
            "work": round(request.shape.work, 1),
            "excess": request.is_excess,
            "skipped": limit.pop_skipped(),
        }
        if prediction is not None:
            extra |= {
                "end_s": round(prediction.end_s, 3),
                "late_end_s": round(prediction.late_end_s, 3),
                "ahead": round(prediction.ahead, 1),
                "free": round(prediction.free, 1),
                "cores": round(prediction.capacity, 1),
            }
        if not decision.is_accepted:
            extra["retry_after_s"] = decision.retry_after_s
        message = "accepts" if decision.is_accepted else "refuses"
        logger.info(f"dispatch: {message} a job", extra=extra)
