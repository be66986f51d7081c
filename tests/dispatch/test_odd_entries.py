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
