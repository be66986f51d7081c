import pytest

from bluebellyoke.cell import commands
from bluebellyoke.instance import wire
from tests.leader.test_workers_stateful import TOTAL, WorkerSimulation

LONG_RUN_S = 1_000.0


@pytest.fixture
def simulation():
    """Return a simulation of workers with slow clocks, which stop tasks very late."""
    simulation = WorkerSimulation()
    for worker in simulation.workers:
        worker.clock_rate = 0.96
    simulation.advance(1.5)
    return simulation


def start_long_task(simulation):
    """Start a restartable task that outlasts the test; return its worker."""
    simulation.submit(1, commands.JobKind.BATCH, True)
    simulation.advance(1.0)
    (holder,) = [worker for worker in simulation.workers if worker.running]
    for key in holder.running:
        holder.running[key] = simulation.now + LONG_RUN_S
    return holder


def check_task_is_moved(simulation, holder):
    """Check that the task is started again and no longer runs on `holder`.

    The invariants checked in each step cover that it never runs twice at a time.
    """
    simulation.advance(14.0)
    assert sum(simulation.start_counts.values()) >= 2
    assert not holder.running


def test_task_of_silent_worker_is_moved_only_after_it_ended(simulation):
    holder = start_long_task(simulation)
    holder.is_partitioned = True
    check_task_is_moved(simulation, holder)


def test_new_leader_waits_for_lease_of_partitioned_worker(simulation):
    holder = start_long_task(simulation)
    holder.is_partitioned = True
    simulation.change_leader(apply_pending=False)
    check_task_is_moved(simulation, holder)


def test_stale_heartbeat_does_not_renew_lease(simulation):
    worker = simulation.workers[0]
    replies = []

    def send(sequence):
        heartbeat = wire.WorkerHeartbeat(
            worker.name, f"s{worker.session}", sequence, TOTAL, "r1", "dc1"
        )
        call = wire.Call(10_000 + sequence, heartbeat)
        session = simulation.controller.sessions[simulation.instances[0].session]
        session.send = replies.append
        simulation.controller.receive(session.id, call, simulation.now, simulation.now)
        return replies[-1].body.lease_s

    assert send(500) > 0
    assert send(499) == 0
    assert send(501) > 0
