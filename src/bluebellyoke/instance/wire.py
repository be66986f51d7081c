"""Messages on the stream between an instance and the leader.

An instance opens one stream to the replica that it takes for the leader, says
`Hello` and then sends polls and calls. A replica that does not lead answers with a
`Redirect` and closes the stream.
"""

import enum

import msgspec

from bluebellyoke.cell import commands as c
from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import ViewUpdate
from bluebellyoke.workflow.commands import ApplyConfiguration
from bluebellyoke.workflow.specs import WorkerSpec, WorkflowSpec

__all__ = [
    "AdviceCall",
    "AdviceReply",
    "Bye",
    "Call",
    "Demand",
    "FromInstance",
    "FromLeader",
    "Grant",
    "Hello",
    "Holding",
    "Poll",
    "PollReply",
    "Query",
    "QueryReply",
    "QueueAction",
    "QueueReply",
    "QueueRequest",
    "Recall",
    "Redirect",
    "Reply",
    "RunningTask",
    "TaskStart",
    "TaskStop",
    "Renewal",
    "Welcome",
    "WorkerAnnouncement",
    "WorkerHeartbeat",
    "WorkerOrders",
]


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """Slots of an upstream that an instance holds and how many are in use."""

    upstream: str
    incarnation: str
    held: int
    in_use: int


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a service that wait at an instance for a slot."""

    service: str
    queued: int


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's renewal without any change.

    Attributes:
        running: Requests that run now, by the holder that sent them, if it says so.
    """

    upstream: str
    incarnation: str
    running: dict[str, int] | None = None


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message of an instance."""

    cell: str
    instance: str
    incarnation: str
    data_centre: str


class Poll(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Renewal of the instance's lease, with what it holds and needs.

    Attributes:
        sent_at: Instance's monotonic time, returned by the leader.
        view_version: View in force at the instance.
        last_grant: Number of the latest `Grant` that `holdings` includes.
        draining: Whether the instance is about to leave and wants no slots.
    """

    sent_at: float
    view_version: int
    last_grant: int
    holdings: tuple[Holding, ...] = ()
    demands: tuple[Demand, ...] = ()
    renewals: tuple[Renewal, ...] = ()
    draining: bool = False


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that a worker runs, with its latest measured usage."""

    job_id: str
    index: int
    epoch: int
    used: Resources = Resources()


class WorkerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A worker's renewal request.

    Attributes:
        sequence: Grows with each heartbeat of the session.
        wait_s: Longest time that the reply may be held back for news, in seconds.
    """

    worker: str
    session: str
    sequence: int
    total: Resources
    rack: str
    data_centre: str
    running: tuple[RunningTask, ...] = ()
    ended: tuple[c.TaskReport, ...] = ()
    wait_s: float = 0.0


class Query(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A question about the state, such as `status` or `explain`."""

    topic: str
    subject: str = ""


class QueueAction(enum.StrEnum):
    """What a caller wants of a queue."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class QueueRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A caller's request to the queue that a host and a path select.

    What follows the queue's prefix in the path is the identity of a workflow; `READ`
    without one asks for the number of workflows that wait.

    Attributes:
        draft: Workflow to submit, without identity and queue.
    """

    action: QueueAction
    host: str
    path: str
    draft: WorkflowSpec | None = None


class QueueReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer of a `QueueRequest`.

    Attributes:
        code: `accepted`, `unknown-queue`, `unknown-job`, `bad-id` or another refusal.
        state: State of the workflow, if one was asked for.
        waiting: Workflows that wait, if they were asked for.
        retry_after_s: Time after which a caller that is turned away may come back.
    """

    code: str
    state: str = ""
    waiting: int = -1
    reason: str = ""
    retry_after_s: float = 0.0


class WorkerAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Heartbeat of a worker that the cell calls, or with `leaving` its last word."""

    worker: str
    spec: WorkerSpec | None = None
    leaving: bool = False


class AdviceCall(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Order to an instance to ask the advisor about a step.

    Attributes:
        step: Workflow, repetition and number of the step.
    """

    id: int
    step: tuple[str, int, int]
    workers: tuple[str, ...]


class AdviceReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What the advisor said.

    Attributes:
        tickets: Ticket of each worker that may run the step, or None if the advisor
            did not answer.
    """

    id: int
    tickets: dict[str, str] | None = None


class Call(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A request to the leader; the instance sends it again on a new stream."""

    id: int
    body: (
        c.SubmitJob
        | c.CancelJob
        | c.ApplyTicket
        | c.ClaimRequest
        | c.RecordOutcome
        | WorkerHeartbeat
        | c.AnnounceUpstream
        | Query
        | QueueRequest
        | ApplyConfiguration
        | WorkerAnnouncement
    )


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Last message of an instance that drains and holds nothing."""


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The replica leads and takes the instance's polls."""

    leader: str
    term: int


class Redirect(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The replica does not lead.

    Attributes:
        address: IP number and port of the leader, or empty if unknown.
        peers: Addresses of all members.
    """

    address: str
    peers: tuple[str, ...] = ()


class PollReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Renewed lease of the instance.

    Attributes:
        lease_s: Length of the lease from `sent_at`, in seconds.
        limits: Slots that the instance may hold, where it claimed more.
        peers: Addresses of all members.
    """

    sent_at: float
    lease_s: float
    view: ViewUpdate | None = None
    limits: tuple[Holding, ...] = ()
    peers: tuple[str, ...] = ()


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Slots added to what the instance holds."""

    number: int
    upstream: str
    incarnation: str
    slots: int


class Recall(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Number of slots that the instance may keep; idle ones above it go back."""

    upstream: str
    incarnation: str
    keep: int


class TaskStart(msgspec.Struct, frozen=True, array_like=True):
    """A task that the worker has to start."""

    job_id: str
    index: int
    epoch: int
    need: Resources
    payload: str


class TaskStop(msgspec.Struct, frozen=True, array_like=True):
    """A task that the worker has to stop."""

    job_id: str
    index: int
    epoch: int
    checkpoint: bool


class WorkerOrders(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer of a `WorkerHeartbeat`.

    Attributes:
        status: `ok`, or `ended` if the session's lease ran out.
        lease_s: Length of the lease from the time the heartbeat was sent.
        acknowledged: Ended tasks that are recorded and need no further report.
        throttle: Running tasks that use more than they need.
    """

    status: str
    lease_s: float
    run: tuple[TaskStart, ...] = ()
    stop: tuple[TaskStop, ...] = ()
    throttle: tuple[tuple[str, int, int], ...] = ()
    acknowledged: tuple[tuple[str, int, int], ...] = ()


class QueryReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer of a `Query`, as JSON."""

    found: bool
    body: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Answer of a `Call`."""

    id: int
    body: c.Result | WorkerOrders | QueryReply | QueueReply


FromInstance = Hello | Poll | Call | Bye | AdviceReply
FromLeader = (
    Welcome | Redirect | PollReply | ViewUpdate | Grant | Recall | Reply | AdviceCall
)
