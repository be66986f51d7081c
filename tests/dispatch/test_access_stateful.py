"""Stateful test of access while configurations, keys and leaders change."""

from dataclasses import dataclass, field

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from bluebellyoke.dispatch.queue_requests import QueueRequestHandler
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_configuration, create_queue, create_spec
from tests.workflow.test_access import create_workspace, digest

SUBMIT, READ, CANCEL = wire.QueueAction

KEYS = ("k1", "k2")
KEY_BY_DIGEST = {"": "", **{digest(key): key for key in KEYS}}
QUEUES = ("q", "r")
JOBS = tuple(f"{number:016x}" for number in range(2))


@dataclass
class Access:
    """What a configuration allows, in terms of keys.

    Attributes:
        owners: Workspace of each key.
        public: Whether each queue is public.
        has_workspaces: Whether the configuration has workspaces.
    """

    owners: dict = field(default_factory=dict)
    public: dict = field(default_factory=dict)
    has_workspaces: bool = False

    def build(self, version):
        queues = [create_queue(x, public=public) for x, public in self.public.items()]
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
    """A request and the replies to it."""

    action: wire.QueueAction
    key: str
    queue: str
    job: str
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
        self.proposed = {}
        self.access = None
        self.jobs = {}
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
    )
    def change_configuration(self, owners, public, has_workspaces):
        self.version += 1
        access = Access(owners if has_workspaces else {}, public, has_workspaces)
        self.proposed[self.version] = access
        command = workflow_commands.ApplyConfiguration(
            configuration=access.build(self.version)
        )
        self.simulation.dispatcher.change_configuration(command, 1.0, lambda x: None)
        self.collect()

    @rule(
        action=st.sampled_from([SUBMIT, SUBMIT, READ, CANCEL]),
        key=st.sampled_from(["", *KEYS]),
        queue=st.sampled_from(QUEUES),
        job=st.sampled_from(JOBS),
        count=st.sampled_from([0, 6]),
    )
    def send(self, action, key, queue, job, count):
        self.handle(Request(action, key, queue, job))
        self.commit(count)

    @rule(count=st.integers(1, 6))
    def commit(self, count):
        for _ in range(min(count, len(self.log))):
            self.apply(self.log.pop(0), replies=True)

    @rule(survive=st.booleans())
    def change_leader(self, survive):
        lost, self.log = self.log, []
        for proposal in lost if survive else ():
            self.apply(proposal, replies=False)
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
        expected = self.decide(request.action, request.key, request.queue, request.job)
        self.handler.handle(
            self.simulation.store, body, 1.0, lambda x: request.replies.append(x.code)
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
            self.access = self.proposed[command.configuration.version]
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
                assert request.replies == [expected]
                self.open_requests.remove(request)
                self.check_refusal(request)

    # The rules.

    def decide(self, action, key, queue, job):
        """Return the code that a request gets by the configuration in force."""
        if queue not in self.access.public:
            return "unknown-queue"
        code = self.decide_access(action, key, queue, job)
        known = self.jobs.get(job)
        if code != "accepted" or action is SUBMIT:
            is_taken = known is not None and known.queue != queue
            return "id-taken" if code == "accepted" and is_taken else code
        return code if known and known.queue == queue else "unknown-job"

    def decide_access(self, action, key, queue, job):
        if not self.access.has_workspaces:
            return "accepted"
        workspace = self.access.owners.get(key, "")
        known = self.jobs.get(job)
        owner = known.owner if known and known.queue == queue else ""
        if owner and workspace:
            return "accepted" if owner == workspace else "forbidden"
        if not owner and (workspace or self.access.public[queue]):
            return "accepted"
        repeats = action is SUBMIT and known and known.queue == queue
        return "unanswered" if repeats and key == known.key else "unauthenticated"

    def decide_at_commit(self, action, command, queue, job):
        known = self.jobs.get(job)
        if not self.access.has_workspaces and known and known.queue == queue:
            # Without workspaces, a removed queue does not matter to a known job.
            return "accepted"
        return self.decide(action, KEY_BY_DIGEST[command.credential], queue, job)

    def accept(self, command):
        job, queue = command.spec.id, command.spec.queue
        code = self.decide_at_commit(SUBMIT, command, queue, job)
        if code == "unknown-queue" and not self.access.has_workspaces:
            code = "id-taken" if job in self.jobs else code
        if code == "accepted" and job not in self.jobs:
            key = KEY_BY_DIGEST[command.credential]
            owner = self.access.owners.get(key, "")
            self.jobs[job] = Job(queue, owner, key)
        return code

    def cancel(self, command):
        code = self.decide_at_commit(CANCEL, command, command.queue, command.workflow)
        if code == "unknown-queue" and not self.access.has_workspaces:
            code = "unknown-job"
        if code == "accepted":
            self.jobs[command.workflow].cancelled = True
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
        """Check that a job refused with 401 is none that its key was accepted for."""
        job = self.jobs.get(request.job)
        if request.action is SUBMIT and request.replies == ["unauthenticated"]:
            was_accepted = job and job.queue == request.queue
            assert not (was_accepted and job.key == request.key)


TestAccess = AccessMachine.TestCase
TestAccess.settings = settings(max_examples=200, stateful_step_count=40)
