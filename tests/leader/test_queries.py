"""Replies to queries about workflows and their workspaces."""

import msgspec
import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.cell.state import CellState
from bluebellyoke.dispatch.planning_round import WaitReason
from bluebellyoke.instance import wire
from bluebellyoke.leader.queries import QueryContext, answer_query
from bluebellyoke.leader.sessions import LeaderOptions, ProposalQueue
from bluebellyoke.leader.slots import SlotManager
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.specs import WorkspaceSpec
from tests.workflow.factories import (
    create_configuration,
    create_spec,
    create_step,
    create_store,
    start,
)

ID = "0000000000000001"


@pytest.fixture
def context():
    """A leader's state with one job of a workspace, which has one run."""
    state = CellState()
    workspace = WorkspaceSpec(name="a", share=2.5, quota=Resources(1000))
    state.workflows = create_store(
        configuration=create_configuration(workspaces=(workspace,))
    )
    spec = create_spec(ID, [create_step(2)], workspace="a")
    state.workflows.apply(workflow_commands.SubmitWorkflow(spec=spec))
    assert start(state.workflows)
    metrics = Metrics()
    metrics.record_refused_workflow("a", "malformed")
    return QueryContext(
        state=state,
        sessions={},
        slots=SlotManager(options=LeaderOptions(), proposals=ProposalQueue()),
        waiting_reasons={},
        step_waits={(ID, 0, 0): WaitReason.QUOTA},
        metrics=metrics,
    )


def ask(context, topic, subject=""):
    reply = answer_query(context, wire.Query(topic, subject), 0.0, 0.0)
    return reply.found, msgspec.json.decode(reply.body)


# Guards against a status without the quota that decides on a workspace's starts.
def test_status_shows_the_figures_of_workspaces(context):
    _, report = ask(context, "status")
    assert report["queue_workspaces"] == {
        "a": {
            "running": 1,
            "waiting": 0,
            "used": {"cpu_millis": 1000, "memory_mb": 100, "accelerators": 0},
            "quota": {"cpu_millis": 1000, "memory_mb": 0, "accelerators": 0},
            "share": 2.5,
            "refused": {"malformed": 1},
        }
    }


# Guards against a job that waits for its quota without saying so.
def test_explain_names_the_quota(context):
    _, report = ask(context, "explain", ID)
    assert (report["workspace"], report["running"]) == ("a", 1)
    assert report["why"] == [
        "step 0 of repetition 0 waits: the quota of its workspace is used up or kept "
        "for a gang"
    ]
    found, _ = ask(context, "explain", "0000000000000009")
    assert not found


# Guards against the end of the leader, and then of each leader after it, because the
# number of a ticket was a digit that is no ASCII digit or had thousands of digits.
@pytest.mark.parametrize("subject", ["²", "٣", "9" * 5000, "-1", "1_0", "9" * 30])
def test_number_of_no_ticket_is_not_found(context, subject):
    assert ask(context, "ticket", subject)[0] is False
