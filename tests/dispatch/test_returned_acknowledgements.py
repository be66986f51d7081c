"""Acknowledgements of ends that reach the next incarnation of a worker.

It counts its ends from 1 again, and would forget those that it has not reported yet.
"""

import pytest

from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.dispatch.test_new_leader import TICK_S, run
from tests.workflow.factories import create_spec, create_step

JOB = "0000000000000001"

#: Runs that end on the former incarnation.
EARLIER_RUNS = 3


@pytest.fixture
def simulation():
    """A worker whose ends are committed and acknowledged."""
    simulation = DispatcherSimulation(1)
    run(simulation, 0.1)
    for number in range(EARLIER_RUNS):
        simulation.submit(create_spec(f"{number + 2:016x}"))
        run(simulation, 2 * TICK_S)
        worker = simulation.workers["w1"]
        worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
        run(simulation, 4 * TICK_S)
    assert simulation.workers["w1"].acknowledged_end == EARLIER_RUNS
    return simulation


def return_without_heartbeat(simulation):
    """Restart the worker under its ID; its heartbeat does not arrive for now."""
    announce = simulation.announce
    simulation.announce = lambda name, **fields: None
    simulation.crash("w1")
    simulation.announce = announce


def start_on_next_incarnation(simulation):
    """Start a task whose start is the first call to reach the next incarnation."""
    simulation.submit(create_spec(JOB, [create_step(cpu=2000)]))
    simulation.advance(TICK_S)
    simulation.tick()
    (start,) = [x for x in simulation.sent_calls if x.kind == "start"]
    simulation.sent_calls.remove(start)
    simulation.deliver(start)
    worker = simulation.workers["w1"]
    (key,) = worker.runs
    worker.end(key, workflow_commands.RunOutcome.DONE)


# Guards against a done task that is started again: a poll for the former incarnation
# acknowledged the end of its run, which nobody had read.
@pytest.mark.parametrize("is_poll_lost", [False, True])
def test_done_run_of_the_next_incarnation_is_not_acknowledged_unread(
    simulation, is_poll_lost
):
    return_without_heartbeat(simulation)
    if is_poll_lost:
        for sent in simulation.sent_calls:
            simulation.time_out(sent)
    simulation.sent_calls = [x for x in simulation.sent_calls if not x.is_finished]
    start_on_next_incarnation(simulation)
    run(simulation, 4 * TICK_S)
    simulation.announce("w1")
    simulation.commit()
    run(simulation, 2.0)
    assert simulation.store.workflows[JOB].outcome == "completed"
    task = simulation.store.workflows[JOB].repetitions[0].steps[0].tasks[0]
    assert task.run == 1


# Guards against ends that are listed for good, since no poll acknowledges them again
# after the response to the first one was lost.
def test_acknowledgement_whose_poll_got_no_response_is_repeated(simulation):
    worker = simulation.workers["w1"]
    simulation.submit(create_spec(JOB, [create_step(cpu=2000)]))
    run(simulation, 2 * TICK_S)
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    while simulation.store.workflows[JOB].outcome != "completed":
        run(simulation, TICK_S)
    assert worker.acknowledged_end == EARLIER_RUNS
    run(simulation, 0.3, silent=("w1",))
    for sent in simulation.sent_calls:
        simulation.time_out(sent)
    simulation.sent_calls.clear()
    run(simulation, 1.0)
    assert worker.acknowledged_end == EARLIER_RUNS + 1
    assert not worker.ended
