"""Entries under the ID of a worker that another writer has sent."""

import msgspec
import pytest

from tests.dispatch.crashing import CrashSimulation
from tests.workflow.factories import create_spec, create_step
from tests.workflow.test_worker_validation import ODD_FIELDS


@pytest.fixture
def simulation():
    """A cell of one worker that has had a leader for a while."""
    simulation = CrashSimulation(workers=1, task_s=1e9)
    simulation.run(2)
    return simulation


def register(simulation, spec):
    """Send a heartbeat and return the result."""
    results = []
    simulation.dispatcher.register_worker(spec, simulation.now, results.append)
    simulation.commit()
    return results[0]


# Guards against an odd entry in the replicated log, or in place of the real worker.
@pytest.mark.parametrize("fields", ODD_FIELDS)
def test_leader_refuses_an_odd_entry_and_keeps_the_worker(simulation, fields):
    known = dict(simulation.store.workers)
    odd = msgspec.structs.replace(known["w1"], **fields)
    result = register(simulation, odd)
    assert (result.accepted, result.code) == (False, "malformed")
    assert simulation.store.workers == known
    simulation.submit(create_spec("0000000000000001", [create_step(1)]))
    simulation.run(1.0)
    assert len(simulation.workers["w1"].runs) == 1


# Guards against a worker whose later reports, such as one of a smaller capacity, all
# count as older ones because of an entry with a huge number under its ID.
def test_huge_number_of_a_report_does_not_hide_the_later_ones(simulation):
    simulation.report("w1", sequence=4, cpu=3000)
    known = simulation.store.workers["w1"]
    odd = msgspec.structs.replace(known, sequence=2**53 - 1)
    result = register(simulation, odd)
    assert (result.accepted, result.code) == (False, "malformed")
    simulation.report("w1", sequence=5, cpu=1000)
    assert simulation.store.workers["w1"].capacity.cpu_millis == 1000


# Guards against the refusal of a worker whose reports were lost for days.
def test_number_after_many_lost_reports_is_accepted(simulation):
    simulation.report("w1", sequence=4, cpu=3000)
    simulation.report("w1", sequence=10**9, cpu=1000)
    assert simulation.store.workers["w1"].capacity.cpu_millis == 1000
