"""Workflows whose queue gets another name, or whose queue's name another queue gets.

Callers address a queue by host and path prefix. A name is a label of the operator, so
no promise on an accepted workflow may depend on it.
"""

import msgspec
import pytest

from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.specs import NO_ADDRESS
from bluebellyoke.workflow.store import WorkflowStore
from tests.dispatch.test_access import CANCEL, READ, SUBMIT, Callers, start_runs
from tests.workflow.factories import create_queue, create_spec

JOB, OTHER_JOB = "0000000000000001", "0000000000000002"

Q, R = create_queue("q"), create_queue("r", priority=7)


def rename(queue, name):
    return msgspec.structs.replace(queue, name=name)


#: Queues of a new configuration, at least one of which has another name.
CHANGES = {
    "another name": (rename(Q, "new"), R),
    "names exchanged": (rename(Q, "r"), rename(R, "q")),
    "name used for another host": (
        rename(Q, "new"),
        create_queue("q", host="other.example", prefix="/q/", pool="p2"),
    ),
}


class RenamingCallers(Callers):
    """Callers whose leader may change, or be restored from a snapshot."""

    def __init__(self):
        super().__init__()
        self.configure(queues=(Q, R), workspaces=())

    def change_leader(self, *, is_restored):
        simulation = self.simulation
        if is_restored:
            data = msgspec.msgpack.encode(simulation.store.dump())
            snapshot = msgspec.msgpack.decode(data, type=WorkflowSnapshot)
            simulation.store = WorkflowStore.load(snapshot)
        simulation.change_leader()
        self.create_handler()

    def read(self, path=f"/q/{JOB}"):
        (reply,) = self.send(READ, path=path)
        return reply.state or reply.code

    def count_waiting(self, path):
        (reply,) = self.send(READ, path=path)
        return reply.waiting


@pytest.fixture(params=[None, "log", "snapshot"])
def change_leader(request):
    """Return a function that lets no other, or another replica lead."""

    def change(callers):
        if request.param is not None:
            callers.change_leader(is_restored=request.param == "snapshot")

    return change


@pytest.fixture
def callers():
    return RenamingCallers()


@pytest.fixture(params=CHANGES.values(), ids=CHANGES.keys())
def queues(request):
    return request.param


# Guards against accepted jobs that are answered with 410, or as unknown, after their
# queue got another name: review/10.
def test_job_is_read_by_its_path_whatever_its_queue_is_called(
    callers, queues, change_leader
):
    callers.call(SUBMIT)
    assert callers.read() == "pending"
    callers.configure(queues=queues, workspaces=())
    change_leader(callers)
    assert callers.read() == "pending"
    callers.simulation.run_until_finished()
    assert callers.read() == "completed"
    callers.configure(queues=(rename(Q, "third"), R), workspaces=())
    change_leader(callers)
    assert callers.read() == "completed"
    assert callers.call(READ, path=f"/r/{JOB}") == "unknown-job"


# Guards against a repeated submission that is refused, or starts the tasks again.
def test_repeated_submission_is_known_whatever_its_queue_is_called(
    callers, queues, change_leader
):
    callers.call(SUBMIT)
    start_runs(callers.simulation)
    callers.configure(queues=queues, workspaces=())
    change_leader(callers)
    assert callers.call(SUBMIT) == "accepted"
    callers.simulation.run_until_finished()
    assert callers.call(SUBMIT) == "accepted"
    assert callers.read() == "completed"
    task = callers.simulation.store.workflows[JOB].repetitions[0].steps[0].tasks[0]
    assert task.run == 1


# Guards against a running job that nobody can cancel any more.
def test_cancel_stops_the_runs_whatever_the_queue_is_called(
    callers, queues, change_leader
):
    callers.call(SUBMIT)
    start_runs(callers.simulation)
    callers.configure(queues=queues, workspaces=())
    change_leader(callers)
    assert callers.call(CANCEL) == "accepted"
    callers.simulation.run_until_finished()
    assert callers.read() == "cancelled"
    assert not any(worker.runs for worker in callers.simulation.workers.values())


# Guards against a count of waiting jobs of which none, or those of another queue, are
# counted after a change of names.
def test_waiting_jobs_are_counted_by_path(callers, queues, change_leader):
    callers.call(SUBMIT)
    callers.configure(queues=queues, workspaces=())
    change_leader(callers)
    assert callers.count_waiting("/q/") == 1
    if R.address in {queue.address for queue in queues}:
        assert callers.count_waiting("/r/") == 0


