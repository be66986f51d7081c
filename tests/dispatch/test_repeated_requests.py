"""Requests that instances or callers repeat after their queue or key has gone.

An instance sends a request again if the leader was lost before its reply. The job that
the first one handed in may run by then, so no refusal of the second one is true.
"""

import msgspec
import pytest

from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.test_access import (
    CANCEL,
    READ,
    SUBMIT,
    WORKSPACES,
    create_workspace,
    start_runs,
)
from tests.dispatch.test_renamed_queue import JOB, Q, R, RenamingCallers
from tests.workflow.factories import create_queue

#: Time from the arrival of a request to its repetition, in seconds.
REPEATED_AFTER_S = 2.0

MOVED = msgspec.structs.replace(Q, host="other.example")
LONGER = create_queue("longer", prefix="/q/0")

#: Queues of a configuration by which the path of an accepted job is refused.
CHANGES = {
    "removed": (R,),
    "moved to another host": (MOVED, R),
    "removed, and a longer prefix selects another": (LONGER, R),
}

REFUSALS = {"unknown-queue", "bad-id", "unauthenticated", "forbidden", "malformed"}


class RepeatingCallers(RenamingCallers):
    """Callers whose first job is accepted, but whose reply is lost with the leader."""

    def __init__(self, queues=(Q, R), key=""):
        super().__init__()
        workspaces = WORKSPACES if key else ()
        self.configure(queues=queues, workspaces=workspaces)
        self.call(SUBMIT, key)
        self.simulation.advance(REPEATED_AFTER_S / 2)

    def wait(self):
        self.simulation.advance(REPEATED_AFTER_S / 2)

    @property
    def workflow(self):
        return self.simulation.store.workflows[JOB]


@pytest.fixture(params=["log", "snapshot"])
def is_restored(request):
    return request.param == "snapshot"


@pytest.fixture(params=CHANGES.values(), ids=CHANGES.keys())
def callers(request, is_restored):
    """Callers whose queue a next leader no longer finds in its configuration."""
    callers = RepeatingCallers()
    callers.configure(queues=request.param, workspaces=())
    callers.wait()
    callers.change_leader(is_restored=is_restored)
    return callers


# Guards against a refusal of a job that runs, although the request arrived before its
# queue was removed: review/7.
def test_submission_that_is_sent_again_is_accepted_after_the_removal(callers):
    assert callers.call(SUBMIT, age_s=REPEATED_AFTER_S) == "accepted"
    assert callers.workflow.submitted_at < callers.simulation.now - 1.0


# Guards against a refusal of a job that runs if a caller repeats it after the removal,
# and against a success for a queue that is not there.
def test_submission_that_arrives_after_the_removal_gets_no_clear_answer(callers):
    assert callers.call(SUBMIT) == "unanswered"


# Guards against the same once the job has ended, and after another configuration.
def test_ended_job_is_not_refused_after_the_removal(callers):
    callers.simulation.run_until_finished()
    callers.configure(queues=(create_queue("third"),), workspaces=())
    assert callers.call(SUBMIT) == "unanswered"
    assert callers.workflow.repetitions[0].steps[0].tasks[0].run == 1


# Guards against a job that is shown under a queue that is not there, and against a
# request that is answered as of a configuration that it did not arrive under.
def test_read_is_answered_by_the_time_of_its_arrival(callers):
    assert callers.call(READ) in REFUSALS
    (reply,) = callers.send(READ, age_s=REPEATED_AFTER_S)
    assert reply.state == "pending"


# Guards against a running job that nobody can cancel after the removal.
@pytest.mark.parametrize(
    ("age_s", "code"), [(0.0, "unknown-job"), (REPEATED_AFTER_S, "accepted")]
)
def test_cancel_is_carried_out_after_the_removal(callers, age_s, code):
    start_runs(callers.simulation)
    age_s += (callers.simulation.now - callers.workflow.submitted_at) * bool(age_s)
    assert callers.call(CANCEL, age_s=age_s) == code
    assert callers.workflow.outcome == "cancelled"
    assert "stop" in {call.kind for call in callers.simulation.sent_calls}
    # The same request, sent again to the next leader.
    assert callers.call(CANCEL, age_s=age_s) == code


