"""Messages on the stream between an instance and the leader.

An instance opens a stream to a replica, sends `Hello` and then polls and calls. The
leader replies with `Welcome`; any other replica replies with `Redirect` and closes
the stream.
"""

import enum

import msgspec

from bluebellyoke.cell import commands
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
    """Number of an upstream's slots that an instance holds and uses."""

    upstream: str
    incarnation: str
    held: int
    in_use: int


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests for a service that wait for a slot at an instance."""

    service: str
    queued: int


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of an upstream whose announcement has not changed.

    Attributes:
        running: Number of running requests by the holder that sent them, or None if
            the upstream does not report it.
    """

    upstream: str
    incarnation: str
    running: dict[str, int] | None = None


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message from an instance."""

    cell: str
    instance: str
    incarnation: str
    data_centre: str


class Poll(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request to renew the instance's lease, with its slots and demands.

    Attributes:
        sent_at: Monotonic time of the instance in seconds; the reply returns it.
        view_version: Version of the instance's view.
        last_grant: Number of the latest `Grant` that `holdings` includes.
        holdings: Slots that the instance holds.
        demands: Requests that wait for a slot.
        renewals: Heartbeats of upstreams.
        draining: Whether the instance is shutting down and needs no slots.
    """

    sent_at: float
    view_version: int
    last_grant: int
    holdings: tuple[Holding, ...] = ()
    demands: tuple[Demand, ...] = ()
    renewals: tuple[Renewal, ...] = ()
    draining: bool = False


class RunningTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that runs on a worker, with its last measured resource usage."""

    job_id: str
    index: int
    epoch: int
    used: Resources = Resources()


class WorkerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A worker's request to renew its lease.

    Attributes:
        sequence: Sequence number, which increases within a session.
        running: Tasks that run now.
        ended: Reports of tasks that have ended.
        wait_s: Maximum time that the leader may wait for new orders before it
            replies, in seconds.
    """

    worker: str
    session: str
    sequence: int
    total: Resources
    rack: str
    data_centre: str
    running: tuple[RunningTask, ...] = ()
    ended: tuple[commands.TaskReport, ...] = ()
    wait_s: float = 0.0


class Query(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request for information about the state, such as `status` or `explain`.

    Attributes:
        max_bytes: Size above which the body of the reply is left out, or 0.
    """

    topic: str
    subject: str = ""
    max_bytes: int = 0


class QueueAction(enum.StrEnum):
    """Action of a request to a queue."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class QueueRequest(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A caller's request to the queue that matches a host and a path.

    The path after the queue's prefix is the ID of a workflow. A `READ` request
    without an ID returns the number of waiting workflows.

    Attributes:
        draft: Workflow to submit; the leader sets its ID, queue and workspace.
        credential: SHA-256 digest of the caller's key, in hexadecimal, or an empty text
            if it sent none.
    """

    action: QueueAction
    host: str
    path: str
    draft: WorkflowSpec | None = None
    credential: str = ""


class QueueReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to a `QueueRequest`.

    Attributes:
        code: `accepted`, or the code of a refusal such as `unknown-queue`,
            `unknown-job` or `bad-id`.
        state: State of the workflow, if requested.
        waiting: Number of waiting workflows if requested, else -1.
        reason: Explanation of a refusal.
        retry_after_s: Time after which a refused caller may retry, in seconds.
    """

    code: str
    state: str = ""
    waiting: int = -1
    reason: str = ""
    retry_after_s: float = 0.0


class WorkerAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Heartbeat of a worker that the leader calls to start and stop runs.

    Attributes:
        spec: Description of the worker.
        leaving: Whether this is the last heartbeat, because the worker shuts down.
    """

    worker: str
    spec: WorkerSpec | None = None
    leaving: bool = False


class AdviceCall(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Request to an instance to call the advisor about a step.

    Attributes:
        step: ID of the workflow, repetition and index of the step.
        workers: IDs of the candidate workers.
    """

    id: int
    step: tuple[str, int, int]
    workers: tuple[str, ...]


class AdviceReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to an `AdviceCall`.

    Attributes:
        tickets: Ticket of each worker that may run the step, or None if the advisor
            did not respond.
    """

    id: int
    tickets: dict[str, str] | None = None


class Call(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A request to the leader, which the instance sends again on a new stream.

    Attributes:
        age_s: Time since the request arrived at the instance, in seconds. It may have
            arrived before.
    """

    id: int
    body: (
        commands.SubmitJob
        | commands.CancelJob
        | commands.ApplyTicket
        | commands.ClaimRequest
        | commands.RecordOutcome
        | WorkerHeartbeat
        | commands.AnnounceUpstream
        | Query
        | QueueRequest
        | ApplyConfiguration
        | WorkerAnnouncement
    )
    age_s: float = 0.0


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Last message from an instance that has drained and holds no slots."""


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to `Hello` from the leader, which accepts the instance's polls."""

    leader: str
    term: int


class Redirect(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Last message from a replica that is not the leader.

    Attributes:
        address: IP address and port of the leader, or empty if unknown.
        peers: Addresses of all members.
    """

    address: str
    peers: tuple[str, ...] = ()


class PollReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Renewed lease of the instance.

    Attributes:
        lease_s: Duration of the lease from `sent_at`, in seconds.
        view: Changes of the view, if there are any.
        limits: Slots that the instance may hold where the poll reported more.
        peers: Addresses of all members.
    """

    sent_at: float
    lease_s: float
    view: ViewUpdate | None = None
    limits: tuple[Holding, ...] = ()
    peers: tuple[str, ...] = ()


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Additional slots of an upstream for the instance."""

    number: int
    upstream: str
    incarnation: str
    slots: int


class Recall(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Recall of an upstream's slots: the instance returns idle slots above `keep`."""

    upstream: str
    incarnation: str
    keep: int


class TaskStart(msgspec.Struct, frozen=True, array_like=True):
    """Order to start a task."""

    job_id: str
    index: int
    epoch: int
    need: Resources
    payload: str


class TaskStop(msgspec.Struct, frozen=True, array_like=True):
    """Order to stop a task.

    Attributes:
        checkpoint: Whether the worker saves a checkpoint first.
    """

    job_id: str
    index: int
    epoch: int
    checkpoint: bool


class WorkerOrders(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to a `WorkerHeartbeat`.

    Attributes:
        status: `ok`, or `ended` if the session's lease has expired.
        lease_s: Duration of the lease from the sending of the heartbeat, in seconds.
        run: Tasks to start.
        stop: Tasks to stop.
        throttle: Running tasks that use more resources than they requested.
        acknowledged: Ended tasks that are recorded and need no further report.
    """

    status: str
    lease_s: float
    run: tuple[TaskStart, ...] = ()
    stop: tuple[TaskStop, ...] = ()
    throttle: tuple[tuple[str, int, int], ...] = ()
    acknowledged: tuple[tuple[str, int, int], ...] = ()


class QueryReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to a `Query`, with a JSON body.

    Attributes:
        is_too_large: Whether the body was left out because of its size.
    """

    found: bool
    body: bytes
    is_too_large: bool = False


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to a `Call`."""

    id: int
    body: commands.Result | WorkerOrders | QueryReply | QueueReply


FromInstance = Hello | Poll | Call | Bye | AdviceReply
FromLeader = (
    Welcome | Redirect | PollReply | ViewUpdate | Grant | Recall | Reply | AdviceCall
)
