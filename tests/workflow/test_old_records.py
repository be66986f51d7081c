"""Loading of records from before workspaces existed."""

import msgspec
import pytest

from bluebellyoke.cell.commands import decode_commands
from bluebellyoke.instance import wire
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.store import WorkflowStore
from tests.workflow.factories import create_configuration, create_store
from tests.workflow.test_access import create_workspace

JOB = "0000000000000001"

# Records as commit a332e31 wrote them.
CONFIGURATION = {
    "version": 1,
    "queues": [
        {
            "name": "q",
            "host": "h.example",
            "prefix": "/q/",
            "pool": "p",
            "timeout_ms": 3000,
            "target_ms": 0.0,
            "slack_factor": 1.0,
            "priority": 0,
            "attempts": 3,
            "advisor": None,
        }
    ],
    "pools": [{"name": "p", "guards_capacity": False, "standby": False}],
    "document": b"document 1",
}
SPEC = {
    "id": JOB,
    "queue": "q",
    "payload": "payload",
    "steps": [{"count": 1, "need": [1000, 100, 0]}],
}
APPLY = ["ApplyConfiguration", 0.0, CONFIGURATION]
SUBMIT = ["SubmitWorkflow", 1.0, SPEC]
CANCEL = ["CancelWorkflow", 2.0, JOB, "q"]
WORKFLOW = [SPEC, 1.0, 3, "p", {}, False, 0.0, "", "", 0]
SNAPSHOT = [CONFIGURATION, [], [WORKFLOW], []]
REQUEST = ["QueueRequest", "read", "h", "/q/", None]


def decode_entry(*records):
    return decode_commands(msgspec.msgpack.encode(records))


@pytest.fixture
def store():
    """A store whose configuration has workspaces."""
    configuration = create_configuration(workspaces=(create_workspace("a", "a1"),))
    return create_store(workers=0, configuration=configuration)


def test_old_commands_are_applied_without_a_credential(store):
    """Guards against replicas that differ after they replayed an older log."""
    submission, cancellation = decode_entry(SUBMIT, CANCEL)
    assert (submission.credential, cancellation.credential) == (None, None)
    assert store.apply(submission).accepted
    assert store.workflows[JOB].credential == ""
    assert store.apply(cancellation).accepted
    assert store.workflows[JOB].outcome == "cancelled"


def test_old_configuration_and_snapshot_are_loaded(store):
    """Guards against a replica that cannot start on an older log or snapshot."""
    snapshot = msgspec.msgpack.decode(
        msgspec.msgpack.encode(SNAPSHOT), type=WorkflowSnapshot
    )
    loaded = WorkflowStore.load(snapshot)
    (command,) = decode_entry(APPLY)
    assert loaded.configuration == command.configuration
    assert loaded.configuration.workspaces == ()
    assert not loaded.configuration.queues[0].public
    assert loaded.workflows[JOB].spec.workspace == ""
    assert loaded.workflows[JOB].credential == ""


def test_request_of_an_older_instance_has_no_credential():
    data = msgspec.msgpack.encode(REQUEST)
    request = msgspec.msgpack.decode(data, type=wire.QueueRequest)
    assert request.credential == ""


def test_credential_survives_a_snapshot(store):
    """Guards against a job that a new leader reports as refused."""
    (submission,) = decode_entry(SUBMIT)
    credential = store.configuration.workspaces[0].credentials[0]
    store.apply(msgspec.structs.replace(submission, credential=credential))
    data = msgspec.msgpack.encode(store.dump())
    loaded = WorkflowStore.load(msgspec.msgpack.decode(data, type=WorkflowSnapshot))
    assert loaded.workflows[JOB].credential == credential
    assert loaded.workflows[JOB].spec.workspace == "a"
