"""Stateful test of access and promises while configurations and leaders change."""

import math
from dataclasses import dataclass, field

import hypothesis.strategies as st
import msgspec
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from bluebellyoke.dispatch.queue_requests import QueueRequestHandler
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.store import WorkflowStore
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_configuration, create_queue, create_spec
from tests.workflow.test_access import create_workspace, digest

SUBMIT, READ, CANCEL = wire.QueueAction

KEYS = ("k1", "k2")
KEY_BY_DIGEST = {"": "", **{digest(key): key for key in KEYS}}
QUEUES = ("q", "r")
REFUSALS = ("unauthenticated", "forbidden", "unknown-queue")
JOBS = tuple(f"{number:016x}" for number in range(2))


@dataclass
class Access:
    """What a configuration allows, in terms of keys.

    Attributes:
        owners: Workspace of each key.
        public: Whether each queue is public.
        has_workspaces: Whether the configuration has workspaces.
        names: Names of the queues, which tell nothing of what is allowed.
    """

    owners: dict = field(default_factory=dict)
    public: dict = field(default_factory=dict)
    has_workspaces: bool = False
    names: tuple = QUEUES

    def build(self, version):
        names = dict(zip(QUEUES, self.names, strict=True))
        queues = [
            msgspec.structs.replace(create_queue(x, public=public), name=names[x])
            for x, public in self.public.items()
        ]
        names = sorted({*self.owners.values(), "idle"}) if self.has_workspaces else ()
        workspaces = tuple(
            create_workspace(
                name, *(key for key, owner in self.owners.items() if owner == name)
            )
            for name in names
        )
        return create_configuration(version, queues=queues, workspaces=workspaces)


@dataclass
class Job:
    """An accepted job, as the rules require it to be."""

    queue: str
    owner: str
    key: str
    cancelled: bool = False


@dataclass
class Request:
    """A request and the replies to it.

    Attributes:
        arrived_at: Time at which it arrived at an instance, in seconds.
    """

    action: wire.QueueAction
    key: str
    queue: str
    job: str
    arrived_at: float = 0.0
    replies: list = field(default_factory=list)


