"""Specifications that operators, callers and workers declare.

All durations are in milliseconds unless the name says otherwise.
"""

from typing import NamedTuple

import msgspec
from msgspec.structs import force_setattr

from bluebellyoke.cell.resources import Resources
from bluebellyoke.workflow.bounds import (
    bound_duration,
    bound_share,
    bound_weight,
    round_duration,
)

__all__ = [
    "AdvisorSpec",
    "Configuration",
    "NO_ADDRESS",
    "PoolSpec",
    "QueueAddress",
    "QueueSpec",
    "StepSpec",
    "WORKFLOW_ID_LENGTH",
    "WorkerSpec",
    "WorkflowSpec",
    "WorkspaceSpec",
]


class AdvisorSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of the service that decides which workers may run a step of a queue.

    Attributes:
        decision_ms: Duration of a call without any worker.
        per_worker_ms: Additional duration per worker in the call.
        validity_ms: Time for which the tickets of a reply are accepted.
    """

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0

    def __post_init__(self) -> None:
        for name in ("decision_ms", "per_worker_ms", "validity_ms"):
            force_setattr(self, name, bound_duration(getattr(self, name)))


class QueueAddress(NamedTuple):
    """What callers address a queue by, and what its workflows belong to.

    A configuration may give the queue another name, or its name to another queue.

    Attributes:
        host: Value of the Host header that selects the queue.
        prefix: Path prefix that selects the queue.
    """

    host: str
    prefix: str


#: Number of digits of a workflow's ID, which ends the path of its requests.
WORKFLOW_ID_LENGTH = 16

#: Address of a queue that is not known.
NO_ADDRESS = QueueAddress("", "")


class QueueSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A queue that callers submit workflows to.

    Attributes:
        name: Label that the operator has given it, which a configuration may change.
        host: Value of the Host header that selects the queue.
        prefix: Path prefix that selects the queue; the longest matching one wins.
        pool: Pool of workers that run the tasks.
        timeout_ms: Maximum duration of a caller's request.
        target_ms: Time in addition to the ideal run time that is still on time.
        slack_factor: Multiple of the ideal run time that is still on time.
        priority: Queues with a lower number are planned first.
        attempts: Failed runs of a task that make its workflow fail.
        advisor: Advisor of the queue's steps, or None if any worker may run them.
        public: Whether requests to the queue need no credential.
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
    public: bool = False

    def __post_init__(self) -> None:
        force_setattr(self, "target_ms", bound_duration(self.target_ms))
        force_setattr(self, "slack_factor", bound_weight(self.slack_factor))

    @property
    def address(self) -> QueueAddress:
        """What callers address the queue by."""
        return QueueAddress(self.host, self.prefix)


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A group of workers.

    Attributes:
        enforces_capacity: Whether its workers refuse tasks that do not fit themselves.
        standby: Whether its machines are off until one is moved to the pool.
    """

    name: str
    enforces_capacity: bool = msgspec.field(default=False, name="guards_capacity")
    standby: bool = False


class WorkspaceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace that submits workflows.

    Attributes:
        credentials: SHA-256 digests of its keys, in hexadecimal.
        share: Workflows a second that it may expect to be served, and its weight
            relative to other workspaces while resources are short.
        quota: Maximum of what its runs take up; 0 means no limit.
    """

    name: str
    credentials: tuple[str, ...] = ()
    share: float = 1.0
    quota: Resources = Resources()

    def __post_init__(self) -> None:
        force_setattr(self, "share", bound_share(self.share))


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """All queues, pools and workspaces under one version.

    Attributes:
        workspaces: Workspaces; if there are none, requests need no credential.
        document: Bytes that the operator sent, which are returned on a read.
    """

    version: int
    queues: tuple[QueueSpec, ...] = ()
    pools: tuple[PoolSpec, ...] = ()
    workspaces: tuple[WorkspaceSpec, ...] = ()
    document: bytes = b""


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of one kind in a workflow.

    Attributes:
        count: Number of tasks.
        need: Declared resources of each task. What a task takes up is `allocation`.
        estimate_ms: Declared run time of a task, or 0 if it is unknown. One that is
            shorter than the precision of the clocks tells nothing, so it is unknown.
        depends_on: Indexes of earlier steps whose tasks must all be done before.
        gang: Whether the tasks run all at once or not at all.
        same_rack: Whether the tasks are slow if they run in several racks.
        checkpoints: Whether a task saves its progress.
        required_label: Label that a worker must have, or an empty text.
        data_rack: Rack of the data, or an empty text; in other racks a task is slow.
        max_per_worker: Maximum number of tasks of the step on one worker; 0 means no
            limit.
        speculative: Whether copies of a task may run at the same time.
        long_running: Whether the tasks run until the workflow is cancelled.
        image: Program of the tasks; tasks of one image behave alike.
        tail_target_ms: Target of the tail latency of a long-running task.
        backfill: Whether the tasks use only the processor time that others leave.
        max_unavailable: Maximum number of long-running tasks that the cell itself may
            make unavailable; -1 means no limit.
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

    def __post_init__(self) -> None:
        # Logs and snapshots of earlier builds hold shorter ones.
        force_setattr(self, "estimate_ms", round_duration(self.estimate_ms))
        force_setattr(self, "tail_target_ms", round_duration(self.tail_target_ms))

    @property
    def allocation(self) -> Resources:
        """Resources that each task takes up on its worker while it runs.

        Backfill tasks use the processor time that others leave, so it is not counted.
        Their memory and accelerators are held like those of any other task.
        """
        if not self.backfill:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)


class WorkflowSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A workflow as its caller declares it.

    Attributes:
        id: ID chosen by the caller, 16 hexadecimal digits.
        queue: Name that its queue had when it was submitted.
        address: Address of its queue, which stays the same. Records of earlier versions
            have none; the store finds it by the name.
        payload: Opaque text that every task receives.
        repeats: Number of repetitions of the steps; 0 means one that starts at once.
        first_at_ms: Wall-clock time at which the first repetition starts.
        interval_ms: Time between the starts of two repetitions.
        workspace: Workspace that submitted it, or an empty text if there is none.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    repeats: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0
    workspace: str = ""
    address: QueueAddress = NO_ADDRESS

    def count_tasks(self) -> int:
        """Return the number of tasks of one repetition."""
        return sum(step.count for step in self.steps)


class WorkerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A worker that the leader calls, as it describes itself.

    Attributes:
        id: ID of the worker, which a restart may keep.
        incarnation: Wall-clock time of the process start, in milliseconds, which
            distinguishes restarts.
        pool: Pool that it belongs to.
        address: IP address and port at which it accepts calls.
        labels: Kind of the worker and its rack.
        draining: Whether it is about to leave and gets no new task.
        sequence: Number of this report among those of the incarnation. The highest one
            is the newest, in whichever order they arrive.
        clock_ms: Time since the start of the process when it sent this report, in
            milliseconds, or 0 if it is not reported.
    """

    id: str
    incarnation: int = msgspec.field(name="born")
    pool: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    sequence: int = 0
    clock_ms: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """ID and incarnation of the worker."""
        return self.id, self.incarnation

    def says_the_same(self, other: "WorkerSpec") -> bool:
        """Return whether two reports differ in their number and time at most."""
        same = msgspec.structs.replace(
            self, sequence=other.sequence, clock_ms=other.clock_ms
        )
        return same == other