# Guards against a submission or a cancel that is committed after a change of names, and
# goes to the queue that has the name now.
def test_command_goes_to_the_queue_of_its_path_at_the_commit(callers, queues):
    replies = callers.send(SUBMIT)
    callers.configure(queues=queues, workspaces=())
    callers.simulation.commit()
    assert [reply.code for reply in replies] == ["accepted"]
    assert callers.simulation.store.workflows[JOB].spec.address == Q.address
    assert callers.read() == "pending"
    replies = callers.send(CANCEL)
    callers.configure(queues=(Q, R), workspaces=())
    callers.simulation.commit()
    assert [reply.code for reply in replies] == ["accepted"]


# Guards against work that is planned by the pool, priority or advisor of another queue.
def test_job_keeps_the_definition_of_its_own_queue(callers, queues, change_leader):
    callers.call(SUBMIT)
    callers.configure(queues=queues, workspaces=())
    change_leader(callers)
    store = callers.simulation.store
    workflow = store.workflows[JOB]
    assert store.find_last_queue(workflow.spec.address).priority == Q.priority
    assert store.find_pool(workflow) == Q.pool
    callers.configure(queues=(R,), workspaces=())
    change_leader(callers)
    store = callers.simulation.store
    assert store.find_last_queue(workflow.spec.address).address == Q.address
    assert store.find_pool(workflow) == Q.pool


# Guards against an ID that is free in another queue because its queue was renamed.
def test_id_stays_taken_for_other_queues(callers, queues):
    callers.call(SUBMIT)
    callers.configure(queues=(*queues[:1], rename(R, "x")), workspaces=())
    assert callers.call(SUBMIT, path=f"/r/{JOB}") == "id-taken"
    assert callers.call(CANCEL, path=f"/r/{JOB}") == "unknown-job"
    assert callers.read() == "pending"


# Guards against access that is decided by the queue that has the name now.
def test_public_job_is_read_after_its_queue_was_renamed():
    callers = RenamingCallers()
    public = create_queue("open", public=True)
    callers.configure(queues=(Q, public))
    path = f"/open/{JOB}"
    assert callers.call(SUBMIT, path=path) == "accepted"
    callers.configure(queues=(rename(Q, "open"), rename(public, "q")))
    assert callers.call(READ, path=path) == "accepted"
    assert callers.call(CANCEL, path=path) == "accepted"
    assert callers.call(READ, "a1") == "unknown-job"


def encode_old(store):
    """Return a snapshot as versions wrote it that knew queues by name only."""
    snapshot = msgspec.msgpack.decode(msgspec.msgpack.encode(store.dump()))
    for workflow in snapshot[2]:
        del workflow[0]["address"]
    return msgspec.msgpack.encode(snapshot)


# Guards against jobs that are lost by an upgrade: their records have a name only.
@pytest.mark.parametrize("is_removed", [False, True])
def test_snapshot_of_an_earlier_version_finds_the_addresses(callers, is_removed):
    callers.call(SUBMIT)
    if is_removed:
        callers.configure(queues=(R,), workspaces=())
    data = encode_old(callers.simulation.store)
    snapshot = msgspec.msgpack.decode(data, type=WorkflowSnapshot)
    store = callers.simulation.store = WorkflowStore.load(snapshot)
    assert store.workflows[JOB].spec.address == Q.address
    callers.simulation.change_leader()
    callers.create_handler()
    callers.configure(queues=(rename(Q, "new"), R), workspaces=())
    assert callers.read() == "pending"


# Guards against an old log that is replayed to another state.
def test_commands_of_an_earlier_version_find_the_queue_by_its_name(callers):
    store = callers.simulation.store
    spec = create_spec(JOB, address=NO_ADDRESS)
    assert store.apply(workflow_commands.SubmitWorkflow(spec=spec)).accepted
    assert store.workflows[JOB].spec.address == Q.address
    for queue, code in (("r", "unknown-job"), ("x", "unknown-job"), ("q", "accepted")):
        command = workflow_commands.CancelWorkflow(workflow=JOB, queue=queue)
        assert store.apply(command).code == code
    assert callers.read() == "cancelled"
