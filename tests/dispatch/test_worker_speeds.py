"""Tests of what is learned of the speed of workers, by what may be mistaken for it."""

import math

import pytest

from bluebellyoke.dispatch.slowdowns import Slowdown
from bluebellyoke.workflow.commands import RunOutcome
from tests.dispatch.fleet import Fleet
from tests.workflow.factories import create_queue

#: Load of a queue: tasks in a job, thousandths of a core and mean run time in seconds.
BATCH = (12, 3500, 2.0)
SHORT = (3, 5000, 0.64)

QUEUES = ("batch", "short")


def create_fleet(factors, **options):
    queues = [create_queue(name) for name in QUEUES]
    return Fleet(factors, queues, is_uneven=False, **options)


def create_load(fleet, *, jobs_per_s=None, **options):
    """Return a function that submits jobs at random times, about half of the room."""
    rate = jobs_per_s or len(fleet.workers) * 0.25

    def submit():
        for queue, shape in zip(QUEUES, (BATCH, SHORT), strict=True):
            if fleet.random.random() < rate * 0.02:
                fleet.submit(queue, *shape, **options.get(queue, {}))

    return submit


def list_factors(fleet):
    return [fleet.get_factor(name) for name in fleet.workers]


def get_slowdown(fleet, name):
    return fleet.speeds.get_slowdown(fleet.workers[name])


def count_changes(fleet):
    counters = fleet.metrics._counters
    return sum(counters["worker_speed_changes_total", x] for x in ("slower", "faster"))


@pytest.mark.parametrize(
    "speeds", [(0.6, 1.0, 1.6), (0.8, 1.0, 1.25)], ids=["wide", "narrow"]
)
def test_factors_of_uneven_workers_are_found(speeds):
    fleet = create_fleet(speeds * 8)
    fleet.run(30, create_load(fleet))
    for name, machine in fleet.machines.items():
        error = math.log(fleet.get_factor(name) / machine.factor)
        assert abs(error) < 0.25, name


@pytest.mark.parametrize("error", [0.2, 0.9])
@pytest.mark.parametrize("seed", [1, 2])
def test_equal_workers_stay_neutral(error, seed):
    """Also while all the estimates of a queue are wrong by the same factor."""
    fleet = create_fleet([1.0] * 24, seed=seed)
    load = create_load(
        fleet,
        batch={"bias": 3.0, "error": error},
        short={"bias": 0.4, "error": error},
    )
    was_uneven = []

    def check():
        load()
        was_uneven.append(fleet.speeds.is_uneven)

    fleet.run(30, check)
    assert not any(was_uneven)
    assert set(list_factors(fleet)) == {1.0}


# Guards against a queue of one worker with wrong estimates that makes it look slow.
def test_wrong_estimates_of_one_queue_do_not_make_its_worker_slow():
    fleet = create_fleet([1.0] * 8)
    load = create_load(fleet, short={"bias": 0.2})
    fleet.run(30, load)
    assert set(list_factors(fleet)) == {1.0}


# Guards against a worker that gets no work because of one task that runs long.
@pytest.mark.parametrize("count", [1, 3])
def test_worker_with_very_long_tasks_is_not_slow(count):
    fleet = create_fleet([1.0] * 8)
    load = create_load(fleet)
    fleet.run(10, load)
    for _ in range(count):
        fleet.submit("batch", 1, 3500, 2.0, works=[14.0], required_label="w01")
    changes = []

    def check():
        load()
        changes.append((fleet.get_factor("w01"), get_slowdown(fleet, "w01")))

    fleet.run(20, check)
    assert set(changes) == {(1.0, 1.0)}


# Guards against a gang that makes all its workers look as slow as the slowest one.
def test_gang_does_not_tell_the_speed_of_its_workers():
    fleet = create_fleet([1.0] * 8)
    fields = {"required_label": "w01", "error": 0.0}
    for is_gang in (True, False):
        fleet.submit("batch", 2, 3500, 2.0, works=[2.0, 2.0], gang=is_gang, **fields)
    fleet.run(3)
    assert len(fleet.speeds._estimates["w01"].steps) == 1


