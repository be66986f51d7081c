"""Tests of workers and quota that are kept for gangs."""

import math
import random

import pytest

from bluebellyoke.dispatch.reservations import SHORT_TASKS_S
from tests.dispatch.faulty_cell import QUEUES, FaultyCell
from tests.dispatch.test_planner import NOW, Cell
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


def plan_in_stream(cell, seconds):
    """Plan twice a second while short tasks arrive; return how many have started."""
    started = 0
    for half in range(round(2 * seconds)):
        now = NOW + half / 2
        cell.workers["w1"].last_response_at = now
        cell.submit([create_step(1, cpu=100, estimate_ms=600.0)])
        started += len(cell.plan_and_start(now))
    return started


# Guards against room that short tasks do not use although the gang that has reserved it
# waits for a longer run, and against short tasks that the gang waits for in turn.
@pytest.mark.parametrize("expected_s", [0.0, 8.0])
def test_short_tasks_use_a_reserved_worker_until_the_gang_needs_it(expected_s):
    cell = Cell(workers=1)
    job = cell.submit([create_step(1, cpu=1000)])
    (start,) = cell.plan_and_start()
    run = cell.workers["w1"].runs[(start.task, start.run)]
    run.phase_since = NOW - 1.0
    run.expected_end_at = NOW + expected_s
    gang = cell.submit([create_step(1, cpu=4000, gang=True)])
    # A task of 0.6 s is expected to end within 0.9 s.
    last_s = max(expected_s, SHORT_TASKS_S) - 0.9
    assert plan_in_stream(cell, 20.0) == math.floor(2 * last_s) + 1
    assert {job, gang} <= cell.store.active.keys()
