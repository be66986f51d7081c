"""Tests of the dispatcher in single scenarios."""

import pytest

from bluebellyoke.workflow import commands as wc
from tests.dispatch.world import World
from tests.workflow.factories import create_spec, create_step

ID = "0000000000000001"


@pytest.fixture
def world():
    """A cell whose workers have answered a first poll."""
    world = World()
    world.tick()
    deliver(world)
    return world


def deliver(world, kinds=("poll", "start", "stop")):
    """Deliver the calls in flight of some kinds and process the events."""
    for sent in [x for x in world.sent_calls if x.kind in kinds and not x.is_finished]:
        world.sent_calls.remove(sent)
        world.deliver(sent)
    events, world.events = world.events, []
    for event in events:
        world.receive(event)


def find_calls(world, kind):
    return [x for x in world.sent_calls if x.kind == kind and not x.is_finished]


def plan(world):
    world.advance(0.02)
    world.tick()


def test_start_is_committed_before_the_worker_is_called(world):
    world.submit(create_spec(ID))
    world.advance(0.02)
    world.dispatcher.tick(world.now, world.now)
    assert find_calls(world, "start") == []
    world.commit()
    (sent,) = find_calls(world, "start")
    assert world.store.workflows[ID].find_task(sent.request.task).run == 1


def test_new_leader_starts_no_run_before_a_poll(world):
    world.submit(create_spec(ID))
    world.change_leader()
    plan(world)
    assert find_calls(world, "start") == []
    deliver(world)
    plan(world)
    assert len(find_calls(world, "start")) == 1


def test_gang_with_an_unanswered_start_is_stopped(world):
    """The other tasks of the gang would wait for it until they time out."""
    world.submit(create_spec(ID, [create_step(3, cpu=3000, gang=True)]))
    plan(world)
    lost, *others = find_calls(world, "start")
    world.sent_calls.remove(lost)
    deliver(world, ("start",))
    world.time_out(lost)
    deliver(world, ())
    stopped = {sent.request.task for sent in find_calls(world, "stop")}
    assert stopped == {sent.request.task for sent in others}


def test_late_run_of_a_stopped_gang_is_stopped(world):
    world.submit(create_spec(ID, [create_step(3, cpu=3000, gang=True)]))
    plan(world)
    late, *_ = find_calls(world, "start")
    world.sent_calls.remove(late)
    deliver(world, ("start",))
    world.time_out(late)
    deliver(world, ())
    world.deliver(late)
    for _ in range(4):
        plan(world)
        deliver(world, ("poll", "stop"))
    assert not world.workers[late.spec.id].runs


def test_cancelled_workflow_is_stopped_on_all_workers(world):
    world.submit(create_spec(ID, [create_step(2)]))
    plan(world)
    deliver(world, ("start",))
    world.cancel(ID)
    assert len(find_calls(world, "stop")) == 2
    deliver(world)
    for _ in range(3):
        plan(world)
        deliver(world)
    assert ID not in world.store.active


def test_draining_is_acknowledged_after_its_commit(world):
    spec = world.workers["w1"].spec
    results = []
    leaving = type(spec)(
        **{name: getattr(spec, name) for name in spec.__struct_fields__}
        | {"draining": True}
    )
    world.dispatcher.register_worker(leaving, world.now, results.append)
    assert results == []
    world.commit()
    assert results[0].accepted
    world.submit(create_spec(ID, [create_step(9, cpu=1000)]))
    plan(world)
    assert "w1" not in {sent.spec.id for sent in find_calls(world, "start")}


