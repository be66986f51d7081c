"""Tests of commands that are applied together, before the leader learns their results.

A log entry holds all commands that were proposed at about the same time.
"""

import pytest

from bluebellyoke.dispatch import events
from bluebellyoke.dispatch.ports import StatusReport
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.dispatch.test_dispatcher_random import LateResponseScenario
from tests.workflow.factories import create_spec, create_step, create_worker

ID = "0000000000000001"

TICK_S = 0.05

#: Report of another incarnation at the address of the worker.
OTHER_LIFE = StatusReport(1000, 7, (), ())


@pytest.fixture
def simulation():
    """A cell of one worker that has responded to a first poll."""
    simulation = DispatcherSimulation(1)
    simulation.tick()
    deliver(simulation)
    simulation.tick()
    return simulation


def deliver(simulation, kinds=("poll", "start", "stop")):
    for sent in [x for x in simulation.sent_calls if x.kind in kinds]:
        simulation.sent_calls.remove(sent)
        simulation.deliver(sent)
    posted, simulation.events = simulation.events, []
    for event in posted:
        simulation.receive(event)


def commit_one_entry(simulation):
    """Apply all proposed commands first and report their results only then.

    Returns:
        The types of the commands.
    """
    proposals = simulation.proposals.pop_all()
    results = [simulation.store.apply(x.command) for x in proposals]
    for proposal, result in zip(proposals, results, strict=True):
        if proposal.on_result is not None:
            proposal.on_result(result)
    return [type(x.command) for x in proposals]


def propose_start(simulation):
    """Propose the assignment of a task without committing it."""
    simulation.submit(create_spec(ID, [create_step()]))
    simulation.advance(TICK_S)
    simulation.dispatcher.tick(simulation.now, simulation.now)


def finish_poll(simulation, name="w1", **fields):
    """Finish the poll of a worker in flight without committing anything."""
    (poll,) = [x for x in find_calls(simulation, "poll") if x.spec.id == name]
    simulation.sent_calls.remove(poll)
    simulation.finish_call(poll, **fields)
    event = simulation.events.pop()
    simulation.dispatcher.receive(event, simulation.now, simulation.now)


def replace_at_address(simulation, name="w1"):
    """Let the next incarnation of a worker respond."""
    report = StatusReport(clock_ms=1, incarnation=2, running=(), ended=())
    finish_poll(simulation, name, report=report)


def find_calls(simulation, kind):
    return [x for x in simulation.sent_calls if x.kind == kind]


def start_run(simulation):
    propose_start(simulation)
    simulation.commit()
    deliver(simulation, ("start",))
    assert simulation.workers["w1"].runs


# Guards against two runs of a task at the same time: a worker got the start of a run
# that its removal in the same entry had already ended.
def test_run_that_a_removal_in_the_same_entry_has_ended_is_not_started(simulation):
    propose_start(simulation)
    replace_at_address(simulation)
    assert commit_one_entry(simulation) == [
        workflow_commands.AssignRuns,
        workflow_commands.RemoveWorker,
    ]
    assert simulation.store.runs == {}
    assert find_calls(simulation, "start") == []


# Guards against the same if the leader's record of the worker does not tell that its
# removal is proposed.
def test_start_depends_on_the_replicated_state_alone(simulation):
    propose_start(simulation)
    simulation.proposals.add(workflow_commands.RemoveWorker(worker="w1", incarnation=1))
    commit_one_entry(simulation)
    assert find_calls(simulation, "start") == []
    assert simulation.dispatcher.workers["w1"].runs == {}


# Guards against a gang that runs without one of its tasks: its other tasks were started
# after the worker of one had been removed in the same entry.
def test_gang_is_started_again_if_one_of_its_workers_was_removed_at_once():
    simulation = DispatcherSimulation(3)
    simulation.tick()
    deliver(simulation)
    simulation.tick()
    simulation.submit(create_spec(ID, [create_step(3, cpu=2000, gang=True)]))
    simulation.advance(TICK_S)
    simulation.dispatcher.tick(simulation.now, simulation.now)
    replace_at_address(simulation, "w2")
    commit_one_entry(simulation)
    assert {x.spec.id for x in find_calls(simulation, "start")} == {"w1", "w3"}
    simulation.crash("w2")
    for _ in range(10):
        simulation.advance(TICK_S)
        deliver(simulation)
        simulation.tick()
    runs = [key[1] for worker in simulation.workers.values() for key in worker.runs]
    assert runs == [2, 2, 2]


