"""Tests of a new leader, and of workers that come back, with runs of unknown state.

Whatever a worker does, its runs are resolved within the time of its lease.
"""

import dataclasses

import pytest

from bluebellyoke.dispatch.context import FENCES_PER_TERM
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_spec, create_step, create_worker

ID = "0000000000000001"

TICK_S = 0.05

#: Time within which a worker without an answer must be removed, in seconds: its longest
#: lease of 6 s by the slowest clock, and the time of a poll.
MAX_REMOVAL_S = 7.5

#: Time within which a task must run again once nothing is unknown, in seconds: two
#: polls of 1 s each show that a run can no longer begin.
MAX_RESTART_S = 2.5


@pytest.fixture
def simulation():
    """A cell of three workers that run a gang of three tasks under an old leader."""
    simulation = DispatcherSimulation(3)
    run(simulation, 0.1)
    simulation.submit(create_spec(ID, [create_step(3, cpu=2000, gang=True)]))
    run(simulation, 0.1)
    assert all(worker.runs for worker in simulation.workers.values())
    return simulation


def run(simulation, seconds, is_done=lambda: False, silent=()):
    """Answer all calls but those to silent workers, which time out.

    Returns:
        Whether a condition held in the end.
    """
    for _ in range(round(seconds / TICK_S)):
        if is_done():
            return True
        simulation.advance(TICK_S)
        simulation.tick()
        sent_calls, simulation.sent_calls = simulation.sent_calls, []
        for sent in sent_calls:
            if sent.spec.id not in silent:
                simulation.deliver(sent)
            elif simulation.now - sent.sent_at < 1.35:
                simulation.sent_calls.append(sent)
            else:
                simulation.time_out(sent)
        posted, simulation.events = simulation.events, []
        for event in posted:
            simulation.receive(event)
    return is_done()


def list_runs(simulation):
    return [x.run for x in simulation.store.workflows[ID].repetitions[0].steps[0].tasks]


def has_next_run(simulation):
    """Return whether each worker has the next run of the gang."""
    return all(
        [key[1] for key in worker.runs] == [2] for worker in simulation.workers.values()
    )


def is_removed(simulation):
    return "w2" not in simulation.store.workers


# Guards against a gang that waits for ever for the end of a run on a dead worker that
# the new leader has never reached.
def test_gang_of_a_worker_that_a_new_leader_never_reaches_runs_again(simulation):
    simulation.change_leader()
    assert run(
        simulation, MAX_REMOVAL_S, lambda: is_removed(simulation), silent=("w2",)
    )
    simulation.crash("w2")
    assert run(simulation, MAX_RESTART_S, lambda: has_next_run(simulation))


# Guards against runs that a new leader gives up although their workers answer.
def test_workers_without_heartbeats_keep_their_runs_under_a_new_leader(simulation):
    simulation.change_leader()
    run(simulation, 2 * MAX_REMOVAL_S)
    assert list_runs(simulation) == [1, 1, 1]
    for worker in simulation.workers.values():
        worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    run(simulation, TICK_S)
    assert simulation.store.workflows[ID].outcome == "completed"


# Guards against runs that stay assigned for ever to a worker that refuses the fencing
# token of the leader in each of its answers.
def test_gang_of_a_worker_that_refuses_the_fencing_token_runs_again(simulation):
    simulation.change_leader()
    worker = simulation.workers["w2"]
    worker.fence = (simulation.term + 1) * FENCES_PER_TERM
    assert run(simulation, MAX_REMOVAL_S, lambda: is_removed(simulation))
    assert not worker.runs
    worker.fence = simulation.term * FENCES_PER_TERM
    simulation.announce("w2")
    simulation.commit()
    assert run(simulation, MAX_RESTART_S, lambda: has_next_run(simulation))


# Guards against calls of a removed worker that are taken for those of its return: their
# events may arrive after it was enrolled again as the same life.
@pytest.mark.parametrize("is_answered", [False, True])
def test_calls_in_flight_to_a_removed_worker_do_not_disturb_its_return(
    simulation, is_answered
):
    assert run(
        simulation, MAX_REMOVAL_S, lambda: is_removed(simulation), silent=("w2",)
    )
    old = [x for x in simulation.sent_calls if x.spec.id == "w2"]
    assert old
    simulation.sent_calls = [x for x in simulation.sent_calls if x not in old]
    simulation.announce("w2")
    simulation.commit()
    simulation.advance(TICK_S)
    simulation.tick()
    for sent in old:
        simulation.deliver(sent) if is_answered else simulation.time_out(sent)
    assert run(simulation, MAX_RESTART_S, lambda: has_next_run(simulation))
    for _ in range(40):
        run(simulation, TICK_S)
        simulation.tick()
        polls = [x for x in simulation.sent_calls if not x.request.is_probe]
        assert len(polls) == len({sent.spec.id for sent in polls})
    assert list_runs(simulation) == [2, 2, 2]


# Guards against a gang whose step never waits again: one member of unknown state is on
# a worker whose polls the leader cannot be sure of.
def test_gang_with_an_unanswered_start_on_a_silent_worker_runs_again():
    simulation = DispatcherSimulation(3)
    run(simulation, 0.1)
    simulation.submit(create_spec(ID, [create_step(3, cpu=2000, gang=True)]))
    assert run(
        simulation, MAX_REMOVAL_S, lambda: is_removed(simulation), silent=("w2",)
    )
    simulation.crash("w2")
    assert run(simulation, MAX_RESTART_S, lambda: has_next_run(simulation))


