"""Leases that end later than the leader reckons, because of calls that it made before.

A call may be carried out seconds after it was sent, and after newer calls. The
simulation checks at each start that no other run of the task goes on.
"""

import pytest

from bluebellyoke.dispatch.ports import StartResult
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.store import WorkflowStore
from tests.dispatch.simulation import DispatcherSimulation
from tests.dispatch.test_new_leader import MAX_REMOVAL_S, TICK_S, run
from tests.workflow.factories import create_spec, create_step

#: Age of a worker's life at its end, in seconds: the clock of the next life is far
#: behind the deadlines that were meant for this one.
LIFE_S = 12.0

#: Time after which the calls of a test are carried out late, in seconds.
LATE_S = 3.0

FIRST, SECOND = "0000000000000001", "0000000000000002"


@pytest.fixture
def simulation():
    """Three workers that have been polled for some time."""
    simulation = DispatcherSimulation(3)
    run(simulation, LIFE_S)
    return simulation


def submit(simulation, workflow, cpu):
    simulation.submit(create_spec(workflow, [create_step(cpu=cpu)]))


def find_busy_worker(simulation):
    (worker,) = [x for x in simulation.workers.values() if x.runs]
    return worker


def take_polls(simulation):
    """Return the polls in flight by worker; they get no response in time."""
    simulation.advance(TICK_S)
    simulation.tick()
    polls, simulation.sent_calls = simulation.sent_calls, []
    assert all(sent.request.deadline_ms for sent in polls)
    return {sent.spec.id: sent for sent in polls}


def list_assigned_workers(pending):
    return [
        start.worker
        for proposal, _ in pending
        if isinstance(proposal.command, workflow_commands.AssignRuns)
        for start in proposal.command.starts
    ]


# Guards against a second run beside the first: a poll for an earlier life of a worker,
# whose clock was ahead, reaches the next life late and renews the lease of its runs.
def test_runs_of_a_life_outlast_no_lease_by_a_poll_for_an_earlier_one(simulation):
    late_polls = take_polls(simulation)
    for name in late_polls:
        simulation.crash(name)
    run(simulation, 0.2)
    submit(simulation, FIRST, 2000)
    run(simulation, 0.2)
    worker = find_busy_worker(simulation)
    name = worker.spec.id
    run(simulation, LATE_S, silent=(name,))
    simulation.handle_poll(worker, late_polls[name].request)
    run(simulation, 2 * MAX_REMOVAL_S, silent=(name,))
    assert find_busy_worker(simulation) is not worker


# Guards against a second run beside the first: a former leader that stood still, and
# gets the response to a poll and the commit of an assignment only then, sends a start
# that renews the lease of a worker which the next leader does not reach.
def test_start_of_a_former_leader_renews_no_lease(simulation):
    submit(simulation, FIRST, 1000)
    run(simulation, 0.2)
    worker = find_busy_worker(simulation)
    name = worker.spec.id
    former, term = simulation.dispatcher, simulation.term
    late_poll = take_polls(simulation)[name]
    submit(simulation, SECOND, 1000)
    simulation.advance(TICK_S)
    former.tick(simulation.now, simulation.now)
    pending = [
        (proposal, simulation.store.apply(proposal.command))
        for proposal in simulation.proposals.pop_all()
    ]
    assert list_assigned_workers(pending) == [name]
    simulation.sent_calls.clear()
    # The former leader stands still; its entries are committed by the others.
    simulation.advance(1.0)
    simulation.change_leader()
    run(simulation, LATE_S, silent=(name,))
    simulation.deliver(late_poll)
    event = simulation.events.pop()
    assert event.report is not None
    former.receive(event, simulation.now, simulation.now)
    for proposal, result in pending:
        if proposal.on_result is not None:
            proposal.on_result(result)
    late_starts = [
        x for x in simulation.sent_calls if x.kind == "start" and x.term == term
    ]
    for sent in late_starts:
        simulation.handle_start(worker, sent.request)
    simulation.sent_calls = [x for x in simulation.sent_calls if x not in late_starts]
    run(simulation, 2 * MAX_REMOVAL_S, silent=(name,))
    assert not worker.runs


# Guards against a second run beside the first: a poll of the former leader for an
# earlier life of a worker renews the lease of the next life, which the new leader, who
# may have read its state from a snapshot, does not reach.
@pytest.mark.parametrize("from_snapshot", [False, True])
def test_new_leader_waits_for_late_polls_for_an_earlier_life(simulation, from_snapshot):
    late_polls = take_polls(simulation)
    for name in late_polls:
        simulation.crash(name)
    run(simulation, 0.2)
    submit(simulation, FIRST, 2000)
    run(simulation, 0.2)
    worker = find_busy_worker(simulation)
    name = worker.spec.id
    if from_snapshot:
        simulation.store = WorkflowStore.load(simulation.store.dump())
    simulation.change_leader()
    run(simulation, LATE_S, silent=(name,))
    simulation.handle_poll(worker, late_polls[name].request)
    run(simulation, 3 * MAX_REMOVAL_S, silent=(name,))
    assert find_busy_worker(simulation) is not worker


# Guards against a wait for calls that can no longer be carried out: an incarnation that
# has answered refuses those that were meant for the one before.
def test_returned_worker_that_has_answered_is_waited_for_no_longer_than_its_lease(
    simulation,
):
    for name in list(simulation.workers):
        simulation.crash(name)
    run(simulation, 0.2)
    submit(simulation, FIRST, 2000)
    run(simulation, 0.2)
    worker = find_busy_worker(simulation)
    name = worker.spec.id
    run(simulation, MAX_REMOVAL_S, silent=(name,))
    assert find_busy_worker(simulation) is not worker


# Guards against a start of a run for an earlier incarnation that the next one carries
# out late, when the task may run elsewhere.
def test_returned_worker_that_has_answered_refuses_a_late_start(simulation):
    submit(simulation, FIRST, 1000)
    simulation.advance(TICK_S)
    simulation.tick()
    (late,) = [x for x in simulation.sent_calls if x.kind == "start"]
    simulation.sent_calls.remove(late)
    simulation.time_out(late)
    simulation.crash(late.spec.id)
    run(simulation, 0.2)
    worker = simulation.workers[late.spec.id]
    fence = worker.fence
    assert fence > late.request.fence
    assert simulation.handle_start(worker, late.request) == {
        "result": StartResult.FENCED
    }
