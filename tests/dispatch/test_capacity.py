"""Tests of workers whose capacity shrinks and grows while they run tasks."""

import msgspec
import pytest

from bluebellyoke.cell.resources import Resources
from bluebellyoke.dispatch.placement import count_fitting_tasks
from tests.dispatch.crashing import CrashSimulation
from tests.workflow.factories import create_spec, create_step, create_worker

FULL_CPU = 3000


@pytest.fixture
def simulation():
    """A cell of one worker that has had a leader for a while."""
    simulation = CrashSimulation(workers=1, task_s=1e9)
    simulation.run(2)
    return simulation


def submit(simulation, number, *steps):
    simulation.submit(create_spec(f"{number:016x}", steps))
    simulation.run(0.2)


def get_cpu(simulation):
    return simulation.store.workers["w1"].capacity.cpu_millis


def count_runs(simulation):
    return len(simulation.workers["w1"].runs)


# Guards against a start over a worker's capacity: of two reports that arrived crosswise
# the older one held, and undid a capacity that had shrunk.
def test_older_report_that_arrives_later_changes_nothing(simulation):
    simulation.report("w1", sequence=6, cpu=1000)
    simulation.report("w1", sequence=5, cpu=FULL_CPU)
    assert get_cpu(simulation) == 1000
    submit(simulation, 1, create_step(3))
    assert count_runs(simulation) == 1


# Guards against the same for two reports that are both in flight to the log.
def test_older_report_behind_a_newer_one_changes_nothing(simulation):
    for sequence, cpu in ((6, 1000), (5, FULL_CPU)):
        spec = create_worker("w1", cpu=cpu, sequence=sequence)
        simulation.dispatcher.register_worker(spec, simulation.now, lambda _: None)
    simulation.commit()
    assert get_cpu(simulation) == 1000


# Guards against the same where the newer report says what was known before.
def test_report_without_a_change_overtakes_older_ones(simulation):
    simulation.report("w1", sequence=4, cpu=1000)
    simulation.report("w1", sequence=6, cpu=1000)
    simulation.report("w1", sequence=5, cpu=FULL_CPU)
    assert get_cpu(simulation) == 1000


# Guards against the same where the newer report reached an earlier leader.
def test_new_leader_takes_no_larger_capacity_from_a_first_report(simulation):
    simulation.report("w1", sequence=4, cpu=1000)
    simulation.report("w1", sequence=6, cpu=1000)
    simulation.change_leader_and_restore()
    simulation.report("w1", sequence=5, cpu=FULL_CPU)
    assert get_cpu(simulation) == 1000
    simulation.run(2)
    simulation.report("w1", sequence=8, cpu=FULL_CPU)
    assert get_cpu(simulation) == FULL_CPU


def test_shrunken_worker_keeps_its_runs_and_gets_no_other(simulation):
    submit(simulation, 1, create_step(3))
    simulation.report("w1", sequence=5, cpu=1000)
    submit(simulation, 2, create_step(1, cpu=100))
    simulation.run(2)
    assert count_runs(simulation) == 3
    assert len(simulation.starts) == 3


def test_worker_that_grows_again_gets_tasks_at_once(simulation):
    """Jobs that fitted nowhere for a while wait; none is refused."""
    simulation.report("w1", sequence=5, cpu=100)
    submit(simulation, 1, create_step(2))
    submit(simulation, 2, create_step(1, gang=True))
    simulation.run(2)
    assert count_runs(simulation) == 0
    simulation.report("w1", sequence=6, cpu=FULL_CPU)
    simulation.run(0.1)
    assert count_runs(simulation) == 3


# Guards against a start that was planned before its worker shrank.
def test_planned_start_is_not_sent_to_a_worker_that_has_shrunk(simulation):
    simulation.submit(create_spec("1" * 16, [create_step(2)]))
    simulation.advance(0.02)
    simulation.dispatcher.tick(simulation.now, simulation.now)
    spec = create_worker("w1", cpu=1000, sequence=5)
    assign, *_ = simulation.proposals.pop_all()
    simulation.dispatcher.register_worker(spec, simulation.now, lambda _: None)
    simulation.commit()
    assign.on_result(simulation.store.apply(assign.command))
    simulation.run(0.3)
    assert count_runs(simulation) == 1


# Guards against room that hides: a gang that needs no memory started on a worker that
# has less memory than its runs need.
def test_nothing_fits_where_any_resource_is_overcommitted():
    free = Resources(4000, -100, 0)
    assert count_fitting_tasks(Resources(1000, 0, 0), free) == 0
    assert count_fitting_tasks(Resources(1000, 0, 0), Resources(4000, 0, 0)) == 4


def test_reports_that_differ_in_their_number_alone_are_not_committed(simulation):
    spec = simulation.store.workers["w1"]
    later = msgspec.structs.replace(spec, sequence=99)
    replies = []
    simulation.dispatcher.register_worker(later, simulation.now, replies.append)
    assert [reply.code for reply in replies] == ["known"]
