"""Tests of the dispatcher in single scenarios."""

import dataclasses

import pytest

from bluebellyoke.dispatch.ports import StartResult
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import (
    ADVISOR,
    create_configuration,
    create_queue,
    create_spec,
    create_step,
)

ID = "0000000000000001"


@pytest.fixture
def simulation():
    """A cell whose workers have responded to a first poll."""
    simulation = DispatcherSimulation()
    simulation.tick()
    deliver(simulation)
    return simulation


def deliver(simulation, kinds=("poll", "start", "stop")):
    """Deliver the calls in flight of some kinds and process the events."""
    for sent in [
        x for x in simulation.sent_calls if x.kind in kinds and not x.is_finished
    ]:
        simulation.sent_calls.remove(sent)
        simulation.deliver(sent)
    events, simulation.events = simulation.events, []
    for event in events:
        simulation.receive(event)


def find_calls(simulation, kind):
    return [x for x in simulation.sent_calls if x.kind == kind and not x.is_finished]


def plan(simulation):
    simulation.advance(0.02)
    simulation.tick()


def test_start_is_committed_before_the_worker_is_called(simulation):
    simulation.submit(create_spec(ID))
    simulation.advance(0.02)
    simulation.dispatcher.tick(simulation.now, simulation.now)
    assert find_calls(simulation, "start") == []
    simulation.commit()
    (sent,) = find_calls(simulation, "start")
    assert simulation.store.workflows[ID].find_task(sent.request.task).run == 1


def test_new_leader_starts_no_run_before_a_poll(simulation):
    simulation.submit(create_spec(ID))
    simulation.change_leader()
    plan(simulation)
    assert find_calls(simulation, "start") == []
    deliver(simulation)
    plan(simulation)
    assert len(find_calls(simulation, "start")) == 1


def test_gang_with_an_unanswered_start_is_stopped(simulation):
    """The other tasks of the gang would wait for it until they time out."""
    simulation.submit(create_spec(ID, [create_step(3, cpu=3000, gang=True)]))
    plan(simulation)
    lost, *others = find_calls(simulation, "start")
    simulation.sent_calls.remove(lost)
    deliver(simulation, ("start",))
    simulation.time_out(lost)
    deliver(simulation, ())
    stopped = {sent.request.task for sent in find_calls(simulation, "stop")}
    assert stopped == {sent.request.task for sent in others}


# Guards against a leader that is busy with one job: a start that a worker refused as
# malformed was repeated in the next round of planning.
def test_start_refused_as_malformed_is_not_repeated_at_once(simulation):
    simulation.submit(create_spec(ID))
    starts = 0
    for _ in range(100):
        plan(simulation)
        for sent in find_calls(simulation, "start"):
            starts += 1
            simulation.sent_calls.remove(sent)
            simulation.finish_call(sent, result=StartResult.INVALID)
        deliver(simulation, ("poll", "stop"))
    assert starts == 3


def test_late_run_of_a_stopped_gang_is_stopped(simulation):
    simulation.submit(create_spec(ID, [create_step(3, cpu=3000, gang=True)]))
    plan(simulation)
    late, *_ = find_calls(simulation, "start")
    simulation.sent_calls.remove(late)
    deliver(simulation, ("start",))
    simulation.time_out(late)
    deliver(simulation, ())
    simulation.deliver(late)
    for _ in range(4):
        plan(simulation)
        deliver(simulation, ("poll", "stop"))
    assert not simulation.workers[late.spec.id].runs


def test_cancelled_workflow_is_stopped_on_all_workers(simulation):
    simulation.submit(create_spec(ID, [create_step(2)]))
    plan(simulation)
    deliver(simulation, ("start",))
    simulation.cancel(ID)
    assert len(find_calls(simulation, "stop")) == 2
    deliver(simulation)
    for _ in range(3):
        plan(simulation)
        deliver(simulation)
    assert ID not in simulation.store.active


