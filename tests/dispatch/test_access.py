"""Refusals of callers without a credential that admits them, by the leader."""

import logging

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
        self._version = 1
        self.create_handler()

    def create_handler(self):
        """Let the present leader answer."""
        self._handler = QueueRequestHandler(self.simulation.dispatcher)

    def configure(self, *, queues=QUEUES, workspaces=WORKSPACES):
        """Commit a configuration."""
        self._version += 1
        configuration = create_configuration(
            self._version, queues=queues, workspaces=workspaces
        )
        command = workflow_commands.ApplyConfiguration(
            time=self.simulation.now, configuration=configuration
        )
        self.simulation.store.apply(command)

    def send(self, action, key="", *, path=f"/q/{JOB}", age_s=0.0):
        """Send a request without committing commands; return the list of replies."""
        replies = []
        draft = create_spec("", queue="") if action is SUBMIT else None
        credential = digest(key) if key else ""
        request = wire.QueueRequest(action, "h.example", path, draft, credential)
        self._handler.handle(
            self.simulation.store,
            request,
            self.simulation.now,
            replies.append,
            age_s=age_s,
        )
        return replies

    def call(self, action, key="", *, path=f"/q/{JOB}", age_s=0.0):
        """Return the code of the reply to a request."""
        replies = self.send(action, key, path=path, age_s=age_s)
        self.simulation.commit()
        (reply,) = replies
        return reply.code

    def get_owner(self, job=JOB):
        """Return the workspace of an accepted job."""
        return self.simulation.store.workflows[job].spec.workspace


def start_runs(simulation):
    """Run until a worker has accepted a start and listed the run."""
    for _ in range(20):
        simulation.advance(0.05)
        simulation.tick()
        sent_calls, simulation.sent_calls = simulation.sent_calls, []
        for sent in sent_calls:
            simulation.deliver(sent)
        posted, simulation.events = simulation.events, []
        for event in posted:
            simulation.receive(event)
    assert any(worker.runs for worker in simulation.workers.values())
    simulation.sent_calls.clear()


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


def test_resubmission_is_accepted_for_the_same_workspace_only(callers):
    """Guards against a retry that is refused, and against one that takes a job over."""
    callers.call(SUBMIT, "a1")
    assert callers.call(SUBMIT, "a2") == "accepted"
    assert callers.call(SUBMIT, "b1") == "forbidden"
    assert callers.call(SUBMIT) == "unauthenticated"
    assert callers.get_owner() == "a"


@pytest.mark.parametrize("action", [READ, CANCEL])
def test_job_is_read_and_cancelled_by_its_workspace_only(callers, action):
    """Guards against a workspace that sees or ends the job of another."""
    callers.call(SUBMIT, "a1")
    assert callers.call(action, "b1") == "forbidden"
    assert callers.simulation.store.workflows[JOB].outcome == ""
    assert callers.call(action, "a2") == "accepted"


def test_public_queue_needs_no_credential(callers):
    path = f"/open/{JOB}"
    assert callers.call(SUBMIT, path=path) == "accepted"
    assert callers.get_owner() == ""
    assert callers.call(READ, path=path) == "accepted"
    assert callers.call(READ, path="/open/") == "accepted"


def test_job_of_a_public_queue_belongs_to_the_workspace_of_its_credential(callers):
    """Guards against anonymous access to the job of a workspace in a public queue."""
    path = f"/open/{JOB}"
    assert callers.call(SUBMIT, "a1", path=path) == "accepted"
    assert callers.get_owner() == "a"
    assert callers.call(READ, path=path) == "unauthenticated"
    assert callers.call(CANCEL, "b1", path=path) == "forbidden"
    assert callers.call(READ, "a2", path=path) == "accepted"


def test_count_of_a_queue_needs_a_credential(callers):
    assert callers.call(READ, path="/q/") == "unauthenticated"
    assert callers.call(READ, "b1", path="/q/") == "accepted"


# Guards against another order of the checks: an unknown path is unknown to all callers,
# and only callers with a credential learn about IDs and jobs.
@pytest.mark.parametrize(
    ("path", "key", "code"),
    [
        (f"/gone/{JOB}", "", "unknown-queue"),
        (f"/gone/{JOB}", "a1", "unknown-queue"),
        ("/q/x", "", "unauthenticated"),
        ("/q/x", "a1", "bad-id"),
        (f"/q/{JOB}", "", "unauthenticated"),
        (f"/q/{JOB}", "a1", "unknown-job"),
    ],
)
def test_path_is_checked_before_the_credential_and_the_id_after_it(
    callers, path, key, code
):
    assert callers.call(CANCEL, key, path=path) == code


def test_new_configuration_decides_at_once(callers):
    """Guards against a decision by an earlier configuration."""
    workspaces = (create_workspace("a", "a3"), WORKSPACES[1])
    callers.call(SUBMIT, "a1")
    callers.configure(workspaces=workspaces)
    assert callers.call(READ, "a1") == "unauthenticated"
    assert callers.call(READ, "a3") == "accepted"
    callers.configure(queues=(create_queue("open"),))
    assert callers.call(READ, "a3") == "unknown-queue"


@pytest.mark.parametrize(
    ("workspaces", "code"),
    [
        ((create_workspace("a", "a2"), WORKSPACES[1]), "unauthenticated"),
        ((WORKSPACES[1],), "unauthenticated"),
    ],
)
def test_credential_that_is_removed_before_the_commit_is_refused(
    callers, workspaces, code
):
    """Guards against a job that runs with a credential that is no longer in force."""
    replies = callers.send(SUBMIT, "a1")
    callers.configure(workspaces=workspaces)
    callers.simulation.commit()
    assert [reply.code for reply in replies] == [code]
    assert callers.simulation.store.workflows == {}


