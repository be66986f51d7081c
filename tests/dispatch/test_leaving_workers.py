"""Tests of workers that announce the end of their process."""

from bluebellyoke.dispatch.workers import MAX_CLOCK_LAG, LeaseTimes
from tests.dispatch.crashing import CrashSimulation
from tests.workflow.factories import create_spec, create_step, name_task

WORKFLOW = "0000000000000001"

#: Time for which a poll may wait, and the interval of planning, in seconds.
MARGIN_S = 1.2


def drain_worker_with_run(simulation):
    """Let the worker of the only run announce its end; return the worker's ID."""
    simulation.submit(create_spec(steps=[create_step(1)]))
    simulation.run(6.5)
    name = simulation.store.workflows[WORKFLOW].find_task(name_task()).worker
    simulation.announce(name, draining=True, sequence=1)
    # Its lease from before the announcement ends meanwhile.
    simulation.run(LeaseTimes().lease_s)
    return name


# Guards against a run that waits for a whole lease although its worker has said that it
# ends: a refused connection does not tell that it has.
def test_runs_of_a_worker_that_drained_are_started_again_soon():
    simulation = CrashSimulation(task_s=1e9)
    simulation.run(0.1)
    name = drain_worker_with_run(simulation)
    simulation.crash(name)
    simulation.down_until[name] = simulation.now + 100
    simulation.run(LeaseTimes().leaving_lease_s * (1 + MAX_CLOCK_LAG) + MARGIN_S)
    assert simulation.starts[name_task()] == 2


# Guards against the loss of a run whose worker drains for long.
def test_runs_of_a_draining_worker_go_on():
    simulation = CrashSimulation(task_s=1e9)
    simulation.run(0.1)
    drain_worker_with_run(simulation)
    simulation.run(20)
    assert simulation.starts[name_task()] == 1
