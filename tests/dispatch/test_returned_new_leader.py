"""Changes of the leader between a start and the return of its worker.

The simulation checks at each start that no other run of the task goes on.
"""

import pytest

from bluebellyoke.dispatch.workers import MAX_CALL_DELAY_S, MAX_CLOCK_LAG
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.forwarding import STEP_S
from tests.dispatch.returning import MAX_RESTART_S, ReturningNetwork
from tests.dispatch.simulation import MAX_LEASE_MS

#: Time by which a silent worker has been removed, in seconds.
MAX_REMOVAL_S = 7.5

#: Longest time from a call to the end of the runs that it may have begun, in seconds.
LONGEST_LEASE_S = MAX_CALL_DELAY_S + MAX_LEASE_MS / 1000 / (1 - MAX_CLOCK_LAG)

DONE = workflow_commands.RunOutcome.DONE


class FormerLeader:
    """A leader that stands still while its entry is committed by the others.

    Attributes:
        pending: What it has proposed, with the results that it gets later.
    """

    def __init__(self, network):
        network.advance(STEP_S)
        network.dispatcher.tick(network.now, network.now)
        self.dispatcher, self.calls = network.dispatcher, network.calls
        self.pending = network.commit_without_leader()

    def wake_up(self, network):
        """Let it get the results; return the starts that it sends."""
        before = list(network.sent_calls)
        self.dispatcher._context.now = network.now
        for proposal, result in self.pending:
            if proposal.on_result is not None:
                proposal.on_result(result)
        sent = [x for x in network.sent_calls if x not in before]
        network.sent_calls = before
        return [x for x in sent if x.kind == "start"]


@pytest.fixture
def network():
    return ReturningNetwork()


@pytest.fixture(params=[False, True], ids=["log", "snapshot"])
def replace_leader(request):
    """Return a function that lets a replica with the log or a snapshot lead."""

    def replace(network):
        network.sent_calls.clear()
        network.events.clear()
        if request.param:
            network.change_leader_and_restore()
        else:
            network.change_leader()

    return replace


def return_worker(network, name, way):
    """Let a worker come back; the leader is told, or finds out by itself."""
    network.restart(name, is_announced=way == "heartbeat")


def carry_out(network, sent):
    """Let a worker carry out a call of a former leader."""
    network.handle_start(network.workers[sent.spec.id], sent.request)


def check_only_run(network, name, number):
    """Check that a run is the only one, and goes on; let it end as done."""
    network.announce_all()
    network.run(2 * MAX_REMOVAL_S)
    assert network.list_runs() == [(name, number)]
    worker = network.workers[name]
    worker.end(next(iter(worker.runs)), DONE)
    network.run(2 * STEP_S)
    assert network.state == "completed"


WAYS = pytest.mark.parametrize("way", ["heartbeat", "poll"])


# Guards against a task that is taken for started although its assignment was lost.
@WAYS
def test_assignment_that_was_not_committed_is_made_again(network, replace_leader, way):
    network.submit_task()
    network.advance(STEP_S)
    network.dispatcher.tick(network.now, network.now)
    network.proposals.pop_all()
    replace_leader(network)
    for name in list(network.workers):
        return_worker(network, name, way)
    network.run(STEP_S)
    network.announce_all()
    network.run(MAX_RESTART_S)
    assert [run for _, run in network.list_runs()] == [1]


# Guards against a second run beside the first: the former leader sends the start of a
# committed run to the next incarnation of the worker.
@WAYS
def test_start_that_a_former_leader_sends_later_runs_once(network, replace_leader, way):
    network.submit_task()
    former = FormerLeader(network)
    replace_leader(network)
    (start,) = former.wake_up(network)
    return_worker(network, start.spec.id, way)
    carry_out(network, start)
    check_only_run(network, start.spec.id, 1)


