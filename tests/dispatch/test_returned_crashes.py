"""Crashes of workers that are back at once, and the runs that count for them."""

import math

import pytest

from bluebellyoke.dispatch.ports import NoAnswerError, OtherLifeError
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.crashes import CERTAIN_CRASHES
from bluebellyoke.workflow.crashes import MAX_CRASHES as MAX_UNPROVED_CRASHES
from tests.dispatch.crashing import CrashSimulation
from tests.dispatch.forwarding import STEP_S
from tests.dispatch.returning import MAX_RESTART_S, ReturningNetwork
from tests.dispatch.simulation import SimulatedWorker
from tests.dispatch.test_crashes import MAX_CRASHES, get_states, is_deadly, number_id
from tests.workflow.factories import create_spec, create_worker

#: Time by which a silent worker has been removed, in seconds.
MAX_REMOVAL_S = 7.5

#: Times for which a crashed worker is down, in seconds: it is back within its lease, or
#: after the lease has ended.
DOWN_S = (0.1, 1.5, 7.0)


class CrashAtStart(CrashSimulation):
    """Workers that a task crashes before they respond to its start.

    Args:
        is_renamed: Whether the next process at an address has another ID.
        closed_by_peer: Whether its end closes the connection in order, not by a reset.

    Attributes:
        succeeded: IDs of the workers whose address another has taken over.
    """

    def __init__(self, *, is_renamed=False, closed_by_peer=False, **options):
        self.is_renamed = is_renamed
        self.closed_by_peer = closed_by_peer
        self.succeeded = set()
        super().__init__(deadly=is_deadly, **options)
        self.run(0.1)

    def deliver_calls(self):
        """Answer the calls for a worker whose address another has taken over."""
        for sent in self.sent_calls:
            if sent.spec.id in self.succeeded:
                self.finish_call(sent, error=OtherLifeError(sent.spec.address))
        super().deliver_calls()

    def deliver(self, sent):
        if sent.kind != "start" or not self.deadly(sent.request.task):
            super().deliver(sent)
            return
        worker = self.workers[sent.spec.id]
        if "result" in self.handle_start(worker, sent.request) and worker.runs:
            self.crash(worker.spec.id)
        error = NoAnswerError(
            sent.spec.address, "closed", closed_by_peer=self.closed_by_peer
        )
        self.finish_call(sent, error=error)

    def restart_workers(self):
        if not self.is_renamed:
            super().restart_workers()
            return
        for name, until in list(self.down_until.items()):
            if self.now < until:
                continue
            old = self.workers[name]
            spec = create_worker(
                f"{name}x", old.spec.incarnation + 1, 3000, address=old.spec.address
            )
            self.workers[spec.id] = SimulatedWorker(spec, old.clock_rate)
            self.down_until[name] = math.inf
            self.succeeded.add(name)
            self.dispatcher.register_worker(spec, self.now, lambda result: None)


# Guards against a task without a bound on its starts: it crashes each worker before the
# response to its start, so the run is not known to have begun.
@pytest.mark.parametrize("down_s", DOWN_S)
@pytest.mark.parametrize("is_renamed", [False, True])
def test_task_that_crashes_workers_at_its_start_is_given_up(down_s, is_renamed):
    simulation = CrashAtStart(workers=8, down_s=down_s, is_renamed=is_renamed)
    simulation.submit(create_spec(number_id(1)))
    simulation.run(120)
    assert get_states(simulation)[number_id(1)] == "failed"
    assert max(simulation.starts.values()) <= MAX_CRASHES


# Guards against a third crash under such a task: each process closes the connection of
# the start as it ends, which the network cannot do.
@pytest.mark.parametrize("down_s", DOWN_S)
@pytest.mark.parametrize("is_renamed", [False, True])
def test_two_connections_closed_by_crashing_workers_are_proof(down_s, is_renamed):
    simulation = CrashAtStart(
        workers=8, down_s=down_s, is_renamed=is_renamed, closed_by_peer=True
    )
    simulation.submit(create_spec(number_id(1)))
    simulation.run(120)
    assert get_states(simulation)[number_id(1)] == "failed"
    assert len(simulation.crashed_at) == CERTAIN_CRASHES


# Guards against the same if no worker ever comes back: connections are refused.
def test_task_under_which_workers_stay_away_is_given_up():
    simulation = CrashAtStart(workers=12, down_s=math.inf)
    simulation.submit(create_spec(number_id(1)))
    simulation.run(MAX_UNPROVED_CRASHES * 25)
    assert get_states(simulation)[number_id(1)] == "failed"
    assert max(simulation.starts.values()) <= MAX_UNPROVED_CRASHES


# Guards against the same if the next leader has to judge by the log.
@pytest.mark.parametrize("down_s", DOWN_S)
def test_task_that_crashes_workers_is_given_up_by_new_leaders(down_s):
    simulation = CrashAtStart(workers=8, down_s=down_s)
    simulation.submit(create_spec(number_id(1)))
    for _ in range(20):
        if get_states(simulation)[number_id(1)] == "failed":
            break
        count = len(simulation.crashed_at)
        simulation.run(6.0)
        if len(simulation.crashed_at) > count:
            simulation.change_leader_and_restore()
    assert get_states(simulation)[number_id(1)] == "failed"


# Guards against the loss of jobs that shared the worker with such a task.
def test_tasks_beside_one_that_crashes_workers_at_its_start_are_done():
    simulation = CrashAtStart(workers=6, down_s=0.1)
    for number in range(1, 13):
        simulation.submit(create_spec(number_id(number)))
    simulation.run(60)
    states = get_states(simulation)
    assert states.pop(number_id(1)) == "failed"
    assert set(states.values()) == {"completed"}


