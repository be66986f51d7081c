"""Tests of the pacing of backfill runs next to serving tasks."""

import itertools
import logging

import pytest

from bluebellyoke.dispatch.ports import PaceResult
from bluebellyoke.workflow.commands import RunOutcome
from tests.dispatch.serving import BACKFILL, SERVING, ServingSimulation

#: Time for which a serving task may be over its target without interruption, in
#: seconds, if it would meet the target without backfill tasks.
MAX_OVER_S = 4.5


@pytest.fixture
def simulation():
    return create_simulation()


def create_simulation(backfill=1, workers=1, **fields):
    """Return a simulation in which everything runs and nothing interferes yet."""
    simulation = ServingSimulation(workers)
    simulation.submit_serving(workers, max_per_worker=1)
    simulation.run(2.0)
    simulation.submit_backfill(backfill, **fields)
    simulation.run(2.0)
    assert len(simulation.list_runs(SERVING)) == workers
    assert len(simulation.list_runs(BACKFILL)) == backfill
    return simulation


def list_paces(simulation):
    return [simulation.get_pace(*run) for run in simulation.list_runs(BACKFILL)]


# Guards against orders without need, which cost calls and processor time.
def test_no_order_is_sent_while_the_tail_is_well_below_its_target(simulation):
    simulation.run(5.0)
    assert simulation.paced == []
    simulation.serving["w1"].effects = {0: 45.0}
    simulation.run(2.0)
    assert simulation.paced


# Guards against a serving task that stays over its target because of its neighbours.
@pytest.mark.parametrize("effects", [{0: 60.0}, dict.fromkeys(range(8), 30.0)])
def test_tail_is_brought_below_its_target_in_time(effects):
    simulation = create_simulation(len(effects))
    serving = simulation.serving["w1"]
    serving.effects = effects
    simulation.run(20.0)
    assert 0 < serving.longest_over_s < MAX_OVER_S
    assert simulation.stopped == []


# Guards against a reaction that comes only once the target is missed.
def test_pace_is_reduced_before_the_target_is_missed(simulation):
    simulation.serving["w1"].effects = {0: 45.0}
    simulation.run(4.0)
    assert list_paces(simulation)[0] < 100
    assert simulation.serving["w1"].longest_over_s == 0


# Guards against work that is lost because the wrong run is slowed down.
def test_run_with_the_greatest_effect_is_slowed_down_first():
    simulation = create_simulation(3)
    simulation.serving["w1"].loads = {1: 900}
    simulation.serving["w1"].effects = {1: 45.0}
    simulation.run(3.0)
    assert {x[2].task.index for x in simulation.paced} == {1}


# Guards against a run that stays slow after the load of the serving task has passed.
def test_pace_is_raised_in_small_steps_once_the_tail_is_low(simulation):
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(4.0)
    assert list_paces(simulation)[0] < 50
    simulation.serving["w1"].effects = {}
    before = len(simulation.paced)
    simulation.run(30.0)
    assert list_paces(simulation) == [100]
    raised = [x[2].percent for x in simulation.paced[before:]]
    steps = [b - a for a, b in itertools.pairwise(raised)]
    assert max(steps) <= 20


# Guards against a run that stays paused for ever, since the leader waits for the event
# of an order that its full queue of inputs has dropped.
def test_pace_is_raised_after_the_event_of_an_order_was_lost(simulation, monkeypatch):
    deliver = simulation._deliver_pace

    def lose_event(sent):
        deliver(sent)
        simulation.events.pop()

    monkeypatch.setattr(simulation, "_deliver_pace", lose_event)
    simulation.serving["w1"].effects = {0: 60.0}
    while not simulation.paced:
        simulation.run(0.1)
    monkeypatch.undo()
    simulation.serving["w1"].effects = {}
    simulation.run(40.0)
    assert list_paces(simulation) == [100]


# Guards against a harmless run that is paused for ever beside a busy serving task.
def test_pace_is_raised_beside_a_tail_that_stays_fairly_high(simulation):
    simulation.serving["w1"].base_ms = 95.0
    simulation.run(8.0)
    assert list_paces(simulation) == [0]
    simulation.serving["w1"].base_ms = 80.0
    simulation.run(8.0)
    assert list_paces(simulation)[0] <= 20
    simulation.run(52.0)
    assert list_paces(simulation) == [100]