def deliver_to_next_life(simulation, sent):
    """Let the next life of a worker carry out a call that its earlier life never got.

    A call names its worker, but not the life that it is meant for.
    """
    worker = simulation.workers[sent.spec.id]
    handlers = {"start": simulation.handle_start, "poll": simulation.handle_poll}
    simulation.finish_call(sent, **handlers[sent.kind](worker, sent.request))


def restart(simulation):
    """Restart the only worker, whose calls in flight are returned."""
    old, simulation.sent_calls = simulation.sent_calls, []
    simulation.crash("w1")
    return old


@pytest.fixture
def small_simulation():
    """A cell of one worker that is polled."""
    simulation = DispatcherSimulation(1)
    run(simulation, 0.1)
    return simulation


# Guards against a second run beside the first, and against a run that goes on unseen on
# the next life of its worker: a start that the earlier life never got was carried out
# there.
def test_late_start_on_the_next_life_goes_on_there(small_simulation):
    simulation = small_simulation
    simulation.submit(create_spec(ID, [create_step(cpu=2000)]))
    simulation.advance(TICK_S)
    simulation.tick()
    (start,) = [x for x in restart(simulation) if x.kind == "start"]
    deliver_to_next_life(simulation, start)
    worker = simulation.workers["w1"]
    assert [key[1] for key in worker.runs] == [1]
    run(simulation, 2 * MAX_REMOVAL_S)
    (key,) = worker.runs
    assert key[1] == 1
    worker.end(key, workflow_commands.RunOutcome.DONE)
    run(simulation, 2 * TICK_S)
    assert simulation.store.workflows[ID].outcome == "completed"


# Guards against a done task that is started again: a late poll acknowledged ends of the
# earlier life, and the next life forgot its own ends of the same numbers.
def test_late_poll_for_an_earlier_life_makes_the_next_one_forget_no_end(
    small_simulation,
):
    simulation = small_simulation
    for number in range(3):
        simulation.submit(create_spec(f"{number + 2:016x}"))
        run(simulation, 2 * TICK_S)
        worker = simulation.workers["w1"]
        worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
        run(simulation, 2 * TICK_S)
    simulation.tick()
    (poll,) = [x for x in restart(simulation) if x.kind == "poll"]
    poll.request = dataclasses.replace(poll.request, acknowledged_end=3)
    simulation.submit(create_spec(ID))
    run(simulation, 4 * TICK_S)
    worker = simulation.workers["w1"]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    deliver_to_next_life(simulation, poll)
    simulation.events.clear()
    assert worker.ended
    run(simulation, 2 * TICK_S)
    assert simulation.store.workflows[ID].outcome == "completed"
    assert list_runs(simulation) == [1]


def lead_again(simulation):
    """Let the same replica lead again; commands that are not committed are lost."""
    simulation.proposals.pop_all()
    simulation.dispatcher.deactivate()
    simulation.proposals.pop_all()
    simulation.term += 1
    simulation.dispatcher.activate(simulation.store, simulation.term, simulation.now)


def receive_without_commit(simulation, sent):
    simulation.sent_calls.remove(sent)
    simulation.deliver(sent)
    event = simulation.events.pop()
    simulation.dispatcher.receive(event, simulation.now, simulation.now)


# Guards against a replica that plans no run any more when it leads again, since it
# waits for the commit of an assignment of its earlier term.
def test_replica_that_leads_again_plans_what_was_not_committed(small_simulation):
    simulation = small_simulation
    simulation.submit(create_spec(ID))
    simulation.advance(TICK_S)
    simulation.dispatcher.tick(simulation.now, simulation.now)
    lead_again(simulation)
    worker = simulation.workers["w1"]
    assert run(simulation, MAX_RESTART_S, lambda: bool(worker.runs))
    assert list(simulation.dispatcher.workers["w1"].runs) == list(worker.runs)


# Guards against a worker that is never polled again when its leader leads again, since
# the end that it had listed was not committed in the earlier term.
def test_replica_that_leads_again_commits_the_end_of_a_run(small_simulation):
    simulation = small_simulation
    simulation.submit(create_spec(ID))
    run(simulation, 4 * TICK_S)
    worker = simulation.workers["w1"]
    simulation.tick()
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    (poll,) = [x for x in simulation.sent_calls if x.kind == "poll"]
    receive_without_commit(simulation, poll)
    lead_again(simulation)
    run(simulation, MAX_RESTART_S)
    assert simulation.store.workflows[ID].outcome == "completed"
    assert not worker.ended


# Guards against a worker that is never removed when its leader leads again, since its
# removal was proposed, but not committed, in the earlier term.
def test_replica_that_leads_again_removes_a_worker_that_has_ended(small_simulation):
    simulation = small_simulation
    simulation.tick()
    for leads_again in (True, False):
        worker = simulation.workers["w1"]
        worker.spec = create_worker("w1", worker.spec.incarnation + 1)
        (poll,) = [x for x in simulation.sent_calls if x.kind == "poll"]
        receive_without_commit(simulation, poll)
        if leads_again:
            lead_again(simulation)
            simulation.tick()
    simulation.commit()
    assert simulation.store.workers == {}