# Guards against the same once the task was started elsewhere: the next incarnation has
# answered the present leader, and refuses the start of the former one.
@WAYS
def test_start_that_a_former_leader_sends_too_late_is_refused(
    network, replace_leader, way
):
    network.submit_task()
    former = FormerLeader(network)
    replace_leader(network)
    (start,) = former.wake_up(network)
    return_worker(network, start.spec.id, way)
    network.run(STEP_S)
    network.announce_all()
    network.run(MAX_RESTART_S)
    assert network.find_task().run == 2
    carry_out(network, start)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a second run beside the one in the next incarnation, whose response the
# former leader has got.
@WAYS
def test_run_with_a_response_to_the_former_leader_goes_on(network, replace_leader, way):
    name = network.hold_first_start(is_answered=True)
    return_worker(network, name, "poll")
    network.carry_out_late_start()
    network.commit()
    replace_leader(network)
    if way == "heartbeat":
        network.announce_all()
    check_only_run(network, name, 1)


# Guards against a second run beside the one in the next incarnation, if the former
# leader has removed the worker, and the present one enrols it.
def test_unsettled_run_of_a_removed_worker_goes_on(network, replace_leader):
    name = network.hold_first_start()
    network.restart(name, is_announced=False)
    while name in network.store.workers:
        network.step()
    replace_leader(network)
    carry_out(network, network.late)
    network.run(1.0)
    check_only_run(network, name, 1)


# Guards against a second run beside the first, if the start is carried out as late as a
# call of the former leader can be, and against a task that waits for ever.
@pytest.mark.parametrize("is_removed", [False, True])
def test_unsettled_run_ends_after_the_longest_lease(
    network, replace_leader, is_removed
):
    name = network.hold_first_start()
    network.silent.add(name)
    network.restart(name, is_announced=False)
    if is_removed:
        network.run(MAX_REMOVAL_S)
        assert name not in network.store.workers
    replace_leader(network)
    network.run(MAX_CALL_DELAY_S - (MAX_REMOVAL_S if is_removed else 0.0) - STEP_S)
    carry_out(network, network.late)
    assert network.list_runs() == [(name, 1)]
    network.run(MAX_LEASE_MS / 1000 - 2 * STEP_S)
    assert network.list_runs() == [(name, 1)]
    network.run(LONGEST_LEASE_S)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a wait for a worker that a new leader does not reach, although the run
# was there: the replicas know that it had begun.
def test_confirmed_run_of_a_silent_worker_ends_with_its_lease(network, replace_leader):
    network.submit_task()
    network.run(1.0)
    name = network.find_busy_worker().spec.id
    replace_leader(network)
    network.silent.add(name)
    network.run(MAX_REMOVAL_S)
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a run that the new leader counts as lost with a worker, because another
# incarnation of the worker was known to have begun it.
def test_confirmation_does_not_outlive_the_incarnation(network, replace_leader):
    name = network.hold_first_start()
    network.restart(name)
    network.carry_out_late_start()
    network.run(1.0)
    assert network.store.run_states.is_confirmed((network.late.request.task, 1))
    network.restart(name)
    replace_leader(network)
    network.run(MAX_RESTART_S)
    assert network.find_task().run == 2
    assert [run for _, run in network.list_runs()] == [2]


# Guards against a second run beside the first: a former leader that stood still for
# 19 s sends a committed start to the next incarnation, which the present leader does
# not reach. The deadline of the start is far ahead on the clock there.
def test_start_of_a_former_leader_that_stood_still_runs_once(network):
    network.submit_task()
    former = FormerLeader(network)
    (name,) = {key[0] for key, runs in network.store.runs.items() if runs}
    # The former leader keeps its own state, in which the run has not ended.
    network.change_leader_and_restore()
    network.sent_calls.clear()
    network.restart(name, is_announced=False)
    network.silent.add(name)
    network.run(LONGEST_LEASE_S + 1.0)
    for start in former.wake_up(network):
        carry_out(network, start)
    assert len(network.list_runs()) == 1
