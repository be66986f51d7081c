"""Tests of workers and quota that are kept for gangs while services run."""

import random

import pytest

from tests.dispatch.faulty_cell import QUEUES, FaultyCell
from tests.workflow.factories import create_spec, create_step

#: Workers of the pool.
POOL_SIZE = 8

SERVICE = create_step(POOL_SIZE, cpu=500, max_per_worker=1, long_running=True)


@pytest.fixture
def cell():
    """A cell without faults that runs a service on each worker."""
    found = FaultyCell(random.Random(0))
    found.calm_down()
    found.submit(create_spec(f"{1:016x}", [SERVICE]))
    run(found, 1.0)
    return found


def run(cell, seconds):
    for _ in range(round(seconds / 0.05)):
        cell.step(0.05)


# Guards against tasks that wait without a bound beside free room: a gang that fits only
# without the services kept all workers reserved for as long as these ran.
def test_gang_without_room_beside_services_holds_no_task_back(cell):
    cell.submit(create_spec(f"{2:016x}", [create_step(POOL_SIZE, cpu=3700, gang=True)]))
    cell.submit(create_spec(f"{3:016x}", [create_step(1, cpu=1000)]))
    run(cell, 10.0)
    assert cell.store.workflows[f"{3:016x}"].outcome == "completed"


def test_gang_with_room_beside_services_starts_before_later_tasks(cell):
    cell.submit(create_spec(f"{2:016x}", [create_step(20, cpu=1700)]))
    run(cell, 0.2)
    cell.submit(create_spec(f"{3:016x}", [create_step(POOL_SIZE, cpu=3400, gang=True)]))
    for number in range(4, 24):
        cell.submit(create_spec(f"{number:016x}", [create_step(4, cpu=1700)]))
        run(cell, 0.5)
    assert cell.store.workflows[f"{3:016x}"].outcome == "completed"


QUOTA = 10_000


# Guards against tasks that wait without a bound although their quota has room: a gang
# that fits into the quota only without the services kept the rest of it from others.
def test_gang_without_quota_beside_services_holds_no_task_back(cell):
    cell.configure(QUEUES, (QUOTA, 0))
    service = create_step(POOL_SIZE, cpu=700, max_per_worker=1, long_running=True)
    for number, step in enumerate(
        [service, create_step(5, cpu=1000, gang=True), create_step(1, cpu=1000)], 2
    ):
        cell.submit(create_spec(f"{number:016x}", [step], workspace="ws0"))
        run(cell, 1.0)
    run(cell, 10.0)
    assert cell.store.workflows[f"{4:016x}"].outcome == "completed"
