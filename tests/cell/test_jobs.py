import pytest

from bluebellyoke.cell import commands, scheduling
from bluebellyoke.cell.jobs import TaskState, compute_backoff
from bluebellyoke.cell.resources import Resources
from tests.cell.factories import (
    create_job,
    create_state,
    create_ticket,
    create_worker,
    place,
    report,
)


@pytest.fixture
def state():
    return create_state(workers=3)


def get_task(state, job_id, index=0):
    return state.scheduling.find_task(job_id, index)


def test_resubmitted_job_is_not_added_again(state):
    assert state.apply(create_job("j")).code == "accepted"
    assert state.apply(create_job("j")).code == "known"
    assert state.apply(create_job("j", tasks=2)).code == "id-taken"
    assert len(state.scheduling.jobs) == 1


# Guards against a cancel that an instance sends again to the next leader, and that is
# refused although the first one has ended the job.
def test_repeated_cancel_is_accepted(state):
    state.apply(create_job("j"))
    for code in ("accepted", "known", "known"):
        result = state.apply(commands.CancelJob(job_id="j", time=2.0))
        assert (result.accepted, result.code) == (True, code)
    assert state.scheduling.jobs["j"].summarize_state() == "cancelled"


def test_cancel_of_a_done_job_is_refused(state):
    state.apply(create_job("j"))
    place(state, "j", 0, "m0")
    report(state, "j", 0, commands.TaskOutcome.DONE, worker="m0")
    result = state.apply(commands.CancelJob(job_id="j", time=4.0))
    assert (result.accepted, result.code) == (False, "finished")


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"need": Resources(9000, 1, 0)}, "largest worker"),
        ({"need": Resources(1000, 1, 1)}, "largest worker"),
        (
            {"kind": commands.JobKind.GANG, "tasks": 7, "need": Resources(2000, 1, 0)},
            "needs 7 places and the cell has 6",
        ),
    ],
)
def test_infeasible_job_is_refused_with_a_reason(state, fields, reason):
    result = state.apply(create_job("j", **fields))
    assert result.code == "can-never-run"
    assert reason in result.reason


def test_job_above_the_quota_is_refused(state):
    spec = commands.WorkspaceSpec(name="small", quota=Resources(500, 0, 0))
    state.apply(create_ticket(2, workspaces=(spec,)))
    result = state.apply(create_job("j", workspace="small"))
    assert result.code == "can-never-run"
    assert "quota" in result.reason


def test_payloads_of_unfinished_jobs_are_limited(state, monkeypatch):
    monkeypatch.setattr(scheduling, "MAX_PAYLOAD_CHARS", 10)
    assert state.apply(create_job("a", payload="x" * 8)).accepted
    assert state.apply(create_job("b", payload="x" * 8)).code == "cell-full"
    state.apply(commands.CancelJob(job_id="a", time=2.0))
    assert state.apply(create_job("b", payload="x" * 8)).accepted
    assert state.apply(create_job("a", payload="x" * 8)).code == "known"


def test_lost_task_that_must_not_run_twice_is_unknown_until_reported(state):
    state.apply(create_job("j"))
    place(state, "j", 0, "m0")
    state.apply(commands.LoseWorker(worker="m0", session="s1", time=5.0))
    task = get_task(state, "j")
    assert task.state is TaskState.UNKNOWN
    assert state.scheduling.jobs["j"].summarize_state() == "unknown"
    late = report(state, "j", 0, commands.TaskOutcome.DONE, worker="m0")
    assert late.detail["changed"] == "1"
    assert state.scheduling.jobs["j"].summarize_state() == "done"


def test_idempotent_task_restarts_elsewhere_after_its_worker_is_lost(state):
    state.apply(create_job("j", idempotent=True))
    place(state, "j", 0, "m0")
    state.apply(commands.LoseWorker(worker="m0", session="s1", time=5.0))
    assert get_task(state, "j").state is TaskState.WAITING
    assert place(state, "j", 0, "m1")
    assert get_task(state, "j").epoch == 2


