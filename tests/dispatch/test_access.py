"""Refusals of callers without a credential that admits them, by the leader."""

import pytest

from bluebellyoke.dispatch.queue_requests import QueueRequestHandler
from bluebellyoke.instance import wire
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_configuration, create_queue, create_spec
from tests.workflow.test_access import create_workspace, digest

SUBMIT, READ, CANCEL = wire.QueueAction

JOB = "0000000000000001"
WORKSPACES = (create_workspace("a", "a1", "a2"), create_workspace("b", "b1"))
QUEUES = (create_queue("q"), create_queue("open", public=True))


class Callers:
    """Callers of the leader's queues.

    Attributes:
        simulation: Leader that answers them.
    """

    def __init__(self):
        self.simulation = DispatcherSimulation()
        self._handler = QueueRequestHandler(self.simulation.dispatcher)
        self._version = 1

    def configure(self, *, queues=QUEUES, workspaces=WORKSPACES):
        """Commit a configuration."""
        self._version += 1
        configuration = create_configuration(
            self._version, queues=queues, workspaces=workspaces
        )
        command = workflow_commands.ApplyConfiguration(configuration=configuration)
        self.simulation.store.apply(command)

    def send(self, action, key="", *, path=f"/q/{JOB}"):
        """Send a request without committing commands; return the list of replies."""
        replies = []
        draft = create_spec("", queue="") if action is SUBMIT else None
        credential = digest(key) if key else ""
        request = wire.QueueRequest(action, "h.example", path, draft, credential)
        self._handler.handle(
            self.simulation.store, request, self.simulation.now, replies.append
        )
        return replies

    def call(self, action, key="", *, path=f"/q/{JOB}"):
        """Return the code of the reply to a request."""
        replies = self.send(action, key, path=path)
        self.simulation.commit()
        (reply,) = replies
        return reply.code

    def get_owner(self, job=JOB):
        """Return the workspace of an accepted job."""
        return self.simulation.store.workflows[job].spec.workspace


@pytest.fixture
def callers():
    """Callers of two workspaces, with a queue for them and a public queue."""
    callers = Callers()
    callers.configure()
    return callers


@pytest.mark.parametrize("action", [SUBMIT, READ, CANCEL])
@pytest.mark.parametrize("key", ["", "x"])
def test_caller_without_a_known_credential_is_refused(callers, action, key):
    """Guards against a job that runs, or is seen or ended, without a credential."""
    assert callers.call(action, key) == "unauthenticated"
    assert callers.simulation.store.workflows == {}
    callers.call(SUBMIT, "a1")
    assert callers.call(action, key) == "unauthenticated"
    assert callers.simulation.store.workflows[JOB].outcome == ""


def test_job_belongs_to_the_workspace_of_its_credential(callers):
    assert callers.call(SUBMIT, "a1") == "accepted"
    assert callers.get_owner() == "a"