# Guards against another answer to a job that was never accepted.
def test_unknown_job_of_a_removed_queue_is_refused():
    callers = RepeatingCallers()
    callers.configure(queues=(R,), workspaces=())
    path = "/q/00000000000000ff"
    for action in (SUBMIT, READ, CANCEL):
        for age_s in (0.0, REPEATED_AFTER_S):
            assert callers.call(action, path=path, age_s=age_s) == "unknown-queue"


# Guards against an earlier removal that counts for a queue that is there again.
def test_queue_that_is_back_answers_as_before(is_restored):
    callers = RepeatingCallers()
    callers.configure(queues=(R,), workspaces=())
    callers.wait()
    callers.configure(queues=(Q, R), workspaces=())
    callers.change_leader(is_restored=is_restored)
    assert callers.read() == "pending"
    assert callers.call(SUBMIT) == "accepted"
    assert callers.call(CANCEL) == "accepted"


# Guards against a refusal that is overtaken: the log accepts the first submission after
# the queue is back, and the second was refused in between.
def test_submission_beside_one_that_waits_for_its_commit_is_decided_by_the_log():
    callers = RenamingCallers()
    simulation = callers.simulation
    first = callers.send(SUBMIT)
    (submission,) = simulation.proposals.pop_all()
    callers.configure(queues=(R,), workspaces=())
    second = callers.send(SUBMIT)
    assert second == []
    callers.configure(queues=(Q, R), workspaces=())
    submission.on_result(simulation.store.apply(submission.command))
    simulation.commit()
    assert [reply.code for reply in (*first, *second)] == ["accepted", "accepted"]


# Guards against a refusal of a job that runs, whatever became of the key of its caller,
# also beside a removed queue.
@pytest.mark.parametrize("queues", [(Q, R), (R,)], ids=["kept", "removed"])
@pytest.mark.parametrize(
    "workspaces",
    [
        (create_workspace("a", "a2"), create_workspace("b", "b1")),
        (create_workspace("a", "a2"), create_workspace("b", "a1")),
        (create_workspace("b", "b1"),),
    ],
    ids=["key removed", "key moved", "workspace removed"],
)
def test_submission_is_not_refused_to_the_key_of_the_job(
    queues, workspaces, is_restored
):
    callers = RepeatingCallers(key="a1")
    callers.configure(queues=queues, workspaces=workspaces)
    callers.change_leader(is_restored=is_restored)
    assert callers.call(SUBMIT, "a1") == "unanswered"
    for key in ("b1", "x", ""):
        assert callers.call(SUBMIT, key) in REFUSALS
    assert callers.workflow.spec.workspace == "a"


# Guards against a caller that learns of, or ends, the job of another workspace by the
# path of a removed queue.
@pytest.mark.parametrize("age_s", [0.0, REPEATED_AFTER_S])
def test_removed_queue_admits_the_workspace_of_the_job_only(age_s):
    callers = RepeatingCallers(key="a1")
    callers.configure(queues=(R,))
    for key in ("b1", "x", ""):
        for action in (READ, CANCEL):
            assert callers.call(action, key, age_s=age_s) == "unknown-queue"
    assert callers.workflow.outcome == ""
    assert callers.call(CANCEL, "a2", age_s=age_s) in ("accepted", "unknown-job")
    assert callers.workflow.outcome == "cancelled"


# Guards against an anonymous job of a public queue that its caller cannot end, or that
# another one ends, once the queue is gone.
def test_anonymous_job_of_a_removed_queue_admits_its_own_caller():
    public = create_queue("q", public=True)
    callers = RepeatingCallers(queues=(public, R))
    callers.configure(queues=(R,))
    callers.wait()
    assert callers.call(CANCEL, "x") == "unknown-queue"
    assert callers.call(SUBMIT, age_s=REPEATED_AFTER_S) == "accepted"
    assert callers.call(CANCEL) == "unknown-job"
    assert callers.workflow.outcome == "cancelled"


# Guards against an old log or snapshot that a removed queue makes unreadable: the time
# of the removal is not known there.
def test_removal_of_an_earlier_version_has_no_time():
    callers = RepeatingCallers()
    store = callers.simulation.store
    command = workflow_commands.ApplyConfiguration(
        configuration=msgspec.structs.replace(
            store.configuration, version=9, queues=(R,)
        )
    )
    store.apply(command)
    assert callers.call(SUBMIT, age_s=REPEATED_AFTER_S) == "unanswered"
