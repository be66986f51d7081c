"""Tests of what a crash of a worker means for the tasks on it."""

import random

import pytest

from bluebellyoke.cell import commands
from bluebellyoke.cell.crashes import MAX_LONE_CRASHES, SUSPECT_AGE_S
from bluebellyoke.cell.snapshot import dump_state, load_state
from bluebellyoke.placement.engine import PlacementEngine
from bluebellyoke.placement.policies import create_policy
from tests.cell.factories import create_job, create_state, create_worker, place, report


@pytest.fixture
def state():
    state = create_state(workers=3)
    state.apply(create_job("j", idempotent=True))
    state.apply(create_job("other", idempotent=True))
    return state


def crash(state, worker, time):
    """Begin another session of a worker whose session is live."""
    state.apply(create_worker(worker, session=f"s{time}", time=time))


def crash_alone(state, job, count, time=10.0):
    for number in range(count):
        place(state, job, 0, "m0", time=time + number)
        crash(state, "m0", time + number + 0.5)


def get_state(state, job):
    return state.scheduling.jobs[job].summarize_state()


def plan(state, now):
    """Plan a round and commit its placements; return them."""
    engine = PlacementEngine(
        policy=create_policy("packing"), random_source=random.Random(1)
    )
    engine.rebuild(state.scheduling)
    placements = engine.plan(state.scheduling, now).placements
    command = commands.PlaceTasks(placements=tuple(placements), time=now)
    result = state.apply(command)
    assert int(result.detail["started"]) == len(placements)
    return placements


# Guards against an innocent job that fails since it shared the worker of a bad one.
def test_task_that_shared_a_crash_is_cleared_and_the_cause_is_given_up(state):
    place(state, "j", 0, "m0", time=10.0)
    place(state, "other", 0, "m0", time=10.0)
    crash(state, "m0", 10.5)
    assert place(state, "j", 0, "m1", time=11.0)
    assert not place(state, "other", 0, "m1", time=11.0)
    crash_alone(state, "other", MAX_LONE_CRASHES, time=12.0)
    assert get_state(state, "other") == "failed"
    report(state, "j", 0, commands.TaskOutcome.DONE, time=20.0)
    assert get_state(state, "j") == "done"


# Guards against a job that fails because its worker was cut off.
def test_expired_leases_prove_no_crash(state):
    for number in range(10):
        session = state.scheduling.workers["m0"].session
        place(state, "j", 0, "m0", time=10.0 * number + 10)
        state.scheduling.lose_worker("m0", session, 10.0 * number + 17)
        crash(state, "m0", 10.0 * number + 18)
    assert get_state(state, "j") == "waiting"
    assert state.scheduling.jobs["j"].crashes == {}


# Guards against a service that fails since its workers are restarted now and then.
def test_task_that_outlives_the_suspect_age_is_cleared(state):
    crash_alone(state, "j", MAX_LONE_CRASHES - 1)
    place(state, "j", 0, "m0", time=20.0)
    crash(state, "m0", 20.0 + SUSPECT_AGE_S)
    assert get_state(state, "j") == "waiting"
    assert state.scheduling.jobs["j"].crashes == {}


def test_task_whose_end_is_reported_is_cleared(state):
    crash_alone(state, "j", MAX_LONE_CRASHES - 1)
    place(state, "j", 0, "m0", time=20.0)
    report(state, "j", 0, commands.TaskOutcome.FAILED, time=21.0)
    assert state.scheduling.jobs["j"].crashes == {}


# Guards against one gang that takes down several workers at each start.
def test_gang_that_crashes_its_workers_is_given_up(state):
    state.apply(
        create_job("g", kind=commands.JobKind.GANG, tasks=2, idempotent=True, time=2.0)
    )
    starts = 0
    for number in range(10):
        time = 10.0 * number + 10
        placements = tuple(
            commands.Placement("g", index, task.epoch + 1, worker, session)
            for index, worker in enumerate(("m1", "m2"))
            if (task := state.scheduling.find_task("g", index)) is not None
            for session in [state.scheduling.workers[worker].session]
        )
        result = state.apply(commands.PlaceTasks(placements=placements, time=time))
        starts += result.detail["started"] == "2"
        crash(state, "m1", time + 1)
        crash(state, "m2", time + 1)
        state.apply(commands.AdvanceTime(time=time + 9))
    assert get_state(state, "g") == "failed"
    assert starts < 6


def place_gang(state, workers, time):
    """Assign a gang to some workers; return whether it has started."""
    if state.scheduling.find_task("g", 0) is None:
        return False
    placements = tuple(
        commands.Placement(
            "g",
            index,
            state.scheduling.find_task("g", index).epoch + 1,
            worker,
            state.scheduling.workers[worker].session,
        )
        for index, worker in enumerate(workers)
    )
    result = state.apply(commands.PlaceTasks(placements=placements, time=time))
    return result.detail["started"] == str(len(workers))


def play_gang(state, struck):
    """Start a gang of three tasks again and again, and strike one task of each run.

    Args:
        struck: Index of the task whose worker crashes, for each run.

    Returns:
        The number of its starts.
    """
    state.apply(
        create_job("g", kind=commands.JobKind.GANG, tasks=3, idempotent=True, time=2.0)
    )
    workers = ["m0", "m1", "m2"]
    starts = 0
    for number, index in enumerate(struck):
        time = 10.0 * number + 10
        if not place_gang(state, workers, time):
            break
        starts += 1
        crash(state, workers[index], time + 1)
        for other in {0, 1, 2} - {index}:
            if get_state(state, "g") == "failed":
                return starts
            report(state, "g", other, commands.TaskOutcome.STOPPED, time=time + 2)
        state.apply(commands.AdvanceTime(time=time + 9))
    return starts


# Guards against a gang that fails for crashes under different tasks of it.
def test_gang_struck_under_its_tasks_in_turn_is_not_given_up(state):
    assert play_gang(state, [0, 1, 2, 0, 1]) == 5
    assert get_state(state, "g") != "failed"


# Guards against a task that crashes its workers for ever, since the reports of other
# tasks of its gang clear it.
def test_gang_with_one_deadly_task_is_given_up(state):
    assert play_gang(state, [1] * 6) == MAX_LONE_CRASHES
    assert get_state(state, "g") == "failed"


# Guards against a crash without a single possible cause: a suspect starts alone.
def test_suspect_gets_an_idle_worker_that_no_other_task_gets(state):
    state.apply(create_job("more", tasks=9, idempotent=True, time=2.0))
    place(state, "j", 0, "m0", time=10.0)
    place(state, "other", 0, "m0", time=10.0)
    crash(state, "m0", 11.0)
    used = {}
    for placement in plan(state, 12.0):
        used.setdefault(placement.worker, set()).add(placement.job_id)
    plan(state, 13.0)
    for jobs in used.values():
        assert len(jobs) == 1 or not jobs & {"j", "other"}
    for worker in state.scheduling.workers.values():
        jobs = {job for job, _ in worker.tasks}
        assert len(jobs) == 1 or not jobs & {"j", "other"}


# Guards against a count that a restart of all replicas forgets.
def test_crashes_survive_a_snapshot(state):
    crash_alone(state, "j", MAX_LONE_CRASHES - 1)
    loaded = load_state(dump_state(state))
    crash_alone(loaded, "j", 1, time=20.0)
    assert get_state(loaded, "j") == "failed"
