"""Order of the waiting steps by the time left in which their jobs are useful."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from operator import itemgetter

from bluebellyoke.dispatch.admission import AdmissionControl
from bluebellyoke.dispatch.advice import StepKey
from bluebellyoke.dispatch.objectives import compute_remaining_chains, describe_job
from bluebellyoke.dispatch.ordering import StepOrder
from bluebellyoke.dispatch.planning_round import PlanningRound
from bluebellyoke.dispatch.waiting import WaitingStep
from bluebellyoke.workflow.specs import QueueSpec
from bluebellyoke.workflow.workflow import Workflow

__all__ = ["UrgencyOrder"]

#: Time between the plan of a start and the begin of the run, in seconds: the commit,
#: the call and the response of the worker.
START_MARGIN_S = 0.1

#: Factor by which an estimate is assumed to be too long at most. A job that has begun
#: counts as late only if it would be late even then, since its work so far would be
#: lost.
MAX_ESTIMATE_ERROR = 1.9

#: Time for which a step without an objective waits behind the others, in seconds.
NO_OBJECTIVE_SLACK_S = 5.0

#: Time, in seconds, after the end of its usefulness from which a job goes before all
#: others, so that it ends, and the number of steps that do so at a time, so that a
#: backlog of them does not delay the other jobs.
MAX_USELESS_WAIT_S = 20.0
MAX_OVERDUE_STEPS = 2

#: Number of cached times for each waiting step, and in total, above both of which the
#: cache is cleared.
CACHE_FACTOR = 4
MIN_CACHE_SIZE = 1000


@dataclass(frozen=True, slots=True)
class _Times:
    """Wall-clock times of a step, in seconds.

    Attributes:
        punctual_until: Latest start from which its job still ends on time.
        useful_until: Latest start from which its job is still useful.
        begun_until: Latest start from which its job, if it has begun, may still end on
            time because the estimates are too long.
    """

    punctual_until: float
    useful_until: float
    begun_until: float


class UrgencyOrder(StepOrder):
    """Puts jobs that can end on time before late ones, and these before useless ones.

    Within a priority, jobs beyond the share of their workspace come after the others.
    Steps of each group are in the order of the time left.

    Args:
        admission: Knows the first attempts of the jobs and which exceed their share.
    """

    def __init__(self, admission: AdmissionControl) -> None:
        self._admission = admission
        self._times: dict[StepKey, _Times] = {}

    def arrange(
        self, waiting: Sequence[WaitingStep], planning: PlanningRound
    ) -> Sequence[WaitingStep]:
        """Return the waiting steps by priority and urgency."""
        if len(waiting) < 2:
            return waiting
        if len(self._times) > max(CACHE_FACTOR * len(waiting), MIN_CACHE_SIZE):
            self._times.clear()
        wall_time = planning.wall_time
        keyed = []
        overdue = []
        for step in waiting:
            times = self._times.get(step.key) or self._find_times(
                step.key, step.workflow, step.queue
            )
            if wall_time > times.useful_until + MAX_USELESS_WAIT_S:
                overdue.append(step)
            keyed.append((self._rank(step, times, wall_time), step))
        keyed.sort(key=itemgetter(0))
        ordered = [step for _, step in keyed]
        return _promote(ordered, overdue) if overdue else ordered

    def find_latest_start(
        self, key: StepKey, workflow: Workflow, queue: QueueSpec | None
    ) -> float:
        """Return the wall-clock time until which a step has to start to be on time.

        It is infinity for a step without an objective.
        """
        times = self._times.get(key) or self._find_times(key, workflow, queue)
        has_objective = times.useful_until != math.inf
        return times.punctual_until if has_objective else math.inf

    def _rank(self, step: WaitingStep, times: _Times, wall_time: float) -> tuple:
        workflow = step.workflow
        until = times.begun_until if workflow.has_started else times.punctual_until
        if wall_time <= until:
            group, until = 0, times.punctual_until
        elif wall_time <= times.useful_until:
            group, until = 1, times.useful_until
        else:
            group, until = 2, times.useful_until
        is_excess = self._admission.is_excess(workflow.spec.id)
        return step.rank[0], is_excess, group, until, step.rank, step.key

    def _find_times(
        self, key: StepKey, workflow: Workflow, queue: QueueSpec | None
    ) -> _Times:
        spec = workflow.spec
        first_at = workflow.submitted_at - self._admission.get_delay(spec.id)
        shape = describe_job(spec, queue)
        if shape is None:
            until = first_at + NO_OBJECTIVE_SLACK_S
            times = _Times(until, math.inf, math.inf)
        else:
            ratio = self._admission.ratios.get_high_ratio(spec.address)
            chain_s = compute_remaining_chains(spec)[key[2]] * ratio
            due_at = first_at + shape.objective_s
            times = _Times(
                due_at - chain_s - START_MARGIN_S,
                first_at + shape.useful_s - chain_s - START_MARGIN_S,
                due_at - chain_s / MAX_ESTIMATE_ERROR - START_MARGIN_S,
            )
        self._times[key] = times
        return times


def _promote(
    ordered: list[WaitingStep], overdue: list[WaitingStep]
) -> list[WaitingStep]:
    """Put the oldest overdue steps first."""
    overdue.sort(key=lambda step: (step.workflow.submitted_at, step.key))
    first = overdue[:MAX_OVERDUE_STEPS]
    keys = {step.key for step in first}
    return first + [step for step in ordered if step.key not in keys]