def count_crashes(network):
    """Return the number of runs of the held task that count as ended by a crash."""
    crashes = network.store.crashes.find(network.late.request.task)
    return len(crashes.runs) if crashes is not None else 0


def return_at_once(network, name):
    network.restart(name)


def return_after_poll(network, name):
    network.restart(name, is_announced=False)
    network.run(1.0)
    network.announce(name)
    network.commit()


def return_after_lease(network, name):
    network.restart(name, is_announced=False)
    network.silent.add(name)
    network.run(MAX_REMOVAL_S)
    network.silent.clear()
    network.announce(name)
    network.commit()


RETURNS = pytest.mark.parametrize(
    "return_worker", [return_at_once, return_after_poll, return_after_lease]
)


# Guards against blame of a task whose run lives on in the next incarnation.
@RETURNS
@pytest.mark.parametrize("outcome", ["DONE", "FAILED", "STOPPED", "LEASE_EXPIRED"])
def test_run_that_lives_on_is_in_no_crash(return_worker, outcome):
    network = ReturningNetwork()
    name = network.hold_first_start()
    return_worker(network, name)
    network.handle_start(network.workers[name], network.late.request)
    network.run(1.0)
    assert network.list_runs() == [(name, 1)]
    assert count_crashes(network) == 0
    worker = network.workers[name]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome[outcome])
    network.run(1.0)
    assert count_crashes(network) == 0
    assert network.store.crashes.find_suspect(network.late.request.task) is None


# Guards against crashes that count nowhere since the run was not known to have begun.
@RETURNS
def test_run_that_the_next_incarnation_lacks_was_in_one_crash(return_worker):
    network = ReturningNetwork()
    name = network.hold_first_start()
    return_worker(network, name)
    network.run(MAX_RESTART_S)
    assert network.find_task().run == 2
    assert count_crashes(network) == 1


# Guards against a run that counts twice, since its worker crashed twice around it.
@pytest.mark.parametrize("has_begun", [False, True])
def test_run_with_two_returns_was_in_one_crash(has_begun):
    network = ReturningNetwork()
    name = network.hold_first_start()
    worker = network.restart(name)
    if has_begun:
        network.handle_start(worker, network.late.request)
        network.run(1.0)
        assert network.list_runs() == [(name, 1)]
    network.restart(name)
    network.run(MAX_RESTART_S)
    assert network.find_task().run == 2
    assert count_crashes(network) == 1


# Guards against a job that is given up for a worker that crashed behind a cut: the
# network had reset the connection of a start, which never arrived.
@pytest.mark.parametrize("gang", [False, True])
def test_start_whose_connection_was_reset_is_no_proof(gang):
    network = ReturningNetwork()
    network.submit_task(gang=gang)
    network.run(0.1)
    first = network.find_busy_worker().spec.id
    network.restart(first)
    reset = []

    def reset_start(sent):
        if sent.kind != "start" or reset:
            return False
        reset.append(sent)
        network.finish_call(sent, error=NoAnswerError(sent.spec.address, "reset"))
        return True

    network.forward = reset_start
    while not reset:
        network.step()
    network.restart(reset[0].spec.id)
    network.run(5.0)
    assert network.state == "running"
    assert network.find_task().run >= 3
    assert len(network.list_runs()) == 1


# Guards against runs of two gangs at once, and against one that stays incomplete: one
# member is unsettled, and the next incarnation of its worker has it or lacks it.
@RETURNS
@pytest.mark.parametrize("has_begun", [False, True])
@pytest.mark.parametrize("is_answered", [False, True])
def test_gang_with_an_unsettled_member_restarts_whole(
    return_worker, has_begun, is_answered
):
    network = ReturningNetwork()
    name = network.hold_first_start(
        is_answered=is_answered, count=3, cpu=2000, gang=True
    )
    return_worker(network, name)
    worker = network.workers[name]
    if has_begun:
        network.handle_start(worker, network.late.request)
    network.run(2 * MAX_RESTART_S)
    runs = {run for _, run in network.list_runs()}
    assert len(network.list_runs()) == 3
    # With all its members, the first gang may go on.
    assert runs == {2} or (runs == {1} and has_begun)


# Guards against a gang that starts again while a member may go on in an incarnation
# that nobody hears of.
def test_gang_waits_for_the_longest_lease_of_its_member():
    network = ReturningNetwork(workers=4)
    name = network.hold_first_start(count=3, cpu=2000, gang=True)
    network.restart(name, is_announced=False)
    network.silent.add(name)
    network.run(12.0 - STEP_S)
    network.handle_start(network.workers[name], network.late.request)
    network.run(6.0 - 2 * STEP_S)
    assert (name, 1) in network.list_runs()
    assert network.find_task(1).run == 1
    network.run(2.0)
    assert [run for _, run in network.list_runs()] == [2, 2, 2]


# Guards against a done task that is started again: the next incarnation has carried out
# the start and a poll for the former one, which made it forget the end of the run.
def test_acknowledgement_for_the_former_incarnation_hides_no_end():
    network = ReturningNetwork(workers=1)
    for number in range(2, 5):
        network.submit(create_spec(number_id(number)))
        network.run(0.2)
        worker = network.workers["w1"]
        worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
        network.run(0.2)
    network.forward = lambda sent: True
    network.advance(STEP_S)
    network.tick()
    (poll,) = [x for x in network.sent_calls if x.kind == "poll"]
    assert poll.request.acknowledged_end == 3
    network.sent_calls.clear()
    network.hold_first_start()
    worker = network.restart("w1", is_announced=False)
    network.handle_start(worker, network.late.request)
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    network.handle_poll(worker, poll.request)
    network.forward = lambda sent: False
    network.time_out(poll)
    network.run(1.0)
    network.announce_all()
    network.run(MAX_RESTART_S)
    assert network.state == "completed"
