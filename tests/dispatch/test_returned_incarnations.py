"""Runs of which the next incarnation of their worker may have carried out the start.

The simulation checks at each start that no other run of the task goes on.
"""

import pytest

from bluebellyoke.dispatch.ports import OtherLifeError
from bluebellyoke.dispatch.workers import MAX_CALL_DELAY_S, MAX_CLOCK_LAG
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import STEP_S, WORKFLOW
from tests.dispatch.returning import MAX_RESTART_S, ReturningNetwork
from tests.dispatch.simulation import MAX_LEASE_MS, SimulatedWorker
from tests.workflow.factories import create_worker

#: Time by which a silent worker has been removed, in seconds.
MAX_REMOVAL_S = 7.5

#: Longest time from a call to the end of the runs that it may have begun, in seconds.
LONGEST_LEASE_S = MAX_CALL_DELAY_S + MAX_LEASE_MS / 1000 / (1 - MAX_CLOCK_LAG)

DONE = workflow_commands.RunOutcome.DONE


@pytest.fixture
def network():
    return ReturningNetwork()


def learn_by_heartbeat(network, name):
    """Let the next incarnation announce itself; the former ran no task."""
    network.restart(name)


def learn_by_poll(network, name):
    """Let a poll show the next incarnation, which announces itself later."""
    network.restart(name, is_announced=False)
    while name in network.store.workers:
        network.step()


def learn_after_lease(network, name):
    """Let the lease of the former incarnation end before the next one is heard of."""
    network.silent.add(name)
    network.run(MAX_REMOVAL_S)
    assert name not in network.store.workers
    network.restart(name, is_announced=False)
    network.silent.clear()


WAYS = [learn_by_heartbeat, learn_by_poll, learn_after_lease]


def finish_first_run(network, name):
    """Check that the first run works on with a worker, and let it end as done."""
    network.announce_all()
    network.run(2 * MAX_REMOVAL_S)
    assert network.list_runs() == [(name, 1)]
    worker = network.workers[name]
    worker.end(next(iter(worker.runs)), DONE)
    network.run(2 * STEP_S)
    assert network.state == "completed"


# Guards against a second run beside the one that the next incarnation has begun,
# whichever way the leader learns of it.
@pytest.mark.parametrize("learn", WAYS)
@pytest.mark.parametrize("is_answered", [False, True])
@pytest.mark.parametrize("long_running", [False, True])
def test_run_that_the_next_incarnation_has_goes_on(
    network, learn, is_answered, long_running
):
    name = network.hold_first_start(is_answered=is_answered, long_running=long_running)
    if learn is not learn_after_lease:
        learn(network, name)
        network.carry_out_late_start()
    else:
        learn(network, name)
        network.handle_start(network.workers[name], network.late.request)
    if not long_running:
        finish_first_run(network, name)
        return
    network.announce_all()
    network.run(2 * MAX_REMOVAL_S)
    assert network.list_runs() == [(name, 1)]


# Guards against the same if the response of the next incarnation counts as one of the
# former, of which nothing was heard since.
@pytest.mark.parametrize("clock_ms", [0.0, 1000.0])
def test_response_of_the_next_incarnation_does_not_confirm_the_run(network, clock_ms):
    name = network.hold_first_start(is_answered=True)
    network.restart(name, is_announced=False, clock_ms=clock_ms)
    network.carry_out_late_start()
    (run,) = network.dispatcher.workers[name].runs.values()
    assert not run.is_confirmed
    finish_first_run(network, name)


# Guards against a task that waits for ever, or for the longest lease, although the next
# incarnation is there and has not got its start.
@pytest.mark.parametrize("learn", WAYS)
def test_run_that_the_next_incarnation_lacks_is_started_again_soon(network, learn):
    name = network.hold_first_start()
    learn(network, name)
    network.announce_all()
    network.run(MAX_RESTART_S)
    assert network.find_task().run == 2
    assert [run for _, run in network.list_runs()] == [2]
    network.handle_start(network.workers[name], network.late.request)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a wait for the longest lease after a crash under a run that is known to
# have begun there.
def test_run_that_was_listed_is_started_again_at_once(network):
    network.submit_task()
    network.run(0.2)
    name = network.find_busy_worker().spec.id
    network.restart(name)
    network.run(0.2)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a wait for a worker that cannot come back: another ID has its address.