# Guards against a start that is carried out by the next life of its worker.
def test_run_is_not_started_if_a_new_life_was_enrolled_in_the_same_entry(simulation):
    propose_start(simulation)
    simulation.workers["w1"].spec = create_worker("w1", incarnation=2, cpu=3000)
    simulation.announce("w1")
    assert commit_one_entry(simulation) == [
        workflow_commands.AssignRuns,
        workflow_commands.RemoveWorker,
        workflow_commands.EnrolWorker,
    ]
    assert find_calls(simulation, "start") == []
    tracked = simulation.dispatcher.workers["w1"]
    assert (tracked.spec.incarnation, tracked.runs) == (2, {})


# Guards against two runs of a task at the same time: a start that was committed just
# before the proposed removal of its worker extended the lease that had expired.
def test_run_is_not_started_on_a_worker_whose_removal_is_proposed(simulation):
    propose_start(simulation)
    (assignment,) = simulation.proposals.pop_all()
    replace_at_address(simulation)
    assignment.on_result(simulation.store.apply(assignment.command))
    assert find_calls(simulation, "start") == []
    simulation.commit()
    assert simulation.store.runs == {}
    assert simulation.dispatcher.workers == {}


def remove_and_enrol_again(simulation):
    """Propose a removal and the enrolment of the same life with other labels."""
    replace_at_address(simulation)
    simulation.announce("w1", labels=("new",))


# Guards against a leader that ends with an error: a run was planned for a worker that
# was removed and enrolled again before the run was committed.
def test_run_planned_between_removal_and_enrolment_is_started_later(simulation):
    remove_and_enrol_again(simulation)
    simulation.store.apply(workflow_commands.SubmitWorkflow(spec=create_spec(ID)))
    simulation.advance(TICK_S)
    simulation.dispatcher.tick(simulation.now, simulation.now)
    simulation.commit()
    for _ in range(10):
        simulation.advance(TICK_S)
        simulation.tick()
        deliver(simulation)
    assert simulation.workers["w1"].runs


# Guards against a worker that is never polled again, and that keeps runs which have
# ended, since its removal and its next enrolment were in one entry.
def test_worker_removed_and_enrolled_in_one_entry_is_tracked_afresh(simulation):
    start_run(simulation)
    finish_poll(simulation, report=OTHER_LIFE)
    simulation.announce("w1", labels=("new",))
    assert commit_one_entry(simulation) == [
        workflow_commands.RemoveWorker,
        workflow_commands.EnrolWorker,
    ]
    assert simulation.dispatcher.workers["w1"].runs == {}
    simulation.advance(TICK_S)
    simulation.tick()
    assert len(find_calls(simulation, "poll")) == 1


# Guards against two polls in flight for good, each of which starts the next: the
# poll of the removed worker ended after the first one of the same life's next record.
def test_poll_of_a_removed_worker_starts_no_second_poll_of_its_next_record(simulation):
    (old,) = find_calls(simulation, "poll")
    simulation.sent_calls.remove(old)
    probe = events.PollFinished(
        term=simulation.term,
        worker="w1",
        incarnation=1,
        sent_at=simulation.now,
        report=OTHER_LIFE,
        is_probe=True,
    )
    simulation.receive(probe)
    assert simulation.dispatcher.workers == {}
    simulation.announce("w1")
    simulation.commit()
    simulation.advance(TICK_S)
    simulation.tick()
    assert len(find_calls(simulation, "poll")) == 1
    simulation.time_out(old)
    simulation.receive(simulation.events.pop())
    simulation.advance(1.0)
    simulation.tick()
    assert len(find_calls(simulation, "poll")) == 1


class SharedEntryScenario(LateResponseScenario):
    """A scenario in which commands are committed late, several in an entry.

    Attributes:
        entries: Types of the commands of each entry.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.entries = []
        self.simulation.commit = self.commit_some
        self.commit_chance = 0.15

    def commit_some(self):
        if self.random.random() < self.commit_chance:
            self.entries.append(commit_one_entry(self.simulation))

    def inject_event(self):
        if self.random.random() < 0.05:
            name = self.random.choice(sorted(self.simulation.workers))
            self.simulation.announce(name, labels=(str(self.random.random()),))
        super().inject_event()

    def run(self):
        for _ in range(300):
            self.inject_event()
            self.step()
        self.commit_chance = 1.0
        self.simulation.run_until_finished()


# Guards against commands that are sound one by one but not in one entry, whichever come
# together.
@pytest.mark.parametrize("first_seed", range(0, 60, 10))
def test_all_jobs_end_once_although_commands_share_entries(first_seed):
    shared = 0
    for seed in range(first_seed, first_seed + 10):
        scenario = SharedEntryScenario(seed)
        scenario.run()
        shared += sum(
            workflow_commands.RemoveWorker in entry
            and workflow_commands.EnrolWorker in entry
            for entry in scenario.entries
        )
    assert shared > 10