# Guards against a worker that is taken for slow by build while something else uses its
# machine for some seconds.
def test_temporary_slowdown_is_told_from_a_slow_build():
    fleet = create_fleet([1.0] * 12)
    load = create_load(fleet)
    fleet.run(15, load)
    usual = fleet.speeds._estimates["w01"].mean
    fleet.machines["w01"].slowdown = 5.0
    fleet.run(3, load)
    assert get_slowdown(fleet, "w01") > 2.5
    fleet.run(3, load)
    assert fleet.get_factor("w01") == 1.0
    fleet.machines["w01"].slowdown = 1.0
    fleet.run(4, load)
    assert get_slowdown(fleet, "w01") == 1.0
    fleet.run(10, load)
    assert fleet.get_factor("w01") == 1.0
    assert fleet.speeds._estimates["w01"].mean == pytest.approx(usual, abs=0.1)


def test_slow_build_is_told_from_a_temporary_slowdown():
    fleet = create_fleet([1.0] * 9 + [1.6] * 3)
    load = create_load(fleet)
    slowdowns = set()

    def check():
        load()
        slowdowns.update(get_slowdown(fleet, name) for name in fleet.workers)

    fleet.run(25, check)
    assert slowdowns == {1.0}
    assert fleet.get_factor("w12") > 1.3


def test_lasting_slowdown_becomes_the_factor():
    fleet = create_fleet([1.0] * 12)
    load = create_load(fleet)
    fleet.run(15, load)
    fleet.machines["w01"].slowdown = 3.0
    fleet.run(45, load)
    assert get_slowdown(fleet, "w01") == 1.0
    assert fleet.get_factor("w01") > 2.0


# Guards against a worker that gets no tasks for what an earlier process on it did.
@pytest.mark.parametrize("is_forgotten_first", [False, True])
def test_new_incarnation_starts_neutral(is_forgotten_first):
    fleet = create_fleet([1.0] * 11 + [2.5])
    load = create_load(fleet)
    fleet.run(20, load)
    assert fleet.get_factor("w12") > 1.5
    if is_forgotten_first:
        fleet.remove_worker("w12")
        assert "w12" not in fleet.speeds._estimates
    fleet.add_worker("w12", 1.0, incarnation=2)
    assert fleet.get_factor("w12") == 1.0
    fleet.run(20, load)
    assert fleet.get_factor("w12") == 1.0


def test_new_worker_gets_the_factor_of_its_label():
    fleet = create_fleet([])
    for number in range(24):
        kind, factor = (("old", 1.6), ("new", 0.7))[number % 2]
        rack = f"rack-{number // 6}"
        fleet.add_worker(f"w{number:02d}", factor, labels=(kind, rack))
    fleet.run(30, create_load(fleet))
    fleet.add_worker("added", 1.6, labels=("old", "rack-0"))
    fleet.add_worker("unknown", 1.6, labels=("other", "rack-0"))
    assert fleet.get_factor("added") > 1.2
    assert fleet.get_factor("unknown") == 1.0


# Guards against a new leader that takes minutes to find the slow workers again.
def test_new_leader_learns_from_the_progress_of_running_tasks():
    fleet = create_fleet([0.6, 1.0, 1.6] * 8)
    load = create_load(fleet)
    fleet.run(10, load)
    fleet.speeds.clear()
    assert set(list_factors(fleet)) == {1.0}
    for worker in fleet.workers.values():
        for run in worker.runs.values():
            run.mark = run.sent_at = None
    fleet.run(12, load)
    ratios = [
        math.log(fleet.get_factor(name) / machine.factor)
        for name, machine in fleet.machines.items()
    ]
    assert sum(abs(x) < 0.3 for x in ratios) >= 18


