"""Single cases of the leader's duties towards workers."""

import pytest

from bluebellyoke.workflow import commands as wc
from tests.dispatch.world import World
from tests.workflow.factories import create_spec, create_step

ID = "0000000000000001"


@pytest.fixture
def world():
    """A cell whose workers have answered a first hold."""
    world = World()
    world.tick()
    move(world)
    return world


def move(world, kinds=("hold", "start", "stop")):
    """Carry out what is on its way, of some kinds, and take the answers."""
    for sent in [x for x in world.orders if x.kind in kinds and not x.is_answered]:
        world.orders.remove(sent)
        world.deliver(sent)
    answers, world.answers = world.answers, []
    for event in answers:
        world.receive(event)


def find_orders(world, kind):
    return [x for x in world.orders if x.kind == kind and not x.is_answered]


def plan(world):
    world.advance(0.02)
    world.tick()


def test_start_is_committed_before_the_worker_is_called(world):
    world.submit(create_spec(ID))
    world.advance(0.02)
    world.duties.tick(world.now, world.now)
    assert find_orders(world, "start") == []
    world.commit()
    (sent,) = find_orders(world, "start")
    assert world.book.workflows[ID].find_task(sent.order.task).run == 1


def test_new_leader_calls_nobody_before_a_hold(world):
    world.submit(create_spec(ID))
    world.change_leader()
    plan(world)
    assert find_orders(world, "start") == []
    move(world)
    plan(world)
    assert len(find_orders(world, "start")) == 1


def test_gang_with_a_start_without_an_answer_is_stopped(world):
    """The others would wait for it until their time is over."""
    world.submit(create_spec(ID, [create_step(3, cpu=3000, gang=True)]))
    plan(world)
    lost, *others = find_orders(world, "start")
    world.orders.remove(lost)
    move(world, ("start",))
    world.give_up(lost)
    move(world, ())
    stopped = {sent.order.task for sent in find_orders(world, "stop")}
    assert stopped == {sent.order.task for sent in others}


def test_member_of_a_stopped_gang_that_turns_out_to_run_is_stopped(world):
    world.submit(create_spec(ID, [create_step(3, cpu=3000, gang=True)]))
    plan(world)
    late, *_ = find_orders(world, "start")
    world.orders.remove(late)
    move(world, ("start",))
    world.give_up(late)
    move(world, ())
    world.deliver(late)
    for _ in range(4):
        plan(world)
        move(world, ("hold", "stop"))
    assert not world.workers[late.spec.id].runs


def test_cancelled_workflow_is_stopped_wherever_it_runs(world):
    world.submit(create_spec(ID, [create_step(2)]))
    plan(world)
    move(world, ("start",))
    world.cancel(ID)
    assert len(find_orders(world, "stop")) == 2
    move(world)
    for _ in range(3):
        plan(world)
        move(world)
    assert ID not in world.book.active


def test_draining_worker_is_acknowledged_only_once_it_is_committed(world):
    spec = world.workers["w1"].spec
    answers = []
    leaving = type(spec)(
        **{name: getattr(spec, name) for name in spec.__struct_fields__}
        | {"draining": True}
    )
    world.duties.announce(leaving, world.now, answers.append)
    assert answers == []
    world.commit()
    assert answers[0].accepted
    world.submit(create_spec(ID, [create_step(9, cpu=1000)]))
    plan(world)
    assert "w1" not in {sent.spec.id for sent in find_orders(world, "start")}