def test_failed_idempotent_task_is_retried_up_to_max_attempts(state):
    state.apply(create_job("j", idempotent=True, max_attempts=2))
    place(state, "j", 0, "m0")
    report(state, "j", 0, commands.TaskOutcome.FAILED, time=10.0)
    assert get_task(state, "j").state is TaskState.BACKOFF
    state.apply(commands.AdvanceTime(time=10.0 + compute_backoff(1)))
    assert place(state, "j", 0, "m1", time=20.0)
    report(state, "j", 0, commands.TaskOutcome.FAILED, time=21.0)
    assert state.scheduling.jobs["j"].summarize_state() == "failed"


def test_cancelled_task_keeps_its_resources_until_it_has_stopped(state):
    state.apply(create_job("j", need=Resources(3000, 1, 0)))
    place(state, "j", 0, "m0")
    state.apply(commands.CancelJob(job_id="j", time=3.0))
    assert state.scheduling.workers["m0"].free_cpu_millis == 1000
    assert state.scheduling.jobs["j"].summarize_state() == "cancelling"
    report(state, "j", 0, commands.TaskOutcome.STOPPED)
    assert state.scheduling.workers["m0"].free_cpu_millis == 4000
    assert state.scheduling.jobs["j"].summarize_state() == "cancelled"


def test_failed_member_restarts_the_whole_gang(state):
    state.apply(create_job("g", kind=commands.JobKind.GANG, tasks=2, idempotent=True))
    placements = tuple(
        commands.Placement("g", index, 1, f"m{index}", "s1") for index in range(2)
    )
    state.apply(commands.PlaceTasks(placements=placements, time=2.0))
    report(state, "g", 0, commands.TaskOutcome.FAILED, time=3.0)
    assert get_task(state, "g", 1).state is TaskState.STOPPING
    report(state, "g", 1, commands.TaskOutcome.STOPPED, time=3.1)
    restart_placements = tuple(
        commands.Placement("g", index, 2, f"m{index}", "s1") for index in range(2)
    )
    state.apply(commands.PlaceTasks(placements=restart_placements, time=3.2))
    assert state.scheduling.jobs["g"].counts[TaskState.RUNNING] == 0
    state.apply(commands.AdvanceTime(time=10.0))
    state.apply(commands.PlaceTasks(placements=restart_placements, time=11.0))
    assert state.scheduling.jobs["g"].counts[TaskState.RUNNING] == 2


def test_lost_member_cancels_a_gang_that_must_not_run_twice(state):
    state.apply(create_job("g", kind=commands.JobKind.GANG, tasks=2))
    placements = tuple(
        commands.Placement("g", index, 1, f"m{index}", "s1") for index in range(2)
    )
    state.apply(commands.PlaceTasks(placements=placements, time=2.0))
    state.apply(commands.LoseWorker(worker="m0", session="s1", time=5.0))
    assert get_task(state, "g", 0).state is TaskState.UNKNOWN
    assert get_task(state, "g", 1).state is TaskState.CANCELLING


def test_worker_that_fails_all_jobs_is_quarantined_and_probed(state):
    worker = state.scheduling.workers["m0"]
    for number in range(4):
        state.apply(create_job(f"j{number}"))
        place(state, f"j{number}", 0, "m0")
        report(state, f"j{number}", 0, commands.TaskOutcome.FAILED, time=10.0)
    assert not worker.is_schedulable(11.0)
    assert worker.is_schedulable(10.0 + 31.0)
    state.apply(create_job("probe"))
    place(state, "probe", 0, "m0", time=45.0)
    assert not worker.is_schedulable(46.0)
    report(state, "probe", 0, commands.TaskOutcome.DONE, time=47.0)
    assert worker.is_schedulable(47.0)
    assert not worker.quarantines


def test_job_that_fails_on_all_workers_quarantines_none(state):
    state.apply(create_job("bad", idempotent=True, max_attempts=50))
    now = 10.0
    for attempt in range(12):
        now += 400
        state.apply(commands.AdvanceTime(time=now))
        place(state, "bad", 0, f"m{attempt % 3}", time=now)
        report(state, "bad", 0, commands.TaskOutcome.FAILED, time=now)
    assert all(
        worker.is_schedulable(now) for worker in state.scheduling.workers.values()
    )


