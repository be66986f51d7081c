import pytest

from bluebellyoke.cell import commands as c
from bluebellyoke.instance import wire as w
from tests.leader.test_workers_machine import TOTAL, WorkerWorld

ENDLESS_S = 1_000.0


@pytest.fixture
def world():
    """Workers with slow clocks, which end their tasks as late as is allowed."""
    world = WorkerWorld()
    for worker in world.workers:
        worker.rate = 0.96
    world.pass_time(1.5)
    return world


def start_endless_task(world):
    """Start a restartable task that does not end by itself; return its worker."""
    world.submit(1, c.JobKind.BATCH, True)
    world.pass_time(1.0)
    (holder,) = [worker for worker in world.workers if worker.runs]
    for key in holder.runs:
        holder.runs[key] = world.now + ENDLESS_S
    return holder


def expect_move(world, holder):
    """The task moves in the end; the checks of each step see it in one place."""
    world.pass_time(14.0)
    assert sum(world.starts.values()) >= 2
    assert not holder.runs


def test_task_of_a_silent_worker_moves_only_when_it_has_ended(world):
    holder = start_endless_task(world)
    holder.is_cut = True
    expect_move(world, holder)


def test_new_leader_waits_for_a_worker_that_it_cannot_hear(world):
    holder = start_endless_task(world)
    holder.is_cut = True
    world.change_leader(apply_pending=False)
    expect_move(world, holder)


def test_crossed_heartbeat_renews_nothing(world):
    worker = world.workers[0]
    answers = []

    def send(sequence):
        heartbeat = w.WorkerHeartbeat(
            worker.name, f"s{worker.session}", sequence, TOTAL, "r1", "dc1"
        )
        call = w.Call(10_000 + sequence, heartbeat)
        session = world.controller.sessions[world.instances[0].session]
        session.send = answers.append
        world.controller.receive(session.id, call, world.now, world.now)
        return answers[-1].body.lease_s

    assert send(500) > 0
    assert send(499) == 0
    assert send(501) > 0
