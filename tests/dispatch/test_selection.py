import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.selection import order_by_room
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from tests.workflow.factories import create_worker

NEED = Resources(1000, 100, 0)


@pytest.fixture
def workers():
    return [TrackedWorker(create_worker(f"w{number}"), 1.0) for number in range(8)]


def order(workers, job="job"):
    return [name for name, _ in order_by_room((job, 0, 0), NEED, workers)]


def test_workers_with_room_come_first(workers):
    for worker in workers[:5]:
        worker.add_run("run", worker.spec.capacity, RunPhase.STARTED, 1.0)
    assert set(order(workers)[:3]) == {"w5", "w6", "w7"}


def test_no_worker_is_left_out(workers):
    assert sorted(order(workers)) == [f"w{number}" for number in range(8)]


def test_workflows_begin_with_different_workers(workers):
    firsts = {order(workers, f"job{number}")[0] for number in range(100)}
    assert len(firsts) == len(workers)


def test_empty_pool_has_no_order():
    assert order([]) == []