def test_job_belongs_to_the_workspace_of_its_credential_at_the_commit(callers):
    """Guards against a job in a workspace that its key has left."""
    replies = callers.send(SUBMIT, "a1")
    callers.configure(
        workspaces=(create_workspace("a", "a2"), create_workspace("b", "a1"))
    )
    callers.simulation.commit()
    assert [reply.code for reply in replies] == ["accepted"]
    assert callers.get_owner() == "b"


def test_cancellation_is_decided_again_at_the_commit(callers):
    """Guards against a cancellation with a credential that is no longer in force."""
    callers.call(SUBMIT, "a1")
    replies = callers.send(CANCEL, "a1")
    callers.configure(workspaces=(create_workspace("a", "a2"), WORKSPACES[1]))
    callers.simulation.commit()
    assert [reply.code for reply in replies] == ["unauthenticated"]
    assert callers.simulation.store.workflows[JOB].outcome == ""


@pytest.mark.parametrize("action", [SUBMIT, CANCEL])
def test_queue_that_is_removed_before_the_commit_is_unknown(callers, action):
    replies = callers.send(action, "a1")
    callers.configure(queues=(create_queue("open"),))
    callers.simulation.commit()
    assert [reply.code for reply in replies] == ["unknown-queue"]
    assert callers.simulation.store.workflows == {}


# Guards against a refusal of a job that runs, and a cancel without an effect, although
# the request arrived before its queue was removed.
@pytest.mark.parametrize("action", [SUBMIT, CANCEL])
def test_known_job_outlives_its_queue_that_is_removed_before_the_commit(
    callers, action
):
    callers.call(SUBMIT, "a1")
    replies = callers.send(action, "a1")
    callers.simulation.advance(1.0)
    callers.configure(queues=(create_queue("open"),))
    callers.simulation.commit()
    assert [reply.code for reply in replies] == ["accepted"]
    outcome = "cancelled" if action is CANCEL else ""
    assert callers.simulation.store.workflows[JOB].outcome == outcome


def test_accepted_job_is_not_reported_as_refused_after_its_key_was_removed(callers):
    """Guards against a 401 for a job that runs.

    An instance sends a submission again if the leader was lost before its reply. The
    key may have been removed meanwhile.
    """
    callers.call(SUBMIT, "a1")
    callers.configure(workspaces=(create_workspace("a", "a2"), WORKSPACES[1]))
    assert callers.call(SUBMIT, "a1") == "unanswered"
    assert callers.call(SUBMIT, "x") == "unauthenticated"
    assert callers.call(SUBMIT) == "unauthenticated"
    assert callers.call(READ, "a1") == "unauthenticated"


def test_job_of_a_removed_workspace_is_finished(callers):
    """Guards against an accepted job that is lost, or that another workspace sees."""
    callers.call(SUBMIT, "a1")
    callers.configure(workspaces=(WORKSPACES[1],))
    for key, code in (("a1", "unauthenticated"), ("b1", "forbidden")):
        assert callers.call(READ, key) == code
        assert callers.call(CANCEL, key) == code
    callers.simulation.run_until_finished()
    assert callers.simulation.store.workflows[JOB].outcome == "completed"
    callers.configure()
    assert callers.call(READ, "a1") == "accepted"


def test_cancellation_in_another_queue_stops_no_run(callers):
    """Guards against a caller that stops the runs of another workspace."""
    callers.call(SUBMIT, "a1")
    simulation = callers.simulation
    start_runs(simulation)
    assert callers.call(CANCEL, "b1", path=f"/open/{JOB}") == "unknown-job"
    assert "stop" not in {call.kind for call in simulation.sent_calls}
    assert callers.call(CANCEL, "a1") == "accepted"
    assert "stop" in {call.kind for call in simulation.sent_calls}


def test_log_shows_the_first_digits_of_a_digest_only(callers, caplog):
    """Guards against a key or a whole digest in a log."""
    with caplog.at_level(logging.INFO, "bluebellyoke.dispatch"):
        callers.call(SUBMIT, "a1")
        callers.call(READ, "x")
    lines = [str(vars(record)) for record in caplog.records]
    assert [x.credential for x in caplog.records] == [
        digest("a1")[:8],
        digest("x")[:8],
    ]
    for text in (digest("a1")[:9], digest("x")[:9]):
        assert not any(text in line for line in lines)


def test_refused_submission_keeps_the_advice_for_the_running_job(callers, monkeypatch):
    """Guards against a caller that delays the job of another by sending its ID."""
    callers.call(SUBMIT, "a1")
    dropped = []
    advice = callers.simulation.dispatcher.advice
    monkeypatch.setattr(advice, "drop_workflow", dropped.append)
    assert callers.call(SUBMIT, "b1", path=f"/open/{JOB}") == "id-taken"
    assert dropped == []


@pytest.mark.parametrize("key", ["", "x"])
def test_job_from_before_the_workspaces_is_not_reported_as_refused(callers, key):
    """Guards against a 401 for a job that was accepted when no key was needed."""
    callers.configure(workspaces=())
    assert callers.call(SUBMIT, key) == "accepted"
    callers.configure()
    assert callers.call(SUBMIT, key) == "unanswered"
    assert callers.call(SUBMIT, "y") == "unauthenticated"
    assert callers.call(READ, key) == "unauthenticated"
    assert callers.call(READ, "a1") == "accepted"