def test_end_is_acknowledged_to_the_worker_after_its_commit(world):
    world.submit(create_spec(ID))
    plan(world)
    move(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(1.1)
    plan(world)
    (hold,) = [x for x in find_orders(world, "hold") if x.spec.id == worker.spec.id]
    assert hold.order.seen == 0
    move(world, ("hold",))
    plan(world)
    seen = [x.order.seen for x in find_orders(world, "hold") if x.spec == worker.spec]
    assert seen == [1]
    assert world.book.workflows[ID].state == "completed"


def test_end_that_is_not_committed_is_not_acknowledged(world):
    world.submit(create_spec(ID))
    plan(world)
    move(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(1.1)
    plan(world)
    (hold,) = [x for x in find_orders(world, "hold") if x.spec.id == worker.spec.id]
    world.orders.remove(hold)
    world.deliver(hold)
    world.duties.receive(world.answers.pop(), world.now, world.now)
    world.advance(0.02)
    world.duties.tick(world.now, world.now)
    assert [x for x in find_orders(world, "hold") if x.spec.id == worker.spec.id] == []
    world.commit()
    world.duties.tick(world.now, world.now)
    (hold,) = [x for x in find_orders(world, "hold") if x.spec.id == worker.spec.id]
    assert hold.order.seen == 1


def test_tasks_of_a_worker_that_never_answers_again_run_elsewhere(world):
    """Its lease ends although the leader goes on to call it."""
    world.submit(create_spec(ID))
    plan(world)
    move(world, ("start",))
    (lost,) = [x for x in world.workers.values() if x.runs]
    for _ in range(120):
        world.advance(0.1)
        world.tick()
        for sent in find_orders(world, "hold"):
            world.orders.remove(sent)
            if sent.spec.id == lost.spec.id:
                world.give_up(sent)
            else:
                world.deliver(sent)
        move(world, ("start",))
    (other,) = [x for x in world.workers.values() if x.runs]
    assert other is not lost
    assert world.book.workflows[ID].placed == 1


def lose_start(world):
    """Let a start go unanswered while the holds wait; return it."""
    world.submit(create_spec(ID))
    plan(world)
    (lost,) = find_orders(world, "start")
    world.orders.remove(lost)
    world.advance(0.4)
    world.give_up(lost)
    move(world, ())
    return lost


def find_looks(world):
    return [sent for sent in find_orders(world, "hold") if sent.order.is_look]


def move_looks(world):
    for sent in find_looks(world):
        world.orders.remove(sent)
        world.deliver(sent)
    move(world, ())


def test_start_without_an_answer_is_settled_while_the_hold_still_waits(world):
    lost = lose_start(world)
    world.advance(0.01)
    move_looks(world)
    move(world, ("stop",))
    world.advance(0.01)
    move_looks(world)
    plan(world)
    (again,) = find_orders(world, "start")
    assert again.order.run == lost.order.run + 1
    assert world.now - lost.sent_at < 0.5


def test_worker_that_did_not_answer_a_start_gets_none_until_it_answers(world):
    lost = lose_start(world)
    for number in range(2, 12):
        world.submit(create_spec(f"{number:016x}"))
    plan(world)
    assert lost.spec.id not in {x.spec.id for x in find_orders(world, "start")}
    world.advance(0.01)
    move_looks(world)
    plan(world)
    assert lost.spec.id in {x.spec.id for x in find_orders(world, "start")}


def test_run_that_a_look_shows_keeps_running(world):
    """Its answer was only late."""
    world.submit(create_spec(ID))
    plan(world)
    (late,) = find_orders(world, "start")
    world.orders.remove(late)
    world.deliver(late)
    world.answers.clear()
    late.is_answered = False
    world.advance(0.4)
    world.give_up(late)
    move(world, ())
    world.advance(0.01)
    move_looks(world)
    plan(world)
    assert find_orders(world, "stop") == []
    assert find_orders(world, "start") == []
    assert world.workers[late.spec.id].runs


def start_run(world, estimate_ms=600.0):
    """Let a task start, with the workers' holds waiting; return its worker."""
    step = create_step(estimate_ms=estimate_ms)
    world.submit(create_spec(ID, [step]))
    plan(world)
    move(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    return worker


def test_end_is_found_though_the_hold_that_waits_for_it_is_lost(world):
    worker = start_run(world)
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(0.7)
    plan(world)
    assert find_looks(world) == []
    world.advance(0.4)
    plan(world)
    (look,) = find_looks(world)
    assert look.spec.id == worker.spec.id
    move_looks(world)
    assert world.book.workflows[ID].state == "completed"


def test_run_that_takes_longer_than_expected_is_not_looked_for_all_the_time(world):
    start_run(world, estimate_ms=10.0)
    looks = 0
    for _ in range(50):
        plan(world)
        looks += len(find_looks(world))
        move_looks(world)
    assert looks <= 4


def test_worker_that_answered_a_look_is_not_lost_with_a_hold(world):
    worker = start_run(world)
    (hold,) = [x for x in find_orders(world, "hold") if x.spec.id == worker.spec.id]
    world.advance(1.1)
    plan(world)
    move_looks(world)
    world.give_up(hold)
    world.orders.remove(hold)
    move(world, ())
    member = world.duties.members[worker.spec.id]
    assert member.failures == 0
    plan(world)
    assert [x for x in find_orders(world, "hold") if x.spec.id == worker.spec.id]


def lose_stop(world, after_s):
    """Let the stop of a run go without an answer; return it."""
    start_run(world)
    world.cancel(ID)
    (lost,) = find_orders(world, "stop")
    world.orders.remove(lost)
    world.advance(after_s)
    world.give_up(lost)
    move(world, ())
    world.advance(0.01)
    move_looks(world)
    return lost


def test_stop_without_an_answer_is_sent_again_once_the_run_is_seen(world):
    lost = lose_stop(world, after_s=0.35)
    (again,) = find_orders(world, "stop")
    assert again.order == lost.order


def test_stops_that_fail_at_once_are_not_sent_again_at_once(world):
    lose_stop(world, after_s=0.01)
    assert find_orders(world, "stop") == []
    move(world, ("hold",))
    world.advance(0.35)
    plan(world)
    move(world, ("hold",))
    assert len(find_orders(world, "stop")) == 1


def test_end_that_was_heard_of_causes_no_look(world):
    steps = [create_step(estimate_ms=400.0), create_step(estimate_ms=9000.0)]
    world.submit(create_spec(ID, steps))
    plan(world)
    move(world, ("start",))
    (worker,) = [x for x in world.workers.values() if x.runs]
    short = next(key for key in worker.runs if key[0].step == 0)
    world.advance(0.4)
    worker.end(short, wc.RunOutcome.DONE)
    move(world, ("hold",))
    for _ in range(40):
        plan(world)
        assert find_looks(world) == []


def test_stages_of_a_workflow_are_measured(world):
    worker = start_run(world)
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    move(world, ("hold",))
    text = world.calls.metrics.render()
    assert "bluebellyoke_workflow_start_wait_seconds_count 1" in text
    assert "bluebellyoke_workflow_seconds_completed_count 1" in text
    assert 'bluebellyoke_workflows_total{outcome="completed"} 1' in text
    assert 'bluebellyoke_runs_total{outcome="done"} 1' in text


def report_percent(world, worker, percent, after_s):
    """Let a worker list its only run with a percent some time later."""
    worker.percents[next(iter(worker.runs))] = percent
    world.advance(after_s)
    move(world, ("hold",))
    plan(world)


def test_worker_whose_work_stands_still_gets_none_until_it_goes_on(world):
    worker = start_run(world, estimate_ms=60_000.0)
    report_percent(world, worker, 5, after_s=0.5)
    report_percent(world, worker, 10, after_s=0.5)
    member = world.duties.members[worker.spec.id]
    report_percent(world, worker, 10, after_s=0.6)
    assert not member.is_stalled
    report_percent(world, worker, 10, after_s=0.6)
    assert member.is_stalled
    for number in range(2, 12):
        world.submit(create_spec(f"{number:016x}"))
    plan(world)
    assert worker.spec.id not in {x.spec.id for x in find_orders(world, "start")}
    report_percent(world, worker, 11, after_s=0.1)
    plan(world)
    assert worker.spec.id in {x.spec.id for x in find_orders(world, "start")}


def test_slow_steady_work_is_not_taken_for_standing_still(world):
    """A task of five minutes moves by a percent every three seconds."""
    worker = start_run(world, estimate_ms=300_000.0)
    member = world.duties.members[worker.spec.id]
    for percent in (0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3):
        report_percent(world, worker, percent, after_s=1.0)
        assert not member.is_stalled


def test_lasting_work_is_not_taken_for_standing_still(world):
    worker = start_run(world, estimate_ms=0.0)
    for percent in (40, 100, 100, 100, 100):
        report_percent(world, worker, percent, after_s=1.0)
    assert not world.duties.members[worker.spec.id].is_stalled


def test_end_after_a_while_without_news_is_not_taken_for_standing_still(world):
    worker = start_run(world, estimate_ms=60_000.0)
    report_percent(world, worker, 5, after_s=0.5)
    report_percent(world, worker, 99, after_s=0.5)
    worker.end(next(iter(worker.runs)), wc.RunOutcome.DONE)
    world.advance(2.0)
    for sent in find_orders(world, "hold"):
        if sent.spec.id == worker.spec.id:
            world.orders.remove(sent)
            world.deliver(sent)
    (event,) = world.answers
    world.duties.receive(event, world.now, world.now)
    assert not world.duties.members[worker.spec.id].is_stalled
