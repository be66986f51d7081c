"""Starts that another process carries out than the one that they were sent to."""

import msgspec
import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.planning_round import MAX_WORKER_SILENCE_S
from bluebellyoke.dispatch.workers import MAX_CALL_DELAY_S
from bluebellyoke.workflow import commands as workflow_commands
from bluebellyoke.workflow.snapshot import WorkflowSnapshot
from bluebellyoke.workflow.store import WorkflowStore
from tests.dispatch.forwarding import WORKFLOW, ForwardingNetwork

#: Time after which no late start can arrive any more, with some polls, in seconds.
WINDOW_S = MAX_CALL_DELAY_S + 3.0


# Guards against a second run beside the first: a start without an answer is carried out
# by the next incarnation of its worker, after the task was started elsewhere.
def test_start_carried_out_by_the_next_incarnation_does_not_run_twice():
    network = ForwardingNetwork()
    network.run(0.1)
    held = []

    def forward(sent):
        if sent.kind != "start" or held:
            return False
        held.append(sent)
        network.time_out(sent)
        return True

    network.forward = forward
    network.submit_task()
    while not held:
        network.step()
    (late,) = held
    network.crash(late.spec.id)
    network.run(2.0)
    assert network.find_task().run == 2
    # A request names the worker, but not its incarnation. A run beside fails the check.
    worker = network.workers[late.spec.id]
    worker.clock_ms = min(worker.clock_ms, late.request.deadline_ms)
    network.handle_start(worker, late.request)
    assert sum(len(x.runs) for x in network.workers.values()) == 1


class LateStart:
    """A first start without a response, which its worker may carry out late."""

    def __init__(self, network, **fields):
        self.network = network
        self.sent = None
        network.forward = self._hold
        network.submit_task(**fields)
        while self.sent is None:
            network.step()

    def _hold(self, sent):
        if sent.kind != "start" or self.sent is not None:
            return False
        self.sent = sent
        self.network.time_out(sent)
        return True

    @property
    def worker(self):
        return self.network.workers[self.sent.spec.id]

    def crash_worker(self):
        self.network.crash(self.sent.spec.id)

    def carry_out(self):
        """Let the present incarnation of the worker begin the run, or refuse it.

        A run beside another one of its task fails the check of the simulation.
        """
        worker = self.worker
        worker.clock_ms = min(worker.clock_ms, self.sent.request.deadline_ms)
        self.network.handle_start(worker, self.sent.request)

    def check_only_run(self, count=1):
        assert sum(len(x.runs) for x in self.network.workers.values()) <= count


@pytest.fixture
def network():
    network = ForwardingNetwork()
    network.run(0.1)
    return network


# Guards against a wait although the worker responds: its block holds while it lives.
def test_task_with_an_unanswered_start_runs_again_on_the_same_worker_at_once(network):
    late = LateStart(network)
    network.run(1.0)
    assert network.find_busy_worker() is late.worker
    assert network.find_task().run == 2
    late.carry_out()
    late.check_only_run()


