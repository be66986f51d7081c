"""Submissions that arrive after the cancel of their job, whose caller has left.

An instance that stood still reads a submission late, or sends it again to the next
leader. The cancel was answered with 410, so the job must never run.
"""

import pytest

from bluebellyoke.cell import early_cancels
from bluebellyoke.cell.early_cancels import KEPT_S, MAX_PENDING_S, MAX_UNREAD_S
from bluebellyoke.platform.listeners import _STATUS_BY_CODE
from tests.dispatch.test_access import (
    CANCEL,
    READ,
    SUBMIT,
    WORKSPACES,
    create_workspace,
)
from tests.dispatch.test_renamed_queue import CHANGES, JOB, Q, R, RenamingCallers

OTHER_PATH = "/q/00000000000000ff"

LATE_S = MAX_UNREAD_S + MAX_PENDING_S


class LateCallers(RenamingCallers):
    """Callers that have left, and whose submissions arrive late."""

    def pass_time(self, seconds):
        """Let time pass; nothing runs meanwhile."""
        self.simulation.advance(seconds)

    @property
    def store(self):
        return self.simulation.store

    def check_nothing_runs(self):
        self.simulation.run_until_finished()
        assert JOB not in self.store.workflows
        assert not any(worker.runs for worker in self.simulation.workers.values())


@pytest.fixture
def callers():
    return LateCallers()


@pytest.fixture(params=[None, "log", "snapshot"])
def change_leader(request):
    """Return a function that lets no other, or another replica lead.

    A replica that is restored from a snapshot has lost its memory, as after a restart.
    """

    def change(callers):
        if request.param is not None:
            callers.change_leader(is_restored=request.param == "snapshot")

    return change


# Guards against a job that runs although its cancel was answered: review/8.
@pytest.mark.parametrize("delay_s", [0.0, 3.4, LATE_S])
def test_submission_that_arrives_after_its_cancel_is_refused(
    callers, change_leader, delay_s
):
    assert callers.call(CANCEL) == "unknown-job"
    change_leader(callers)
    callers.pass_time(delay_s)
    assert callers.call(SUBMIT) == "cancelled"
    change_leader(callers)
    # Sent again to the next leader, and repeated by its caller.
    assert callers.call(SUBMIT) == "cancelled"
    callers.check_nothing_runs()
    assert callers.call(READ) == "unknown-job"


# Guards against an answer by which the caller would take the job for accepted. 503 says
# that the job never runs, and Retry-After when the ID may be used again.
def test_late_submission_gets_503_and_the_time_to_use_the_id_again(callers):
    callers.call(CANCEL)
    callers.pass_time(10.0)
    replies = callers.send(SUBMIT)
    callers.simulation.commit()
    (reply,) = replies
    assert _STATUS_BY_CODE[reply.code] == 503
    assert reply.retry_after_s == pytest.approx(KEPT_S - 10.0)
    callers.pass_time(reply.retry_after_s + 1.0)
    assert callers.call(SUBMIT) == "accepted"
    assert callers.read() == "pending"


# Guards against a submission and a cancel that are on their way together: the order of
# the log decides, and both callers are told the truth.
@pytest.mark.parametrize("is_cancel_first", [False, True])
def test_order_of_the_log_decides(callers, is_cancel_first):
    actions = [CANCEL, SUBMIT] if is_cancel_first else [SUBMIT, CANCEL]
    replies = [callers.send(action) for action in actions]
    callers.simulation.commit()
    codes = [reply.code for (reply,) in replies]
    if is_cancel_first:
        assert codes == ["unknown-job", "cancelled"]
        callers.check_nothing_runs()
    else:
        assert codes == ["accepted", "accepted"]
        assert callers.read() == "cancelled"