def test_learned_need_applies_to_running_and_waiting_tasks(state):
    state.apply(create_job("j", tasks=2, need=Resources(1000, 100, 0)))
    place(state, "j", 0, "m0")
    used = Resources(0, 2500, 0)
    state.apply(commands.LearnNeed(job_id="j", used=used))
    assert state.scheduling.workers["m0"].free_memory_mb == 4096 - 2500
    assert not place(state, "j", 1, "m0")
    assert place(state, "j", 1, "m1")


def test_cancelling_a_large_job_frees_no_resources_of_running_tasks(state):
    state.apply(create_job("big", tasks=200, need=Resources(1000, 10, 0)))
    for index in range(12):
        place(state, "big", index, f"m{index % 3}")
    state.apply(commands.CancelJob(job_id="big", time=3.0))
    assert all(
        worker.free_cpu_millis == 0 for worker in state.scheduling.workers.values()
    )
    assert state.scheduling.jobs["big"].counts[TaskState.CANCELLED] == 188


def test_finished_jobs_and_lost_workers_are_dropped_after_their_retention(state):
    state.apply(create_job("j"))
    state.apply(commands.CancelJob(job_id="j", time=3.0))
    state.apply(commands.LoseWorker(worker="m0", session="s1", time=3.0))
    state.apply(commands.AdvanceTime(time=3.0 + 6 * 3600 + 1))
    assert "j" not in state.scheduling.jobs
    assert "m0" not in state.scheduling.workers


def test_ended_session_is_not_admitted_again(state):
    state.apply(commands.LoseWorker(worker="m0", session="s1", time=3.0))
    assert state.apply(create_worker("m0")).code == "session-ended"
    assert state.apply(create_worker("m0", session="s2")).accepted


def test_late_heartbeat_of_an_earlier_session_changes_nothing(state):
    state.apply(create_worker("m0", session="s2"))
    state.apply(create_job("j"))
    place(state, "j", 0, "m0")
    assert state.apply(create_worker("m0", session="s1")).code == "session-ended"
    assert state.scheduling.workers["m0"].session == "s2"
    assert get_task(state, "j").state is TaskState.RUNNING


def test_member_that_ends_while_its_gang_restarts_runs_again(state):
    state.apply(create_job("g", kind=commands.JobKind.GANG, tasks=2, idempotent=True))
    placements = tuple(
        commands.Placement("g", index, 1, f"m{index}", "s1") for index in range(2)
    )
    state.apply(commands.PlaceTasks(placements=placements, time=2.0))
    report(state, "g", 0, commands.TaskOutcome.FAILED, time=3.0)
    report(state, "g", 1, commands.TaskOutcome.DONE, time=3.1)
    state.apply(commands.AdvanceTime(time=10.0))
    restart_placements = tuple(
        commands.Placement("g", index, 2, f"m{index}", "s1") for index in range(2)
    )
    state.apply(commands.PlaceTasks(placements=restart_placements, time=11.0))
    assert state.scheduling.jobs["g"].counts[TaskState.RUNNING] == 2


# Guards against one task that crashes worker after worker: a session that a newer one
# of the same worker ends counts nowhere, so the task is placed for ever.
def test_task_that_crashes_its_workers_is_given_up(state):
    """The task is alone on each worker, whose process has ended each time."""
    state.apply(create_job("j", idempotent=True))
    starts = 0
    for number in range(10):
        worker = f"m{number % 2}"
        starts += place(state, "j", 0, worker, time=10.0 * number + 2)
        restarted = create_worker(worker, session=f"r{number}", time=10.0 * number + 3)
        state.apply(restarted)
        state.apply(commands.AdvanceTime(time=10.0 * number + 9))
    assert state.scheduling.jobs["j"].summarize_state() == "failed"
    # Three crashes, and fewer than three starts after them.
    assert starts < 6