class AccessMachine(RuleBasedStateMachine):
    """Callers, operators and leader changes, checked against the rules in plain form.

    Proposed commands wait until they are committed one after the other. A change of the
    leader drops them, or the next leader commits them before it acts; instances then
    send the requests without a reply again.
    """

    def __init__(self):
        super().__init__()
        self.simulation = DispatcherSimulation(workers=0)
        self.handler = QueueRequestHandler(self.simulation.dispatcher)
        self.version = 1
        self.now = 1.0
        self.proposed = {}
        self.access = Access()
        self.jobs = {}
        self.removed_at = {}
        self.early_cancels = {}
        self.open_requests = []
        self.log = []
        self.change_configuration(
            owners={"k1": "a", "k2": "b"}, public={"q": False}, has_workspaces=True
        )
        self.commit(1)

    # Rules.

    @rule(
        owners=st.dictionaries(st.sampled_from(KEYS), st.sampled_from(["a", "b"])),
        public=st.dictionaries(st.sampled_from(QUEUES), st.booleans(), min_size=1),
        has_workspaces=st.sampled_from([True, True, True, False]),
        names=st.permutations([*QUEUES, "s"]),
    )
    def change_configuration(self, owners, public, has_workspaces, names=QUEUES):
        self.version += 1
        owners = owners if has_workspaces else {}
        access = Access(owners, public, has_workspaces, tuple(names[: len(QUEUES)]))
        self.proposed[self.version] = access
        command = workflow_commands.ApplyConfiguration(
            configuration=access.build(self.version)
        )
        self.now += 1.0
        self.simulation.dispatcher.change_configuration(
            command, self.now, lambda x: None
        )
        self.collect()

    @rule(
        action=st.sampled_from([SUBMIT, SUBMIT, READ, CANCEL]),
        key=st.sampled_from(["", *KEYS]),
        queue=st.sampled_from(QUEUES),
        job=st.sampled_from(JOBS),
        count=st.sampled_from([0, 6]),
    )
    def send(self, action, key, queue, job, count):
        self.now += 1.0
        self.handle(Request(action, key, queue, job, self.now))
        self.commit(count)

    @rule(count=st.integers(1, 6))
    def commit(self, count):
        for _ in range(min(count, len(self.log))):
            self.apply(self.log.pop(0), replies=True)

    @rule(survive=st.booleans(), is_restored=st.booleans())
    def change_leader(self, survive, is_restored):
        lost, self.log = self.log, []
        for proposal in lost if survive else ():
            self.apply(proposal, replies=False)
        if is_restored:
            data = msgspec.msgpack.encode(self.simulation.store.dump())
            snapshot = msgspec.msgpack.decode(data, type=WorkflowSnapshot)
            self.simulation.store = WorkflowStore.load(snapshot)
        self.simulation.change_leader()
        self.handler = QueueRequestHandler(self.simulation.dispatcher)
        repeated, self.open_requests = self.open_requests, []
        for request in repeated:
            self.handle(request)

    # The leader.

    def handle(self, request):
        credential = digest(request.key) if request.key else ""
        draft = create_spec("", queue="") if request.action is SUBMIT else None
        path = f"/{request.queue}/{request.job}"
        body = wire.QueueRequest(request.action, "h.example", path, draft, credential)
        expected = self.decide(request)
        self.handler.handle(
            self.simulation.store,
            body,
            self.now,
            lambda x: request.replies.append(x.code),
            age_s=self.now - request.arrived_at,
        )
        self.collect()
        if request.replies:
            assert request.replies == [expected]
            self.check_refusal(request)
        else:
            self.open_requests.append(request)

    def collect(self):
        self.log += self.simulation.proposals.pop_all()

    def apply(self, proposal, *, replies):
        command = proposal.command
        if isinstance(command, workflow_commands.ApplyConfiguration):
            self.configure(command)
            expected = "accepted"
        elif isinstance(command, workflow_commands.SubmitWorkflow):
            expected = self.accept(command)
        else:
            expected = self.cancel(command)
        result = self.simulation.store.apply(command)
        assert ("accepted" if result.accepted else result.code) == expected
        self.check_jobs()
        if replies and proposal.on_result is not None:
            proposal.on_result(result)
            for request in [x for x in self.open_requests if x.replies]:
                assert request.replies == [self.translate(request, expected)]
                self.open_requests.remove(request)
                self.check_refusal(request)

    # The rules.

    def configure(self, command):
        """Put a configuration in force, and note which queues it removes."""
        access = self.proposed[command.configuration.version]
        for queue in QUEUES:
            if queue in access.public:
                self.removed_at.pop(queue, None)
            elif queue in self.access.public:
                self.removed_at[queue] = command.time
        self.access = access

    def find_job(self, queue, job):
        """Return a job that a queue has, which may have been removed, or None."""
        known = self.jobs.get(job)
        return known if known is not None and known.queue == queue else None

    def is_earlier(self, request):
        """Return whether a request arrived before its queue was removed."""
        return request.arrived_at < self.removed_at.get(request.queue, math.inf)

    def decide(self, request):
        """Return the code that a request gets before anything is committed for it."""
        action, key, queue, job = (
            request.action,
            request.key,
            request.queue,
            request.job,
        )
        if queue in self.access.public:
            return self.decide_at_commit(action, key, queue, job)
        if self.find_job(queue, job) is None:
            return "unknown-queue"
        code = self.decide_access(action, key, queue, job)
        if code == "unanswered":
            return code
        if code != "accepted":
            return "unknown-queue"
        if self.is_earlier(request):
            return "accepted"
        return {SUBMIT: "unanswered", READ: "unknown-queue"}.get(action, "unknown-job")

    def decide_at_commit(self, action, key, queue, job):
        """Return the code of a request by the configuration and the jobs in force."""
        known = self.find_job(queue, job)
        is_gone = known is None and queue not in self.access.public
        if is_gone and self.access.has_workspaces:
            return "unknown-queue"
        code = self.decide_access(action, key, queue, job)
        if code != "accepted" or known is not None:
            return code
        if action is SUBMIT and job in self.jobs:
            return "id-taken"
        if is_gone:
            return "unknown-queue"
        if action is not SUBMIT:
            return "unknown-job"
        owners = {"anyone", *self.list_owners(key)}
        is_cancelled = owners & self.early_cancels.get((queue, job), set())
        return "cancelled" if is_cancelled else "accepted"

    def list_owners(self, key):
        owner = f"workspace {self.access.owners.get(key, '')}"
        return {owner, f"key {key}"} if key else {owner}

    def decide_access(self, action, key, queue, job):
        if not self.access.has_workspaces:
            return "accepted"
        workspace = self.access.owners.get(key, "")
        known = self.find_job(queue, job)
        owner = known.owner if known else ""
        if owner:
            code = "forbidden" if workspace else "unauthenticated"
            code = "accepted" if owner == workspace else code
        else:
            is_admitted = workspace or self.access.public.get(queue)
            code = "accepted" if is_admitted else "unauthenticated"
        if code == "accepted" or known is None or key != known.key:
            return code
        if queue not in self.access.public and not owner:
            return "accepted"
        return "unanswered" if action is SUBMIT else code

    def translate(self, request, code):
        """Return the code of a reply to a request whose command got a code."""
        is_late = request.action is CANCEL and not self.is_earlier(request)
        return "unknown-job" if code == "accepted" and is_late else code

    def accept(self, command):
        job, queue = command.spec.id, command.spec.address.prefix.strip("/")
        key = KEY_BY_DIGEST[command.credential]
        code = self.decide_at_commit(SUBMIT, key, queue, job)
        if code == "accepted" and job not in self.jobs:
            owner = self.access.owners.get(key, "")
            self.jobs[job] = Job(queue, owner, key)
        return code

    def cancel(self, command):
        job, queue = command.workflow, command.address.prefix.strip("/")
        key = KEY_BY_DIGEST[command.credential]
        code = self.decide_at_commit(CANCEL, key, queue, job)
        if code == "accepted":
            self.jobs[job].cancelled = True
        if code == "unknown-job":
            owners = self.list_owners(key) if self.access.has_workspaces else {"anyone"}
            self.early_cancels.setdefault((queue, job), set()).update(owners)
        return code

    # Checks.

    def check_jobs(self):
        """Check that exactly the admitted jobs exist, in their workspaces."""
        workflows = self.simulation.store.workflows
        assert workflows.keys() == self.jobs.keys()
        for name, job in self.jobs.items():
            assert workflows[name].spec.workspace == job.owner
            assert (workflows[name].outcome == "cancelled") is job.cancelled

    def check_refusal(self, request):
        """Check that a refused job is none that its key was accepted for."""
        job = self.find_job(request.queue, request.job)
        is_refused = request.replies[0] in REFUSALS
        if request.action is SUBMIT and is_refused and job is not None:
            assert job.key != request.key


TestAccess = AccessMachine.TestCase
TestAccess.settings = settings(max_examples=200, stateful_step_count=40)