# Guards against backfill work that is thrown away: a pace of 0 already ends its effect.
def test_own_load_of_a_serving_task_stops_at_most_one_run():
    simulation = create_simulation(4)
    simulation.serving["w1"].base_ms = 150.0
    simulation.run(60.0)
    assert set(list_paces(simulation)) <= {0, 100}
    assert len(simulation.paced) >= 4
    assert len(simulation.stopped) <= 1


# Guards against a gang that is broken up to help a serving task.
def test_member_of_a_gang_is_never_stopped():
    simulation = create_simulation(4, gang=True, checkpoints=True)
    simulation.serving["w1"].base_ms = 150.0
    simulation.run(30.0)
    assert list_paces(simulation) == [0] * 4
    assert simulation.stopped == []


# Failures.


# Guards against an order that is lost: the run would go on at its old pace.
@pytest.mark.parametrize("executes_lost", [False, True])
def test_order_without_an_answer_is_sent_again(simulation, executes_lost):
    simulation.lost_paces = 2
    simulation.executes_lost = executes_lost
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(20.0)
    assert 0 < simulation.serving["w1"].longest_over_s < MAX_OVER_S


# Guards against an order that times out and takes effect after a later one.
def test_limit_is_sent_again_after_an_order_without_an_answer(simulation):
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.lost_paces = 1
    simulation.run(2.0)
    name, key = simulation.list_runs(BACKFILL)[0]
    simulation.serving["w1"].effects = {}
    simulation.run(40.0)
    assert simulation.get_pace(name, key) == 100
    percents = [x[2].percent for x in simulation.paced]
    assert percents[0] == percents[1]
    # One more order repeats a limit that had been confirmed.
    repeated = sum(a == b for a, b in itertools.pairwise(percents[1:]))
    assert repeated == 1


# Guards against bounds that hold only if a report happens to come early.
@pytest.mark.parametrize("offset", range(6))
@pytest.mark.parametrize("lost_paces", range(3))
def test_bound_holds_for_any_time_of_the_change(offset, lost_paces):
    simulation = create_simulation(4)
    simulation.run(offset * 0.18)
    simulation.lost_paces = lost_paces
    simulation.executes_lost = bool(offset % 2)
    simulation.serving["w1"].base_ms = 80.0
    simulation.serving["w1"].effects = {1: 30.0, 2: 200.0, 3: 15.0}
    simulation.run(15.0)
    assert 0 < simulation.serving["w1"].longest_over_s < MAX_OVER_S


# Guards against work that is lost because two calls were.
def test_run_is_not_stopped_for_two_lost_orders(simulation):
    simulation.lost_paces = 2
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(10.0)
    assert simulation.stopped == []
    assert simulation.serving["w1"].longest_over_s < MAX_OVER_S


# Guards against a reaction that waits for the next poll, and against probes of workers
# whose tasks are far from their targets.
@pytest.mark.parametrize(("base_ms", "least", "most"), [(50, 0, 0), (85, 6, 12)])
def test_worker_is_probed_while_a_task_nears_its_target(
    simulation, base_ms, least, most
):
    simulation.serving["w1"].base_ms = base_ms
    simulation.run(2.0)
    before = simulation.probes
    simulation.run(3.0)
    assert least <= simulation.probes - before <= most


# Guards against a worker that does not carry out pace orders at all.
def test_run_that_never_confirms_a_pace_of_0_is_stopped_in_time(simulation):
    simulation.lost_paces = 10_000
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(10.0)
    assert simulation.serving["w1"].longest_over_s < MAX_OVER_S
    assert simulation.stopped


# Guards against a deposed leader that floods workers with orders.
def test_fenced_order_is_not_repeated_at_once(simulation):
    simulation.refused_pace = PaceResult.FENCED
    simulation.serving["w1"].effects = {0: 45.0}
    simulation.run(3.0)
    assert 1 <= len(simulation.paced) <= 4


# Guards against a run that stays slow for ever because its leader has gone.
def test_new_leader_sends_the_pace_of_every_run_that_it_finds():
    simulation = create_simulation(3)
    simulation.serving["w1"].effects = dict.fromkeys(range(3), 30.0)
    simulation.run(4.0)
    assert max(list_paces(simulation)) < 100
    simulation.serving["w1"].effects = {}
    simulation.change_leader()
    simulation.paced.clear()
    simulation.run(2.5)
    assert len({x[2].task for x in simulation.paced}) == 3
    simulation.run(20.0)
    assert list_paces(simulation) == [100] * 3


