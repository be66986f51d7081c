"""Unexpected errors of one job, event or command, which the others must not notice."""

import random

import pytest

from bluebellyoke.cell.result import refuse
from bluebellyoke.containment import CONTAINED_ERRORS, ErrorContainment
from bluebellyoke.dispatch.features import DispatchFeatures
from bluebellyoke.workflow import commands as workflow_commands
from tests.dispatch.simulation import DispatcherSimulation
from tests.workflow.factories import create_spec, create_step

BAD, GOOD = "00000000000000ba", "0000000000000001"

ALL_FEATURES = DispatchFeatures(
    admission=True,
    urgency=True,
    uneven_workers=True,
    move_stragglers=True,
    interference=True,
)


@pytest.fixture
def simulation():
    simulation = DispatcherSimulation(3, features=ALL_FEATURES)
    simulation.tick()
    return simulation


def count_errors(simulation):
    counters = simulation.dispatcher.metrics._counters
    return sum(x for (name, _), x in counters.items() if name.startswith("contained"))


def run(simulation, seconds, task_s=0.3):
    """Answer all calls; runs are done after a time."""
    began = {}
    for _ in range(round(seconds / 0.05)):
        simulation.advance(0.05)
        simulation.tick()
        sent_calls, simulation.sent_calls = simulation.sent_calls, []
        for sent in sent_calls:
            simulation.deliver(sent)
        posted, simulation.events = simulation.events, []
        for event in posted:
            simulation.receive(event)
        for worker in simulation.workers.values():
            for key in list(worker.runs):
                began.setdefault(key, simulation.now)
                if simulation.now - began[key] >= task_s:
                    worker.end(key, workflow_commands.RunOutcome.DONE)


def get_state(simulation, job):
    return simulation.store.workflows[job].state


# Guards against the end of the process that leads when such a task is done: the
# logarithm of its estimate in seconds is not defined.
@pytest.mark.parametrize("estimate_ms", [5e-324, 1e-322, 2e-321, 4e-321, 1e-300])
@pytest.mark.parametrize("gang", [False, True])
def test_job_with_a_tiny_estimate_is_done(simulation, estimate_ms, gang):
    fields = {"estimate_ms": estimate_ms, "gang": gang, "image": "i"}
    steps = [create_step(2, **fields), create_step(1, depends_on=(0,), **fields)]
    simulation.submit(create_spec(BAD, steps))
    run(simulation, 6.0)
    assert get_state(simulation, BAD) == "completed"
    assert count_errors(simulation) == 0


# Guards against the same with estimates and targets of any size, one after the other.
def test_jobs_with_numbers_of_any_size_are_done(simulation):
    generator = random.Random(1)
    sizes = (5e-324, 1e-300, 1e-9, 1e-3, 1.0, 1e6, 1e12)
    for number in range(60):
        step = create_step(
            generator.randint(1, 2),
            estimate_ms=generator.choice(sizes),
            tail_target_ms=generator.choice(sizes),
            image=generator.choice(("", "i", "j")),
            gang=generator.random() < 0.2,
        )
        simulation.submit(create_spec(f"{number + 1:016x}", [step]))
        run(simulation, 1.0, task_s=generator.choice((0.05, 0.3)))
    run(simulation, 10.0)
    states = {item.state for item in simulation.store.workflows.values()}
    assert states == {"completed"}
    assert count_errors(simulation) == 0


def fail_for(job):
    """Return a function that fails for the names of a job's tasks."""

    def fail(name):
        if name.workflow == job:
            raise ValueError("math domain error")

    return fail


# Guards against a job whose planning fails each time and keeps all others waiting.
@pytest.mark.contains_errors
def test_job_that_cannot_be_planned_leaves_the_others_served(simulation, monkeypatch):
    planner = simulation.dispatcher._starter._planner
    plan_step = planner._plan_step

    def plan(store, step, planning, is_head):
        if step.key[0] == BAD:
            raise ZeroDivisionError
        plan_step(store, step, planning, is_head)

    monkeypatch.setattr(planner, "_plan_step", plan)
    simulation.submit(create_spec(BAD, [create_step()]))
    simulation.submit(create_spec(GOOD, [create_step()]))
    run(simulation, 3.0)
    assert (get_state(simulation, BAD), get_state(simulation, GOOD)) == (
        "pending",
        "completed",
    )
    # A step that fails is planned only now and then.
    assert 0 < count_errors(simulation) < 10


# Guards against a worker that is lost since what one of its runs shows cannot be
# learned from.
@pytest.mark.contains_errors
@pytest.mark.parametrize("method", ["record_progress", "record_end"])
def test_job_that_nothing_is_learned_from_is_done(simulation, monkeypatch, method):
    fail = fail_for(BAD)
    for observer in simulation.dispatcher._context.observers:
        monkeypatch.setattr(observer, method, lambda worker, key, *rest: fail(key[0]))
    simulation.submit(create_spec(BAD, [create_step()]))
    simulation.submit(create_spec(GOOD, [create_step()]))
    run(simulation, 3.0)
    assert get_state(simulation, BAD) == get_state(simulation, GOOD) == "completed"
    assert set(simulation.store.workers) == set(simulation.workers)
    assert count_errors(simulation)


# Guards against a lost end: an unexpected error in its processing counts as no answer.
@pytest.mark.contains_errors
def test_event_that_cannot_be_processed_is_repeated(simulation, monkeypatch):
    poller, failures = simulation.dispatcher._poller, []
    receive = poller.receive

    def fail_three_times(worker, event, now, wall_time):
        if worker.runs and len(failures) < 3:
            failures.append(event)
            raise KeyError(worker.spec.id)
        receive(worker, event, now, wall_time)

    monkeypatch.setattr(poller, "receive", fail_three_times)
    simulation.submit(create_spec(GOOD, [create_step()]))
    run(simulation, 20.0)
    assert len(failures) == count_errors(simulation) == 3
    assert get_state(simulation, GOOD) == "completed"


# Guards against ends that are acknowledged although they could not be recorded.
@pytest.mark.contains_errors
def test_end_that_cannot_be_recorded_is_not_acknowledged(simulation):
    apply, failures = simulation.store.apply, []

    def fail_twice(command):
        is_end = isinstance(command, workflow_commands.RecordEnds)
        if is_end and len(failures) < 2:
            failures.append(command)
            return refuse_command()
        return apply(command)

    simulation.store.apply = fail_twice
    simulation.submit(create_spec(GOOD, [create_step()]))
    run(simulation, 3.0)
    assert len(failures) == 2
    assert get_state(simulation, GOOD) == "completed"


def refuse_command():
    return refuse("internal-error", "the command could not be applied; see the log")


def test_errors_of_the_machine_are_not_contained():
    containment = ErrorContainment(lambda: 0.0, lambda part: None)
    for error in (OSError, MemoryError, RecursionError, KeyboardInterrupt):
        assert not issubclass(error, CONTAINED_ERRORS)
        with pytest.raises(error), containment.contain("part"):
            raise error


# Guards against a log that errors in each event fill, and against one that is silent.
@pytest.mark.contains_errors
def test_contained_errors_are_all_counted_and_some_logged(caplog):
    now, parts = 0.0, []
    containment = ErrorContainment(lambda: now, parts.append)
    for _ in range(100):
        with containment.contain("part", job=BAD):
            raise ValueError("message")
    assert parts == ["part"] * 100
    assert 0 < len(caplog.records) < 10
    assert caplog.records[0].job == BAD
    assert caplog.records[0].exc_info
