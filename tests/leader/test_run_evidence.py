"""Sessions that end while their worker works on: no task runs twice at a time."""

import pytest

from bluebellyoke.cell import commands
from bluebellyoke.instance import wire
from tests.leader.test_workers_stateful import TOTAL, WorkerSimulation

LONG_RUN_S = 1_000.0


@pytest.fixture
def simulation():
    simulation = WorkerSimulation()
    simulation.advance(1.5)
    return simulation


def submit_task(simulation):
    """Submit a restartable task."""
    simulation.submit(1, commands.JobKind.BATCH, True)


def start_long_task(simulation):
    """Start a restartable task that outlasts the test; return its worker."""
    submit_task(simulation)
    simulation.advance(1.0)
    (holder,) = [worker for worker in simulation.workers if worker.running]
    for key in holder.running:
        holder.running[key] = simulation.now + LONG_RUN_S
    return holder


class CapturedReplies:
    """Replies to heartbeats that a test sends itself."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.replies = {}
        self.number = 10_000
        session = simulation.controller.sessions[simulation.instances[0].session]
        self.session = session
        self.forward = session.send
        session.send = self.send

    def send(self, message):
        if isinstance(message, wire.Reply) and message.id >= 10_000:
            self.replies[message.id] = message.body
        else:
            self.forward(message)

    def heartbeat(self, worker, session, sequence=10_000, **fields):
        """Send a heartbeat; return the number of its call."""
        self.number += 1
        heartbeat = wire.WorkerHeartbeat(
            worker, session, sequence, TOTAL, "r1", "dc1", **fields
        )
        self.simulation.controller.receive(
            self.session.id,
            wire.Call(self.number, heartbeat),
            self.simulation.now,
            self.simulation.now,
        )
        return self.number


def commit(simulation):
    """Apply all proposals."""
    pending = simulation.pending_proposals + simulation.controller.pop_proposals()
    simulation.pending_proposals = []
    for proposal in pending:
        result = simulation.state.apply(proposal.command)
        if proposal.on_result is not None:
            proposal.on_result(result)
    simulation.controller.after_apply()


# Guards against a second run beside the first: a heartbeat that arrived while the end
# of its session was proposed got a new lease, with which the worker started what it had
# been assigned; the commit then assigned the same task to another worker.
def test_heartbeat_during_the_proposed_end_of_its_session_gets_no_lease(simulation):
    holder = start_long_task(simulation)
    holder.is_partitioned = True
    controller = simulation.controller
    session = f"s{holder.session}"
    while simulation.state.scheduling.workers[holder.name].alive:
        simulation.now += 0.05
        for worker in simulation.workers:
            if worker is not holder:
                simulation.step_worker(worker)
        controller.tick(simulation.now, simulation.now)
        proposals = controller.pop_proposals()
        lost = [x for x in proposals if isinstance(x.command, commands.LoseWorker)]
        if lost:
            break
        simulation.pending_proposals += proposals
        commit(simulation)
    simulation.pending_proposals += proposals
    replies = CapturedReplies(simulation)
    call = replies.heartbeat(holder.name, session)
    assert call not in replies.replies or not replies.replies[call].lease_s
    commit(simulation)
    assert replies.replies[call].status == "ended"
    assert not replies.replies[call].run


# Guards against a second run beside the first: a delayed heartbeat of a session that
# was never admitted ended the later session of the worker, which works on.
def test_delayed_first_heartbeat_of_an_earlier_session_ends_no_later_one(simulation):
    holder = start_long_task(simulation)
    replies = CapturedReplies(simulation)
    # The instance sends the call again on its next stream.
    for _ in range(2):
        replies.heartbeat(holder.name, "an-earlier-session", sequence=1)
    simulation.advance(3.0)
    assert holder.running


# A worker that begins a session guarantees that no task of an earlier one still runs.
def test_next_session_of_a_worker_moves_its_tasks(simulation):
    holder = start_long_task(simulation)
    holder.restart()
    simulation.advance(1.5)
    assert sum(simulation.start_counts.values()) == 2


# Guards against a second run while a worker that is cut off works on until its lease
# ends by its own clock, also under a new leader.
@pytest.mark.parametrize("leader_changes", [0, 1, 3])
def test_session_of_a_worker_that_works_on_outlives_its_lease(
    simulation, leader_changes
):
    holder = start_long_task(simulation)
    holder.is_partitioned = True
    for _ in range(leader_changes):
        simulation.change_leader(apply_pending=True)
        simulation.advance(0.5)
    while holder.running:
        assert sum(simulation.start_counts.values()) == 1
        simulation.advance(0.05)
    simulation.advance(9.0)
    assert sum(simulation.start_counts.values()) >= 2


# Guards against a session that is ended early: a proposal of its admission that was
# committed late set the lease back to the time of an earlier heartbeat.
def test_late_admission_does_not_shorten_a_lease(simulation):
    simulation.workers.clear()
    replies = CapturedReplies(simulation)
    replies.heartbeat("m9", "s1", sequence=1)
    first = simulation.controller.pop_proposals()
    replies.heartbeat("m9", "s1", sequence=2)
    second = simulation.controller.pop_proposals()
    apply(simulation, first)
    simulation.now += 4.0
    replies.heartbeat("m9", "s1", sequence=3)
    confirmed_until = simulation.now + 6.0
    apply(simulation, second)
    while simulation.now < confirmed_until:
        simulation.now += 0.05
        simulation.controller.tick(simulation.now, simulation.now)
        commit(simulation)
        assert simulation.state.scheduling.workers["m9"].alive


def apply(simulation, proposals):
    for proposal in proposals:
        proposal.on_result(simulation.state.apply(proposal.command))