# Guards against calls for nothing and memory that grows: advice on a workflow that was
# cancelled before a run was placed was kept, and its calls were sent.
def test_advisor_is_not_asked_about_a_cancelled_workflow(simulation):
    queue = create_queue(advisor=ADVISOR)
    simulation.store.apply(
        workflow_commands.ApplyConfiguration(
            configuration=create_configuration(2, [queue])
        )
    )
    simulation.submit(create_spec(ID))
    simulation.cancel(ID)
    calls = []
    simulation.dispatcher.advice.open_session(1, calls.append)
    plan(simulation)
    assert calls == []
    assert simulation.dispatcher.advice.queued_calls == 0


def test_draining_is_acknowledged_after_its_commit(simulation):
    spec = simulation.workers["w1"].spec
    results = []
    leaving = type(spec)(
        **{name: getattr(spec, name) for name in spec.__struct_fields__}
        | {"draining": True}
    )
    simulation.dispatcher.register_worker(leaving, simulation.now, results.append)
    assert results == []
    simulation.commit()
    assert results[0].accepted
    simulation.submit(create_spec(ID, [create_step(9, cpu=1000)]))
    plan(simulation)
    assert "w1" not in {sent.spec.id for sent in find_calls(simulation, "start")}


def heartbeat_after_leave(simulation, after_s, **fields):
    """Announce that w1 ends, then its next heartbeat; return the workers of starts."""
    simulation.dispatcher.mark_leaving("w1")
    simulation.submit(create_spec(ID, [create_step(9, cpu=1000)]))
    plan(simulation)
    assert "w1" not in {sent.spec.id for sent in find_calls(simulation, "start")}
    simulation.advance(after_s)
    simulation.tick()
    simulation.announce("w1", **fields)
    simulation.commit()
    deliver(simulation, ("poll",))
    plan(simulation)
    return {sent.spec.id for sent in find_calls(simulation, "start")}


# Guards against a worker that gets no tasks for good, since the announcement of its
# earlier process that it ends arrived after the new process had registered.
def test_ready_heartbeat_well_after_a_leave_makes_the_worker_available(simulation):
    simulation.crash("w1")
    deliver(simulation)
    simulation.tick()
    deliver(simulation)
    assert "w1" in heartbeat_after_leave(simulation, after_s=1.6)


# Guards against new tasks for a worker that ends, because of a heartbeat that it sent
# before its announcement and that arrived after it.
def test_ready_heartbeat_just_after_a_leave_is_ignored(simulation):
    assert "w1" not in heartbeat_after_leave(simulation, after_s=1.4)


# Guards against new tasks for a worker that drains before it ends.
def test_draining_heartbeat_after_a_leave_keeps_the_worker_unavailable(simulation):
    assert "w1" not in heartbeat_after_leave(simulation, after_s=1.6, draining=True)
    assert simulation.dispatcher.workers["w1"].is_leaving


