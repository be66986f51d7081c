"""Tests of the comparison of a worker's tracked runs with the replicated state."""

import pytest

from bluebellyoke.dispatch.tracked_run import RunPhase
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.dispatch.test_command_order import SharedEntryScenario
from tests.dispatch.test_dispatcher_random import LateResponseScenario, RandomScenario
from tests.dispatch.test_lost_events import LostEventScenario
from tests.workflow.factories import create_spec, create_step

ID = "0000000000000001"

TICK_S = 0.05

MESSAGE = "dispatch: repaired the tracked runs of a worker"


@pytest.fixture
def simulation():
    """A cell of one worker that runs one of two tasks of a job."""
    simulation = DispatcherSimulation(1)
    run(simulation, 2)
    simulation.submit(create_spec(ID, [create_step(2, cpu=2000)]))
    run(simulation, 2)
    assert len(simulation.workers["w1"].runs) == 1
    return simulation


def run(simulation, ticks):
    for _ in range(ticks):
        simulation.advance(TICK_S)
        simulation.tick()
        sent_calls, simulation.sent_calls = simulation.sent_calls, []
        for sent in sent_calls:
            simulation.deliver(sent)
        events, simulation.events = simulation.events, []
        for event in events:
            simulation.receive(event)


def find_repairs(caplog):
    return [record for record in caplog.records if record.message == MESSAGE]


# Guards against a task that stays assigned for ever: the end of a run that the leader
# did not track was acknowledged to the worker without a commit.
def test_end_of_a_run_that_is_not_tracked_is_committed(simulation, caplog):
    (key,) = simulation.workers["w1"].runs
    simulation.dispatcher.workers["w1"].drop_run(key)
    simulation.workers["w1"].end(key, workflow_commands.RunOutcome.DONE)
    run(simulation, 2)
    assert simulation.store.workflows[ID].find_task(key[0]).state.name == "DONE"
    (record,) = find_repairs(caplog)
    assert (record.worker, len(record.missing), record.surplus) == ("w1", 1, [])


# Guards against a stop of a run that only the tracked runs lack.
def test_run_that_is_not_tracked_runs_on(simulation, caplog):
    (key,) = simulation.workers["w1"].runs
    tracked = simulation.dispatcher.workers["w1"]
    tracked.drop_run(key)
    run(simulation, 2)
    assert list(simulation.workers["w1"].runs) == [key]
    assert tracked.runs[key].phase is RunPhase.STARTED
    assert len(find_repairs(caplog)) == 1


# Guards against a leader that ends with an error for a run that it does not track.
def test_planned_run_that_is_not_tracked_runs_later(simulation):
    (key,) = simulation.workers["w1"].runs
    simulation.workers["w1"].end(key, workflow_commands.RunOutcome.DONE)
    run(simulation, 1)
    simulation.advance(TICK_S)
    simulation.dispatcher.tick(simulation.now, simulation.now)
    tracked = simulation.dispatcher.workers["w1"]
    (planned,) = tracked.runs
    tracked.drop_run(planned)
    simulation.commit()
    run(simulation, 10)
    (again,) = simulation.workers["w1"].runs
    assert again == (planned[0], planned[1] + 1)


# Guards against room that a run keeps after the replicated state has ended it.
def test_tracked_run_that_has_ended_frees_its_room(simulation, caplog):
    (key,) = simulation.workers["w1"].runs
    end = workflow_commands.RunEnd(*key, workflow_commands.RunOutcome.DONE)
    simulation.store.apply(workflow_commands.RecordEnds(ends=(end,)))
    del simulation.workers["w1"].runs[key]
    run(simulation, 2)
    assert key not in simulation.dispatcher.workers["w1"].runs
    (record,) = find_repairs(caplog)
    assert (record.missing, len(record.surplus)) == ([], 1)


# Guards against faults that the check would only hide: no known order of faults may
# make the tracked runs differ from the replicated state.
@pytest.mark.parametrize(
    "scenario",
    [RandomScenario, LateResponseScenario, LostEventScenario, SharedEntryScenario],
)
def test_random_faults_need_no_repair(scenario, caplog):
    for seed in range(100, 110):
        scenario(seed).run()
    assert find_repairs(caplog) == []
