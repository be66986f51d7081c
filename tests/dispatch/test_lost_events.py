"""Tests of the leader while events of its calls to workers are lost.

The queue of the leader's inputs drops events while it is full.
"""

import pytest

from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.dispatch.test_dispatcher_random import LateResponseScenario
from tests.workflow.factories import create_spec, create_step

ID = "0000000000000001"

#: Time after which a worker whose poll's event is lost must have been polled again, in
#: seconds. Its lease of 5 s must be renewed in time.
MAX_POLL_GAP_S = 4.0

#: Time within which a task of a lost worker must run again, in seconds.
MAX_RECOVERY_S = 20.0

TICK_S = 0.05


@pytest.fixture
def simulation():
    """A cell of one worker that has responded to a first poll."""
    return create_simulation(1)


def create_simulation(workers):
    simulation = DispatcherSimulation(workers)
    simulation.tick()
    deliver(simulation)
    return simulation


def deliver(simulation, select=lambda sent: True):
    """Deliver the selected calls in flight and process their events."""
    for sent in [x for x in simulation.sent_calls if not x.is_finished and select(x)]:
        simulation.sent_calls.remove(sent)
        simulation.deliver(sent)
    events, simulation.events = simulation.events, []
    for event in events:
        simulation.receive(event)


def lose_events(simulation, kind, *, is_delivered=True):
    """Lose the events of the calls of a kind; return how many there were."""
    lost = [x for x in simulation.sent_calls if x.kind == kind]
    for sent in lost:
        simulation.sent_calls.remove(sent)
        if is_delivered:
            simulation.deliver(sent)
    simulation.events.clear()
    return len(lost)


def run(simulation, seconds, is_done=lambda: False):
    """Answer all calls for some time; return whether a condition held in the end."""
    for _ in range(round(seconds / TICK_S)):
        if is_done():
            return True
        simulation.advance(TICK_S)
        simulation.tick()
        deliver(simulation)
    return is_done()


def submit_and_plan(simulation, *steps):
    simulation.submit(create_spec(ID, steps))
    simulation.advance(TICK_S)
    simulation.tick()


def find_task(simulation):
    return simulation.store.workflows[ID].repetitions[0].steps[0].tasks[0]


def track(simulation):
    (worker,) = simulation.dispatcher.workers.values()
    return worker


# Guards against a worker that is never polled again, whose runs stay assigned for ever,
# since the event of its poll was dropped.
def test_worker_is_polled_again_after_the_event_of_its_poll_was_lost(simulation):
    simulation.tick()
    lost_at = simulation.now
    assert lose_events(simulation, "poll") == 1
    while not simulation.sent_calls:
        simulation.advance(TICK_S)
        simulation.tick()
        assert simulation.now - lost_at <= MAX_POLL_GAP_S


# Guards against a task that never ends, since the poll that listed its failed run was
# the last one to its worker.
def test_failed_run_is_found_after_the_event_of_a_poll_was_lost(simulation):
    submit_and_plan(simulation, create_step())
    deliver(simulation)
    worker = simulation.workers["w1"]
    (key,) = worker.runs
    simulation.tick()
    worker.end(key, workflow_commands.RunOutcome.FAILED)
    lose_events(simulation, "poll")
    assert run(simulation, MAX_POLL_GAP_S, lambda: find_task(simulation).run == 2)


# Guards against tasks that stay assigned to a dead worker, since the event of the last
# poll was lost and no other poll could fail.
def test_worker_that_dies_after_a_lost_event_is_removed():
    simulation = create_simulation(2)
    submit_and_plan(simulation, create_step())
    deliver(simulation)
    simulation.tick()
    (dead,) = [x for x in simulation.workers.values() if x.runs]
    lose_events(simulation, "poll")
    begun_at = simulation.now
    while find_task(simulation).run == 1:
        assert simulation.now - begun_at <= MAX_RECOVERY_S
        simulation.advance(TICK_S)
        simulation.tick()
        for sent in [x for x in simulation.sent_calls if x.spec == dead.spec]:
            simulation.sent_calls.remove(sent)
            simulation.time_out(sent)
        deliver(simulation)