# Guards against a cancel that is looked up by something that changes in between.
@pytest.mark.parametrize("queues", CHANGES.values(), ids=CHANGES.keys())
def test_cancel_is_remembered_by_path(callers, change_leader, queues):
    callers.call(CANCEL)
    callers.configure(queues=queues, workspaces=())
    change_leader(callers)
    assert callers.call(SUBMIT) == "cancelled"
    assert callers.call(SUBMIT, path=f"/r/{JOB}") in ("accepted", "unknown-queue")


# Guards against a cancel that a removal of the queue makes forgotten.
def test_cancel_is_remembered_while_its_queue_is_gone(callers, change_leader):
    callers.call(CANCEL)
    callers.configure(queues=(R,), workspaces=())
    change_leader(callers)
    assert callers.call(SUBMIT) == "unknown-queue"
    callers.configure(queues=(Q, R), workspaces=())
    assert callers.call(SUBMIT) == "cancelled"


# Guards against an acknowledged cancel that is not remembered: the queue is gone when
# the cancel is committed.
def test_cancel_in_a_queue_that_is_removed_before_the_commit_is_refused(callers):
    replies = callers.send(CANCEL)
    callers.configure(queues=(R,), workspaces=())
    callers.simulation.commit()
    assert [reply.code for reply in replies] == ["unknown-queue"]


# Guards against a job that runs since its key, or the use of keys, changed in between.
@pytest.mark.parametrize(
    ("before", "key", "after", "late_key"),
    [
        (WORKSPACES, "a1", WORKSPACES, "a2"),
        (WORKSPACES, "a1", (create_workspace("b", "a1"),), "a1"),
        (WORKSPACES, "a1", (), "a1"),
        ((), "a1", WORKSPACES, "a1"),
        ((), "", WORKSPACES, "b1"),
    ],
    ids=["other key", "key moved", "no keys now", "no keys before", "none sent"],
)
def test_cancel_is_remembered_for_its_caller(
    callers, change_leader, before, key, after, late_key
):
    callers.configure(workspaces=before)
    assert callers.call(CANCEL, key) == "unknown-job"
    callers.configure(workspaces=after)
    change_leader(callers)
    assert callers.call(SUBMIT, late_key) == "cancelled"


# Guards against a workspace that keeps the jobs of another one from running.
def test_cancel_of_one_workspace_does_not_refuse_the_job_of_another(callers):
    callers.configure()
    assert callers.call(CANCEL, "b1") == "unknown-job"
    assert callers.call(CANCEL, "x") == "unauthenticated"
    assert callers.call(SUBMIT, "a1") == "accepted"


# Guards against a cancel that is acknowledged although there is no room to remember it,
# and against a full table that keeps known jobs from being cancelled.
def test_cancel_without_room_is_not_acknowledged(callers, monkeypatch):
    monkeypatch.setattr(early_cancels, "MAX_EARLY_CANCELS", 1)
    callers.call(SUBMIT)
    assert callers.call(CANCEL, path=OTHER_PATH) == "unknown-job"
    path = "/q/00000000000000ee"
    assert callers.call(CANCEL, path=path) == "overloaded"
    assert callers.call(CANCEL, path=OTHER_PATH) == "unknown-job"
    assert callers.call(CANCEL) == "accepted"
    callers.pass_time(KEPT_S + 1.0)
    assert callers.call(CANCEL, path=path) == "unknown-job"


# Guards against a submission that is older than the memory of its cancel.
def test_submission_that_was_pending_for_too_long_is_refused(callers):
    assert callers.call(SUBMIT, age_s=MAX_PENDING_S + 0.1) == "unavailable"
    assert JOB not in callers.store.workflows
    assert callers.call(SUBMIT, age_s=MAX_PENDING_S) == "accepted"
    assert callers.call(SUBMIT, age_s=MAX_PENDING_S + 0.1) == "accepted"


# Guards against a log of an earlier version, whose cancels were not remembered, that is
# replayed to another state.
def test_commands_of_an_earlier_version_are_not_remembered(callers):
    callers.simulation.cancel(JOB)
    assert len(callers.store.early_cancels) == 0
    assert callers.call(SUBMIT) == "accepted"