def test_run_ends_when_another_worker_answers_at_the_address(network):
    name = network.hold_first_start()
    answer_as_another(network, name, is_announced=True)
    network.run(0.2)
    assert name not in network.store.workers
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a second run beside the first: a forwarder may send the call elsewhere.
def test_run_goes_on_when_an_unknown_process_answers_at_the_address(network):
    name = network.hold_first_start()
    network.handle_start(network.workers[name], network.late.request)
    answer_as_another(network, name, is_announced=False)
    network.run(2.0)
    assert network.list_runs() == [(name, 1)]


def answer_as_another(network, name, *, is_announced):
    """Let a process that does not know the worker answer all calls to it."""
    if is_announced:
        announce_at_address(network, name)

    def forward(sent):
        if sent.spec.id != name:
            return False
        network.finish_call(sent, error=OtherLifeError(sent.spec.address))
        return True

    network.forward = forward


def announce_at_address(network, name):
    spec = create_worker(
        "other", 9, address=network.workers[name].spec.address, pool="p2"
    )
    network.workers["other"] = SimulatedWorker(spec, 1.0)
    network.dispatcher.register_worker(spec, network.now, lambda result: None)
    network.commit()


# Guards against a second run beside the first: the start of a worker that never comes
# back is carried out as late as a call can be, by an incarnation that nobody hears of.
def test_run_of_a_worker_that_stays_away_ends_after_the_longest_lease(network):
    name = network.hold_first_start()
    network.restart(name, is_announced=False)
    network.silent.add(name)
    network.run(MAX_CALL_DELAY_S - STEP_S)
    network.handle_start(network.workers[name], network.late.request)
    network.run(LONGEST_LEASE_S - MAX_CALL_DELAY_S)
    assert network.find_task().run == 1
    network.run(1.0)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a wait for the longest lease if another worker has taken the place.
def test_run_of_a_removed_worker_ends_when_another_has_its_address(network):
    name = network.hold_first_start()
    network.silent.add(name)
    network.run(MAX_REMOVAL_S)
    assert (network.find_task().run, network.find_task().placed) == (1, True)
    announce_at_address(network, name)
    network.run(0.5)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a second run beside the first after two crashes in one lease: the start
# may reach the third incarnation.
@pytest.mark.parametrize("is_announced", [False, True])
def test_start_may_reach_the_incarnation_after_the_next(network, is_announced):
    name = network.hold_first_start()
    network.restart(name, is_announced=is_announced)
    network.silent.add(name)
    network.run(1.0)
    network.restart(name)
    network.carry_out_late_start()
    network.silent.clear()
    finish_first_run(network, name)


# Guards against a run that is sent, or waits for ever, if its worker is replaced while
# its assignment is being committed.
@pytest.mark.parametrize("is_first", [False, True])
def test_worker_that_returns_during_the_commit_gets_no_start(network, is_first):
    network.submit_task()
    network.advance(STEP_S)
    if is_first:
        network.dispatcher.tick(network.now, network.now)
    for name in network.workers:
        network.restart(name, is_announced=False)
        network.announce(name)
    if not is_first:
        network.dispatcher.tick(network.now, network.now)
    network.commit()
    assert all(sent.kind != "start" for sent in network.sent_calls)
    network.run(MAX_RESTART_S)
    assert len(network.list_runs()) == 1


# Guards against a job that runs on after its cancellation, on an incarnation that got
# its start later, and against a record that is dropped with the run in place.
@pytest.mark.parametrize("is_cancelled_first", [False, True])
@pytest.mark.parametrize("learn", [learn_by_heartbeat, learn_by_poll])
def test_cancelled_run_is_stopped_in_the_next_incarnation(
    network, learn, is_cancelled_first
):
    name = network.hold_first_start()
    if is_cancelled_first:
        network.cancel(WORKFLOW)
    learn(network, name)
    network.handle_start(network.workers[name], network.late.request)
    if not is_cancelled_first:
        network.cancel(WORKFLOW)
    assert network.find_task().placed
    network.announce_all()
    network.run(1.0)
    assert not network.list_runs()
    assert not network.find_task().placed
    assert network.state == "cancelled"


# Guards against another task in the room of a run that may go on there.
def test_unsettled_run_keeps_its_room(network):
    name = network.hold_first_start(cpu=2000)
    worker = network.restart(name)
    assert network.dispatcher.workers[name].free.cpu_millis == 1000
    network.handle_start(worker, network.late.request)
    network.run(1.0)
    assert network.dispatcher.workers[name].free.cpu_millis == 1000