# Guards against levels that flap, which would move tasks and fill the log.
def test_levels_settle(caplog):
    fleet = create_fleet([0.8, 1.0, 1.25] * 8)
    load = create_load(fleet)
    fleet.run(40, load)
    before = count_changes(fleet)
    fleet.run(20, load)
    assert count_changes(fleet) - before <= 8


# Guards against a slowdown that is learned as the speed of the worker.
def test_runs_during_a_slowdown_do_not_count():
    fleet = create_fleet([1.0] * 4)
    load = create_load(fleet)
    fleet.run(5, load)
    fleet.run(20)
    fleet.speeds._slowdowns["w01"] = Slowdown(
        ratio=0.2, began_at=fleet.now, seen_at=fleet.now + 10.0
    )
    known = fleet.speeds._estimates["w01"].runs
    works = [1.0] * 3
    fleet.submit("batch", 3, 1000, 1.0, works=works, required_label="w01")
    fleet.run(3)
    assert fleet.speeds._estimates["w01"].runs == known
    assert fleet.speeds._estimates["w02"].runs > 0


def test_stopped_runs_do_not_count():
    fleet = create_fleet([1.0] * 4)
    load = create_load(fleet)
    fleet.run(5, load)
    worker, machine = fleet.workers["w01"], fleet.machines["w01"]
    known = fleet.speeds._estimates["w01"].runs
    key = next(iter(machine.runs))
    worker.runs[key].mark = None
    fleet.end_run("w01", key, RunOutcome.STOPPED)
    assert fleet.speeds._estimates["w01"].runs == known


def report_all(fleet, name, percent, clock_s, now_s):
    """Let a worker report the same progress of all its runs."""
    worker = fleet.workers[name]
    worker.record_clock(round(clock_s * 1000), now_s, now_s)
    for key, run in worker.runs.items():
        run.record_progress(percent, now_s)
        fleet.speeds.record_progress(worker, key, run, 0, now_s)


def start_runs(fleet, count=6):
    fleet.submit("batch", count, 3500, 10.0, works=[10.0] * count)
    fleet.run(0.02)
    (name,) = [name for name, machine in fleet.machines.items() if machine.runs]
    return name


# Guards against workers that look slow, and runs that are moved off all of them, after
# the leader or the network has been held up.
def test_reports_that_arrive_late_are_no_slowdown():
    fleet = create_fleet([1.0] * 2)
    name = start_runs(fleet)
    for second in range(1, 5):
        report_all(fleet, name, 10 * second, second, fleet.now + second)
    report_all(fleet, name, 50, 5, fleet.now + 9)
    report_all(fleet, name, 60, 6, fleet.now + 9)
    assert get_slowdown(fleet, name) == 1.0
    for second in (7, 8):
        report_all(fleet, name, 54 + second, second, fleet.now + 3 + second)
    assert get_slowdown(fleet, name) > 1.0


# Guards against an older report that arrives after a newer one.
def test_reports_that_overtake_each_other_are_no_slowdown():
    fleet = create_fleet([1.0] * 2)
    name = start_runs(fleet)
    for second in range(1, 5):
        report_all(fleet, name, 10 * second, second, fleet.now + second)
    for clock_s, percent in ((3, 30), (5, 50), (4.5, 45), (6, 60)):
        report_all(fleet, name, percent, clock_s, fleet.now + 6)
        assert get_slowdown(fleet, name) == 1.0


def test_complete_run_is_no_slowdown():
    fleet = create_fleet([1.0] * 2)
    name = start_runs(fleet)
    for second in (1, 2, 3):
        report_all(fleet, name, 33 * second, second, fleet.now + second)
    for second in (4, 5, 6):
        report_all(fleet, name, 100, second, fleet.now + second)
    assert get_slowdown(fleet, name) == 1.0


# Guards against tasks that start on a slow worker again because its runs were moved.
def test_slowdown_lasts_for_some_time_without_evidence():
    slowdown = Slowdown()
    for _ in range(3):
        slowdown.record(0.2, 100.0)
    assert not slowdown.has_expired(106.0)
    assert slowdown.has_expired(107.5)