# Guards against a second run beside the first: a start without an answer was blocked,
# so the task was started elsewhere, but the next incarnation does not know the block.
@pytest.mark.parametrize("down_s", [0.1, 0.5, 2.0])
@pytest.mark.parametrize("late_s", [0.0, 3.0, 9.0])
@pytest.mark.parametrize("lives", [1, 2])
@pytest.mark.parametrize("replacement", ["none", "leader", "restart"])
def test_start_blocked_by_a_former_incarnation_runs_beside_no_other(
    network, down_s, late_s, lives, replacement
):
    late = LateStart(network)
    network.run(0.5)
    name = late.sent.spec.id
    for _ in range(lives):
        late.crash_worker()
        network.silent.add(name)
        replace_leader(network, replacement)
        network.run(down_s)
        network.silent.discard(name)
    network.run(max(late_s - 0.5 - lives * down_s, 0.0))
    late.carry_out()
    late.check_only_run()
    network.run(3.0)
    late.check_only_run()
    network.announce(name)
    network.run(25.0)
    (worker,) = [x for x in network.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    network.run(1.0)
    assert network.state == "completed"


def replace_leader(network, way):
    """Let another replica lead, with the log or with a snapshot that it has read."""
    if way == "none":
        return
    if way == "restart":
        snapshot = msgspec.msgpack.encode(network.store.dump())
        loaded = msgspec.msgpack.decode(snapshot, type=WorkflowSnapshot)
        network.store = WorkflowStore.load(loaded)
    network.sent_calls.clear()
    network.events.clear()
    network.change_leader()


# Guards against the same with a gang, whose other tasks start again beside the blocked
# one.
@pytest.mark.parametrize("is_crash_first", [False, True])
def test_late_start_of_a_gang_runs_beside_no_other_gang(network, is_crash_first):
    late = LateStart(network, count=3, cpu=2000, gang=True)
    if not is_crash_first:
        network.run(2.0)
        assert {key[1] for x in network.workers.values() for key in x.runs} == {2}
        assert {len(x.runs) for x in network.workers.values()} == {1}
    late.crash_worker()
    late.carry_out()
    numbers = {key[1] for x in late.worker.runs for key in [x]}
    assert numbers <= {1}
    network.run(6.0)
    runs = {key[1] for x in network.workers.values() for key in x.runs}
    assert len(runs) == 1
    assert {len(x.runs) for x in network.workers.values()} == {1}


# Guards against the same if the worker drains, so that the task cannot start there.
def test_start_that_an_earlier_incarnation_blocked_does_not_run_on_the_next_one(
    network,
):
    late = LateStart(network)
    network.announce(late.sent.spec.id, draining=True)
    network.run(1.0)
    late.crash_worker()
    late.carry_out()
    late.check_only_run()
    network.run(3.0)
    late.check_only_run()


# Guards against a task that waits for ever for a worker that drains, or is full.
@pytest.mark.parametrize(
    "fields", [{"draining": True}, {"capacity": Resources(100, 100)}]
)
def test_task_starts_elsewhere_once_its_start_can_no_longer_arrive(network, fields):
    late = LateStart(network)
    network.announce(late.sent.spec.id, **fields)
    network.run(MAX_CALL_DELAY_S - 1.0)
    assert not any(x.runs for x in network.workers.values() if x is not late.worker)
    network.run(3.0)
    assert network.find_task().run >= 2
    assert sum(len(x.runs) for x in network.workers.values()) == 1


# Guards against a task that fails on the same worker until it is out of attempts.
def test_task_that_failed_beside_a_late_start_starts_elsewhere(network):
    late = LateStart(network)
    network.run(1.0)
    late.worker.end(next(iter(late.worker.runs)), workflow_commands.RunOutcome.FAILED)
    network.run(MAX_CALL_DELAY_S + 2.0)
    assert network.find_task().failures == 1
    assert network.find_busy_worker() is not late.worker


# Guards against a second run of a task that lasts, which starts again however it ends.
@pytest.mark.parametrize("outcome", ["DONE", "FAILED", "LEASE_EXPIRED"])
def test_lasting_task_that_ends_beside_a_late_start_starts_there_again(
    network, outcome
):
    late = LateStart(network, long_running=True)
    network.run(1.0)
    key = next(iter(late.worker.runs))
    late.worker.end(key, workflow_commands.RunOutcome[outcome])
    network.run(2.0)
    assert [key[1] for key in late.worker.runs] == [3]
    late.crash_worker()
    late.carry_out()
    late.check_only_run()
    network.run(3.0)
    late.check_only_run()


# Guards against a worker that gets no other task while it keeps the place of a suspect,
# which does not run there.
def test_worker_gets_other_tasks_beside_the_place_of_a_suspect(network):
    late = LateStart(network)
    planner = network.dispatcher._starter._planner
    planner.pause((WORKFLOW, 0, 0), network.now + WINDOW_S)
    late.crash_worker()
    network.run(2.0)
    assert network.store.crashes.find_suspect(late.sent.request.task)
    worker = network.dispatcher.workers[late.sent.spec.id]
    assert [run.is_restartable for run in worker.runs.values()] == [True]
    assert worker.can_accept_tasks(network.now, MAX_WORKER_SILENCE_S)


# Guards against suspects that crash their worker as soon as it is back, ahead of those
# that wait for their turn.
def test_suspect_in_its_place_waits_while_others_wait_for_their_turn(
    network, monkeypatch
):
    late = LateStart(network)
    planner = network.dispatcher._starter._planner
    monkeypatch.setattr(planner, "_list_suspect_pools", lambda store: {"p"})
    late.crash_worker()
    network.run(3.0)
    assert network.find_task().run == 1
    network.run(WINDOW_S)
    assert network.find_task().run == 2


# Guards against a place that the task of a cancelled job keeps.
def test_cancelled_task_keeps_no_place(network):
    late = LateStart(network)
    network.run(1.0)
    late.worker.end(next(iter(late.worker.runs)), workflow_commands.RunOutcome.STOPPED)
    network.run(0.2)
    network.cancel(WORKFLOW)
    network.run(1.0)
    assert not network.find_task().placed
    assert not network.dispatcher.workers[late.sent.spec.id].runs


# Guards against a place that is held for the run of a task that is done.
def test_done_task_keeps_no_place(network):
    late = LateStart(network)
    network.run(1.0)
    late.worker.end(next(iter(late.worker.runs)), workflow_commands.RunOutcome.DONE)
    network.run(0.2)
    assert network.state == "completed"
    assert not network.dispatcher.workers[late.sent.spec.id].runs
