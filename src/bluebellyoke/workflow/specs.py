"""What operators, callers and workers declare: queues, workflows, called workers.

All durations are in milliseconds unless the name says otherwise.
"""

import msgspec

from bluebellyoke.cell.resources import Resources

__all__ = [
    "AdvisorSpec",
    "Configuration",
    "PoolSpec",
    "QueueSpec",
    "StepSpec",
    "WorkerSpec",
    "WorkflowSpec",
]


class AdvisorSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Service that says which workers may run a step of a queue.

    Attributes:
        decision_ms: Time of a call, apart from the workers that it names.
        per_worker_ms: Time that each named worker adds.
        validity_ms: Time for which an answer's tickets are accepted.
    """

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0


class QueueSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Where callers hand in workflows, and how these are treated.

    Attributes:
        host: Value of the Host header that selects the queue.
        prefix: Beginning of the path that selects the queue; the longest wins.
        pool: Pool of workers that run the tasks.
        timeout_ms: Time a caller's request may take.
        target_ms: Time that may be added to the ideal run time.
        slack_factor: Multiple of the ideal run time that is still on time.
        priority: 0 comes first.
        attempts: Runs of one task that may end as failed.
    """

    name: str
    host: str
    prefix: str
    pool: str
    timeout_ms: int
    target_ms: float = 0.0
    slack_factor: float = 1.0
    priority: int = 0
    attempts: int = 1
    advisor: AdvisorSpec | None = None


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A group of workers.

    Attributes:
        guards_capacity: Whether its workers themselves reject what does not fit.
        standby: Whether its machines are off until one is moved there.
    """

    name: str
    enforces_capacity: bool = msgspec.field(default=False, name="guards_capacity")
    standby: bool = False


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Whole state of queues and pools under one version.

    Attributes:
        document: Bytes in which the operator sent it, to be read back.
    """

    version: int
    queues: tuple[QueueSpec, ...] = ()
    pools: tuple[PoolSpec, ...] = ()
    document: bytes = b""


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of one kind in a workflow.

    Attributes:
        count: Number of tasks.
        need: Resources of each task.
        estimate_ms: Declared run time of a task.
        depends_on: Earlier steps whose tasks must all be done before.
        gang: Whether the tasks run all at once or not at all.
        same_rack: Whether the tasks are slow when they stand in several racks.
        checkpoints: Whether a task saves its progress.
        required_label: Label that a worker must have.
        data_rack: Rack that holds the data; elsewhere a task is slow.
        per_worker: Tasks of the step on one worker, at most; 0 is no bound.
        speculative: Whether copies of a task may run at the same time.
        lasting: Whether the tasks run until the workflow is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        tail_target_ms: Bound of the response times of a lasting task.
        fills: Whether the tasks use what others leave and take no capacity.
        may_be_away: Lasting tasks that may be away by the cell's own actions; -1 is
            no bound.
    """

    count: int
    need: Resources
    estimate_ms: float = 0.0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    checkpoints: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = msgspec.field(default=0, name="per_worker")
    speculative: bool = False
    long_running: bool = msgspec.field(default=False, name="lasting")
    image: str = ""
    tail_target_ms: float = 0.0
    backfill: bool = msgspec.field(default=False, name="fills")
    max_unavailable: int = msgspec.field(default=-1, name="may_be_away")


class WorkflowSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A workflow as its caller declares it.

    Attributes:
        id: Identity chosen by the caller, 16 hexadecimal digits.
        queue: Queue that it was handed in to.
        payload: Opaque text that every task receives.
        repeats: Times that the steps run; 0 is once, at once.
        first_at_ms: Wall-clock time of the first repetition.
        interval_ms: Time between two repetitions.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0

    def count_tasks(self) -> int:
        """Return the number of tasks of one repetition."""
        return sum(step.count for step in self.steps)


class WorkerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A worker that the cell calls, as it describes itself.

    Attributes:
        id: Identity of the worker; a restart may keep it.
        born: Wall-clock time of this life's start, which tells lives apart.
        pool: Pool that it belongs to.
        address: IP number and port at which it takes calls.
        labels: Kind of the worker and its rack.
        draining: Whether it is about to leave and takes no new task.
    """

    id: str
    incarnation: int = msgspec.field(name="born")
    pool: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Identity of this life of the worker."""
        return self.id, self.incarnation