def test_end_is_acknowledged_to_the_worker_after_its_commit(world):
    world.submit(create_spec(ID))
    plan(world)
    deliver(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(1.1)
    plan(world)
    (poll,) = [x for x in find_calls(world, "poll") if x.spec.id == worker.spec.id]
    assert poll.request.acknowledged_end == 0
    deliver(world, ("poll",))
    plan(world)
    acknowledged = [
        x.request.acknowledged_end
        for x in find_calls(world, "poll")
        if x.spec == worker.spec
    ]
    assert acknowledged == [1]
    assert world.store.workflows[ID].state == "completed"


def test_end_that_is_not_committed_is_not_acknowledged(world):
    world.submit(create_spec(ID))
    plan(world)
    deliver(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(1.1)
    plan(world)
    (poll,) = [x for x in find_calls(world, "poll") if x.spec.id == worker.spec.id]
    world.sent_calls.remove(poll)
    world.deliver(poll)
    world.dispatcher.receive(world.events.pop(), world.now, world.now)
    world.advance(0.02)
    world.dispatcher.tick(world.now, world.now)
    assert [x for x in find_calls(world, "poll") if x.spec.id == worker.spec.id] == []
    world.commit()
    world.dispatcher.tick(world.now, world.now)
    (poll,) = [x for x in find_calls(world, "poll") if x.spec.id == worker.spec.id]
    assert poll.request.acknowledged_end == 1


def test_tasks_of_a_lost_worker_run_on_another_worker(world):
    """Its lease must expire although the leader keeps polling it."""
    world.submit(create_spec(ID))
    plan(world)
    deliver(world, ("start",))
    (lost,) = [x for x in world.workers.values() if x.runs]
    for _ in range(120):
        world.advance(0.1)
        world.tick()
        for sent in find_calls(world, "poll"):
            world.sent_calls.remove(sent)
            if sent.spec.id == lost.spec.id:
                world.time_out(sent)
            else:
                world.deliver(sent)
        deliver(world, ("start",))
    (other,) = [x for x in world.workers.values() if x.runs]
    assert other is not lost
    assert world.store.workflows[ID].placed == 1


def time_out_start(world):
    """Let a start time out while the polls wait and return it."""
    world.submit(create_spec(ID))
    plan(world)
    (lost,) = find_calls(world, "start")
    world.sent_calls.remove(lost)
    world.advance(0.4)
    world.time_out(lost)
    deliver(world, ())
    return lost


def find_probes(world):
    return [sent for sent in find_calls(world, "poll") if sent.request.is_probe]


def deliver_probes(world):
    for sent in find_probes(world):
        world.sent_calls.remove(sent)
        world.deliver(sent)
    deliver(world, ())


def test_unanswered_start_is_resolved_while_the_poll_still_waits(world):
    lost = time_out_start(world)
    world.advance(0.01)
    deliver_probes(world)
    deliver(world, ("stop",))
    world.advance(0.01)
    deliver_probes(world)
    plan(world)
    (again,) = find_calls(world, "start")
    assert again.request.run == lost.request.run + 1
    assert world.now - lost.sent_at < 0.5


def test_worker_with_an_unanswered_start_gets_none_until_it_responds(world):
    lost = time_out_start(world)
    for number in range(2, 12):
        world.submit(create_spec(f"{number:016x}"))
    plan(world)
    assert lost.spec.id not in {x.spec.id for x in find_calls(world, "start")}
    world.advance(0.01)
    deliver_probes(world)
    plan(world)
    assert lost.spec.id in {x.spec.id for x in find_calls(world, "start")}


def test_run_reported_by_a_probe_keeps_running(world):
    """The worker has carried out a start whose response was lost."""
    world.submit(create_spec(ID))
    plan(world)
    (late,) = find_calls(world, "start")
    world.sent_calls.remove(late)
    world.deliver(late)
    world.events.clear()
    late.is_finished = False
    world.advance(0.4)
    world.time_out(late)
    deliver(world, ())
    world.advance(0.01)
    deliver_probes(world)
    plan(world)
    assert find_calls(world, "stop") == []
    assert find_calls(world, "start") == []
    assert world.workers[late.spec.id].runs


def start_run(world, estimate_ms=600.0):
    """Start a task while the polls wait and return its worker."""
    step = create_step(estimate_ms=estimate_ms)
    world.submit(create_spec(ID, [step]))
    plan(world)
    deliver(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    return worker


def test_end_is_found_after_the_waiting_poll_is_lost(world):
    worker = start_run(world)
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(0.7)
    plan(world)
    assert find_probes(world) == []
    world.advance(0.4)
    plan(world)
    (probe,) = find_probes(world)
    assert probe.spec.id == worker.spec.id
    deliver_probes(world)
    assert world.store.workflows[ID].state == "completed"


def test_probes_for_an_overdue_run_are_rate_limited(world):
    start_run(world, estimate_ms=10.0)
    probes = 0
    for _ in range(50):
        plan(world)
        probes += len(find_probes(world))
        deliver_probes(world)
    assert probes <= 4


def test_lost_poll_does_not_count_after_an_answered_probe(world):
    worker = start_run(world)
    (poll,) = [x for x in find_calls(world, "poll") if x.spec.id == worker.spec.id]
    world.advance(1.1)
    plan(world)
    deliver_probes(world)
    world.time_out(poll)
    world.sent_calls.remove(poll)
    deliver(world, ())
    tracked = world.dispatcher.workers[worker.spec.id]
    assert tracked.failures == 0
    plan(world)
    assert [x for x in find_calls(world, "poll") if x.spec.id == worker.spec.id]


def time_out_stop(world, after_s):
    """Let the stop of a run time out and return it."""
    start_run(world)
    world.cancel(ID)
    (lost,) = find_calls(world, "stop")
    world.sent_calls.remove(lost)
    world.advance(after_s)
    world.time_out(lost)
    deliver(world, ())
    world.advance(0.01)
    deliver_probes(world)
    return lost


def test_unanswered_stop_is_sent_again_if_a_probe_lists_the_run(world):
    lost = time_out_stop(world, after_s=0.35)
    (again,) = find_calls(world, "stop")
    assert again.request == lost.request


def test_stop_that_fails_at_once_is_sent_again_only_after_a_delay(world):
    time_out_stop(world, after_s=0.01)
    assert find_calls(world, "stop") == []
    deliver(world, ("poll",))
    world.advance(0.35)
    plan(world)
    deliver(world, ("poll",))
    assert len(find_calls(world, "stop")) == 1


def test_reported_end_causes_no_probe(world):
    steps = [create_step(estimate_ms=400.0), create_step(estimate_ms=9000.0)]
    world.submit(create_spec(ID, steps))
    plan(world)
    deliver(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    short = next(key for key in worker.runs if key[0].step == 0)
    world.advance(0.4)
    worker.end(short, wc.RunOutcome.DONE)
    deliver(world, ("poll",))
    for _ in range(40):
        plan(world)
        assert find_probes(world) == []


def test_metrics_of_a_workflow_are_recorded(world):
    worker = start_run(world)
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    deliver(world, ("poll",))
    text = world.calls.metrics.render()
    assert "bluebellyoke_workflow_start_wait_seconds_count 1" in text
    assert "bluebellyoke_workflow_seconds_completed_count 1" in text
    assert 'bluebellyoke_workflows_total{outcome="completed"} 1' in text
    assert 'bluebellyoke_runs_total{outcome="done"} 1' in text


def report_percent(world, worker, percent, after_s):
    """Let a worker report the percentage of its only run after some time."""
    worker.percents[next(iter(worker.runs))] = percent
    world.advance(after_s)
    deliver(world, ("poll",))
    plan(world)


def test_stalled_worker_gets_no_start_until_it_makes_progress(world):
    worker = start_run(world, estimate_ms=60_000.0)
    report_percent(world, worker, 5, after_s=0.5)
    report_percent(world, worker, 10, after_s=0.5)
    tracked = world.dispatcher.workers[worker.spec.id]
    report_percent(world, worker, 10, after_s=0.6)
    assert not tracked.is_stalled
    report_percent(world, worker, 10, after_s=0.6)
    assert tracked.is_stalled
    for number in range(2, 12):
        world.submit(create_spec(f"{number:016x}"))
    plan(world)
    assert worker.spec.id not in {x.spec.id for x in find_calls(world, "start")}
    report_percent(world, worker, 11, after_s=0.1)
    plan(world)
    assert worker.spec.id in {x.spec.id for x in find_calls(world, "start")}


def test_slow_steady_progress_is_not_a_stall(world):
    """A task of five minutes progresses by one percent every three seconds."""
    worker = start_run(world, estimate_ms=300_000.0)
    tracked = world.dispatcher.workers[worker.spec.id]
    for percent in (0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3):
        report_percent(world, worker, percent, after_s=1.0)
        assert not tracked.is_stalled


def test_long_running_task_is_not_a_stall(world):
    worker = start_run(world, estimate_ms=0.0)
    for percent in (40, 100, 100, 100, 100):
        report_percent(world, worker, percent, after_s=1.0)
    assert not world.dispatcher.workers[worker.spec.id].is_stalled


def test_end_after_a_time_without_reports_is_not_a_stall(world):
    worker = start_run(world, estimate_ms=60_000.0)
    report_percent(world, worker, 5, after_s=0.5)
    report_percent(world, worker, 99, after_s=0.5)
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(2.0)
    for sent in find_calls(world, "poll"):
        if sent.spec.id == worker.spec.id:
            world.sent_calls.remove(sent)
            world.deliver(sent)
    (event,) = world.events
    world.dispatcher.receive(event, world.now, world.now)
    assert not world.dispatcher.workers[worker.spec.id].is_stalled