def test_end_is_acknowledged_to_the_worker_after_its_commit(simulation):
    simulation.submit(create_spec(ID))
    plan(simulation)
    deliver(simulation, ("start",))
    (worker,) = [x for x in simulation.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    simulation.advance(1.1)
    plan(simulation)
    (poll,) = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    assert poll.request.acknowledged_end == 0
    deliver(simulation, ("poll",))
    plan(simulation)
    acknowledged = [
        x.request.acknowledged_end
        for x in find_calls(simulation, "poll")
        if x.spec == worker.spec
    ]
    assert acknowledged == [1]
    assert simulation.store.workflows[ID].state == "completed"


def test_end_that_is_not_committed_is_not_acknowledged(simulation):
    simulation.submit(create_spec(ID))
    plan(simulation)
    deliver(simulation, ("start",))
    (worker,) = [x for x in simulation.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    simulation.advance(1.1)
    plan(simulation)
    (poll,) = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    simulation.sent_calls.remove(poll)
    simulation.deliver(poll)
    simulation.dispatcher.receive(
        simulation.events.pop(), simulation.now, simulation.now
    )
    simulation.advance(0.02)
    simulation.dispatcher.tick(simulation.now, simulation.now)
    assert [
        x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id
    ] == []
    simulation.commit()
    simulation.dispatcher.tick(simulation.now, simulation.now)
    (poll,) = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    assert poll.request.acknowledged_end == 1


def test_tasks_of_a_lost_worker_run_on_another_worker(simulation):
    """Its lease must expire although the leader keeps polling it."""
    simulation.submit(create_spec(ID))
    plan(simulation)
    deliver(simulation, ("start",))
    (lost,) = [x for x in simulation.workers.values() if x.runs]
    for _ in range(120):
        simulation.advance(0.1)
        simulation.tick()
        for sent in find_calls(simulation, "poll"):
            simulation.sent_calls.remove(sent)
            if sent.spec.id == lost.spec.id:
                simulation.time_out(sent)
            else:
                simulation.deliver(sent)
        deliver(simulation, ("start",))
    (other,) = [x for x in simulation.workers.values() if x.runs]
    assert other is not lost
    assert simulation.store.workflows[ID].placed == 1


# A worker whose answers all came after the timeout was given up with its runs.
def test_worker_that_only_answers_late_keeps_its_runs(simulation):
    worker = start_run(simulation)
    for _ in range(20):
        sent_polls = [
            x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id
        ]
        for sent in sent_polls:
            simulation.sent_calls.remove(sent)
        simulation.advance(0.4)
        for sent in sent_polls:
            simulation.time_out(sent)
        deliver(simulation, ())
        plan(simulation)
        simulation.advance(0.4)
        for sent in sent_polls:
            simulation.receive(simulation.deliver_late(sent))
        plan(simulation)
        assert len(worker.runs) == 1
    assert worker.spec.id in simulation.dispatcher.workers


# Two polls in flight would each renew the lease, so neither could show a lost worker.
def test_late_response_starts_no_second_poll(simulation):
    worker = start_run(simulation)
    (sent,) = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    simulation.sent_calls.remove(sent)
    simulation.advance(0.4)
    simulation.time_out(sent)
    deliver(simulation, ())
    simulation.advance(0.2)
    plan(simulation)
    simulation.receive(simulation.deliver_late(sent))
    plan(simulation)
    polls = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    assert len(polls) == 1


def time_out_start(simulation):
    """Let a start time out while the polls wait and return it."""
    simulation.submit(create_spec(ID))
    plan(simulation)
    (lost,) = find_calls(simulation, "start")
    simulation.sent_calls.remove(lost)
    simulation.advance(0.4)
    simulation.time_out(lost)
    deliver(simulation, ())
    return lost


def find_probes(simulation):
    return [sent for sent in find_calls(simulation, "poll") if sent.request.is_probe]


def deliver_probes(simulation):
    for sent in find_probes(simulation):
        simulation.sent_calls.remove(sent)
        simulation.deliver(sent)
    deliver(simulation, ())


def test_unanswered_start_is_resolved_while_the_poll_still_waits(simulation):
    lost = time_out_start(simulation)
    simulation.advance(0.01)
    deliver_probes(simulation)
    deliver(simulation, ("stop",))
    simulation.advance(0.01)
    deliver_probes(simulation)
    plan(simulation)
    (again,) = find_calls(simulation, "start")
    assert again.request.run == lost.request.run + 1
    assert simulation.now - lost.sent_at < 0.5


def test_worker_with_an_unanswered_start_gets_none_until_it_responds(simulation):
    lost = time_out_start(simulation)
    for number in range(2, 12):
        simulation.submit(create_spec(f"{number:016x}"))
    plan(simulation)
    assert lost.spec.id not in {x.spec.id for x in find_calls(simulation, "start")}
    simulation.advance(0.01)
    deliver_probes(simulation)
    plan(simulation)
    assert lost.spec.id in {x.spec.id for x in find_calls(simulation, "start")}


def test_run_reported_by_a_probe_keeps_running(simulation):
    """The worker has carried out a start whose response was lost."""
    simulation.submit(create_spec(ID))
    plan(simulation)
    (late,) = find_calls(simulation, "start")
    simulation.sent_calls.remove(late)
    simulation.deliver(late)
    simulation.events.clear()
    late.is_finished = False
    simulation.advance(0.4)
    simulation.time_out(late)
    deliver(simulation, ())
    simulation.advance(0.01)
    deliver_probes(simulation)
    plan(simulation)
    assert find_calls(simulation, "stop") == []
    assert find_calls(simulation, "start") == []
    assert simulation.workers[late.spec.id].runs


def start_run(simulation, estimate_ms=600.0):
    """Start a task while the polls wait and return its worker."""
    step = create_step(estimate_ms=estimate_ms)
    simulation.submit(create_spec(ID, [step]))
    plan(simulation)
    deliver(simulation, ("start",))
    (worker,) = [x for x in simulation.workers.values() if x.runs]
    return worker


def test_end_is_found_after_the_waiting_poll_is_lost(simulation):
    worker = start_run(simulation)
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    simulation.advance(0.7)
    plan(simulation)
    assert find_probes(simulation) == []
    simulation.advance(0.4)
    plan(simulation)
    (probe,) = find_probes(simulation)
    assert probe.spec.id == worker.spec.id
    deliver_probes(simulation)
    assert simulation.store.workflows[ID].state == "completed"


def test_probes_for_an_overdue_run_are_rate_limited(simulation):
    start_run(simulation, estimate_ms=10.0)
    probes = 0
    for _ in range(50):
        plan(simulation)
        probes += len(find_probes(simulation))
        deliver_probes(simulation)
    assert probes <= 4


def test_lost_poll_does_not_count_after_an_answered_probe(simulation):
    worker = start_run(simulation)
    (poll,) = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    simulation.advance(1.1)
    plan(simulation)
    deliver_probes(simulation)
    simulation.time_out(poll)
    simulation.sent_calls.remove(poll)
    deliver(simulation, ())
    tracked = simulation.dispatcher.workers[worker.spec.id]
    assert tracked.failures == 0
    plan(simulation)
    assert [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]


def time_out_stop(simulation, after_s):
    """Let the stop of a run time out and return it."""
    start_run(simulation)
    simulation.cancel(ID)
    (lost,) = find_calls(simulation, "stop")
    simulation.sent_calls.remove(lost)
    simulation.advance(after_s)
    simulation.time_out(lost)
    deliver(simulation, ())
    simulation.advance(0.01)
    deliver_probes(simulation)
    return lost


def test_unanswered_stop_is_sent_again_if_a_probe_lists_the_run(simulation):
    lost = time_out_stop(simulation, after_s=0.35)
    (again,) = find_calls(simulation, "stop")
    assert again.request == lost.request


def test_stop_that_fails_at_once_is_sent_again_only_after_a_delay(simulation):
    time_out_stop(simulation, after_s=0.01)
    assert find_calls(simulation, "stop") == []
    deliver(simulation, ("poll",))
    simulation.advance(0.35)
    plan(simulation)
    deliver(simulation, ("poll",))
    assert len(find_calls(simulation, "stop")) == 1


def test_reported_end_causes_no_probe(simulation):
    steps = [create_step(estimate_ms=400.0), create_step(estimate_ms=9000.0)]
    simulation.submit(create_spec(ID, steps))
    plan(simulation)
    deliver(simulation, ("start",))
    (worker,) = [x for x in simulation.workers.values() if x.runs]
    short = next(key for key in worker.runs if key[0].step == 0)
    simulation.advance(0.4)
    worker.end(short, workflow_commands.RunOutcome.DONE)
    deliver(simulation, ("poll",))
    for _ in range(40):
        plan(simulation)
        assert find_probes(simulation) == []


def test_metrics_of_a_workflow_are_recorded(simulation):
    worker = start_run(simulation)
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    deliver(simulation, ("poll",))
    text = simulation.calls.metrics.render()
    assert "bluebellyoke_workflow_start_wait_seconds_count 1" in text
    assert "bluebellyoke_workflow_seconds_completed_count 1" in text
    assert 'bluebellyoke_workflows_total{outcome="completed"} 1' in text
    assert 'bluebellyoke_runs_total{outcome="done"} 1' in text


def report_percent(simulation, worker, percent, after_s):
    """Let a worker report the percentage of its only run after some time."""
    worker.percents[next(iter(worker.runs))] = percent
    simulation.advance(after_s)
    deliver(simulation, ("poll",))
    plan(simulation)


def test_stalled_worker_gets_no_start_until_it_makes_progress(simulation):
    worker = start_run(simulation, estimate_ms=60_000.0)
    report_percent(simulation, worker, 5, after_s=0.5)
    report_percent(simulation, worker, 10, after_s=0.5)
    tracked = simulation.dispatcher.workers[worker.spec.id]
    report_percent(simulation, worker, 10, after_s=0.6)
    assert not tracked.is_stalled
    report_percent(simulation, worker, 10, after_s=0.6)
    assert tracked.is_stalled
    for number in range(2, 12):
        simulation.submit(create_spec(f"{number:016x}"))
    plan(simulation)
    assert worker.spec.id not in {x.spec.id for x in find_calls(simulation, "start")}
    report_percent(simulation, worker, 11, after_s=0.1)
    plan(simulation)
    assert worker.spec.id in {x.spec.id for x in find_calls(simulation, "start")}


def test_slow_steady_progress_is_not_a_stall(simulation):
    """A task of five minutes progresses by one percent every three seconds."""
    worker = start_run(simulation, estimate_ms=300_000.0)
    tracked = simulation.dispatcher.workers[worker.spec.id]
    for percent in (0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3):
        report_percent(simulation, worker, percent, after_s=1.0)
        assert not tracked.is_stalled


def test_long_running_task_is_not_a_stall(simulation):
    worker = start_run(simulation, estimate_ms=0.0)
    for percent in (40, 100, 100, 100, 100):
        report_percent(simulation, worker, percent, after_s=1.0)
    assert not simulation.dispatcher.workers[worker.spec.id].is_stalled


def test_end_after_a_time_without_reports_is_not_a_stall(simulation):
    worker = start_run(simulation, estimate_ms=60_000.0)
    report_percent(simulation, worker, 5, after_s=0.5)
    report_percent(simulation, worker, 99, after_s=0.5)
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    simulation.advance(2.0)
    for sent in find_calls(simulation, "poll"):
        if sent.spec.id == worker.spec.id:
            simulation.sent_calls.remove(sent)
            simulation.deliver(sent)
    (event,) = simulation.events
    simulation.dispatcher.receive(event, simulation.now, simulation.now)
    assert not simulation.dispatcher.workers[worker.spec.id].is_stalled


# Guards against the loss of an end that the leader could not read, and against polls in
# quick succession, as a worker with an end that is not acknowledged responds at once.
def test_ends_after_an_unreadable_one_count_but_are_not_acknowledged(simulation):
    simulation.submit(create_spec(ID))
    plan(simulation)
    deliver(simulation, ("start",))
    (worker,) = [x for x in simulation.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), workflow_commands.RunOutcome.DONE)
    simulation.advance(1.1)
    plan(simulation)
    (poll,) = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    simulation.sent_calls.remove(poll)
    simulation.deliver(poll)
    event = simulation.events.pop()
    report = dataclasses.replace(
        event.report, complete=False, unreadable_rows=1, acknowledgeable_end=0
    )
    simulation.receive(dataclasses.replace(event, report=report))
    assert simulation.store.workflows[ID].state == "completed"
    tracked = simulation.dispatcher.workers[worker.spec.id]
    assert tracked.acknowledged_end == 0
    assert tracked.failures == 0
    plan(simulation)
    assert worker.spec.id not in {x.spec.id for x in find_calls(simulation, "poll")}
    simulation.advance(0.1)
    plan(simulation)
    (poll,) = [x for x in find_calls(simulation, "poll") if x.spec.id == worker.spec.id]
    assert poll.request.acknowledged_end == 0
