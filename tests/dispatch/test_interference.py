"""Tests of the learning of how much images slow each other down."""

import logging
import math

import pytest

from bluebellyoke.dispatch import pair_table
from bluebellyoke.dispatch.pair_table import PairTable
from bluebellyoke.metrics import Metrics
from bluebellyoke.workflow.commands import RunOutcome
from tests.dispatch.neighbours import Kind, NeighbourModel

SHORT = Kind("short", duration_s=0.64, rate=1.0, spread=0.3)
LONG = Kind("long", duration_s=5.0, rate=0.2, spread=0.3)
BATCH = Kind("batch", duration_s=3.4, rate=0.2, spread=0.3)
OTHER = Kind("other", duration_s=1.0, rate=0.5, spread=0.3)


def swing(time, share, phase=0.0):
    """Return a tail latency that follows traffic with a period of 13 s."""
    return 60.0 * (1 + share * math.sin(time * 2 * math.pi / 13 + phase))


STEADY_WEB = Kind("web", tail_ms=lambda time, worker: swing(time, 0.3))


# Guards against a pair that is never found, or found to be another one.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("victim", "seconds"), [(SHORT, 60.0), (LONG, 30.0), (STEADY_WEB, 90.0)]
)
def test_slowdown_by_a_neighbour_is_learned(victim, seconds, seed):
    model = NeighbourModel(
        [victim, BATCH, OTHER], {(victim.image, "batch"): 1.8}, seed=seed
    )
    model.run(seconds)
    known = model.list_known()
    assert list(known) == [(victim.image, "batch")]
    assert 1.3 < known[(victim.image, "batch")] < 2.2
    assert "bluebellyoke_interfering_pairs 1" in model.metrics.render()


# Guards against a slow worker that is blamed on the image that only it runs.
@pytest.mark.parametrize("seed", range(5))
def test_slow_worker_is_not_taken_for_interference(seed):
    batch = Kind("batch", duration_s=3.4, rate=0.5, only_on=0)
    model = NeighbourModel(
        [SHORT, LONG, batch], {}, speeds=(0.5, 1.0, 1.0, 1.0), seed=seed
    )
    model.run(120.0)
    assert model.list_known() == {}


# Guards against a few very long tasks that are blamed on what runs beside them.
@pytest.mark.parametrize("seed", range(5))
def test_long_task_is_not_taken_for_interference(seed):
    kinds = [
        Kind("short", duration_s=0.64, rate=1.0, spread=0.45, long_share=0.03),
        Kind("batch", duration_s=3.4, rate=0.2, spread=0.45, long_share=0.03),
        Kind("long", duration_s=5.0, rate=0.2, spread=0.3, long_share=0.03),
    ]
    model = NeighbourModel(kinds, {}, seed=seed)
    model.run(120.0)
    assert model.list_known() == {}


# Guards against traffic of a serving task that is blamed on what runs beside it.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("phase", [0.0, 1.7], ids=["common", "of each task"])
def test_own_load_of_a_serving_task_is_not_taken_for_interference(phase, seed):
    web = Kind("web", tail_ms=lambda time, worker: swing(time, 0.55, phase * worker))
    model = NeighbourModel([web, BATCH], {}, seed=seed)
    model.run(120.0)
    assert model.list_known() == {}


# Guards against two long tasks that decide what the other runs deny.
def test_two_long_tasks_do_not_outweigh_the_others():
    table = PairTable(Metrics())
    for slowdown in (0.0, 0.0, math.log(7), 0.0):
        for worker in (("w1", 1), ("w2", 1)):
            table.add_evidence("a", {"b": 1.0}, slowdown, 0.12, worker, 1000.0)
    assert table.estimate_slowdown("a", "b") == 0.0


# Guards against batches that are started when the traffic rises and are blamed for it.
def test_rise_of_all_tails_is_not_blamed_on_runs_beside_some_of_them():
    tails = {"ms": 40.0}
    model = NeighbourModel([Kind("web", tail_ms=lambda time, worker: tails["ms"])], {})
    for _ in range(20):
        tails["ms"] = 95.0
        keys = [model.start(index, Kind("batch", duration_s=1e6)) for index in (0, 1)]
        model.run(3.0)
        tails["ms"] = 40.0
        for index, key in enumerate(keys):
            model.end(index, key, RunOutcome.STOPPED)
        model.run(3.0)
    assert model.list_known() == {}


# Guards against a tail that falls with the load and is credited to a pace.
def test_tails_beside_a_limited_run_are_no_evidence():
    tails = {"ms": 95.0}
    web = Kind("web", tail_ms=lambda time, worker: tails["ms"] - 5 * worker)
    model = NeighbourModel([web], {})
    backfill = Kind("crunch", duration_s=1e6)
    keys = [model.start(index, backfill, backfill=True) for index in range(4)]
    for number in range(20):
        is_limited = number % 2
        tails["ms"] = 40.0 if is_limited else 95.0
        model.paces.update(dict.fromkeys(keys, 0 if is_limited else 100))
        model.run(3.0)
    assert model.table.get("web", "crunch") is None