# Guards against a limit by a new leader that no line tells of.
def test_first_limit_by_a_new_leader_is_logged(simulation, caplog):
    simulation.serving["w1"].base_ms = 95.0
    simulation.change_leader()
    with caplog.at_level(logging.INFO, "bluebellyoke.dispatch"):
        simulation.run(0.2)
    lines = [x for x in caplog.records if x.message == "dispatch: paces a run"]
    assert [x.percent for x in lines] == list_paces(simulation)


# Guards against a change of leader that takes away the protection of a serving task.
def test_new_leader_keeps_the_tail_below_its_target():
    simulation = create_simulation(3)
    simulation.serving["w1"].effects = dict.fromkeys(range(3), 30.0)
    simulation.run(4.0)
    simulation.change_leader()
    simulation.run(20.0)
    assert simulation.serving["w1"].longest_over_s < MAX_OVER_S


# Guards against runs that stay slow although the serving task has gone.
def test_full_pace_returns_when_the_serving_task_ends(simulation):
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(4.0)
    assert list_paces(simulation)[0] < 100
    simulation.cancel(SERVING)
    simulation.run(2.0)
    assert list_paces(simulation) == [100]


# Guards against orders for a run that has ended, which its worker refuses.
def test_run_that_has_ended_gets_no_further_order(simulation):
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(1.2)
    name, key = simulation.list_runs(BACKFILL)[0]
    simulation.workers[name].end(key, RunOutcome.DONE)
    simulation.run(1.0)
    before = len(simulation.paced)
    assert before
    simulation.run(5.0)
    assert len(simulation.paced) == before


# Guards against limits of an earlier incarnation that are applied to the next one.
def test_restarted_worker_begins_without_limits(simulation):
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(4.0)
    assert list_paces(simulation)[0] < 100
    simulation.serving["w1"].effects = {}
    simulation.crash("w1")
    simulation.paced.clear()
    simulation.run(5.0)
    assert len(simulation.list_runs(BACKFILL)) == 1
    assert list_paces(simulation) == [100]
    assert simulation.paced == []


# Guards against a decision that an operator cannot trace to its evidence.
def test_change_of_pace_is_logged_and_counted(simulation, caplog):
    simulation.serving["w1"].effects = {0: 60.0}
    with caplog.at_level(logging.INFO, "bluebellyoke.dispatch"):
        simulation.run(4.0)
    line = next(x for x in caplog.records if x.message == "dispatch: paces a run")
    assert (line.job, line.worker, line.image) == (BACKFILL, "w1", "web")
    assert line.tail_ms > line.target_ms == 100.0
    text = simulation.calls.metrics.render()
    assert "bluebellyoke_paced_runs 1" in text
    assert "bluebellyoke_backfill_unused_core_seconds_total 0." in text


def was_limited(simulation, since):
    name, key = simulation.list_runs(BACKFILL)[0]
    worker = simulation.dispatcher.workers[name]
    return simulation.dispatcher._parts.interference._pacer.was_limited(
        worker, key, since
    )


# Guards against speeds of limited runs that are taken for interference.
def test_run_counts_as_limited_until_some_time_after_its_limit(simulation):
    begun_at = simulation.now
    assert not was_limited(simulation, begun_at)
    simulation.serving["w1"].effects = {0: 60.0}
    simulation.run(4.0)
    assert was_limited(simulation, simulation.now)
    simulation.serving["w1"].effects = {}
    simulation.run(30.0)
    assert was_limited(simulation, begun_at)
    assert not was_limited(simulation, simulation.now)


# Guards against a limit of the earlier leader that the next one does not know of.
def test_run_that_another_leader_started_counts_as_limited_at_first(simulation):
    simulation.change_leader()
    assert was_limited(simulation, simulation.now)
    simulation.run(8.0)
    assert not was_limited(simulation, simulation.now)


# Guards against a change of behaviour where the setting is off.
@pytest.mark.parametrize("interference", [False, True])
def test_runs_are_paced_only_where_the_feature_is_on(interference):
    simulation = ServingSimulation(interference=interference)
    simulation.submit_serving()
    simulation.submit_backfill()
    simulation.serving["w1"].effects = {0: 200.0}
    simulation.run(8.0)
    assert len(simulation.list_runs(BACKFILL)) == 1
    assert bool(simulation.paced) is interference
