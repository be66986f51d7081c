"""Calls and notices for the former incarnation of a worker that arrive late.

They name the ID of the worker only. The simulation checks at each start that no other
run of the task goes on.
"""

import dataclasses

import pytest

from bluebellyoke.dispatch.ports import OtherLifeError, PaceRequest, PaceResult
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import STEP_S
from tests.dispatch.returning import MAX_RESTART_S, ReturningNetwork
from tests.dispatch.simulation import SimulatedWorker
from tests.workflow.factories import create_worker

#: Time in which a worker that works on would be taken for gone, in seconds.
WATCHED_S = 15.0


@pytest.fixture
def network():
    return ReturningNetwork()


@pytest.fixture
def adopted(network):
    """Return the ID of a worker whose next incarnation has the first run."""
    name = network.hold_first_start()
    network.restart(name)
    network.carry_out_late_start()
    return name


def check_only_run(network, name):
    """Check that the first run works on with a worker, and let it end as done."""
    network.run(WATCHED_S)
    assert network.list_runs() == [(name, 1)]
    worker = network.workers[name]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    network.run(2 * STEP_S)
    assert network.state == "completed"


def take_poll(network, name):
    """Return a poll to a worker that is on its way."""
    network.advance(STEP_S)
    network.tick()
    (poll,) = [x for x in network.sent_calls if x.spec.id == name and x.kind == "poll"]
    network.sent_calls.remove(poll)
    return poll


# Guards against calls for the former incarnation that the next one carries out once it
# has answered: a start, an acknowledgement, a lease or a limit that nobody expects.
def test_incarnation_that_has_answered_refuses_the_calls_for_the_former(network):
    former = network.dispatcher.workers["w1"].fence
    poll = take_poll(network, "w1")
    worker = network.restart("w1")
    network.run(0.2)
    network.submit_task(count=9, cpu=1000)
    network.run(0.2)
    key = next(iter(worker.runs))
    before = worker.lease_ms
    acknowledging = dataclasses.replace(
        poll.request, acknowledged_end=9, deadline_ms=10**6
    )
    assert network.handle_poll(worker, acknowledging) == {"report": None}
    assert (worker.lease_ms, worker.acknowledged_end) == (before, 0)
    pace = PaceRequest(task=key[0], run=key[1], percent=1, fence=former)
    assert network.handle_pace(worker, pace) == {"result": PaceResult.FENCED}


# Guards against an end of a run that goes on by a stop that was to block it in the
# former incarnation, and against a second run beside it.
@pytest.mark.parametrize("has_answered", [False, True])
def test_stop_for_the_former_incarnation_causes_no_second_run(network, has_answered):
    stops = []

    def hold_stops(sent):
        if sent.kind != "stop" or stops:
            return network.hold(sent)
        stops.append(sent)
        network.time_out(sent)
        return True

    name = network.hold_first_start()
    network.forward = hold_stops
    while not stops:
        network.step()
    network.forward = lambda sent: False
    worker = network.restart(name)
    network.handle_start(worker, network.late.request)
    if has_answered:
        network.run(0.2)
    accepted = network.handle_stop(worker, stops[0].request)["accepted"]
    assert accepted is not has_answered
    if has_answered:
        check_only_run(network, name)
        return
    network.run(MAX_RESTART_S)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a second run beside the first, if a delayed heartbeat enrols the former
# incarnation again after a poll has shown the next one.
@pytest.mark.parametrize("has_begun", [False, True])
def test_delayed_heartbeat_of_the_former_incarnation_ends_no_run(network, has_begun):
    name = network.hold_first_start()
    former = network.workers[name].spec
    worker = network.restart(name, is_announced=False)
    while name in network.store.workers:
        network.step()
    if has_begun:
        network.handle_start(worker, network.late.request)
    network.dispatcher.register_worker(former, network.now, lambda result: None)
    network.commit()
    network.run(1.0)
    network.announce_all()
    if has_begun:
        check_only_run(network, name)
        return
    network.run(MAX_RESTART_S)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against runs that end with a notice of the former incarnation that it leaves.
def test_leave_announcement_of_the_former_incarnation_ends_no_run(network, adopted):
    network.dispatcher.mark_leaving(adopted)
    check_only_run(network, adopted)


# Guards against the same if the former incarnation was to get no others, and against a
# next one that gets none.
def test_next_incarnation_of_a_draining_worker_keeps_its_run(network):
    name = network.hold_first_start()
    network.announce(name, draining=True)
    network.commit()
    network.restart(name)
    network.carry_out_late_start()
    assert not network.store.workers[name].draining
    check_only_run(network, name)


# Guards against a second run beside the first: a poll for the former incarnation renews
# the lease of the next one, which the leader does not reach.
def test_lease_by_a_late_poll_for_the_former_incarnation_is_waited_for(network):
    poll = take_poll(network, "w1")
    name = network.hold_first_start()
    assert (name, poll.request.acknowledged_end) == ("w1", 0)
    worker = network.restart(name)
    network.silent.add(name)
    network.run(6.0)
    network.handle_start(worker, network.late.request)
    network.run(5.9)
    assert network.list_runs() == [(name, 1)]
    network.handle_poll(worker, poll.request)
    network.run(5.9)
    assert network.list_runs() == [(name, 1)]
    network.run(WATCHED_S)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a second run beside the first: another ID at the address ends the run,
# but the worker is back there before the start has arrived.
def test_worker_that_returns_after_another_at_its_address_runs_no_old_start(network):
    name = network.hold_first_start()
    former = network.workers[name].spec
    other = create_worker("other", 2, address=former.address, pool="p2")
    network.workers["other"] = SimulatedWorker(other, 1.0)
    network.dispatcher.register_worker(other, network.now, lambda result: None)
    network.commit()

    def answer_as_other(sent):
        if sent.spec.id != name:
            return False
        network.finish_call(sent, error=OtherLifeError(sent.spec.address))
        return True

    network.forward = answer_as_other
    network.run(1.0)
    assert network.find_task().run == 2
    network.forward = lambda sent: False
    next_spec = create_worker(name, 3, former.capacity.cpu_millis)
    worker = network.workers[name] = SimulatedWorker(next_spec, 1.0)
    network.handle_start(worker, network.late.request)
    assert [run for _, run in network.list_runs()] == [2]