# Guards against a second poll in flight for good, which a late event of a poll that
# already counts as lost would start.
def test_late_event_of_a_lost_poll_starts_no_second_poll(simulation):
    simulation.tick()
    (late,) = simulation.sent_calls
    simulation.sent_calls.remove(late)
    while not simulation.sent_calls:
        simulation.advance(TICK_S)
        simulation.tick()
        assert simulation.now - late.sent_at <= MAX_POLL_GAP_S
    simulation.time_out(late)
    simulation.receive(simulation.events.pop())
    simulation.advance(TICK_S)
    simulation.tick()
    assert len(simulation.sent_calls) == 1


# Guards against a task that stays assigned for ever to a worker that does not have it.
def test_task_is_started_again_after_the_event_of_its_start_was_lost(simulation):
    submit_and_plan(simulation, create_step())
    assert lose_events(simulation, "start", is_delivered=False) == 1
    assert run(simulation, MAX_RECOVERY_S, lambda: find_task(simulation).run == 2)


# Guards against room that a run keeps for ever after its end, since the event of its
# start was lost.
def test_ended_run_frees_its_room_after_the_event_of_its_start_was_lost(simulation):
    submit_and_plan(simulation, create_step())
    assert lose_events(simulation, "start") == 1
    worker = simulation.workers["w1"]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    run(simulation, MAX_RECOVERY_S)
    assert simulation.store.workflows[ID].outcome == "completed"
    assert not track(simulation).runs


# Guards against room that stays taken after the end of a short run, and against a stop
# of it, since a report listed the end before the answer to the start arrived.
def test_run_that_ends_before_its_start_is_answered_frees_its_room(simulation):
    submit_and_plan(simulation, create_step())
    (start,) = [x for x in simulation.sent_calls if x.kind == "start"]
    simulation.sent_calls.remove(start)
    simulation.deliver(start)
    answer = simulation.events.pop()
    worker = simulation.workers["w1"]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    deliver(simulation)
    simulation.receive(answer)
    assert not track(simulation).runs
    run(simulation, TICK_S)
    assert worker.blocked == {start.request.task: 1}
    assert [x for x in simulation.sent_calls if x.kind == "stop"] == []


# Guards against runs whose end is found a second late for good, since the event of one
# probe was dropped and no other probe could be sent.
def test_worker_is_probed_again_after_the_event_of_a_probe_was_lost(simulation):
    submit_and_plan(simulation, create_step(estimate_ms=100.0))
    deliver(simulation, lambda sent: sent.kind == "start")
    simulation.sent_calls.clear()
    probes = 0
    for _ in range(round(MAX_POLL_GAP_S / TICK_S)):
        simulation.advance(TICK_S)
        simulation.tick()
        probes += sum(x.request.is_probe for x in simulation.sent_calls)
        simulation.sent_calls.clear()
    assert probes >= 2


# Guards against tasks of a gang that wait for ever for one whose start got no event.
def test_gang_is_started_again_after_the_event_of_a_start_was_lost():
    simulation = create_simulation(3)
    submit_and_plan(simulation, create_step(3, cpu=3000, gang=True))
    lost = next(x for x in simulation.sent_calls if x.kind == "start")
    simulation.sent_calls.remove(lost)
    deliver(simulation)
    assert run(simulation, MAX_RECOVERY_S, lambda: find_task(simulation).run == 2)


class LostEventScenario(LateResponseScenario):
    """A scenario in which the events of some calls are lost, besides all other faults.

    Attributes:
        losses: Number of lost events.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.losses = 0

    def deliver_call(self, sent):
        before = len(self.simulation.events)
        super().deliver_call(sent)
        if len(self.simulation.events) > before and self.random.random() < 0.05:
            self.simulation.events.pop()
            self.losses += 1


# Guards against a lost event after which a task runs twice or a job never ends.
@pytest.mark.parametrize("first_seed", range(0, 60, 10))
def test_all_jobs_end_once_although_events_are_lost(first_seed):
    losses = 0
    for seed in range(first_seed, first_seed + 10):
        scenario = LostEventScenario(seed)
        scenario.run()
        losses += scenario.losses
    assert losses > 10
