"""Which workers a step asks the advisor about, and about how many.

Patterns: a scan of two tasks among hundreds of workers; a wide job in a cell that is
nearly full; many steps that ask at the same moment; a service that allows few workers.
"""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.advice_selection import AllowedShares, select_workers
from bluebellyoke.dispatch.workers import TrackedWorker
from tests.workflow.factories import ADVISOR, create_step, create_worker

WORKERS = 270
LIMIT = 100


def create_workers(used_millis=lambda number: 0, count=WORKERS):
    workers = []
    for number in range(count):
        spec = create_worker(
            f"w{number:03d}", cpu=16000, labels=("a", f"r{number // 20}")
        )
        worker = TrackedWorker(spec, 0.0)
        worker.allocated = Resources(used_millis(number), 0, 0)
        workers.append(worker)
    return workers


def select(step, workers, *, share=0.25, seed="1"):
    return select_workers(step, workers, share=share, seed=seed, limit=LIMIT)


def test_short_job_asks_about_few_of_many_workers():
    selected = select(create_step(2, cpu=1400), create_workers())
    # One in four is allowed, so 17 of them leave one chance in a hundred for none.
    assert len(selected) == 17


def test_wide_job_asks_about_the_room_that_it_needs():
    selected = select(create_step(20, cpu=8000), create_workers())
    # Two tasks fit on a worker, one worker in four is allowed, and half is a margin.
    assert len(selected) == 20 * 2 / 2 / 0.25


def test_workers_with_room_come_first():
    workers = create_workers(used_millis=lambda number: 0 if number >= 250 else 16000)
    selected = select(create_step(2, cpu=1400), workers)
    assert {worker.spec.id for worker in selected} <= {
        f"w{number:03d}" for number in range(250, WORKERS)
    }


def test_more_workers_are_asked_about_in_a_full_cell():
    """A fifth of their capacity is expected to come free while the step waits."""
    workers = create_workers(used_millis=lambda number: 16000)
    assert len(select(create_step(2, cpu=1400), workers)) == 17 * 2 + 6


def test_rack_of_the_data_comes_first():
    selected = select(create_step(2, cpu=1400, data_rack="r7"), create_workers())
    assert all("r7" in worker.spec.labels for worker in selected)


def test_task_that_needs_one_rack_asks_about_the_rack_with_most_room():
    workers = create_workers(lambda number: 0 if number < 20 else 9000, count=240)
    step = create_step(20, cpu=4500, gang=True, same_rack=True)
    selected = select(step, workers)
    assert all("r0" in worker.spec.labels for worker in selected[:20])


def test_steps_that_ask_at_once_spread_over_the_workers():
    workers = create_workers()
    step = create_step(2, cpu=1400)
    asked = {
        worker.spec.id
        for seed in range(40)
        for worker in select(step, workers, seed=str(seed))
    }
    assert len(asked) > WORKERS * 0.8


def test_choice_is_repeatable():
    workers = create_workers()
    step = create_step(2, cpu=1400)
    assert select(step, workers) == select(step, workers)


def test_fewer_are_asked_once_most_are_allowed():
    shares = AllowedShares()
    for _ in range(100):
        shares.record(ADVISOR, evaluated=20, allowed=18)
    share = shares.get(ADVISOR)
    assert share == pytest.approx(0.9, abs=0.02)
    assert len(select(create_step(2, cpu=1400), create_workers(), share=share)) <= 3


def test_expected_share_stays_within_its_bounds():
    shares = AllowedShares()
    for _ in range(500):
        shares.record(ADVISOR, evaluated=20, allowed=0)
    assert shares.get(ADVISOR) == 0.05
    shares.record(ADVISOR, evaluated=0, allowed=0)
    assert shares.get(ADVISOR) == 0.05
