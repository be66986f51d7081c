"""Size of a workflow and the time within which its caller has a use for it."""

from dataclasses import dataclass

from bluebellyoke.workflow.specs import QueueSpec, StepSpec, WorkflowSpec

__all__ = ["USEFUL_FACTOR", "JobShape", "compute_remaining_chains", "describe_job"]

#: Multiple of its objective after which a job is of no use to its caller. Between the
#: objective and this time it is worth a fifth.
USEFUL_FACTOR = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class JobShape:
    """Declared size of a workflow.

    Attributes:
        chain_s: Longest chain of dependent tasks, in seconds.
        objective_s: Time from the first attempt in which it is on time, in seconds.
        task_work: Work of one task of each step, in core-seconds.
        work: Work of all tasks, in core-seconds.
        width: Cores that the steps without predecessors take up.
        gang_width: Cores of the largest of these steps that is a gang.
    """

    chain_s: float
    objective_s: float
    task_work: tuple[float, ...]
    work: float
    width: float
    gang_width: float

    @property
    def useful_s(self) -> float:
        """Time from the first attempt after which it is of no use, in seconds."""
        return USEFUL_FACTOR * self.objective_s


def describe_job(spec: WorkflowSpec, queue: QueueSpec | None) -> JobShape | None:
    """Return the size of a workflow, or None if it has no objective.

    It has none if its queue declares none, if the run time of a task is unknown, if it
    is repeated, or if its tasks run until they are cancelled or use spare resources.
    """
    if queue is None or spec.repeats or not spec.steps:
        return None
    if not queue.target_ms and queue.slack_factor <= 1:
        return None
    if not all(map(_has_bounded_work, spec.steps)):
        return None
    chain_s = max(compute_remaining_chains(spec))
    task_work = tuple(_compute_cores(x) * x.estimate_ms / 1000 for x in spec.steps)
    first = [step for step in spec.steps if not step.depends_on]
    return JobShape(
        chain_s=chain_s,
        objective_s=queue.slack_factor * chain_s + queue.target_ms / 1000,
        task_work=task_work,
        work=sum(
            work * step.count for work, step in zip(task_work, spec.steps, strict=True)
        ),
        width=sum(_compute_cores(step) * step.count for step in first),
        gang_width=max(
            (_compute_cores(step) * step.count for step in first if step.gang),
            default=0.0,
        ),
    )


def compute_remaining_chains(spec: WorkflowSpec) -> list[float]:
    """Return the longest chain from the start of each step to the end, in seconds."""
    chains = [step.estimate_ms / 1000 for step in spec.steps]
    # Steps depend on earlier ones only, so each is complete when it is reached.
    for index in range(len(spec.steps) - 1, -1, -1):
        for other in spec.steps[index].depends_on:
            own_s = spec.steps[other].estimate_ms / 1000
            chains[other] = max(chains[other], own_s + chains[index])
    return chains


def _has_bounded_work(step: StepSpec) -> bool:
    return step.estimate_ms > 0 and not step.long_running and not step.backfill


def _compute_cores(step: StepSpec) -> float:
    return step.need.cpu_millis / 1000