# Guards against a worker that stumbles while an image happens to run there.
def test_evidence_of_one_worker_makes_no_pair_known():
    table = PairTable(Metrics())
    for _ in range(50):
        table.add_evidence("a", {"b": 1.0}, 0.5, 0.04, ("w1", 1), 1000.0)
    assert table.estimate_slowdown("a", "b") == 0.0
    table.add_evidence("a", {"b": 1.0}, 0.5, 0.04, ("w2", 1), 1000.0)
    assert table.estimate_slowdown("a", "b") > 0.3


def create_known_pair():
    table = PairTable(Metrics())
    for number in range(20):
        worker = (f"w{number % 2}", 1)
        table.add_evidence("a", {"b": 1.0}, 0.5, 0.04, worker, 1000.0)
    assert table.estimate_slowdown("a", "b") > 0.3
    assert table.partners == {
        "a": {"b": pytest.approx(table.estimate_slowdown("a", "b"))},
        "b": {"a": pytest.approx(table.estimate_slowdown("a", "b"))},
    }
    return table


# Guards against a pair that is kept apart long after a new version of an image.
def test_pair_is_forgotten_without_evidence():
    table = create_known_pair()
    table.check(2500.0)
    assert table.estimate_slowdown("a", "b") == 0.0
    assert table.partners == {}


# Guards against evidence of workers that no longer exist.
def test_pair_is_dropped_with_the_workers_that_showed_it():
    table = create_known_pair()
    table.forget_worker(("w0", 1))
    assert table.estimate_slowdown("a", "b") > 0.3
    table.forget_worker(("w1", 1))
    assert table.estimate_slowdown("a", "b") == 0.0


# Guards against a table that grows with the number of images.
def test_table_is_bounded_and_keeps_known_pairs():
    table = create_known_pair()
    for number in range(5000):
        table.add_evidence(f"v{number}", {"b": 1.0}, 0.1, 0.1, ("w1", 1), 1001.0)
    assert len(table._pairs) <= pair_table.MAX_PAIRS
    assert table.estimate_slowdown("a", "b") > 0.3


# Guards against two images beside a victim that are both blamed for what one does.
def test_evidence_on_two_neighbours_is_divided():
    table = PairTable(Metrics())
    for number in range(30):
        worker = (f"w{number % 2}", 1)
        table.add_evidence("a", {"b": 1.0, "c": 1.0}, 0.6, 0.04, worker, 1000.0)
        table.add_evidence("a", {"c": 1.0}, 0.0, 0.04, worker, 1000.0)
    assert table.estimate_slowdown("a", "b") > 0.6
    assert table.estimate_slowdown("a", "c") == 0.0


# Guards against a belief that an operator cannot trace to its evidence.
def test_change_of_belief_is_logged_once(caplog):
    with caplog.at_level(logging.INFO, "bluebellyoke.dispatch"):
        table = create_known_pair()
        table.check(2500.0)
    learned, dropped = caplog.records
    assert learned.message == "dispatch: learned an interference"
    assert (learned.image, learned.by, learned.workers) == ("a", "b", 2)
    assert 1 < learned.low < learned.factor < learned.high
    assert dropped.message == "dispatch: dropped an interference"


# Failures.


# Guards against a leader that acts on what was true before another one led.
def test_new_leader_starts_neutral():
    model = NeighbourModel([LONG, BATCH], {("long", "batch"): 1.8})
    model.run(60.0)
    assert model.list_known()
    model.learner.clear()
    assert model.list_known() == {}
    assert model.table.partners == {}
    assert "bluebellyoke_interfering_pairs 0" in model.metrics.render()


# Guards against state of a restarted worker that is kept for the next incarnation.
def test_restarted_worker_begins_anew():
    model = NeighbourModel([LONG, BATCH], {("long", "batch"): 1.8})
    model.run(60.0)
    for index in range(4):
        worker = model.workers[index]
        model.learner.forget_worker(worker.tracked)
        worker.runs.clear()
    assert model.list_known() == {}
    assert model.learner._workers == {}
    assert model.learner._run_baselines == {}


# Guards against state that is kept for runs whose end was never reported.
def test_runs_that_ended_without_a_report_are_dropped():
    model = NeighbourModel([SHORT], {})
    for _ in range(50):
        key = model.start(0, LONG)
        model.run(1.1)
        worker = model.workers[0]
        worker.tracked.drop_run(key)
        del worker.runs[key]
    state = model.learner._workers[model.workers[0].tracked.spec.key]
    assert state.runs.keys() <= worker.tracked.runs.keys() | {key}


# Guards against an error on a run that ends before any report has listed it, and
# against a run of unknown length that counts as evidence.
@pytest.mark.parametrize("outcome", [RunOutcome.DONE, RunOutcome.LOST])
def test_run_that_ends_before_a_report_is_observed_only_if_done(outcome):
    model = NeighbourModel([], {})
    key = model.start(0, SHORT)
    model.now += 0.64
    model.end(0, key, outcome)
    assert len(model.learner._run_baselines) == (outcome is RunOutcome.DONE)


# Guards against time that is spent on the runs of cells without images.
def test_runs_without_an_image_leave_no_state():
    model = NeighbourModel([Kind("", rate=1.0), Kind("a", rate=1.0, only_on=0)], {})
    model.run(20.0)
    images = {
        run.image
        for state in model.learner._workers.values()
        for run in state.runs.values()
    }
    assert images <= {"a"}
    assert {image for image, _ in model.learner._run_baselines} == {"a"}
    assert len(model.learner._workers) == 1
