"""Tests of the workers that are set apart for suspects."""

import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.crashes import SUSPECT_AGE_S
from bluebellyoke.dispatch.isolation import (
    CRASH_RECOVERY_S,
    MAX_PROBATION_S,
    Isolation,
    RecentCrashes,
    compute_probation,
)
from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.dispatch.workers import TrackedWorker
from bluebellyoke.workflow.task_crashes import SharedCrash, TaskCrashes
from tests.workflow.factories import create_worker, name_task

NOW = 100.0
POOL_SIZE = 8


@pytest.fixture
def pool():
    """Workers that are fully allocated to old runs."""
    workers = {}
    for number in range(POOL_SIZE):
        worker = TrackedWorker(create_worker(f"w{number}"), 0.0)
        worker.add_run(
            (name_task(index=number), 1), Resources(4000), RunPhase.STARTED, 0
        )
        workers[worker.spec.id] = worker
    return workers


def count_taken(workers, recent_crashes=None):
    """Return how many workers may be set apart one after the other."""
    isolation = Isolation(
        now=NOW, workers=workers, recent_crashes=recent_crashes or RecentCrashes()
    )
    while "p" not in isolation.full_pools:
        isolation.take(isolation.order(workers.values())[:1])
    return len(isolation.chosen)


# Guards against retests that take down as many workers as the first crashes did.
def test_a_quarter_of_a_busy_pool_is_set_apart(pool):
    assert count_taken(pool) == POOL_SIZE // 4


# Guards against suspects that still wait at the end of the day, although most of the
# pool is idle.
@pytest.mark.parametrize(("cpu", "taken"), [(0, 6), (1000, 4), (2000, 2), (4000, 2)])
def test_the_rest_of_a_pool_has_twice_the_capacity_in_use(pool, cpu, taken):
    """A quarter is set apart at least, three quarters at most."""
    for worker in pool.values():
        worker.allocated = Resources(cpu)
    assert count_taken(pool) == taken


def test_workers_that_suspects_have_crashed_belong_to_the_pool(pool):
    """Otherwise each crash would make the retests slower."""
    recent_crashes = RecentCrashes()
    for _ in range(POOL_SIZE):
        recent_crashes.record_crash("p", NOW)
    for worker in pool.values():
        worker.allocated = Resources()
    assert count_taken(pool, recent_crashes) == (2 * POOL_SIZE) * 3 // 4 - POOL_SIZE


def test_crashed_workers_count_for_a_while(pool):
    recent_crashes = RecentCrashes()
    recent_crashes.record_crash("p", NOW - CRASH_RECOVERY_S + 0.1)
    assert count_taken(pool, recent_crashes) == POOL_SIZE // 4 - 1
    assert recent_crashes.count("p", NOW + 0.1) == 0


def test_gang_larger_than_the_bound_runs_alone(pool):
    isolation = Isolation(now=NOW, workers=pool, recent_crashes=RecentCrashes())
    assert isolation.take(list(pool.values()))
    assert not isolation.take(list(pool.values())[:1])


def test_workers_that_can_be_used_at_once_come_first(pool):
    for number in range(1, POOL_SIZE):
        pool[f"w{number}"].started_at = NOW - SUSPECT_AGE_S / 2
    isolation = Isolation(now=NOW, workers=pool, recent_crashes=RecentCrashes())
    (first, *_) = isolation.order(pool.values())
    assert first.spec.id == "w0"
    assert isolation.has_no_young_run(first)
    assert not isolation.has_no_young_run(pool["w1"])


# Guards against two possible causes of a crash: a task started beside a suspect.
def test_worker_of_a_suspect_gets_no_task_until_it_is_cleared():
    worker = TrackedWorker(
        create_worker(), 0.0, last_response_at=NOW, has_responded=True
    )
    key = (name_task(), 2)
    worker.add_run(key, Resources(1000), RunPhase.STARTED, NOW, probation_s=0.3)
    assert not worker.can_accept_tasks(NOW + 0.2, 1.0)
    assert worker.clear_suspects({key}, NOW + 0.2) == set()
    assert worker.clear_suspects(set(), NOW + 0.4) == set()
    assert worker.clear_suspects({key}, NOW + 0.4) == {key}
    assert worker.can_accept_tasks(NOW + 0.4, 1.0)


@pytest.mark.parametrize(("age_ms", "longest"), [(40, 0.5), (60_000, MAX_PROBATION_S)])
def test_probation_outlasts_the_age_at_the_crash_but_has_an_end(age_ms, longest):
    shared = SharedCrash("w", 1, 1, 0.0, age_ms, True, 1)
    probation_s = compute_probation(TaskCrashes(name_task(), [shared]))
    assert min(age_ms / 1000, longest) <= probation_s <= longest
    assert compute_probation(None) == 0
